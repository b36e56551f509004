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
  Restored = true;
  Rose = InForce.Version > 0;
  StoreHasIt = false;
}

auto configuration_history::remember(std::uint64_t Version,
                                     const configuration_source &Source)
    -> void {
  const auto Era = Source.RowVersion > 0 ? Source.Era : 0;
  const auto Known =
      std::find_if(Contents.begin(), Contents.end(), [&](const content &Each) {
        return Each.Version == Version && Each.Hash == Source.Hash;
      });
  if (Known != Contents.end()) {
    Known->Era = std::max(Known->Era, Era);
    return;
  }
  Contents.push_back({Version, Source.Hash, Era});
  if (Contents.size() > MaxContents)
    Contents.pop_front();
}

auto configuration_history::replaces(std::uint64_t Version,
                                     const configuration_source &Source) const
    -> bool {
  const bool IsHigher = Version > InForce.Version;
  const bool IsOfThisEra = Source.RowVersion > Source.FirstVersion;
  if (std::any_of(Contents.begin(), Contents.end(), [&](const content &Each) {
        return Each.Version == Version && Each.Hash == Source.Hash;
      }))
    // The copy's, unless it was written once more.
    return IsHigher && IsOfThisEra;
  // A version that was assigned a second time, with another content. Within an
  // era each version has one content, so a row that the era of the
  // configuration in force did not have is newer. An earlier era does not show
  // that: the row may have been written and superseded since.
  const bool IsRepeated =
      Version == InForce.Version ||
      std::any_of(Contents.begin(), Contents.end(), [&](const content &Each) {
        return Each.Version == Version && Each.Era >= InForceEra;
      });
  return IsHigher || IsOfThisEra || Source.RowVersion > LostVersion ||
         IsRepeated;
}

auto configuration_history::noteMissing(std::uint64_t FirstVersion) -> void {
  if (!storeHasIt())
    LostVersion = std::min(LostVersion, FirstVersion);
}

auto configuration_history::offer(std::uint64_t Version,
                                  const configuration_source &Source) -> bool {
  const bool IsRow = Source.RowVersion > 0;
  if (Version == InForce.Version && Source.Hash == InForce.Hash) {
    StoreHasIt |= IsRow;
    InForce.Generation = std::max(InForce.Generation, Source.Generation);
    InForceEra = std::max(InForceEra, Source.Era);
    if (IsRow) {
      InForceStoredEra = std::max(InForceStoredEra, Source.Era);
      LostVersion = NotLost;
    }
    remember(Version, Source);
    return false;
  }
  if (!IsRow && Version < InForce.Version &&
      Source.Generation <= InForceStoredEra)
    // Both were in the store in that era, in which versions are comparable.
    InForce.Generation = std::max(InForce.Generation, Source.Generation);
  if (IsRow)
    noteMissing(Source.FirstVersion);
  const configuration_mark Offered{
      IsRow ? InForce.Generation : Source.Generation, Version, Source.Hash};
  const bool Replaces = IsRow && !storeHasIt() ? replaces(Version, Source)
                                               : Offered.isNewerThan(InForce);
  remember(Version, Source);
  if (!Replaces)
    return false;
  if (Restored && IsRow && Source.RowVersion > Source.FirstVersion)
    InForce.Generation = Source.Era;
  else if (!storeHasIt() && IsRow && Version <= InForce.Version)
    // It was written after a restore that followed the one in force.
    InForce.Generation = std::max(InForce.Generation, InForceStoredEra) + 1;
  else
    InForce.Generation = Offered.Generation;
  InForce.Version = Version;
  InForce.Hash = Source.Hash;
  InForceEra = Source.Era;
  InForceStoredEra = IsRow ? Source.Era : 0;
  LostVersion = NotLost;
  StoreHasIt = IsRow;
  // Gateways name what they have in force only if the store's row is not it.
  Rose |= !IsRow && Source.Era > 0;
  return true;
}

} // namespace limpetbridge::serving
