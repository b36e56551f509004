/// \file
/// Tests of result codes, settings, the hybrid clock, the timeline and the
/// thread pool.

#include "base/hybrid_clock.h"
#include "base/settings.h"
#include "base/thread.h"
#include "base/timeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <set>

using namespace limpetbridge;

class result_code_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(result_code_test);
  CPPUNIT_TEST(table_everyRow_hasUniqueNumberAndName);
  CPPUNIT_TEST_SUITE_END();

public:
  auto table_everyRow_hasUniqueNumberAndName() -> void {
    std::set<result_code> Codes;
    std::set<std::string_view> Names;
    for (const auto &Row : resultCodeTable()) {
      CPPUNIT_ASSERT(Codes.insert(Row.Code).second);
      CPPUNIT_ASSERT(Names.insert(Row.Name).second);
      CPPUNIT_ASSERT(&describe(Row.Code) == &Row);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(result_code_test);

class settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(parse_knownKeys_areStored);
  CPPUNIT_TEST(parse_emptyOrCutOff_isRefused);
  CPPUNIT_TEST(parse_misspeltKey_namesLineAndNearest);
  CPPUNIT_TEST(parse_numberOutOfRange_namesRange);
  CPPUNIT_TEST(parse_fractionOfTheRetryBudget_isTaken);
  CPPUNIT_TEST(parse_timeInSeconds_isTaken);
  CPPUNIT_TEST(parse_truthValue_isTakenInBothSpellings);
  CPPUNIT_TEST(parse_wordOutsideChoices_namesChoices);
  CPPUNIT_TEST(parse_brokenSyntax_namesLine);
  CPPUNIT_TEST(print_defaults_parseBackToTheSame);
  CPPUNIT_TEST(changedKeys_oneNumber_isNamed);
  CPPUNIT_TEST_SUITE_END();

public:
  auto parse_knownKeys_areStored() -> void {
    const auto Settings =
        parseSettings("[instance]\nrole = agent\n[target]\nslots=3\n", "f");
    CPPUNIT_ASSERT(Settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("agent"), Settings.value().Role);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, Settings.value().TargetSlots);
  }

  auto parse_emptyOrCutOff_isRefused() -> void {
    for (const auto *Text : {"", "\n", "; a comment\n", "[target]\nslots=3",
                             "[target]\nslots=3\n[dra"}) {
      const auto Settings = parseSettings(Text, "f");
      CPPUNIT_ASSERT_MESSAGE(Text, !Settings);
      CPPUNIT_ASSERT(Settings.error().Code == result_code::FileUnreadable);
    }
  }

  auto parse_misspeltKey_namesLineAndNearest() -> void {
    const auto Settings = parseSettings("[target]\n\nslotz = 3\n", "f.ini");
    CPPUNIT_ASSERT(!Settings.has_value());
    CPPUNIT_ASSERT(Settings.error().Code == result_code::UnknownSetting);
    CPPUNIT_ASSERT_EQUAL(std::string("f.ini:3: [target] slotz is not a "
                                     "setting; nearest is target.slots"),
                         Settings.error().Detail);
  }

  auto parse_numberOutOfRange_namesRange() -> void {
    const auto Settings = parseSettings("[target]\nslots = 0\n", "f");
    CPPUNIT_ASSERT(!Settings.has_value());
    CPPUNIT_ASSERT(Settings.error().Code == result_code::InvalidSetting);
    CPPUNIT_ASSERT(Settings.error().Detail.find("1 to 4096") !=
                   std::string::npos);
  }

  auto parse_fractionOfTheRetryBudget_isTaken() -> void {
    const auto Settings =
        parseSettings("[retry]\nextra = 36.1764705882353\n", "f");
    CPPUNIT_ASSERT(Settings.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(36.1764705882353, Settings.value().RetryExtra,
                                 1e-9);
  }

  auto parse_timeInSeconds_isTaken() -> void {
    const auto WindowOf = [](const std::string &Text) -> std::int64_t {
      const auto Settings =
          parseSettings("[retry]\nwindow_ms = " + Text + "\n", "f");
      return Settings ? Settings.value().RetryWindowMs : -1;
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7500}, WindowOf("7.5s"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10000}, WindowOf("10s"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10000}, WindowOf("10000"));
    for (const auto *Text : {"s", "-1s", "7.5", "1e9s", "nans", "7.5ms", "1 s"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, std::int64_t{-1}, WindowOf(Text));
  }

  /// The platform's template may be filled with True.
  auto parse_truthValue_isTakenInBothSpellings() -> void {
    const std::string Start = "[workspaces]\nrevocation_strict = ";
    for (const auto *Text : {"true\n", "True\n"})
      CPPUNIT_ASSERT(parseSettings(Start + Text, "f").value().RevocationStrict);
    for (const auto *Text : {"\n", "1\n", "TRUE\n"})
      CPPUNIT_ASSERT(!parseSettings(Start + Text, "f"));
  }

  auto parse_wordOutsideChoices_namesChoices() -> void {
    const auto Settings = parseSettings("[instance]\nrole = chief\n", "f");
    CPPUNIT_ASSERT(!Settings.has_value());
    CPPUNIT_ASSERT(Settings.error().Detail.find("entry|agent") !=
                   std::string::npos);
  }

  auto parse_brokenSyntax_namesLine() -> void {
    const auto Settings = parseSettings("[target\nslots = 1\n", "f");
    CPPUNIT_ASSERT(!Settings.has_value());
    CPPUNIT_ASSERT(Settings.error().Code == result_code::FileUnreadable);
  }

  auto changedKeys_oneNumber_isNamed() -> void {
    const auto Before = defaultSettings();
    CPPUNIT_ASSERT(changedKeys(Before, Before).empty());
    auto After = Before;
    After.RetryExtra += 1;
    const auto Keys = changedKeys(Before, After);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Keys.size());
    CPPUNIT_ASSERT_EQUAL(std::string("retry.extra"), Keys.front());
  }

  auto print_defaults_parseBackToTheSame() -> void {
    const auto Text = printSettings(defaultSettings());
    const auto Reparsed = parseSettings(Text, "f");
    CPPUNIT_ASSERT(Reparsed.has_value());
    CPPUNIT_ASSERT_EQUAL(Text, printSettings(Reparsed.value()));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

class timeline_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(timeline_test);
  CPPUNIT_TEST(clock_receivedStampAhead_nextTickIsLater);
  CPPUNIT_TEST(clock_stampFarAhead_isIgnored);
  CPPUNIT_TEST(merge_twoProcesses_ordersCauseBeforeEffect);
  CPPUNIT_TEST(append_overLimit_dropsOldest);
  CPPUNIT_TEST_SUITE_END();

public:
  auto clock_receivedStampAhead_nextTickIsLater() -> void {
    hybrid_clock Behind([] { return std::uint64_t{100}; });
    hybrid_clock Ahead([] { return std::uint64_t{500}; });
    const auto Sent = Ahead.tick();
    Behind.observe(Sent);
    CPPUNIT_ASSERT(Behind.tick() > Sent);
  }

  auto clock_stampFarAhead_isIgnored() -> void {
    hybrid_clock Clock([] { return std::uint64_t{100}; });
    Clock.observe({std::uint64_t{1} << 60});
    CPPUNIT_ASSERT(Clock.tick().Value < (std::uint64_t{1} << 40));
  }

  auto merge_twoProcesses_ordersCauseBeforeEffect() -> void {
    const auto Merged = merge(
        {{{9}, instance_name("b"), {note_kind::WorkQueued, "", {}, "", ""}},
         {{4},
          instance_name("a"),
          {note_kind::AttemptStarted, "", {}, "", ""}}});
    CPPUNIT_ASSERT(Merged.front().Note.Kind == note_kind::AttemptStarted);
  }

  auto append_overLimit_dropsOldest() -> void {
    timeline Timeline(instance_name("a"), 2);
    for (const char *Request : {"r1", "r2", "r3"})
      Timeline.append({1}, {note_kind::WorkQueued, Request, {}, "", ""});
    const auto Notes = Timeline.select({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Notes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), Notes.front().Note.Request);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(timeline_test);

class thread_pool_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(thread_pool_test);
  CPPUNIT_TEST(stop_queuedJobs_allRun);
  CPPUNIT_TEST_SUITE_END();

public:
  auto stop_queuedJobs_allRun() -> void {
    std::atomic<int> JobsRun{0};
    thread_pool Pool("pool", 2, ConnectionStackBytes, 100);
    for (int Job = 0; Job < 50; ++Job)
      CPPUNIT_ASSERT(Pool.submit([&JobsRun] { ++JobsRun; }));
    Pool.stop();
    CPPUNIT_ASSERT_EQUAL(50, JobsRun.load());
    CPPUNIT_ASSERT(!Pool.submit([] {}));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(thread_pool_test);
