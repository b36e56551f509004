#include "serving/target_book.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Weight of one attempt in the moving average of failures.
constexpr double FailureWeight = 0.15;

template <typename number> auto takeOff(number &From, number Amount) -> void {
  From -= std::min(From, Amount);
}

} // namespace

auto target_entry::load() const -> target_load {
  auto Sum = Own;
  for (const auto &[Name, Each] : Peer) {
    Sum.PendingTokens += Each.PendingTokens;
    Sum.Active += Each.Active;
  }
  return Sum;
}

auto target_book::update(const target &Target, std::uint64_t CacheTokens)
    -> bool {
  auto &Entry = Entries[Target.Name];
  const auto &Known = Entry.Target;
  const bool SameLife = Known.Name == Target.Name && Known.Born == Target.Born;
  // Two sources tell of a target; the one that has seen fewer orders is older.
  if (SameLife && Target.Sequence < Known.Sequence) {
    const bool Changed = Target.Leaving && !Known.Leaving;
    Entry.Target.Leaving |= Target.Leaving;
    return Changed;
  }
  if (Known.Name == Target.Name && Target.Born < Known.Born)
    return false;
  if (!SameLife) {
    Entry.Cache.clear();
    Entry.FailureShare = 0;
    Entry.AvoidUntil = {};
  }
  Entry.LostSince = NoDeadline;
  const bool Changed = !SameLife || Known.Leaving != Target.Leaving ||
                       Known.Address != Target.Address ||
                       !(Known.Holds == Target.Holds);
  const bool Leaving = SameLife && Known.Leaving;
  Entry.Target = Target;
  Entry.Target.Leaving |= Leaving;
  Entry.Cache.setCapacity(CacheTokens);
  return Changed;
}

auto target_book::remove(const target_name &Name) -> void {
  Entries.erase(Name);
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
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return Each.second.Target.Address == Address;
      });
  return Found == Entries.end() ? nullptr : &Found->second;
}

auto target_book::holders(const model_name &Model) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return Each.second.takesWork() &&
               Each.second.Target.Holds.Models.contains(Model);
      }));
}

auto target_book::noteSent(const target_name &Name, std::uint32_t Tokens)
    -> void {
  if (auto *Entry = find(Name)) {
    Entry->Own.PendingTokens += Tokens;
    ++Entry->Own.Active;
  }
}

auto target_book::noteFirstOutput(const target_name &Name, std::uint32_t Tokens)
    -> void {
  if (auto *Entry = find(Name))
    takeOff(Entry->Own.PendingTokens, std::uint64_t{Tokens});
}

auto target_book::noteEnded(const target_name &Name,
                            std::uint32_t PendingTokens, bool Failed) -> void {
  auto *Entry = find(Name);
  if (Entry == nullptr)
    return;
  takeOff(Entry->Own.PendingTokens, std::uint64_t{PendingTokens});
  takeOff(Entry->Own.Active, 1U);
  Entry->FailureShare +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - Entry->FailureShare);
}

} // namespace limpetbridge::serving
