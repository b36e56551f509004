#include "serving/workspace_key.h"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace limpetbridge::serving {

auto hash_secret::random() -> hash_secret {
  hash_secret Secret;
  std::random_device Device;
  std::uniform_int_distribution<int> Byte(0, UINT8_MAX);
  for (auto &Each : Secret.Bytes)
    Each = static_cast<std::uint8_t>(Byte(Device));
  return Secret;
}

auto workspace_key::isSendable() const -> bool {
  constexpr unsigned char Delete = 0x7f;
  const auto IsBlank = [](char Character) {
    return Character == ' ' || Character == '\t';
  };
  const auto IsControl = [](char Character) {
    const auto Byte = static_cast<unsigned char>(Character);
    return (Byte < ' ' && Character != '\t') || Byte == Delete;
  };
  return !Secret.empty() && !IsBlank(Secret.front()) &&
         !IsBlank(Secret.back()) &&
         std::none_of(Secret.begin(), Secret.end(), IsControl);
}

auto workspace_key::digest(const hash_secret &HashSecret) const -> key_digest {
  const auto Hash =
      XXH3_128bits_withSecret(Secret.data(), Secret.size(),
                              HashSecret.Bytes.data(), HashSecret.Bytes.size());
  return {Hash.low64, Hash.high64};
}

auto workspace_key::operator==(const workspace_key &Other) const -> bool {
  if (Secret.size() != Other.Secret.size())
    return false;
  // Volatile, so that the compiler does not leave the loop early.
  volatile unsigned char Difference = 0;
  for (std::size_t I = 0; I < Secret.size(); ++I)
    Difference =
        Difference | static_cast<unsigned char>(Secret[I] ^ Other.Secret[I]);
  return Difference == 0;
}

} // namespace limpetbridge::serving
