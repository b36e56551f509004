#include "serving/priority_order.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

auto sortUnique(std::vector<std::uint32_t> &Levels) -> void {
  std::sort(Levels.begin(), Levels.end());
  Levels.erase(std::unique(Levels.begin(), Levels.end()), Levels.end());
}

auto positionOf(const std::vector<std::uint32_t> &Levels, std::uint32_t Level)
    -> std::uint64_t {
  const auto Found = std::lower_bound(Levels.begin(), Levels.end(), Level);
  return static_cast<std::uint64_t>(Found - Levels.begin());
}

} // namespace

priority_order::priority_order(const configuration &Configuration) {
  if (Configuration.Workspaces.empty())
    return;
  for (const auto &Route : Configuration.Routes) {
    RouteLevels.push_back(Route.Priority);
    // Of requests without a workspace that has a priority.
    WorkspaceLevels.push_back(Route.Priority);
  }
  for (const auto &[Name, Workspace] : Configuration.Workspaces)
    if (Workspace.Priority)
      WorkspaceLevels.push_back(*Workspace.Priority);
  sortUnique(WorkspaceLevels);
  sortUnique(RouteLevels);
}

auto priority_order::targetPriority(std::optional<std::uint32_t> Workspace,
                                    std::uint32_t Route) const
    -> std::uint32_t {
  if (RouteLevels.empty())
    return Route;
  const std::uint64_t Pairs = WorkspaceLevels.size() * RouteLevels.size();
  const auto Position = positionOf(WorkspaceLevels, Workspace.value_or(Route)) *
                            RouteLevels.size() +
                        positionOf(RouteLevels, Route);
  const auto Priority = Pairs <= TargetPriorityLevels
                            ? Position
                            : Position * TargetPriorityLevels / Pairs;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Priority, TargetPriorityLevels - 1));
}

} // namespace limpetbridge::serving
