/// The age of this gateway's view of the targets: other gateways are asked
/// before it is too old, and requests wait or are refused while it is.
#include "details/gateway_parts.h"

#include <algorithm>
#include <random>

namespace limpetbridge::serving {

namespace {

/// Share of MaxViewAge from which on other gateways are asked.
constexpr double AskingShare = 0.75;
/// Gateways asked at a time: the answer of one may be lost.
constexpr std::size_t AskedAtATime = 2;
/// Interval of these queries, doubled while none is answered, so that a gateway
/// that is too slow for its answers does not ask for ever more.
constexpr duration MinAskInterval = milliseconds(200);
constexpr duration MaxAskInterval = milliseconds(1600);
/// Time in which a query has to be answered. It covers the retransmission of a
/// lost opening packet; a late answer is still of use.
constexpr duration ViewAnswerTime = milliseconds(1500);
/// For this long after another gateway was found to have an old view too, this
/// one does not wait for a better one, and asks again only in the last third.
constexpr duration StalePeerValidity = milliseconds(1500);
/// A gateway that has heard of no other one for this long is alone.
constexpr duration AloneAfter = seconds(10);
/// Longest wait of requests for a view that is current.
constexpr duration MaxViewWait = milliseconds(400);
/// Retry-after of a request that this gateway cannot place: another one can.
constexpr std::int64_t StaleViewRetryAfterMs = 100;

auto isCurrent(const gateway_state &State, time_point AsOf, time_point Now)
    -> bool {
  return Now - AsOf <= State.Options.MaxViewAge;
}

/// True if the last digest of another gateway names a current view.
auto hasCurrentPeer(const gateway_state &State, time_point Now) -> bool {
  return std::any_of(State.PeerStatuses.begin(), State.PeerStatuses.end(),
                     [&](const auto &PeerStatus) {
                       return isCurrent(State, PeerStatus.second.TargetsKnownAt,
                                        Now);
                     });
}

/// Addresses of the gateways that may have newer rows: those whose last digests
/// say so, else those that are heard, else all that are known.
auto viewSources(const gateway_step &Step) -> std::vector<std::string> {
  const auto &State = Step.State;
  std::vector<std::string> Current;
  std::vector<std::string> Heard;
  std::vector<std::string> Known;
  for (const auto &[Name, Instance] : State.Instances) {
    if (Name == State.Options.Self || Instance.Role != instance_role::Gateway)
      continue;
    Known.push_back(Instance.Address);
    const auto Status = State.PeerStatuses.find(Name);
    if (Status == State.PeerStatuses.end())
      continue;
    Heard.push_back(Instance.Address);
    if (isCurrent(State, Status->second.TargetsKnownAt, Step.Now))
      Current.push_back(Instance.Address);
  }
  return !Current.empty() ? Current : !Heard.empty() ? Heard : Known;
}

/// Dispatches the requests that wait for a current view.
auto dispatchViewWaits(const gateway_step &Step) -> void {
  std::vector<request_number> Numbers;
  for (const auto &[Number, Request] : Step.State.Requests)
    if (Request.AwaitsView)
      Numbers.push_back(Number);
  for (const auto Number : Numbers)
    dispatchRequest(Step, Number);
}

/// Notes that requests may not be sent, from now on.
auto beginStaleView(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (State.ViewStaleSince != NoDeadline)
    return;
  State.ViewStaleSince = Step.Now;
  addLogEntry(Step, log_level::Warning, "view_stale",
              {{"targets_age_ms", std::to_string(toMilliseconds(
                                      Step.Now - State.TargetsKnownAt))},
               {"peers", std::to_string(State.PeerStatuses.size())},
               {"reads_targets", State.ReadsTargets ? "true" : "false"}});
}

auto endStaleView(const gateway_step &Step) -> void {
  auto &State = Step.State;
  addLogEntry(
      Step, log_level::Info, "view_usable",
      {{"targets_age_ms",
        std::to_string(toMilliseconds(Step.Now - State.TargetsKnownAt))},
       {"after_ms",
        std::to_string(toMilliseconds(Step.Now - State.ViewStaleSince))}});
  State.ViewStaleSince = NoDeadline;
}

/// True if the view is about to be too old and another gateway may have a newer
/// one.
auto shouldAskForView(const gateway_state &State, time_point Now) -> bool {
  const auto AskingAge = std::chrono::duration_cast<duration>(
      AskingShare * State.Options.MaxViewAge);
  if (State.TargetsKnownAt == time_point() || Now < State.NextViewQuery ||
      Now - State.TargetsKnownAt < AskingAge)
    return false;
  return Now + StalePeerValidity / 3 >= State.PeersStaleUntil ||
         hasCurrentPeer(State, Now);
}

/// Asks other gateways for newer rows.
auto askForView(const gateway_step &Step) -> void {
  auto &State = Step.State;
  const auto Sources = viewSources(Step);
  if (Sources.empty())
    return;
  State.ViewAskInterval =
      std::clamp(2 * State.ViewAskInterval, MinAskInterval, MaxAskInterval);
  State.NextViewQuery = Step.Now + State.ViewAskInterval;
  const auto First = std::uniform_int_distribution<std::size_t>(
      0, Sources.size() - 1)(State.Random);
  for (std::size_t I = 0; I < std::min(AskedAtATime, Sources.size()); ++I)
    Step.Effects.push_back(query_peer{Sources[(First + I) % Sources.size()],
                                      Step.Now + ViewAnswerTime});
}

} // namespace

auto maxViewAge(duration LeavingBound) -> duration {
  /// Of a request on its way to its target.
  constexpr duration TravelTime = milliseconds(400);
  return LeavingBound - TravelTime;
}

auto maxTargetsWait(duration MaxViewAge) -> duration { return MaxViewAge / 4; }

auto mayChooseTargets(const gateway_state &State, time_point Now) -> bool {
  if (State.TargetsKnownAt == time_point() ||
      isCurrent(State, State.TargetsKnownAt, Now) ||
      Now - State.LastPeerMessageAt >= AloneAfter)
    return true;
  return Now < State.PeersStaleUntil && !hasCurrentPeer(State, Now);
}

auto hasLostView(const gateway_state &State, time_point Now) -> bool {
  return State.ViewStaleSince != NoDeadline &&
         Now - State.ViewStaleSince >= MaxViewWait &&
         !mayChooseTargets(State, Now);
}

auto rowsAreSettled(const gateway_state &State, time_point Now) -> bool {
  return State.FirstViewAt != time_point() &&
         Now - State.FirstViewAt >= State.Options.LostGrace &&
         Now >= State.RowGraceUntil;
}

auto recordView(const gateway_step &Step, time_point AsOf) -> void {
  auto &State = Step.State;
  if (AsOf == time_point())
    return;
  if (State.FirstViewAt == time_point())
    State.FirstViewAt = Step.Now;
  State.ViewIsOfOldEra = false;
  State.TargetsKnownAt = std::max(State.TargetsKnownAt, AsOf);
}

auto recordPeerView(const gateway_step &Step, const peer_answered &Event)
    -> void {
  auto &State = Step.State;
  if (!Event.Answered)
    return;
  State.LastPeerMessageAt = Step.Now;
  State.ViewAskInterval = duration::zero();
  if (!Event.TargetsKnownAt)
    return;
  // What counts is the view that the peer had, however late its answer comes.
  const bool PeerIsCurrent =
      Event.TargetsKnownAgeMs >= 0 &&
      milliseconds(Event.TargetsKnownAgeMs) <= State.Options.MaxViewAge;
  if (!PeerIsCurrent)
    State.PeersStaleUntil = Step.Now + StalePeerValidity;
  else if (Event.RowsAreSettled)
    endRowGrace(Step);
  recordView(Step, *Event.TargetsKnownAt);
  checkView(Step);
}

auto checkView(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (shouldAskForView(State, Step.Now))
    askForView(Step);
  if (mayChooseTargets(State, Step.Now)) {
    if (State.ViewStaleSince == NoDeadline)
      return;
    endStaleView(Step);
    return dispatchViewWaits(Step);
  }
  beginStaleView(Step);
  // They are refused now.
  if (hasLostView(State, Step.Now))
    dispatchViewWaits(Step);
}

auto awaitView(const gateway_step &Step, request_number Number) -> void {
  beginStaleView(Step);
  if (hasLostView(Step.State, Step.Now))
    return refuseRequest(Step, Number, result_code::NotReady,
                         StaleViewRetryAfterMs,
                         "other gateways know the targets better");
  Step.State.Requests.at(Number).AwaitsView = true;
}

} // namespace limpetbridge::serving
