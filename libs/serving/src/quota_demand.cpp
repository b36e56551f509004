#include "serving/quota_demand.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Demand is averaged over the shorter time, so that shares follow it; the
/// average over the longer time keeps the shares of a few requests per second
/// from moving with each of them.
constexpr double FastSeconds = 2;
constexpr double SlowSeconds = 20;
constexpr double MinDemand = 1e-3; ///< Tokens per second; less is none.

} // namespace

auto quota_demand::average::follow(double Passed, double Seconds) -> void {
  const auto Rest = std::exp(-Passed / Seconds);
  Tokens *= Rest;
  Requests *= Rest;
}

auto quota_demand::average::add(double More, double Count) -> void {
  Tokens = std::max(0.0, Tokens + More);
  Requests = std::max(0.0, Requests + Count);
}

auto quota_demand::average::steady() const -> double {
  return Requests <= 1 ? 0 : Tokens * (1 - 1 / Requests);
}

auto quota_demand::follow(time_point Now) -> void {
  const std::chrono::duration<double> Span =
      std::max(duration::zero(), Now - At);
  Fast.follow(Span.count(), FastSeconds);
  Slow.follow(Span.count(), SlowSeconds);
  At = std::max(At, Now);
}

auto quota_demand::add(double Tokens, time_point Now) -> void {
  follow(Now);
  Fast.add(Tokens, 1);
  Slow.add(Tokens, 1);
}

auto quota_demand::remove(double Tokens) -> void {
  Fast.add(-Tokens, -1);
  Slow.add(-Tokens, -1);
}

auto quota_demand::perSecond(time_point Now) const -> double {
  auto Copy = *this;
  Copy.follow(Now);
  return std::max(Copy.Fast.Tokens / FastSeconds,
                  Copy.Slow.Tokens / SlowSeconds);
}

auto quota_demand::steady(time_point Now) const -> double {
  auto Copy = *this;
  Copy.follow(Now);
  const auto Demand = std::max(Copy.Fast.steady() / FastSeconds,
                               Copy.Slow.steady() / SlowSeconds);
  return Demand < MinDemand ? 0 : Demand;
}

} // namespace limpetbridge::serving
