/// \file
/// Hybrid logical clock: its stamps order events of all processes causally and
/// stay close to wall time. Every message between processes carries a stamp.
#ifndef LIMPETBRIDGE_BASE_HYBRID_CLOCK_H
#define LIMPETBRIDGE_BASE_HYBRID_CLOCK_H

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>

namespace limpetbridge {

/// Timestamp: wall time in milliseconds in the upper 48 bits, and a logical
/// counter in the lower 16.
struct hybrid_stamp {
  std::uint64_t Value = 0;

  auto operator<=>(const hybrid_stamp &) const = default;
};

/// Returns the wall time, milliseconds since the Unix epoch.
using wall_clock_hook = std::function<std::uint64_t()>;

/// Thread-safe hybrid logical clock.
/// \code
///   auto Sent = Clock.tick();      // sent with a message
///   Clock.observe(Received);       // on receipt, before the next tick
/// \endcode
class hybrid_clock {
public:
  /// Reads the machine's wall clock.
  hybrid_clock();
  /// Reads \p WallClock instead, for tests.
  explicit hybrid_clock(wall_clock_hook WallClock);

  /// Returns a stamp greater than every stamp returned or observed before.
  auto tick() -> hybrid_stamp;

  /// Advances the clock to at least \p Stamp. Ignores stamps more than a minute
  /// ahead of the wall clock, so that one wrong clock cannot advance all
  /// others.
  auto observe(hybrid_stamp Stamp) -> void;

private:
  wall_clock_hook WallClock;
  std::atomic<std::uint64_t> LastStamp{0};
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_HYBRID_CLOCK_H
