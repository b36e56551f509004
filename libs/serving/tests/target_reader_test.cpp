#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Time in which a target that drains must stop getting work, with as many
/// gateways as here.
constexpr duration DrainBound = seconds(3);
/// The least time of any deployment in which a target that drains must stop
/// getting work, less the time of a request on its way.
constexpr duration LeastDrainBound = seconds(2) - milliseconds(200);
constexpr duration Step = milliseconds(50);
/// Interval of the reads of a gateway that reads the targets.
constexpr duration ReadInterval = milliseconds(300);

/// One gateway with its connection to the store and to the others.
struct gateway_process {
  gateway_state State;
  std::uint64_t Version = 0; ///< Newest row that it has read or received.
  time_point NextRead;
  bool Alive = true;
  bool ReachesStore = true;
  bool AnswersQueries = true;
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
      checkChangeIsHeard(LeastDrainBound);
    }
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

  auto advance(gateway_process &Process, bool Ticks) -> void {
    if (Process.State.ReadsTargets && Process.ReachesStore &&
        Now >= Process.NextRead) {
      ++Reads;
      Process.NextRead = Now + ReadInterval;
      Process.Version = StoreVersion;
      apply(Process, targets_read{}, Now);
    }
    if (!Ticks)
      return;
    for (const auto &Effect :
         reduce(Process.State, tick{Process.Version}, Now)) {
      if (const auto *Query = std::get_if<query_peer>(&Effect)) {
        const auto &Peer = Processes.at(Query->Address);
        if (Peer.Alive && Peer.AnswersQueries)
          Process.Version = std::max(Process.Version, Peer.Version);
      } else if (const auto *Digest = std::get_if<send_digest>(&Effect)) {
        for (const auto &Address : Digest->Addresses)
          if (Processes.at(Address).Alive) {
            ++Digests;
            apply(Processes.at(Address), Digest->Digest, Now);
          }
      }
    }
  }

  time_point Now;
  std::map<std::string, gateway_process> Processes;
  std::uint64_t StoreVersion = 1;
  int Reads = 0;
  int Digests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_reader_test);

} // namespace
