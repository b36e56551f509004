/// \file
/// Retry budget of one service at one gateway over a sliding window: the
/// gateway's share of the budget of the whole deployment.
#ifndef LIMPETBRIDGE_SERVING_RETRY_BUDGET_H
#define LIMPETBRIDGE_SERVING_RETRY_BUDGET_H

#include "base/time.h"

#include <cstddef>
#include <deque>

namespace limpetbridge::serving {

/// Limits of the retry budget, over all gateways.
struct retry_limits {
  double Ratio = 0.2; ///< Retries per request.
  double Extra = 0;   ///< Retries beyond the ratio in one window.
  duration Window = seconds(10);
};

/// Counts requests and retries of one service at one gateway.
class retry_budget {
public:
  auto recordRequest(time_point Now) -> void { Requests.push_back(Now); }

  /// Takes one retry from the budget.
  /// \param Gateways number of gateways that share Extra; 0 counts as 1.
  /// \returns false if the budget is exhausted.
  [[nodiscard]] auto acquire(const retry_limits &Limits, std::size_t Gateways,
                             time_point Now) -> bool;

private:
  std::deque<time_point> Requests;
  std::deque<time_point> Retries;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_RETRY_BUDGET_H
