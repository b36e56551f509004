#include "base/result.h"

namespace limpetbridge {

auto toString(const error &Error) -> std::string {
  const auto &Row = describe(Error.Code);
  return std::to_string(static_cast<unsigned>(Error.Code)) + " " +
         std::string(Row.Name) + ": " + Error.Detail;
}

} // namespace limpetbridge
