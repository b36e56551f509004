#include "base/hybrid_clock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace limpetbridge {

namespace {

constexpr unsigned CounterBits = 16;
/// Observed stamps further ahead of the wall clock than this are ignored.
constexpr std::uint64_t MaxLeadMs = 60'000;

auto systemWallTimeMs() -> std::uint64_t {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

} // namespace

hybrid_clock::hybrid_clock() : hybrid_clock(systemWallTimeMs) {}

hybrid_clock::hybrid_clock(wall_clock_hook WallClock)
    : WallClock(std::move(WallClock)) {}

auto hybrid_clock::tick() -> hybrid_stamp {
  const std::uint64_t WallStamp = WallClock() << CounterBits;
  std::uint64_t Previous = LastStamp.load();
  std::uint64_t Next = 0;
  do {
    Next = std::max(WallStamp, Previous + 1);
  } while (!LastStamp.compare_exchange_weak(Previous, Next));
  return {Next};
}

auto hybrid_clock::observe(hybrid_stamp Stamp) -> void {
  if ((Stamp.Value >> CounterBits) > WallClock() + MaxLeadMs)
    return;
  std::uint64_t Previous = LastStamp.load();
  while (Previous < Stamp.Value &&
         !LastStamp.compare_exchange_weak(Previous, Stamp.Value))
    ;
}

} // namespace limpetbridge
