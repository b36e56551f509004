#include "gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Bounds for gateways that reach the store, and for all others that reach any
/// gateway.
constexpr duration ApplyBound = seconds(3);
constexpr duration RevocationBound = seconds(5);

/// A key that was removed is refused by all gateways in time, in virtual time.
class revocation_test : public CppUnit::TestFixture, protected gateway_fleet {
  CPPUNIT_TEST_SUITE(revocation_test);
  CPPUNIT_TEST(remove_storeReached_refusedInTime);
  CPPUNIT_TEST(remove_storeTurnsSomeAway_refusedInTime);
  CPPUNIT_TEST(remove_linksCut_refusedInTime);
  CPPUNIT_TEST(cut_wholly_acceptsKnownKeysUnlessStrict);
  CPPUNIT_TEST(steady_strict_noRefusalAndNoFurtherCalls);
  CPPUNIT_TEST(storeAway_allGateways_queriesAreRare);
  CPPUNIT_TEST(wake_keyInDoubt_waitsForAConfirmation);
  CPPUNIT_TEST(wake_noOtherGatewayKnown_asksSeed);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { start(GatewayCount); }

  auto remove_storeReached_refusedInTime() -> void {
    checkRemoved(ApplyBound);
    start(103);
    checkRemoved(ApplyBound);
    // A call for changes that began before this gateway read the targets waits
    // for up to 20 s.
    start(1);
    Processes.at("g0").MissesConfiguration = true;
    checkRemoved(ApplyBound);
  }

  auto remove_storeTurnsSomeAway_refusedInTime() -> void {
    turnAway([](int Number) { return Number % 2 == 0; });
    run(seconds(10));
    LosesDigests = true;
    checkRemoved(RevocationBound);
    start(GatewayCount);
    const auto Readers = readers();
    turnAway([&](int Number) {
      return Readers.contains("g" + std::to_string(Number));
    });
    checkRemoved(RevocationBound);
    start(GatewayCount);
    turnAway([](int Number) { return Number > 0; });
    checkRemoved(RevocationBound);
  }

  auto remove_linksCut_refusedInTime() -> void {
    // One data centre reaches a single gateway outside.
    const auto Inside = [](int Number) { return Number % 4 == 0; };
    turnAway(Inside);
    IsCut = [Inside](int From, int To) {
      return Inside(From) != Inside(To) && From != 9 && To != 9;
    };
    checkRemoved(RevocationBound);
    // g2 reaches only g1, which the store turns away as well.
    start(3);
    turnAway([](int Number) { return Number > 0; });
    IsCut = [](int From, int To) { return From + To == 2 && From != To; };
    run(seconds(10));
    checkRemoved(RevocationBound);
  }

  auto cut_wholly_acceptsKnownKeysUnlessStrict() -> void {
    turnAway([](int Number) { return Number == 5; });
    IsCut = [](int From, int To) { return From == 5 || To == 5; };
    CPPUNIT_ASSERT(probe("g5", "new") == result_code::UnknownKey);
    run(seconds(20));
    CPPUNIT_ASSERT(probe("g5", "old") == result_code::Ok);
    // It may have been added meanwhile.
    CPPUNIT_ASSERT(probe("g5", "new") == result_code::NotReady);
    CPPUNIT_ASSERT(probe("g5", "") == result_code::UnknownKey);
    Processes.at("g5").State.Options.RevocationIsStrict = true;
    CPPUNIT_ASSERT(probe("g5", "old") == result_code::NotReady);
    IsCut = [](int, int) { return false; };
    run(seconds(5));
    CPPUNIT_ASSERT(probe("g5", "old") == result_code::Ok);
  }

  auto steady_strict_noRefusalAndNoFurtherCalls() -> void {
    for (auto &[Name, Process] : Processes)
      Process.State.Options.RevocationIsStrict = true;
    for (int I = 0; I < 100; ++I, run(milliseconds(250)))
      for (const auto &[Name, Process] : Processes)
        CPPUNIT_ASSERT_MESSAGE(Name, probe(Name, "old") == result_code::Ok);
    const auto Asked = countQueries();
    CPPUNIT_ASSERT_EQUAL(0, ConfigurationReads);
    start(GatewayCount, false);
    run(seconds(25));
    CPPUNIT_ASSERT_EQUAL(countQueries(), Asked);
  }

  /// There is nothing to learn then; each would ask three others a second.
  auto storeAway_allGateways_queriesAreRare() -> void {
    const auto Count = [&] {
      turnAway([](int) { return true; });
      run(seconds(15));
      const auto Before = countQueries();
      run(seconds(10));
      return countQueries() - Before;
    };
    const auto Asked = Count();
    start(GatewayCount, false);
    CPPUNIT_ASSERT((Asked - Count()) / GatewayCount <= 8);
  }

