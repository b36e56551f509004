// Sole authority over an engine: an agent acquires the fence row in the table,
// then accounts for the orders of a predecessor that may still be executed.
#include "core/ledger.h"

#include "core/store_keys.h"
#include "details/handlers.h"

#include <algorithm>
#include <sstream>

namespace limpetbridge::details {

namespace {

constexpr std::uint32_t IntentPage = 4096;

/// Registers a table request and returns its ticket.
auto beginRequest(const context &Ctx, ledger_request Kind) -> ticket {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Ledger.Requests[Ticket] = {Kind, {}};
  return Ticket;
}

/// True while a table request of the acquisition has no reply.
auto isAwaitingReply(const ledger_state &Ledger) -> bool {
  return std::any_of(
      Ledger.Requests.begin(), Ledger.Requests.end(), [](const auto &Request) {
        return Request.second.Kind == ledger_request::ReadFence ||
               Request.second.Kind == ledger_request::WriteFence ||
               Request.second.Kind == ledger_request::ReadIntents;
      });
}

/// Value of the fence row: the epoch and the incarnation that acquired it.
auto fenceValue(std::uint64_t Epoch, incarnation Holder) -> std::string {
  return std::to_string(Epoch) + " " + std::to_string(Holder.Value);
}

auto intentPrefix(const node_state &State) -> std::string {
  return std::string(store_keys::IntentPrefix) + State.Options.Self.Name.Text +
         "/";
}

/// Sends the table request of the current phase.
auto sendNextRequest(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  Ledger.RetryAt = Ctx.Now + Ctx.State.Options.StoreRetry;
  if (Ledger.Phase == authority_phase::ReadingFence) {
    Ctx.emit(table_read{beginRequest(Ctx, ledger_request::ReadFence),
                        {fenceKey(Ctx.State)}});
    return;
  }
  if (Ledger.Phase == authority_phase::ReadingIntents) {
    const auto Prefix = intentPrefix(Ctx.State);
    Ctx.emit(table_range{beginRequest(Ctx, ledger_request::ReadIntents), Prefix,
                         Prefix, IntentPage});
  }
}

/// Tries to acquire \p Epoch, on condition that the fence row is unchanged.
auto writeFence(const context &Ctx, std::uint64_t Epoch) -> void {
  auto &Ledger = Ctx.State.Ledger;
  Ledger.Phase = authority_phase::WritingFence;
  Ledger.ProposedEpoch = Epoch;
  Ctx.emit(table_transact{
      beginRequest(Ctx, ledger_request::WriteFence),
      {{fenceKey(Ctx.State), Ledger.FenceVersion}},
      {{fenceKey(Ctx.State),
        fenceValue(Epoch, Ctx.State.Options.Self.Incarnation)}}});
}

/// Parsed value of the fence row.
struct fence_row {
  std::uint64_t Epoch = 0;
  incarnation Holder;
};

auto parseFence(const std::string &Text) -> fence_row {
  fence_row Row;
  std::istringstream(Text) >> Row.Epoch >> Row.Holder.Value;
  return Row;
}

auto onFenceRead(const context &Ctx, const table_replied &Event) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Phase != authority_phase::ReadingFence ||
      Event.Status != store_status::Applied)
    return;
  fence_row Row;
  Ledger.FenceVersion = 0;
  for (const auto &Stored : Event.Rows) {
    Row = parseFence(Stored.Value);
    Ledger.FenceVersion = Stored.Version;
  }
  const auto Self = Ctx.State.Options.Self.Incarnation;
  const bool Own = Row.Holder == Self && Row.Epoch != 0;
  // A higher epoch in the table supersedes this agent; clocks play no part.
  if (!Own && Ledger.Epoch != 0 && Row.Epoch > Ledger.Epoch) {
    becomeSuperseded(Ctx);
    return;
  }
  if (Own) {
    // An earlier write of this agent took effect, but its reply was lost.
    Ledger.Epoch = Row.Epoch;
    Ledger.Phase = authority_phase::ReadingIntents;
    sendNextRequest(Ctx);
    return;
  }
  writeFence(Ctx, Row.Epoch + 1);
}

