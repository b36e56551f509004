/// \file
/// Steps of a fuzzed run.
#ifndef LIMPETBRIDGE_TESTING_SCRIPT_H
#define LIMPETBRIDGE_TESTING_SCRIPT_H

#include "world.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace limpetbridge {

/// Kind of a step.
enum class step_kind : std::uint8_t {
  Deliver,
  Lose,
  TimeOut,
  Repeat,
  Advance,
  RequestModel,
  RequestBooking,
  Command,
  Crash,
  ReplacePaused,
  ResumePaused,
  Drain,
  StoreDown,
  StoreUp,
  List
};

/// One step and its two arguments, whose meaning depends on the kind.
struct step {
  step_kind Kind = step_kind::Deliver;
  std::uint32_t First = 0;
  std::uint32_t Second = 0;
};

/// A step from two random numbers; the common ones are more likely.
[[nodiscard]] auto makeStep(std::uint64_t Random) -> step;

/// Takes the step in \p World.
auto apply(world &World, const step &Step) -> void;

/// Takes all steps, settles, and returns what was broken.
[[nodiscard]] auto runScript(const std::vector<step> &Steps, mutation Mutation)
    -> std::vector<std::string>;

/// For reading a shrunk run.
auto operator<<(std::ostream &Out, const step &Step) -> std::ostream &;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_SCRIPT_H
