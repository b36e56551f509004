/// \file
/// Chooses the target that loads a model and the models that it evicts.
#ifndef LIMPETBRIDGE_SERVING_PLACEMENT_H
#define LIMPETBRIDGE_SERVING_PLACEMENT_H

#include "serving/gateway_events.h"
#include "serving/target_book.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace limpetbridge::serving {

/// Demand for models at all gateways, as moving averages.
class demand {
public:
  /// Records a request.
  /// \param WorkMs expected prefill time of its prompt.
  auto recordRequest(const model_name &Model, double WorkMs, time_point Now)
      -> void;
  /// Replaces the demand at another gateway by that of its latest digest.
  auto setPeerRates(const instance_name &Peer, const model_rates &Rates)
      -> void;
  auto removePeer(const instance_name &Peer) -> void;
  /// Demand at all gateways.
  [[nodiscard]] auto rate(const model_name &Model, time_point Now) const
      -> model_rate;
  /// Demand at this gateway.
  [[nodiscard]] auto ownRates(time_point Now) const -> model_rates;
  /// Models that this gateway has ever received requests for or that another
  /// gateway reports demand for.
  [[nodiscard]] auto models() const -> std::set<model_name>;

private:
  struct counter {
    double Requests = 0; ///< Exponentially decayed count.
    double WorkMs = 0;   ///< Exponentially decayed sum.
    time_point UpdatedAt;
  };
  [[nodiscard]] static auto rateOf(const counter &Counter, time_point Now)
      -> model_rate;

  /// Sum of the rates that the other gateways report for one model.
  struct peer_total {
    model_rate Sum;
    std::size_t Peers = 0;
  };
  auto subtractRates(const model_rates &Rates) -> void;

  std::map<model_name, counter> OwnCounters;
  std::map<instance_name, model_rates> PeerRates;
  std::map<model_name, peer_total> PeerTotals;
};

/// Number of copies of a model that its demand requires.
[[nodiscard]] auto desiredCopies(const model_rate &Rate) -> std::size_t;

/// A planned load of a model.
struct load_plan {
  target_name Target;
  std::vector<model_name> Victims; ///< Unloaded first, in this order.
  double LoadMs = 0; ///< Expected load time without waiting for other orders.
  double CostMs = 0; ///< LoadMs plus the expected delay of other requests.
};

/// Plans the load of \p Model that costs least.
/// \returns none if no target can load the model.
[[nodiscard]] auto planLoad(const target_book &Book,
                            const service_spec &Service,
                            const model_name &Model, const demand &Demand,
                            time_point Now) -> std::optional<load_plan>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PLACEMENT_H
