#include "core/ledger.h"

#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge {

auto ledger_entry::reservedBytes() const -> std::uint64_t {
  const bool Free = State == unit_state::Absent && UnresolvedLoads.empty();
  return Free ? 0 : Bytes.Value;
}

auto ledger_state::reservedBytes() const -> std::uint64_t {
  std::uint64_t Sum = 0;
  for (const auto &[Loadable, Entry] : Entries)
    Sum += Entry.reservedBytes();
  return Sum;
}

namespace details {

namespace {

constexpr auto OrderRetryDelay = milliseconds(500);
constexpr unsigned SequenceBits = 32;

auto newTableRequest(const context &Ctx, ledger_request Kind,
                     const loadable &Loadable) -> ticket {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Ledger.Requests[Ticket] = {Kind, Loadable};
  return Ticket;
}

/// The holding of \p Loadable as reported by the engine; null if there is none.
auto findHolding(const std::vector<engine_holding> &Holdings,
                 const loadable &Loadable) -> const engine_holding * {
  const auto Found = std::find_if(
      Holdings.begin(), Holdings.end(),
      [&](const engine_holding &Holding) { return Holding.What == Loadable; });
  return Found == Holdings.end() ? nullptr : &*Found;
}

auto nextToken(ledger_state &Ledger) -> fencing_token {
  return {(Ledger.Epoch << SequenceBits) | Ledger.NextSequence++};
}

auto sendOrderWithToken(const context &Ctx, fencing_token Token,
                        order_kind Kind, const loadable &Loadable,
                        byte_count Bytes) -> void {
  Ctx.State.Ledger.Orders[Token] = {
      Kind, Loadable, Ctx.Now + Ctx.State.Options.Agent.OrderTimeout};
  Ctx.recordNote(note_kind::OrderSent, "",
                 targetOf(Ctx.State.Options.Self.Name), "",
                 std::string(nameOf(Kind)) + " " + toString(Loadable));
  Ctx.emit(send_order{Token, Kind, Loadable, Bytes});
}

auto markResident(const context &Ctx, ledger_entry &Entry) -> void {
  Entry.State = unit_state::Resident;
  Entry.MayBeResident = false;
  Entry.ResidentSince = Ctx.Now;
  Entry.LastUsed = Ctx.Now;
  Entry.Evicting = false;
}

auto markAbsent(const context &Ctx, ledger_entry &Entry) -> void {
  Entry.State = unit_state::Absent;
  Entry.MayBeResident = false;
  Entry.RetryAt = Ctx.Now + OrderRetryDelay;
  Entry.Evicting = false;
}

/// Marks the state as unknown until the next engine snapshot.
auto markUncertain(const context &Ctx, ledger_entry &Entry) -> void {
  Entry.State = unit_state::Uncertain;
  Entry.MayBeResident = false;
  Entry.NextCheckAt = Ctx.Now;
}

/// Ends a load that provably did not execute. An earlier unresolved load may
/// have executed, in which case the engine is checked.
auto endFailedLoad(const context &Ctx, ledger_entry &Entry) -> void {
  const bool MayBeResident = Entry.MayBeResident;
  markAbsent(Ctx, Entry);
  if (MayBeResident)
    markUncertain(Ctx, Entry);
}

/// Removes the intent row once none of its load orders can still execute.
auto removeIntentIfSettled(const context &Ctx, const loadable &Loadable,
                           ledger_entry &Entry) -> void {
  const bool Settled =
      Entry.State == unit_state::Absent || Entry.State == unit_state::Resident;
  if (Entry.IntentVersion == 0 || !Settled || !Entry.UnresolvedLoads.empty())
    return;
  const auto Version = std::exchange(Entry.IntentVersion, 0);
  const auto Key = intentKey(Ctx.State, Loadable);
  Ctx.emit(table_transact{
      newTableRequest(Ctx, ledger_request::RemoveIntent, Loadable),
      {{Key, Version}},
      {{Key, std::nullopt}}});
}

/// Ends this agent's authority if the engine has seen a token of a higher
/// epoch, which only a successor can have sent.
auto checkSuperseded(const context &Ctx, fencing_token Highest) -> void {
  const auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Epoch != 0 && (Highest.Value >> SequenceBits) > Ledger.Epoch)
    becomeSuperseded(Ctx);
}

auto settleLoad(const context &Ctx, const pending_order &Order,
                const order_replied &Event, ledger_entry &Entry) -> void {
  switch (Event.Status) {
  case order_status::Done:
    Entry.UnresolvedLoads.erase(Event.Token);
    markResident(Ctx, Entry);
    break;
  case order_status::Stale:
  case order_status::Refused:
    Entry.UnresolvedLoads.erase(Event.Token);
    endFailedLoad(Ctx, Entry);
    break;
  case order_status::NoAnswer:
    Entry.State = unit_state::Uncertain;
    Entry.UnresolvedLoads.insert(Event.Token);
    Entry.NextCheckAt = Ctx.Now + OrderRetryDelay;
    if (isMutated(Ctx.State.Options, mutation::ReleaseOnTimeout)) {
      Entry.UnresolvedLoads.clear();
      markAbsent(Ctx, Entry);
    }
    break;
  }
  removeIntentIfSettled(Ctx, Order.Loadable, Entry);
}

auto settleUnload(const context &Ctx, const pending_order &Order,
                  const order_replied &Event, ledger_entry &Entry) -> void {
  switch (Event.Status) {
  case order_status::Done:
    // The reply's snapshot confirms the unload, unless a newer one was applied.
    markUncertain(Ctx, Entry);
    break;
  case order_status::Stale:
  case order_status::Refused:
    markResident(Ctx, Entry);
    break;
  case order_status::NoAnswer:
    Entry.State = unit_state::Uncertain;
    Entry.NextCheckAt = Ctx.Now + OrderRetryDelay;
    if (isMutated(Ctx.State.Options, mutation::ReleaseOnTimeout))
      markAbsent(Ctx, Entry);
    break;
  }
  removeIntentIfSettled(Ctx, Order.Loadable, Entry);
}

auto hasOrderInFlight(const ledger_entry &Entry) -> bool {
  return Entry.State == unit_state::Intending ||
         Entry.State == unit_state::Loading ||
         Entry.State == unit_state::Unloading;
}

/// Tokens below the result can no longer execute: an engine that checks tokens
/// and has executed this order refuses all lower ones.
auto fencedBelow(const ledger_state &Ledger, const order_replied &Event)
    -> fencing_token {
  const bool Fenced = Ledger.ChecksFence && Event.Status == order_status::Done;
  return Fenced ? Event.Token : fencing_token{};
}

/// Handles a reply that arrives after its order timed out. The order cannot
/// execute any more; its effect is read from the snapshot in the reply, which
/// is ignored if a newer one has been applied.
auto settleUnansweredOrder(const context &Ctx, const order_replied &Event)
    -> void {
  if (Event.Status == order_status::NoAnswer)
    return;
  for (auto &[Loadable, Entry] : Ctx.State.Ledger.Entries) {
    if (Entry.UnresolvedLoads.erase(Event.Token) == 0)
      continue;
    if (Event.Status != order_status::Done)
      continue;
    if (hasOrderInFlight(Entry))
      Entry.MayBeResident = true;
    else
      markUncertain(Ctx, Entry);
  }
  if (Event.Snapshot)
    applyEngineSnapshot(Ctx, *Event.Snapshot,
                        fencedBelow(Ctx.State.Ledger, Event));
}

auto expireOrders(const context &Ctx) -> void {
  std::vector<fencing_token> Expired;
  for (const auto &[Token, Order] : Ctx.State.Ledger.Orders)
    if (Ctx.Now >= Order.Deadline)
      Expired.push_back(Token);
  for (const auto &Token : Expired)
    onOrderReply(Ctx, {Token, order_status::NoAnswer, {}, std::nullopt});
}

auto isUnresolved(const ledger_entry &Entry) -> bool {
  return Entry.State == unit_state::Uncertain || !Entry.UnresolvedLoads.empty();
}

/// Resolves unanswered orders. An engine that checks tokens is fenced, after
/// which they cannot execute; any other engine is read until its snapshot shows
/// that they did.
auto checkUnresolvedOrders(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Phase != authority_phase::Held)
    return;
  bool Needed = false;
  for (auto &[Loadable, Entry] : Ledger.Entries) {
    if (!isUnresolved(Entry) || Ctx.Now < Entry.NextCheckAt)
      continue;
    Needed = true;
    Entry.NextCheckAt = Ctx.Now + OrderRetryDelay;
  }
  if (!Needed)
    return;
  if (!Ledger.ChecksFence) {
    Ledger.NextReadAt = Ctx.Now;
    return;
  }
  const bool Fencing = std::any_of(
      Ledger.Orders.begin(), Ledger.Orders.end(),
      [](const auto &Order) { return Order.second.Kind == order_kind::Fence; });
  if (!Fencing)
    sendOrder(Ctx, order_kind::Fence, {}, {});
}

