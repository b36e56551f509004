/// \file
/// Choice of the target that loads a model, and of what makes way for it.
#ifndef LIMPETBRIDGE_SERVING_PLACEMENT_H
#define LIMPETBRIDGE_SERVING_PLACEMENT_H

#include "serving/gateway_events.h"
#include "serving/target_book.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace limpetbridge::serving {

/// Demand for models, as a moving average.
class demand {
public:
  /// A request came whose prompt takes \p WorkMs to read.
  auto recordRequest(const model_name &Model, double WorkMs, time_point Now)
      -> void;
  /// Demand of another gateway, as it told at its last digest.
  auto setPeerRates(const instance_name &Peer, const model_rates &Rates)
      -> void;
  auto removePeer(const instance_name &Peer) -> void;
  /// Demand at all gateways.
  [[nodiscard]] auto rate(const model_name &Model, time_point Now) const
      -> model_rate;
  /// Demand at this gateway.
  [[nodiscard]] auto ownRates(time_point Now) const -> model_rates;
  /// Models that any gateway was asked for of late.
  [[nodiscard]] auto models() const -> std::set<model_name>;

private:
  struct counter {
    double Requests = 0; ///< Decayed count.
    double WorkMs = 0;   ///< Decayed sum.
    time_point Since;
  };
  [[nodiscard]] static auto rateOf(const counter &Counter, time_point Now)
      -> model_rate;

  std::map<model_name, counter> Own;
  std::map<instance_name, model_rates> Peers;
};

/// Copies of a model that its demand calls for.
[[nodiscard]] auto desiredCopies(const model_rate &Rate) -> std::size_t;

/// A load that was chosen.
struct load_plan {
  target_name Target;
  std::vector<model_name> Victims; ///< Unloaded first, in this order.
  double LoadMs = 0; ///< Expected, without waiting for other orders.
  double CostMs = 0; ///< With what the victims' callers will wait, ms.
};

/// \returns none when no target can take the model.
[[nodiscard]] auto planLoad(const target_book &Book,
                            const service_spec &Service,
                            const model_name &Model, const demand &Demand,
                            time_point Now) -> std::optional<load_plan>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PLACEMENT_H
