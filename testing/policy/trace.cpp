#include "trace.h"

#include "core/state.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge {

namespace {

constexpr std::size_t SwingingModels = 4; ///< Models of the shipment's wave.

auto uniform(random_state &Random) -> double {
  constexpr double Range = 9007199254740992.0; // 2^53
  return static_cast<double>(Random.next() >> 11) / Range;
}

/// A model by popularity that falls with its number.
auto pickModel(random_state &Random, std::size_t Models) -> std::size_t {
  const double Skewed = std::pow(uniform(Random), 2.0);
  return std::min(Models - 1, static_cast<std::size_t>(
                                  Skewed * static_cast<double>(Models)));
}

auto makeDemand(random_state &Random, bool Short) -> demand {
  demand Demand;
  Demand.Short = Short;
  const auto Spread = Random.next();
  Demand.PromptTokens = Short
                            ? 80 + static_cast<std::uint32_t>(Spread % 160)
                            : 3000 + static_cast<std::uint32_t>(Spread % 6000);
  Demand.OutputTokens = Short ? 40 + static_cast<std::uint32_t>(Spread % 60)
                              : 120 + static_cast<std::uint32_t>(Spread % 160);
  return Demand;
}

auto inCrest(duration At) -> bool { return At >= CrestFrom && At < CrestTo; }

/// Poisson arrivals of one class at \p Rate a second from models chosen by
/// \p Pick, while \p Open holds.
template <typename pick, typename open>
auto addArrivals(std::vector<demand> &Trace, random_state &Random, double Rate,
                 bool Short, pick Pick, open Open) -> void {
  double At = 0;
  const double Length = std::chrono::duration<double>(TraceLength).count();
  while ((At += -std::log(1.0 - uniform(Random)) / Rate) < Length) {
    auto Demand = makeDemand(Random, Short);
    Demand.At = duration(static_cast<std::int64_t>(At * 1e6));
    Demand.Model = Pick(Random);
    if (Open(Demand.At))
      Trace.push_back(Demand);
  }
}

} // namespace

auto caledon() -> deployment {
  return {"Caledon", 18, 34, 4, 2500, 2.0, 6, 18, 7, 10};
}

auto graniteCaster() -> deployment {
  return {"Granite Caster", 12, 26, 4, 2500, 1.5, 2, 14, 4, 10};
}

auto makeTrace(const deployment &Deployment, std::uint64_t Seed)
    -> std::vector<demand> {
  random_state Random{Seed};
  std::vector<demand> Trace;
  const auto Any = [&](random_state &Of) {
    return pickModel(Of, Deployment.Models);
  };
  // The wave hits models in the middle of the list, rare until then.
  const auto Swinging = [&](random_state &Of) {
    return Deployment.Models / 2 + Of.next() % SwingingModels;
  };
  const auto Always = [](duration) { return true; };
  addArrivals(Trace, Random, Deployment.ShortASecond, true, Any, Always);
  addArrivals(Trace, Random, Deployment.LongASecond, false, Any, Always);
  const double Extra = (Deployment.Crest - 1) * Deployment.LongASecond / 2;
  addArrivals(Trace, Random, Extra, false, Swinging, inCrest);
  std::stable_sort(Trace.begin(), Trace.end(),
                   [](const demand &Left, const demand &Right) {
                     return Left.At < Right.At;
                   });
  return Trace;
}

auto prefillMs(const demand &Demand) -> double {
  constexpr double PromptTokenMs = 0.1;
  return PromptTokenMs * Demand.PromptTokens;
}

auto decodeMs(const demand &Demand) -> double {
  constexpr double TokenMs = 10;
  return TokenMs * Demand.OutputTokens;
}

auto aimMs(const demand &Demand) -> double {
  constexpr double ShortAimMs = 1300;
  constexpr double LongAimMs = 5000;
  return Demand.Short ? ShortAimMs : LongAimMs;
}

} // namespace limpetbridge
