/// \file
/// Measures the policy of the real reducers against two baselines on the same
/// demand: `measure_policy [SEEDS]`. Prints a table for both users.

#include "policy_world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace limpetbridge;

/// The figures of one policy.
struct figures {
  double Attained = 0;
  double AttainedAtCrest = 0;
  double ShortAtCrest = 0; ///< Attainment of short work at the crest.
  double MovesAThousand = 0;
  double ShortWait99 = 0; ///< Over the service time.
  double Latency99 = 0;
  double Slow99 = 0;  ///< With stragglers.
  double Slow999 = 0; ///< With stragglers.
  double Refusals = 0;
  double Retries = 0;
};

auto quantile(std::vector<double> Values, double Share) -> double {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

auto inCrest(const fate &Fate) -> bool {
  return Fate.Demand.At >= CrestFrom && Fate.Demand.At < CrestTo;
}

auto isAttained(const fate &Fate) -> bool {
  return Fate.Done && Fate.FirstMs >= 0 && Fate.FirstMs <= aimMs(Fate.Demand);
}

auto attainment(const policy_result &Result, bool CrestOnly,
                bool ShortOnly = false) -> double {
  double Attained = 0;
  double All = 0;
  for (const auto &Fate : Result.Fates) {
    if ((CrestOnly && !inCrest(Fate)) || (ShortOnly && !Fate.Demand.Short))
      continue;
    All += 1;
    Attained += isAttained(Fate) ? 1 : 0;
  }
  return All > 0 ? Attained / All : 0;
}

/// Wait of short work beyond its own service, over that service. Work that was
/// never answered waited for as long as it could.
auto shortWaits(const policy_result &Result) -> std::vector<double> {
  constexpr double LongestMs = 30'000;
  std::vector<double> Waits;
  for (const auto &Fate : Result.Fates) {
    if (!Fate.Demand.Short)
      continue;
    const double Service = prefillMs(Fate.Demand) + decodeMs(Fate.Demand);
    const double Total = Fate.Done ? Fate.TotalMs : LongestMs;
    Waits.push_back(std::max(0.0, Total - Service) / Service);
  }
  return Waits;
}

/// Latency of requests outside the crest, by which stragglers show.
auto calmLatencies(const policy_result &Result) -> std::vector<double> {
  constexpr double LongestMs = 30'000;
  std::vector<double> Values;
  for (const auto &Fate : Result.Fates)
    if (Fate.Demand.At < CrestFrom && Fate.Demand.At > seconds(30))
      Values.push_back(Fate.Done ? Fate.TotalMs : LongestMs);
  return Values;
}

using policy =
    std::function<policy_result(const deployment &, const std::vector<demand> &,
                                const stragglers &, std::uint64_t)>;

auto measure(const deployment &Deployment, const policy &Policy, int Seeds)
    -> figures {
  figures Sum;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Trace = makeTrace(Deployment, static_cast<std::uint64_t>(Seed));
    const auto Number = static_cast<std::uint64_t>(Seed);
    const auto Calm = Policy(Deployment, Trace, {0, 1}, Number);
    const auto Slow = Policy(Deployment, Trace, {0.1, 5}, Number);
    const auto Count = static_cast<double>(Trace.size());
    Sum.Attained += attainment(Calm, false);
    Sum.AttainedAtCrest += attainment(Calm, true);
    Sum.ShortAtCrest += attainment(Calm, true, true);
    Sum.MovesAThousand += 1000.0 * static_cast<double>(Calm.Loads) / Count;
    Sum.ShortWait99 += quantile(shortWaits(Calm), 0.99);
    Sum.Latency99 += quantile(calmLatencies(Calm), 0.99);
    Sum.Slow99 += quantile(calmLatencies(Slow), 0.99);
    Sum.Slow999 += quantile(calmLatencies(Slow), 0.999);
    Sum.Refusals += static_cast<double>(Calm.Refusals) / Count;
    Sum.Retries += static_cast<double>(Calm.Retries) / Count;
  }
  for (double *Each : {&Sum.Attained, &Sum.AttainedAtCrest, &Sum.ShortAtCrest,
                       &Sum.MovesAThousand, &Sum.ShortWait99, &Sum.Latency99,
                       &Sum.Slow99, &Sum.Slow999, &Sum.Refusals, &Sum.Retries})
    *Each /= Seeds;
  return Sum;
}

/// What perfect knowledge could attain at the crest: the work of the aims'
/// window over what the engines can do, short work first.
auto crestBound(const deployment &Deployment, int Seeds) -> double {
  double Sum = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Trace = makeTrace(Deployment, static_cast<std::uint64_t>(Seed));
    const double Span =
        std::chrono::duration<double>(CrestTo - CrestFrom).count();
    double Room = static_cast<double>(Deployment.Targets * FullSpeedRuns) *
                  (Span + 5) * 1000;
    std::vector<double> Costs;
    for (const auto &Demand : Trace)
      if (Demand.At >= CrestFrom && Demand.At < CrestTo)
        Costs.push_back(prefillMs(Demand) + decodeMs(Demand));
    std::sort(Costs.begin(), Costs.end());
    double Attained = 0;
    for (const double Cost : Costs) {
      Room -= Cost;
      if (Room < 0)
        break;
      Attained += 1;
    }
    Sum += Attained / static_cast<double>(Costs.size());
  }
  return Sum / Seeds;
}

auto print(const std::string &Name, const figures &Row) -> void {
  std::printf("%-14s %8.3f %8.3f %8.3f %8.1f %9.2f %8.0f %8.0f %8.0f %6.2f "
              "%8.2f %8.2f\n",
              Name.c_str(), Row.Attained, Row.AttainedAtCrest, Row.ShortAtCrest,
              Row.MovesAThousand, Row.ShortWait99, Row.Latency99, Row.Slow99,
              Row.Slow999, Row.Latency99 > 0 ? Row.Slow99 / Row.Latency99 : 0,
              Row.Refusals, Row.Retries);
}

auto report(const deployment &Deployment, int Seeds) -> void {
  std::printf("\n%s: %zu targets, %zu models, %d seeds; upper bound of "
              "attainment at the crest %.3f\n",
              Deployment.Name.c_str(), Deployment.Targets, Deployment.Models,
              Seeds, crestBound(Deployment, Seeds));
  std::printf("%-14s %8s %8s %8s %8s %9s %8s %8s %8s %6s %8s %8s\n", "policy",
              "attained", "at crest", "shorts", "moves/k", "short p99",
              "p99 ms", "slow p99", "p99.9", "ratio", "refusals", "retries");
  const auto Baseline = [](baseline_kind Kind) {
    return [Kind](const deployment &Of, const std::vector<demand> &Trace,
                  const stragglers &Slow, std::uint64_t Seed) {
      return runBaseline(Of, Trace, Slow, Kind, Seed);
    };
  };
  print("random holder",
        measure(Deployment, Baseline(baseline_kind::Random), Seeds));
  print("least reported",
        measure(Deployment, Baseline(baseline_kind::LeastReported), Seeds));
  print("limpetbridge", measure(Deployment, runReducers, Seeds));
}

} // namespace

auto main(int Count, char **Words) -> int {
  const int Seeds = Count > 1 ? std::max(1, std::atoi(Words[1])) : 3;
  report(caledon(), Seeds);
  report(graniteCaster(), Seeds);
  return 0;
}
