/// \file
/// Fencing tokens of controllers. A token must be above that of every earlier
/// holder, also if the store has returned from an older copy since.
#ifndef LIMPETBRIDGE_SERVING_FENCING_TOKEN_H
#define LIMPETBRIDGE_SERVING_FENCING_TOKEN_H

#include <compare>
#include <cstdint>
#include <optional>

namespace limpetbridge::serving {

/// A point in the history of the store. Versions rise within an era and go back
/// when the next one begins, so positions are ordered by era first.
struct store_position {
  std::uint64_t Era = 0; ///< 0 if the store counts none.
  std::uint64_t Version = 0;
  auto operator<=>(const store_position &) const = default;
};

/// Packs \p Position into a whole number with the same order: the era in the
/// bits from 40 on. Without eras it is the version. JSON readers that use
/// doubles represent tokens exactly up to era 8,191.
/// \returns none if the position does not fit into 63 bits.
[[nodiscard]] auto makeFencingToken(const store_position &Position)
    -> std::optional<std::uint64_t>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_FENCING_TOKEN_H
