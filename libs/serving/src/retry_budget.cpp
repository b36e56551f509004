#include "serving/retry_budget.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Part of the budget that is used: arrivals at the targets are counted in
/// another window than sends are.
constexpr double UsedShare = 0.8;

auto dropBefore(std::deque<time_point> &Times, time_point Start) -> void {
  while (!Times.empty() && Times.front() < Start)
    Times.pop_front();
}

} // namespace

auto retry_budget::acquire(const retry_limits &Limits, std::size_t Gateways,
                           time_point Now) -> bool {
  dropBefore(Requests, Now - Limits.Window);
  dropBefore(Repeats, Now - Limits.Window);
  const auto Shared = static_cast<double>(std::max<std::size_t>(Gateways, 1));
  const auto Allowed =
      UsedShare * (Limits.Ratio * static_cast<double>(Requests.size()) +
                   Limits.Extra / Shared);
  if (static_cast<double>(Repeats.size()) + 1 > Allowed)
    return false;
  Repeats.push_back(Now);
  return true;
}

} // namespace limpetbridge::serving
