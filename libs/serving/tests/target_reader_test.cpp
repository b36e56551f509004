#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// The least time of any deployment in which a target that drains must stop
/// getting work, less the time of a request on its way.
constexpr duration DrainBound = seconds(2) - milliseconds(200);
constexpr duration Step = milliseconds(50);
/// Interval of the reads of a gateway that reads the targets.
constexpr duration ReadInterval = milliseconds(300);
/// Longest time until a call to a store that does not answer fails.
constexpr duration StoreCallTime = milliseconds(1500);

/// One gateway with its connection to the store and to the others.
struct gateway_process {
  gateway_state State;
  std::uint64_t Version = 0; ///< Newest row that it has read or received.
  time_point NextRead;
  time_point ReadFailsAt = NoDeadline; ///< Of a call without an answer.
  bool Alive = true;
  bool ReachesStore = true;
  bool AnswersQueries = true;
  /// Query that has not been answered.
  std::optional<query_peer> Query;
  time_point AskedAt;
  bool AnswerLost = false; ///< Of the query.
  int AnswersToLose = 0;   ///< Of those with news for this gateway.
};

/// 22 gateways in four data centres that exchange digests, in virtual time.
class target_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_reader_test);
  CPPUNIT_TEST(steady_manyGateways_oneReaderADataCentre);
  CPPUNIT_TEST(steady_manyGateways_digestsArriveAtABoundedRate);
  CPPUNIT_TEST(steady_replacedGatewaysInTheList_doNotSlowDigests);
  CPPUNIT_TEST(change_steady_allHearOfIt);
  CPPUNIT_TEST(change_readersDie_othersHearOfItInTime);
  CPPUNIT_TEST(change_readersCutFromStore_othersHearOfItInTime);
  CPPUNIT_TEST(change_readersSendDigestsButNoAnswers_othersHearOfItInTime);
  CPPUNIT_TEST(change_readersDieAtAnyMoment_othersHearOfItInTime);
  CPPUNIT_TEST(change_answerLost_othersHearOfItInTime);
  CPPUNIT_TEST(change_digestsLost_othersHearOfItInTime);
  CPPUNIT_TEST(readers_answerAgain_oneReaderADataCentre);
  CPPUNIT_TEST(stop_reader_othersFollowAnotherOne);
  CPPUNIT_TEST(start_noPeerHeard_readsTargets);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { startGateways(GatewayCount); }

  auto startGateways(int Count) -> void {
    Now = time_point(seconds(1000));
    Processes.clear();
    Reads = 0;
    Digests = 0;
    StoreVersion = 1;
    LosesDigests = false;
    for (int I = 0; I < Count; ++I) {
      const auto Name = "g" + std::to_string(I);
      gateway_options Options;
      Options.Self = instance_name(Name);
      Options.Address = Name;
      Options.DataCentre = data_centre_name("dc" + std::to_string(I % 4));
      Processes[Name].State = makeGatewayState(Options);
      apply(Processes[Name], configuration_read{makeConfiguration(1)}, Now);
    }
    instances_listed Listed;
    for (const auto &[Name, Process] : Processes)
      Listed.Instances.push_back(
          {instance_name(Name), instance_role::Gateway, Name, ""});
    for (auto &[Name, Process] : Processes)
      apply(Process, Listed, Now);
  }

  auto steady_manyGateways_oneReaderADataCentre() -> void {
    run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, readers().size());
    Reads = 0;
    run(seconds(10));
    // Four readers with a read each 300 ms.
    CPPUNIT_ASSERT(Reads <= 4 * 34);
  }

  auto steady_manyGateways_digestsArriveAtABoundedRate() -> void {
    run(seconds(5));
    Digests = 0;
    run(seconds(10));
    // Ten gateways at ten digests a second.
    CPPUNIT_ASSERT(Digests / GatewayCount <= 10 * 100);
  }

  auto steady_replacedGatewaysInTheList_doNotSlowDigests() -> void {
    instances_listed Replaced;
    for (int I = 0; I < 500; ++I)
      Replaced.Instances.push_back({instance_name("old" + std::to_string(I)),
                                    instance_role::Gateway, "g0", ""});
    for (auto &[Name, Process] : Processes)
      apply(Process, Replaced, Now);
    run(seconds(5));
    checkChangeIsHeard(seconds(2));
  }

  auto change_steady_allHearOfIt() -> void {
    run(seconds(5));
    checkChangeIsHeard(seconds(2));
  }

  auto change_readersDie_othersHearOfItInTime() -> void {
    run(seconds(5));
    for (const auto &Name : readers())
      Processes[Name].Alive = false;
    checkChangeIsHeard(DrainBound);
  }

  auto change_readersCutFromStore_othersHearOfItInTime() -> void {
    run(seconds(5));
    for (const auto &Name : readers())
      Processes[Name].ReachesStore = false;
    checkChangeIsHeard(DrainBound);
    // The cut ones get the targets from the new readers.
    run(seconds(2));
    for (const auto &[Name, Process] : Processes)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, StoreVersion, Process.Version);
  }

  auto change_readersSendDigestsButNoAnswers_othersHearOfItInTime() -> void {
    for (const int Count : {4, 22, 103, 340}) {
      startGateways(Count);
      run(seconds(5));
      for (const auto &Name : readers())
        Processes[Name].AnswersQueries = false;
      checkChangeIsHeard(DrainBound);
    }
  }

  auto change_readersDieAtAnyMoment_othersHearOfItInTime() -> void {
    for (const int Count : {4, 22, 103, 340})
      for (int Phase = 0; Phase < (Count > 22 ? 1 : 10); ++Phase) {
        startGateways(Count);
        run(seconds(5) + Phase * Step);
        for (const auto &Name : readers())
          Processes[Name].Alive = false;
        checkChangeIsHeard(DrainBound);
      }
  }

  auto change_answerLost_othersHearOfItInTime() -> void {
    for (const int Count : {22, 103, 340}) {
      startGateways(Count);
      run(seconds(5));
      for (auto &[Name, Process] : Processes)
        Process.AnswersToLose = 1;
      checkChangeIsHeard(DrainBound);
    }
  }

  auto change_digestsLost_othersHearOfItInTime() -> void {
    for (const int Count : {22, 340}) {
      startGateways(Count);
      run(seconds(5));
      LosesDigests = true;
      checkChangeIsHeard(DrainBound);
    }
  }

  auto readers_answerAgain_oneReaderADataCentre() -> void {
    run(seconds(5));
    const auto Before = readers();
    for (const auto &Name : Before)
      Processes[Name].AnswersQueries = false;
    run(seconds(3));
    for (const auto &Name : Before)
      Processes[Name].AnswersQueries = true;
    run(seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, readers().size());
  }

  auto stop_reader_othersFollowAnotherOne() -> void {
    run(seconds(5));
    const auto Before = readers();
    for (const auto &Name : Before)
      perform(Processes[Name], stop_began{Now + seconds(8), Now + seconds(3)});
    run(seconds(4));
    for (const auto &Name : Before)
      Processes[Name].Alive = false;
    const auto After = readers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, After.size());
  }

  auto start_noPeerHeard_readsTargets() -> void {
    for (const auto &[Name, Process] : Processes)
      CPPUNIT_ASSERT(Process.State.ReadsTargets);
    apply(Processes["g0"], tick{}, Now);
    CPPUNIT_ASSERT(Processes["g0"].State.ReadsTargets);
  }

