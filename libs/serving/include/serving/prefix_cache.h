/// \file
/// Which prompt parts a target probably still has in its cache.
#ifndef LIMPETBRIDGE_SERVING_PREFIX_CACHE_H
#define LIMPETBRIDGE_SERVING_PREFIX_CACHE_H

#include "serving/call.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace limpetbridge::serving {

/// Key of one cached part: a part is kept only for its model and adapter and
/// only behind the parts before it.
using prefix_key = std::uint64_t;

/// Keys of the parts of \p Prompt, in order.
[[nodiscard]] auto prefixKeys(const prompt &Prompt) -> std::vector<prefix_key>;

/// Least-recently-used memory of one target's cache, in tokens.
class prefix_cache {
public:
  /// \param CapacityTokens size of the target's cache.
  explicit prefix_cache(std::uint64_t CapacityTokens = 0)
      : Capacity(CapacityTokens) {}

  /// Tokens at the front of \p Prompt that are probably cached.
  [[nodiscard]] auto cachedTokens(const prompt &Prompt,
                                  const std::vector<prefix_key> &Keys) const
      -> std::uint32_t;

  /// Notes that the target has read this part.
  auto add(prefix_key Key, std::uint32_t Tokens) -> void;

  /// Forgets everything, for instance when the target restarted.
  auto clear() -> void;

  auto setCapacity(std::uint64_t CapacityTokens) -> void {
    Capacity = CapacityTokens;
  }

private:
  struct entry {
    std::uint32_t Tokens = 0;
    std::list<prefix_key>::iterator Place;
  };

  std::uint64_t Capacity;
  std::uint64_t Used = 0;
  std::list<prefix_key> Recent; ///< Most recent first.
  std::unordered_map<prefix_key, entry> Entries;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PREFIX_CACHE_H
