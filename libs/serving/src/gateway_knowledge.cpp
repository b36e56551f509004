#include "details/gateway_parts.h"

#include <algorithm>
#include <tuple>

namespace limpetbridge::serving {

namespace {

/// Interval at which subscriptions at the controllers are renewed.
constexpr duration SubscriptionInterval = seconds(2);

auto cacheTokens(const gateway_state &State, const service_name &Service)
    -> std::uint64_t {
  const auto Found = State.Configuration.Services.find(Service);
  return Found == State.Configuration.Services.end()
             ? 0
             : Found->second.Engine.CacheTokens;
}

/// Dispatches the requests that wait for a model that was added or changed.
auto dispatchWaitingForChanges(const gateway_step &Step, const holdings &Before,
                               const holdings &After) -> void {
  std::vector<model_name> Added;
  for (const auto &[Model, HeldModel] : After.Models) {
    const auto Old = Before.Models.find(Model);
    if (Old == Before.Models.end() || !(Old->second == HeldModel))
      Added.push_back(Model);
  }
  for (const auto &Model : Added)
    dispatchWaiting(Step, Model);
}

/// Records a target's description, logs a new or draining target, and
/// dispatches the requests that wait for its models.
auto applyTargetUpdate(const gateway_step &Step, const target &Target) -> void {
  auto &State = Step.State;
  const auto *Known = State.Book.find(Target.Name);
  const auto Before = Known == nullptr ? holdings() : Known->Target.Holdings;
  const bool WasDraining = Known != nullptr && Known->Target.Draining;
  const bool WasKnown = Known != nullptr;
  // It started again under its name.
  if (WasKnown && !WasDraining &&
      Target.Incarnation > Known->Target.Incarnation)
    confirmCrash(Step, *Known);
  if (!State.Book.update(Target, cacheTokens(State, Target.Service), Step.Now))
    return;
  auto &Entry = *State.Book.find(Target.Name);
  if (const auto Found = State.ControllerAddresses.find(Entry.Target.Address);
      Found != State.ControllerAddresses.end())
    Entry.ControllerAddress = Found->second;
  if (!WasKnown || WasDraining != Entry.Target.Draining)
    addLogEntry(Step, log_level::Info, "target_changed",
                {{"target", Target.Name.Text},
                 {"address", Target.Address},
                 {"service", Target.Service.Text},
                 {"born", std::to_string(Target.Incarnation)},
                 {"leaving", Entry.Target.Draining ? "true" : "false"},
                 {"reads_targets", State.ReadsTargets ? "true" : "false"},
                 {"models", std::to_string(Target.Holdings.Models.size())}});
  if (WasKnown && !WasDraining && Entry.Target.Draining)
    failLoads(Step, Target.Name);
  dispatchWaitingForChanges(Step, Before, Entry.Target.Holdings);
}

/// Removes a target; its pending loads count as failed.
auto removeTarget(const gateway_step &Step, const target_name &Name) -> void {
  auto *Entry = Step.State.Book.find(Name);
  if (Entry == nullptr)
    return;
  const auto &State = Step.State;
  const auto MissingSince = Entry->RowMissingSince;
  addLogEntry(Step, log_level::Warning, "target_gone",
              {{"target", Name.Text},
               {"address", Entry->Target.Address},
               {"draining", Entry->Target.Draining ? "true" : "false"},
               {"missing_ms",
                std::to_string(MissingSince == NoDeadline
                                   ? 0
                                   : toMilliseconds(Step.Now - MissingSince))},
               {"reads_targets", State.ReadsTargets ? "true" : "false"},
               {"targets_version", std::to_string(State.TargetsVersion)}});
  if (!Entry->Target.Draining)
    confirmCrash(Step, *Entry);
  Step.State.Book.remove(Name);
  failLoads(Step, Name);
}

/// Records that a target said that it leaves, and ends what waits for it there.
auto recordLeaving(const gateway_step &Step, const target_name &Name,
                   std::uint64_t Incarnation, std::string Source) -> bool {
  if (!Step.State.Book.recordNotice(Name, Incarnation, true, time_point()))
    return false;
  addLogEntry(Step, log_level::Info, "target_leaves",
              {{"target", Name.Text},
               {"born", std::to_string(Incarnation)},
               {"source", std::move(Source)}});
  failLoads(Step, Name);
  return true;
}

/// Counts the digests of the sender that were not read.
auto countMissingDigests(const gateway_step &Step, const gateway_digest &Event)
    -> void {
  auto &State = Step.State;
  auto &Last = State.PeerDigestSequences[Event.From];
  // A lower number comes from a process that has started since, or late.
  if (Last > 0 && Event.Sequence > Last)
    State.MissingDigests += Event.Sequence - Last - 1;
  Last = Event.Sequence;
}

/// True if the digests of most gateways are overdue. Then it is rather this one
/// that does not receive them, for a lack of time or packets.
auto missesMostPeers(const gateway_state &State, time_point Now) -> bool {
  constexpr std::size_t MinPeers = 8;
  const auto Count = State.PeerDigestTimes.size();
  const auto Overdue = Now - peerTimeout(State) / 2;
  const auto Missing =
      std::count_if(State.PeerDigestTimes.begin(), State.PeerDigestTimes.end(),
                    [&](const auto &Peer) { return Peer.second < Overdue; });
  return Count >= MinPeers && 2 * static_cast<std::size_t>(Missing) > Count;
}

/// Removes the gateways whose digests have stopped, with all that they
/// reported: the loads that they requested may never complete.
auto expirePeers(const gateway_step &Step) -> void {
  auto &State = Step.State;
  /// Forgetting a hundred gateways and hearing them again costs more time than
  /// a process has that misses them for a lack of it.
  constexpr int PatienceWithoutPeers = 3;
  const auto Timeout =
      peerTimeout(State) *
      (missesMostPeers(State, Step.Now) ? PatienceWithoutPeers : 1);
  std::vector<instance_name> SilentPeers;
  for (const auto &[Peer, LastDigestAt] : State.PeerDigestTimes)
    if (Step.Now - LastDigestAt >= Timeout)
      SilentPeers.push_back(Peer);
  for (const auto &Peer : SilentPeers) {
    State.PeerDigestTimes.erase(Peer);
    State.PeerDigestSequences.erase(Peer);
    State.PeerPendingLoads.erase(Peer);
    State.PeerStatuses.erase(Peer);
    State.Demand.removePeer(Peer);
    State.Book.setPeerLoads(Peer, {});
    addLogEntry(Step, log_level::Warning, "peer_silent", {{"peer", Peer.Text}});
  }
  if (!SilentPeers.empty())
    markModelChanges(State);
}

/// Renews the subscriptions at all controllers, which report to subscribed
/// gateways what their targets hold.
auto subscribeToControllers(const gateway_step &Step) -> void {
  auto &State = Step.State;
  State.NextSubscription = Step.Now + SubscriptionInterval;
  subscribe_to_controllers Subscription;
  for (const auto &[Name, Instance] : State.Instances)
    if (Instance.Role == instance_role::Controller)
      Subscription.Addresses.push_back(Instance.Address);
  if (!Subscription.Addresses.empty())
    Step.Effects.push_back(std::move(Subscription));
}

} // namespace

auto handle(const gateway_step &Step, const configuration_read &Event) -> void {
  auto &State = Step.State;
  if (!State.ConfigurationHistory.offer(Event.Configuration.Version,
                                        Event.Source))
    return;
  State.Configuration = Event.Configuration;
  State.Routes = route_table(State.Configuration);
  State.StreamBounds = streamBounds(State.Configuration);
  State.Priorities = priority_order(State.Configuration);
  for (auto &[Name, Entry] : State.Book.all())
    Entry.Cache.setCapacity(cacheTokens(State, Entry.Target.Service));
  addLogEntry(
      Step, log_level::Info, "configuration_in_force",
      {{"version", std::to_string(State.Configuration.Version)},
       {"era", std::to_string(Event.Source.Era)},
       {"generation",
        std::to_string(State.ConfigurationHistory.inForce().Generation)},
       {"routes", std::to_string(State.Configuration.Routes.size())},
       {"services", std::to_string(State.Configuration.Services.size())},
       {"workspaces", std::to_string(State.Configuration.Workspaces.size())},
       // The store acknowledged it no longer ago than this.
       {"unconfirmed_ms",
        std::to_string(configurationAgeMs(State, Step.Now))}});
  State.Fairness.configure(State.Configuration);
  takeKeysInForce(Step);
  takeQuotaLimits(Step);
}

auto handle(const gateway_step &Step, const row_unreadable &Event) -> void {
  addLogEntry(Step, log_level::Warning, "row_unreadable",
              {{"table", Event.Table},
               {"key", Event.Key},
               {"version", std::to_string(Event.Version)},
               {"error", Event.Error}});
}

auto handle(const gateway_step &Step, const target_updated &Event) -> void {
  applyTargetUpdate(Step, Event.Target);
}

auto handle(const gateway_step &Step, const target_lost &Event) -> void {
  auto *Entry = Step.State.Book.find(Event.Name);
  if (Entry == nullptr || Step.Now >= Step.State.RowGraceUntil)
    return removeTarget(Step, Event.Name);
  if (Entry->RowMissingSince == NoDeadline)
    Entry->RowMissingSince = Step.Now;
}

auto endRowGrace(const gateway_step &Step) -> void {
  auto &State = Step.State;
  State.RowGraceUntil = std::min(State.RowGraceUntil, Step.Now);
  std::vector<target_name> Missing;
  for (const auto &[Name, Entry] : State.Book.all())
    if (Entry.RowMissingSince != NoDeadline)
      Missing.push_back(Name);
  for (const auto &Name : Missing)
    removeTarget(Step, Name);
}

auto handle(const gateway_step &Step, const store_reachability_changed &Event)
    -> void {
  // While the store is unreachable, any row may expire and none is read. Rows
  // that are missing afterwards have the grace period to return.
  Step.State.StoreReachable = Event.Reachable;
  Step.State.RowGraceUntil =
      Event.Reachable ? Step.Now + Step.State.Options.LostGrace : NoDeadline;
}

auto handle(const gateway_step &Step, const targets_listed &Event) -> void {
  std::set<target_name> Listed;
  for (const auto &Target : Event.Targets) {
    Listed.insert(Target.Name);
    applyTargetUpdate(Step, Target);
  }
  std::vector<target_name> Missing;
  for (const auto &[Name, Entry] : Step.State.Book.all())
    if (!Listed.contains(Name))
      Missing.push_back(Name);
  for (const auto &Name : Missing)
    handle(Step, target_lost{Name});
}

auto handle(const gateway_step &Step, const instances_listed &Event) -> void {
  auto &State = Step.State;
  for (const auto &Instance : Event.Instances) {
    auto &Known = State.Instances[Instance.Name];
    if (Known.Address != Instance.Address)
      addLogEntry(
          Step, log_level::Info, "instance_changed",
          {{"peer", Instance.Name.Text}, {"address", Instance.Address}});
    Known = Instance;
    if (Instance.TargetAddress.empty())
      continue;
    State.ControllerAddresses[Instance.TargetAddress] = Instance.Address;
    if (auto *Entry = State.Book.findByAddress(Instance.TargetAddress))
      Entry->ControllerAddress = Instance.Address;
  }
  takeQuotaMembers(Step, Event);
}

auto handle(const gateway_step &Step, const holdings_report &Event) -> void {
  auto *Entry = Step.State.Book.findByAddress(Event.Address);
  if (Entry == nullptr)
    return;
  // A later incarnation has the address; its row has not arrived yet.
  if (Event.Incarnation > Entry->Target.Incarnation)
    return removeTarget(Step, Entry->Target.Name);
  if (Entry->Target.Incarnation != Event.Incarnation)
    return;
  if (Event.Leaves)
    recordLeaving(Step, Entry->Target.Name, Event.Incarnation, "controller");
  const auto Before = Entry->Target.Holdings;
  if (Step.State.Book.updateHoldings(*Entry, Event.Sequence, Event.Holdings,
                                     Step.Now))
    dispatchWaitingForChanges(Step, Before, Event.Holdings);
}

auto handle(const gateway_step &Step, const target_notice &Event) -> void {
  /// Digests that name a leaving target.
  constexpr int LeavingDigests = 3;
  auto &State = Step.State;
  if (Event.Leaves &&
      recordLeaving(Step, Event.Target, Event.Incarnation, "answer"))
    State.UnsentLeaving[Event.Target] = {Event.Incarnation, LeavingDigests};
  if (Event.RefusesUntil != time_point() &&
      State.Book.recordNotice(Event.Target, Event.Incarnation, false,
                              Event.RefusesUntil))
    addLogEntry(Step, log_level::Info, "target_refuses",
                {{"target", Event.Target.Text},
                 {"for_ms", std::to_string(toMilliseconds(Event.RefusesUntil -
                                                          Step.Now))}});
}

auto handle(const gateway_step &Step, const gateway_digest &Event) -> void {
  auto &State = Step.State;
  if (Event.From == State.Options.Self)
    return;
  countMissingDigests(Step, Event);
  State.Book.setPeerLoads(Event.From, Event.Loads);
  State.Demand.setPeerRates(Event.From, Event.Demand);
  auto &Loading = State.PeerPendingLoads[Event.From];
  const bool Unchanged = Loading.empty() && Event.Loading.empty();
  Loading = Event.Loading;
  if (!Unchanged)
    markModelChanges(State);
  // The sender may be unable to write its own record to the store.
  if (!State.Instances.contains(Event.From) && !Event.Address.empty()) {
    instance_record Peer;
    Peer.Name = Event.From;
    Peer.Address = Event.Address;
    Peer.Role = instance_role::Gateway;
    State.Instances[Event.From] = Peer;
  }
  if (!State.PeerDigestTimes.contains(Event.From))
    addLogEntry(Step, log_level::Info, "peer_heard",
                {{"peer", Event.From.Text}});
  State.PeerDigestTimes[Event.From] = Step.Now;
  State.LastPeerMessageAt = Step.Now;
  const auto ToTime = [&](std::int64_t AgeMs) {
    return AgeMs < 0 ? time_point() : Step.Now - milliseconds(AgeMs);
  };
  const auto ReadAt = ToTime(Event.TargetsReadAgeMs);
  auto &Status = State.PeerStatuses[Event.From];
  Status = {{Event.ConfigurationGeneration, Event.Configuration, 0},
            Event.StoreEra,
            Event.StoreReachable,
            Event.DataCentre,
            ReadAt,
            std::max(ReadAt, ToTime(Event.TargetsKnownAgeMs)),
            ToTime(Event.ConfigurationKnownAgeMs),
            Event.TargetsVersion,
            Step.Now + milliseconds(Event.ReadyInMs),
            Event.Overloaded};
  recordPeerEra(Step, Status);
  for (const auto &[Name, Incarnation] : Event.Leaving)
    recordLeaving(Step, Name, Incarnation, Event.From.Text);
  for (const auto &[Name, Key, Tokens] : Event.Prefixes)
    if (auto *Entry = State.Book.find(Name))
      Entry->Cache.add(Key, Tokens);
  for (const auto &[Name, Adapter] : Event.AdapterUse)
    if (auto *Entry = State.Book.find(Name))
      Entry->AdapterUse[Adapter] = Step.Now;
}

auto handle(const gateway_step &Step, const targets_read &Event) -> void {
  auto &State = Step.State;
  State.TargetsReadAt = Step.Now;
  if (State.StoreReachable && State.RowGraceUntil == NoDeadline)
    State.RowGraceUntil = Step.Now + State.Options.LostGrace;
  recordView(Step, Event.AsOf == time_point() ? Step.Now : Event.AsOf);
  checkKnowledge(Step);
}

auto handle(const gateway_step &Step, const targets_read_failed & /*Event*/)
    -> void {
  // The gateways that ask this one read the targets themselves, at once.
  Step.State.TargetsReadAt = time_point();
  // The store may be away; rows may expire until it answers again.
  Step.State.RowGraceUntil = NoDeadline;
}

auto handle(const gateway_step &Step, const tick &Event) -> void {
  auto &State = Step.State;
  State.TargetsVersion = std::max(State.TargetsVersion, Event.TargetsVersion);
  observeLoop(Step, Event.Loop);
  observePaces(Step, Event.Paces);
  expirePeers(Step);
  chooseTargetReader(Step);
  queryPeers(Step);
  checkKnowledge(Step);
  expireLoads(Step);
  refuseLateLoadWaits(Step);
  planCopies(Step);
  restoreLostModels(Step);
  std::vector<target_name> ExpiredTargets;
  for (const auto &[Name, Entry] : State.Book.all())
    if (Entry.RowMissingSince != NoDeadline &&
        Step.Now - Entry.RowMissingSince >= State.Options.LostGrace)
      ExpiredTargets.push_back(Name);
  for (const auto &Name : ExpiredTargets)
    removeTarget(Step, Name);
  if (Step.Now >= State.NextSubscription)
    subscribeToControllers(Step);
  expireCrashes(Step);
  checkCrashRows(Step);
  expireConnections(Step);
  sendQuotaReports(Step);
  expireHedging(Step);
  if (Step.Now >= State.NextDigest) {
    sendDigest(Step);
    sendCrashReport(Step);
  }
}

auto sendDigest(const gateway_step &Step) -> void {
  auto &State = Step.State;
  State.NextDigest = Step.Now + digestInterval(State);
  send_digest Effect;
  Effect.Addresses = gatewayAddresses(State);
  auto &Digest = Effect.Digest;
  Digest.From = State.Options.Self;
  Digest.Address = State.Options.Address;
  Digest.Sequence = ++State.DigestSequence;
  Digest.StoreEra = State.StoreEra;
  Digest.Configuration = State.Configuration.Version;
  Digest.ConfigurationGeneration =
      State.ConfigurationHistory.inForce().Generation;
  Digest.StoreReachable = State.StoreReachable;
  Digest.DataCentre = State.Options.DataCentre;
  Digest.Overloaded = State.SelfLimit.isSustained();
  Digest.TargetsReadAgeMs = targetsReadAgeMs(State, Step.Now);
  Digest.TargetsKnownAgeMs = targetsKnownAgeMs(State, Step.Now);
  Digest.ConfigurationKnownAgeMs = configurationAgeMs(State, Step.Now);
  Digest.TargetsVersion = State.TargetsVersion;
  Digest.ReadyInMs = toMilliseconds(readyAt(State, Step.Now) - Step.Now);
  for (const auto &[Name, Entry] : State.Book.all())
    if (Entry.OwnLoad.activeCount() > 0)
      Digest.Loads[Name] = Entry.OwnLoad;
  Digest.Demand = State.Demand.ownRates(Step.Now);
  for (const auto &[Key, Tokens] : std::exchange(State.UnsentPrefixes, {}))
    Digest.Prefixes.emplace_back(Key.first, Key.second, Tokens);
  Digest.AdapterUse = std::exchange(State.UnsentAdapterUse, {});
  for (auto &[Name, Leaving] : State.UnsentLeaving) {
    Digest.Leaving[Name] = Leaving.Incarnation;
    --Leaving.DigestsLeft;
  }
  std::erase_if(State.UnsentLeaving, [](const auto &Leaving) {
    return Leaving.second.DigestsLeft <= 0;
  });
  for (const auto &[Target, Loads] : State.PendingLoads)
    for (const auto &Load : Loads)
      if (Load.Adapter.empty())
        Digest.Loading[Target] = {Load.Model, Load.Victims};
  if (!Effect.Addresses.empty())
    Step.Effects.push_back(std::move(Effect));
}

} // namespace limpetbridge::serving
