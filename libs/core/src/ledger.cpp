#include "core/ledger.h"

#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge {

auto ledger_entry::reserved() const -> std::uint64_t {
  const bool Free = State == unit_state::Absent && LateLoads.empty();
  return Free ? 0 : Bytes.Value;
}

auto ledger_state::reserved() const -> std::uint64_t {
  std::uint64_t Sum = 0;
  for (const auto &[What, Entry] : Entries)
    Sum += Entry.reserved();
  return Sum;
}

namespace details {

namespace {

constexpr auto OrderRetry = milliseconds(500);
constexpr unsigned SequenceBits = 32;

auto requestStore(const context &Ctx, ledger_request Kind, const loadable &What)
    -> ticket {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Ledger.Requests[Ticket] = {Kind, What};
  return Ticket;
}

/// Whether \p What is in \p Holdings, and its bytes by the engine's word.
auto findHolding(const std::vector<engine_holding> &Holdings,
                 const loadable &What) -> const engine_holding * {
  const auto Found = std::find_if(
      Holdings.begin(), Holdings.end(),
      [&](const engine_holding &Each) { return Each.What == What; });
  return Found == Holdings.end() ? nullptr : &*Found;
}

auto nextToken(ledger_state &Ledger) -> fencing_token {
  return {(Ledger.Epoch << SequenceBits) | Ledger.NextSequence++};
}

auto sendOrderAs(const context &Ctx, fencing_token Token, order_kind Kind,
                 const loadable &What, byte_count Bytes) -> void {
  Ctx.State.Ledger.Orders[Token] = {
      Kind, What, Ctx.Now + Ctx.State.Options.Agent.OrderTimeout};
  Ctx.recordNote(note_kind::OrderSent, "",
                 targetOf(Ctx.State.Options.Self.Name), "",
                 std::string(nameOf(Kind)) + " " + toString(What));
  Ctx.emit(send_order{Token, Kind, What, Bytes});
}

auto becomeResident(const context &Ctx, ledger_entry &Entry) -> void {
  Entry.State = unit_state::Resident;
  Entry.MayBeHeld = false;
  Entry.ResidentSince = Ctx.Now;
  Entry.LastUsed = Ctx.Now;
  Entry.Evicting = false;
}

auto becomeAbsent(const context &Ctx, ledger_entry &Entry) -> void {
  Entry.State = unit_state::Absent;
  Entry.MayBeHeld = false;
  Entry.RetryAt = Ctx.Now + OrderRetry;
  Entry.Evicting = false;
}

/// The next reading of the engine tells whether it holds the loadable.
auto becomeUncertain(const context &Ctx, ledger_entry &Entry) -> void {
  Entry.State = unit_state::Uncertain;
  Entry.MayBeHeld = false;
  Entry.CheckAt = Ctx.Now;
}

/// A load that provably did not act; an earlier one may have.
auto endFailedLoad(const context &Ctx, ledger_entry &Entry) -> void {
  const bool MayBeHeld = Entry.MayBeHeld;
  becomeAbsent(Ctx, Entry);
  if (MayBeHeld)
    becomeUncertain(Ctx, Entry);
}

/// Removes the intent row once no order of it can act any more.
auto maybeRemoveIntent(const context &Ctx, const loadable &What,
                       ledger_entry &Entry) -> void {
  const bool Settled =
      Entry.State == unit_state::Absent || Entry.State == unit_state::Resident;
  if (Entry.IntentVersion == 0 || !Settled || !Entry.LateLoads.empty())
    return;
  const auto Version = std::exchange(Entry.IntentVersion, 0);
  const auto Key = intentKey(Ctx.State, What);
  Ctx.emit(table_transact{requestStore(Ctx, ledger_request::RemoveIntent, What),
                          {{Key, Version}},
                          {{Key, std::nullopt}}});
}

/// A token of a higher epoch at the engine is proof of a successor.
auto checkSuperseded(const context &Ctx, fencing_token Highest) -> void {
  const auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Epoch != 0 && (Highest.Value >> SequenceBits) > Ledger.Epoch)
    becomeSuperseded(Ctx);
}

auto settleLoad(const context &Ctx, const pending_order &Order,
                const order_replied &Event, ledger_entry &Entry) -> void {
  switch (Event.Status) {
  case order_status::Done:
    Entry.LateLoads.erase(Event.Token);
    becomeResident(Ctx, Entry);
    break;
  case order_status::Stale:
  case order_status::Refused:
    Entry.LateLoads.erase(Event.Token);
    endFailedLoad(Ctx, Entry);
    break;
  case order_status::NoAnswer:
    Entry.State = unit_state::Uncertain;
    Entry.LateLoads.insert(Event.Token);
    Entry.CheckAt = Ctx.Now + OrderRetry;
    if (isMutated(Ctx.State.Options, mutation::ReleaseOnTimeout)) {
      Entry.LateLoads.clear();
      becomeAbsent(Ctx, Entry);
    }
    break;
  }
  maybeRemoveIntent(Ctx, Order.What, Entry);
}

auto settleUnload(const context &Ctx, const pending_order &Order,
                  const order_replied &Event, ledger_entry &Entry) -> void {
  switch (Event.Status) {
  case order_status::Done:
    // The snapshot of the reply confirms it, unless a newer one is known.
    becomeUncertain(Ctx, Entry);
    break;
  case order_status::Stale:
  case order_status::Refused:
    becomeResident(Ctx, Entry);
    break;
  case order_status::NoAnswer:
    Entry.State = unit_state::Uncertain;
    Entry.CheckAt = Ctx.Now + OrderRetry;
    if (isMutated(Ctx.State.Options, mutation::ReleaseOnTimeout))
      becomeAbsent(Ctx, Entry);
    break;
  }
  maybeRemoveIntent(Ctx, Order.What, Entry);
}

auto hasOrder(const ledger_entry &Entry) -> bool {
  return Entry.State == unit_state::Intending ||
         Entry.State == unit_state::Loading ||
         Entry.State == unit_state::Unloading;
}

/// An engine that checks tokens and executed this order will execute none
/// with a lower one.
auto fencedBelow(const ledger_state &Ledger, const order_replied &Event)
    -> fencing_token {
  const bool Fenced = Ledger.ChecksFence && Event.Status == order_status::Done;
  return Fenced ? Event.Token : fencing_token{};
}

/// A reply after the order was counted as unanswered. The order acts no more;
/// what it did is read from the snapshot that came with the reply, which is
/// ignored if a newer one was taken in meanwhile.
auto settleLate(const context &Ctx, const order_replied &Event) -> void {
  if (Event.Status == order_status::NoAnswer)
    return;
  for (auto &[What, Entry] : Ctx.State.Ledger.Entries) {
    if (Entry.LateLoads.erase(Event.Token) == 0)
      continue;
    if (Event.Status != order_status::Done)
      continue;
    if (hasOrder(Entry))
      Entry.MayBeHeld = true;
    else
      becomeUncertain(Ctx, Entry);
  }
  if (Event.Snapshot)
    adoptSnapshot(Ctx, *Event.Snapshot, fencedBelow(Ctx.State.Ledger, Event));
}

auto timeOutOrders(const context &Ctx) -> void {
  std::vector<fencing_token> Late;
  for (const auto &[Token, Order] : Ctx.State.Ledger.Orders)
    if (Ctx.Now >= Order.Deadline)
      Late.push_back(Token);
  for (const auto &Token : Late)
    onOrderReply(Ctx, {Token, order_status::NoAnswer, {}, std::nullopt});
}

auto isUncertain(const ledger_entry &Entry) -> bool {
  return Entry.State == unit_state::Uncertain || !Entry.LateLoads.empty();
}

/// Finds out about orders that went unanswered: an engine that checks tokens
/// is fenced, which ends them; any other is read until it shows them.
auto resolveUncertain(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  if (Ledger.Phase != authority_phase::Held)
    return;
  bool Needed = false;
  for (auto &[What, Entry] : Ledger.Entries) {
    if (!isUncertain(Entry) || Ctx.Now < Entry.CheckAt)
      continue;
    Needed = true;
    Entry.CheckAt = Ctx.Now + OrderRetry;
  }
  if (!Needed)
    return;
  if (!Ledger.ChecksFence) {
    Ledger.ReadAt = Ctx.Now;
    return;
  }
  const bool Fencing = std::any_of(
      Ledger.Orders.begin(), Ledger.Orders.end(),
      [](const auto &Each) { return Each.second.Kind == order_kind::Fence; });
  if (!Fencing)
    sendOrder(Ctx, order_kind::Fence, {}, {});
}

/// What the engine says of one entry that has no order under way.
auto adoptEntry(const context &Ctx, const engine_snapshot &Snapshot,
                const loadable &What, ledger_entry &Entry) -> void {
  const auto *Held = findHolding(Snapshot.Resident, What);
  const bool Loading = findHolding(Snapshot.Loading, What) != nullptr;
  if (Held != nullptr) {
    Entry.Bytes.Value = std::max(Entry.Bytes.Value, Held->Bytes.Value);
    if (Entry.State != unit_state::Resident)
      becomeResident(Ctx, Entry);
    return;
  }
  if (Loading) {
    Entry.State = unit_state::Uncertain;
    Entry.CheckAt = Ctx.Now + OrderRetry;
    return;
  }
  // Late loads, if any, keep the bytes reserved for this unit.
  if (Entry.State == unit_state::Resident ||
      Entry.State == unit_state::Uncertain)
    becomeAbsent(Ctx, Entry);
}

auto isHeldBy(const engine_snapshot &Snapshot, const loadable &What) -> bool {
  return findHolding(Snapshot.Resident, What) != nullptr ||
         findHolding(Snapshot.Loading, What) != nullptr;
}

auto addUnknownHoldings(ledger_state &Ledger,
                        const std::vector<engine_holding> &Holdings) -> void {
  for (const auto &Each : Holdings) {
    auto &Entry = Ledger.Entries[Each.What];
    Entry.Bytes.Value = std::max(Entry.Bytes.Value, Each.Bytes.Value);
    if (Entry.State == unit_state::Absent)
      Entry.State = unit_state::Uncertain;
  }
}

auto takeIntentReply(const context &Ctx, const loadable &What,
                     const table_replied &Event) -> void {
  auto &Ledger = Ctx.State.Ledger;
  auto &Entry = Ledger.Entries[What];
  if (Entry.State != unit_state::Intending)
    return;
  if (Event.Status == store_status::Applied) {
    for (const auto &Row : Event.Rows)
      if (Row.Key == intentKey(Ctx.State, What))
        Entry.IntentVersion = Row.Version;
    Entry.State = unit_state::Loading;
    sendOrderAs(Ctx, Entry.Order, order_kind::Load, What, Entry.Bytes);
    return;
  }
  endFailedLoad(Ctx, Entry);
  if (Event.Status == store_status::Conflict) {
    // The fence row moved: another agent is in charge, unless a row of this
    // agent's own stands there; reading the fence again tells.
    Ledger.Phase = authority_phase::ReadingFence;
    Ledger.RetryAt = Ctx.Now;
  }
}

} // namespace

