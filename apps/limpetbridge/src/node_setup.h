/// \file
/// Converts the settings of a process to the options of a node.
#ifndef LIMPETBRIDGE_NODE_SETUP_H
#define LIMPETBRIDGE_NODE_SETUP_H

#include "base/settings.h"
#include "core/state.h"

namespace limpetbridge {

/// Options of the reducer for \p Settings. Self.Address and Self.Incarnation
/// are left empty; the node sets them, as its port is known only when it
/// listens.
[[nodiscard]] auto toNodeOptions(const node_settings &Settings) -> node_options;

/// Time from the request to stop until connections of callers are cut, which is
/// shortly before the supervisor kills the process.
[[nodiscard]] auto callerCutTimeout(const node_settings &Settings) -> duration;

/// Checks rules that involve more than one key.
/// \returns InvalidSetting with the section and key.
[[nodiscard]] auto checkSettings(const node_settings &Settings) -> result<void>;

/// A new incarnation: the wall-clock time in microseconds, so that it grows
/// from one start of a process to the next unless the clock is set back.
[[nodiscard]] auto newIncarnation() -> incarnation;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SETUP_H
