/// \file
/// Keeps a gateway from taking more requests than its processor share carries.
///
/// An event that a gateway forwards too late makes its answer late, and a
/// gateway that lags makes all its streams late at once. So it refuses a part
/// of the new requests while its event loop runs late, those first that cost it
/// most for their urgency. Requests in progress are not touched.
#ifndef LIMPETBRIDGE_SERVING_SELF_LIMIT_H
#define LIMPETBRIDGE_SERVING_SELF_LIMIT_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace limpetbridge::serving {

/// What a gateway may use, and what callers need of it.
struct self_limit_policy {
  double CpuShare = 0; ///< Cores; 0: nothing is refused.
  /// Longest time from the target's event to the caller.
  duration ForwardBound = milliseconds(200);
};

/// One observation of the event loop.
struct loop_sample {
  duration Delay = duration::zero(); ///< Of a timer, beyond its time.
  /// Processor time of the process over the time that passed, cores; not set
  /// if it is not known.
  std::optional<double> UsedCores;
};

/// What one request costs the gateway, and how urgent it is.
struct request_weight {
  double Events = 0; ///< That its answer is forwarded in; 0 for a plain one.
  std::int64_t ObjectiveMs = 0; ///< For its first output.

  /// Cost for its urgency: least for requests that are refused last.
  [[nodiscard]] auto score() const -> double;
};

/// Decides how much of the new work a gateway admits. It limits the requests in
/// progress: each stream costs processor time until it ends, so that the number
/// of them tells the load of the next seconds before the delay does.
class self_limit {
public:
  /// Takes an observation; to be called about every 100 ms.
  /// \param InProgress requests.
  auto observe(const self_limit_policy &Policy, const loop_sample &Sample,
               std::size_t InProgress, time_point Now) -> void;

  /// Share of the requests of this weight that are admitted, above 0 and up to
  /// 1. Counts the request in the mean score, to which others are compared.
  [[nodiscard]] auto admittedShare(const request_weight &Weight,
                                   std::size_t InProgress) -> double;
  /// Time until half of such requests are admitted, if the delay falls now.
  [[nodiscard]] auto retryAfter(const request_weight &Weight) const -> duration;

  /// Part of the work that is admitted, up to 1.
  [[nodiscard]] auto level() const -> double { return Level; }
  /// True if the number of requests in progress is limited.
  [[nodiscard]] auto isLimiting() const -> bool { return Limit.has_value(); }
  /// Smoothed delay of the loop, ms.
  [[nodiscard]] auto delayMs() const -> double { return DelayMs; }
  /// True if much of the work has been refused for some seconds.
  [[nodiscard]] auto isSustained() const -> bool { return Sustained; }

private:
  [[nodiscard]] auto exponentOf(const request_weight &Weight) const -> double;
  auto setLevel(std::size_t InProgress) -> void;

  std::optional<time_point> StartedAt; ///< Of the first observation.
  time_point ObservedAt;
  time_point NextCut;
  time_point OverloadedSince = NoDeadline;
  std::optional<double> Limit; ///< Of the requests in progress.
  double DelayMs = 0;
  double Level = 1;
  double MeanScore = 0;
  bool Sustained = false;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_SELF_LIMIT_H
