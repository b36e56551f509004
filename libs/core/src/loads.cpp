// Loads on demand and evictions: which loadable gets memory, and whose.
#include "core/ledger.h"

#include "details/handlers.h"

#include <algorithm>
#include <set>

namespace limpetbridge::details {

namespace {

constexpr std::uint8_t OnlyCopy = 0; ///< Home rank that may displace any.
constexpr auto ExtraPatience = milliseconds(200); ///< For further copies.
constexpr auto MinStay = seconds(2);  ///< A copy stays at least so long …
constexpr auto Patience = seconds(1); ///< … unless work waits this long.

auto bytesOf(const work &Work, const loadable &Loadable) -> byte_count {
  return Loadable.Adapter.empty() ? Work.Memory : Work.AdapterMemory;
}

/// What room is wanted for.
struct demand_for_room {
  std::uint64_t Shortfall = 0; ///< Bytes that are missing.
  std::uint8_t HomeRank = 255; ///< Place of this target among its homes.
  bool Impatient = false;      ///< Its work has waited long.
};

/// A loadable that may be evicted.
struct victim {
  loadable Loadable;
  ledger_entry *Entry;
};

auto isUnitOf(const loadable &Adapter, const loadable &Unit) -> bool {
  return !Adapter.Adapter.empty() && Adapter.Unit == Unit.Unit;
}

auto hasAdapters(const ledger_state &Ledger, const loadable &Unit) -> bool {
  if (!Unit.Adapter.empty())
    return false;
  return std::any_of(Ledger.Entries.begin(), Ledger.Entries.end(),
                     [&](const auto &Each) {
                       return isUnitOf(Each.first, Unit) &&
                              Each.second.State != unit_state::Absent;
                     });
}

auto wantedByQueue(const context &Ctx) -> std::set<loadable> {
  std::set<loadable> Wanted;
  for (const auto &[Id, Work] : Ctx.State.Admission.WorkItems) {
    if (Work.Phase != work_phase::Queued)
      continue;
    for (auto &Each : requiredLoadables(Work.Offer.Work))
      Wanted.insert(std::move(Each));
  }
  return Wanted;
}

/// Copies that belong elsewhere go first, then the least recently used; a
/// first home keeps its copy longest, since it may be the last.
auto goesBefore(const victim &Left, const victim &Right) -> bool {
  if (Left.Entry->HomeRank != Right.Entry->HomeRank)
    return Left.Entry->HomeRank > Right.Entry->HomeRank;
  return Left.Entry->LastUsed < Right.Entry->LastUsed;
}

/// A further copy never displaces a first home's: that may be the last, and
/// loading it again would only displace the next.
auto mayDisplace(const ledger_entry &Entry, const demand_for_room &Demand)
    -> bool {
  return Demand.HomeRank == OnlyCopy || Entry.HomeRank != OnlyCopy;
}

auto findVictims(const context &Ctx, const demand_for_room &Demand)
    -> std::vector<victim> {
  auto &Ledger = Ctx.State.Ledger;
  const auto Wanted = wantedByQueue(Ctx);
  std::vector<victim> Victims;
  for (auto &[Loadable, Entry] : Ledger.Entries) {
    const bool Idle = Entry.State == unit_state::Resident &&
                      Entry.Running == 0 && Entry.UnresolvedLoads.empty();
    const bool Stayed =
        Demand.Impatient || Ctx.Now - Entry.ResidentSince >= MinStay;
    const bool Needed = Wanted.contains(Loadable) && !Entry.Evicting;
    if (Idle && Stayed && !Needed && mayDisplace(Entry, Demand) &&
        !hasAdapters(Ledger, Loadable))
      Victims.push_back({Loadable, &Entry});
  }
  std::sort(Victims.begin(), Victims.end(), goesBefore);
  return Victims;
}

auto bytesBeingFreed(const ledger_state &Ledger) -> std::uint64_t {
  std::uint64_t Sum = 0;
  for (const auto &[Loadable, Entry] : Ledger.Entries)
    if (Entry.State == unit_state::Unloading && Entry.UnresolvedLoads.empty())
      Sum += Entry.Bytes.Value;
  return Sum;
}

/// Stops new work on the copy that is missed least, so that it becomes idle
/// and makes room; without this a busy target never changes what it holds.
auto markForEviction(const context &Ctx, const demand_for_room &Demand)
    -> void {
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
      std::min_element(Busy.begin(), Busy.end(), goesBefore)->Loadable;
  for (auto &[Loadable, Entry] : Ledger.Entries)
    if (Loadable.Unit == Chosen.Unit && Entry.State == unit_state::Resident)
      Entry.Evicting = true;
}

auto evictFor(const context &Ctx, const demand_for_room &Demand) -> void {
  auto &Ledger = Ctx.State.Ledger;
  std::uint64_t Freed = bytesBeingFreed(Ledger);
  for (const auto &Victim : findVictims(Ctx, Demand)) {
    if (Freed >= Demand.Shortfall ||
        Ledger.Orders.size() >= Ctx.State.Options.Agent.MaxOrders)
      return;
    Freed += Victim.Entry->Bytes.Value;
    startUnload(Ctx, Victim.Loadable);
  }
  if (Freed < Demand.Shortfall && Demand.Impatient)
    markForEviction(Ctx, Demand);
}

auto tryLoad(const context &Ctx, const loadable &Loadable, byte_count Bytes,
             demand_for_room Demand) -> void {
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
  const bool Impatient = Ctx.Now - Work.QueuedAt > Patience;
  for (const auto &Loadable : requiredLoadables(Work.Offer.Work)) {
    auto &Entry = Ledger.Entries[Loadable];
    Entry.HomeRank = Work.Offer.HomeRank;
    if (Entry.State == unit_state::Resident && !Entry.Evicting)
      continue;
    const bool MayLoad =
        Entry.State == unit_state::Absent && Ctx.Now >= Entry.RetryAt;
    if (MayLoad)
      tryLoad(Ctx, Loadable, bytesOf(Work.Offer.Work, Loadable),
              {0, Loadable.Adapter.empty() ? Work.Offer.HomeRank : OnlyCopy,
               Impatient});
    return;
  }
}

auto isComing(const ledger_state &Ledger, const work &Work) -> bool {
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

auto isHeld(const ledger_state &Ledger, const loadable &Loadable) -> bool {
  const auto Found = Ledger.Entries.find(Loadable);
  return Found != Ledger.Entries.end() &&
         Found->second.State == unit_state::Resident;
}

/// Takes marks back once no queued work needs the room any more.
auto keepUnneededEvictions(const context &Ctx) -> void {
  auto &Ledger = Ctx.State.Ledger;
  for (const auto &Loadable : wantedByQueue(Ctx))
    if (!isHeld(Ledger, Loadable))
      return;
  for (auto &[Loadable, Entry] : Ledger.Entries)
    Entry.Evicting = false;
}

/// Whether the work asks for a copy of a unit that others hold already.
auto isFurtherCopy(const ledger_state &Ledger, const work_offered &Offer)
    -> bool {
  return Offer.HomeRank != OnlyCopy && !isHeld(Ledger, {Offer.Work.Unit, {}});
}

auto unloadIdleEvictions(const context &Ctx) -> void {
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
  keepUnneededEvictions(Ctx);
  unloadIdleEvictions(Ctx);
  for (const auto *Work : queueOrder(State.Admission, Ctx.Now)) {
    if (State.Ledger.Orders.size() >= State.Options.Agent.MaxOrders)
      return;
    planLoad(Ctx, *Work);
  }
}

auto tickLoads(const context &Ctx) -> void {
  if (Ctx.State.Options.Agent.Kind != target_kind::Engine)
    return;
  constexpr int PatienceFactor = 3;
  std::vector<attempt_id> Hopeless;
  for (const auto &[Id, Work] : Ctx.State.Admission.WorkItems) {
    const duration Limit = isFurtherCopy(Ctx.State.Ledger, Work.Offer)
                               ? duration(ExtraPatience)
                               : Patience * PatienceFactor;
    if (Work.Phase == work_phase::Queued && Ctx.Now - Work.QueuedAt > Limit &&
        !isComing(Ctx.State.Ledger, Work.Offer.Work))
      Hopeless.push_back(Id);
  }
  for (const auto &Id : Hopeless)
    refuseWork(Ctx, Id, result_code::NoMemory,
               "no memory could be freed for the model in time");
}

} // namespace limpetbridge::details
