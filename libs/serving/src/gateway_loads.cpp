#include "details/gateway_parts.h"

#include "serving/picker.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// An adapter that is not loaded after this is taken as failed.
constexpr duration AdapterTimeout = milliseconds(1500);
/// Time beyond the load itself: unloading victims, other loads, the store's
/// rate.
constexpr duration LoadSlack = milliseconds(4000);
/// Loads that one request asks for, one after the other.
constexpr std::uint32_t MaxLoadsAsked = 3;
/// Loads of one model that a gateway has under way.
constexpr std::size_t MaxCopiesLoading = 1;
/// Part of the objective that queueing may take before a copy is considered.
constexpr double QueueShare = 0.5;
/// Seconds over which a further copy has to pay.
constexpr double CopyHorizonSeconds = 4;

using pending_load = gateway_state::pending_load;

auto isLoading(const gateway_state &State, const target_name &Target,
               const model_name &Model, const std::string &Adapter) -> bool {
  const auto Found = State.Loads.find(Target);
  return Found != State.Loads.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const pending_load &Each) {
                       return Each.Model == Model && Each.Adapter == Adapter;
                     });
}

/// Targets that load \p Model, as far as this gateway knows.
auto loadingTargets(const gateway_state &State, const model_name &Model)
    -> std::vector<target_name> {
  std::vector<target_name> Targets;
  for (const auto &[Target, Loads] : State.Loads)
    for (const auto &Load : Loads)
      if (Load.Model == Model && Load.Adapter.empty())
        Targets.push_back(Target);
  for (const auto &[Peer, Loads] : State.PeerLoads)
    for (const auto &[Target, Loading] : Loads)
      if (Loading == Model && State.Book.find(Target) != nullptr)
        Targets.push_back(Target);
  return Targets;
}

auto ask(const gateway_step &Step, const target_entry &Entry,
         const model_name &Model, const std::string &Adapter,
         std::vector<model_name> Victims, time_point Deadline,
         const std::string &RequestId) -> void {
  Step.State.Loads[Entry.Target.Name].push_back({Model, Adapter, Deadline});
  std::string Making;
  for (const auto &Victim : Victims)
    Making += (Making.empty() ? "" : ",") + Victim.Text;
  note(Step, log_level::Info, "load_asked",
       {{"request", RequestId},
        {"target", Entry.Target.Name.Text},
        {"target_sequence", std::to_string(Entry.Target.Sequence)},
        {"model", Model.Text},
        {"adapter", Adapter},
        {"victims", Making},
        {"rate", std::to_string(Step.State.Demand.rate(Model, Step.Now))}});
  Step.Effects.push_back(ask_load{Entry.Target.Name, Entry.ControllerAddress,
                                  Model, Adapter, std::move(Victims)});
}

/// Targets with a load of whole models under way.
auto busyTargets(const gateway_state &State)
    -> std::map<target_name, model_name> {
  std::map<target_name, model_name> Busy;
  for (const auto &[Target, Loads] : State.Loads)
    for (const auto &Load : Loads)
      if (Load.Adapter.empty())
        Busy[Target] = Load.Model;
  for (const auto &[Peer, Loads] : State.PeerLoads)
    Busy.insert(Loads.begin(), Loads.end());
  return Busy;
}

auto planFor(const gateway_step &Step, const service_name &Service,
             const model_name &Model) -> std::optional<load_plan> {
  const auto &Services = Step.State.Configuration.Services;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return std::nullopt;
  return planLoad(Step.State.Book, Found->second, Model, Step.State.Demand,
                  busyTargets(Step.State), Step.Now);
}

auto askPlan(const gateway_step &Step, const load_plan &Plan,
             const model_name &Model, const std::string &RequestId) -> void {
  const auto Deadline = Step.Now +
                        milliseconds(static_cast<std::int64_t>(Plan.LoadMs)) +
                        LoadSlack;
  ask(Step, *Step.State.Book.find(Plan.Target), Model, "", Plan.Victims,
      Deadline, RequestId);
}

} // namespace

