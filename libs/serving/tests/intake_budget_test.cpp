#include "serving/intake_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr time_point Start{seconds(1000)};
constexpr std::size_t Kb = 1024;
constexpr std::size_t Mb = 1024 * Kb;
constexpr std::size_t BodyBytes = 4 * Mb;

auto smallOptions() -> intake_options {
  intake_options Options;
  Options.LimitBytes = 16 * Mb;
  Options.ReserveBytes = 4 * Mb;
  Options.MaxConnections.fill(32);
  return Options;
}

/// Callers that are not under control: who is served, waits or is ended.
class intake_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(intake_budget_test);
  CPPUNIT_TEST(requestRoom_oneLargestBody_isNeverHeldUp);
  CPPUNIT_TEST(requestRoom_manyBodiesWithoutEnd_smallRequestsHaveRoom);
  CPPUNIT_TEST(requestRoom_bodiesThatAllGrow_oneAfterTheOtherCompletes);
  CPPUNIT_TEST(requestRoom_laterBody_waitsBehindEarlierOnes);
  CPPUNIT_TEST(endForRoom_nobodyWaits_slowBodiesStay);
  CPPUNIT_TEST(endForRoom_someDoNotGetOn_theyEndFirst);
  CPPUNIT_TEST(endForRoom_smallRequestWaits_idleThenLargestEnd);
  CPPUNIT_TEST(endForRoom_longWait_isOverloaded);
  CPPUNIT_TEST(endForRoom_unreadAnswers_end);
  CPPUNIT_TEST(endForRoom_requestsAtWork_areNeverEnded);
  CPPUNIT_TEST(endForConnection_idleOnes_endBeforeSlowOnes);
  CPPUNIT_TEST(endForConnection_allGetOn_noneEnds);
  CPPUNIT_TEST(anyCallers_boundHoldsAndNobodyWaitsForEver);
  CPPUNIT_TEST_SUITE_END();

