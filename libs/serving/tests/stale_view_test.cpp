#include "gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr duration TickInterval = milliseconds(100);

/// A gateway whose own knowledge of the targets grows old, in virtual time.
class stale_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stale_view_test);
  CPPUNIT_TEST(request_rowsOldWhilePeersAreCurrent_isNotSent);
  CPPUNIT_TEST(tick_ownReadStaysOpen_currentPeersAreAsked);
  CPPUNIT_TEST(tick_noQueryIsAnswered_asksMoreRarely);
  CPPUNIT_TEST(answer_ofACurrentPeerComesLate_requestIsNotSent);
  CPPUNIT_TEST(answer_ofAPeerWithOldRows_requestIsSent);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Gateway = gateway_harness();
    Asked.clear();
    Gateway.addTarget("t1", "ledger", {});
    instances_listed Listed;
    for (const auto &Name : PeerNames)
      Listed.Instances.push_back(
          {instance_name(Name), instance_role::Gateway, Name, ""});
    Gateway.dispatch(Listed);
    Gateway.dispatch(targets_read{});
  }

  auto request_rowsOldWhilePeersAreCurrent_isNotSent() -> void {
    runWithoutRows(DrainBound);
    Gateway.receiveRequest(1, "/pay/x");
    CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
  }

  auto tick_ownReadStaysOpen_currentPeersAreAsked() -> void {
    runWithoutRows(DrainBound);
    std::set<std::string> Immediate;
    for (const auto &Query : Asked)
      if (Query.WaitMs == 0)
        Immediate.insert(Query.Address);
    CPPUNIT_ASSERT(!Immediate.empty());
  }

  auto tick_noQueryIsAnswered_asksMoreRarely() -> void {
    runWithoutRows(seconds(6));
    Asked.clear();
    runWithoutRows(seconds(4));
    const auto Immediate =
        std::count_if(Asked.begin(), Asked.end(), [](const query_peer &Query) {
          return Query.WaitMs == 0;
        });
    // Two gateways at most every 1.6 s.
    CPPUNIT_ASSERT(Immediate > 0 && Immediate <= 6);
  }

  auto answer_ofACurrentPeerComesLate_requestIsNotSent() -> void {
    receiveAnswer(100);
    CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
  }

  auto answer_ofAPeerWithOldRows_requestIsSent() -> void {
    receiveAnswer(2000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Gateway.effectsOf<send_attempt>().size());
  }

private:
  /// An answer was on its way for longer than a view may be old; no digest
  /// arrives. A request follows.
  auto receiveAnswer(std::int64_t AgeMs) -> void {
    Gateway.Now += DrainBound;
    peer_answered Answer;
    Answer.Address = "g2";
    Answer.Answered = true;
    Answer.TargetsKnownAt = Gateway.Now - DrainBound;
    Answer.TargetsKnownAgeMs = AgeMs;
    Gateway.dispatch(Answer);
    Gateway.receiveRequest(1, "/pay/x");
  }

  /// Peers that read the targets go on sending digests. The own read stays
  /// open, and no query is answered.
  auto runWithoutRows(duration Span) -> void {
    for (const auto End = Gateway.Now + Span; Gateway.Now < End;) {
      Gateway.Now += TickInterval;
      for (const auto &Name : PeerNames) {
        gateway_digest Digest;
        Digest.From = instance_name(Name);
        Digest.Address = Name;
        Digest.DataCentre = data_centre_name("south");
        Digest.TargetsReadAgeMs = 100;
        Gateway.dispatch(Digest);
      }
      Gateway.dispatch(tick{});
      for (const auto &Query : Gateway.effectsOf<query_peer>())
        Asked.push_back(Query);
    }
  }

  const std::vector<std::string> PeerNames = {"g2", "g3", "g4"};
  gateway_harness Gateway;
  std::vector<query_peer> Asked;
};

/// Gateways of which some lack processor time, answers, digests or the store.
class stale_fleet_test : public CppUnit::TestFixture, protected gateway_fleet {
  CPPUNIT_TEST_SUITE(stale_fleet_test);
  CPPUNIT_TEST(change_readerSilentAndOwnReadOpen_othersTell);
  CPPUNIT_TEST(send_gatewayWithoutTime_neverOnOldRows);
  CPPUNIT_TEST(send_gatewayWithoutTimeAndOneSource_neverOnOldRows);
  CPPUNIT_TEST(send_gatewayWithoutTime_queriesDoNotGrow);
  CPPUNIT_TEST(send_storeAwayForAll_goesOn);
  CPPUNIT_TEST(send_cutOffFromStore_goesOnWithRowsOfOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  auto change_readerSilentAndOwnReadOpen_othersTell() -> void {
    for (const int Count : {22, 103}) {
      startGateways(Count);
      run(seconds(5));
      auto &Follower = *findFollower();
      Follower.AnswersToLose = 1000;
      Follower.ReachesStore = false;
      change();
      run(DrainBound);
      CPPUNIT_ASSERT_EQUAL(StoreVersion, Follower.Version);
    }
  }

  auto send_gatewayWithoutTime_neverOnOldRows() -> void {
    for (const int Count : {18, 103})
      for (const auto Interval : TurnIntervals) {
        startWithTargets(Count);
        findFollower()->TurnInterval = Interval;
        runWithChanges(seconds(8));
      }
  }

  auto send_gatewayWithoutTimeAndOneSource_neverOnOldRows() -> void {
    for (const int Source : {0, 1, 2})
      for (const auto Interval : TurnIntervals) {
        startWithTargets(18);
        auto &Slow = *findFollower();
        Slow.TurnInterval = Interval;
        if (Source == 0)
          Processes.at(Slow.State.AskedReader).AnswersQueries = false;
        Slow.HearsDigests = Source != 1;
        Slow.ReachesStore = Source != 2;
        runWithChanges(seconds(15));
      }
  }

  auto send_gatewayWithoutTime_queriesDoNotGrow() -> void {
    int Before = 0;
    for (const auto Interval : TurnIntervals) {
      startWithTargets(18);
      auto &Slow = *findFollower();
      Slow.TurnInterval = Interval;
      Slow.Queries = 0;
      runWithChanges(seconds(10));
      if (Before > 0)
        CPPUNIT_ASSERT_MESSAGE(std::to_string(toMilliseconds(Interval)),
                               Slow.Queries <= Before);
      Before = Slow.Queries;
    }
  }

  auto send_storeAwayForAll_goesOn() -> void {
    startWithTargets(22);
    for (auto &[Name, Process] : Processes)
      Process.ReachesStore = false;
    run(seconds(2));
    for (int Round = 0; Round < 100; ++Round) {
      run(milliseconds(100));
      for (auto &[Name, Process] : Processes) {
        Process.Attempts = 0;
        request(Process);
      }
      run(milliseconds(500));
      for (auto &[Name, Process] : Processes)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, 1, Process.Attempts);
    }
  }

  auto send_cutOffFromStore_goesOnWithRowsOfOthers() -> void {
    startWithTargets(22);
    auto &CutOff = *findFollower();
    CutOff.ReachesStore = false;
    Processes.at(CutOff.State.AskedReader).ReachesStore = false;
    runWithChanges(seconds(10));
    CutOff.Attempts = 0;
    request(CutOff);
    run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(1, CutOff.Attempts);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stale_view_test);
CPPUNIT_TEST_SUITE_REGISTRATION(stale_fleet_test);

} // namespace
