/// \file
/// An engine in memory, for tests of the orders that are given to it.
#ifndef LIMPETBRIDGE_SERVING_TESTS_ENGINE_MODEL_H
#define LIMPETBRIDGE_SERVING_TESTS_ENGINE_MODEL_H

#include "serving/order_plan.h"

namespace limpetbridge::serving {

inline constexpr double MemoryMb = 230;
inline constexpr std::uint32_t AdapterSlots = 3;

inline auto makeEngine() -> engine_spec {
  engine_spec Engine;
  Engine.WeightsMb = MemoryMb;
  Engine.AdapterSlots = AdapterSlots;
  for (const auto *Name : {"a", "b", "c", "d", "e"}) {
    model_spec Model;
    Model.Name = model_name(Name);
    Model.WeightsMb = 70;
    Model.AdapterMb = 5;
    Engine.Models[Model.Name] = Model;
  }
  return Engine;
}

/// Model of an engine that executes one order at a time and refuses orders with
/// another sequence number than its own.
struct engine_model {
  engine_report Report;
  order_step CurrentOrder;

  auto accept(const order_step &Step, std::uint64_t Sequence) -> bool {
    auto &Models = Report.Holdings.Models;
    const auto Held = Models.find(Step.Model);
    const bool IsOfAdapter = !Step.Adapter.empty();
    if (Report.Busy || Sequence != Report.Sequence ||
        (IsOfAdapter && Held == Models.end()))
      return false;
    const bool IsHeld =
        Held != Models.end() &&
        (!IsOfAdapter || Held->second.Adapters.contains(Step.Adapter));
    if (IsHeld ==
        (Step.Kind == step_kind::Load || Step.Kind == step_kind::LoadAdapter))
      return true; // It is as ordered already.
    ++Report.Sequence;
    if (Step.Kind == step_kind::LoadAdapter)
      Models[Step.Model].Adapters.insert(Step.Adapter);
    else if (Step.Kind == step_kind::UnloadAdapter)
      Models[Step.Model].Adapters.erase(Step.Adapter);
    else {
      Report.Busy = true;
      CurrentOrder = Step;
      if (Step.Kind == step_kind::Load)
        Models[Step.Model];
    }
    return true;
  }

  auto finish() -> void {
    if (Report.Busy && CurrentOrder.Kind == step_kind::Unload)
      Report.Holdings.Models.erase(CurrentOrder.Model);
    Report.Busy = false;
  }

  /// Carries out \p Step at once if it is an order.
  auto carryOut(const order_step &Step) -> void {
    if (Step.Kind < step_kind::Load)
      return;
    (void)accept(Step, Report.Sequence);
    finish();
  }

  /// An order that is left unanswered; it may be carried out later.
  auto expect(const order_step &Step, std::uint64_t Sequence) -> void {
    Report.OpenOrders.push_back({Step, Sequence});
  }

  /// Starts anew with nothing loaded.
  auto restart() -> void {
    auto OpenOrders = std::move(Report.OpenOrders);
    Report = {};
    Report.OpenOrders = std::move(OpenOrders);
  }

  [[nodiscard]] auto usedMb(const engine_spec &Engine) const -> double {
    double Used = 0;
    for (const auto &[Model, Loaded] : Report.Holdings.Models)
      Used += Engine.Models.at(Model).WeightsMb +
              Engine.Models.at(Model).AdapterMb *
                  static_cast<double>(Loaded.Adapters.size());
    return Used;
  }

  [[nodiscard]] auto adapters() const -> std::size_t {
    std::size_t Count = 0;
    for (const auto &[Model, Loaded] : Report.Holdings.Models)
      Count += Loaded.Adapters.size();
    return Count;
  }
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TESTS_ENGINE_MODEL_H
