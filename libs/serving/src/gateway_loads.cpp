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
/// Loads of one model that are under way at once.
constexpr std::size_t MaxCopiesLoading = 3;
/// Seconds over which a further copy has to pay: as long as the demand of its
/// victims is counted.
constexpr double CopyHorizonSeconds = 4;
/// Expected end of a load that another gateway has asked for.
constexpr duration PeerLoadTime = milliseconds(1500);
/// Least time until a repeat of a request whose model is being loaded, ms.
constexpr std::int64_t LeastLoadRetryMs = 200;
/// Time in which no other load is asked for where one has failed.
constexpr duration FailedLoadPause = milliseconds(1500);
/// Expected end of an adapter's load.
constexpr duration AdapterTime = milliseconds(20);

using pending_load = gateway_state::pending_load;

auto isLoading(const gateway_state &State, const target_name &Target,
               const model_name &Model, const std::string &Adapter) -> bool {
  const auto Found = State.PendingLoads.find(Target);
  return Found != State.PendingLoads.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const pending_load &Each) {
                       return Each.Model == Model && Each.Adapter == Adapter;
                     });
}

/// Targets that load \p Model, as far as this gateway knows.
auto loadingTargets(const gateway_state &State, const model_name &Model)
    -> std::vector<target_name> {
  std::vector<target_name> Targets;
  for (const auto &[Target, Loads] : State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Model == Model && Load.Adapter.empty())
        Targets.push_back(Target);
  for (const auto &[Peer, Loads] : State.PeerPendingLoads)
    for (const auto &[Target, Change] : Loads)
      if (Change.Model == Model && State.Book.find(Target) != nullptr)
        Targets.push_back(Target);
  return Targets;
}

auto requestLoad(const gateway_step &Step, const target_entry &Entry,
                 const model_name &Model, const std::string &Adapter,
                 std::vector<model_name> Victims, time_point Ready,
                 time_point Deadline, const std::string &RequestId) -> void {
  Step.State.PendingLoads[Entry.Target.Name].push_back(
      {Model, Adapter, Victims, Ready, Deadline});
  std::string Making;
  for (const auto &Victim : Victims)
    Making += (Making.empty() ? "" : ",") + Victim.Text;
  addLogEntry(
      Step, log_level::Info, "load_asked",
      {{"request", RequestId},
       {"target", Entry.Target.Name.Text},
       {"target_sequence", std::to_string(Entry.Target.Sequence)},
       {"model", Model.Text},
       {"adapter", Adapter},
       {"victims", Making},
       {"work_ms_per_s",
        std::to_string(static_cast<int>(
            Step.State.Demand.rate(Model, Step.Now).WorkMsPerSecond))}});
  request_load Effect{Entry.Target.Name, Entry.ControllerAddress, Model,
                      Adapter,           std::move(Victims),      {}};
  if (!Adapter.empty())
    Effect.AdapterUse = Entry.AdapterUse;
  Step.Effects.push_back(std::move(Effect));
  if (!Adapter.empty())
    return;
  // Nobody sends to what is about to be unloaded, from this moment on.
  markModelChanges(Step.State);
  sendDigest(Step);
}

auto planModelLoad(const gateway_step &Step, const service_name &Service,
                   const model_name &Model) -> std::optional<load_plan> {
  const auto &Services = Step.State.Configuration.Services;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return std::nullopt;
  return planLoad(Step.State.Book, Found->second, Model, Step.State.Demand,
                  Step.Now);
}

auto requestPlannedLoad(const gateway_step &Step, const load_plan &Plan,
                        const model_name &Model, const std::string &RequestId)
    -> void {
  const auto Ready =
      Step.Now + milliseconds(static_cast<std::int64_t>(Plan.LoadMs));
  requestLoad(Step, *Step.State.Book.find(Plan.Target), Model, "", Plan.Victims,
              Ready, Ready + LoadSlack, RequestId);
}

} // namespace

auto expectedLoadEnd(const gateway_step &Step, const model_name &Model)
    -> time_point {
  auto Ready = NoDeadline;
  for (const auto &[Target, Loads] : Step.State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Model == Model && Load.Adapter.empty())
        Ready = std::min(Ready, Load.ExpectedEnd);
  return Ready == NoDeadline ? Step.Now + PeerLoadTime : Ready;
}

auto markModelChanges(gateway_state &State) -> void {
  for (auto &[Name, Entry] : State.Book.all())
    Entry.Change.reset();
  const auto Mark = [&](const target_name &Target, const model_change &Change) {
    auto *Entry = State.Book.find(Target);
    if (Entry == nullptr)
      return;
    if (!Entry->Change)
      Entry->Change = Change;
    else // Two loads wait for the target, one after the other.
      Entry->Change->Victims.insert(Entry->Change->Victims.end(),
                                    Change.Victims.begin(),
                                    Change.Victims.end());
  };
  for (const auto &[Target, Loads] : State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Adapter.empty())
        Mark(Target, {Load.Model, Load.Victims});
  for (const auto &[Peer, Loads] : State.PeerPendingLoads)
    for (const auto &[Target, Change] : Loads)
      Mark(Target, Change);
}

