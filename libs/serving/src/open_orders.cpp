#include "serving/open_orders.h"

#include <algorithm>
#include <set>

namespace limpetbridge::serving {

namespace {

/// True if a target that has nothing loaded holds what any \p Count orders may
/// load.
auto fitAnyOrders(const engine_spec &Engine, std::uint64_t Count) -> bool {
  double LargestMb = 0;
  for (const auto &[Name, Model] : Engine.Models)
    LargestMb = std::max({LargestMb, Model.WeightsMb, Model.AdapterMb});
  return Count <= Engine.AdapterSlots &&
         static_cast<double>(Count) * LargestMb <= Engine.WeightsMb;
}

} // namespace

auto open_orders::takeOver(const std::optional<order_handover> &Predecessor,
                           time_point StartedAt) -> void {
  Inherited = Predecessor.value_or(order_handover{});
  const bool MayBeOpen = Predecessor && Predecessor->HasOpenOrders;
  PredecessorsExpireAt = MayBeOpen ? StartedAt + OpenOrderTime : StartedAt;
}

auto open_orders::add(const target_name &Target, std::uint64_t Incarnation,
                      open_order Order, time_point SentAt) -> std::uint64_t {
  std::erase_if(Entries,
                [&](const entry &Entry) { return Entry.ExpiresAt <= SentAt; });
  Entries.push_back({++LastNumber, Target, Incarnation, std::move(Order),
                     SentAt + OpenOrderTime, SentAt + AnswerTime});
  return LastNumber;
}

auto open_orders::settle(std::uint64_t Number, bool IsAnswered) -> void {
  const auto Settled =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const entry &Entry) { return Entry.Number == Number; });
  if (Settled == Entries.end())
    return;
  if (IsAnswered) {
    Entries.erase(Settled);
    return;
  }
  Settled->DueAt = time_point();
  // The same order is sent again while it has no answer; the last one is open
  // for the longest time.
  const auto Last = *Settled;
  std::erase_if(Entries, [&](const entry &Entry) {
    return Entry.Number < Last.Number && Entry.Target == Last.Target &&
           Entry.Incarnation == Last.Incarnation && Entry.Order == Last.Order;
  });
}

auto open_orders::isOpen(std::uint64_t Number) const -> bool {
  return std::any_of(Entries.begin(), Entries.end(), [&](const entry &Entry) {
    return Entry.Number == Number;
  });
}

auto open_orders::list(const target_name &Target, time_point Now) const
    -> std::vector<open_order> {
  std::vector<open_order> Open;
  for (const auto &Entry : Entries)
    if (Entry.Target == Target && Entry.ExpiresAt > Now)
      Open.push_back(Entry.Order);
  return Open;
}

auto open_orders::observe(const engine_report &Report) -> void {
  LastIncarnation = Report.Incarnation;
  LastSequence = Report.Sequence;
  if (Report.Incarnation == Inherited.Incarnation && !InheritedSequence)
    InheritedSequence = Report.Sequence;
}

auto open_orders::isSettled(std::uint64_t Incarnation, time_point Now) const
    -> bool {
  if (Now < PredecessorsExpireAt &&
      (Incarnation == 0 || Incarnation != Inherited.Incarnation))
    return false;
  return std::all_of(Entries.begin(), Entries.end(), [&](const entry &Entry) {
    return Entry.ExpiresAt <= Now || Entry.Incarnation == Incarnation;
  });
}

auto open_orders::hasGap(std::uint64_t Incarnation, std::uint64_t Sequence,
                         time_point Now) const -> bool {
  const bool IsInherited = Incarnation == Inherited.Incarnation;
  if (IsInherited && Inherited.HasGap)
    return true;
  std::uint64_t First = 0;
  if (Now < PredecessorsExpireAt)
    First = InheritedSequence.value_or(Sequence) + 1;
  std::set<std::uint64_t> OpenSequences;
  for (const auto &Entry : Entries)
    if (Entry.ExpiresAt > Now && Entry.Order.Sequence >= First &&
        Entry.Order.Sequence < Sequence)
      OpenSequences.insert(Entry.Order.Sequence);
  return First + OpenSequences.size() < Sequence;
}

auto open_orders::mayOrder(const engine_spec &Engine,
                           const engine_report &Report, time_point Now) const
    -> bool {
  if (Now >= PredecessorsExpireAt)
    return true;
  if (Report.Incarnation == 0 || Report.Incarnation != Inherited.Incarnation)
    return false;
  return hasGap(Report.Incarnation, Report.Sequence, Now) ||
         fitAnyOrders(Engine, Report.Sequence + 1);
}

auto open_orders::handover(time_point Now) const -> order_handover {
  const bool HasOpenOrders =
      Now < PredecessorsExpireAt ||
      std::any_of(Entries.begin(), Entries.end(), [&](const entry &Entry) {
        return Entry.DueAt <= Now && Entry.ExpiresAt > Now;
      });
  if (!HasOpenOrders)
    return {false, 0, false};
  if (!isSettled(LastIncarnation, Now))
    return {true, Inherited.Incarnation, Inherited.HasGap};
  return {true, LastIncarnation, hasGap(LastIncarnation, LastSequence, Now)};
}

} // namespace limpetbridge::serving
