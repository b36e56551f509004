/// \file
/// From settings to the options of a node.
#ifndef LIMPETBRIDGE_NODE_SETUP_H
#define LIMPETBRIDGE_NODE_SETUP_H

#include "base/settings.h"
#include "core/state.h"

namespace limpetbridge {

/// Options of the reducer for \p Settings. The peer address and incarnation
/// of the record are filled in once the listener runs.
[[nodiscard]] auto toNodeOptions(const node_settings &Settings) -> node_options;

/// Rules that no single key can be checked for.
[[nodiscard]] auto checkSettings(const node_settings &Settings) -> result<void>;

/// Microseconds of wall time: grows from one life of a process to the next.
[[nodiscard]] auto newIncarnation() -> incarnation;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SETUP_H
