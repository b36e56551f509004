#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Interval between two queries. A gateway that cannot read the store receives
/// changes about this much later than the others.
constexpr duration PeerQueryInterval = milliseconds(300);
/// Time for which an older configuration is tolerated before peers are queried:
/// this gateway's own read of the store may still be in progress.
constexpr duration StaleConfigurationGrace = milliseconds(300);

/// True if this gateway has no configuration or a peer has a newer one.
auto isConfigurationStale(const gateway_state &State) -> bool {
  const auto Own = State.Configuration.Version;
  return Own == 0 ||
         std::any_of(State.PeerStatuses.begin(), State.PeerStatuses.end(),
                     [&](const auto &PeerStatus) {
                       return PeerStatus.second.Configuration > Own;
                     });
}

/// Addresses of the peers that can read the store. Without any, and as long as
/// no configuration is known, the addresses of the seeds.
auto peerQueryAddresses(const gateway_state &State)
    -> std::vector<std::string> {
  std::vector<std::string> Addresses;
  for (const auto &[Name, Instance] : State.Instances) {
    const auto Status = State.PeerStatuses.find(Name);
    if (Status != State.PeerStatuses.end() && Status->second.StoreReachable)
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
  const bool Stale =
      State.ConfigurationStaleSince != NoDeadline &&
      Step.Now - State.ConfigurationStaleSince >= StaleConfigurationGrace;
  if ((State.StoreReachable && !Stale) || Step.Now < State.NextPeerQuery)
    return;
  const auto Addresses = peerQueryAddresses(State);
  if (Addresses.empty())
    return;
  State.NextPeerQuery = Step.Now + PeerQueryInterval;
  Step.Effects.push_back(
      query_peer{Addresses[State.PeerQueryCount++ % Addresses.size()]});
}

} // namespace limpetbridge::serving