  /// What has arrived during a suspension is old, and a key may have been
  /// removed since.
  auto wake_keyInDoubt_waitsForAConfirmation() -> void {
    for (const bool Strict : {false, true}) {
      auto Gateway = wake(Strict);
      CPPUNIT_ASSERT(awaitsConfiguration(Gateway, 1));
      CPPUNIT_ASSERT(Gateway.effectsOf<read_configuration>().size() == 1 &&
                     Gateway.effectsOf<query_peer>().size() == 1);
      Gateway.dispatch(configuration_read{makeConfiguration(3, {{"w", {}}})});
      Gateway.dispatch(configuration_confirmed{Gateway.Now});
      CPPUNIT_ASSERT(Gateway.onlyEffect<refuse_request>().Code ==
                     result_code::UnknownKey);
      Gateway = wake(Strict);
      Gateway.dispatch(configuration_confirmed{Gateway.Now});
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           Gateway.effectsOf<send_attempt>().size());
      Gateway = wake(Strict);
      Gateway.Now += milliseconds(500);
      Gateway.dispatch(tick{});
      CPPUNIT_ASSERT(Gateway.onlyEffect<refuse_request>().RetryAfterMs > 0);
      const auto LeavesToOthers = [&Gateway] {
        return mustLeaveToOthers(Gateway.State, knowledge_kind::Configuration,
                                 Gateway.Now);
      };
      CPPUNIT_ASSERT(LeavesToOthers());
      // Once another gateway is found to know nothing newer, keys are accepted
      // unless revocation is strict, and callers find no better gateway.
      peer_answered Answer;
      Answer.Address = "g2:1";
      Answer.Answered = true;
      Answer.ConfigurationKnownAgeMs = 10'000;
      Gateway.dispatch(Answer);
      CPPUNIT_ASSERT(!LeavesToOthers());
      Gateway.receiveRequest(2, "/read/x");
      CPPUNIT_ASSERT_EQUAL(Strict, Gateway.effectsOf<send_attempt>().empty());
      CPPUNIT_ASSERT_EQUAL(
          Strict, Gateway.onlyEffect<refuse_request>().RetryAfterMs > 0);
      // A gateway with a recent configuration takes the callers.
      gateway_digest Digest;
      Digest.From = instance_name("g2");
      Digest.Configuration = 2;
      Digest.ConfigurationKnownAgeMs = 0;
      Gateway.dispatch(Digest);
      Gateway.dispatch(tick{});
      Gateway.Now += milliseconds(500);
      Gateway.dispatch(tick{});
      CPPUNIT_ASSERT(LeavesToOthers());
    }
  }

  /// A gateway that got its configuration from a seed, but no row of another
  /// gateway, never asked again and never learned of a removed key.
  auto wake_noOtherGatewayKnown_asksSeed() -> void {
    auto Gateway = wake(false, {});
    CPPUNIT_ASSERT_EQUAL(std::string("seed:1"),
                         Gateway.onlyEffect<query_peer>().Address);
  }

private:
  static auto awaitsConfiguration(const gateway_harness &Gateway,
                                  request_number Number) -> bool {
    return Gateway.State.Requests.at(Number).Awaited ==
           knowledge_kind::Configuration;
  }

  auto start(int Count, bool HasWorkspaces = true) -> void {
    startWithTargets(Count);
    if (HasWorkspaces)
      Configurations[2] = makeConfiguration(2, {{"w", {"old", "kept"}}});
    run(seconds(5));
  }

  auto turnAway(const std::function<bool(int)> &IsAway) -> void {
    for (auto &[Name, Process] : Processes)
      Process.ReachesStore = !IsAway(numberOf(Name));
  }

  auto countQueries() -> int {
    int Queries = 0;
    for (const auto &[Name, Process] : Processes)
      Queries += Process.Queries;
    return Queries;
  }

  /// What becomes of a request with \p Key; Ok if it is sent. A wait for a
  /// confirmation is ended by the tick after it.
  auto probe(const std::string &Name, const std::string &Key) -> result_code {
    gateway_harness Gateway;
    std::swap(Gateway.State, Processes.at(Name).State);
    Gateway.Now = Now;
    Gateway.Key = Key;
    Gateway.receiveRequest(++LastRequest, "/read/");
    if (Gateway.State.Requests.contains(LastRequest) &&
        awaitsConfiguration(Gateway, LastRequest)) {
      Gateway.Now += milliseconds(500);
      Gateway.dispatch(tick{});
    }
    const auto Result = Gateway.effectsOf<send_attempt>().size() == 1
                            ? result_code::Ok
                            : Gateway.onlyEffect<refuse_request>().Code;
    Gateway.dispatch(caller_left{LastRequest});
    std::swap(Gateway.State, Processes.at(Name).State);
    return Result;
  }

  /// The store acknowledges a version without a key; after \p Bound no gateway
  /// accepts it.
  auto checkRemoved(duration Bound) -> void {
    for (const auto &[Name, Process] : Processes)
      CPPUNIT_ASSERT_MESSAGE(Name, probe(Name, "old") == result_code::Ok);
    Configurations[3] = makeConfiguration(3, {{"w", {"kept"}}});
    run(Bound);
    for (const auto &[Name, Process] : Processes) {
      CPPUNIT_ASSERT_MESSAGE(Name,
                             probe(Name, "old") == result_code::UnknownKey);
      CPPUNIT_ASSERT_MESSAGE(Name, probe(Name, "kept") == result_code::Ok);
    }
  }

  /// A gateway that wakes after ten seconds, as a request with a key arrives.
  static auto wake(bool Strict,
                   const std::vector<instance_record> &Others = {
                       {instance_name("g2"), instance_role::Gateway, "g2:1",
                        ""}}) -> gateway_harness {
    gateway_harness Gateway;
    Gateway.State.Options.Seeds = {"seed:1"};
    Gateway.State.Options.RevocationIsStrict = Strict;
    Gateway.State.Options.MaxConfigurationAge =
        gateway_options().MaxConfigurationAge;
    Gateway.addTarget("l1", "ledger", {});
    Gateway.dispatch(instances_listed{Others});
    Gateway.dispatch(
        configuration_read{makeConfiguration(2, {{"w", {"old"}}})});
    Gateway.dispatch(configuration_confirmed{Gateway.Now});
    Gateway.Now += seconds(10);
    Gateway.Key = "old";
    Gateway.receiveRequest(1, "/read/x");
    return Gateway;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(revocation_test);

} // namespace
