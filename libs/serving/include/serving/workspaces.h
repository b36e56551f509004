/// \file
/// Finds the workspace of a caller's key. The cost does not depend on the
/// number of keys, and the time tells nothing about the keys.
#ifndef LIMPETBRIDGE_SERVING_WORKSPACES_H
#define LIMPETBRIDGE_SERVING_WORKSPACES_H

#include "serving/configuration.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpetbridge::serving {

/// What a check of a request's key found.
enum class key_verdict : std::uint8_t {
  Accepted, ///< The key belongs to a workspace.
  Missing,  ///< The request has no key, or more than one.
  Unknown,  ///< No workspace has the key.
  Removed,  ///< It was accepted before; no workspace has it any more.
  Undecided ///< A newer configuration may have it, or not have it any more.
};

/// Name of the verdict in metrics.
[[nodiscard]] auto nameOf(key_verdict Verdict) -> std::string_view;

/// The keys of one configuration, by their digests.
class key_index {
public:
  /// A declared key that is not in the index.
  struct unusable_key {
    workspace_name Workspace;
    /// The workspace that has the key: the first one that declares it. Not set
    /// if no header field can hold the key.
    std::optional<workspace_name> Holder;
  };

  key_index() = default;
  key_index(std::vector<declared_key> Keys, const hash_secret &Secret);

  /// \param Digest of \p Key, with the secret of the index.
  /// \returns null if no workspace has \p Key.
  [[nodiscard]] auto find(const workspace_key &Key,
                          const key_digest &Digest) const
      -> const workspace_name *;

  /// Number of keys in the index.
  [[nodiscard]] auto size() const -> std::size_t { return Entries.size(); }
  /// Number of keys that were left out, and the first one. A key that its
  /// workspace declares twice is not among them.
  [[nodiscard]] auto unusableCount() const -> std::size_t {
    return UnusableCount;
  }
  [[nodiscard]] auto firstUnusable() const
      -> const std::optional<unusable_key> & {
    return FirstUnusable;
  }

private:
  /// Digests are hashes already, so their bits are used as they are.
  struct digest_hash {
    auto operator()(const key_digest &Digest) const -> std::size_t {
      return Digest.Low;
    }
  };
  struct entry {
    workspace_key Key;
    std::uint32_t Workspace = 0; ///< Position in Names.
  };

  std::vector<workspace_name> Names;
  std::unordered_map<key_digest, entry, digest_hash> Entries;
  std::size_t UnusableCount = 0;
  std::optional<unusable_key> FirstUnusable;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_WORKSPACES_H
