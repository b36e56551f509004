#include "crash_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr std::uint64_t Culprit = 0xd1;
constexpr std::uint64_t System = 0xa1;
constexpr suspect CulpritPart{suspect_kind::Part, Culprit};
/// Crashes that quarantine a part.
constexpr std::size_t Crashes = 3;

/// Crashes that gateways have seen, which all end at the same moment.
class crash_rows_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_rows_test);
  CPPUNIT_TEST(restart_allAfterTheQuarantine_noFurtherEngineIsLost);
  CPPUNIT_TEST(restart_allAfterEachCrash_crashesAddUp);
  CPPUNIT_TEST(restart_requestBeforeTheRowsAreRead_waits);
  CPPUNIT_TEST(restart_storeIsAway_promptsAreServed);
  CPPUNIT_TEST(restart_storeReturns_quarantinesAgain);
  CPPUNIT_TEST(restart_clearedSince_staysAllowed);
  CPPUNIT_TEST(restart_quarantinedForLong_staysQuarantined);
  CPPUNIT_TEST(storeEra_rises_rowIsWrittenAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<crash_fleet>(3, 12);
    Fleet->KeepsRows = true;
    Fleet->CrashParts = {Culprit};
  }

  /// Guards against losing engines anew each time that all gateways are killed
  /// and nobody is left to ask.
  auto restart_allAfterTheQuarantine_noFurtherEngineIsLost() -> void {
    sendWithCulprit(Crashes);
    for (int Life = 0; Life < 5; ++Life) {
      Fleet->restartAllGateways();
      Fleet->run(milliseconds(100));
      sendWithCulprit(4);
      CPPUNIT_ASSERT_EQUAL(Crashes, Fleet->CrashCount);
      for (std::size_t I = 0; I < Fleet->Gateways.size(); ++I)
        CPPUNIT_ASSERT(Fleet->quarantined(I) ==
                       std::vector<suspect>{CulpritPart});
    }
  }

  auto restart_allAfterEachCrash_crashesAddUp() -> void {
    for (int Life = 0; Life < 12; ++Life) {
      sendWithCulprit(1);
      Fleet->restartAllGateways();
      Fleet->run(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(Crashes, Fleet->CrashCount);
  }

  auto restart_requestBeforeTheRowsAreRead_waits() -> void {
    sendWithCulprit(Crashes);
    const auto Before = Fleet->Reached;
    Fleet->restartAllGateways();
    const auto Bad = Fleet->send(0, {System, Culprit});
    const auto Sound = Fleet->send(1, {System, 0xc01});
    CPPUNIT_ASSERT(!Fleet->Refused.contains(Bad));
    Fleet->run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(Before, Fleet->Reached);
    CPPUNIT_ASSERT(Fleet->Refused.at(Bad).Code ==
                   result_code::PromptQuarantined);
    CPPUNIT_ASSERT(Fleet->Served.contains(Sound));
  }

  auto restart_storeIsAway_promptsAreServed() -> void {
    Fleet->StoreIsAway = true;
    Fleet->restartAllGateways();
    const auto Early = Fleet->send(0, {System, 0xc01});
    Fleet->run(seconds(1));
    CPPUNIT_ASSERT(Fleet->Refused.at(Early).Code == result_code::NotReady);
    CPPUNIT_ASSERT(Fleet->Refused.at(Early).RetryAfterMs > 0);
    Fleet->run(seconds(1));
    const auto Later = Fleet->send(0, {System, 0xc01});
    Fleet->run(seconds(1));
    CPPUNIT_ASSERT(Fleet->Served.contains(Later));
  }

  auto restart_storeReturns_quarantinesAgain() -> void {
    sendWithCulprit(Crashes);
    Fleet->StoreIsAway = true;
    Fleet->restartAllGateways();
    Fleet->run(seconds(2));
    sendWithCulprit(1);
    Fleet->StoreIsAway = false;
    Fleet->run(seconds(1));
    sendWithCulprit(4);
    // One more while nobody knew, if no message was on its way.
    CPPUNIT_ASSERT(Fleet->CrashCount <= Crashes + 1);
  }

  /// Guards against quarantining a part for crashes after which it was
  /// answered, as the row of another gateway still has them.
  auto restart_clearedSince_staysAllowed() -> void {
    sendWithCulprit(Crashes);
    Fleet->CrashParts.clear();
    Fleet->dispatch(0, quarantine_lifted{CulpritPart});
    Fleet->run(seconds(6));
    Fleet->restartAllGateways();
    Fleet->run(seconds(1));
    for (std::size_t I = 0; I < Fleet->Gateways.size(); ++I)
      CPPUNIT_ASSERT(Fleet->quarantined(I).empty());
    const auto Number = Fleet->send(1, {System, Culprit});
    Fleet->run(seconds(1));
    CPPUNIT_ASSERT(Fleet->Served.contains(Number));
  }

  /// Requests that are refused keep a part from being forgotten, also in the
  /// store.
  auto restart_quarantinedForLong_staysQuarantined() -> void {
    sendWithCulprit(Crashes + 2);
    for (int I = 0; I < 9; ++I) {
      Fleet->run(seconds(600));
      Fleet->send(0, {System, Culprit});
    }
    const auto Before = Fleet->CrashCount;
    Fleet->restartAllGateways();
    Fleet->run(milliseconds(100));
    CPPUNIT_ASSERT(!Fleet->quarantined(0).empty());
    CPPUNIT_ASSERT(Before <= Crashes + 2);
  }

  auto storeEra_rises_rowIsWrittenAgain() -> void {
    sendWithCulprit(Crashes);
    Fleet->forgetRows();
    for (std::size_t I = 0; I < Fleet->Gateways.size(); ++I) {
      Fleet->dispatch(I, store_era_changed{1, false});
      Fleet->dispatch(I, store_era_changed{2, true});
    }
    Fleet->run(milliseconds(100));
    Fleet->restartAllGateways();
    Fleet->run(milliseconds(100));
    sendWithCulprit(4);
    CPPUNIT_ASSERT_EQUAL(Crashes, Fleet->CrashCount);
  }

private:
  /// Sends requests with the part at the gateways in turn, and sound ones
  /// between them.
  auto sendWithCulprit(std::size_t Count) -> void {
    for (std::size_t I = 0; I < Count; ++I) {
      Fleet->send(I % 3, {System, Culprit});
      Fleet->run(milliseconds(400));
      Fleet->send(I % 3, {System, 0xc00});
      Fleet->run(seconds(1));
    }
  }

  std::unique_ptr<crash_fleet> Fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_rows_test);

} // namespace
