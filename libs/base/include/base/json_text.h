/// \file
/// Formats JSON whose texts may come from outside: from callers, targets, rows
/// or other processes.
#ifndef LIMPETBRIDGE_BASE_JSON_TEXT_H
#define LIMPETBRIDGE_BASE_JSON_TEXT_H

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace limpetbridge {

/// Formats \p Value in one line. Bytes of texts that are not UTF-8 become
/// U+FFFD; by default the JSON library throws on them.
template <typename json>
[[nodiscard]] auto toJsonText(const json &Value) -> std::string {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// True if \p Text is UTF-8, so that JSON carries it unchanged.
[[nodiscard]] auto isUtf8(std::string_view Text) -> bool;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_JSON_TEXT_H