/// Applies an engine snapshot to an entry that has no order in flight.
auto applySnapshotToEntry(const context &Ctx, const engine_snapshot &Snapshot,
                          const loadable &Loadable, ledger_entry &Entry)
    -> void {
  const auto *Held = findHolding(Snapshot.Resident, Loadable);
  const bool Loading = findHolding(Snapshot.Loading, Loadable) != nullptr;
  if (Held != nullptr) {
    Entry.Bytes.Value = std::max(Entry.Bytes.Value, Held->Bytes.Value);
    if (Entry.State != unit_state::Resident)
      markResident(Ctx, Entry);
    return;
  }
  if (Loading) {
    Entry.State = unit_state::Uncertain;
    Entry.NextCheckAt = Ctx.Now + OrderRetryDelay;
    return;
  }
  // Unresolved loads, if any, keep the bytes reserved.
  if (Entry.State == unit_state::Resident ||
      Entry.State == unit_state::Uncertain)
    markAbsent(Ctx, Entry);
}

auto isInSnapshot(const engine_snapshot &Snapshot, const loadable &Loadable)
    -> bool {
  return findHolding(Snapshot.Resident, Loadable) != nullptr ||
         findHolding(Snapshot.Loading, Loadable) != nullptr;
}

auto addUnknownHoldings(ledger_state &Ledger,
                        const std::vector<engine_holding> &Holdings) -> void {
  for (const auto &Holding : Holdings) {
    auto &Entry = Ledger.Entries[Holding.What];
    Entry.Bytes.Value = std::max(Entry.Bytes.Value, Holding.Bytes.Value);
    if (Entry.State == unit_state::Absent)
      Entry.State = unit_state::Uncertain;
  }
}

