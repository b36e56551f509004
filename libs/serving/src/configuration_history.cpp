#include "serving/configuration_history.h"

#include <algorithm>
#include <tuple>

namespace limpetbridge::serving {

auto configuration_mark::isNewerThan(const configuration_mark &Other) const
    -> bool {
  return std::tie(Generation, Version) >
         std::tie(Other.Generation, Other.Version);
}

auto configuration_history::startEra() -> void {
  Rose = InForce.Version > 0;
  StoreHasIt = false;
}

auto configuration_history::remember(std::uint64_t Version, std::uint64_t Hash)
    -> void {
  const auto Content = std::pair(Version, Hash);
  if (std::find(Contents.begin(), Contents.end(), Content) != Contents.end())
    return;
  Contents.push_back(Content);
  if (Contents.size() > MaxContents)
    Contents.pop_front();
}

auto configuration_history::replaces(std::uint64_t Version,
                                     const configuration_source &Source) const
    -> bool {
  const bool IsHigher = Version > InForce.Version;
  const bool IsOfThisEra = Source.RowVersion > Source.FirstVersion;
  if (std::find(Contents.begin(), Contents.end(),
                std::pair(Version, Source.Hash)) != Contents.end())
    // The copy's, unless it was written once more.
    return IsHigher && IsOfThisEra;
  // A version that was given out a second time, with another content.
  const bool IsRepeated =
      std::any_of(Contents.begin(), Contents.end(), [&](const auto &Content) {
        return Content.first == Version;
      });
  return IsHigher || IsOfThisEra || IsRepeated;
}

auto configuration_history::offer(std::uint64_t Version,
                                  const configuration_source &Source) -> bool {
  const bool IsRow = Source.RowVersion > 0;
  if (Version == InForce.Version && Source.Hash == InForce.Hash) {
    StoreHasIt |= IsRow;
    InForce.Generation = std::max(InForce.Generation, Source.Generation);
    return false;
  }
  const configuration_mark Offered{
      IsRow ? InForce.Generation : Source.Generation, Version, Source.Hash};
  const bool Replaces = IsRow && !storeHasIt() ? replaces(Version, Source)
                                               : Offered.isNewerThan(InForce);
  remember(Version, Source.Hash);
  if (!Replaces)
    return false;
  const bool IsOfThisEra = IsRow && (Source.RowVersion > Source.FirstVersion ||
                                     Version <= InForce.Version);
  if (!storeHasIt() && IsOfThisEra)
    InForce.Generation = Source.Era;
  else
    InForce.Generation = Offered.Generation;
  InForce.Version = Version;
  InForce.Hash = Source.Hash;
  StoreHasIt = IsRow;
  // Gateways name what they have in force only if the store's row is not it.
  Rose |= !IsRow && Source.Era > 0;
  return true;
}

} // namespace limpetbridge::serving
