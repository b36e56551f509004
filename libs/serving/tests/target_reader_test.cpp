#include "gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// 22 gateways in four data centres that exchange digests, in virtual time.
class target_reader_test : public CppUnit::TestFixture,
                           protected gateway_fleet {
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_reader_test);

} // namespace
