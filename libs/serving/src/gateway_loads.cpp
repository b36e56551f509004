#include "details/gateway_parts.h"

#include "serving/picker.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Time after which the load of an adapter counts as failed; the target is
/// avoided as long after a failed load.
constexpr duration AdapterLoadTimeout = milliseconds(1500);
/// Time beyond the expected load time after which a load is given up. It
/// covers unloading the victims, other loads, and the weight store's rate.
constexpr duration LoadTimeoutMargin = milliseconds(4000);
/// Limit of the loads that one request may cause, one after the other.
constexpr std::uint32_t MaxLoadRequests = 3;
/// Limit of the loads of one model that are in progress at once.
constexpr std::size_t MaxCopiesLoading = 3;
/// Time in which a further copy must be worth its cost, seconds; the cost of
/// its victims is computed over the same time.
constexpr double CopyHorizonSeconds = 4;
/// Assumed remaining time of a load that another gateway requested.
constexpr duration AssumedPeerLoadTime = milliseconds(1500);
/// Lower bound of the retry-after while a model is being loaded, ms.
constexpr std::int64_t MinLoadRetryAfterMs = 200;
/// Time for which no load is requested at a target after a failed one.
constexpr duration FailedLoadBackoff = milliseconds(1500);
/// Expected time to load an adapter.
constexpr duration ExpectedAdapterLoadTime = milliseconds(20);

/// Interval of the checks for models without a copy.
constexpr duration RestoreInterval = milliseconds(500);
/// Time without a copy after which a model is loaded again: a target that
/// restarts, or a report that is late, may still bring one.
constexpr duration RestoreDelay = milliseconds(1500);

using pending_load = gateway_state::pending_load;

auto isLoading(const gateway_state &State, const target_name &Target,
               const model_name &Model, const std::string &Adapter) -> bool {
  const auto Found = State.PendingLoads.find(Target);
  return Found != State.PendingLoads.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const pending_load &Load) {
                       return Load.Model == Model && Load.Adapter == Adapter;
                     });
}

/// Targets with a pending load of \p Model, requested by this gateway or,
/// according to their digests, by others.
auto loadingTargets(const gateway_state &State, const model_name &Model)
    -> std::vector<target_name> {
  std::vector<target_name> Targets;
  for (const auto &[Target, Loads] : State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Model == Model && Load.Adapter.empty())
        Targets.push_back(Target);
  for (const auto &[Peer, Loads] : State.PeerPendingLoads)
    for (const auto &[Target, Change] : Loads)
      if (const auto *Entry = State.Book.find(Target);
          Change.Model == Model && Entry != nullptr && Entry->acceptsWork())
        Targets.push_back(Target);
  return Targets;
}

/// Requests a load from the target's controller and records it as pending.
/// \param Adapter empty to load the model itself.
/// \param Request the one that needs it, for the log; null if none does.
auto requestLoad(const gateway_step &Step, const target_entry &Entry,
                 const model_name &Model, const std::string &Adapter,
                 std::vector<model_name> Victims, time_point ExpectedEnd,
                 time_point Deadline, const request_state *Request) -> void {
  Step.State.PendingLoads[Entry.Target.Name].push_back(
      {Model, Adapter, Victims, ExpectedEnd, Deadline});
  std::string VictimNames;
  for (const auto &Victim : Victims)
    VictimNames += (VictimNames.empty() ? "" : ",") + Victim.Text;
  log_fields Fields = {
      {"request", Request == nullptr ? std::string() : Request->Call.Id},
      {"target", Entry.Target.Name.Text},
      {"target_sequence", std::to_string(Entry.Target.Sequence)},
      {"model", Model.Text},
      {"adapter", Adapter},
      {"victims", VictimNames},
      {"work_ms_per_s",
       std::to_string(static_cast<int>(
           Step.State.Demand.rate(Model, Step.Now).WorkMsPerSecond))}};
  if (Request != nullptr)
    addWorkspace(Fields, *Request);
  addLogEntry(Step, log_level::Info, "load_asked", std::move(Fields));
  request_load Effect{Entry.Target.Name, Entry.ControllerAddress, Model,
                      Adapter,           std::move(Victims),      {}};
  if (!Adapter.empty())
    Effect.AdapterUse = Entry.AdapterUse;
  Step.Effects.push_back(std::move(Effect));
  if (!Adapter.empty())
    return;
  // From now on, neither this gateway nor its peers send requests to the
  // victims at this target.
  markModelChanges(Step.State);
  sendDigest(Step);
}

auto planModelLoad(const gateway_step &Step, const service_name &Service,
                   const model_name &Model) -> std::optional<load_plan> {
  const auto &Services = Step.State.Configuration.Services;
  const auto Found = Services.find(Service);
  if (Found == Services.end() || Step.Now < loadHeldUntil(Step, Model, ""))
    return std::nullopt;
  return planLoad(Step.State.Book, Found->second, Model, Step.State.Demand,
                  Step.Now);
}

