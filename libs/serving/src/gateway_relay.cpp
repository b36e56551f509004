#include "details/gateway_parts.h"

#include <algorithm>
#include <utility>

namespace limpetbridge::serving {

namespace {

/// Interval between two queries. A gateway that cannot read the store receives
/// changes about this much later than the others.
constexpr duration PeerQueryInterval = milliseconds(300);
/// Time for which an older configuration is tolerated before peers are queried:
/// this gateway's own read of the store may still be in progress.
constexpr duration StaleConfigurationGrace = milliseconds(300);

/// Interval of the queries for targets at the gateway that reads them.
constexpr duration FollowInterval = milliseconds(300);
/// Time without a read of the targets by the gateway that reads them, besides
/// the interval of its digests, after which this gateway reads them itself. A
/// draining target must stop getting work within two to four seconds.
constexpr duration MaxTargetsAge = milliseconds(1300);

/// The gateway of this data centre that reads the targets: among those whose
/// reads are recent, this one included, the one with the highest hash. Null if
/// it is this one or if there is none.
auto findTargetReader(const gateway_step &Step) -> const instance_name * {
  const auto &State = Step.State;
  const auto Oldest = Step.Now - MaxTargetsAge - digestInterval(State);
  const instance_name *Reader = nullptr;
  auto Highest = State.TargetsReadAt < Oldest
                     ? std::uint64_t{0}
                     : stableHash(State.Options.Self.Text);
  for (const auto &[Peer, Status] : State.PeerStatuses) {
    if (Status.DataCentre != State.Options.DataCentre ||
        Status.TargetsReadAt < Oldest || !State.Instances.contains(Peer))
      continue;
    if (const auto Hash = stableHash(Peer.Text); Hash > Highest) {
      Highest = Hash;
      Reader = &Peer;
    }
  }
  return Reader;
}

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

auto chooseTargetReader(const gateway_step &Step) -> void {
  auto &State = Step.State;
  const auto *Reader = findTargetReader(Step);
  // The first list comes from the store, so that no start depends on a peer.
  const bool Reads =
      Reader == nullptr || State.Configuration.Version == 0 ||
      (State.ReadsTargets && State.TargetsReadAt == time_point());
  if (std::exchange(State.ReadsTargets, Reads) != Reads) {
    addLogEntry(Step, log_level::Info, "target_reader_changed",
                {{"reader", Reads ? State.Options.Self.Text : Reader->Text}});
    // From now on the reader stands for the store.
    if (!Reads && !State.StoreReachable)
      handle(Step, store_reachability_changed{true});
  }
  if (Reads || Step.Now < State.NextPeerQuery ||
      State.PeerStatuses.at(*Reader).TargetsVersion <= State.TargetsVersion)
    return;
  State.NextPeerQuery = Step.Now + FollowInterval;
  Step.Effects.push_back(query_peer{State.Instances.at(*Reader).Address});
}

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
