#include "serving/retry_budget.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Share of the budget that may be used. The margin is needed because arrivals
/// at the targets are counted in another window than sends.
constexpr double UsableShare = 0.8;

auto dropBefore(std::deque<time_point> &Times, time_point Start) -> void {
  while (!Times.empty() && Times.front() < Start)
    Times.pop_front();
}

} // namespace

auto retry_budget::acquire(const retry_limits &Limits, std::size_t Gateways,
                           time_point Now) -> bool {
  dropBefore(Requests, Now - Limits.Window);
  dropBefore(Retries, Now - Limits.Window);
  const auto GatewayCount =
      static_cast<double>(std::max<std::size_t>(Gateways, 1));
  const auto Allowed =
      UsableShare * (Limits.Ratio * static_cast<double>(Requests.size()) +
                     Limits.Extra / GatewayCount);
  if (static_cast<double>(Retries.size()) + 1 > Allowed)
    return false;
  Retries.push_back(Now);
  return true;
}

} // namespace limpetbridge::serving
