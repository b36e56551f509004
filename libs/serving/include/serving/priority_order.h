/// \file
/// Order in which targets admit the requests of a configuration: by the
/// priority of the workspace, then by that of the route. Targets know one
/// number, so the pairs that a configuration can produce are numbered.
#ifndef LIMPETBRIDGE_SERVING_PRIORITY_ORDER_H
#define LIMPETBRIDGE_SERVING_PRIORITY_ORDER_H

#include "serving/configuration.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace limpetbridge::serving {

/// Priorities that targets distinguish; 0 is admitted first.
inline constexpr std::uint32_t TargetPriorityLevels = 10;

/// Priorities of one configuration, as targets get them.
class priority_order {
public:
  priority_order() = default;
  explicit priority_order(const configuration &Configuration);

  /// Priority of a request for its target. Pairs keep their order; neighbours
  /// share a number only if there are more pairs than targets distinguish.
  /// \param Workspace not set if the request has no workspace or its workspace
  /// no priority.
  /// \returns \p Route if the configuration has no workspaces.
  [[nodiscard]] auto targetPriority(std::optional<std::uint32_t> Workspace,
                                    std::uint32_t Route) const -> std::uint32_t;

private:
  std::vector<std::uint32_t> WorkspaceLevels; ///< Ascending, without doubles.
  std::vector<std::uint32_t> RouteLevels;     ///< Ascending, without doubles.
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PRIORITY_ORDER_H
