// Operators' commands: one conditional transaction each, applied at most once.
#include "core/configuration.h"

#include "core/store_keys.h"
#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge::details {

namespace {

constexpr std::uint64_t SnapshotEvery = 256; ///< Revisions between snapshots.

auto answer(const context &Ctx, std::uint64_t Command, answer_command Answer)
    -> void {
  Answer.Command = Command;
  Ctx.emit(std::move(Answer));
  Ctx.State.Configuration.Commands.erase(Command);
}

auto refuse(const context &Ctx, std::uint64_t Command, result_code Code,
            std::string Detail) -> void {
  const auto &Pending = Ctx.State.Configuration.Commands.at(Command);
  Ctx.recordNote(note_kind::ChangeRefused, "", {}, Pending.Command.Id.Text,
                 Detail);
  answer(Ctx, Command,
         {0, Code, std::move(Detail),
          Ctx.State.Configuration.Current->currentRevision(), 0, 0});
}

auto touchesSame(const change &Change, const std::vector<operation> &Wanted)
    -> const operation * {
  for (const auto &Operation : Change.Operations)
    for (const auto &Each : Wanted)
      if (Operation.Kind == Each.Kind && Operation.Name == Each.Name)
        return &Operation;
  return nullptr;
}

/// The change that won against this command since the operator looked.
auto findWinner(const configuration_state &State,
                const pending_command &Pending) -> const change * {
  const auto &Command = Pending.Command;
  const auto Current = State.Current->currentRevision();
  if (Command.IfRevision && *Command.IfRevision != Current)
    return State.RecentChanges.empty() ? nullptr : &State.RecentChanges.back();
  for (const auto &Change : State.RecentChanges)
    if (Change.Revision > Pending.Base &&
        touchesSame(Change, Command.Operations) != nullptr)
      return &Change;
  return nullptr;
}

auto describeWinner(const change &Winner, const pending_command &Pending)
    -> std::string {
  std::string Text = "change " + Winner.Id.Text + " made revision " +
                     std::to_string(Winner.Revision.Value);
  if (const auto *Same = touchesSame(Winner, Pending.Command.Operations))
    Text += ": " + toString(*Same);
  return Text;
}

auto readForCommand(const context &Ctx, std::uint64_t Command,
                    pending_command &Pending) -> void {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Configuration.Reads[Ticket] = {config_read::Command, Command};
  Pending.Phase = command_phase::Reading;
  Pending.Waiting = true;
  Ctx.emit(table_read{Ticket,
                      {std::string(store_keys::Head),
                       store_keys::changeId(Pending.Command.Id)}});
}

auto writeCommand(const context &Ctx, std::uint64_t Command,
                  pending_command &Pending, std::uint64_t HeadVersion) -> void {
  auto &Configuration = Ctx.State.Configuration;
  const revision Next{Configuration.Current->currentRevision().Value + 1};
  const change Change{Pending.Command.Id, Next, Pending.Command.Operations};
  const auto IdKey = store_keys::changeId(Change.Id);
  const auto Ticket = Ctx.State.nextTicket();
  Configuration.Reads[Ticket] = {config_read::Command, Command};
  Pending.Phase = command_phase::Writing;
  Pending.Waiting = true;
  Pending.Accepted = Next;
  Pending.WrittenAgainst = HeadVersion;
  Ctx.emit(table_transact{
      Ticket,
      {{std::string(store_keys::Head), HeadVersion}, {IdKey, 0}},
      {{std::string(store_keys::Head), std::to_string(Next.Value)},
       {store_keys::change(Next), encodeChange(Change)},
       {IdKey, std::to_string(Next.Value)}}});
}

auto sendToAwaited(const context &Ctx, const pending_command &Pending) -> void {
  const auto &Configuration = Ctx.State.Configuration;
  const revision Before{Pending.Accepted.Value - 1};
  for (const auto &Name : Pending.Awaited) {
    const auto Found = Ctx.State.Membership.Members.find(Name);
    if (Found != Ctx.State.Membership.Members.end())
      Ctx.emit(send_changes{Name, Found->second.Record.Address,
                            changesAfter(Configuration, Before)});
  }
}

auto spread(const context &Ctx, pending_command &Pending, revision Accepted)
    -> void {
  Pending.Phase = command_phase::Spreading;
  Pending.Accepted = Accepted;
  Pending.Waiting = false;
  Pending.SpreadDeadline = Ctx.Now + Ctx.State.Options.SpreadTimeout;
  Pending.NextTry = Ctx.Now;
  for (const auto &[Name, Member] : Ctx.State.Membership.Members)
    if (Member.Record.Role == instance_role::Entry &&
        Name != Ctx.State.Options.Self.Name && !Member.Record.Leaving)
      Pending.Awaited.insert(Name);
  Ctx.recordNote(note_kind::ChangeAccepted, "", {}, Pending.Command.Id.Text,
                 "revision " + std::to_string(Accepted.Value));
  tickCommands(Ctx);
}

auto countDataCentres(const node_state &State, const pending_command &Pending)
    -> answer_command {
  std::map<data_centre_name, bool> InForce;
  const auto &Self = State.Options.Self;
  const bool HereInForce =
      State.Configuration.Current->currentRevision() >= Pending.Accepted;
  InForce[Self.DataCentre] = HereInForce;
  for (const auto &[Name, Member] : State.Membership.Members) {
    if (Member.Record.Role != instance_role::Entry || Name == Self.Name)
      continue;
    auto &All =
        InForce.try_emplace(Member.Record.DataCentre, true).first->second;
    All = All && !Pending.Awaited.contains(Name);
  }
  answer_command Answer;
  Answer.Revision = Pending.Accepted;
  Answer.DataCentres = static_cast<std::uint32_t>(InForce.size());
  for (const auto &[Name, All] : InForce)
    Answer.DataCentresInForce += All ? 1 : 0;
  return Answer;
}

auto expire(const context &Ctx, std::uint64_t Command,
            const pending_command &Pending) -> void {
  if (Pending.MaybeWritten || Pending.Phase == command_phase::Writing)
    refuse(Ctx, Command, result_code::ChangeOutcomeUnknown,
           "the table did not answer; repeat change id " +
               Pending.Command.Id.Text);
  else
    refuse(Ctx, Command, result_code::ChangeRefusedStoreDown,
           "the table did not answer; nothing was written");
}

auto tickSpreading(const context &Ctx, std::uint64_t Command,
                   pending_command &Pending) -> void {
  const auto Current = Ctx.State.Configuration.Current->currentRevision();
  const bool Here = Current >= Pending.Accepted;
  if ((Here && Pending.Awaited.empty()) || Ctx.Now >= Pending.SpreadDeadline) {
    answer(Ctx, Command, countDataCentres(Ctx.State, Pending));
    return;
  }
  if (Ctx.Now < Pending.NextTry)
    return;
  Pending.NextTry = Ctx.Now + Ctx.State.Options.StoreRetry;
  if (Here)
    sendToAwaited(Ctx, Pending);
  else
    readTail(Ctx);
}

auto tickCommand(const context &Ctx, std::uint64_t Command,
                 pending_command &Pending) -> void {
  if (Pending.Phase == command_phase::Spreading) {
    tickSpreading(Ctx, Command, Pending);
    return;
  }
  if (Ctx.Now >= Pending.Command.Deadline) {
    expire(Ctx, Command, Pending);
    return;
  }
  if (!Pending.Waiting && Ctx.Now >= Pending.NextTry)
    readForCommand(Ctx, Command, Pending);
}

auto retryLater(const context &Ctx, pending_command &Pending) -> void {
  Pending.Waiting = false;
  Pending.Phase = command_phase::Reading;
  Pending.NextTry = Ctx.Now + Ctx.State.Options.StoreRetry;
}

/// Decides on a fresh reading of head and change id.
auto decide(const context &Ctx, std::uint64_t Command, pending_command &Pending,
            const table_replied &Event) -> void {
  auto &Configuration = Ctx.State.Configuration;
  revision Head;
  std::uint64_t HeadVersion = 0;
  for (const auto &Row : Event.Rows) {
    if (Row.Key != store_keys::Head) {
      spread(Ctx, Pending, store_keys::parseRevision(Row.Value));
      return;
    }
    Head = store_keys::parseRevision(Row.Value);
    HeadVersion = Row.Version;
  }
  const auto Current = Configuration.Current->currentRevision();
  if (Current != Head) {
    Configuration.Head = std::max(Configuration.Head, Head);
    readTail(Ctx);
    retryLater(Ctx, Pending);
    Pending.NextTry = Ctx.Now;
    return;
  }
  // A refusal is proof only when no earlier write can still take effect: its
  // condition names a head that has moved on.
  const bool WriteMayLand =
      Pending.MaybeWritten && Pending.WrittenAgainst == HeadVersion;
  if (!WriteMayLand) {
    if (const auto *Winner = findWinner(Configuration, Pending)) {
      refuse(Ctx, Command, result_code::RevisionConflict,
             describeWinner(*Winner, Pending));
      return;
    }
    if (Pending.Command.IfRevision && *Pending.Command.IfRevision != Current) {
      refuse(Ctx, Command, result_code::RevisionConflict,
             "the current revision is " + std::to_string(Current.Value));
      return;
    }
    const change Proposed{
        Pending.Command.Id, {Current.Value + 1}, Pending.Command.Operations};
    auto Checked = Configuration.Current->apply(Proposed);
    if (!Checked) {
      const auto Error = Checked.error();
      refuse(Ctx, Command, Error.Code, Error.Detail);
      return;
    }
  }
  writeCommand(Ctx, Command, Pending, HeadVersion);
}

auto maybeWriteSnapshot(const context &Ctx) -> void {
  const auto &Current = *Ctx.State.Configuration.Current;
  if (Current.currentRevision().Value % SnapshotEvery != 0)
    return;
  Ctx.emit(object_put{Ctx.State.nextTicket(), std::string(store_keys::Snapshot),
                      encodeChange(Current.snapshot())});
}

auto takeWrite(const context &Ctx, pending_command &Pending,
               const table_replied &Event) -> void {
  if (Event.Status == store_status::NoAnswer)
    Pending.MaybeWritten = true;
  if (Event.Status != store_status::Applied) {
    retryLater(Ctx, Pending);
    if (Event.Status == store_status::Conflict)
      Pending.NextTry = Ctx.Now;
    return;
  }
  applyChanges(Ctx, {{Pending.Command.Id, Pending.Accepted,
                      Pending.Command.Operations}});
  maybeWriteSnapshot(Ctx);
  spread(Ctx, Pending, Pending.Accepted);
}

} // namespace

