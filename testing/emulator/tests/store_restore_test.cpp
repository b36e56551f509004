#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Configurations of the test are in force this long after they are written.
constexpr duration ApplyBound = seconds(3);

/// Gateways and a controller whose store is restored from an older copy.
class store_restore_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_restore_test);
  CPPUNIT_TEST(restore_lostChange_staysInForceUntilTheNext);
  CPPUNIT_TEST(restore_twiceInARow_staysInForceUntilTheNext);
  CPPUNIT_TEST(restore_gatewayStartsAfterwards_learnsTheLostChange);
  CPPUNIT_TEST(restore_gatewayWithoutStore_followsTheOthers);
  CPPUNIT_TEST(restore_ownRows_areWrittenAgain);
  CPPUNIT_TEST(restore_windowOfLoads_isWrittenAgain);
  CPPUNIT_TEST(restore_controllerStartsAgain_fencingTokenRises);
  CPPUNIT_TEST(restore_targetMissingInTheCopy_isServedOn);
  CPPUNIT_TEST(restore_waitsStayOpen_isNoticedInTime);
  CPPUNIT_TEST(restore_underRequests_allAreServed);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeSettings = [](node_settings &Settings) {
      Settings.RevocationStrict = false;
    };
    onStore([](store_emulator &Store) { Store.Era = 1; });
    declare(7, "old");
    Fleet->addWorker("w1", "ledger");
    Fleet->startGateway();
    Second = &Fleet->addGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(eventually([&] { return allAccept("old"); }));
    onStore([](store_emulator &Store) { Store.takeCopy(); });
    declare(8, "lost");
    CPPUNIT_ASSERT(eventually([&] { return allAccept("lost"); }));
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto restore_lostChange_staysInForceUntilTheNext() -> void {
    restore();
    checkLostChangeIsInForce();
    // Its version has been given out before.
    declare(8, "next");
    CPPUNIT_ASSERT(eventually([&] { return allAccept("next"); }, ApplyBound));
    CPPUNIT_ASSERT(!allAccept("lost"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, Fleet->metric("store_era"));
  }

  auto restore_twiceInARow_staysInForceUntilTheNext() -> void {
    restore();
    restore();
    checkLostChangeIsInForce();
    declare(8, "next");
    CPPUNIT_ASSERT(eventually([&] { return allAccept("next"); }, ApplyBound));
    restore();
    usleep(1'000'000);
    CPPUNIT_ASSERT(allAccept("next"));
    CPPUNIT_ASSERT(!allAccept("old") && !allAccept("lost"));
    declare(9, "last");
    CPPUNIT_ASSERT(eventually([&] { return allAccept("last"); }, ApplyBound));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, Fleet->metric("store_era"));
  }

  auto restore_gatewayStartsAfterwards_learnsTheLostChange() -> void {
    restore();
    CPPUNIT_ASSERT(eventually([&] { return Fleet->metric("store_era") == 2; }));
    auto &Fresh = Fleet->addGateway();
    CPPUNIT_ASSERT(eventually([&] { return accepts(Fresh, "lost"); }));
    CPPUNIT_ASSERT(!accepts(Fresh, "old"));
    declare(8, "next");
    CPPUNIT_ASSERT(
        eventually([&] { return accepts(Fresh, "next"); }, ApplyBound));
  }

  auto restore_gatewayWithoutStore_followsTheOthers() -> void {
    Fleet->startCutOffGateway();
    const auto &CutOff = *Fleet->CutOff;
    CPPUNIT_ASSERT(eventually([&] { return accepts(CutOff, "lost"); }));
    for (int Era = 2; Era <= 3; ++Era) {
      restore();
      const auto Line = "\nstore_era " + std::to_string(Era) + "\n";
      CPPUNIT_ASSERT(eventually([&] {
        const auto Page = Fleet->get(CutOff.metricsAddress(), "/metrics");
        return Page && Page->Body.find(Line) != std::string::npos;
      }));
      CPPUNIT_ASSERT(accepts(CutOff, "lost") && !accepts(CutOff, "old"));
    }
    declare(8, "next");
    CPPUNIT_ASSERT(
        eventually([&] { return accepts(CutOff, "next"); }, seconds(5)));
    CPPUNIT_ASSERT(!accepts(CutOff, "lost"));
  }

  auto restore_ownRows_areWrittenAgain() -> void {
    Fleet->addWorker("e1", "ledger");
    Fleet->startController("e1");
    auto &Third = Fleet->addGateway();
    CPPUNIT_ASSERT(eventually([&] { return accepts(Third, "lost"); }));
    CPPUNIT_ASSERT(eventually([&] { return isRegistered("controller-1"); }));
    CPPUNIT_ASSERT(eventually([&] { return isRegistered("gateway-3"); }));
    onStore([](store_emulator &Store) {
      Store.restore();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                           Store.version("instances", "gateway-3") +
                               Store.version("instances", "controller-1"));
    });
    CPPUNIT_ASSERT(eventually(
        [&] {
          return isRegistered("controller-1") && isRegistered("gateway-3");
        },
        seconds(2)));
  }

  /// Guards against more loads from the weight store than it allows, by
  /// controllers that do not know of each other's.
  auto restore_windowOfLoads_isWrittenAgain() -> void {
    addEngine();
    Fleet->startController("e1");
    onStore([](store_emulator &Store) { Store.takeCopy(); });
    CPPUNIT_ASSERT(eventually([&] { return isModelServed("b"); }));
    std::uint64_t Before = 0;
    std::uint64_t After = 0;
    onStore([&](store_emulator &Store) {
      Before = Store.version("loads", "window");
      Store.restore();
      After = Store.version("loads", "window");
    });
    CPPUNIT_ASSERT(Before > 0 && After == 0);
    CPPUNIT_ASSERT(eventually(
        [&] {
          onStore([&](store_emulator &Store) {
            After = Store.version("loads", "window");
          });
          return After > 0;
        },
        seconds(2)));
  }

  /// Guards against a lower fencing token after a higher one: versions of the
  /// store are given out again after a restore, and a controller that starts
  /// then knows nothing of its predecessor.
  auto restore_controllerStartsAgain_fencingTokenRises() -> void {
    auto &Engine = addEngine();
    std::uint64_t Highest = 0;
    int Writes = 20; // Fewer versions are given out each time.
    for (const auto *Model : {"a", "b", "c"}) {
      onStore([&](store_emulator &Store) {
        Store.takeCopy();
        for (int I = 0; I < Writes; ++I)
          Store.put("other", "row", "");
      });
      Writes -= 10;
      Fleet->startController("e1");
      CPPUNIT_ASSERT(eventually([&] { return isModelServed(Model); }));
      std::uint64_t Token = 0;
      onStore([&](store_emulator &) {
        Token = Engine.Orders.back().at("fencing_token").get<std::uint64_t>();
      });
      CPPUNIT_ASSERT_MESSAGE(Model + std::to_string(Token) + " after " +
                                 std::to_string(Highest),
                             Token > Highest);
      Highest = Token;
      // Its end and the restore come together, so nobody writes its row again.
      onStore([](store_emulator &Store) { Store.Faults.Down = true; });
      Fleet->stopController();
      onStore([](store_emulator &Store) {
        Store.Faults.Down = false;
        Store.restore();
      });
      Fleet->publish("e1");
    }
  }

  auto restore_targetMissingInTheCopy_isServedOn() -> void {
    onStore([](store_emulator &Store) { Store.drop("servers", "w1"); });
    onStore([](store_emulator &Store) { Store.takeCopy(); });
    Fleet->publish("w1");
    CPPUNIT_ASSERT(eventually([&] { return allAccept("lost"); }));
    restore();
    // Without a grace period it is gone as soon as the copy is listed.
    for (int I = 0; I < 6; ++I, usleep(100'000))
      CPPUNIT_ASSERT(allAccept("lost"));
    Fleet->publish("w1");
    usleep(1'500'000);
    CPPUNIT_ASSERT(allAccept("lost"));
  }

  auto restore_waitsStayOpen_isNoticedInTime() -> void {
    Fleet->addWorker("e1", "ledger");
    Fleet->startController("e1");
    CPPUNIT_ASSERT(eventually([&] { return isRegistered("controller-1"); }));
    // Time for a greeting of the gateways.
    usleep(2'500'000);
    onStore([](store_emulator &Store) { Store.restore(false); });
    CPPUNIT_ASSERT(eventually([&] { return Fleet->metric("store_era") == 2; },
                              seconds(2)));
    CPPUNIT_ASSERT(
        eventually([&] { return isRegistered("controller-1"); }, seconds(4)));
  }

  auto restore_underRequests_allAreServed() -> void {
    std::atomic<bool> Done = false;
    std::atomic<int> Refused = 0;
    std::thread Caller([&] {
      while (!Done)
        for (const auto *Receiver : {Fleet->Gateway.get(), Second})
          Refused += accepts(*Receiver, "lost") ? 0 : 1;
    });
    for (int I = 0; I < 2; ++I) {
      onStore([](store_emulator &Store) { Store.Faults.Down = true; });
      usleep(300'000);
      onStore([](store_emulator &Store) {
        Store.Faults.Down = false;
        Store.restore();
      });
      Fleet->publish("w1");
      usleep(700'000);
    }
    usleep(1'500'000);
    Done = true;
    Caller.join();
    CPPUNIT_ASSERT_EQUAL(0, Refused.load());
  }

private:
  template <typename job> auto onStore(job Job) -> void {
    Fleet->Outside.call([&] {
      Job(*Fleet->Store);
      return 0;
    });
  }

  /// The store returns from the copy; the target writes its row again.
  auto restore() -> void {
    onStore([](store_emulator &Store) { Store.restore(); });
  }

  auto declare(int Version, const char *Key) -> void {
    auto Document = nlohmann::json::parse(R"({"routes":[
      {"host":"h","prefix":"/read/","kind":"idempotent","attempts":2,
       "timeout_ms":1000,"service":"ledger"}],
      "services":[{"name":"ledger"}],"tenants":[{"name":"w"}]})");
    Document["version"] = Version;
    Document["tenants"][0]["keys"] = {Key};
    onStore([&](store_emulator &Store) {
      Store.put("op", "config", Document.dump());
    });
  }

  /// Guards against the copy being taken for the newest configuration: at once,
  /// and later when reads go on without a change.
  auto checkLostChangeIsInForce() -> void {
    CPPUNIT_ASSERT(eventually([&] { return Fleet->metric("store_era") >= 2; }));
    for (int I = 0; I < 10; ++I, usleep(100'000)) {
      CPPUNIT_ASSERT(allAccept("lost"));
      CPPUNIT_ASSERT(!allAccept("old"));
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         Fleet->metric("store_has_configuration"));
    CPPUNIT_ASSERT(Fleet->metric("configuration_age_ms") >= 900);
  }

  /// Adds a target that holds no model and the configuration that names it.
  auto addEngine() -> worker_emulator & {
    Fleet->ChangeConfiguration = [](nlohmann::json &Document) {
      Document["version"] = 20;
    };
    Fleet->publishConfiguration();
    auto &Engine = Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] {
      Engine.Behaviour = behaviour::Stream;
      return 0;
    });
    Fleet->publish("e1");
    return Engine;
  }

  auto isModelServed(const char *Model) -> bool {
    return Fleet
               ->send("/chat/x", "prompt",
                      {{"X-Limpetbridge-Model", Model},
                       {"X-Limpetbridge-Token-Usage", "100,20"}})
               .Head.Status == 200;
  }

  auto isRegistered(const char *Name) -> bool {
    std::uint64_t Version = 0;
    onStore([&](store_emulator &Store) {
      Version = Store.version("instances", Name);
    });
    return Version > 0;
  }

  auto accepts(const gateway_node &Receiver, const char *Key) -> bool {
    return Fleet->sendTo(Receiver, "/read/x", {{"X-Api-Key", Key}})
               .Head.Status == 200;
  }

  auto allAccept(const char *Key) -> bool {
    return accepts(*Fleet->Gateway, Key) && accepts(*Second, Key);
  }

  std::unique_ptr<fleet> Fleet;
  gateway_node *Second = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_restore_test);

} // namespace
