#include "gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Time after which no gateway that can reach another one decides by an older
/// configuration.
constexpr duration ApplyBound = seconds(3);

/// What became of a request.
struct decision {
  result_code Code = result_code::Ok;
  std::string Target; ///< Empty unless it was sent.
};

/// Decisions of gateways whose configuration is no longer confirmed, in virtual
/// time.
class configuration_age_test : public CppUnit::TestFixture,
                               protected gateway_fleet {
  CPPUNIT_TEST_SUITE(configuration_age_test);
  CPPUNIT_TEST(route_addedUnconfirmed_isNotAnsweredWithNotFound);
  CPPUNIT_TEST(route_droppedUnconfirmed_isNotServed);
  CPPUNIT_TEST(route_movedUnconfirmed_isNotSentToTheOldService);
  CPPUNIT_TEST(key_addedOrRemovedUnconfirmed_isNotDecided);
  CPPUNIT_TEST(quota_raisedUnconfirmed_isNotEnforced);
  CPPUNIT_TEST(change_gatewayWithoutTime_neverDecidedByAnOldVersion);
  CPPUNIT_TEST(wake_routeUnknown_waitsForAConfirmation);
  CPPUNIT_TEST(resume_clockStoodStill_nothingIsDecidedByWhatWasKnown);
  CPPUNIT_TEST(storeAway_allGateways_serviceGoesOn);
  CPPUNIT_TEST(storeAway_routeUnknown_mayReturn);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Workspaces.clear();
    Key.clear();
    HasQuotas = false;
  }

  auto route_addedUnconfirmed_isNotAnsweredWithNotFound() -> void {
    checkUndecided(withRouteAdded(), "/added/");
  }

  auto route_droppedUnconfirmed_isNotServed() -> void {
    auto Changed = makeConfiguration(3);
    std::erase_if(Changed.Routes,
                  [](const route &Route) { return Route.Prefix == "/read/"; });
    checkUndecided(Changed, "/read/");
  }

  auto route_movedUnconfirmed_isNotSentToTheOldService() -> void {
    checkUndecided(movedConfiguration(3), "/read/");
  }

  auto key_addedOrRemovedUnconfirmed_isNotDecided() -> void {
    Workspaces = {{"w", {"old", "kept"}}};
    auto Changed = makeConfiguration(3, {{"w", {"new", "kept"}}});
    Key = "old";
    checkUndecided(Changed, "/read/");
    Key = "new";
    checkUndecided(Changed, "/read/");
  }

  auto quota_raisedUnconfirmed_isNotEnforced() -> void {
    HasQuotas = true;
    Workspaces = {{"w", {"key"}}};
    Key = "key";
    checkUndecided(makeConfiguration(3, Workspaces), "/read/");
  }

  /// Its answers arrive late or are lost, as it looks at them too rarely.
  auto change_gatewayWithoutTime_neverDecidedByAnOldVersion() -> void {
    for (const bool HasWorkspaces : {false, true})
      for (const auto Interval : {milliseconds(500), milliseconds(1000),
                                  milliseconds(2000), milliseconds(4000)})
        for (const int LostSource : {0, 1, 2, 3}) {
          useWorkspaces(HasWorkspaces);
          startFleet();
          auto &Slow = *findFollower();
          Slow.TurnInterval = Interval;
          if (LostSource == 1)
            Processes.at(Slow.State.AskedReader).AnswersQueries = false;
          Slow.HearsDigests = LostSource != 2;
          Slow.ReachesStore = LostSource != 3;
          checkSeriesOfChanges();
        }
  }

  /// What the configuration had is old after a suspension.
  auto wake_routeUnknown_waitsForAConfirmation() -> void {
    for (const auto Asleep : {seconds(5), seconds(20)}) {
      startFleet();
      auto &Gateway = *findFollower();
      Gateway.Alive = false;
      run(milliseconds(500));
      Configurations[3] = withRouteAdded();
      run(Asleep);
      Gateway.Alive = true;
      const auto Decision = decide(Gateway.State.Options.Self.Text, "/added/");
      CPPUNIT_ASSERT(Decision.Code == result_code::NotReady);
      run(seconds(2));
      CPPUNIT_ASSERT_EQUAL(
          std::string("t:1"),
          decide(Gateway.State.Options.Self.Text, "/added/").Target);
    }
  }

  /// The process clock does not count the time of a suspension.
  auto resume_clockStoodStill_nothingIsDecidedByWhatWasKnown() -> void {
    for (const auto *Path : {"/read/", "/added/"}) {
      startFleet();
      auto &Gateway = *findFollower();
      apply(Gateway, machine_resumed{2, seconds(5)}, Now);
      CPPUNIT_ASSERT(decide(Gateway.State.Options.Self.Text, Path).Code ==
                     result_code::NotReady);
      run(seconds(2));
      CPPUNIT_ASSERT_EQUAL(
          std::string("t:1"),
          decide(Gateway.State.Options.Self.Text, "/read/").Target);
    }
  }

  auto storeAway_allGateways_serviceGoesOn() -> void {
    for (const bool HasWorkspaces : {false, true}) {
      useWorkspaces(HasWorkspaces);
      startFleet();
      turnAllAway();
      for (int Round = 0; Round < 50; ++Round) {
        for (auto &[Name, Process] : Processes) {
          Process.Attempts = 0;
          request(Process);
        }
        run(milliseconds(400));
        for (const auto &[Name, Process] : Processes)
          CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, 1, Process.Attempts);
      }
    }
  }

  /// Nobody can know whether the route was added, and a caller does not return
  /// after 404.
  auto storeAway_routeUnknown_mayReturn() -> void {
    startFleet();
    turnAllAway();
    run(seconds(10));
    CPPUNIT_ASSERT(decide("g1", "/unknown/").Code == result_code::NotReady);
  }

