#include "serving/call.h"

#include <algorithm>
#include <sstream>

namespace limpetbridge::serving {

auto describeParts(const std::vector<prompt_part> &Parts) -> std::string {
  /// Callers choose the number of parts, so that a line does not name them all.
  constexpr std::size_t MaxNamed = 8;
  std::ostringstream Text;
  Text << std::hex;
  const auto Named = std::min(Parts.size(), MaxNamed);
  for (std::size_t I = 0; I < Named; ++I)
    Text << (I == 0 ? "" : ",") << Parts[I].Id;
  if (Parts.size() > Named)
    Text << "+" << std::dec << Parts.size() - Named;
  return Text.str();
}

} // namespace limpetbridge::serving