public:
  auto requestRoom_oneLargestBody_isNeverHeldUp() -> void {
    const auto Id = open();
    for (auto Bytes = 64 * Kb; Bytes <= BodyBytes; Bytes += 64 * Kb)
      CPPUNIT_ASSERT(grow(Id, Bytes));
  }

  auto requestRoom_manyBodiesWithoutEnd_smallRequestsHaveRoom() -> void {
    for (int I = 0; I < 20; ++I)
      growAsFarAsPossible(open());
    // Those that found no room have grown as far as small requests may.
    CPPUNIT_ASSERT(Budget.heldBytes() <= 15 * Mb);
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(Budget.requestRoom(open(), 100 * Kb, Now));
  }

  auto requestRoom_bodiesThatAllGrow_oneAfterTheOtherCompletes() -> void {
    constexpr std::size_t Bodies = 20;
    std::vector<intake_id> Ids;
    Ids.reserve(Bodies);
    while (Ids.size() < Bodies)
      Ids.push_back(open());
    // In turns, so that each holds a part.
    std::set<intake_id> Complete;
    for (int Round = 0; Round < 2000 && Complete.size() < Ids.size(); ++Round)
      for (const auto Id : Ids) {
        if (Complete.contains(Id))
          continue;
        auto &Bytes = Held[Id];
        if (grow(Id, std::min(Bytes + 256 * Kb, BodyBytes)) &&
            Bytes == BodyBytes) {
          Complete.insert(Id);
          Budget.close(Id); // It was served.
        }
        (void)Budget.admitWaiting(Now);
      }
    CPPUNIT_ASSERT_EQUAL(Ids.size(), Complete.size());
  }

  auto requestRoom_laterBody_waitsBehindEarlierOnes() -> void {
    const auto First = open();
    const auto Second = open();
    const auto Third = open();
    growAsFarAsPossible(First);
    hold(First, intake_phase::Serving, 12 * Mb);
    CPPUNIT_ASSERT(!Budget.requestRoom(Second, Mb, Now));
    CPPUNIT_ASSERT(!Budget.requestRoom(Third, 200 * Kb, Now));
    Budget.close(First);
    CPPUNIT_ASSERT(
        (Budget.admitWaiting(Now) == std::vector<intake_id>{Second, Third}));
    CPPUNIT_ASSERT(Budget.requestRoom(Second, Mb, Now));
  }

  auto endForRoom_nobodyWaits_slowBodiesStay() -> void {
    CPPUNIT_ASSERT(grow(open(), BodyBytes - 1));
    Now += seconds(20);
    CPPUNIT_ASSERT(Budget.endForRoom(Now).empty());
  }

  auto endForRoom_someDoNotGetOn_theyEndFirst() -> void {
    const auto Stalled = open();
    const auto Moving = open();
    growAsFarAsPossible(Stalled);
    growAsFarAsPossible(Moving);
    hold(open(), intake_phase::Serving, 8 * Mb);
    const auto Waiting = open();
    CPPUNIT_ASSERT(!Budget.requestRoom(Waiting, Mb, Now));
    CPPUNIT_ASSERT(Budget.endForRoom(Now).empty());
    Now += milliseconds(1100);
    move(Moving, 16 * Kb);
    const auto Endings = Budget.endForRoom(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Endings.size());
    CPPUNIT_ASSERT_EQUAL(Stalled, Endings[0].Id);
    CPPUNIT_ASSERT(Endings[0].End == intake_end::TooSlow);
    CPPUNIT_ASSERT(Budget.endForRoom(Now).empty());
  }

  auto endForRoom_smallRequestWaits_idleThenLargestEnd() -> void {
    const auto Largest = open();
    const auto Large = open();
    growAsFarAsPossible(Largest);
    grow(Large, 200 * Kb);
    const auto Idle = open();
    hold(Idle, intake_phase::Idle, 10 * Kb);
    hold(open(), intake_phase::Serving, 16 * Mb - Budget.heldBytes());
    const auto Small = open();
    CPPUNIT_ASSERT(!Budget.requestRoom(Small, 64 * Kb, Now));
    const auto Endings = Budget.endForRoom(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Endings.size());
    CPPUNIT_ASSERT_EQUAL(Idle, Endings[0].Id);
    CPPUNIT_ASSERT(Endings[0].End == intake_end::Idle);
    CPPUNIT_ASSERT_EQUAL(Largest, Endings[1].Id);
    CPPUNIT_ASSERT(Endings[1].End == intake_end::Overloaded);
    Budget.close(Largest);
    CPPUNIT_ASSERT((Budget.admitWaiting(Now) == std::vector<intake_id>{Small}));
  }

  auto endForRoom_longWait_isOverloaded() -> void {
    hold(open(), intake_phase::Serving, 12 * Mb);
    const auto Waiting = open();
    CPPUNIT_ASSERT(!Budget.requestRoom(Waiting, Mb, Now));
    Now += milliseconds(1900);
    CPPUNIT_ASSERT(Budget.endForRoom(Now).empty());
    Now += milliseconds(200);
    const auto Endings = Budget.endForRoom(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Endings.size());
    CPPUNIT_ASSERT(Endings[0].End == intake_end::Overloaded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Budget.waitingCount());
  }

  auto endForRoom_unreadAnswers_end() -> void {
    const auto Unread = open();
    hold(Unread, intake_phase::Writing, 8 * Mb);
    hold(open(), intake_phase::Serving, 8 * Mb);
    CPPUNIT_ASSERT(!Budget.requestRoom(open(), 64 * Kb, Now));
    Now += seconds(1);
    const auto Endings = Budget.endForRoom(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Endings.size());
    CPPUNIT_ASSERT_EQUAL(Unread, Endings[0].Id);
    CPPUNIT_ASSERT(Endings[0].End == intake_end::Unread);
  }

  auto endForRoom_requestsAtWork_areNeverEnded() -> void {
    for (int I = 0; I < 16; ++I)
      hold(open(), intake_phase::Serving, Mb);
    const auto Small = open();
    CPPUNIT_ASSERT(!Budget.requestRoom(Small, 64 * Kb, Now));
    Now += seconds(10);
    const auto Endings = Budget.endForRoom(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Endings.size());
    CPPUNIT_ASSERT_EQUAL(Small, Endings[0].Id);
  }

  auto endForConnection_idleOnes_endBeforeSlowOnes() -> void {
    const auto Slow = open();
    hold(Slow, intake_phase::Head, 20 * Kb);
    Now += milliseconds(500);
    const auto FirstIdle = open();
    hold(FirstIdle, intake_phase::Idle, 10 * Kb);
    Now += milliseconds(500);
    while (Budget.mayOpen(intake_group::Callers))
      hold(open(), intake_phase::Idle, 10 * Kb);
    const auto Endings = Budget.endForConnection(intake_group::Callers, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Endings.size());
    CPPUNIT_ASSERT_EQUAL(FirstIdle, Endings[0].Id);
    // One that has carried on is not closed, and may be named again.
    CPPUNIT_ASSERT(Budget.endForConnection(intake_group::Callers, Now).empty());
    hold(Endings[0].Id, intake_phase::Head, 20 * Kb);
    Budget.close(Endings[1].Id);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        Budget.endForConnection(intake_group::Callers, Now).size());
  }

  auto endForConnection_allGetOn_noneEnds() -> void {
    while (Budget.mayOpen(intake_group::Callers))
      hold(open(), intake_phase::Head, 20 * Kb);
    CPPUNIT_ASSERT(Budget.endForConnection(intake_group::Callers, Now).empty());
    CPPUNIT_ASSERT(Budget.mayOpen(intake_group::Peers));
    Now += seconds(1);
    const auto Endings = Budget.endForConnection(intake_group::Callers, Now);
    CPPUNIT_ASSERT(!Endings.empty());
    CPPUNIT_ASSERT(Endings[0].End == intake_end::TooSlow);
  }

  /// Callers who grow, stop, wait, are served and leave at random.
  auto anyCallers_boundHoldsAndNobodyWaitsForEver() -> void {
    const bool Passed = rc::check("the bound holds", [] {
      intake_budget_test Test;
      std::vector<intake_id> Ids;
      for (int Step = 0; Step < 400; ++Step) {
        Test.Now += milliseconds(*rc::gen::inRange(0, 50));
        if (Ids.size() < 24)
          Ids.push_back(Test.open());
        const auto Index = *rc::gen::inRange<std::size_t>(0, Ids.size());
        const auto Id = Ids[Index];
        const auto Action = *rc::gen::inRange(0, 10);
        auto &Bytes = Test.Held[Id];
        if (Action < 7 && Bytes < BodyBytes)
          Test.grow(Id,
                    std::min(BodyBytes,
                             Bytes + *rc::gen::inRange<std::size_t>(1, Mb)));
        else if (Action == 7)
          Test.end(Ids, Id);
        RC_ASSERT(Test.Budget.heldBytes() <= 16 * Mb);
        for (const auto Admitted : Test.Budget.admitWaiting(Test.Now))
          RC_ASSERT(Test.Budget.requestRoom(Admitted, 1, Test.Now));
        for (const auto &Ending : Test.Budget.endForRoom(Test.Now))
          Test.end(Ids, Ending.Id);
      }
      // Nobody sends any more: all that wait go on or are ended.
      Test.Now += seconds(3);
      for (const auto &Ending : Test.Budget.endForRoom(Test.Now))
        Test.end(Ids, Ending.Id);
      RC_ASSERT(Test.Budget.waitingCount() == 0);
      for (const auto Id : std::vector(Ids))
        Test.end(Ids, Id);
      RC_ASSERT(Test.Budget.heldBytes() == 0);
    });
    CPPUNIT_ASSERT(Passed);
  }

