/// \file
/// Estimate of the prompt parts that a target still has in its cache.
#ifndef LIMPETBRIDGE_SERVING_PREFIX_CACHE_H
#define LIMPETBRIDGE_SERVING_PREFIX_CACHE_H

#include "serving/call.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace limpetbridge::serving {

/// Key of one cached prompt part. A part is cached per model and adapter and
/// only after the parts before it, so the key depends on all of them.
using prefix_key = std::uint64_t;

/// Keys of the parts of \p Prompt, in order.
[[nodiscard]] auto prefixKeys(const prompt &Prompt) -> std::vector<prefix_key>;

/// Model of one target's cache with least-recently-used eviction; sizes are in
/// tokens.
class prefix_cache {
public:
  /// \param CapacityTokens size of the target's cache.
  explicit prefix_cache(std::uint64_t CapacityTokens = 0)
      : Capacity(CapacityTokens) {}

  /// Number of leading tokens of \p Prompt that are probably cached.
  [[nodiscard]] auto cachedTokens(const prompt &Prompt,
                                  const std::vector<prefix_key> &Keys) const
      -> std::uint32_t;

  /// Records that the target has processed this part.
  auto add(prefix_key Key, std::uint32_t Tokens) -> void;

  /// Removes all parts, for instance after a restart of the target.
  auto clear() -> void;

  auto setCapacity(std::uint64_t CapacityTokens) -> void {
    Capacity = CapacityTokens;
  }

private:
  struct entry {
    std::uint32_t Tokens = 0;
    std::list<prefix_key>::iterator Position;
  };

  std::uint64_t Capacity;
  std::uint64_t UsedTokens = 0;
  std::list<prefix_key> Recent; ///< Most recent first.
  std::unordered_map<prefix_key, entry> Entries;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PREFIX_CACHE_H
