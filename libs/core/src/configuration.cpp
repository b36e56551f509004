#include "core/configuration.h"

#include "core/store_keys.h"
#include "details/handlers.h"

#include <algorithm>
#include <charconv>

namespace limpetbridge {

auto changesAfter(const configuration_state &State, revision From)
    -> std::vector<change> {
  if (From >= State.Current->currentRevision())
    return {};
  const bool AllKept =
      !State.RecentChanges.empty() &&
      State.RecentChanges.front().Revision.Value <= From.Value + 1;
  if (!AllKept)
    return {State.Current->snapshot()};
  std::vector<change> Changes;
  std::copy_if(State.RecentChanges.begin(), State.RecentChanges.end(),
               std::back_inserter(Changes),
               [&](const change &Change) { return Change.Revision > From; });
  return Changes;
}

namespace store_keys {

auto change(revision Revision) -> std::string {
  constexpr std::size_t Digits = 12;
  const auto Number = std::to_string(Revision.Value);
  return std::string(ChangePrefix) +
         std::string(Digits - std::min(Digits, Number.size()), '0') + Number;
}

auto changeId(const change_id &Id) -> std::string {
  return std::string(ChangeIdPrefix) + Id.Text;
}

auto parseRevision(std::string_view Text) -> revision {
  revision Revision;
  std::from_chars(Text.data(), Text.data() + Text.size(), Revision.Value);
  return Revision;
}

} // namespace store_keys

namespace details {

namespace {

constexpr std::size_t MaxRecentChanges = 256;
constexpr std::uint32_t ChangePageSize = 256;
constexpr auto FetchInterval = milliseconds(200);

auto isSnapshot(const change &Change) -> bool {
  return Change.Id == change_id("snapshot");
}

/// True if this entry pushes the agent its target's declared state: no other
/// entry in the agent's data centre, unless it is leaving, has a greater
/// rendezvous weight for the agent.
auto isResponsibleFor(const node_state &State, const instance_record &Agent)
    -> bool {
  const auto &Self = State.Options.Self;
  std::uint64_t Best = rendezvousWeight(Agent.Name.Text, Self.Name.Text);
  for (const auto &[Name, Member] : State.Membership.Members) {
    const auto &Record = Member.Record;
    if (Record.Role != instance_role::Entry || Record.Leaving ||
        Record.DataCentre != Agent.DataCentre || Name == Self.Name)
      continue;
    if (rendezvousWeight(Agent.Name.Text, Name.Text) > Best)
      return false;
  }
  return true;
}

/// Registers a store request and returns its ticket.
auto beginRead(const context &Ctx, config_read Purpose) -> ticket {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Configuration.Reads[Ticket] = {Purpose, 0};
  return Ticket;
}

auto isReading(const configuration_state &State, config_read Purpose) -> bool {
  return std::any_of(
      State.Reads.begin(), State.Reads.end(),
      [&](const auto &Read) { return Read.second.Purpose == Purpose; });
}

auto readHead(const context &Ctx) -> void {
  if (isReading(Ctx.State.Configuration, config_read::Head))
    return;
  Ctx.emit(table_read{beginRead(Ctx, config_read::Head),
                      {std::string(store_keys::Head)}});
}

auto readSnapshot(const context &Ctx) -> void {
  if (isReading(Ctx.State.Configuration, config_read::Snapshot))
    return;
  Ctx.emit(object_get{beginRead(Ctx, config_read::Snapshot),
                      std::string(store_keys::Snapshot)});
}

/// Fetches newer changes from a random peer, at most once per FetchInterval.
auto fetchFromRandomPeer(const context &Ctx) -> void {
  auto &State = Ctx.State;
  std::vector<fetch_changes> Peers;
  const auto From = State.Configuration.Current->currentRevision();
  for (const auto &[Name, Member] : State.Membership.Members)
    if (Member.Record.Role == instance_role::Entry &&
        Name != State.Options.Self.Name)
      Peers.push_back({Name, Member.Record.Address, From});
  for (const auto &Seed : State.Options.Entry.Seeds)
    Peers.push_back({instance_name(Seed), Seed, From});
  if (Peers.empty() || Ctx.Now < State.Configuration.FetchRetryAt)
    return;
  State.Configuration.FetchRetryAt = Ctx.Now + FetchInterval;
  Ctx.emit(Peers[State.Random.next() % Peers.size()]);
}

auto affectsTarget(const change &Change, const instance_name &Agent) -> bool {
  if (isSnapshot(Change))
    return true;
  return std::any_of(Change.Operations.begin(), Change.Operations.end(),
                     [&](const operation &Operation) {
                       return Operation.Kind == declaration_kind::Target &&
                              Operation.Name == Agent.Text;
                     });
}

/// Pushes target state to the agents whose target a change affects. The others
/// learn the new revision with the next offer.
auto pushChangedTargets(const context &Ctx, const std::vector<change> &Changes)
    -> void {
  for (const auto &[Name, Member] : Ctx.State.Membership.Members) {
    const auto &Record = Member.Record;
    const bool Affected =
        Record.Role == instance_role::Agent &&
        std::any_of(Changes.begin(), Changes.end(), [&](const change &Change) {
          return affectsTarget(Change, Record.Name);
        });
    if (Affected)
      pushTargetState(Ctx, Record);
  }
}

/// Applies a change that follows the current revision, or a newer snapshot;
/// false if it was skipped or is not applicable.
auto applyChange(const context &Ctx, const change &Change) -> bool {
  auto &Configuration = Ctx.State.Configuration;
  const auto Current = Configuration.Current->currentRevision();
  const bool AcceptsAny =
      isMutated(Ctx.State.Options, mutation::RevertRevision);
  if (Change.Revision <= Current && !AcceptsAny)
    return false;
  const bool Snapshot = isSnapshot(Change);
  if (!Snapshot && !AcceptsAny && Change.Revision.Value != Current.Value + 1)
    return false;
  auto Next = (Snapshot ? catalogue() : *Configuration.Current).apply(Change);
  if (!Next) {
    Ctx.recordNote(note_kind::ChangeRefused, "", {}, Change.Id.Text,
                   "stored change does not apply: " + Next.error().Detail);
    return false;
  }
  Configuration.Current =
      std::make_shared<const catalogue>(std::move(Next.value()));
  Configuration.InForceSince = Ctx.Now;
  if (Snapshot)
    Configuration.RecentChanges.clear();
  else
    Configuration.RecentChanges.push_back(Change);
  if (Configuration.RecentChanges.size() > MaxRecentChanges)
    Configuration.RecentChanges.pop_front();
  return true;
}

auto onHeadRead(const context &Ctx, const table_replied &Event) -> void {
  auto &Configuration = Ctx.State.Configuration;
  if (Event.Status != store_status::Applied) {
    if (!Configuration.Loaded)
      fetchFromRandomPeer(Ctx);
    return;
  }
  revision Head;
  for (const auto &Row : Event.Rows) {
    Head = store_keys::parseRevision(Row.Value);
    Configuration.HeadVersion = Row.Version;
  }
  Configuration.Head = std::max(Configuration.Head, Head);
  if (Head > Configuration.Current->currentRevision())
    readNewerChanges(Ctx);
  else
    Configuration.Loaded = true;
}

auto onChangesRead(const context &Ctx, const table_replied &Event) -> void {
  if (Event.Status != store_status::Applied)
    return;
  std::vector<change> Changes;
  for (const auto &Row : Event.Rows)
    if (auto Change = decodeChange(Row.Value))
      Changes.push_back(std::move(Change.value()));
  const bool Advanced = applyChanges(Ctx, Changes);
  auto &Configuration = Ctx.State.Configuration;
  if (Configuration.Current->currentRevision() >= Configuration.Head)
    Configuration.Loaded = true;
  else if (Advanced)
    readNewerChanges(Ctx);
}

} // namespace

auto readNewerChanges(const context &Ctx) -> void {
  auto &Configuration = Ctx.State.Configuration;
  if (isReading(Configuration, config_read::Changes))
    return;
  const revision Next{Configuration.Current->currentRevision().Value + 1};
  Ctx.emit(table_range{beginRead(Ctx, config_read::Changes),
                       std::string(store_keys::ChangePrefix),
                       store_keys::change(Next), ChangePageSize});
}

auto pushTargetState(const context &Ctx, const instance_record &Agent) -> void {
  const auto &Catalogue = *Ctx.State.Configuration.Current;
  if (!Ctx.State.isEntry() || !isResponsibleFor(Ctx.State, Agent))
    return;
  const auto *Declared = Catalogue.find<target_declaration>(Agent.Name.Text);
  Ctx.emit(send_target_state{
      Agent.Name,
      Agent.Address,
      {Catalogue.currentRevision(), Declared != nullptr && Declared->Drained}});
}

auto applyChanges(const context &Ctx, const std::vector<change> &Changes)
    -> bool {
  bool Advanced = false;
  for (const auto &Change : Changes)
    Advanced = applyChange(Ctx, Change) || Advanced;
  if (!Advanced)
    return false;
  const auto Revision = Ctx.State.Configuration.Current->currentRevision();
  Ctx.State.Configuration.Head =
      std::max(Ctx.State.Configuration.Head, Revision);
  ++Ctx.State.Membership.Epoch;
  Ctx.recordNote(note_kind::RevisionInForce, "", {},
                 std::to_string(Revision.Value), "");
  pushChangedTargets(Ctx, Changes);
  return true;
}

auto tickConfiguration(const context &Ctx) -> void {
  auto &Configuration = Ctx.State.Configuration;
  tickCommands(Ctx);
  if (Ctx.Now < Configuration.NextPoll)
    return;
  const auto Interval = Configuration.Loaded ? Ctx.State.Options.PollInterval
                                             : Ctx.State.Options.StoreRetry;
  Configuration.NextPoll = Ctx.Now + Interval;
  if (Configuration.SnapshotRead)
    readHead(Ctx);
  else
    readSnapshot(Ctx);
}

auto onConfigurationReply(const context &Ctx, const table_replied &Event)
    -> bool {
  auto &Reads = Ctx.State.Configuration.Reads;
  const auto Found = Reads.find(Event.Ticket);
  if (Found == Reads.end())
    return false;
  const auto Read = Found->second;
  Reads.erase(Found);
  if (Read.Purpose == config_read::Head)
    onHeadRead(Ctx, Event);
  else if (Read.Purpose == config_read::Changes)
    onChangesRead(Ctx, Event);
  else if (Read.Purpose == config_read::Command)
    onCommandReply(Ctx, Read.Command, Event);
  return true;
}

auto onSnapshotReply(const context &Ctx, const object_replied &Event) -> void {
  auto &Configuration = Ctx.State.Configuration;
  if (Configuration.Reads.erase(Event.Ticket) == 0)
    return;
  if (Event.Status != store_status::Applied) {
    fetchFromRandomPeer(Ctx);
    return;
  }
  Configuration.SnapshotRead = true;
  if (Event.Found)
    if (auto Snapshot = decodeChange(Event.Value))
      applyChanges(Ctx, {Snapshot.value()});
  readHead(Ctx);
}

auto onChanges(const context &Ctx, const changes_received &Event) -> void {
  auto &Configuration = Ctx.State.Configuration;
  applyChanges(Ctx, Event.Changes);
  if (Event.Changes.empty())
    return;
  // Only a peer that has loaded its configuration sends changes; with all of
  // them applied, this node has loaded its own too.
  const auto Last = Event.Changes.back().Revision;
  if (Configuration.Current->currentRevision() >= Last)
    Configuration.Loaded = true;
  else
    onRevisionSeen(Ctx, {Event.From, Last});
}

auto onRevisionSeen(const context &Ctx, const revision_seen &Event) -> void {
  auto &Configuration = Ctx.State.Configuration;
  const auto Current = Configuration.Current->currentRevision();
  if (!Ctx.State.isEntry() || Event.Revision <= Current)
    return;
  Configuration.Head = std::max(Configuration.Head, Event.Revision);
  if (Ctx.Now < Configuration.FetchRetryAt)
    return;
  const auto &Members = Ctx.State.Membership.Members;
  const auto Found = Members.find(Event.From);
  const bool IsEntry = Found != Members.end() &&
                       Found->second.Record.Role == instance_role::Entry;
  if (!IsEntry) {
    readNewerChanges(Ctx);
    return;
  }
  Configuration.FetchRetryAt = Ctx.Now + FetchInterval;
  Ctx.emit(fetch_changes{Event.From, Found->second.Record.Address, Current});
}

} // namespace details

} // namespace limpetbridge
