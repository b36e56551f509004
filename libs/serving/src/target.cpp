#include "serving/target.h"

namespace limpetbridge::serving {

auto hasLoaded(const target &Target, const model_name &Model,
               const std::string &Adapter) -> bool {
  const auto Found = Target.Holdings.Models.find(Model);
  if (Found == Target.Holdings.Models.end())
    return false;
  return Adapter.empty() || Found->second.Adapters.contains(Adapter);
}

} // namespace limpetbridge::serving