auto sendOrder(const context &Ctx, order_kind Kind, const loadable &What,
               byte_count Bytes) -> fencing_token {
  const auto Token = nextToken(Ctx.State.Ledger);
  sendOrderAs(Ctx, Token, Kind, What, Bytes);
  return Token;
}

auto startLoad(const context &Ctx, const loadable &What, byte_count Bytes)
    -> void {
  auto &Ledger = Ctx.State.Ledger;
  auto &Entry = Ledger.Entries[What];
  Entry.Bytes.Value = std::max(Entry.Bytes.Value, Bytes.Value);
  Entry.Evicting = false;
  Ctx.emit(count_metric{"moves", "load"});
  if (Ledger.ChecksFence) {
    Entry.State = unit_state::Loading;
    Entry.Order = sendOrder(Ctx, order_kind::Load, What, Entry.Bytes);
    return;
  }
  // The intent stands in the table before the order leaves, so that a
  // successor keeps room for what this agent may still have under way.
  Entry.State = unit_state::Intending;
  Entry.Order = nextToken(Ledger);
  Ctx.emit(table_transact{requestStore(Ctx, ledger_request::WriteIntent, What),
                          {{fenceKey(Ctx.State), Ledger.FenceVersion}},
                          {{intentKey(Ctx.State, What),
                            intentValue(What, Entry.Bytes, Entry.Order)}}});
}

