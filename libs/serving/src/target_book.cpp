#include "serving/target_book.h"

#include <algorithm>
#include <utility>

namespace limpetbridge::serving {

namespace {

/// Weight of one attempt in the moving average of failures.
constexpr double FailureWeight = 0.15;

/// Time in which a controller's report of the holdings takes precedence over
/// the store: a heartbeat and its propagation through the store.
constexpr duration ReportValidity = milliseconds(2500);

template <typename number>
auto subtractClamped(number &From, number Amount) -> void {
  From -= std::min(From, Amount);
}

auto setHoldings(target_entry &Entry, const holdings &Holdings, time_point Now)
    -> void {
  for (const auto &[Model, Loaded] : Holdings.Models)
    if (!Entry.Target.Holdings.Models.contains(Model))
      Entry.LoadedAt[Model] = Now;
  Entry.Target.Holdings = Holdings;
}

} // namespace

auto rankOf(std::uint32_t Priority) -> std::size_t {
  return std::min<std::size_t>(Priority, RankCount - 1);
}

auto target_load::pendingMs(std::size_t Rank) const -> double {
  double Sum = 0;
  for (std::size_t I = 0; I <= Rank; ++I)
    Sum += PendingMs[I];
  return Sum;
}

auto target_load::activeCount(std::size_t Rank) const -> std::uint32_t {
  std::uint32_t Sum = 0;
  for (std::size_t I = 0; I <= Rank; ++I)
    Sum += Active[I];
  return Sum;
}

auto target_load::operator+=(const target_load &Other) -> target_load & {
  for (std::size_t I = 0; I < RankCount; ++I) {
    PendingMs[I] += Other.PendingMs[I];
    Active[I] += Other.Active[I];
  }
  return *this;
}

auto target_load::operator-=(const target_load &Other) -> target_load & {
  for (std::size_t I = 0; I < RankCount; ++I) {
    subtractClamped(PendingMs[I], Other.PendingMs[I]);
    subtractClamped(Active[I], Other.Active[I]);
  }
  return *this;
}

auto target_entry::load() const -> target_load {
  auto Sum = OwnLoad;
  Sum += PeerLoad;
  return Sum;
}

auto target_entry::serves(const model_name &Model) const -> bool {
  if (!Target.Holdings.Models.contains(Model))
    return false;
  return !Change || std::find(Change->Victims.begin(), Change->Victims.end(),
                              Model) == Change->Victims.end();
}

auto target_book::update(const target &Target, std::uint64_t CacheTokens,
                         time_point Now) -> bool {
  auto &Entry = Entries[Target.Name];
  const auto &Known = Entry.Target;
  const bool SameIncarnation =
      Known.Name == Target.Name && Known.Incarnation == Target.Incarnation;
  // The store and the controller both describe a target; the description with
  // the lower order sequence is older.
  if (SameIncarnation && Target.Sequence < Known.Sequence) {
    const bool Changed = Target.Draining && !Known.Draining;
    Entry.RowMissingSince = NoDeadline;
    Entry.Target.Draining |= Target.Draining;
    return Changed;
  }
  if (Known.Name == Target.Name && Target.Incarnation < Known.Incarnation)
    return false;
  if (!SameIncarnation) {
    Entry.Cache.clear();
    Entry.FailureShare = 0;
    Entry.Slowness = 1;
    Entry.Speed = target_speed();
    Entry.NoticedPrefill.clear();
    Entry.DecodeMs = 0;
    Entry.AvoidUntil = {};
    Entry.RefusesUntil = {};
    Entry.ReportedAt = {};
    Entry.LoadedAt.clear();
    Entry.AdapterUse.clear();
  }
  Entry.RowMissingSince = NoDeadline;
  const bool Changed = !SameIncarnation || Known.Draining != Target.Draining ||
                       Known.Address != Target.Address ||
                       !(Known.Holdings == Target.Holdings);
  const bool WasDraining = SameIncarnation && Known.Draining;
  const bool ReportIsCurrent = Entry.ReportedAt != time_point() &&
                               Now - Entry.ReportedAt < ReportValidity &&
                               Target.Sequence == Known.Sequence;
  const auto Holdings = ReportIsCurrent ? Known.Holdings : Target.Holdings;
  auto OldHoldings = Entry.Target.Holdings;
  const auto OldAddress = std::exchange(Entry.Target.Address, Target.Address);
  if (OldAddress != Target.Address) {
    NamesByAddress[OldAddress].erase(Target.Name);
    updateSuperseded(OldAddress);
    NamesByAddress[Target.Address].insert(Target.Name);
  }
  Entry.Target = Target;
  Entry.Target.Holdings = std::move(OldHoldings);
  setHoldings(Entry, Holdings, Now);
  Entry.Target.Draining |= WasDraining;
  restoreNotice(Entry);
  Entry.Cache.setCapacity(CacheTokens);
  updateSuperseded(Target.Address);
  return Changed;
}

auto target_book::updateSuperseded(const std::string &Address) -> void {
  const auto *Latest = findByAddress(Address);
  if (Latest == nullptr) {
    NamesByAddress.erase(Address);
    return;
  }
  for (const auto &Name : NamesByAddress[Address]) {
    auto &Entry = Entries[Name];
    // A row of another service may be stray and supersedes no target.
    Entry.Superseded = Entry.Target.Incarnation < Latest->Target.Incarnation &&
                       Entry.Target.Service == Latest->Target.Service;
  }
}

auto target_book::updateHoldings(target_entry &Entry, std::uint64_t Sequence,
                                 const holdings &Holdings, time_point Now)
    -> bool {
  if (Sequence < Entry.Target.Sequence)
    return false;
  const bool Changed = !(Entry.Target.Holdings == Holdings);
  setHoldings(Entry, Holdings, Now);
  Entry.Target.Sequence = Sequence;
  Entry.ReportedAt = Now;
  return Changed;
}

auto target_book::remove(const target_name &Name) -> void {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return;
  const auto &Entry = Found->second;
  if (Entry.Target.Draining || Entry.RefusesUntil != time_point())
    keepNotice(Name, {Entry.Target.Incarnation, Entry.Target.Draining,
                      Entry.RefusesUntil});
  const auto Address = Entry.Target.Address;
  Entries.erase(Found);
  NamesByAddress[Address].erase(Name);
  updateSuperseded(Address);
}

auto target_book::recordNotice(const target_name &Name,
                               std::uint64_t Incarnation, bool Leaves,
                               time_point RefusesUntil) -> bool {
  auto *Entry = find(Name);
  if (Entry == nullptr) {
    keepNotice(Name, {Incarnation, Leaves, RefusesUntil});
    return false;
  }
  // The answer may be older or newer than the row.
  if (Entry->Target.Incarnation != Incarnation)
    return false;
  const bool New =
      (Leaves && !Entry->Target.Draining) || RefusesUntil > Entry->RefusesUntil;
  Entry->Target.Draining |= Leaves;
  Entry->RefusesUntil = std::max(Entry->RefusesUntil, RefusesUntil);
  return New;
}

auto target_book::keepNotice(const target_name &Name, const notice &Notice)
    -> void {
  /// Targets whose rows have gone and may come back.
  constexpr std::size_t MaxNotices = 4096;
  auto &Kept = Notices[Name];
  if (Notice.Incarnation < Kept.Incarnation)
    return;
  if (Notice.Incarnation > Kept.Incarnation)
    Kept = {};
  Kept.Incarnation = Notice.Incarnation;
  Kept.Leaves |= Notice.Leaves;
  Kept.RefusesUntil = std::max(Kept.RefusesUntil, Notice.RefusesUntil);
  if (Notices.size() > MaxNotices)
    Notices.erase(std::min_element(Notices.begin(), Notices.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second.Incarnation <
                                            Right.second.Incarnation;
                                   }));
}

