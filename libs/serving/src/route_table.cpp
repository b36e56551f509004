#include "serving/configuration.h"

#include <algorithm>

namespace limpetbridge::serving {

route_table::route_table(const configuration &Configuration) {
  for (const auto &Route : Configuration.Routes)
    ByHost[Route.Host].push_back(Route);
  for (auto &[Host, Routes] : ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const route &Left, const route &Right) {
                       return Left.Prefix.size() > Right.Prefix.size();
                     });
}

auto route_table::find(std::string_view Host, std::string_view Path) const
    -> const route * {
  const auto Found = ByHost.find(Host);
  if (Found == ByHost.end())
    return nullptr;
  const auto Route = std::find_if(Found->second.begin(), Found->second.end(),
                                  [&](const route &Candidate) {
                                    return Path.starts_with(Candidate.Prefix);
                                  });
  return Route == Found->second.end() ? nullptr : &*Route;
}

} // namespace limpetbridge::serving
