/// \file
/// JSON encoding of the rows in the platform's list of instances.
#ifndef LIMPETBRIDGE_PLATFORM_INSTANCE_CODEC_H
#define LIMPETBRIDGE_PLATFORM_INSTANCE_CODEC_H

#include "core/work.h"

#include <nlohmann/json_fwd.hpp>

namespace limpetbridge {

[[nodiscard]] auto encodeInstance(const instance_record &Record)
    -> nlohmann::json;
/// \throws nlohmann::json::exception when a field is missing.
[[nodiscard]] auto decodeInstance(const nlohmann::json &Body)
    -> instance_record;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_PLATFORM_INSTANCE_CODEC_H
