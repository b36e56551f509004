/// \file
/// Faults that tests put into a node on purpose.
#ifndef LIMPETBRIDGE_CORE_MUTATION_H
#define LIMPETBRIDGE_CORE_MUTATION_H

#include <cstdint>

namespace limpetbridge {

/// Deliberate faults, by which the tests show that the checks can fail.
enum class mutation : std::uint8_t {
  None,
  ReleaseOnTimeout,    ///< Frees memory when an order goes unanswered.
  SkipLoadOnDemand,    ///< Never loads what is not resident.
  AcceptAnyFrame,      ///< Takes frames of abandoned attempts.
  NotRunAfterDispatch, ///< Calls an unknown outcome not run.
  ResendCalls,         ///< Repeats non-idempotent calls without a claim.
  IgnoreLeaving,       ///< Keeps offering work to leaving targets.
  CutAtDrain,          ///< Stops at once when drained.
  RevertRevision       ///< Takes any revision that a peer sends.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_MUTATION_H
