#include "base/ids.h"

#include <xxhash.h>

#include <cstdio>

namespace limpetbridge {

namespace {

/// Holds two 64-bit numbers in hexadecimal, a hyphen and the null.
constexpr std::size_t RequestIdBufferBytes = 48;

} // namespace

auto toString(const request_id &Id) -> std::string {
  char Buffer[RequestIdBufferBytes];
  const auto Length =
      std::snprintf(Buffer, sizeof(Buffer), "%llx-%llx",
                    static_cast<unsigned long long>(Id.Entry.Value),
                    static_cast<unsigned long long>(Id.Counter));
  return {Buffer, static_cast<std::size_t>(Length)};
}

auto toString(const attempt_id &Id) -> std::string {
  return toString(Id.Request) + "." + std::to_string(Id.Attempt);
}

auto stableHash(std::string_view Text, std::uint64_t Seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace limpetbridge
