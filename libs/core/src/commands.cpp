// Operators' commands: each is written in one conditional transaction, which
// applies it at most once, and is then propagated to the other entries.
#include "core/configuration.h"

#include "core/store_keys.h"
#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge::details {

namespace {

constexpr std::uint64_t RevisionsPerSnapshot = 256;

/// Answers the command and removes it.
auto answerCommand(const context &Ctx, std::uint64_t Command,
                   answer_command Answer) -> void {
  Answer.Command = Command;
  Ctx.emit(std::move(Answer));
  Ctx.State.Configuration.Commands.erase(Command);
}

/// Answers the command with an error.
auto refuseCommand(const context &Ctx, std::uint64_t Command, result_code Code,
                   std::string Detail) -> void {
  const auto &Pending = Ctx.State.Configuration.Commands.at(Command);
  Ctx.recordNote(note_kind::ChangeRefused, "", {}, Pending.Command.Id.Text,
                 Detail);
  answerCommand(Ctx, Command,
                {0, Code, std::move(Detail),
                 Ctx.State.Configuration.Current->currentRevision(), 0, 0});
}

/// The first operation of \p Change on a declaration that \p Operations change
/// too; null if there is none.
auto findOverlap(const change &Change, const std::vector<operation> &Operations)
    -> const operation * {
  for (const auto &Operation : Change.Operations)
    for (const auto &Other : Operations)
      if (Operation.Kind == Other.Kind && Operation.Name == Other.Name)
        return &Operation;
  return nullptr;
}

/// A change that conflicts with the command: one applied since it arrived, or
/// the newest if the required revision is not current; null if none is known.
auto findConflict(const configuration_state &State,
                  const pending_command &Pending) -> const change * {
  const auto &Command = Pending.Command;
  const auto Current = State.Current->currentRevision();
  if (Command.IfRevision && *Command.IfRevision != Current)
    return State.RecentChanges.empty() ? nullptr : &State.RecentChanges.back();
  for (const auto &Change : State.RecentChanges)
    if (Change.Revision > Pending.BaseRevision &&
        findOverlap(Change, Command.Operations) != nullptr)
      return &Change;
  return nullptr;
}

auto describeConflict(const change &Conflicting, const pending_command &Pending)
    -> std::string {
  std::string Text = "change " + Conflicting.Id.Text + " made revision " +
                     std::to_string(Conflicting.Revision.Value);
  if (const auto *Same = findOverlap(Conflicting, Pending.Command.Operations))
    Text += ": " + toString(*Same);
  return Text;
}

/// Reads the head row and the row of the change id, before a decision.
auto readForCommand(const context &Ctx, std::uint64_t Command,
                    pending_command &Pending) -> void {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Configuration.Reads[Ticket] = {config_read::Command, Command};
  Pending.Phase = command_phase::Reading;
  Pending.AwaitingReply = true;
  Ctx.emit(table_read{Ticket,
                      {std::string(store_keys::Head),
                       store_keys::changeId(Pending.Command.Id)}});
}

/// Writes the change as the next revision, on condition that the head row is
/// unchanged and the change id is not yet used.
auto writeCommand(const context &Ctx, std::uint64_t Command,
                  pending_command &Pending, std::uint64_t HeadVersion) -> void {
  auto &Configuration = Ctx.State.Configuration;
  const revision Next{Configuration.Current->currentRevision().Value + 1};
  const change Change{Pending.Command.Id, Next, Pending.Command.Operations};
  const auto IdKey = store_keys::changeId(Change.Id);
  const auto Ticket = Ctx.State.nextTicket();
  Configuration.Reads[Ticket] = {config_read::Command, Command};
  Pending.Phase = command_phase::Writing;
  Pending.AwaitingReply = true;
  Pending.Accepted = Next;
  Pending.WrittenAgainst = HeadVersion;
  Ctx.emit(table_transact{
      Ticket,
      {{std::string(store_keys::Head), HeadVersion}, {IdKey, 0}},
      {{std::string(store_keys::Head), std::to_string(Next.Value)},
       {store_keys::change(Next), encodeChange(Change)},
       {IdKey, std::to_string(Next.Value)}}});
}

auto sendToUnacknowledged(const context &Ctx, const pending_command &Pending)
    -> void {
  const auto &Configuration = Ctx.State.Configuration;
  const revision Before{Pending.Accepted.Value - 1};
  for (const auto &Name : Pending.Unacknowledged) {
    const auto Found = Ctx.State.Membership.Members.find(Name);
    if (Found != Ctx.State.Membership.Members.end())
      Ctx.emit(send_changes{Name, Found->second.Record.Address,
                            changesAfter(Configuration, Before)});
  }
}

/// Starts to propagate the accepted change to the other entries.
auto startPropagation(const context &Ctx, pending_command &Pending,
                      revision Accepted) -> void {
  Pending.Phase = command_phase::Propagating;
  Pending.Accepted = Accepted;
  Pending.AwaitingReply = false;
  Pending.PropagationDeadline = Ctx.Now + Ctx.State.Options.SpreadTimeout;
  Pending.RetryAt = Ctx.Now;
  for (const auto &[Name, Member] : Ctx.State.Membership.Members)
    if (Member.Record.Role == instance_role::Entry &&
        Name != Ctx.State.Options.Self.Name && !Member.Record.Leaving)
      Pending.Unacknowledged.insert(Name);
  Ctx.recordNote(note_kind::ChangeAccepted, "", {}, Pending.Command.Id.Text,
                 "revision " + std::to_string(Accepted.Value));
  tickCommands(Ctx);
}

/// Counts the data centres with entries, and those where all have the change
/// in force.
auto countDataCentres(const node_state &State, const pending_command &Pending)
    -> answer_command {
  std::map<data_centre_name, bool> InForce;
  const auto &Self = State.Options.Self;
  const bool InForceLocally =
      State.Configuration.Current->currentRevision() >= Pending.Accepted;
  InForce[Self.DataCentre] = InForceLocally;
  for (const auto &[Name, Member] : State.Membership.Members) {
    if (Member.Record.Role != instance_role::Entry || Name == Self.Name)
      continue;
    auto &AllEntries =
        InForce.try_emplace(Member.Record.DataCentre, true).first->second;
    AllEntries = AllEntries && !Pending.Unacknowledged.contains(Name);
  }
  answer_command Answer;
  Answer.Revision = Pending.Accepted;
  Answer.DataCentres = static_cast<std::uint32_t>(InForce.size());
  for (const auto &[Name, AllEntries] : InForce)
    Answer.DataCentresInForce += AllEntries ? 1 : 0;
  return Answer;
}

/// Ends a command at its deadline, by whether a write may have taken effect.
auto expireCommand(const context &Ctx, std::uint64_t Command,
                   const pending_command &Pending) -> void {
  if (Pending.MaybeWritten || Pending.Phase == command_phase::Writing)
    refuseCommand(
        Ctx, Command, result_code::ChangeOutcomeUnknown,
        "the table did not answer in time, and the change may have been "
        "applied; repeat the command with the same change id, " +
            Pending.Command.Id.Text);
  else
    refuseCommand(
        Ctx, Command, result_code::ChangeRefusedStoreDown,
        "the table did not answer in time; nothing was written, retry later");
}

auto tickPropagation(const context &Ctx, std::uint64_t Command,
                     pending_command &Pending) -> void {
  const auto Current = Ctx.State.Configuration.Current->currentRevision();
  const bool InForceLocally = Current >= Pending.Accepted;
  if ((InForceLocally && Pending.Unacknowledged.empty()) ||
      Ctx.Now >= Pending.PropagationDeadline) {
    answerCommand(Ctx, Command, countDataCentres(Ctx.State, Pending));
    return;
  }
  if (Ctx.Now < Pending.RetryAt)
    return;
  Pending.RetryAt = Ctx.Now + Ctx.State.Options.StoreRetry;
  if (InForceLocally)
    sendToUnacknowledged(Ctx, Pending);
  else
    readNewerChanges(Ctx);
}

auto tickCommand(const context &Ctx, std::uint64_t Command,
                 pending_command &Pending) -> void {
  if (Pending.Phase == command_phase::Propagating) {
    tickPropagation(Ctx, Command, Pending);
    return;
  }
  if (Ctx.Now >= Pending.Command.Deadline) {
    expireCommand(Ctx, Command, Pending);
    return;
  }
  if (!Pending.AwaitingReply && Ctx.Now >= Pending.RetryAt)
    readForCommand(Ctx, Command, Pending);
}

auto scheduleRetry(const context &Ctx, pending_command &Pending) -> void {
  Pending.AwaitingReply = false;
  Pending.Phase = command_phase::Reading;
  Pending.RetryAt = Ctx.Now + Ctx.State.Options.StoreRetry;
}

/// Decides on the command by the rows just read: propagates a change that was
/// already written, refuses a conflicting or invalid one, else writes it.
auto decideCommand(const context &Ctx, std::uint64_t Command,
                   pending_command &Pending, const table_replied &Event)
    -> void {
  auto &Configuration = Ctx.State.Configuration;
  revision Head;
  std::uint64_t HeadVersion = 0;
  for (const auto &Row : Event.Rows) {
    if (Row.Key != store_keys::Head) {
      startPropagation(Ctx, Pending, store_keys::parseRevision(Row.Value));
      return;
    }
    Head = store_keys::parseRevision(Row.Value);
    HeadVersion = Row.Version;
  }
  const auto Current = Configuration.Current->currentRevision();
  if (Current != Head) {
    Configuration.Head = std::max(Configuration.Head, Head);
    readNewerChanges(Ctx);
    scheduleRetry(Ctx, Pending);
    Pending.RetryAt = Ctx.Now;
    return;
  }
  // Refuses only when no earlier write of this command can still take effect,
  // because the head row has changed since and its condition fails.
  const bool EarlierWriteMayApply =
      Pending.MaybeWritten && Pending.WrittenAgainst == HeadVersion;
  if (!EarlierWriteMayApply) {
    if (const auto *Conflicting = findConflict(Configuration, Pending)) {
      refuseCommand(Ctx, Command, result_code::RevisionConflict,
                    describeConflict(*Conflicting, Pending));
      return;
    }
    if (Pending.Command.IfRevision && *Pending.Command.IfRevision != Current) {
      refuseCommand(Ctx, Command, result_code::RevisionConflict,
                    "the change was refused because the current revision is " +
                        std::to_string(Current.Value));
      return;
    }
    const change Proposed{
        Pending.Command.Id, {Current.Value + 1}, Pending.Command.Operations};
    auto Applied = Configuration.Current->apply(Proposed);
    if (!Applied) {
      const auto Error = Applied.error();
      refuseCommand(Ctx, Command, Error.Code, Error.Detail);
      return;
    }
  }
  writeCommand(Ctx, Command, Pending, HeadVersion);
}

auto writeSnapshotIfDue(const context &Ctx) -> void {
  const auto &Current = *Ctx.State.Configuration.Current;
  if (Current.currentRevision().Value % RevisionsPerSnapshot != 0)
    return;
  Ctx.emit(object_put{Ctx.State.nextTicket(), std::string(store_keys::Snapshot),
                      encodeChange(Current.snapshot())});
}

/// Handles the reply to the transaction that writes the change.
auto onWriteReply(const context &Ctx, pending_command &Pending,
                  const table_replied &Event) -> void {
  if (Event.Status == store_status::NoAnswer)
    Pending.MaybeWritten = true;
  if (Event.Status != store_status::Applied) {
    scheduleRetry(Ctx, Pending);
    if (Event.Status == store_status::Conflict)
      Pending.RetryAt = Ctx.Now;
    return;
  }
  applyChanges(Ctx, {{Pending.Command.Id, Pending.Accepted,
                      Pending.Command.Operations}});
  writeSnapshotIfDue(Ctx);
  startPropagation(Ctx, Pending, Pending.Accepted);
}

} // namespace