auto requestPlannedLoad(const gateway_step &Step, const load_plan &Plan,
                        const model_name &Model, const request_state *Request)
    -> void {
  const auto ExpectedEnd =
      Step.Now + milliseconds(static_cast<std::int64_t>(Plan.LoadMs));
  requestLoad(Step, *Step.State.Book.find(Plan.Target), Model, "", Plan.Victims,
              ExpectedEnd, ExpectedEnd + LoadTimeoutMargin, Request);
}

} // namespace

auto expectedLoadEnd(const gateway_step &Step, const model_name &Model)
    -> time_point {
  auto ExpectedEnd = NoDeadline;
  for (const auto &[Target, Loads] : Step.State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Model == Model && Load.Adapter.empty())
        ExpectedEnd = std::min(ExpectedEnd, Load.ExpectedEnd);
  return ExpectedEnd == NoDeadline ? Step.Now + AssumedPeerLoadTime
                                   : ExpectedEnd;
}

auto markModelChanges(gateway_state &State) -> void {
  for (auto &[Name, Entry] : State.Book.all()) {
    Entry.Change.reset();
    Entry.ModelsLoading.clear();
  }
  const auto AddChange = [&](const target_name &Target,
                             const model_change &Change) {
    auto *Entry = State.Book.find(Target);
    if (Entry == nullptr)
      return;
    Entry->ModelsLoading.insert(Change.Model);
    if (!Entry->Change)
      Entry->Change = Change;
    else // Several loads are queued at the target: combine their victims.
      Entry->Change->Victims.insert(Entry->Change->Victims.end(),
                                    Change.Victims.begin(),
                                    Change.Victims.end());
  };
  for (const auto &[Target, Loads] : State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Adapter.empty())
        AddChange(Target, {Load.Model, Load.Victims});
  for (const auto &[Peer, Loads] : State.PeerPendingLoads)
    for (const auto &[Target, Change] : Loads)
      AddChange(Target, Change);
}

auto waitForAdapter(const gateway_step &Step, request_state &Request,
                    const target_name &Chosen) -> void {
  const auto &Prompt = Request.Call.Prompt;
  Request.AwaitedLoad = {Chosen, Prompt.Adapter};
  if (isLoading(Step.State, Chosen, Prompt.Model, Prompt.Adapter))
    return;
  requestLoad(Step, *Step.State.Book.find(Chosen), Prompt.Model, Prompt.Adapter,
              {}, Step.Now + ExpectedAdapterLoadTime,
              Step.Now + AdapterLoadTimeout, &Request);
}

auto waitForModel(const gateway_step &Step, request_state &Request,
                  std::int64_t &RetryAfterMs) -> result_code {
  const auto &Model = Request.Call.Prompt.Model;
  auto Loading = loadingTargets(Step.State, Model);
  if (Loading.empty()) {
    const auto Plan = planModelLoad(Step, Request.Service, Model);
    if (!Plan) {
      if (const auto HeldUntil = loadHeldUntil(Step, Model, "");
          Step.Now < HeldUntil)
        RetryAfterMs = toMilliseconds(HeldUntil - Step.Now) + 1;
      return result_code::NoTarget;
    }
    if (Request.LoadRequests >= MaxLoadRequests)
      return result_code::NoMemory;
    ++Request.LoadRequests;
    requestPlannedLoad(Step, *Plan, Model, &Request);
    Loading.push_back(Plan->Target);
  }
  const auto ExpectedEnd = expectedLoadEnd(Step, Model);
  const auto PrefillTime = milliseconds(static_cast<std::int64_t>(
      prefillMsPerToken(Step.State, Model) * Request.Call.Prompt.InputTokens));
  if (ExpectedEnd + PrefillTime >= Request.FirstOutputDeadline) {
    RetryAfterMs =
        std::max(MinLoadRetryAfterMs, toMilliseconds(ExpectedEnd - Step.Now));
    return result_code::DeadlineUnreachable;
  }
  Request.AwaitedLoad = {Loading.front(), ""};
  return result_code::NotReady;
}

namespace {

/// True if this gateway plans the copies of \p Model: it has the highest
/// rendezvous hash among the live gateways.
auto isCopyPlanner(const gateway_step &Step, const model_name &Model) -> bool {
  const auto &State = Step.State;
  const auto Own = stableHash(State.Options.Self.Text, stableHash(Model.Text));
  for (const auto &[Peer, LastDigestAt] : State.PeerDigestTimes)
    if (stableHash(Peer.Text, stableHash(Model.Text)) > Own)
      return false;
  return true;
}

auto planCopiesOfModel(const gateway_step &Step, const service_spec &Service,
                       const model_name &Model) -> void {
  auto &State = Step.State;
  const auto WantedCopies = desiredCopies(State.Demand.rate(Model, Step.Now));
  const auto Loading = loadingTargets(State, Model).size();
  const auto Copies = State.Book.copyCount(Model) + Loading;
  if (Copies >= WantedCopies || Loading >= MaxCopiesLoading)
    return;
  const auto Plan = planModelLoad(Step, Service.Name, Model);
  if (!Plan)
    return;
  // Until the copy is loaded, the others carry this share of the demand on top
  // of their own.
  const double MissingShare = static_cast<double>(WantedCopies - Copies) /
                              static_cast<double>(WantedCopies);
  const double Gain = MissingShare * CopyHorizonSeconds *
                      State.Demand.rate(Model, Step.Now).WorkMsPerSecond;
  if (Gain > Plan->CostMs)
    requestPlannedLoad(Step, *Plan, Model, nullptr);
}

} // namespace

