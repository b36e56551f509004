/// \file
/// The reducer of a node.
///
/// \code
///   auto State = makeNode(Options, Seed);
///   for (auto &Effect : reduce(State, Event, process_clock::now()))
///     execute(Effect);
/// \endcode
#ifndef LIMPETBRIDGE_CORE_REDUCER_H
#define LIMPETBRIDGE_CORE_REDUCER_H

#include "core/effects.h"
#include "core/state.h"

namespace limpetbridge {

/// Applies \p Event to \p State and returns the effects to execute. Uses no
/// clock, thread, socket, log or random device; changes only \p State.
/// \pre \p Now is not earlier than in the previous call.
[[nodiscard]] auto reduce(node_state &State, const event &Event, time_point Now)
    -> effects;

/// Latest time at which the node needs its next tick.
[[nodiscard]] auto nextTick(const node_state &State, time_point Now)
    -> time_point;

/// Readiness: true if the node is not draining and, for an entry, its
/// configuration is loaded.
[[nodiscard]] auto isReady(const node_state &State) -> bool;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_REDUCER_H
