/// \file
/// The key of a workspace, and the keyed hash by which it is found. Keys are
/// secrets: nothing converts one to text, so that none reaches a log, a metric,
/// an error or a page by mistake.
#ifndef LIMPETBRIDGE_SERVING_WORKSPACE_KEY_H
#define LIMPETBRIDGE_SERVING_WORKSPACE_KEY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace limpetbridge::serving {

/// Secret of the keyed hash. Each process draws its own, so that callers can't
/// find keys that share a position of the index.
struct hash_secret {
  /// XXH3 recommends at least 136 bytes.
  static constexpr std::size_t Size = 192;
  std::array<std::uint8_t, Size> Bytes{};

  /// A secret from the system's random numbers.
  [[nodiscard]] static auto random() -> hash_secret;
};

/// Keyed hash of a key. The comparison takes the same time for any values.
struct key_digest {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;

  auto operator==(const key_digest &Other) const -> bool {
    return ((Low ^ Other.Low) | (High ^ Other.High)) == 0;
  }
};

/// A key as it was declared, or as a caller has sent it: any bytes.
class workspace_key {
public:
  workspace_key() = default;
  explicit workspace_key(std::string Bytes) : Secret(std::move(Bytes)) {}

  [[nodiscard]] auto empty() const -> bool { return Secret.empty(); }
  /// False for keys that are empty, begin or end with a blank, or have control
  /// characters other than tabs: no header field has such a value.
  [[nodiscard]] auto isSendable() const -> bool;
  [[nodiscard]] auto digest(const hash_secret &HashSecret) const -> key_digest;
  /// Compares in a time that depends on the lengths only.
  auto operator==(const workspace_key &Other) const -> bool;

private:
  std::string Secret;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_WORKSPACE_KEY_H
