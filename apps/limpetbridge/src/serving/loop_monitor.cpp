#include "loop_monitor.h"

#include <algorithm>
#include <ctime>

namespace limpetbridge {

namespace {

constexpr duration ReportInterval = seconds(1);

/// Processor time of this process, ms; below 0 if it is not known.
auto busyMs() -> std::int64_t {
  constexpr std::int64_t ClocksPerMs = CLOCKS_PER_SEC / 1000;
  const auto Clock = std::clock();
  return Clock < 0 ? -1 : static_cast<std::int64_t>(Clock) / ClocksPerMs;
}

} // namespace

loop_monitor::loop_monitor(time_point Now)
    : IntervalEnd(Now + ReportInterval), BusySinceStartMs(busyMs()),
      IntervalStart(Now) {}

auto loop_monitor::recordTimer(time_point Due, time_point Now)
    -> std::optional<loop_report> {
  Current.LongestDelayMs =
      std::max(Current.LongestDelayMs, toMilliseconds(Now - Due));
  if (Now < IntervalEnd)
    return std::nullopt;
  auto Report = Current;
  const auto Busy = busyMs();
  Report.BusyMs = Busy < 0 ? -1 : Busy - BusySinceStartMs;
  BusySinceStartMs = Busy;
  const auto IntervalMs = toMilliseconds(Now - IntervalStart);
  UsedCores.reset();
  if (Report.BusyMs >= 0 && IntervalMs > 0)
    UsedCores =
        static_cast<double>(Report.BusyMs) / static_cast<double>(IntervalMs);
  IntervalStart = Now;
  LastDelayMs = Report.LongestDelayMs;
  Current = loop_report();
  IntervalEnd = Now + ReportInterval;
  return Report;
}

} // namespace limpetbridge