private:
  auto open() -> intake_id { return Budget.open(intake_group::Callers, Now); }

  auto end(std::vector<intake_id> &Ids, intake_id Id) -> void {
    Budget.close(Id);
    Held.erase(Id);
    std::erase(Ids, Id);
  }

  auto hold(intake_id Id, intake_phase Phase, std::size_t Bytes) -> void {
    Held[Id] = Bytes;
    Budget.update(Id, {Phase, Bytes, BodyBytes, Moved[Id]}, Now);
  }

  auto move(intake_id Id, std::uint64_t Bytes) -> void {
    Moved[Id] += Bytes;
    hold(Id, intake_phase::Body, Held[Id]);
  }

  /// A body grows to \p Bytes. \returns false if it has to wait.
  auto grow(intake_id Id, std::size_t Bytes) -> bool {
    if (!Held.contains(Id) || Held[Id] == 0)
      hold(Id, intake_phase::Body, 0);
    if (!Budget.requestRoom(Id, Bytes, Now))
      return false;
    Moved[Id] += Bytes - std::min(Bytes, Held[Id]);
    hold(Id, intake_phase::Body, Bytes);
    return true;
  }

  auto growAsFarAsPossible(intake_id Id) -> void {
    constexpr std::size_t Step = 64 * Kb;
    for (auto Bytes = Step; Bytes < BodyBytes && grow(Id, Bytes);)
      Bytes += Step;
    if (Budget.waitingCount() > 0)
      (void)Budget.endForRoom(Now);
  }

  time_point Now = Start;
  intake_budget Budget{smallOptions()};
  std::map<intake_id, std::size_t> Held;
  std::map<intake_id, std::uint64_t> Moved;
};

CPPUNIT_TEST_SUITE_REGISTRATION(intake_budget_test);

} // namespace