auto waitForAdapter(const gateway_step &Step, request_state &Request,
                    const target_name &Chosen) -> void {
  const auto &Prompt = Request.Call.Prompt;
  Request.AwaitedLoad = {Chosen, Prompt.Adapter};
  if (isLoading(Step.State, Chosen, Prompt.Model, Prompt.Adapter))
    return;
  requestLoad(Step, *Step.State.Book.find(Chosen), Prompt.Model, Prompt.Adapter,
              {}, Step.Now + AdapterTime, Step.Now + AdapterTimeout,
              Request.Call.Id);
}

auto waitForModel(const gateway_step &Step, request_state &Request,
                  std::int64_t &RetryAfterMs) -> result_code {
  const auto &Model = Request.Call.Prompt.Model;
  auto Loading = loadingTargets(Step.State, Model);
  if (Loading.empty()) {
    const auto Plan = planModelLoad(Step, Request.Service, Model);
    if (!Plan)
      return result_code::NoTarget;
    if (Request.LoadRequests >= MaxLoadsAsked)
      return result_code::NoMemory;
    ++Request.LoadRequests;
    requestPlannedLoad(Step, *Plan, Model, Request.Call.Id);
    Loading.push_back(Plan->Target);
  }
  const auto Ready = expectedLoadEnd(Step, Model);
  const auto Read = milliseconds(static_cast<std::int64_t>(
      prefillMsPerToken(Step.State, Model) * Request.Call.Prompt.InputTokens));
  if (Ready + Read >= Request.FirstOutputDeadline) {
    RetryAfterMs = std::max(LeastLoadRetryMs, toMilliseconds(Ready - Step.Now));
    return result_code::DeadlineUnreachable;
  }
  Request.AwaitedLoad = {Loading.front(), ""};
  return result_code::NotReady;
}

namespace {

/// True if this gateway is the one that plans copies of \p Model: the first by
/// rendezvous hash among those that are heard.
auto isCopyPlanner(const gateway_step &Step, const model_name &Model) -> bool {
  const auto &State = Step.State;
  const auto Own = stableHash(State.Options.Self.Text, stableHash(Model.Text));
  for (const auto &[Peer, Heard] : State.PeerDigestTimes)
    if (stableHash(Peer.Text, stableHash(Model.Text)) > Own)
      return false;
  return true;
}

auto planCopiesOfModel(const gateway_step &Step, const service_spec &Service,
                       const model_name &Model) -> void {
  auto &State = Step.State;
  const auto Wanted = wantedCopies(State.Demand.rate(Model, Step.Now));
  const auto Loading = loadingTargets(State, Model).size();
  const auto Have = State.Book.holders(Model) + Loading;
  if (Have >= Wanted || Loading >= MaxCopiesLoading)
    return;
  const auto Plan = planModelLoad(Step, Service.Name, Model);
  if (!Plan)
    return;
  // The copies that there are work beyond their share until it is loaded.
  const double Missing =
      static_cast<double>(Wanted - Have) / static_cast<double>(Wanted);
  const double Gain = Missing * CopyHorizonSeconds *
                      State.Demand.rate(Model, Step.Now).WorkMsPerSecond;
  if (Gain > Plan->CostMs)
    requestPlannedLoad(Step, *Plan, Model, "");
}

} // namespace

auto planCopies(const gateway_step &Step) -> void {
  const auto Models = Step.State.Demand.models();
  for (const auto &[Name, Service] : Step.State.Configuration.Services)
    for (const auto &Model : Models)
      if (Service.Engine.Models.contains(Model) && isCopyPlanner(Step, Model))
        planCopiesOfModel(Step, Service, Model);
}

auto handle(const gateway_step &Step, const load_answered &Event) -> void {
  auto &State = Step.State;
  auto &Loads = State.PendingLoads[Event.Target];
  std::erase_if(Loads, [&](const pending_load &Each) {
    return Each.Model == Event.Model && Each.Adapter == Event.Adapter;
  });
  if (Loads.empty())
    State.PendingLoads.erase(Event.Target);
  markModelChanges(State);
  auto *Entry = State.Book.find(Event.Target);
  if (Entry != nullptr && Event.Loaded) {
    auto &Held = Entry->Target.Holds.Models[Event.Model];
    if (!Event.Adapter.empty())
      Held.Adapters.insert(Event.Adapter);
  }
  addLogEntry(Step, Event.Loaded ? log_level::Info : log_level::Warning,
              "load_answered",
              {{"target", Event.Target.Text},
               {"model", Event.Model.Text},
               {"adapter", Event.Adapter},
               {"held", Event.Loaded ? "true" : "false"}});
  if (Entry != nullptr && !Event.Loaded && Event.Adapter.empty())
    Entry->NoLoadUntil = Step.Now + FailedLoadPause;
  if (Entry != nullptr && !Event.Loaded && !Event.Adapter.empty())
    Entry->AvoidUntil = Step.Now + AdapterTimeout;
  dispatchWaiting(Step, Event.Model);
}

auto expireLoads(const gateway_step &Step) -> void {
  std::vector<load_answered> Overdue;
  for (const auto &[Target, Loads] : Step.State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Deadline <= Step.Now)
        Overdue.push_back({Target, Load.Model, Load.Adapter, false});
  for (const auto &Each : Overdue)
    handle(Step, Each);
}

} // namespace limpetbridge::serving