auto startUnload(const context &Ctx, const loadable &What) -> void {
  auto &Entry = Ctx.State.Ledger.Entries[What];
  Entry.State = unit_state::Unloading;
  Ctx.emit(count_metric{"moves", "unload"});
  Ctx.recordNote(note_kind::ModelEvicted, "",
                 targetOf(Ctx.State.Options.Self.Name), "", toString(What));
  Entry.Order = sendOrder(Ctx, order_kind::Unload, What, Entry.Bytes);
}

auto onOrderReply(const context &Ctx, const order_replied &Given) -> void {
  auto &Ledger = Ctx.State.Ledger;
  auto Event = Given;
  // Without a snapshot, later readings could not be told from earlier ones.
  if (Event.Status == order_status::Done && !Event.Snapshot)
    Event.Status = order_status::NoAnswer;
  const auto Found = Ledger.Orders.find(Event.Token);
  if (Event.Status == order_status::Stale)
    checkSuperseded(Ctx, Event.Highest);
  if (Found == Ledger.Orders.end()) {
    settleLate(Ctx, Event);
    pump(Ctx);
    return;
  }
  const auto Order = Found->second;
  Ledger.Orders.erase(Found);
  Ctx.recordNote(note_kind::OrderSettled, "",
                 targetOf(Ctx.State.Options.Self.Name), "",
                 std::string(nameOf(Order.Kind)) + " " + toString(Order.What) +
                     " " + std::string(nameOf(Event.Status)));
  if (Order.Kind == order_kind::Load)
    settleLoad(Ctx, Order, Event, Ledger.Entries[Order.What]);
  else if (Order.Kind == order_kind::Unload)
    settleUnload(Ctx, Order, Event, Ledger.Entries[Order.What]);
  if (Event.Snapshot)
    adoptSnapshot(Ctx, *Event.Snapshot, fencedBelow(Ledger, Event));
  if (Order.Kind == order_kind::Fence && Event.Status == order_status::Done)
    finishProbe(Ctx);
  pump(Ctx);
}

