/// The age of the configuration in force, as far as keys depend on it: a key
/// may have been removed since. The store and other gateways are asked before
/// the configuration is too old to rely on.
#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Share of the limit from which on the store and other gateways are asked. A
/// gateway that reads the store knows of changes within 1.5 s, one that another
/// gateway reads for within 2 s, so that neither asks.
constexpr double AskingShare = 0.5;
/// Bounds of the interval of these queries, which doubles while no answer
/// confirms the configuration: then the store may be away for all gateways.
constexpr duration MinQueryInterval = milliseconds(300);
constexpr duration MaxQueryInterval = milliseconds(1600);
/// Longest wait of requests for a confirmation. A process that wakes after a
/// suspension has one within a round trip.
constexpr duration MaxConfirmationWait = milliseconds(400);
/// Retry-after of a request that another gateway can serve, and of one that no
/// gateway can, as far as is known, ms.
constexpr std::int64_t OtherGatewayRetryAfterMs = 100;
constexpr std::int64_t NoGatewayRetryAfterMs = 1000;

auto hasKeys(const gateway_state &State) -> bool {
  return !State.Configuration.Workspaces.empty();
}

/// The oldest configuration on whose keys requests are sent; the rest of the
/// bound is the time of a request on its way.
auto maxConfigurationAge(const gateway_state &State) -> duration {
  return maxViewAge(State.Options.RevocationBound);
}

/// True once the wait for a confirmation is over.
auto waitIsOver(const gateway_state &State, time_point Now) -> bool {
  return State.KeysDoubtfulSince != NoDeadline &&
         Now - State.KeysDoubtfulSince >= MaxConfirmationWait;
}

/// True if another gateway reads the store, according to its last digest.
auto hasPeerAtStore(const gateway_state &State) -> bool {
  return std::any_of(
      State.PeerStatuses.begin(), State.PeerStatuses.end(),
      [](const auto &Peer) { return Peer.second.StoreReachable; });
}

auto ageText(const gateway_step &Step) -> std::string {
  return std::to_string(configurationAgeMs(Step.State, Step.Now));
}

/// Notes that the keys are not known to be valid, from now on.
auto beginDoubt(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (State.KeysDoubtfulSince != NoDeadline)
    return;
  State.KeysDoubtfulSince = Step.Now;
  addLogEntry(Step, log_level::Warning, "keys_doubtful",
              {{"configuration", std::to_string(State.Configuration.Version)},
               {"configuration_age_ms", ageText(Step)},
               {"peers", std::to_string(State.PeerStatuses.size())},
               {"store_reachable", State.StoreReachable ? "true" : "false"}});
}

auto endDoubt(const gateway_step &Step) -> void {
  auto &State = Step.State;
  addLogEntry(Step, log_level::Info, "keys_confirmed",
              {{"configuration", std::to_string(State.Configuration.Version)},
               {"configuration_age_ms", ageText(Step)},
               {"after_ms", std::to_string(toMilliseconds(
                                Step.Now - State.KeysDoubtfulSince))}});
  State.KeysDoubtfulSince = NoDeadline;
}

auto dispatchConfirmationWaits(const gateway_step &Step) -> void {
  std::vector<request_number> Numbers;
  for (const auto &[Number, Request] : Step.State.Requests)
    if (Request.AwaitsConfiguration)
      Numbers.push_back(Number);
  for (const auto Number : Numbers)
    dispatchRequest(Step, Number);
}

} // namespace

auto configurationAgeMs(const gateway_state &State, time_point Now)
    -> std::int64_t {
  return State.ConfigurationKnownAt == time_point()
             ? -1
             : toMilliseconds(Now - State.ConfigurationKnownAt);
}

auto areKeysCurrent(const gateway_state &State, time_point Now) -> bool {
  if (!hasKeys(State))
    return true;
  if (State.ConfigurationKnownAt == time_point())
    return !State.Options.RevocationIsStrict;
  return Now - State.ConfigurationKnownAt <= maxConfigurationAge(State);
}

auto needsConfirmation(const gateway_state &State, time_point Now) -> bool {
  return hasKeys(State) && Now - State.ConfigurationKnownAt >=
                               std::chrono::duration_cast<duration>(
                                   AskingShare * maxConfigurationAge(State));
}

auto nextQueryInterval(gateway_state &State) -> duration {
  State.ConfigurationQueryInterval = std::clamp(
      2 * State.ConfigurationQueryInterval, MinQueryInterval, MaxQueryInterval);
  return State.ConfigurationQueryInterval;
}

auto hasLostKeys(const gateway_state &State, time_point Now) -> bool {
  return State.Options.RevocationIsStrict && !areKeysCurrent(State, Now) &&
         waitIsOver(State, Now) && hasPeerAtStore(State);
}

auto handle(const gateway_step &Step, const configuration_confirmed &Event)
    -> void {
  // A store that has lost the configuration in force does not confirm it.
  if (Step.State.ConfigurationHistory.storeHasIt())
    recordConfigurationAge(Step, Event.AsOf);
}

auto recordConfigurationAge(const gateway_step &Step, time_point AsOf) -> void {
  auto &State = Step.State;
  if (AsOf <= State.ConfigurationKnownAt)
    return;
  State.ConfigurationKnownAt = AsOf;
  if (!needsConfirmation(State, Step.Now))
    State.ConfigurationQueryInterval = duration::zero();
  checkConfigurationAge(Step);
}

auto checkConfigurationAge(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (!areKeysCurrent(State, Step.Now)) {
    beginDoubt(Step);
    if (waitIsOver(State, Step.Now))
      dispatchConfirmationWaits(Step);
    return;
  }
  if (State.KeysDoubtfulSince == NoDeadline)
    return;
  endDoubt(Step);
  dispatchConfirmationWaits(Step);
}

auto awaitConfirmation(const gateway_step &Step, request_number Number)
    -> bool {
  auto &State = Step.State;
  auto &Request = State.Requests.at(Number);
  if (!Request.Workspace || areKeysCurrent(State, Step.Now))
    return false;
  beginDoubt(Step);
  if (!waitIsOver(State, Step.Now)) {
    Request.AwaitsConfiguration = true;
    queryPeers(Step);
    return true;
  }
  // Without strictness, keys are accepted as long as nobody knows better.
  if (!State.Options.RevocationIsStrict)
    return false;
  Step.Effects.push_back(record_key_check{key_verdict::Undecided, {}});
  refuseRequest(Step, Number, result_code::NotReady,
                hasPeerAtStore(State) ? OtherGatewayRetryAfterMs
                                      : NoGatewayRetryAfterMs,
                "the key may have been removed since the last configuration");
  return true;
}

} // namespace limpetbridge::serving
