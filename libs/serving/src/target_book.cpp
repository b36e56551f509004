#include "serving/target_book.h"

#include <algorithm>
#include <utility>

namespace limpetbridge::serving {

namespace {

/// Weight of one attempt in the moving average of failures.
constexpr double FailureWeight = 0.15;

/// Time in which a controller's word on contents goes before the store's: a
/// heartbeat and its way through the store.
constexpr duration ToldValid = milliseconds(2500);

template <typename number> auto takeOff(number &From, number Amount) -> void {
  From -= std::min(From, Amount);
}

auto setHoldings(target_entry &Entry, const holdings &Holds, time_point Now)
    -> void {
  for (const auto &[Model, Held] : Holds.Models)
    if (!Entry.Target.Holds.Models.contains(Model))
      Entry.LoadedAt[Model] = Now;
  Entry.Target.Holds = Holds;
}

} // namespace

auto rankOf(std::uint32_t Priority) -> std::size_t {
  return std::min<std::size_t>(Priority, Ranks - 1);
}

auto target_load::pendingMs(std::size_t Rank) const -> double {
  double Sum = 0;
  for (std::size_t I = 0; I <= Rank; ++I)
    Sum += PendingMs[I];
  return Sum;
}

auto target_load::operator+=(const target_load &Other) -> target_load & {
  for (std::size_t I = 0; I < Ranks; ++I)
    PendingMs[I] += Other.PendingMs[I];
  Active += Other.Active;
  return *this;
}

auto target_load::operator-=(const target_load &Other) -> target_load & {
  for (std::size_t I = 0; I < Ranks; ++I)
    takeOff(PendingMs[I], Other.PendingMs[I]);
  takeOff(Active, Other.Active);
  return *this;
}

auto target_entry::load() const -> target_load {
  auto Sum = Own;
  Sum += Others;
  return Sum;
}

auto target_entry::serves(const model_name &Model) const -> bool {
  if (!Target.Holds.Models.contains(Model))
    return false;
  return !Change || std::find(Change->Victims.begin(), Change->Victims.end(),
                              Model) == Change->Victims.end();
}

auto target_book::update(const target &Target, std::uint64_t CacheTokens,
                         time_point Now) -> bool {
  auto &Entry = Entries[Target.Name];
  const auto &Known = Entry.Target;
  const bool SameLife =
      Known.Name == Target.Name && Known.Incarnation == Target.Incarnation;
  // Two sources tell of a target; the one that has seen fewer orders is older.
  if (SameLife && Target.Sequence < Known.Sequence) {
    const bool Changed = Target.Draining && !Known.Draining;
    Entry.Target.Draining |= Target.Draining;
    return Changed;
  }
  if (Known.Name == Target.Name && Target.Incarnation < Known.Incarnation)
    return false;
  if (!SameLife) {
    Entry.Cache.clear();
    Entry.FailureShare = 0;
    Entry.Slowness = 1;
    Entry.AvoidUntil = {};
    Entry.ToldAt = {};
    Entry.LoadedAt.clear();
    Entry.AdapterUse.clear();
  }
  Entry.LostSince = NoDeadline;
  const bool Changed = !SameLife || Known.Draining != Target.Draining ||
                       Known.Address != Target.Address ||
                       !(Known.Holds == Target.Holds);
  const bool Draining = SameLife && Known.Draining;
  const bool Told = Entry.ToldAt != time_point() &&
                    Now - Entry.ToldAt < ToldValid &&
                    Target.Sequence == Known.Sequence;
  const auto Holds = Told ? Known.Holds : Target.Holds;
  auto Before = Entry.Target.Holds;
  const auto OldAddress = std::exchange(Entry.Target.Address, Target.Address);
  if (OldAddress != Target.Address) {
    AtAddress[OldAddress].erase(Target.Name);
    markLatest(OldAddress);
    AtAddress[Target.Address].insert(Target.Name);
  }
  Entry.Target = Target;
  Entry.Target.Holds = std::move(Before);
  setHoldings(Entry, Holds, Now);
  Entry.Target.Draining |= Draining;
  Entry.Cache.setCapacity(CacheTokens);
  markLatest(Target.Address);
  return Changed;
}

auto target_book::markLatest(const std::string &Address) -> void {
  const auto *Latest = findAddress(Address);
  if (Latest == nullptr) {
    AtAddress.erase(Address);
    return;
  }
  for (const auto &Name : AtAddress[Address]) {
    auto &Entry = Entries[Name];
    // A row of another service may be a stray one and hides nobody.
    Entry.Superseded = Entry.Target.Incarnation < Latest->Target.Incarnation &&
                       Entry.Target.Service == Latest->Target.Service;
  }
}

auto target_book::updateHoldings(target_entry &Entry, std::uint64_t Sequence,
                                 const holdings &Holds, time_point Now)
    -> bool {
  if (Sequence < Entry.Target.Sequence)
    return false;
  const bool Changed = !(Entry.Target.Holds == Holds);
  setHoldings(Entry, Holds, Now);
  Entry.Target.Sequence = Sequence;
  Entry.ToldAt = Now;
  return Changed;
}

auto target_book::remove(const target_name &Name) -> void {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return;
  const auto Address = Found->second.Target.Address;
  Entries.erase(Found);
  AtAddress[Address].erase(Name);
  markLatest(Address);
}

auto target_book::find(const target_name &Name) -> target_entry * {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

auto target_book::find(const target_name &Name) const -> const target_entry * {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

auto target_book::findAddress(const std::string &Address) -> target_entry * {
  const auto Found = AtAddress.find(Address);
  if (Found == AtAddress.end())
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

auto target_book::holders(const model_name &Model) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return Each.second.takesWork() && Each.second.serves(Model);
      }));
}

auto target_book::setPeerLoads(const instance_name &Peer,
                               const std::map<target_name, target_load> &Loads)
    -> void {
  for (const auto &Name : ToldByPeer[Peer]) {
    auto *Entry = find(Name);
    if (Entry == nullptr)
      continue;
    const auto Told = Entry->Peers.find(Peer);
    if (Told == Entry->Peers.end())
      continue;
    Entry->Others -= Told->second;
    Entry->Peers.erase(Told);
    // Rounding does not add up over days.
    if (Entry->Peers.empty())
      Entry->Others = {};
  }
  if (Loads.empty()) {
    ToldByPeer.erase(Peer);
    return;
  }
  auto &Names = ToldByPeer[Peer];
  Names.clear();
  for (const auto &[Name, Load] : Loads) {
    auto *Entry = find(Name);
    if (Entry == nullptr)
      continue;
    Entry->Peers[Peer] = Load;
    Entry->Others += Load;
    Names.push_back(Name);
  }
}

auto target_book::noteSent(const target_name &Name, std::size_t Rank,
                           double ReadMs) -> void {
  if (auto *Entry = find(Name)) {
    Entry->Own.PendingMs[Rank] += ReadMs;
    ++Entry->Own.Active;
  }
}

auto target_book::noteFirstOutput(const target_name &Name, std::size_t Rank,
                                  double ReadMs) -> void {
  if (auto *Entry = find(Name))
    takeOff(Entry->Own.PendingMs[Rank], ReadMs);
}

auto target_book::noteEnded(const target_name &Name, std::size_t Rank,
                            double ReadMs, bool Failed) -> void {
  auto *Entry = find(Name);
  if (Entry == nullptr)
    return;
  takeOff(Entry->Own.PendingMs[Rank], ReadMs);
  takeOff(Entry->Own.Active, 1U);
  Entry->FailureShare +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - Entry->FailureShare);
}

} // namespace limpetbridge::serving
