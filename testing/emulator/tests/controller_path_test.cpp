#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// A gateway that asks a real controller to load what is missing.
class controller_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(controller_path_test);
  CPPUNIT_TEST(load_missingModel_isOrderedAndServed);
  CPPUNIT_TEST(load_noRoom_unloadsAnotherModelFirst);
  CPPUNIT_TEST(load_targetCrashesOnIt_isCharged);
  CPPUNIT_TEST(metrics_afterOrders_countThem);
  CPPUNIT_TEST(restart_fencingToken_rises);
  CPPUNIT_TEST(restart_targetRunsOn_ordersAtOnce);
  CPPUNIT_TEST(restart_targetStartsAgainAsWell_ordersAtOnce);
  CPPUNIT_TEST(restart_targetStartsAgain_waitsForOrdersOfThePredecessor);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    Engine = &Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] {
      Engine->Behaviour = behaviour::Stream;
      return Engine->Models.insert("a").second;
    });
    Fleet->publish("e1");
    Fleet->startController("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto load_missingModel_isOrderedAndServed() -> void {
    CPPUNIT_ASSERT(served("b"));
    const auto Order = firstOrder();
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         Order.at("model").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         Order.at("precondition").get<std::uint64_t>());
    CPPUNIT_ASSERT(Order.at("fencing_token").get<std::uint64_t>() > 0);
  }

  auto load_noRoom_unloadsAnotherModelFirst() -> void {
    Fleet->Outside.call([&] {
      Engine->Models = {"a", "c", "d"};
      return 0;
    });
    Fleet->publish("e1");
    // A model that has just appeared is not evicted.
    usleep(2'700'000);
    CPPUNIT_ASSERT(served("b"));
    CPPUNIT_ASSERT_EQUAL(std::string("model_unloading"),
                         firstOrder().at("operation").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Fleet->Outside.call([&] {
      return Engine->Models.size();
    }));
  }

  auto load_targetCrashesOnIt_isCharged() -> void {
    Fleet->Outside.call([&] { return Engine->CrashLoads.insert("b").second; });
    CPPUNIT_ASSERT(!served("b"));
    CPPUNIT_ASSERT(eventually([&] { return Fleet->metric("suspects") == 1; }));
    const auto Page =
        Fleet->get(Fleet->Gateway->metricsAddress(), "/quarantine");
    CPPUNIT_ASSERT(Page && Page->Body.find("\"load:") != std::string::npos);
  }

  auto metrics_afterOrders_countThem() -> void {
    CPPUNIT_ASSERT(served("b"));
    const auto Page =
        Fleet->get(Fleet->Controller->metricsAddress(), "/metrics");
    CPPUNIT_ASSERT(Page.has_value());
    for (const auto *Line :
         {"orders{kind=\"load\"} 1\n", "ready 1\n", "target_models 2\n",
          "model_job_count{kind=\"held\"} 1\n"})
      CPPUNIT_ASSERT_MESSAGE(Line, Page->Body.find(Line) != std::string::npos);
  }

  auto restart_fencingToken_rises() -> void {
    CPPUNIT_ASSERT(served("b"));
    const auto Before = firstOrder().at("fencing_token").get<std::uint64_t>();
    const auto Row = Fleet->Outside.call(
        [&] { return Fleet->Store->version("instances", "controller-1"); });
    CPPUNIT_ASSERT_EQUAL(Row, Before);
    Fleet->startController("e1");
    const auto Until = process_clock::now() + Patience;
    auto After = Row;
    while (After == Row && process_clock::now() < Until)
      After = Fleet->Outside.call(
          [&] { return Fleet->Store->version("instances", "controller-1"); });
    CPPUNIT_ASSERT(After > Before);
  }

  auto restart_targetRunsOn_ordersAtOnce() -> void {
    CPPUNIT_ASSERT(served("b"));
    Fleet->startController("e1");
    CPPUNIT_ASSERT(served("c"));
  }

  /// As after a loss of power, with no order open.
  auto restart_targetStartsAgainAsWell_ordersAtOnce() -> void {
    CPPUNIT_ASSERT(served("b"));
    Fleet->stopController();
    Fleet->Outside.call([&] {
      Engine->startAgain();
      return 0;
    });
    Fleet->publish("e1");
    Fleet->startController("e1");
    CPPUNIT_ASSERT(served("b"));
  }

  /// Guards against an overload by an order that a controller has left
  /// unanswered: its successor does not know it, and the target, which has
  /// started again under its id, accepts it at a sequence of the past.
  auto restart_targetStartsAgain_waitsForOrdersOfThePredecessor() -> void {
    CPPUNIT_ASSERT(served("b"));
    Fleet->Outside.call([&] { return Engine->HangsOrders = true; });
    ask("c");
    // The order has no answer by now, and the store has that.
    usleep(500'000);
    Fleet->stopController();
    const auto Before = Fleet->Outside.call([&] {
      Engine->HangsOrders = false;
      Engine->startAgain();
      return Engine->Orders.size();
    });
    Fleet->publish("e1");
    Fleet->startController("e1");
    for (int I = 0; I < 20; ++I, usleep(100'000))
      ask("c");
    CPPUNIT_ASSERT_EQUAL(
        Before, Fleet->Outside.call([&] { return Engine->Orders.size(); }));
    const auto Page =
        Fleet->get(Fleet->Controller->metricsAddress(), "/metrics");
    CPPUNIT_ASSERT(Page && Page->Body.find("loads_held_back{kind=\"model\"}") !=
                               std::string::npos);
  }

private:
  /// Sends until the model is served; controllers are found by then.
  auto served(const std::string &Model) -> bool {
    const auto Until = process_clock::now() + Patience;
    while (process_clock::now() < Until) {
      const auto Answer = ask(Model);
      if (Answer.Head.Status == 200 && Answer.Body == wholeStream())
        return true;
      usleep(50'000);
    }
    return false;
  }

  auto ask(const std::string &Model) -> client_answer {
    return Fleet->send("/chat/x", "prompt",
                       {{"X-Limpetbridge-Model", Model},
                        {"X-Limpetbridge-Token-Usage", "100,20"}});
  }

  auto firstOrder() -> nlohmann::json {
    return Fleet->Outside.call([&] { return Engine->Orders.at(0); });
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Engine = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(controller_path_test);

} // namespace
