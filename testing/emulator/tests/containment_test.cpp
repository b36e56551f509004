#include "fleet_fixture.h"
#include "link_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <stdexcept>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Messages and errors that must end at most the request that they belong to.
class containment_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(containment_test);
  CPPUNIT_TEST(datagram_deeplyNested_isRefused);
  CPPUNIT_TEST(datagram_anyBytes_processGoesOn);
  CPPUNIT_TEST(peerCall_deeplyNested_isRefused);
  CPPUNIT_TEST(controllerDatagram_deeplyNested_isRefused);
  CPPUNIT_TEST(rows_oddEntriesKeepChanging_othersAreFollowed);
  CPPUNIT_TEST(attempt_unexpectedError_endsOnlyItsRequest);
  CPPUNIT_TEST(event_unexpectedError_endsOnlyItsRequest);
  CPPUNIT_TEST(call_namesThatAreNotUtf8_areRefused);
  CPPUNIT_TEST(digest_namesThatAreNotUtf8_loadsGoOn);
  CPPUNIT_TEST(peerAnswer_unexpectedError_processGoesOn);
  CPPUNIT_TEST(order_unexpectedError_endsOnlyItsLoad);
  CPPUNIT_TEST(order_unexpectedErrorBeforeTheFirstGreeting_holdingsAreTold);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    Fleet->addWorker("w1", "ledger");
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto datagram_deeplyNested_isRefused() -> void {
    start();
    sendDatagram(Fleet->Gateway->peersAddress(), nested());
    CPPUNIT_ASSERT(eventually([&] {
      return Fleet->metric("messages_unreadable{kind=\"datagram\"}") == 1;
    }));
    checkServing();
  }

  auto datagram_anyBytes_processGoesOn() -> void {
    start();
    std::uint32_t Random = 20261204;
    for (int I = 0; I < 2000; ++I) {
      std::string Bytes(I % 97, '\0');
      for (auto &Byte : Bytes) {
        Random = Random * 1664525U + 1013904223U;
        Byte = static_cast<char>(Random >> 24U);
      }
      sendDatagram(Fleet->Gateway->peersAddress(), Bytes);
    }
    checkServing();
  }

  auto peerCall_deeplyNested_isRefused() -> void {
    start();
    const net::asio::any_io_executor Executor =
        Fleet->Outside.Context.get_executor();
    net::http_request Request;
    Request.Method = "POST";
    Request.Target = "/knowledge";
    Request.Fields.push_back({"Host", "h"});
    Request.Body = nested();
    const auto Address = Fleet->Gateway->peersAddress();
    const auto Answer =
        Fleet->Outside.await<std::optional<net::http_response>>([&] {
          return net::fetch(Executor, Address, Request,
                            process_clock::now() + seconds(2));
        });
    CPPUNIT_ASSERT(Answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{400}, Answer->Head.Status);
    checkServing();
  }

  auto controllerDatagram_deeplyNested_isRefused() -> void {
    auto &Engine = Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] { return Engine.Behaviour = behaviour::Stream; });
    Fleet->startController("e1");
    start();
    sendDatagram(Fleet->Controller->linkAddress(), nested());
    CPPUNIT_ASSERT(eventually([&] {
      return Fleet
                 ->send("/chat/x", "prompt",
                        {{"X-Limpetbridge-Model", "b"},
                         {"X-Limpetbridge-Token-Usage", "100,20"}})
                 .Body == wholeStream();
    }));
  }

  auto rows_oddEntriesKeepChanging_othersAreFollowed() -> void {
    start();
    const std::string Deep(60'000, '[');
    const auto Valid = Fleet->Outside.call(
        [&] { return nlohmann::json::parse(Fleet->Workers["w1"]->row()); });
    for (int Round = 0; Round < 10; ++Round) {
      auto BadPort = Valid;
      BadPort["address"] = "127.0.0.1:70000";
      auto BadNumber = Valid;
      BadNumber["slots"] = 1e300 - Round;
      Fleet->Outside.call([&] {
        for (const auto *Table : {"servers", "instances"}) {
          Fleet->Store->put(Table, "odd-1", Deep + std::to_string(Round));
          Fleet->Store->put(Table, "odd-2", BadPort.dump());
          Fleet->Store->put(Table, "odd-3", BadNumber.dump());
          Fleet->Store->put(Table, "odd\r\nX-4: 1", Valid.dump());
        }
        return 0;
      });
      usleep(30'000);
    }
    auto &Second = Fleet->addWorker("w2", "ledger");
    Fleet->Outside.call([&] { return Fleet->Workers["w1"]->Draining = true; });
    Fleet->publish("w1");
    CPPUNIT_ASSERT(eventually([&] {
      checkServing();
      return Fleet->Outside.call([&] { return !Second.Requests.empty(); });
    }));
    const std::string Count = "decisions{kind=\"row_unreadable\"}";
    CPPUNIT_ASSERT(Fleet->metric(Count) > 0);
    usleep(700'000);
    const auto Reported = Fleet->metric(Count);
    // The whole table is read again, with the same versions.
    Fleet->Outside.call(
        [&] { return Fleet->Store->Faults.HistoryGone = true; });
    usleep(700'000);
    CPPUNIT_ASSERT_EQUAL(Reported, Fleet->metric(Count));
    checkServing();
  }

  auto attempt_unexpectedError_endsOnlyItsRequest() -> void {
    const auto Failing = std::make_shared<std::atomic<bool>>(false);
    Fleet->ChangeHooks = [Failing](gateway_hooks &Hooks) {
      Hooks.ParseResponseHead = [Failing, Inner = Hooks.ParseResponseHead](
                                    const net::response_head &Head,
                                    const std::string &Id) {
        if (*Failing)
          throw std::runtime_error("unexpected");
        return Inner(Head, Id);
      };
    };
    start();
    *Failing = true;
    // The target has run it, so nothing may say that it has not.
    const auto Status = Fleet->send("/pay/x", "b").Head.Status;
    CPPUNIT_ASSERT(Status == 0 || Status == 502);
    *Failing = false;
    checkServing();
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->metric("requests_in_progress") == 0; }));
  }

  auto event_unexpectedError_endsOnlyItsRequest() -> void {
    const auto Failing = std::make_shared<std::atomic<bool>>(false);
    Fleet->ChangeHooks = [Failing](gateway_hooks &Hooks) {
      Hooks.ParseCall =
          [Failing, Inner = Hooks.ParseCall](const net::http_request &Request,
                                             time_point Arrived) {
            if (*Failing)
              throw std::runtime_error("unexpected");
            return Inner(Request, Arrived);
          };
    };
    start();
    *Failing = true;
    const auto Status = Fleet->send("/pay/x", "b").Head.Status;
    CPPUNIT_ASSERT(Status == 0 || Status >= 500);
    *Failing = false;
    checkServing();
  }

  /// A load that names an adapter in other bytes once ended the process.
  auto call_namesThatAreNotUtf8_areRefused() -> void {
    startWithController();
    for (const auto *Model : {"a/\xff\xfe", "\xc3", "a/\xed\xa0\x80"})
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{400}, chat(Model).Head.Status);
    CPPUNIT_ASSERT_EQUAL(wholeStream(), chat("a").Body);
    CPPUNIT_ASSERT_EQUAL(wholeStream(), chat("b").Body);
  }

  auto digest_namesThatAreNotUtf8_loadsGoOn() -> void {
    startWithController();
    serving::gateway_digest Digest;
    Digest.From = instance_name("gateway-\xff");
    Digest.Address = "127.0.0.1:9";
    Digest.Sequence = 1;
    Digest.AdapterUse.emplace(
        target_name("e1"), serving::adapter_key(model_name("a"), "\xff\xfe"));
    Digest.Demand[model_name("\xff")] = {1, 1};
    sendDatagram(Fleet->Gateway->peersAddress(), encodeLink(Digest));
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->metric("gateways_heard") == 1; }));
    // The request for a load names the adapters that were used.
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, chat("a/x").Head.Status);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1},
                         Fleet->metric("unexpected_errors{kind=\"load\"}"));
    CPPUNIT_ASSERT_EQUAL(wholeStream(), chat("b").Body);
  }

  auto peerAnswer_unexpectedError_processGoesOn() -> void {
    Fleet->ChangeHooks = [](gateway_hooks &Hooks) {
      Hooks.Watch = [Inner = Hooks.Watch](auto &&...Arguments) {
        auto Sync = Inner(Arguments...);
        Sync.BuildQuery = []() -> std::string {
          throw std::runtime_error("unexpected");
        };
        return Sync;
      };
    };
    // Without the store, a seed is asked.
    Fleet->ChangeSettings = [](node_settings &Settings) {
      Settings.GatewaySeeds = "127.0.0.1:9";
    };
    Fleet->Outside.call([&] { return Fleet->Store->Faults.Down = true; });
    Fleet->startGateway();
    CPPUNIT_ASSERT(eventually([&] {
      return Fleet->metric("unexpected_errors{kind=\"peer_query\"}") > 0;
    }));
    Fleet->Outside.call([&] { return Fleet->Store->Faults.Down = false; });
    CPPUNIT_ASSERT(Fleet->awaitReady());
    checkServing();
  }

  auto order_unexpectedError_endsOnlyItsLoad() -> void {
    const auto Failing = failOrders();
    startWithController();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, chat("b").Head.Status);
    *Failing = false;
    CPPUNIT_ASSERT(eventually([&] { return chat("b").Body == wholeStream(); }));
  }

  /// The gateway lists the controller late and asks for loads before it greets.
  auto order_unexpectedErrorBeforeTheFirstGreeting_holdingsAreTold() -> void {
    failOrders();
    addEngine();
    start();
    Fleet->startController("e1");
    awaitHoldings();
  }

