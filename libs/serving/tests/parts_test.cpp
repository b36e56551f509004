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
  CPPUNIT_TEST(feed_resumedStream_dropsRepeatedEvents);
  CPPUNIT_TEST(feed_byteOrderMark_isKeptAtTheStartOnly);
  CPPUNIT_TEST(feed_anyChunkSizes_returnsAllEvents);
  CPPUNIT_TEST_SUITE_END();

public:
  auto feed_partialEvent_isHeldBack() -> void {
    event_stream Stream;
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                         Stream.feed("id: 1\ndata: a\n\nid: 2\nda"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Stream.lastId());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\nda"), Stream.incompleteEvent());
  }

  auto feed_resumedStream_dropsRepeatedEvents() -> void {
    event_stream Stream;
    (void)Stream.feed("id: 1\ndata: a\n\nid: 2\nda");
    Stream.beginAttempt();
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"),
                         Stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
  }

  auto feed_byteOrderMark_isKeptAtTheStartOnly() -> void {
    const std::string Mark = "\xEF\xBB\xBF";
    const std::string First = "id: 1\rdata: a\r\r";
    const std::string Second = "id: 2\r\ndata: b\r\n\r\n";
    event_stream Stream;
    CPPUNIT_ASSERT_EQUAL(Mark + First, Stream.feed(Mark + First));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Stream.lastId());
    Stream.beginAttempt();
    CPPUNIT_ASSERT_EQUAL(Second, Stream.feed(Mark + Second));
  }

  auto feed_anyChunkSizes_returnsAllEvents() -> void {
    const bool Passed = rc::check("chunk sizes do not change the events", [] {
      const auto Count = *rc::gen::inRange(1, 12);
      std::string Input;
      for (int I = 1; I <= Count; ++I)
        Input += "id: " + std::to_string(I) + "\ndata: x\n\n";
      event_stream Stream;
      std::string Output;
      std::size_t Offset = 0;
      while (Offset < Input.size()) {
        const auto Size = *rc::gen::inRange<std::size_t>(1, 30);
        Output += Stream.feed(std::string_view(Input).substr(Offset, Size));
        Offset += Size;
      }
      RC_ASSERT(Output == Input);
    });
    CPPUNIT_ASSERT(Passed);
  }
};

class retry_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_budget_test);
  CPPUNIT_TEST(acquire_beyondShare_isRefused);
  CPPUNIT_TEST(acquire_anyTimes_staysWithinBudgetOfEachWindow);
  CPPUNIT_TEST_SUITE_END();

public:
  auto acquire_beyondShare_isRefused() -> void {
    retry_budget Budget;
    const retry_limits Limits{0.2, 10, seconds(10)};
    for (int I = 0; I < 20; ++I)
      Budget.recordRequest(Start);
    int Acquired = 0;
    while (Budget.acquire(Limits, 4, Start))
      ++Acquired;
    // 5.2 = 0.8 * (0.2 * 20 requests + 10 extra / 4 gateways)
    CPPUNIT_ASSERT_EQUAL(5, Acquired);
  }

  auto acquire_anyTimes_staysWithinBudgetOfEachWindow() -> void {
    const bool Passed = rc::check("no window exceeds its budget", [] {
      retry_budget Budget;
      const retry_limits Limits{0.2, 8, seconds(10)};
      std::vector<time_point> Requests;
      std::vector<time_point> Retries;
      auto Now = Start;
      for (int I = 0; I < 200; ++I) {
        Now += milliseconds(*rc::gen::inRange(0, 400));
        if (*rc::gen::inRange(0, 2) == 0) {
          Budget.recordRequest(Now);
          Requests.push_back(Now);
        } else if (Budget.acquire(Limits, 2, Now)) {
          Retries.push_back(Now);
        }
      }
      for (const auto End : Retries) {
        const auto InWindow = [&](time_point Time) {
          return Time <= End && Time >= End - Limits.Window;
        };
        const auto Count = [&](const std::vector<time_point> &Times) {
          return static_cast<double>(
              std::count_if(Times.begin(), Times.end(), InWindow));
        };
        RC_ASSERT(Count(Retries) <= 0.2 * Count(Requests) + 4);
      }
    });
    CPPUNIT_ASSERT(Passed);
  }
};

