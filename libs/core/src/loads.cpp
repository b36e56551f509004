// Loads on demand and evictions: which loadables get memory, and which of the
// loaded ones give it up.
#include "core/ledger.h"

#include "details/handlers.h"

#include <algorithm>
#include <set>

namespace limpetbridge::details {

namespace {

/// Home rank of a unit's first home and of its only copy, which may displace
/// any other copy.
constexpr std::uint8_t FirstHome = 0;
/// Longest wait of work for an extra copy.
constexpr auto ExtraCopyWaitLimit = milliseconds(200);
/// A loaded copy is not evicted earlier, unless the demand is urgent.
constexpr auto MinResidency = seconds(2);
/// A demand for memory is urgent once its work has waited longer than this.
constexpr auto UrgentWait = seconds(1);

auto bytesOf(const work &Work, const loadable &Loadable) -> byte_count {
  return Loadable.Adapter.empty() ? Work.Memory : Work.AdapterMemory;
}

/// A demand for memory that must be freed.
struct memory_demand {
  std::uint64_t Shortfall = 0; ///< Bytes to free.
  std::uint8_t HomeRank = 255; ///< Position of this target in the homes.
  bool Urgent = false;         ///< Its work has waited longer than UrgentWait.
};

/// A loadable that may be evicted.
struct victim {
  loadable Loadable;
  ledger_entry *Entry;
};

auto isAdapterOf(const loadable &Adapter, const loadable &Unit) -> bool {
  return !Adapter.Adapter.empty() && Adapter.Unit == Unit.Unit;
}

auto hasAdapters(const ledger_state &Ledger, const loadable &Unit) -> bool {
  if (!Unit.Adapter.empty())
    return false;
  return std::any_of(Ledger.Entries.begin(), Ledger.Entries.end(),
                     [&](const auto &Item) {
                       return isAdapterOf(Item.first, Unit) &&
                              Item.second.State != unit_state::Absent;
                     });
}

auto queuedLoadables(const context &Ctx) -> std::set<loadable> {
  std::set<loadable> Queued;
  for (const auto &[Id, Work] : Ctx.State.Admission.WorkItems) {
    if (Work.Phase != work_phase::Queued)
      continue;
    for (auto &Loadable : requiredLoadables(Work.Offer.Work))
      Queued.insert(std::move(Loadable));
  }
  return Queued;
}

/// Eviction order: copies that belong on other targets (highest home rank)
/// first, then the least recently used. A first home keeps its copy longest,
/// since it may be the last one.
auto isEvictedBefore(const victim &Left, const victim &Right) -> bool {
  if (Left.Entry->HomeRank != Right.Entry->HomeRank)
    return Left.Entry->HomeRank > Right.Entry->HomeRank;
  return Left.Entry->LastUsed < Right.Entry->LastUsed;
}

/// An extra copy never displaces the copy of a first home: that may be the last
/// one, and reloading it would displace another.
auto mayDisplace(const ledger_entry &Entry, const memory_demand &Demand)
    -> bool {
  return Demand.HomeRank == FirstHome || Entry.HomeRank != FirstHome;
}

auto findVictims(const context &Ctx, const memory_demand &Demand)
    -> std::vector<victim> {
  auto &Ledger = Ctx.State.Ledger;
  const auto Queued = queuedLoadables(Ctx);
  std::vector<victim> Victims;
  for (auto &[Loadable, Entry] : Ledger.Entries) {
    const bool Idle = Entry.State == unit_state::Resident &&
                      Entry.Running == 0 && Entry.UnresolvedLoads.empty();
    const bool StayedLongEnough =
        Demand.Urgent || Ctx.Now - Entry.ResidentSince >= MinResidency;
    const bool Needed = Queued.contains(Loadable) && !Entry.Evicting;
    if (Idle && StayedLongEnough && !Needed && mayDisplace(Entry, Demand) &&
        !hasAdapters(Ledger, Loadable))
      Victims.push_back({Loadable, &Entry});
  }
  std::sort(Victims.begin(), Victims.end(), isEvictedBefore);
  return Victims;
}

auto bytesBeingFreed(const ledger_state &Ledger) -> std::uint64_t {
  std::uint64_t Sum = 0;
  for (const auto &[Loadable, Entry] : Ledger.Entries)
    if (Entry.State == unit_state::Unloading && Entry.UnresolvedLoads.empty())
      Sum += Entry.Bytes.Value;
  return Sum;
}

/// Stops new work on the copy that is first in eviction order, so that it
/// becomes idle and can be unloaded. Without this, a busy target would never
/// load another unit.
auto markForEviction(const context &Ctx, const memory_demand &Demand) -> void {
  auto &Ledger = Ctx.State.Ledger;
  std::vector<victim> Busy;
  for (auto &[Loadable, Entry] : Ledger.Entries) {
    if (Entry.Evicting)
      return;
    if (Entry.State == unit_state::Resident && Entry.UnresolvedLoads.empty() &&
        Loadable.Adapter.empty() && mayDisplace(Entry, Demand))
      Busy.push_back({Loadable, &Entry});
  }
  if (Busy.empty())
    return;
  const auto Chosen =
      std::min_element(Busy.begin(), Busy.end(), isEvictedBefore)->Loadable;
  for (auto &[Loadable, Entry] : Ledger.Entries)
    if (Loadable.Unit == Chosen.Unit && Entry.State == unit_state::Resident)
      Entry.Evicting = true;
}

auto evictFor(const context &Ctx, const memory_demand &Demand) -> void {
  auto &Ledger = Ctx.State.Ledger;
  std::uint64_t Freed = bytesBeingFreed(Ledger);
  for (const auto &Victim : findVictims(Ctx, Demand)) {
    if (Freed >= Demand.Shortfall ||
        Ledger.Orders.size() >= Ctx.State.Options.Agent.MaxOrders)
      return;
    Freed += Victim.Entry->Bytes.Value;
    startUnload(Ctx, Victim.Loadable);
  }
  if (Freed < Demand.Shortfall && Demand.Urgent)
    markForEviction(Ctx, Demand);
}

auto tryLoad(const context &Ctx, const loadable &Loadable, byte_count Bytes,
             memory_demand Demand) -> void {
  auto &Ledger = Ctx.State.Ledger;
  const auto &Entry = Ledger.Entries[Loadable];
  const auto Reserved = Ledger.reservedBytes();
  const auto Others = Reserved - Entry.reservedBytes();
  const auto Need = std::max(Bytes.Value, Entry.reservedBytes());
  if (Others + Need <= Ledger.Capacity.Value) {
    startLoad(Ctx, Loadable, Bytes);
    return;
  }
  Demand.Shortfall = Others + Need - Ledger.Capacity.Value;
  evictFor(Ctx, Demand);
}

auto planLoad(const context &Ctx, const work_state &Work) -> void {
  auto &Ledger = Ctx.State.Ledger;
  const bool Urgent = Ctx.Now - Work.QueuedAt > UrgentWait;
  for (const auto &Loadable : requiredLoadables(Work.Offer.Work)) {
    auto &Entry = Ledger.Entries[Loadable];
    Entry.HomeRank = Work.Offer.HomeRank;
    if (Entry.State == unit_state::Resident && !Entry.Evicting)
      continue;
    const bool MayLoad =
        Entry.State == unit_state::Absent && Ctx.Now >= Entry.RetryAt;
    if (MayLoad)
      tryLoad(Ctx, Loadable, bytesOf(Work.Offer.Work, Loadable),
              {0, Loadable.Adapter.empty() ? Work.Offer.HomeRank : FirstHome,
               Urgent});
    return;
  }
}

auto isLoadedOrLoading(const ledger_state &Ledger, const work &Work) -> bool {
  const auto Needed = requiredLoadables(Work);
  return std::all_of(
      Needed.begin(), Needed.end(), [&](const loadable &Loadable) {
        const auto Found = Ledger.Entries.find(Loadable);
        return Found != Ledger.Entries.end() && !Found->second.Evicting &&
               (Found->second.State == unit_state::Resident ||
                Found->second.State == unit_state::Intending ||
                Found->second.State == unit_state::Loading);
      });
}

auto isLoaded(const ledger_state &Ledger, const loadable &Loadable) -> bool {
  const auto Found = Ledger.Entries.find(Loadable);
  return Found != Ledger.Entries.end() &&
         Found->second.State == unit_state::Resident;
}

/// Clears the eviction marks once no queued work needs the memory any more.
auto clearUnneededEvictions(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  for (const auto &Loadable : queuedLoadables(Ctx))
    if (!isLoaded(Ledger, Loadable))
      return;
  for (auto &[Loadable, Entry] : Ledger.Entries)
    Entry.Evicting = false;
}

/// True if the work needs a copy of a unit that other targets hold already.
auto isExtraCopy(const ledger_state &Ledger, const work_offered &Offer)
    -> bool {
  return Offer.HomeRank != FirstHome &&
         !isLoaded(Ledger, {Offer.Work.Unit, {}});
}

auto unloadIdleEvicted(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  for (auto &[Loadable, Entry] : Ledger.Entries) {
    const bool Idle = Entry.Evicting && Entry.Running == 0 &&
                      Entry.State == unit_state::Resident;
    if (Idle && !hasAdapters(Ledger, Loadable) &&
        Ledger.Orders.size() < Ctx.State.Options.Agent.MaxOrders)
      startUnload(Ctx, Loadable);
  }
}

} // namespace

auto planLoads(const context &Ctx) -> void {
  auto &State = Ctx.State;
  if (State.Ledger.Phase != authority_phase::Held ||
      isMutated(State.Options, mutation::SkipLoadOnDemand))
    return;
  clearUnneededEvictions(Ctx);
  unloadIdleEvicted(Ctx);
  for (const auto *Work : queueOrder(State.Admission, Ctx.Now)) {
    if (State.Ledger.Orders.size() >= State.Options.Agent.MaxOrders)
      return;
    planLoad(Ctx, *Work);
  }
}

auto tickLoads(const context &Ctx) -> void {
  if (Ctx.State.Options.Agent.Kind != target_kind::Engine)
    return;
  constexpr int WaitLimitFactor = 3;
  std::vector<attempt_id> Unplaceable;
  for (const auto &[Id, Work] : Ctx.State.Admission.WorkItems) {
    const duration Limit = isExtraCopy(Ctx.State.Ledger, Work.Offer)
                               ? duration(ExtraCopyWaitLimit)
                               : UrgentWait * WaitLimitFactor;
    if (Work.Phase == work_phase::Queued && Ctx.Now - Work.QueuedAt > Limit &&
        !isLoadedOrLoading(Ctx.State.Ledger, Work.Offer.Work))
      Unplaceable.push_back(Id);
  }
  for (const auto &Id : Unplaceable)
    refuseWork(Ctx, Id, result_code::NoMemory,
               "no memory could be freed for the model in time");
}

} // namespace limpetbridge::details
