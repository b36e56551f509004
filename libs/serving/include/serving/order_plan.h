/// \file
/// Plans the next order to an engine that has to load a model or an adapter.
/// The plan depends only on the engine's latest report.
#ifndef LIMPETBRIDGE_SERVING_ORDER_PLAN_H
#define LIMPETBRIDGE_SERVING_ORDER_PLAN_H

#include "base/time.h"
#include "serving/configuration.h"
#include "serving/target.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetbridge::serving {

/// Kind of the next step of a job.
enum class step_kind : std::uint8_t {
  Held,          ///< Loaded; the job is done.
  Impossible,    ///< This engine cannot load it.
  Wait,          ///< The engine cannot take an order now.
  Load,          ///< Load the model.
  Unload,        ///< Unload a victim.
  LoadAdapter,   ///< Load the adapter.
  UnloadAdapter, ///< Unload another adapter.
};

/// One step of a job; an order names the model and the adapter.
struct order_step {
  step_kind Kind = step_kind::Wait;
  model_name Model;
  std::string Adapter;
  bool FromStore = false; ///< The weights come from the weight store.
  auto operator==(const order_step &) const -> bool = default;
};

/// An order that got no answer. The target carries it out when its sequence is
/// \c Sequence, also in another incarnation, whose sequence begins anew.
struct open_order {
  order_step Step;
  std::uint64_t Sequence = 0;
  auto operator==(const open_order &) const -> bool = default;
};

/// Report of an engine about its own state.
struct engine_report {
  std::uint64_t Incarnation = 0; ///< Start time, Unix ms.
  std::uint64_t Sequence = 0;    ///< Orders accepted by this incarnation.
  bool Leaves = false; ///< The target takes no new work until it ends.
  bool Busy = false;   ///< A model is being loaded or unloaded.
  holdings Holdings;
  std::set<adapter_key> PendingAdapters; ///< Being fetched from the store.
  /// Unload ordered while requests used them; they stay loaded until those
  /// requests end.
  std::set<adapter_key> UnloadingAdapters;
  /// Orders of this controller without an answer. An earlier incarnation may
  /// have been meant.
  std::vector<open_order> OpenOrders;
  std::uint32_t Queued = 0;
  std::uint32_t Active = 0;
};

/// The model or adapter that an engine has to load.
struct load_job {
  model_name Model;
  std::string Adapter;             ///< Empty for the model itself.
  std::vector<model_name> Victims; ///< Models that may be evicted.
};

[[nodiscard]] auto nameOf(step_kind Kind) -> std::string_view;
/// True if a step of this kind is an order to the engine.
[[nodiscard]] auto isOrder(step_kind Kind) -> bool;

/// Plans the next step of \p Job. No step brings the target to a state in which
/// an open order would load more than fits; such a step is Impossible.
/// \param LastUsed last use of adapters; the least recently used is unloaded.
[[nodiscard]] auto nextStep(const engine_spec &Engine,
                            const engine_report &Report, const load_job &Job,
                            const std::map<adapter_key, time_point> &LastUsed)
    -> order_step;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_ORDER_PLAN_H
