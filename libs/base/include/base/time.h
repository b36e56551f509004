/// \file
/// The process clock: what the reducer is told, and what deadlines are in.
#ifndef LIMPETBRIDGE_BASE_TIME_H
#define LIMPETBRIDGE_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace limpetbridge {

/// Monotonic clock of one process, microseconds. Points of two processes are
/// never compared; a deadline crosses the wire as the time that remains.
struct process_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<process_clock, duration>;
  static constexpr bool is_steady = true; // NOLINT: name required by <chrono>

  /// Current time of the steady clock of the machine.
  [[nodiscard]] static auto now() noexcept -> time_point {
    const auto Since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(Since));
  }
};

/// Span of time, microseconds.
using duration = process_clock::duration;
/// A moment or a deadline.
using time_point = process_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The deadline of things that have none.
inline constexpr time_point NoDeadline = time_point::max();

/// Whole milliseconds in \p Span, rounded towards zero.
[[nodiscard]] constexpr auto toMilliseconds(duration Span) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

/// Time from \p Now to \p Deadline, never negative.
[[nodiscard]] constexpr auto remaining(time_point Deadline, time_point Now)
    -> duration {
  return Deadline > Now ? Deadline - Now : duration::zero();
}

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_TIME_H
