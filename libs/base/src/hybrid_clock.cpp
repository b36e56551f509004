#include "base/hybrid_clock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace limpetbridge {

namespace {

constexpr unsigned CounterBits = 16;
constexpr std::uint64_t MaxLeadMs = 60'000;

auto machineWallMs() -> std::uint64_t {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count());
}

} // namespace

hybrid_clock::hybrid_clock() : hybrid_clock(machineWallMs) {}

hybrid_clock::hybrid_clock(wall_clock_hook Wall) : Wall(std::move(Wall)) {}

auto hybrid_clock::tick() -> hybrid_stamp {
  const std::uint64_t Physical = Wall() << CounterBits;
  std::uint64_t Old = Last.load();
  std::uint64_t Next = 0;
  do {
    Next = std::max(Physical, Old + 1);
  } while (!Last.compare_exchange_weak(Old, Next));
  return {Next};
}

auto hybrid_clock::observe(hybrid_stamp Stamp) -> void {
  if ((Stamp.Value >> CounterBits) > Wall() + MaxLeadMs)
    return;
  std::uint64_t Old = Last.load();
  while (Old < Stamp.Value && !Last.compare_exchange_weak(Old, Stamp.Value))
    ;
}

} // namespace limpetbridge