auto target_book::restoreNotice(target_entry &Entry) -> void {
  const auto Found = Notices.find(Entry.Target.Name);
  if (Found == Notices.end())
    return;
  const auto Notice = Found->second;
  if (Notice.Incarnation > Entry.Target.Incarnation)
    return;
  Notices.erase(Found);
  if (Notice.Incarnation < Entry.Target.Incarnation)
    return;
  Entry.Target.Draining |= Notice.Leaves;
  Entry.RefusesUntil = std::max(Entry.RefusesUntil, Notice.RefusesUntil);
}

auto target_book::find(const target_name &Name) -> target_entry * {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

auto target_book::find(const target_name &Name) const -> const target_entry * {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

auto target_book::findByAddress(const std::string &Address) -> target_entry * {
  const auto Found = NamesByAddress.find(Address);
  if (Found == NamesByAddress.end())
    return nullptr;
  target_entry *Latest = nullptr;
  for (const auto &Name : Found->second) {
    auto &Entry = Entries[Name];
    if (Latest == nullptr ||
        Entry.Target.Incarnation > Latest->Target.Incarnation)
      Latest = &Entry;
  }
  return Latest;
}

auto target_book::copyCount(const model_name &Model) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Item) {
        return Item.second.acceptsWork() && Item.second.serves(Model);
      }));
}