auto onFenceWritten(const context &Ctx, const table_replied &Event) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Phase != authority_phase::WritingFence)
    return;
  if (Event.Status != store_status::Applied) {
    Ledger.Phase = authority_phase::ReadingFence;
    return;
  }
  Ledger.Epoch = Ledger.ProposedEpoch;
  for (const auto &Row : Event.Rows)
    Ledger.FenceVersion = Row.Version;
  Ctx.recordNote(note_kind::FenceRaised, "",
                 targetOf(Ctx.State.Options.Self.Name), "",
                 "epoch " + std::to_string(Ledger.Epoch));
  Ledger.Phase = authority_phase::ReadingIntents;
  sendNextRequest(Ctx);
}

/// Parsed intent row: a load order that may still be executed.
struct intent_row {
  loadable What;
  byte_count Bytes;
  fencing_token Token;
};

auto parseIntent(const std::string &Value) -> intent_row {
  std::istringstream Lines(Value);
  intent_row Intent;
  std::getline(Lines, Intent.What.Unit.Text);
  std::getline(Lines, Intent.What.Adapter.Text);
  Lines >> Intent.Bytes.Value >> Intent.Token.Value;
  return Intent;
}

/// Reserves memory for a load that a predecessor may have ordered, until the
/// engine reports that it was executed or that the token is fenced off.
auto reserveForIntent(const context &Ctx, const table_row &Row) -> void {
  const auto Intent = parseIntent(Row.Value);
  auto &Entry = Ctx.State.Ledger.Entries[Intent.What];
  Entry.Bytes.Value = std::max(Entry.Bytes.Value, Intent.Bytes.Value);
  Entry.UnresolvedLoads.insert(Intent.Token);
  Entry.IntentVersion = Row.Version;
  if (Entry.State == unit_state::Absent)
    Entry.State = unit_state::Uncertain;
}

auto onIntentsRead(const context &Ctx, const table_replied &Event) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Phase != authority_phase::ReadingIntents ||
      Event.Status != store_status::Applied)
    return;
  for (const auto &Row : Event.Rows)
    reserveForIntent(Ctx, Row);
  Ledger.Phase = authority_phase::Probing;
  Ledger.RetryAt = Ctx.Now;
}

} // namespace

auto becomeSuperseded(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Phase == authority_phase::Superseded)
    return;
  Ledger.Phase = authority_phase::Superseded;
  Ctx.recordNote(note_kind::FenceRaised, "",
                 targetOf(Ctx.State.Options.Self.Name), "",
                 "another agent has taken over; this one ends");
  onDrain(Ctx);
}

auto fenceKey(const node_state &State) -> std::string {
  return std::string(store_keys::FencePrefix) + State.Options.Self.Name.Text;
}

auto intentValue(const loadable &Loadable, byte_count Bytes,
                 fencing_token Token) -> std::string {
  return Loadable.Unit.Text + "\n" + Loadable.Adapter.Text + "\n" +
         std::to_string(Bytes.Value) + " " + std::to_string(Token.Value);
}

auto intentKey(const node_state &State, const loadable &Loadable)
    -> std::string {
  return intentPrefix(State) + toString(Loadable);
}

auto onAuthorityReply(const context &Ctx, const pending_ledger_request &Request,
                      const table_replied &Event) -> void {
  switch (Request.Kind) {
  case ledger_request::ReadFence:
    onFenceRead(Ctx, Event);
    return;
  case ledger_request::WriteFence:
    onFenceWritten(Ctx, Event);
    return;
  case ledger_request::ReadIntents:
    onIntentsRead(Ctx, Event);
    return;
  case ledger_request::WriteIntent:
  case ledger_request::RemoveIntent:
    return;
  }
}

auto tickAuthority(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  const bool Decided = Ledger.Phase == authority_phase::Held ||
                       Ledger.Phase == authority_phase::Superseded;
  if (Decided || isAwaitingReply(Ledger) || Ctx.Now < Ledger.RetryAt)
    return;
  if (Ledger.Phase != authority_phase::Probing) {
    sendNextRequest(Ctx);
    return;
  }
  // The reply to an order has the current state; a read may be out of date.
  Ledger.RetryAt = Ctx.Now + Ctx.State.Options.StoreRetry;
  if (Ledger.Orders.empty())
    sendOrder(Ctx, order_kind::Fence, {}, {});
}

auto finishProbe(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Phase == authority_phase::Probing)
    Ledger.Phase = authority_phase::Held;
}

} // namespace limpetbridge::details
