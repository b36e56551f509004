/// \file
/// Hybrid logical clock: orders events of all processes by cause, and stays
/// close to wall time. Every message between processes carries a stamp.
#ifndef LIMPETBRIDGE_BASE_HYBRID_CLOCK_H
#define LIMPETBRIDGE_BASE_HYBRID_CLOCK_H

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>

namespace limpetbridge {

/// A stamp: milliseconds of wall time in the upper 48 bits, counter below.
struct hybrid_stamp {
  std::uint64_t Value = 0;

  auto operator<=>(const hybrid_stamp &) const = default;
};

/// Milliseconds since the epoch of wall time.
using wall_clock_hook = std::function<std::uint64_t()>;

/// Thread-safe source of stamps.
/// \code
///   auto Sent = Clock.tick();      // put into the message
///   Clock.observe(Received);       // on receipt, before the next tick
/// \endcode
class hybrid_clock {
public:
  /// Uses the machine's wall clock.
  hybrid_clock();
  /// Uses \p Wall, for tests.
  explicit hybrid_clock(wall_clock_hook Wall);

  /// A stamp greater than every one given or observed before.
  auto tick() -> hybrid_stamp;

  /// Moves the clock past \p Stamp. Stamps more than a minute ahead of the
  /// wall clock are ignored, so that one broken clock cannot spoil all.
  auto observe(hybrid_stamp Stamp) -> void;

private:
  wall_clock_hook Wall;
  std::atomic<std::uint64_t> Last{0};
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_HYBRID_CLOCK_H
