/// \file
/// Decides which configuration is newer when the store has been restored from
/// an older copy, so that neither versions nor the order of reading tell. The
/// store counts its eras; within one era the higher version is the newer one.
#ifndef LIMPETBRIDGE_SERVING_CONFIGURATION_HISTORY_H
#define LIMPETBRIDGE_SERVING_CONFIGURATION_HISTORY_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>

namespace limpetbridge::serving {

/// Names a configuration in force, for comparison between gateways.
struct configuration_mark {
  /// Era in which it is known to have replaced one that the copy had lost; 0 if
  /// no such one is known. Versions are comparable within a generation only.
  std::uint64_t Generation = 0;
  std::uint64_t Version = 0; ///< 0: none is in force.
  std::uint64_t Hash = 0;    ///< Of its text.

  /// True if this is to be preferred to \p Other.
  [[nodiscard]] auto isNewerThan(const configuration_mark &Other) const -> bool;
};

/// Where a configuration was read.
struct configuration_source {
  std::uint64_t Era = 0; ///< Of the store; 0 if it counts none.
  /// Of its row; 0 if another gateway has it in force.
  std::uint64_t RowVersion = 0;
  /// Of the store when the configuration was first read in this era. Rows with
  /// a higher version were written in this era.
  std::uint64_t FirstVersion = 0;
  std::uint64_t Hash = 0;       ///< Of its text.
  std::uint64_t Generation = 0; ///< As of the other gateway.
};

/// The configuration in force and those that were read before.
class configuration_history {
public:
  /// The store was restored: what is in force may be missing in it.
  auto startEra() -> void;
  /// Judges a configuration that was read.
  /// \returns true if it is newer than the one in force and replaces it.
  [[nodiscard]] auto offer(std::uint64_t Version,
                           const configuration_source &Source) -> bool;

  /// The store has no configuration.
  /// \param FirstVersion as of a configuration that is read.
  auto noteMissing(std::uint64_t FirstVersion) -> void;

  [[nodiscard]] auto inForce() const -> const configuration_mark & {
    return InForce;
  }
  /// False if the store has lost the configuration in force, so that reading
  /// the store does not show whether it is the newest.
  [[nodiscard]] auto storeHasIt() const -> bool { return !Rose || StoreHasIt; }

private:
  /// Contents that are remembered: copies are some seconds old.
  static constexpr std::size_t MaxContents = 64;
  static constexpr auto NotLost = std::numeric_limits<std::uint64_t>::max();

  /// The same for a row that the store may have had before it was restored.
  [[nodiscard]] auto replaces(std::uint64_t Version,
                              const configuration_source &Source) const -> bool;
  auto remember(std::uint64_t Version, const configuration_source &Source)
      -> void;

  /// A configuration that was read.
  struct content {
    std::uint64_t Version = 0;
    std::uint64_t Hash = 0;
    /// In which the store had it last; 0 if only other gateways had it.
    std::uint64_t Era = 0;
  };

  configuration_mark InForce;
  /// In which the store or another gateway had the configuration in force.
  std::uint64_t InForceEra = 0;
  /// In which the store had the configuration in force; 0 if it is not known.
  std::uint64_t InForceStoredEra = 0;
  /// Least first version of the eras whose store had lost the configuration in
  /// force. Rows with a higher version were written after it.
  std::uint64_t LostVersion = NotLost;
  bool Restored = false;   ///< The store was restored since the start.
  bool Rose = false;       ///< The store has been restored, as far as known.
  bool StoreHasIt = false; ///< The store's row is the configuration in force.
  std::deque<content> Contents; ///< The latest last.
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_CONFIGURATION_HISTORY_H
