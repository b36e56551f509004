/// \file
/// Watches how late a process runs its timers, and what it used meanwhile.
#ifndef LIMPETBRIDGE_NODE_SERVING_LOOP_MONITOR_H
#define LIMPETBRIDGE_NODE_SERVING_LOOP_MONITOR_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace limpetbridge {

/// What happened in one interval of a loop_monitor.
struct loop_report {
  std::int64_t LongestDelayMs = 0; ///< Of a timer, beyond its time.
  std::int64_t BusyMs = 0;         ///< Processor time; below 0 if not known.
  std::uint64_t Datagrams = 0;     ///< Received.
};

/// Collects reports of the event loop, one for each \c ReportInterval.
class loop_monitor {
public:
  explicit loop_monitor(time_point Now);

  auto countDatagram() -> void { ++Current.Datagrams; }
  /// Records that a timer was due at \p Due and ran at \p Now.
  /// \returns the report of the interval if it is over.
  auto recordTimer(time_point Due, time_point Now)
      -> std::optional<loop_report>;
  /// Longest delay of the last complete interval, ms.
  [[nodiscard]] auto lastDelayMs() const -> std::int64_t { return LastDelayMs; }
  /// Processor time over time in the last complete interval, cores; not set
  /// before its end, or if it is not known.
  [[nodiscard]] auto usedCores() const -> std::optional<double> {
    return UsedCores;
  }

private:
  loop_report Current;
  time_point IntervalEnd;
  std::int64_t BusySinceStartMs;
  std::int64_t LastDelayMs = 0;
  time_point IntervalStart;
  std::optional<double> UsedCores;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_LOOP_MONITOR_H
