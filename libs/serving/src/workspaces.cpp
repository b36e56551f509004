#include "serving/workspaces.h"

#include <map>

namespace limpetbridge::serving {

auto nameOf(key_verdict Verdict) -> std::string_view {
  switch (Verdict) {
  case key_verdict::Accepted:
    return "accepted";
  case key_verdict::Missing:
    return "missing";
  case key_verdict::Unknown:
    return "unknown";
  case key_verdict::Removed:
    return "removed";
  case key_verdict::Undecided:
    return "undecided";
  }
  return "unknown";
}

key_index::key_index(std::vector<declared_key> Keys,
                     const hash_secret &Secret) {
  std::map<workspace_name, std::uint32_t> Positions;
  Entries.reserve(Keys.size());
  const auto LeaveOut = [&](unusable_key Unusable) {
    if (UnusableCount++ == 0)
      FirstUnusable = std::move(Unusable);
  };
  for (auto &Declared : Keys) {
    const auto &Workspace = Declared.Workspace;
    if (!Declared.Key.isSendable()) {
      LeaveOut({Workspace, std::nullopt});
      continue;
    }
    const auto [Known, IsNew] = Positions.try_emplace(
        Workspace, static_cast<std::uint32_t>(Names.size()));
    if (IsNew)
      Names.push_back(Workspace);
    const auto Digest = Declared.Key.digest(Secret);
    const auto [Holder, Inserted] = Entries.try_emplace(
        Digest, entry{std::move(Declared.Key), Known->second});
    if (!Inserted && Holder->second.Workspace != Known->second)
      LeaveOut({Workspace, Names[Holder->second.Workspace]});
  }
}

auto key_index::find(const workspace_key &Key, const key_digest &Digest) const
    -> const workspace_name * {
  const auto Found = Entries.find(Digest);
  // XXH3 is not made to withstand an attacker who knows its secret, so the
  // digest alone admits nobody.
  if (Found == Entries.end() || !(Found->second.Key == Key))
    return nullptr;
  return &Names[Found->second.Workspace];
}

} // namespace limpetbridge::serving
