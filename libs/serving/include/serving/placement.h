/// \file
/// Choice of the target that loads a model, and of what makes way for it.
#ifndef LIMPETBRIDGE_SERVING_PLACEMENT_H
#define LIMPETBRIDGE_SERVING_PLACEMENT_H

#include "serving/target_book.h"

#include <map>
#include <optional>
#include <vector>

namespace limpetbridge::serving {

/// Demand for models, requests a second, as a moving average.
class demand {
public:
  auto note(const model_name &Model, time_point Now) -> void;
  /// Demand of another gateway, as it told at its last digest.
  auto setPeer(const instance_name &Peer,
               const std::map<model_name, double> &Rates) -> void;
  auto removePeer(const instance_name &Peer) -> void;
  /// Requests a second at this gateway.
  [[nodiscard]] auto ownRate(const model_name &Model, time_point Now) const
      -> double;
  /// Requests a second at all gateways.
  [[nodiscard]] auto rate(const model_name &Model, time_point Now) const
      -> double;
  [[nodiscard]] auto ownRates(time_point Now) const
      -> std::map<model_name, double>;

private:
  struct counter {
    double Count = 0; ///< Decayed count of requests.
    time_point Since;
  };
  std::map<model_name, counter> Own;
  std::map<instance_name, std::map<model_name, double>> Peers;
};

/// A load that was chosen.
struct load_plan {
  target_name Target;
  std::vector<model_name> Victims; ///< Unloaded first, in this order.
  double LoadMs = 0; ///< Expected, without waiting for other orders.
  double CostMs = 0; ///< With what the victims' callers will wait, ms.
};

/// \param Busy targets at which this gateway knows of a load under way.
/// \returns none when no target can take the model.
[[nodiscard]] auto planLoad(const target_book &Book,
                            const service_spec &Service,
                            const model_name &Model, const demand &Demand,
                            const std::map<target_name, model_name> &Busy,
                            time_point Now) -> std::optional<load_plan>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PLACEMENT_H
