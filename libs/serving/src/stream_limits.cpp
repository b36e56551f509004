#include "serving/stream_limits.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Largest preference, ms: less than the way to another data centre costs, and
/// than a chunk of prefill takes.
constexpr double MaxPreferenceMs = 10;

} // namespace

auto minNoticeMs(const stream_bounds &Bounds) -> double {
  double BoundMs = 0;
  for (const double GapMs : Bounds.GapMs)
    if (GapMs > 0)
      BoundMs = BoundMs > 0 ? std::min(BoundMs, GapMs) : GapMs;
  const double OwnMs = engine_pace().StepMs * Bounds.TokensPerEvent;
  return std::max(0.0, BoundMs / AssumedSpells.Factor - OwnMs) / 2;
}

auto preferenceMs(const target_name &Target, const instance_name &Gateway)
    -> double {
  constexpr std::uint64_t Steps = 1024;
  const auto Hash = stableHash(Gateway.Text, stableHash(Target.Text));
  return MaxPreferenceMs * static_cast<double>(Hash % Steps) / Steps;
}

} // namespace limpetbridge::serving
