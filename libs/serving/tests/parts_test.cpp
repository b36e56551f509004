#include "serving/event_stream.h"
#include "serving/load_window.h"
#include "serving/prefix_cache.h"
#include "serving/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr time_point Start{seconds(1000)};

class event_stream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_stream_test);
  CPPUNIT_TEST(feed_partialEvent_isHeldBack);
  CPPUNIT_TEST(feed_resumedStream_dropsWhatWasPassedOn);
  CPPUNIT_TEST(feed_anyCuts_joinsToTheWhole);
  CPPUNIT_TEST_SUITE_END();

public:
  auto feed_partialEvent_isHeldBack() -> void {
    event_stream Stream;
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                         Stream.feed("id: 1\ndata: a\n\nid: 2\nda"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Stream.lastId());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\nda"), Stream.incompleteEvent());
  }

  auto feed_resumedStream_dropsWhatWasPassedOn() -> void {
    event_stream Stream;
    (void)Stream.feed("id: 1\ndata: a\n\nid: 2\nda");
    Stream.discardIncompleteEvent();
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"),
                         Stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
  }

  auto feed_anyCuts_joinsToTheWhole() -> void {
    const bool Held = rc::check("cuts do not matter", [] {
      const auto Count = *rc::gen::inRange(1, 12);
      std::string Whole;
      for (int I = 1; I <= Count; ++I)
        Whole += "id: " + std::to_string(I) + "\ndata: x\n\n";
      event_stream Stream;
      std::string Joined;
      std::size_t At = 0;
      while (At < Whole.size()) {
        const auto Size = *rc::gen::inRange<std::size_t>(1, 30);
        Joined += Stream.feed(std::string_view(Whole).substr(At, Size));
        At += Size;
      }
      RC_ASSERT(Joined == Whole);
    });
    CPPUNIT_ASSERT(Held);
  }
};

class retry_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_budget_test);
  CPPUNIT_TEST(take_beyondShare_isRefused);
  CPPUNIT_TEST(take_anyTimes_staysInTheBudgetOfEachWindow);
  CPPUNIT_TEST_SUITE_END();

public:
  auto take_beyondShare_isRefused() -> void {
    retry_budget Budget;
    const retry_limits Limits{0.2, 10, seconds(10)};
    for (int I = 0; I < 20; ++I)
      Budget.recordRequest(Start);
    int Taken = 0;
    while (Budget.acquire(Limits, 4, Start))
      ++Taken;
    // 0.8 of 0.2 x 20 requests and a quarter of 10.
    CPPUNIT_ASSERT_EQUAL(5, Taken);
  }

  auto take_anyTimes_staysInTheBudgetOfEachWindow() -> void {
    const bool Held = rc::check("no window holds more", [] {
      retry_budget Budget;
      const retry_limits Limits{0.2, 8, seconds(10)};
      std::vector<time_point> Requests;
      std::vector<time_point> Repeats;
      auto Now = Start;
      for (int I = 0; I < 200; ++I) {
        Now += milliseconds(*rc::gen::inRange(0, 400));
        if (*rc::gen::inRange(0, 2) == 0) {
          Budget.recordRequest(Now);
          Requests.push_back(Now);
        } else if (Budget.acquire(Limits, 2, Now)) {
          Repeats.push_back(Now);
        }
      }
      for (const auto End : Repeats) {
        const auto InWindow = [&](time_point Each) {
          return Each <= End && Each >= End - Limits.Window;
        };
        const auto Count = [&](const std::vector<time_point> &Times) {
          return static_cast<double>(
              std::count_if(Times.begin(), Times.end(), InWindow));
        };
        RC_ASSERT(Count(Repeats) <= 0.2 * Count(Requests) + 4);
      }
    });
    CPPUNIT_ASSERT(Held);
  }
};

class load_window_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_window_test);
  CPPUNIT_TEST(take_fullWindow_waitsForTheOldest);
  CPPUNIT_TEST(print_roundTrip_keepsTheWindow);
  CPPUNIT_TEST(read_foreignText_isAnEmptyWindow);
  CPPUNIT_TEST_SUITE_END();

public:
  auto take_fullWindow_waitsForTheOldest() -> void {
    load_window Window("");
    CPPUNIT_ASSERT(Window.take(1000, 5000, 2));
    CPPUNIT_ASSERT(Window.take(2000, 5000, 2));
    CPPUNIT_ASSERT(!Window.take(5999, 5000, 2));
    CPPUNIT_ASSERT(Window.take(6000, 5000, 2));
  }

  auto print_roundTrip_keepsTheWindow() -> void {
    load_window Window("");
    (void)Window.take(1000, 5000, 2);
    (void)Window.take(2000, 5000, 2);
    load_window Read(Window.print());
    CPPUNIT_ASSERT(!Read.take(3000, 5000, 2));
  }

  auto read_foreignText_isAnEmptyWindow() -> void {
    load_window Window("x,,{}");
    CPPUNIT_ASSERT(Window.take(1000, 5000, 1));
  }
};

class prefix_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_cache_test);
  CPPUNIT_TEST(cachedTokens_gap_countsOnlyTheFront);
  CPPUNIT_TEST(cachedTokens_otherModel_isZero);
  CPPUNIT_TEST(add_beyondCapacity_forgetsTheOldest);
  CPPUNIT_TEST_SUITE_END();

public:
  auto cachedTokens_gap_countsOnlyTheFront() -> void {
    prefix_cache Memory(1000);
    const auto Prompt = make("m");
    const auto Keys = prefixKeys(Prompt);
    Memory.add(Keys[0], 100);
    Memory.add(Keys[2], 300);
    CPPUNIT_ASSERT_EQUAL(100U, Memory.cachedTokens(Prompt, Keys));
  }

  auto cachedTokens_otherModel_isZero() -> void {
    prefix_cache Memory(1000);
    Memory.add(prefixKeys(make("m"))[0], 100);
    const auto Other = make("n");
    CPPUNIT_ASSERT_EQUAL(0U, Memory.cachedTokens(Other, prefixKeys(Other)));
  }

  auto add_beyondCapacity_forgetsTheOldest() -> void {
    prefix_cache Memory(350);
    const auto Prompt = make("m");
    const auto Keys = prefixKeys(Prompt);
    Memory.add(Keys[0], 100);
    Memory.add(Keys[1], 200);
    Memory.add(Keys[0], 100);
    Memory.add(Keys[2], 300);
    CPPUNIT_ASSERT_EQUAL(0U, Memory.cachedTokens(Prompt, Keys));
  }

private:
  static auto make(const char *Model) -> prompt {
    prompt Prompt;
    Prompt.Model = model_name(Model);
    Prompt.Parts = {{1, 100}, {2, 200}, {3, 300}};
    return Prompt;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_stream_test);
CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);
CPPUNIT_TEST_SUITE_REGISTRATION(load_window_test);
CPPUNIT_TEST_SUITE_REGISTRATION(prefix_cache_test);

} // namespace