auto target_book::setPeerLoads(const instance_name &Peer,
                               const std::map<target_name, target_load> &Loads)
    -> void {
  for (const auto &Name : TargetsByPeer[Peer]) {
    auto *Entry = find(Name);
    if (Entry == nullptr)
      continue;
    const auto OldLoad = Entry->LoadsByPeer.find(Peer);
    if (OldLoad == Entry->LoadsByPeer.end())
      continue;
    Entry->PeerLoad -= OldLoad->second;
    Entry->LoadsByPeer.erase(OldLoad);
    // Drops rounding errors, which would otherwise add up over days.
    if (Entry->LoadsByPeer.empty())
      Entry->PeerLoad = {};
  }
  if (Loads.empty()) {
    TargetsByPeer.erase(Peer);
    return;
  }
  auto &Names = TargetsByPeer[Peer];
  Names.clear();
  for (const auto &[Name, Load] : Loads) {
    auto *Entry = find(Name);
    if (Entry == nullptr)
      continue;
    Entry->LoadsByPeer[Peer] = Load;
    Entry->PeerLoad += Load;
    Names.push_back(Name);
  }
}

auto target_book::recordAttemptSent(const target_name &Name, std::size_t Rank,
                                    double PrefillMs) -> void {
  if (auto *Entry = find(Name)) {
    Entry->OwnLoad.PendingMs[Rank] += PrefillMs;
    ++Entry->OwnLoad.Active[Rank];
  }
}

auto target_book::recordFirstOutput(const target_name &Name, std::size_t Rank,
                                    double PrefillMs) -> void {
  if (auto *Entry = find(Name))
    subtractClamped(Entry->OwnLoad.PendingMs[Rank], PrefillMs);
}

auto target_book::recordAttemptEnded(const target_name &Name, std::size_t Rank,
                                     double PrefillMs, bool Failed) -> void {
  recordAttemptCancelled(Name, Rank, PrefillMs);
  if (auto *Entry = find(Name))
    Entry->FailureShare +=
        FailureWeight * ((Failed ? 1.0 : 0.0) - Entry->FailureShare);
}

auto target_book::recordAttemptCancelled(const target_name &Name,
                                         std::size_t Rank, double PrefillMs)
    -> void {
  if (auto *Entry = find(Name)) {
    subtractClamped(Entry->OwnLoad.PendingMs[Rank], PrefillMs);
    subtractClamped(Entry->OwnLoad.Active[Rank], 1U);
  }
}

} // namespace limpetbridge::serving