auto onCommand(const context &Ctx, const command_arrived &Event) -> void {
  auto &Configuration = Ctx.State.Configuration;
  auto &Pending = Configuration.Commands[Event.Command];
  Pending.Command = Event;
  Pending.BaseRevision = Configuration.Current->currentRevision();
  if (!Configuration.Loaded) {
    refuseCommand(
        Ctx, Event.Command, result_code::NotReady,
        "this entry has not loaded its configuration yet; retry later or at "
        "another entry");
    return;
  }
  if (Event.Operations.empty()) {
    refuseCommand(Ctx, Event.Command, result_code::InvalidDeclaration,
                  "the change has no operations");
    return;
  }
  readForCommand(Ctx, Event.Command, Pending);
}

auto cutCommands(const context &Ctx) -> void {
  auto &Commands = Ctx.State.Configuration.Commands;
  while (!Commands.empty()) {
    const auto &[Command, Pending] = *Commands.begin();
    if (Pending.Phase == command_phase::Propagating)
      answerCommand(Ctx, Command, countDataCentres(Ctx.State, Pending));
    else
      expireCommand(Ctx, Command, Pending);
  }
}

auto tickCommands(const context &Ctx) -> void {
  auto &Commands = Ctx.State.Configuration.Commands;
  for (auto Next = Commands.begin(); Next != Commands.end();) {
    const auto Current = Next++; // The tick may erase the command.
    tickCommand(Ctx, Current->first, Current->second);
  }
}

auto onCommandReply(const context &Ctx, std::uint64_t Command,
                    const table_replied &Event) -> void {
  auto &Commands = Ctx.State.Configuration.Commands;
  const auto Found = Commands.find(Command);
  if (Found == Commands.end())
    return;
  auto &Pending = Found->second;
  if (Pending.Phase == command_phase::Writing) {
    onWriteReply(Ctx, Pending, Event);
    return;
  }
  if (Event.Status != store_status::Applied) {
    scheduleRetry(Ctx, Pending);
    return;
  }
  decideCommand(Ctx, Command, Pending, Event);
}

auto onChangesAcknowledged(const context &Ctx,
                           const changes_acknowledged &Event) -> void {
  for (auto &[Number, Pending] : Ctx.State.Configuration.Commands)
    if (Event.Revision >= Pending.Accepted &&
        Pending.Phase == command_phase::Propagating)
      Pending.Unacknowledged.erase(Event.From);
  tickCommands(Ctx);
}

} // namespace limpetbridge::details
