#include "fleet_fixture.h"
#include "link_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// A controller that stops while gateways wait for loads.
class controller_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(controller_stop_test);
  CPPUNIT_TEST(stop_orderUnderWay_everyCallIsAnswered);
  CPPUNIT_TEST(stop_orderLongerThanGrace_callIsAnsweredAsNotDone);
  CPPUNIT_TEST(stop_noOpenCall_endsAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    Engine = &Fleet->addWorker("e1", "models");
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto stop_orderUnderWay_everyCallIsAnswered() -> void {
    startController(8000);
    auto Ordered = loadDuringOrder("b", 600);
    auto Queued = load("c");
    usleep(100'000);
    const auto Began = process_clock::now();
    Fleet->Controller->requestStop();
    CPPUNIT_ASSERT_EQUAL(503, Queued.get());
    CPPUNIT_ASSERT_EQUAL(503, load("d").get());
    CPPUNIT_ASSERT(process_clock::now() - Began < milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(200, Ordered.get());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders());
  }

  auto stop_orderLongerThanGrace_callIsAnsweredAsNotDone() -> void {
    startController(1000);
    auto Ordered = loadDuringOrder("b", 5000);
    const auto Began = process_clock::now();
    Fleet->Controller->requestStop();
    CPPUNIT_ASSERT_EQUAL(503, Ordered.get());
    CPPUNIT_ASSERT(process_clock::now() - Began < milliseconds(1000));
  }

  auto stop_noOpenCall_endsAtOnce() -> void {
    startController(8000);
    const auto Began = process_clock::now();
    Fleet->stopController();
    CPPUNIT_ASSERT(process_clock::now() - Began < milliseconds(300));
  }

private:
  auto startController(std::int64_t GraceMs) -> void {
    Fleet->ControllerGraceMs = GraceMs;
    Fleet->writeSettings("[drain]\ngrace_ms = " + std::to_string(GraceMs));
    Fleet->startController("e1");
    CPPUNIT_ASSERT(eventually([&] {
      const auto Page =
          Fleet->get(Fleet->Controller->metricsAddress(), "/metrics");
      return Page && Page->Body.find("ready 1\n") != std::string::npos;
    }));
  }

  /// Status of a load call; 0 if the connection closes without an answer.
  auto load(const char *Model) -> std::future<int> {
    net::http_request Request;
    Request.Method = "POST";
    Request.Target = "/load";
    Request.Fields.push_back({"Host", "h"});
    Request.Body =
        encodeLoad({model_name(Model), "", {}, target_name("e1"), {}});
    return std::async(std::launch::async, [this, Request] {
      return Fleet->Outside.await<int>([&]() -> net::awaitable<int> {
        const net::asio::any_io_executor Executor =
            Fleet->Outside.Context.get_executor();
        const auto Response =
            co_await net::fetch(Executor, Fleet->Controller->linkAddress(),
                                Request, process_clock::now() + Patience);
        co_return Response ? Response->Head.Status : 0;
      });
    });
  }

  /// Starts a load call whose order has reached the target.
  auto loadDuringOrder(const char *Model, std::int64_t LoadMs)
      -> std::future<int> {
    Fleet->Outside.call([&] { return Engine->LoadMs = LoadMs; });
    auto Call = load(Model);
    CPPUNIT_ASSERT(eventually([&] { return orders() == 1; }));
    return Call;
  }

  auto orders() -> std::size_t {
    return Fleet->Outside.call([&] { return Engine->Orders.size(); });
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Engine = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(controller_stop_test);

} // namespace
