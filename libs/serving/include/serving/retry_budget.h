/// \file
/// Budget of repeated sends to one service over a sliding window, as the share
/// of one gateway in the budget of the whole deployment.
#ifndef LIMPETBRIDGE_SERVING_RETRY_BUDGET_H
#define LIMPETBRIDGE_SERVING_RETRY_BUDGET_H

#include "base/time.h"

#include <cstddef>
#include <deque>

namespace limpetbridge::serving {

/// Limits of the budget, for all gateways together.
struct retry_limits {
  double Ratio = 0.2; ///< Repeats per request.
  double Extra = 0;   ///< Repeats beyond the ratio in one window.
  duration Window = seconds(10);
};

/// Counts requests and repeats of one service at one gateway.
class retry_budget {
public:
  auto recordRequest(time_point Now) -> void { Requests.push_back(Now); }

  /// Takes one repeat from the budget.
  /// \param Gateways number of gateways that share Extra, at least 1.
  /// \returns false when none is left.
  [[nodiscard]] auto acquire(const retry_limits &Limits, std::size_t Gateways,
                             time_point Now) -> bool;

private:
  std::deque<time_point> Requests;
  std::deque<time_point> Repeats;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_RETRY_BUDGET_H