private:
  /// Makes the orders of the controller that is started next fail. \returns
  /// what ends that.
  auto failOrders() -> std::shared_ptr<std::atomic<bool>> {
    auto Failing = std::make_shared<std::atomic<bool>>(true);
    Fleet->ChangeControllerHooks = [Failing](controller_hooks &Hooks) {
      Hooks.BuildOrderRequest =
          [Failing, Inner = Hooks.BuildOrderRequest](const order_facts &Facts) {
            if (*Failing)
              throw std::runtime_error("unexpected");
            return Inner(Facts);
          };
    };
    return Failing;
  }

  /// Adds an engine that holds model a.
  auto addEngine() -> void {
    auto &Engine = Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] {
      Engine.Behaviour = behaviour::Stream;
      return Engine.Models.insert("a").second;
    });
    Fleet->publish("e1");
  }

  auto awaitHoldings() -> void {
    CPPUNIT_ASSERT(eventually([&] {
      return Fleet->metric("target_told_age_ms{target=\"e1\"}") >= 0;
    }));
  }

  /// Starts a controller and a gateway; the engine holds model a.
  auto startWithController() -> void {
    addEngine();
    Fleet->startController("e1");
    start();
    CPPUNIT_ASSERT(eventually([&] { return chat("a").Body == wholeStream(); }));
    // Before the controller is listed, no load can be requested.
    awaitHoldings();
  }

  auto chat(const std::string &Model) -> client_answer {
    return Fleet->send("/chat/x", "prompt",
                       {{"X-Limpetbridge-Model", Model},
                        {"X-Limpetbridge-Token-Usage", "100,20"}});
  }

  auto start() -> void {
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    usleep(100'000);
  }

  auto checkServing() -> void {
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                         Fleet->send("/read/x").Head.Status);
  }

  /// Arrays within arrays, as many as a datagram holds.
  static auto nested() -> std::string {
    constexpr std::size_t Depth = 59'000;
    constexpr char ArrayOfOne = '\x91';
    constexpr char Nil = '\xc0';
    return std::string(Depth, ArrayOfOne) + Nil;
  }

  static auto sendDatagram(const std::string &Address, const std::string &Bytes)
      -> void {
    net::asio::io_context Context;
    net::udp::socket Socket(Context, net::udp::v4());
    Socket.send_to(net::asio::buffer(Bytes),
                   *net::parseEndpoint<net::udp>(Address));
  }

  std::unique_ptr<fleet> Fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(containment_test);

} // namespace
