/// \file
/// Speed of the targets of a service, from the pace of the streams that run
/// there: how much slower than usual one is now, and in which share of their
/// time the targets of the service have short slow spells. See
/// docs/design/target-speed.md.
#ifndef LIMPETBRIDGE_SERVING_TARGET_SPEED_H
#define LIMPETBRIDGE_SERVING_TARGET_SPEED_H

#include "base/ids.h"
#include "base/time.h"
#include "serving/stream_pauses.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace limpetbridge::serving {

/// Slowness from which on a target counts as slow.
inline constexpr double SlowTarget = 1.6;

/// Measures the pace of one stream where it is relayed. Only two successive
/// gaps of about the same length count: prefill stretches single gaps, and a
/// process that lags reads several events at once.
class pace_meter {
public:
  /// \param Events complete events read of the stream so far.
  /// \param Queued what was read had arrived before the read began.
  /// \returns the time between two events, ms, if it is steady.
  auto read(std::uint64_t Events, time_point Now, bool Queued = false)
      -> std::optional<double>;

private:
  std::uint64_t LastEvents = 0;
  time_point LastAt;
  double LastGapMs = 0; ///< 0: unknown.
};

/// The least steady gap of each target's streams since the last report.
using target_paces = std::map<target_name, double>;
auto addPace(target_paces &Paces, const target_name &Target, double GapMs)
    -> void;

/// The least of the values of the last 300 to 600 ms.
class recent_least {
public:
  auto add(double Value, time_point Now) -> void;
  [[nodiscard]] auto least(time_point Now) const -> std::optional<double>;

private:
  time_point HalfStart;                        ///< Of the current half.
  std::array<std::optional<double>, 2> Halves; ///< The current one first.
};

/// How much slower than usual one target is, as this gateway observes.
class target_speed {
public:
  /// Records an observation: observed over usual time.
  auto observe(double Ratio, time_point Now) -> void;
  /// At least 1. Without recent observations it returns to 1 within a second.
  [[nodiscard]] auto slowness(time_point Now) const -> double;
  [[nodiscard]] auto wasObserved() const -> bool {
    return LastAt != time_point();
  }
  /// How long the observations have shown nothing but a slow target.
  [[nodiscard]] auto slowFor(time_point Now) const -> duration;

private:
  recent_least Recent;
  double Last = 1;   ///< At the last observation.
  time_point LastAt; ///< The epoch before the first one.
  time_point SlowSince = NoDeadline;
};

/// What is usual at the targets of one service.
class service_pace {
public:
  /// Learns the usual time from \p GapMs between two events of
  /// \p TokensPerEvent tokens.
  /// \returns observed over usual time; none if no engine is as fast.
  auto observe(double GapMs, std::uint32_t TokensPerEvent)
      -> std::optional<double>;
  /// Time between two events that is usual, ms; 0 if not known yet.
  [[nodiscard]] auto usualGapMs() const -> double { return UsualGapMs; }
  /// Learns from one observation at a target that has been slow for \p SlowFor.
  auto learnSpells(double Ratio, duration SlowFor) -> void;
  [[nodiscard]] auto spells() const -> const slow_spells & { return Spells; }

private:
  double UsualGapMs = 0; ///< 0: not known yet.
  slow_spells Spells = AssumedSpells;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TARGET_SPEED_H
