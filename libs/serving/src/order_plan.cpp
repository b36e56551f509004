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

auto nextStep(const engine_spec &Engine, const engine_report &Report,
              const load_job &Job,
              const std::map<adapter_key, time_point> &LastUsed) -> order_step {
  return Job.Adapter.empty() ? planModel(Engine, Report, Job)
                             : planAdapter(Engine, Report, Job, LastUsed);
}

} // namespace limpetbridge::serving
