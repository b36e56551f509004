#include "gateway_fixture.h"
#include "serving/target_speed.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Speed of targets and their slow spells, as learned from streams.
class target_speed_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_speed_test);
  CPPUNIT_TEST(meter_prefillOrSeveralEvents_isNoPace);
  CPPUNIT_TEST(paces_eventsReadInBursts_usualPaceStays);
  CPPUNIT_TEST(pace_targetSlowsAndRecovers_isKnownWithinASecond);
  CPPUNIT_TEST(pace_longPrefill_isNotSlow);
  CPPUNIT_TEST(spells_observed_replaceTheAssumedOnes);
  CPPUNIT_TEST(paces_unprotected_changeNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    First = gateway_harness();
    First.State.Options.MeasuresPace = true;
    First.dispatch(configuration_read{protectedConfiguration()});
    First.addTarget("e1", "models", {"a"});
    First.addTarget("e2", "models", {"a"});
  }

  // Prefill must not pass for a slow target, nor a lag of the gateway.
  auto meter_prefillOrSeveralEvents_isNoPace() -> void {
    pace_meter Meter;
    auto Now = First.Now;
    const auto Read = [&](std::uint64_t Events, int AfterMs) {
      Now += milliseconds(AfterMs);
      return Meter.read(Events, Now);
    };
    CPPUNIT_ASSERT(!Read(1, 0) && !Read(2, 27));
    CPPUNIT_ASSERT(Read(3, 28) == 27.5);
    CPPUNIT_ASSERT(!Read(4, 80) && !Read(5, 27));
    CPPUNIT_ASSERT(!Read(9, 110) && !Read(9, 5) && !Read(10, 22));
    CPPUNIT_ASSERT(Read(11, 27) == 27);
  }

  // Bursts that count as a pace make every target look slow afterwards.
  auto paces_eventsReadInBursts_usualPaceStays() -> void {
    pace_meter Meter;
    auto Now = First.Now;
    const auto Read = [&](std::uint64_t Events, int AfterMs, bool Queued) {
      return Meter.read(Events, Now += milliseconds(AfterMs), Queued);
    };
    CPPUNIT_ASSERT(!Read(1, 0, false) && !Read(2, 1, true));
    CPPUNIT_ASSERT(!Read(3, 1, true) && !Read(4, 27, false));
    CPPUNIT_ASSERT(Read(5, 27, false) == 27);
    service_pace Usual;
    for (int I = 0; I < 1000; ++I) {
      CPPUNIT_ASSERT(!Usual.observe(1, 5));
      CPPUNIT_ASSERT(Usual.observe(20, 5));
    }
    CPPUNIT_ASSERT(Usual.observe(27.5, 5) < 1.1);
  }

  auto pace_targetSlowsAndRecovers_isKnownWithinASecond() -> void {
    for (const double Factor : {5.0, 7.5}) {
      setUp();
      NextEvent = First.Now;
      streamFor(seconds(2), 1);
      CPPUNIT_ASSERT_EQUAL(1.0, slowness(First));
      streamFor(milliseconds(900), Factor);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(Factor, slowness(First), Factor / 4);
      streamFor(milliseconds(200), 1);
      CPPUNIT_ASSERT_EQUAL(1.0, slowness(First));
      // Nobody observes a target that gets no work.
      streamFor(seconds(1), Factor);
      First.Now += milliseconds(1600);
      CPPUNIT_ASSERT_EQUAL(1.0, slowness(First));
    }
  }

  // The prompt that causes the run must not be refused for it.
  auto pace_longPrefill_isNotSlow() -> void {
    streamFor(seconds(2), 1);
    auto &Load = First.State.Book.find(target_name("e1"))->OwnLoad;
    Load.Active = {2, 0, 0};
    for (int LeftMs = 2000; LeftMs > 0; LeftMs -= 100) {
      Load.PendingMs = {1.0 * LeftMs, 0, 0};
      streamFor(milliseconds(100), 290 / 27.5);
      CPPUNIT_ASSERT_EQUAL(1.0, slowness(First));
    }
  }

  auto spells_observed_replaceTheAssumedOnes() -> void {
    const auto Spells = [&] {
      return First.State.ServicePaces[service_name("models")].spells();
    };
    for (int I = 0; I < 60; ++I) {
      streamFor(milliseconds(3400), 1);
      streamFor(milliseconds(600), 2.5);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, Spells().Share, 0.06);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, Spells().Factor, 0.3);
    streamFor(seconds(300), 1);
    CPPUNIT_ASSERT(Spells().Share < 0.01);
    // A target that stays slow has no spells.
    streamFor(seconds(100), 5);
    CPPUNIT_ASSERT(Spells().Share < 0.01);
  }

  // The older deployments are served as before.
  auto paces_unprotected_changeNothing() -> void {
    First.dispatch(configuration_read{makeConfiguration(3)});
    streamFor(seconds(2), 1);
    streamFor(seconds(2), 6);
    First.dispatch(tick{0, {}, {{target_name("unknown"), 9}}});
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(First));
    First.receiveRequest(1, "/chat/x", "a", 3000);
    CPPUNIT_ASSERT(!First.onlyEffect<send_attempt>().MeasuresPace);
  }

private:
  /// A stream of the first gateway at e1, whose events are \p Factor times as
  /// far apart as usual, with a tick every 100 ms.
  auto streamFor(duration Time, double Factor) -> void {
    const auto Gap = microseconds(static_cast<int>(27'500 * Factor));
    const auto End = First.Now + Time;
    while (First.Now < End) {
      const auto NextTick = First.Now + milliseconds(100);
      target_paces Paces;
      for (; NextEvent <= NextTick; NextEvent += Gap)
        if (const auto GapMs = Meter.read(++Events, NextEvent))
          addPace(Paces, target_name("e1"), *GapMs);
      First.Now = NextTick;
      First.dispatch(tick{0, {}, Paces});
    }
  }

  static auto slowness(const gateway_harness &Harness) -> double {
    return Harness.State.Book.find(target_name("e1"))
        ->Speed.slowness(Harness.Now);
  }

  gateway_harness First;
  pace_meter Meter;
  std::uint64_t Events = 0;
  time_point NextEvent{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_speed_test);

} // namespace
