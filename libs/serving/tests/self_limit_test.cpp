#include "serving/self_limit.h"

#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr duration Step = milliseconds(100);

/// A gateway whose loop lags by the work that it has not done. A request costs
/// one unit, an event 0.15, and a stream has an event in each step.
struct slow_gateway {
  /// Offers requests for \p Steps steps; each of \p Kinds has a number of
  /// events, an objective, and requests per step.
  auto run(int Steps, double UnitsPerStep) -> void {
    for (int I = 0; I < Steps; ++I, Now += Step) {
      for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind) {
        Due[Kind] += Kinds[Kind].PerStep;
        for (; Due[Kind] >= 1; --Due[Kind]) {
          ++Offered[Kind];
          const auto &Weight = Kinds[Kind].Weight;
          Draw += 0.618;
          Draw -= Draw >= 1 ? 1 : 0;
          if (Limit.admittedShare(Weight, Streams.size()) <= Draw)
            continue;
          ++Admitted[Kind];
          Backlog += 1;
          if (Weight.Events > 0)
            Streams.push_back(Weight.Events);
        }
      }
      Backlog += 0.15 * static_cast<double>(Streams.size());
      Events += static_cast<int>(Streams.size());
      for (auto &Left : Streams)
        --Left;
      std::erase_if(Streams, [](double Left) { return Left <= 0; });
      const double Done = std::min(Backlog, UnitsPerStep);
      Backlog -= Done;
      DelayMs = 100 * Backlog / UnitsPerStep;
      if (DelayMs > 200)
        LateEvents += static_cast<int>(Streams.size());
      Limit.observe(Policy,
                    {milliseconds(static_cast<std::int64_t>(DelayMs)),
                     0.09 * Done / UnitsPerStep},
                    Streams.size(), Now);
    }
  }

  struct kind {
    request_weight Weight;
    double PerStep = 0;
  };
  std::vector<kind> Kinds{
      {{0, 200}, 0.25}, {{10, 800}, 0.2}, {{58, 500}, 0.25}, {{10, 8000}, 0.1}};
  self_limit Limit;
  self_limit_policy Policy{0.09, milliseconds(200)};
  std::array<double, 4> Due{};
  std::array<int, 4> Offered{};
  std::array<int, 4> Admitted{};
  std::vector<double> Streams;
  double Backlog = 0;
  double DelayMs = 0;
  double Draw = 0;
  int Events = 0;
  int LateEvents = 0;
  time_point Now{seconds(1000)};
};

/// How much new work a gateway refuses when it forwards late. Guards against
/// streams that are all late, against kinds that get nothing, and against
/// refusals without need.
class self_limit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(self_limit_test);
  CPPUNIT_TEST(overload_twiceTheCapacity_fewEventsAreLate);
  CPPUNIT_TEST(overload_over_admissionReturnsGradually);
  CPPUNIT_TEST(delay_startOrForeignCauseOrNoShare_refusesNothing);
  CPPUNIT_TEST(gateway_overloaded_refusesAndSignalsByRank);
  CPPUNIT_TEST_SUITE_END();

public:
  auto overload_twiceTheCapacity_fewEventsAreLate() -> void {
    slow_gateway Free;
    Free.Policy.CpuShare = 0;
    slow_gateway Limited;
    // Until the work is done that was admitted in the first seconds.
    for (auto *Gateway : {&Free, &Limited}) {
      Gateway->run(150, 1.6);
      Gateway->LateEvents = Gateway->Events = 0;
      Gateway->run(900, 1.6);
    }
    CPPUNIT_ASSERT(Free.LateEvents > Free.Events / 2);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Limited.LateEvents) + " of " +
                               std::to_string(Limited.Events),
                           Limited.LateEvents * 100 <= Limited.Events);
    const auto Share = [&](std::size_t Kind) {
      return double(Limited.Admitted[Kind]) / Limited.Offered[Kind];
    };
    CPPUNIT_ASSERT(Share(0) > 0.9 && Share(0) > Share(1));
    CPPUNIT_ASSERT(Share(1) > Share(2) && Share(2) > Share(3));
    CPPUNIT_ASSERT(Share(3) > 0.04);
  }

  auto overload_over_admissionReturnsGradually() -> void {
    slow_gateway Gateway;
    Gateway.run(600, 1.2);
    CPPUNIT_ASSERT(Gateway.Limit.isLimiting());
    for (auto &Kind : Gateway.Kinds)
      Kind.PerStep /= 10;
    Gateway.Admitted = Gateway.Offered = {};
    Gateway.run(100, 1.2);
    CPPUNIT_ASSERT(Gateway.Admitted[0] > 0);
    Gateway.run(900, 1.2);
    CPPUNIT_ASSERT(!Gateway.Limit.isLimiting());
    CPPUNIT_ASSERT(!Gateway.Limit.isSustained());
  }

  auto delay_startOrForeignCauseOrNoShare_refusesNothing() -> void {
    const auto IsLimiting = [](int Steps, double Share, double Used) {
      self_limit Limit;
      time_point Now{seconds(1000)};
      for (int I = 0; I < Steps; ++I, Now += Step)
        Limit.observe({Share, milliseconds(200)}, {milliseconds(400), Used}, 9,
                      Now);
      return Limit.isLimiting();
    };
    CPPUNIT_ASSERT(!IsLimiting(50, 0.09, 0.09));
    CPPUNIT_ASSERT(!IsLimiting(200, 0.5, 0.09));
    CPPUNIT_ASSERT(!IsLimiting(200, 0, 0.09));
    CPPUNIT_ASSERT(IsLimiting(200, 0.09, 0.09));
  }

  auto gateway_overloaded_refusesAndSignalsByRank() -> void {
    gateway_harness Gateway;
    Gateway.addTarget("m1", "models", {"a"});
    Gateway.State.Options.SelfLimit.CpuShare = 0.09;
    const auto Tick = [&](int Count) {
      for (int I = 0; I < Count; ++I, Gateway.Now += Step)
        Gateway.dispatch(tick{0, {milliseconds(400), 0.09}});
    };
    for (request_number Number = 101; Number <= 120; ++Number)
      Gateway.receiveRequest(Number, "/chat/x", "a");
    Tick(130);
    int Refused = 0;
    for (request_number Number = 1; Number <= 100; ++Number) {
      Gateway.receiveRequest(Number, "/chat/x", "a");
      const auto Refusal = Gateway.onlyEffect<refuse_request>();
      if (Refusal.Code != result_code::Overloaded)
        continue;
      ++Refused;
      CPPUNIT_ASSERT(Refusal.RetryAfterMs >= 200 &&
                     Refusal.RetryAfterMs <= 8200);
    }
    CPPUNIT_ASSERT(Refused > 50 && Refused < 100);
    // Alone, it is more than a quarter of its data centre.
    CPPUNIT_ASSERT(!signalsOverload(Gateway.State));
    const auto Hear = [&](const char *Name, bool Overloaded) {
      gateway_digest Digest;
      Digest.From = instance_name(Name);
      Digest.Address = std::string(Name) + ":1";
      Digest.DataCentre = data_centre_name("north");
      Digest.Overloaded = Overloaded;
      Gateway.dispatch(Digest);
    };
    for (const auto *Name : {"g2", "g3", "g4"})
      Hear(Name, true);
    CPPUNIT_ASSERT(signalsOverload(Gateway.State));
    Hear("g0", true);
    CPPUNIT_ASSERT(!signalsOverload(Gateway.State));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(self_limit_test);

} // namespace
