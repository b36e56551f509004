#include "serving/knowledge_state.h"

#include <algorithm>

namespace limpetbridge::serving {

auto knowledge_state::ageMs(time_point Now) const -> std::int64_t {
  return KnownAt == time_point() ? -1 : toMilliseconds(Now - KnownAt);
}

auto knowledge_state::record(time_point AsOf) -> void {
  KnownAt = std::max(KnownAt, AsOf);
}

auto knowledge_state::addSuspension(duration Suspended) -> void {
  if (KnownAt != time_point())
    KnownAt -= Suspended;
}

} // namespace limpetbridge::serving