auto handleIntentReply(const context &Ctx, const loadable &Loadable,
                       const table_replied &Event) -> void {
  auto &Ledger = Ctx.State.Ledger;
  auto &Entry = Ledger.Entries[Loadable];
  if (Entry.State != unit_state::Intending)
    return;
  if (Event.Status == store_status::Applied) {
    for (const auto &Row : Event.Rows)
      if (Row.Key == intentKey(Ctx.State, Loadable))
        Entry.IntentVersion = Row.Version;
    Entry.State = unit_state::Loading;
    sendOrderWithToken(Ctx, Entry.Order, order_kind::Load, Loadable,
                       Entry.Bytes);
    return;
  }
  endFailedLoad(Ctx, Entry);
  if (Event.Status == store_status::Conflict) {
    // The fence row has changed. Reading it again shows whether another agent
    // wrote it or this one did.
    Ledger.Phase = authority_phase::ReadingFence;
    Ledger.RetryAt = Ctx.Now;
  }
}

} // namespace

auto sendOrder(const context &Ctx, order_kind Kind, const loadable &Loadable,
               byte_count Bytes) -> fencing_token {
  const auto Token = nextToken(Ctx.State.Ledger);
  sendOrderWithToken(Ctx, Token, Kind, Loadable, Bytes);
  return Token;
}

auto startLoad(const context &Ctx, const loadable &Loadable, byte_count Bytes)
    -> void {
  auto &Ledger = Ctx.State.Ledger;
  auto &Entry = Ledger.Entries[Loadable];
  Entry.Bytes.Value = std::max(Entry.Bytes.Value, Bytes.Value);
  Entry.Evicting = false;
  Ctx.emit(count_metric{"moves", "load"});
  if (Ledger.ChecksFence) {
    Entry.State = unit_state::Loading;
    Entry.Order = sendOrder(Ctx, order_kind::Load, Loadable, Entry.Bytes);
    return;
  }
  // The intent row is written before the order is sent, so that a successor
  // keeps memory reserved for a load that may still execute.
  Entry.State = unit_state::Intending;
  Entry.Order = nextToken(Ledger);
  Ctx.emit(table_transact{
      newTableRequest(Ctx, ledger_request::WriteIntent, Loadable),
      {{fenceKey(Ctx.State), Ledger.FenceVersion}},
      {{intentKey(Ctx.State, Loadable),
        intentValue(Loadable, Entry.Bytes, Entry.Order)}}});
}

auto startUnload(const context &Ctx, const loadable &Loadable) -> void {
  auto &Entry = Ctx.State.Ledger.Entries[Loadable];
  Entry.State = unit_state::Unloading;
  Ctx.emit(count_metric{"moves", "unload"});
  Ctx.recordNote(note_kind::ModelEvicted, "",
                 targetOf(Ctx.State.Options.Self.Name), "", toString(Loadable));
  Entry.Order = sendOrder(Ctx, order_kind::Unload, Loadable, Entry.Bytes);
}

