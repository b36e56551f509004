/// \file
/// Monotonic process clock: the reducer's time and all deadlines are points
/// of it.
#ifndef LIMPETBRIDGE_BASE_TIME_H
#define LIMPETBRIDGE_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace limpetbridge {

/// Monotonic clock of one process, microseconds. Time points of different
/// processes are never compared; a deadline is sent as the remaining time.
struct process_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<process_clock, duration>;
  static constexpr bool is_steady = true; // NOLINT: name required by <chrono>

  /// Current time of the machine's steady clock.
  [[nodiscard]] static auto now() noexcept -> time_point {
    const auto SinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(SinceEpoch));
  }
};

/// Length of time, microseconds.
using duration = process_clock::duration;
/// Point in time or deadline.
using time_point = process_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Means that there is no deadline; later than every real deadline.
inline constexpr time_point NoDeadline = time_point::max();

/// Converts \p Span to milliseconds, rounded towards zero.
[[nodiscard]] constexpr auto toMilliseconds(duration Span) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

/// Time from \p Now until \p Deadline; zero if it has passed.
[[nodiscard]] constexpr auto remaining(time_point Deadline, time_point Now)
    -> duration {
  return Deadline > Now ? Deadline - Now : duration::zero();
}

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_TIME_H
