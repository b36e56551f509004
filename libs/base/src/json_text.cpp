#include "base/json_text.h"

namespace limpetbridge {

auto isUtf8(std::string_view Text) -> bool {
  try {
    // Strict by default: throws on what is not UTF-8.
    static_cast<void>(nlohmann::json(Text).dump());
    return true;
  } catch (const nlohmann::json::type_error &) {
    return false;
  }
}

} // namespace limpetbridge
