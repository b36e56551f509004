/// \file
/// What the settings of a gateway's process mean to its reducer.
#ifndef LIMPETBRIDGE_NODE_SERVING_GATEWAY_SETTINGS_H
#define LIMPETBRIDGE_NODE_SERVING_GATEWAY_SETTINGS_H

#include "base/settings.h"
#include "serving/gateway.h"

#include <cstdint>

namespace limpetbridge {

/// Options of the reducer, but for what depends on the platform's adapter.
[[nodiscard]] auto gatewayOptions(const node_settings &Settings)
    -> serving::gateway_options;

/// Number of a process that starts, or begins anew, above all earlier ones of
/// its name: the time of the wall clock, ms.
[[nodiscard]] auto gatewayIncarnation() -> std::uint64_t;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_SETTINGS_H
