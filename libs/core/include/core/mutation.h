/// \file
/// Faults that tests inject into a node.
#ifndef LIMPETBRIDGE_CORE_MUTATION_H
#define LIMPETBRIDGE_CORE_MUTATION_H

#include <cstdint>

namespace limpetbridge {

/// Injected faults. Mutation tests use them to show that the checks detect a
/// faulty node.
enum class mutation : std::uint8_t {
  None,
  ReleaseOnTimeout,    ///< Frees memory when an order times out.
  SkipLoadOnDemand,    ///< Never loads a unit on demand.
  AcceptAnyFrame,      ///< Accepts frames of abandoned attempts.
  NotRunAfterDispatch, ///< Reports an unknown outcome as not run.
  ResendCalls,         ///< Retries non-idempotent calls without a claim.
  IgnoreLeaving,       ///< Offers work to leaving and drained targets.
  CutAtDrain,          ///< Stops at once on a drain request.
  RevertRevision       ///< Applies any revision that a peer sends.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_MUTATION_H
