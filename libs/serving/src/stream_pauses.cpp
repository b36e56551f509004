#include "serving/stream_pauses.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Prompt tokens in one step, the usual budget of engines that prefill in
/// chunks.
constexpr double ChunkTokens = 2048;
/// Attention of one token to one before it, ms. Measured: 1.5 ms a chunk for
/// each 1,000 tokens before it.
constexpr double PairMs = 0.74e-6;
/// A pause of this multiple of the bound outside spells is certain to be too
/// long. The observed slowness of a target may be off by about half.
constexpr double CertainExcess = 1.5;

/// Prefill within the steps of one event, ms.
auto windowMs(const engine_pace &Pace, double RunMs) -> double {
  return std::min(RunMs, Pace.TokensPerEvent * Pace.ChunkMs);
}

/// Chance that a run meets a slow spell with enough of its prefill in it.
auto chanceInSpell(const engine_pace &Pace, double RunMs, double BoundMs)
    -> double {
  const auto &Spells = Pace.Spells;
  if (Spells.Share <= 0)
    return 0;
  const double Factor = std::max(Spells.Factor, Pace.Slowness);
  const double NeededMs = BoundMs / Factor - Pace.TokensPerEvent * Pace.StepMs;
  if (windowMs(Pace, RunMs) <= NeededMs)
    return 0;
  if (Spells.Share >= 1)
    return 1;
  const double BetweenMs = Spells.LengthMs * (1 - Spells.Share) / Spells.Share;
  return Spells.Share +
         (1 - Spells.Share) * (1 - std::exp((NeededMs - RunMs) / BetweenMs));
}

} // namespace

auto lastChunkMs(double MsPerToken, std::uint32_t PromptTokens) -> double {
  const double Tokens = PromptTokens;
  const double Before = std::max(0.0, Tokens - ChunkTokens);
  return ChunkTokens * (MsPerToken + PairMs * Before);
}

auto longestPauseMs(const engine_pace &Pace, double RunMs) -> double {
  return Pace.Slowness *
         (Pace.TokensPerEvent * Pace.StepMs + windowMs(Pace, RunMs));
}

auto lateChance(const engine_pace &Pace, double RunMs, double BoundMs)
    -> double {
  const double Excess = longestPauseMs(Pace, RunMs) / BoundMs - 1;
  const double Calm = std::clamp(Excess / (CertainExcess - 1), 0.0, 1.0);
  return 1 - (1 - Calm) * (1 - chanceInSpell(Pace, RunMs, BoundMs));
}

} // namespace limpetbridge::serving