auto onOrderReply(const context &Ctx, const order_replied &Reply) -> void {
  auto &Ledger = Ctx.State.Ledger;
  auto Event = Reply;
  // Without a snapshot in the reply, it cannot be ordered before or after other
  // readings of the engine, so the order counts as unanswered.
  if (Event.Status == order_status::Done && !Event.Snapshot)
    Event.Status = order_status::NoAnswer;
  const auto Found = Ledger.Orders.find(Event.Token);
  if (Event.Status == order_status::Stale)
    checkSuperseded(Ctx, Event.Highest);
  if (Found == Ledger.Orders.end()) {
    settleUnansweredOrder(Ctx, Event);
    scheduleQueuedWork(Ctx);
    return;
  }
  const auto Order = Found->second;
  Ledger.Orders.erase(Found);
  Ctx.recordNote(
      note_kind::OrderSettled, "", targetOf(Ctx.State.Options.Self.Name), "",
      std::string(nameOf(Order.Kind)) + " " + toString(Order.Loadable) + " " +
          std::string(nameOf(Event.Status)));
  if (Order.Kind == order_kind::Load)
    settleLoad(Ctx, Order, Event, Ledger.Entries[Order.Loadable]);
  else if (Order.Kind == order_kind::Unload)
    settleUnload(Ctx, Order, Event, Ledger.Entries[Order.Loadable]);
  if (Event.Snapshot)
    applyEngineSnapshot(Ctx, *Event.Snapshot, fencedBelow(Ledger, Event));
  if (Order.Kind == order_kind::Fence && Event.Status == order_status::Done)
    finishProbe(Ctx);
  scheduleQueuedWork(Ctx);
}

auto applyEngineSnapshot(const context &Ctx, const engine_snapshot &Snapshot,
                         fencing_token FencedBelow) -> void {
  auto &Ledger = Ctx.State.Ledger;
  const bool EngineRestarted = Snapshot.Engine != Ledger.EngineIncarnation;
  if (Ledger.HasSnapshot && Snapshot.Engine < Ledger.EngineIncarnation)
    return;
  if (Ledger.HasSnapshot && !EngineRestarted &&
      Snapshot.Sequence < Ledger.EngineSequence)
    return;
  for (const auto &Token : Snapshot.Executed)
    checkSuperseded(Ctx, Token);
  Ledger.EngineIncarnation = Snapshot.Engine;
  Ledger.EngineSequence = Snapshot.Sequence;
  Ledger.HasSnapshot = true;
  addUnknownHoldings(Ledger, Snapshot.Resident);
  addUnknownHoldings(Ledger, Snapshot.Loading);
  for (auto &[Loadable, Entry] : Ledger.Entries) {
    for (const auto &Token : Snapshot.Executed)
      Entry.UnresolvedLoads.erase(Token);
    std::erase_if(Entry.UnresolvedLoads, [&](const fencing_token &Token) {
      return Token < FencedBelow;
    });
    if (hasOrderInFlight(Entry))
      Entry.MayBeResident =
          Entry.MayBeResident || isInSnapshot(Snapshot, Loadable);
    else
      applySnapshotToEntry(Ctx, Snapshot, Loadable, Entry);
    removeIntentIfSettled(Ctx, Loadable, Entry);
  }
}

auto onEngineReport(const context &Ctx, const engine_reported &Event) -> void {
  applyEngineSnapshot(Ctx, Event.Snapshot, {});
  scheduleQueuedWork(Ctx);
}

auto onLedgerReply(const context &Ctx, const table_replied &Event) -> bool {
  auto &Requests = Ctx.State.Ledger.Requests;
  const auto Found = Requests.find(Event.Ticket);
  if (Found == Requests.end())
    return false;
  const auto Request = Found->second;
  Requests.erase(Found);
  if (Request.Kind == ledger_request::WriteIntent)
    handleIntentReply(Ctx, Request.Loadable, Event);
  else
    onAuthorityReply(Ctx, Request, Event);
  scheduleQueuedWork(Ctx);
  return true;
}

auto isResident(const ledger_state &Ledger, const work &Work) -> bool {
  for (const auto &Loadable : requiredLoadables(Work)) {
    const auto Found = Ledger.Entries.find(Loadable);
    if (Found == Ledger.Entries.end() ||
        Found->second.State != unit_state::Resident || Found->second.Evicting)
      return false;
  }
  return true;
}

auto tickLedger(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ctx.State.Options.Agent.Kind != target_kind::Engine)
    return;
  tickAuthority(Ctx);
  expireOrders(Ctx);
  checkUnresolvedOrders(Ctx);
  if (Ctx.Now < Ledger.NextReadAt)
    return;
  Ledger.NextReadAt = Ctx.Now + Ctx.State.Options.Agent.ReportInterval;
  Ctx.emit(read_engine{});
}

} // namespace details

} // namespace limpetbridge