auto onCommand(const context &Ctx, const command_arrived &Event) -> void {
  auto &Configuration = Ctx.State.Configuration;
  auto &Pending = Configuration.Commands[Event.Command];
  Pending.Command = Event;
  Pending.Base = Configuration.Current->currentRevision();
  if (!Configuration.Loaded) {
    refuse(Ctx, Event.Command, result_code::NotReady,
           "this entry has not loaded its configuration");
    return;
  }
  if (Event.Operations.empty()) {
    refuse(Ctx, Event.Command, result_code::InvalidDeclaration,
           "the change has no operations");
    return;
  }
  readForCommand(Ctx, Event.Command, Pending);
}

auto tickCommands(const context &Ctx) -> void {
  auto &Commands = Ctx.State.Configuration.Commands;
  for (auto Next = Commands.begin(); Next != Commands.end();) {
    const auto Each = Next++;
    tickCommand(Ctx, Each->first, Each->second);
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
    takeWrite(Ctx, Pending, Event);
    return;
  }
  if (Event.Status != store_status::Applied) {
    retryLater(Ctx, Pending);
    return;
  }
  decide(Ctx, Command, Pending, Event);
}

auto onChangesAcknowledged(const context &Ctx,
                           const changes_acknowledged &Event) -> void {
  for (auto &[Number, Pending] : Ctx.State.Configuration.Commands)
    if (Event.Revision >= Pending.Accepted &&
        Pending.Phase == command_phase::Spreading)
      Pending.Awaited.erase(Event.From);
  tickCommands(Ctx);
}

} // namespace limpetbridge::details
