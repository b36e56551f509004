/// \file
/// Demand for one workspace's quota at this gateway, as moving averages.
#ifndef LIMPETBRIDGE_SERVING_QUOTA_DEMAND_H
#define LIMPETBRIDGE_SERVING_QUOTA_DEMAND_H

#include "base/time.h"

namespace limpetbridge::serving {

/// Tokens that are asked for, admitted or not.
class quota_demand {
public:
  auto add(double Tokens, time_point Now) -> void;
  /// Takes back a request that was added and is going to be added again.
  auto remove(double Tokens) -> void;

  /// Tokens per second.
  [[nodiscard]] auto perSecond(time_point Now) const -> double;
  /// The same without what single requests may have added by chance: the demand
  /// that is likely to come here again.
  [[nodiscard]] auto steady(time_point Now) const -> double;

private:
  struct average {
    double Tokens = 0;
    double Requests = 0;

    auto follow(double Passed, double Seconds) -> void;
    auto add(double More, double Count) -> void;
    [[nodiscard]] auto steady() const -> double;
  };
  auto follow(time_point Now) -> void;

  average Fast;
  average Slow;
  time_point At;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_QUOTA_DEMAND_H
