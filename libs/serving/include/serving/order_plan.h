/// \file
/// Orders to one engine: what to order next so that it comes to hold a model
/// or an adapter, decided from a fresh report alone.
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

/// What an engine reports about itself.
struct engine_report {
  std::uint64_t Incarnation = 0; ///< Start of its life, Unix ms.
  std::uint64_t Sequence = 0;    ///< Orders accepted in this life.
  bool Busy = false;             ///< A model is being loaded or unloaded.
  holdings Holds;
  std::set<adapter_key> PendingAdapters; ///< On their way from the store.
  /// Ordered away while requests used them; they stay until those have ended.
  std::set<adapter_key> LeavingAdapters;
  std::uint32_t Queued = 0;
  std::uint32_t Active = 0;
};

/// What is to be held in the end.
struct load_job {
  model_name Model;
  std::string Adapter;             ///< Empty for the model itself.
  std::vector<model_name> Victims; ///< Models that may make way.
};

/// What to do next.
enum class step_kind : std::uint8_t {
  Held,          ///< The job is done.
  Impossible,    ///< The job cannot be done here.
  Wait,          ///< An order is in progress.
  Load,          ///< Order the model.
  Unload,        ///< Order a victim away.
  LoadAdapter,   ///< Order the adapter.
  UnloadAdapter, ///< Order another adapter away.
};

/// One step with what it is about.
struct order_step {
  step_kind Kind = step_kind::Wait;
  model_name Model;
  std::string Adapter;
  bool FromStore = false; ///< A load that the weight store serves.
};

[[nodiscard]] auto nameOf(step_kind Kind) -> std::string_view;

/// \param LastUsed when adapters were last used; the oldest makes way.
[[nodiscard]] auto nextStep(const engine_spec &Engine,
                            const engine_report &Report, const load_job &Job,
                            const std::map<adapter_key, time_point> &LastUsed)
    -> order_step;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_ORDER_PLAN_H