private:
  static constexpr int GatewayCount = 22;

  auto readers() -> std::set<std::string> {
    std::set<std::string> Names;
    for (const auto &[Name, Process] : Processes)
      if (Process.Alive && Process.State.ReadsTargets)
        Names.insert(Name);
    return Names;
  }

  /// A row changes; the gateways that live and reach the store know it by then.
  auto checkChangeIsHeard(duration Bound) -> void {
    ++StoreVersion;
    run(Bound);
    for (const auto &[Name, Process] : Processes)
      if (Process.Alive && Process.ReachesStore)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, StoreVersion, Process.Version);
  }

  auto run(duration Span) -> void {
    const auto End = Now + Span;
    for (int Count = 0; Now < End; ++Count, Now += Step)
      for (auto &[Name, Process] : Processes)
        if (Process.Alive)
          advance(Process, Count % 2 == 0);
  }

  static auto apply(gateway_process &Process, const gateway_event &Event,
                    time_point Now) -> void {
    static_cast<void>(reduce(Process.State, Event, Now));
  }

  auto perform(gateway_process &Process, const gateway_event &Event) -> void {
    for (const auto &Effect : reduce(Process.State, Event, Now)) {
      if (const auto *Query = std::get_if<query_peer>(&Effect))
        ask(Process, *Query);
      else if (const auto *Digest = std::get_if<send_digest>(&Effect))
        send(*Digest);
    }
  }

  auto ask(gateway_process &Process, const query_peer &Query) -> void {
    if (Query.WaitMs > 0) {
      CPPUNIT_ASSERT(!Process.Query);
      Process.Query = Query;
      Process.AskedAt = Now;
      Process.AnswerLost = false;
      return;
    }
    const auto &Peer = Processes.at(Query.Address);
    if (Peer.Alive && Peer.AnswersQueries)
      Process.Version = std::max(Process.Version, Peer.Version);
  }

  auto send(const send_digest &Digest) -> void {
    for (const auto &Address : Digest.Addresses)
      if (Processes.at(Address).Alive && !LosesDigests) {
        ++Digests;
        apply(Processes.at(Address), Digest.Digest, Now);
      }
  }

  /// Answers the open query of \p Process, or lets it fail at its deadline.
  auto answer(gateway_process &Process) -> void {
    const auto Query = *Process.Query;
    const auto &Peer = Processes.at(Query.Address);
    const auto AgeMs = targetsReadAgeMs(Peer.State, Now);
    const bool News = Peer.Version > Process.Version;
    if (Peer.Alive && Peer.AnswersQueries && !Process.AnswerLost &&
        (News || AgeMs < 0 ||
         Now >= Process.AskedAt + milliseconds(Query.WaitMs))) {
      Process.AnswerLost = News && Process.AnswersToLose-- > 0;
      if (!Process.AnswerLost) {
        Process.Query.reset();
        Process.Version = std::max(Process.Version, Peer.Version);
        perform(Process, peer_answered{Query.Address, true, true, AgeMs});
        return;
      }
    }
    if (Now < Query.Deadline)
      return;
    Process.Query.reset();
    perform(Process, peer_answered{Query.Address, true, false, -1});
  }

  auto readStore(gateway_process &Process) -> void {
    if (Process.ReachesStore) {
      ++Reads;
      Process.NextRead = Now + ReadInterval;
      Process.ReadFailsAt = NoDeadline;
      Process.Version = StoreVersion;
      perform(Process, targets_read{});
      return;
    }
    if (Process.ReadFailsAt == NoDeadline)
      Process.ReadFailsAt = Now + StoreCallTime;
    if (Now < Process.ReadFailsAt)
      return;
    Process.ReadFailsAt = NoDeadline;
    perform(Process, targets_read_failed{});
  }

  auto advance(gateway_process &Process, bool Ticks) -> void {
    if (Process.State.ReadsTargets && Now >= Process.NextRead)
      readStore(Process);
    if (Process.Query)
      answer(Process);
    if (Ticks)
      perform(Process, tick{Process.Version});
  }

  time_point Now;
  std::map<std::string, gateway_process> Processes;
  std::uint64_t StoreVersion = 1;
  int Reads = 0;
  int Digests = 0;
  bool LosesDigests = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_reader_test);

} // namespace
