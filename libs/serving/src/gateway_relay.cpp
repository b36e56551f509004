#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Time between two questions; changes reach a gateway that the store turns
/// away about this much later than the others.
constexpr duration QuestionInterval = milliseconds(300);
/// A gateway may be behind for this long: its own reading is under way.
constexpr duration BehindGrace = milliseconds(300);

/// True if this gateway has no configuration, or another one has a newer.
auto isConfigurationStale(const gateway_state &State) -> bool {
  const auto Own = State.Configuration.Version;
  return Own == 0 ||
         std::any_of(
             State.PeerStatuses.begin(), State.PeerStatuses.end(),
             [&](const auto &Each) { return Each.second.Configuration > Own; });
}

/// Whom to ask: those that read the store; before any is heard, whoever may be
/// there.
auto peerQueryAddresses(const gateway_state &State)
    -> std::vector<std::string> {
  std::vector<std::string> Addresses;
  for (const auto &[Name, Instance] : State.Instances) {
    const auto View = State.PeerStatuses.find(Name);
    if (View != State.PeerStatuses.end() && View->second.StoreReachable)
      Addresses.push_back(Instance.Address);
  }
  if (Addresses.empty() && State.Configuration.Version == 0)
    Addresses = State.Options.Seeds;
  return Addresses;
}

} // namespace

auto queryPeers(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (!isConfigurationStale(State))
    State.ConfigurationStaleSince = NoDeadline;
  else if (State.ConfigurationStaleSince == NoDeadline)
    State.ConfigurationStaleSince = Step.Now;
  const bool Behind = State.ConfigurationStaleSince != NoDeadline &&
                      Step.Now - State.ConfigurationStaleSince >= BehindGrace;
  if ((State.StoreReachable && !Behind) || Step.Now < State.NextPeerQuery)
    return;
  const auto Addresses = peerQueryAddresses(State);
  if (Addresses.empty())
    return;
  State.NextPeerQuery = Step.Now + QuestionInterval;
  Step.Effects.push_back(
      query_peer{Addresses[State.PeerQueryCount++ % Addresses.size()]});
}

} // namespace limpetbridge::serving