auto adoptSnapshot(const context &Ctx, const engine_snapshot &Snapshot,
                   fencing_token FencedBelow) -> void {
  auto &Ledger = Ctx.State.Ledger;
  const bool NewLife = Snapshot.Engine != Ledger.Engine;
  if (Ledger.EngineSeen && Snapshot.Engine < Ledger.Engine)
    return;
  if (Ledger.EngineSeen && !NewLife &&
      Snapshot.Sequence < Ledger.EngineSequence)
    return;
  for (const auto &Token : Snapshot.Executed)
    checkSuperseded(Ctx, Token);
  Ledger.Engine = Snapshot.Engine;
  Ledger.EngineSequence = Snapshot.Sequence;
  Ledger.EngineSeen = true;
  addUnknownHoldings(Ledger, Snapshot.Resident);
  addUnknownHoldings(Ledger, Snapshot.Loading);
  for (auto &[What, Entry] : Ledger.Entries) {
    for (const auto &Token : Snapshot.Executed)
      Entry.LateLoads.erase(Token);
    std::erase_if(Entry.LateLoads, [&](const fencing_token &Token) {
      return Token < FencedBelow;
    });
    if (hasOrder(Entry))
      Entry.MayBeHeld = Entry.MayBeHeld || isHeldBy(Snapshot, What);
    else
      adoptEntry(Ctx, Snapshot, What, Entry);
    maybeRemoveIntent(Ctx, What, Entry);
  }
}

auto onReport(const context &Ctx, const engine_reported &Event) -> void {
  adoptSnapshot(Ctx, Event.Snapshot, {});
  pump(Ctx);
}

auto onLedgerReply(const context &Ctx, const table_replied &Event) -> bool {
  auto &Requests = Ctx.State.Ledger.Requests;
  const auto Found = Requests.find(Event.Ticket);
  if (Found == Requests.end())
    return false;
  const auto Request = Found->second;
  Requests.erase(Found);
  if (Request.Kind == ledger_request::WriteIntent)
    takeIntentReply(Ctx, Request.What, Event);
  else
    onAuthorityReply(Ctx, Request, Event);
  pump(Ctx);
  return true;
}

auto isResident(const ledger_state &Ledger, const work &Work) -> bool {
  for (const auto &Each : neededBy(Work)) {
    const auto Found = Ledger.Entries.find(Each);
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
  timeOutOrders(Ctx);
  resolveUncertain(Ctx);
  if (Ctx.Now < Ledger.ReadAt)
    return;
  Ledger.ReadAt = Ctx.Now + Ctx.State.Options.Agent.ReportInterval;
  Ctx.emit(read_engine{});
}

} // namespace details

} // namespace limpetbridge
