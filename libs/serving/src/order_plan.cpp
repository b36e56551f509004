#include "serving/order_plan.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Adapters that an engine fetches from the store at the same time.
constexpr std::size_t MaxPendingAdapters = 4;

auto weightsMb(const engine_spec &Engine, const model_name &Model) -> double {
  const auto Found = Engine.Models.find(Model);
  return Found == Engine.Models.end() ? 0 : Found->second.WeightsMb;
}

auto adapterMb(const engine_spec &Engine, const model_name &Model) -> double {
  const auto Found = Engine.Models.find(Model);
  return Found == Engine.Models.end() ? 0 : Found->second.AdapterMb;
}

/// Free accelerator memory, MB.
auto freeMb(const engine_spec &Engine, const engine_report &Report) -> double {
  double Free = Engine.WeightsMb;
  for (const auto &[Model, Loaded] : Report.Holdings.Models)
    Free -=
        weightsMb(Engine, Model) +
        adapterMb(Engine, Model) * static_cast<double>(Loaded.Adapters.size());
  for (const auto &[Model, Adapter] : Report.PendingAdapters)
    Free -= adapterMb(Engine, Model);
  return Free;
}

auto adapterCount(const engine_report &Report) -> std::size_t {
  std::size_t Count = Report.PendingAdapters.size();
  for (const auto &[Model, Loaded] : Report.Holdings.Models)
    Count += Loaded.Adapters.size();
  return Count;
}

/// The least recently used loaded adapter that is not being unloaded; an empty
/// name if there is none.
auto leastRecentlyUsedAdapter(const engine_report &Report,
                              const std::map<adapter_key, time_point> &LastUsed)
    -> adapter_key {
  adapter_key Oldest;
  time_point OldestUsedAt = NoDeadline;
  for (const auto &[Model, Loaded] : Report.Holdings.Models)
    for (const auto &Adapter : Loaded.Adapters) {
      const auto Found = LastUsed.find({Model, Adapter});
      const auto UsedAt =
          Found == LastUsed.end() ? time_point() : Found->second;
      if (!Report.UnloadingAdapters.contains({Model, Adapter}) &&
          UsedAt < OldestUsedAt) {
        Oldest = {Model, Adapter};
        OldestUsedAt = UsedAt;
      }
    }
  return Oldest;
}

auto planAdapter(const engine_spec &Engine, const engine_report &Report,
                 const load_job &Job,
                 const std::map<adapter_key, time_point> &LastUsed)
    -> order_step {
  const auto Loaded = Report.Holdings.Models.find(Job.Model);
  if (Loaded == Report.Holdings.Models.end())
    return {step_kind::Impossible, Job.Model, Job.Adapter};
  const adapter_key Key(Job.Model, Job.Adapter);
  if (Report.UnloadingAdapters.contains(Key))
    return {step_kind::Wait, Job.Model, Job.Adapter};
  if (Loaded->second.Adapters.contains(Job.Adapter))
    return {step_kind::Held, Job.Model, Job.Adapter};
  // An engine accepts no order while it executes another one.
  if (Report.Busy || Report.PendingAdapters.contains(Key) ||
      Report.PendingAdapters.size() >= MaxPendingAdapters)
    return {step_kind::Wait, Job.Model, Job.Adapter};
  if (adapterCount(Report) < Engine.AdapterSlots &&
      freeMb(Engine, Report) >= adapterMb(Engine, Job.Model))
    return {step_kind::LoadAdapter, Job.Model, Job.Adapter};
  // An unload in progress is about to free a slot.
  if (!Report.UnloadingAdapters.empty())
    return {step_kind::Wait, Job.Model, Job.Adapter};
  const auto [Model, Adapter] = leastRecentlyUsedAdapter(Report, LastUsed);
  if (Adapter.empty())
    return {step_kind::Impossible, Job.Model, Job.Adapter};
  return {step_kind::UnloadAdapter, Model, Adapter};
}

auto planModel(const engine_spec &Engine, const engine_report &Report,
               const load_job &Job) -> order_step {
  if (Report.Holdings.Models.contains(Job.Model))
    return {step_kind::Held, Job.Model, {}};
  if (Report.Busy)
    return {step_kind::Wait, Job.Model, {}};
  const auto Spec = Engine.Models.find(Job.Model);
  if (Spec == Engine.Models.end())
    return {step_kind::Impossible, Job.Model, {}};
  if (freeMb(Engine, Report) >= Spec->second.WeightsMb) {
    const bool FromStore = !Report.Holdings.InMemory.contains(Job.Model) &&
                           !Report.Holdings.OnDisk.contains(Job.Model);
    return {step_kind::Load, Job.Model, {}, FromStore};
  }
  const auto Victim = std::find_if(
      Job.Victims.begin(), Job.Victims.end(), [&](const model_name &Model) {
        return Report.Holdings.Models.contains(Model);
      });
  if (Victim == Job.Victims.end())
    return {step_kind::Impossible, Job.Model, {}};
  return {step_kind::Unload, *Victim, {}};
}