private:
  auto useWorkspaces(bool HasWorkspaces) -> void {
    Workspaces.clear();
    if (HasWorkspaces)
      Workspaces = {{"w", {"key"}}};
    Key = HasWorkspaces ? "key" : "";
  }

  auto movedConfiguration(std::uint64_t Version) const -> configuration {
    auto Moved = Workspaces.empty() ? makeConfiguration(Version)
                                    : makeConfiguration(Version, Workspaces);
    for (auto &Route : Moved.Routes)
      if (Route.Prefix == "/read/")
        Route.Shares = {
            {service_name(Version % 2 == 1 ? "other" : "ledger"), 1}};
    service_spec Other;
    Other.Name = service_name("other");
    Moved.Services[Other.Name] = Other;
    if (HasQuotas)
      for (auto &[Name, Spec] : Moved.Workspaces)
        Spec.RatePerSecond = 0.001;
    return Moved;
  }

  static auto withRouteAdded() -> configuration {
    auto Changed = makeConfiguration(3);
    Changed.Routes.push_back(Changed.Routes.back());
    Changed.Routes.back().Name = Changed.Routes.back().Prefix = "/added/";
    return Changed;
  }

  auto startFleet() -> void {
    startWithTargets(GatewayCount);
    target Other;
    Other.Name = target_name("o");
    Other.Incarnation = 1;
    Other.Service = service_name("other");
    Other.Address = "o:1";
    for (auto &[Name, Process] : Processes)
      apply(Process, target_updated{Other}, Now);
    quota_policy Quotas;
    Quotas.Window = seconds(1);
    for (auto &[Name, Process] : Processes)
      if (HasQuotas)
        Process.State.Quotas.emplace(Quotas, instance_name(Name), 1, 1);
    Configurations[2] = movedConfiguration(2);
    run(seconds(5));
  }

  auto turnAllAway() -> void {
    for (auto &[Name, Process] : Processes)
      Process.ReachesStore = false;
  }

  /// What becomes of a request; a wait for a confirmation ends with the tick
  /// after it.
  auto decide(const std::string &Name, const char *Path) -> decision {
    gateway_harness Gateway;
    std::swap(Gateway.State, Processes.at(Name).State);
    Gateway.Now = Now;
    Gateway.Key = Key;
    Gateway.receiveRequest(++LastRequest, Path);
    if (Gateway.State.Requests.contains(LastRequest) &&
        Gateway.State.Requests.at(LastRequest).CurrentTarget.empty()) {
      Gateway.Now += milliseconds(500);
      Gateway.dispatch(tick{});
      if (Gateway.State.Requests.contains(LastRequest) &&
          Gateway.State.Requests.at(LastRequest).CurrentTarget.empty())
        Gateway.dispatch(deadline_passed{LastRequest});
    }
    const auto Sent = Gateway.effectsOf<send_attempt>();
    decision Decision;
    if (Sent.size() == 1)
      Decision.Target = Sent.front().Address;
    else
      Decision.Code = Gateway.onlyEffect<refuse_request>().Code;
    Gateway.dispatch(caller_left{LastRequest});
    std::swap(Gateway.State, Processes.at(Name).State);
    return Decision;
  }

  /// A gateway that reads the targets gets neither the configuration nor
  /// answers of others, whose digests arrive. Once the change was acknowledged
  /// for longer than the bound, it leaves requests on \p Path to the others.
  auto checkUndecided(const configuration &Changed, const char *Path) -> void {
    startFleet();
    const auto Name = *readers().begin();
    auto &Late = Processes.at(Name);
    Late.MissesConfiguration = Late.LosesConfigurationReads = true;
    IsCut = [Number = numberOf(Name)](int From, int To) {
      return From == Number && To != Number;
    };
    Configurations[3] = Changed;
    run(ApplyBound);
    for (int I = 0; I < 40; ++I, run(milliseconds(250)))
      CPPUNIT_ASSERT_MESSAGE(Path,
                             decide(Name, Path).Code == result_code::NotReady);
  }

  /// Each version adds a route and moves another one. A request that no version
  /// of the last ApplyBound allows to be handled so fails the test.
  auto checkSeriesOfChanges() -> void {
    std::vector<time_point> AcknowledgedAt = {time_point(), time_point(), Now};
    for (std::uint64_t Version = 3; Version < 18; ++Version) {
      Configurations[Version] = movedConfiguration(Version);
      AcknowledgedAt.push_back(Now);
      for (int I = 0; I < 4; ++I) {
        run(milliseconds(200));
        for (const auto &[Name, Process] : Processes) {
          const auto InForce = Process.State.Configuration.Version;
          const auto Decision = decide(Name, "/read/");
          if (InForce < Version && Decision.Code != result_code::NotReady)
            CPPUNIT_ASSERT_MESSAGE(Name, Now - AcknowledgedAt.at(InForce + 1) <=
                                             ApplyBound);
        }
      }
    }
  }

  std::map<std::string, std::vector<std::string>> Workspaces;
  bool HasQuotas = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_age_test);

} // namespace
