#include "serving/stream_pauses.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge::serving;

/// The engine on which the pauses were measured.
auto makePace(std::uint32_t PromptTokens = 2048) -> engine_pace {
  engine_pace Pace;
  Pace.TokensPerEvent = 5;
  Pace.ChunkMs = lastChunkMs(1 / 38.7, PromptTokens);
  return Pace;
}

class stream_pauses_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_pauses_test);
  CPPUNIT_TEST(pause_measuredRuns_isAsMeasured);
  CPPUNIT_TEST(chance_measuredSpells_isAsMeasured);
  CPPUNIT_TEST(chance_threeChunks_isNoneEvenInASpell);
  CPPUNIT_TEST(chance_longPromptOrSlowTarget_isHighWithoutSpells);
  CPPUNIT_TEST(pause_morePrefill_isNeverShorter);
  CPPUNIT_TEST_SUITE_END();

public:
  auto pause_measuredRuns_isAsMeasured() -> void {
    const auto Pace = makePace();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(27, longestPauseMs(Pace, 0), 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(186, longestPauseMs(Pace, 3 * Pace.ChunkMs),
                                 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(292, longestPauseMs(Pace, 5000), 1);
  }

  auto chance_measuredSpells_isAsMeasured() -> void {
    auto Pace = makePace();
    Pace.Spells = {0.15, 2.5, 600};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.19, lateChance(Pace, 250, BoundMs), 0.03);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.59, lateChance(Pace, 2400, BoundMs), 0.04);
  }

  auto chance_threeChunks_isNoneEvenInASpell() -> void {
    const auto Pace = makePace();
    CPPUNIT_ASSERT_EQUAL(0.0, lateChance(Pace, 3 * Pace.ChunkMs, BoundMs));
    CPPUNIT_ASSERT(lateChance(Pace, 4 * Pace.ChunkMs, BoundMs) >=
                   AssumedSpells.Share);
  }

  auto chance_longPromptOrSlowTarget_isHighWithoutSpells() -> void {
    auto Pace = makePace(40'000);
    Pace.Spells.Share = 0;
    CPPUNIT_ASSERT(lateChance(Pace, 1500, BoundMs) > 0.3);
    Pace = makePace();
    Pace.Spells.Share = 0;
    CPPUNIT_ASSERT_EQUAL(0.0, lateChance(Pace, 1500, BoundMs));
    Pace.Slowness = 3;
    CPPUNIT_ASSERT_EQUAL(1.0, lateChance(Pace, 1500, BoundMs));
  }

  auto pause_morePrefill_isNeverShorter() -> void {
    const bool Passed = rc::check("more prefill, longer pauses", [] {
      auto Pace = makePace(*rc::gen::inRange(1U, 60'000U));
      Pace.Slowness = *rc::gen::inRange(1, 80) / 10.0;
      Pace.Spells = {*rc::gen::inRange(0, 101) / 100.0,
                     *rc::gen::inRange(10, 60) / 10.0, 600};
      const double Bound = *rc::gen::inRange(1, 2000);
      const double Less = *rc::gen::inRange(0, 3000);
      const double More = Less + *rc::gen::inRange(0, 3000);
      RC_ASSERT(longestPauseMs(Pace, Less) <= longestPauseMs(Pace, More));
      const double LessChance = lateChance(Pace, Less, Bound);
      const double MoreChance = lateChance(Pace, More, Bound);
      RC_ASSERT(LessChance >= 0 && MoreChance <= 1);
      RC_ASSERT(LessChance <= MoreChance + 1e-12);
    });
    CPPUNIT_ASSERT(Passed);
  }

private:
  static constexpr double BoundMs = 500;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_pauses_test);

} // namespace
