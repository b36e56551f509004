/// Messages about quotas, and what would make a gateway's part of them and the
/// age of its knowledge wrong: a clock that has stood still.
#include "gateway_node.h"

#include "gateway_settings.h"
#include "link_codec.h"

#include <chrono>
#include <ctime>

namespace limpetbridge {

namespace {

using namespace serving;

auto readClock(clockid_t Clock) -> duration {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return std::chrono::duration_cast<duration>(
      seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

auto gatewayIncarnation() -> std::uint64_t {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(SinceEpoch).count());
}

auto gateway_node::takeSuspension() -> std::optional<duration> {
  /// Less than this is no suspension: the clocks are read one after the other.
  constexpr duration MinSuspension = seconds(1);
  // Only the boot clock goes on while the machine is suspended.
  const auto Suspended = readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
  if (!SuspendedTime)
    SuspendedTime = Suspended;
  const auto Since = Suspended - *SuspendedTime;
  if (Since < MinSuspension)
    return std::nullopt;
  SuspendedTime = Suspended;
  return Since;
}

auto gateway_node::execute(const send_quota_reports &Effect) -> void {
  for (const auto &[Address, Report] : Effect.Reports)
    LinkSocket->send(Address, encodeLink(Report));
}

} // namespace limpetbridge
