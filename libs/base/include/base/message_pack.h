/// \file
/// Reads MessagePack from other processes, whose nesting is bounded: the parser
/// recurses, and a deeply nested message would exhaust the stack.
#ifndef LIMPETBRIDGE_BASE_MESSAGE_PACK_H
#define LIMPETBRIDGE_BASE_MESSAGE_PACK_H

#include "base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace limpetbridge {

/// Parses one MessagePack value.
/// \returns MalformedRequest if \p Bytes is not exactly one value or if it is
/// nested too deeply.
[[nodiscard]] auto parseMessagePack(std::string_view Bytes)
    -> result<nlohmann::json>;

/// Formats \p Value as MessagePack.
[[nodiscard]] auto toMessagePack(const nlohmann::json &Value) -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_MESSAGE_PACK_H