auto planCopies(const gateway_step &Step) -> void {
  const auto Models = Step.State.Demand.models();
  for (const auto &[Name, Service] : Step.State.Configuration.Services)
    for (const auto &Model : Models)
      if (Service.Engine.Models.contains(Model) && isCopyPlanner(Step, Model))
        planCopiesOfModel(Step, Service, Model);
}

namespace {

auto restoreModel(const gateway_step &Step, const service_spec &Service,
                  const model_name &Model) -> void {
  auto &State = Step.State;
  if (State.Book.copyCount(Model) > 0 ||
      !loadingTargets(State, Model).empty()) {
    State.UnservedSince.erase(Model);
    return;
  }
  const auto Since = State.UnservedSince.try_emplace(Model, Step.Now);
  if (Step.Now - Since.first->second < RestoreDelay)
    return;
  const auto Plan = planModelLoad(Step, Service.Name, Model);
  if (!Plan || std::any_of(Plan->Victims.begin(), Plan->Victims.end(),
                           [&](const model_name &Victim) {
                             return State.Book.copyCount(Victim) <= 1;
                           }))
    return;
  State.UnservedSince.erase(Model);
  requestPlannedLoad(Step, *Plan, Model, nullptr);
}

} // namespace

auto restoreLostModels(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (Step.Now < State.NextRestore)
    return;
  State.NextRestore = Step.Now + RestoreInterval;
  for (const auto &[Name, Service] : State.Configuration.Services)
    for (const auto &[Model, Spec] : Service.Engine.Models)
      if (isCopyPlanner(Step, Model))
        restoreModel(Step, Service, Model);
}

auto handle(const gateway_step &Step, const load_answered &Event) -> void {
  auto &State = Step.State;
  auto &Loads = State.PendingLoads[Event.Target];
  std::erase_if(Loads, [&](const pending_load &Load) {
    return Load.Model == Event.Model && Load.Adapter == Event.Adapter;
  });
  if (Loads.empty())
    State.PendingLoads.erase(Event.Target);
  markModelChanges(State);
  auto *Entry = State.Book.find(Event.Target);
  if (Entry != nullptr && Event.Loaded) {
    auto &HeldModel = Entry->Target.Holdings.Models[Event.Model];
    if (!Event.Adapter.empty())
      HeldModel.Adapters.insert(Event.Adapter);
    recordLoaded(Step, Event.Model, Event.Adapter);
  }
  if (Entry != nullptr && !Event.Loaded && Event.Ordered)
    noteFailedLoad(Step, *Entry, Event.Model, Event.Adapter);
  addLogEntry(Step, Event.Loaded ? log_level::Info : log_level::Warning,
              "load_answered",
              {{"target", Event.Target.Text},
               {"model", Event.Model.Text},
               {"adapter", Event.Adapter},
               {"held", Event.Loaded ? "true" : "false"},
               {"ordered", Event.Ordered ? "true" : "false"},
               {"suspect", Event.Loaded ? std::string()
                                        : toString(loadSuspect(
                                              Event.Model, Event.Adapter))}});
  if (Entry != nullptr && !Event.Loaded && Event.Adapter.empty())
    Entry->LoadBackoffUntil = Step.Now + FailedLoadBackoff;
  if (Entry != nullptr && !Event.Loaded && !Event.Adapter.empty())
    Entry->AvoidUntil = Step.Now + AdapterLoadTimeout;
  dispatchWaiting(Step, Event.Model);
}

auto failLoads(const gateway_step &Step, const target_name &Target) -> void {
  const auto Found = Step.State.PendingLoads.find(Target);
  if (Found == Step.State.PendingLoads.end())
    return;
  std::vector<load_answered> Failed;
  for (const auto &Load : Found->second)
    Failed.push_back({Target, Load.Model, Load.Adapter, false, false});
  for (const auto &FailedLoad : Failed)
    handle(Step, FailedLoad);
}

auto expireLoads(const gateway_step &Step) -> void {
  std::vector<load_answered> Overdue;
  for (const auto &[Target, Loads] : Step.State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Deadline <= Step.Now)
        Overdue.push_back({Target, Load.Model, Load.Adapter, false, false});
  for (const auto &OverdueLoad : Overdue)
    handle(Step, OverdueLoad);
}

} // namespace limpetbridge::serving
