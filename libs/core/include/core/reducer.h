/// \file
/// The one reducer of a node.
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

/// Applies \p Event to \p State and returns what is to be done.
/// Pure but for State: no clock, thread, socket, log or random device.
/// \pre \p Now is never earlier than in the call before.
[[nodiscard]] auto reduce(node_state &State, const event &Event, time_point Now)
    -> effects;

/// When the node wants its next tick at the latest.
[[nodiscard]] auto nextTick(const node_state &State, time_point Now)
    -> time_point;

/// True when the node can serve: configuration loaded and not draining.
[[nodiscard]] auto isReady(const node_state &State) -> bool;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_REDUCER_H