auto waitForAdapter(const gateway_step &Step, request_state &Request,
                    const target_name &Chosen) -> void {
  const auto &Prompt = Request.Call.Prompt;
  Request.WaitsFor = {Chosen, Prompt.Adapter};
  if (isLoading(Step.State, Chosen, Prompt.Model, Prompt.Adapter))
    return;
  ask(Step, *Step.State.Book.find(Chosen), Prompt.Model, Prompt.Adapter, {},
      Step.Now + AdapterTimeout, Request.Call.Id);
}

auto waitForModel(const gateway_step &Step, request_state &Request,
                  std::int64_t &RetryAfterMs) -> result_code {
  const auto &Model = Request.Call.Prompt.Model;
  const auto Loading = loadingTargets(Step.State, Model);
  if (!Loading.empty()) {
    Request.WaitsFor = {Loading.front(), ""};
    return result_code::NotReady;
  }
  const auto Plan = planFor(Step, Request.Service, Model);
  if (!Plan)
    return result_code::NoTarget;
  if (Request.LoadsAsked >= MaxLoadsAsked)
    return result_code::NoMemory;
  ++Request.LoadsAsked;
  askPlan(Step, *Plan, Model, Request.Call.Id);
  const auto Ready =
      Step.Now + milliseconds(static_cast<std::int64_t>(Plan->LoadMs));
  if (Ready >= Request.Deadline) {
    RetryAfterMs = static_cast<std::int64_t>(Plan->LoadMs);
    return result_code::DeadlineUnreachable;
  }
  Request.WaitsFor = {Plan->Target, ""};
  return result_code::NotReady;
}

auto considerCopy(const gateway_step &Step, const request_state &Request,
                  double ExpectedMs) -> void {
  const double Allowed =
      QueueShare * static_cast<double>(Request.Route.TargetLatencyMs);
  const auto &Model = Request.Call.Prompt.Model;
  if (ExpectedMs <= Allowed ||
      loadingTargets(Step.State, Model).size() >= MaxCopiesLoading)
    return;
  const auto Plan = planFor(Step, Request.Service, Model);
  if (!Plan)
    return;
  const double Gain = (ExpectedMs - Allowed) * CopyHorizonSeconds *
                      Step.State.Demand.rate(Model, Step.Now);
  if (Gain > Plan->CostMs)
    askPlan(Step, *Plan, Model, Request.Call.Id);
}

auto handle(const gateway_step &Step, const load_answered &Event) -> void {
  auto &State = Step.State;
  auto &Loads = State.Loads[Event.Target];
  std::erase_if(Loads, [&](const pending_load &Each) {
    return Each.Model == Event.Model && Each.Adapter == Event.Adapter;
  });
  if (Loads.empty())
    State.Loads.erase(Event.Target);
  auto *Entry = State.Book.find(Event.Target);
  if (Entry != nullptr && Event.Held) {
    auto &Held = Entry->Target.Holds.Models[Event.Model];
    if (!Event.Adapter.empty())
      Held.Adapters.insert(Event.Adapter);
  }
  note(Step, Event.Held ? log_level::Info : log_level::Warning, "load_answered",
       {{"target", Event.Target.Text},
        {"model", Event.Model.Text},
        {"adapter", Event.Adapter},
        {"held", Event.Held ? "true" : "false"}});
  if (Entry != nullptr && !Event.Held)
    Entry->AvoidUntil = Step.Now + AdapterTimeout;
  placeWaiting(Step, Event.Model);
}

auto expireLoads(const gateway_step &Step) -> void {
  std::vector<load_answered> Overdue;
  for (const auto &[Target, Loads] : Step.State.Loads)
    for (const auto &Load : Loads)
      if (Load.Deadline <= Step.Now)
        Overdue.push_back({Target, Load.Model, Load.Adapter, false});
  for (const auto &Each : Overdue)
    handle(Step, Each);
}

} // namespace limpetbridge::serving