class load_window_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_window_test);
  CPPUNIT_TEST(acquire_fullWindow_isRefusedUntilOldestExpires);
  CPPUNIT_TEST(serialize_roundTrip_keepsStarts);
  CPPUNIT_TEST(construct_unreadableText_isEmpty);
  CPPUNIT_TEST(restore_startsThatTheCopyLacks_countAgain);
  CPPUNIT_TEST(acquire_startInTheFuture_isDropped);
  CPPUNIT_TEST_SUITE_END();

public:
  auto acquire_fullWindow_isRefusedUntilOldestExpires() -> void {
    load_window Window("");
    CPPUNIT_ASSERT(Window.acquire(1000, 5000, 2));
    CPPUNIT_ASSERT(Window.acquire(2000, 5000, 2));
    CPPUNIT_ASSERT(!Window.acquire(5999, 5000, 2));
    CPPUNIT_ASSERT(Window.acquire(6000, 5000, 2));
  }

  auto serialize_roundTrip_keepsStarts() -> void {
    load_window Window("");
    (void)Window.acquire(1000, 5000, 2);
    (void)Window.acquire(2000, 5000, 2);
    load_window Restored(Window.serialize());
    CPPUNIT_ASSERT(!Restored.acquire(3000, 5000, 2));
  }

  auto construct_unreadableText_isEmpty() -> void {
    load_window Window("x,,{}");
    CPPUNIT_ASSERT(Window.acquire(1000, 5000, 1));
  }

  auto restore_startsThatTheCopyLacks_countAgain() -> void {
    load_window Copy("1000");
    CPPUNIT_ASSERT(Copy.restore(2000));
    CPPUNIT_ASSERT(!Copy.restore(1000));
    CPPUNIT_ASSERT(!Copy.acquire(5999, 5000, 2));
    CPPUNIT_ASSERT(Copy.acquire(6000, 5000, 2));
  }

  /// Guards against a window that never empties once the store has returned
  /// with a clock that is behind.
  auto acquire_startInTheFuture_isDropped() -> void {
    load_window Window("900000");
    CPPUNIT_ASSERT(Window.acquire(1000, 5000, 1));
  }
};

class prefix_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_cache_test);
  CPPUNIT_TEST(cachedTokens_gap_countsOnlyPartsBeforeIt);
  CPPUNIT_TEST(cachedTokens_otherModel_isZero);
  CPPUNIT_TEST(add_beyondCapacity_evictsOlderParts);
  CPPUNIT_TEST_SUITE_END();

public:
  auto cachedTokens_gap_countsOnlyPartsBeforeIt() -> void {
    prefix_cache Memory(1000);
    const auto Prompt = makePrompt("m");
    const auto Keys = prefixKeys(Prompt);
    Memory.add(Keys[0], 100);
    Memory.add(Keys[2], 300);
    CPPUNIT_ASSERT_EQUAL(100U, Memory.cachedTokens(Prompt, Keys));
  }

  auto cachedTokens_otherModel_isZero() -> void {
    prefix_cache Memory(1000);
    Memory.add(prefixKeys(makePrompt("m"))[0], 100);
    const auto Other = makePrompt("n");
    CPPUNIT_ASSERT_EQUAL(0U, Memory.cachedTokens(Other, prefixKeys(Other)));
  }

  auto add_beyondCapacity_evictsOlderParts() -> void {
    prefix_cache Memory(350);
    const auto Prompt = makePrompt("m");
    const auto Keys = prefixKeys(Prompt);
    Memory.add(Keys[0], 100);
    Memory.add(Keys[1], 200);
    Memory.add(Keys[0], 100);
    Memory.add(Keys[2], 300);
    CPPUNIT_ASSERT_EQUAL(0U, Memory.cachedTokens(Prompt, Keys));
  }

private:
  static auto makePrompt(const char *Model) -> prompt {
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
