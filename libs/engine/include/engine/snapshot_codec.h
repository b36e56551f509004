/// \file
/// JSON encoding of engine snapshots and of orders to an engine.
#ifndef LIMPETBRIDGE_ENGINE_SNAPSHOT_CODEC_H
#define LIMPETBRIDGE_ENGINE_SNAPSHOT_CODEC_H

#include "core/effects.h"

#include <nlohmann/json_fwd.hpp>

namespace limpetbridge {

[[nodiscard]] auto encodeSnapshot(const engine_snapshot &Snapshot)
    -> nlohmann::json;
/// \throws nlohmann::json::exception when a field is missing.
[[nodiscard]] auto decodeSnapshot(const nlohmann::json &Body)
    -> engine_snapshot;

[[nodiscard]] auto encodeOrder(const send_order &Order) -> nlohmann::json;
/// An unknown kind is decoded as a fence.
/// \throws nlohmann::json::exception when a field is missing.
[[nodiscard]] auto decodeOrder(const nlohmann::json &Body) -> send_order;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_ENGINE_SNAPSHOT_CODEC_H
