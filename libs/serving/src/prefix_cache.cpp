#include "serving/prefix_cache.h"

#include <string>

namespace limpetbridge::serving {

auto prefixKeys(const prompt &Prompt) -> std::vector<prefix_key> {
  std::vector<prefix_key> Keys;
  Keys.reserve(Prompt.Parts.size());
  auto Key = stableHash(Prompt.Model.Text + "/" + Prompt.Adapter);
  for (const auto &Part : Prompt.Parts) {
    Key = stableHash(std::to_string(Part.Id), Key);
    Keys.push_back(Key);
  }
  return Keys;
}

auto prefix_cache::cachedTokens(const prompt &Prompt,
                                const std::vector<prefix_key> &Keys) const
    -> std::uint32_t {
  std::uint32_t Cached = 0;
  for (std::size_t I = 0; I < Keys.size(); ++I) {
    if (!Entries.contains(Keys[I]))
      break;
    Cached += Prompt.Parts[I].Tokens;
  }
  return Cached;
}

auto prefix_cache::add(prefix_key Key, std::uint32_t Tokens) -> void {
  const auto Found = Entries.find(Key);
  if (Found != Entries.end()) {
    Recent.splice(Recent.begin(), Recent, Found->second.Position);
    return;
  }
  Recent.push_front(Key);
  Entries[Key] = {Tokens, Recent.begin()};
  UsedTokens += Tokens;
  while (UsedTokens > Capacity && !Recent.empty()) {
    const auto Oldest = Entries.find(Recent.back());
    UsedTokens -= Oldest->second.Tokens;
    Entries.erase(Oldest);
    Recent.pop_back();
  }
}

auto prefix_cache::clear() -> void {
  Recent.clear();
  Entries.clear();
  UsedTokens = 0;
}

} // namespace limpetbridge::serving