/// State of the engine once \p Step has been carried out.
auto reportAfter(engine_report Report, const order_step &Step)
    -> engine_report {
  ++Report.Sequence;
  auto &Models = Report.Holdings.Models;
  const adapter_key Key(Step.Model, Step.Adapter);
  if (Step.Kind == step_kind::Load) {
    Models[Step.Model];
  } else if (Step.Kind == step_kind::Unload) {
    Models.erase(Step.Model);
  } else if (Step.Kind == step_kind::LoadAdapter) {
    Models[Step.Model].Adapters.insert(Step.Adapter);
    Report.UnloadingAdapters.erase(Key);
  } else {
    // It stays until the requests that use it end.
    Report.UnloadingAdapters.insert(Key);
  }
  return Report;
}

auto hasAdapter(const engine_report &Report, const order_step &Step) -> bool {
  const auto Loaded = Report.Holdings.Models.find(Step.Model);
  return Loaded != Report.Holdings.Models.end() &&
         Loaded->second.Adapters.contains(Step.Adapter);
}

/// True if the order \p Step would change the state of the engine.
auto hasEffect(const engine_report &Report, const order_step &Step) -> bool {
  const bool HasModel = Report.Holdings.Models.contains(Step.Model);
  if (Step.Kind == step_kind::Load || Step.Kind == step_kind::Unload)
    return HasModel == (Step.Kind == step_kind::Unload);
  if (Step.Kind == step_kind::UnloadAdapter)
    return hasAdapter(Report, Step);
  return HasModel &&
         (!hasAdapter(Report, Step) ||
          Report.UnloadingAdapters.contains({Step.Model, Step.Adapter}));
}

auto fits(const engine_spec &Engine, const engine_report &Report,
          const order_step &Step) -> bool {
  if (Step.Kind == step_kind::Load)
    return freeMb(Engine, Report) >= weightsMb(Engine, Step.Model);
  return Step.Kind != step_kind::LoadAdapter || hasAdapter(Report, Step) ||
         (adapterCount(Report) < Engine.AdapterSlots &&
          freeMb(Engine, Report) >= adapterMb(Engine, Step.Model));
}

/// True if the engine, in the state of \p Report, may carry out open orders,
/// one after the other, that load more than fits.
auto mayBeOverloaded(const engine_spec &Engine, const engine_report &Report)
    -> bool {
  return std::any_of(
      Report.OpenOrders.begin(), Report.OpenOrders.end(),
      [&](const open_order &Open) {
        return Open.Sequence == Report.Sequence &&
               hasEffect(Report, Open.Step) &&
               (!fits(Engine, Report, Open.Step) ||
                mayBeOverloaded(Engine, reportAfter(Report, Open.Step)));
      });
}

/// True if \p Step may lead to an overload: here, by open orders that follow
/// it, or after a restart, if it gets no answer and is carried out then.
auto isUnsafe(const engine_spec &Engine, const engine_report &Report,
              const order_step &Step) -> bool {
  engine_report Restarted;
  Restarted.OpenOrders = Report.OpenOrders;
  Restarted.OpenOrders.push_back({Step, Report.Sequence});
  return mayBeOverloaded(Engine, reportAfter(Report, Step)) ||
         mayBeOverloaded(Engine, Restarted);
}

} // namespace

auto nameOf(step_kind Kind) -> std::string_view {
  switch (Kind) {
  case step_kind::Held:
    return "held";
  case step_kind::Impossible:
    return "impossible";
  case step_kind::Wait:
    return "wait";
  case step_kind::Load:
    return "load";
  case step_kind::Unload:
    return "unload";
  case step_kind::LoadAdapter:
    return "load_adapter";
  case step_kind::UnloadAdapter:
    return "unload_adapter";
  }
  return "wait";
}

auto isOrder(step_kind Kind) -> bool {
  return Kind != step_kind::Held && Kind != step_kind::Impossible &&
         Kind != step_kind::Wait;
}

auto nextStep(const engine_spec &Engine, const engine_report &Report,
              const load_job &Job,
              const std::map<adapter_key, time_point> &LastUsed) -> order_step {
  auto Step = Job.Adapter.empty() ? planModel(Engine, Report, Job)
                                  : planAdapter(Engine, Report, Job, LastUsed);
  if (isOrder(Step.Kind) && isUnsafe(Engine, Report, Step))
    return {step_kind::Impossible, Job.Model, Job.Adapter};
  return Step;
}

} // namespace limpetbridge::serving
