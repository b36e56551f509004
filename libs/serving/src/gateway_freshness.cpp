/// The age of what this gateway knows of the targets and of the configuration.
/// The store and other gateways are asked before it is too old to decide by;
/// while it is too old, requests wait for a short time and are then left to
/// gateways that know better.
#include "details/gateway_parts.h"

#include <algorithm>
#include <array>
#include <random>

namespace limpetbridge::serving {

namespace {

/// Shares of the longest age from which on others are asked. A gateway that
/// reads the store or follows one that does stays below it: its knowledge is at
/// most as old as the wait of a read (see maxTargetsWait, maxConfigurationWait)
/// and that of a query together.
constexpr double TargetsAskingShare = 0.75;
constexpr double ConfigurationAskingShare = 0.8;
/// Gateways asked at a time: the answer of one may be lost.
constexpr std::size_t AskedAtATime = 2;
/// Interval of these queries, doubled while none is answered, so that a gateway
/// that is too slow for its answers does not ask for ever more.
constexpr duration MinAskInterval = milliseconds(200);
constexpr duration MaxAskInterval = milliseconds(1600);
/// Time in which a query has to be answered. It covers the retransmission of a
/// lost opening packet; a late answer is still of use.
constexpr duration AnswerTime = milliseconds(1500);
/// For this long after another gateway was found to know nothing newer, this
/// one does not wait for better knowledge, and asks again only in the last
/// third.
constexpr duration StalePeerValidity = milliseconds(1500);
/// A gateway that has received no message of another one for this long is
/// alone.
constexpr duration AloneAfter = seconds(10);
/// A process that had no turn or no tick for longer was frozen or lacks
/// processor time, and could not receive messages.
constexpr duration MaxTurn = seconds(1);
/// Longest wait of requests for knowledge that is recent enough.
constexpr duration MaxWait = milliseconds(400);
/// Retry-after of a request that another gateway can place.
constexpr std::int64_t StaleRetryAfterMs = 100;

constexpr std::array AllKinds = {knowledge_kind::Targets,
                                 knowledge_kind::Configuration};

/// Names in the log, and the reason of refusals.
struct kind_texts {
  const char *StaleEvent;
  const char *UsableEvent;
  const char *AgeField;
  const char *Reason;
};

auto textsOf(knowledge_kind Kind) -> const kind_texts & {
  static constexpr std::array<kind_texts, AllKinds.size()> Texts = {{
      {"view_stale", "view_usable", "targets_age_ms",
       "other gateways know the targets better"},
      {"configuration_stale", "configuration_usable", "configuration_age_ms",
       "other gateways may have a newer configuration"},
  }};
  return Texts.at(static_cast<std::size_t>(Kind));
}

auto knowledgeOf(gateway_state &State, knowledge_kind Kind)
    -> knowledge_state & {
  return Kind == knowledge_kind::Targets ? State.Targets
                                         : State.ConfigurationAge;
}

auto knowledgeOf(const gateway_state &State, knowledge_kind Kind)
    -> const knowledge_state & {
  return Kind == knowledge_kind::Targets ? State.Targets
                                         : State.ConfigurationAge;
}

auto maxAgeOf(const gateway_state &State, knowledge_kind Kind) -> duration {
  return Kind == knowledge_kind::Targets ? State.Options.MaxViewAge
                                         : State.Options.MaxConfigurationAge;
}

/// True if the last digest of the gateway says that it may decide by what it
/// knows, and that is no older than what this one knows.
auto isCurrentPeer(const gateway_state &State, knowledge_kind Kind,
                   const gateway_state::peer_status &Status, time_point Now)
    -> bool {
  if (Kind == knowledge_kind::Targets)
    return Now - Status.TargetsKnownAt <= maxAgeOf(State, Kind);
  return isAhead(State, Status) ||
         (Now - Status.ConfigurationKnownAt <= maxAgeOf(State, Kind) &&
          !State.ConfigurationHistory.inForce().isNewerThan(
              Status.Configuration));
}

auto hasCurrentPeer(const gateway_state &State, knowledge_kind Kind,
                    time_point Now) -> bool {
  return std::any_of(State.PeerStatuses.begin(), State.PeerStatuses.end(),
                     [&](const auto &PeerStatus) {
                       return isCurrentPeer(State, Kind, PeerStatus.second,
                                            Now);
                     });
}

auto isAlone(const gateway_state &State, time_point Now) -> bool {
  return Now - std::max(State.LastPeerMessageAt, State.RunningSince) >=
         AloneAfter;
}

/// True if what is known is about to be too old and another gateway may know
/// better.
auto lacks(const gateway_state &State, knowledge_kind Kind, time_point Now)
    -> bool {
  const auto &Known = knowledgeOf(State, Kind);
  const double Share = Kind == knowledge_kind::Targets
                           ? TargetsAskingShare
                           : ConfigurationAskingShare;
  const auto AskingAge =
      std::chrono::duration_cast<duration>(Share * maxAgeOf(State, Kind));
  const bool IsUnknown = Known.KnownAt == time_point();
  if (IsUnknown &&
      (Kind == knowledge_kind::Targets || State.Configuration.Version == 0))
    return false;
  if (!IsUnknown && Now - Known.KnownAt < AskingAge)
    return false;
  return Now + StalePeerValidity / 3 >= Known.PeersStaleUntil ||
         hasCurrentPeer(State, Kind, Now);
}

/// Addresses of the gateways that may know better: those whose last digests say
/// so, else those that send digests, else all that are known, else the seeds: a
/// gateway that the store turns away may have no row of another one.
auto findSources(const gateway_step &Step,
                 const std::vector<knowledge_kind> &Lacking)
    -> std::vector<std::string> {
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
    if (std::all_of(Lacking.begin(), Lacking.end(), [&](knowledge_kind Kind) {
          return isCurrentPeer(State, Kind, Status->second, Step.Now);
        }))
      Current.push_back(Instance.Address);
  }
  if (!Current.empty())
    return Current;
  if (!Heard.empty())
    return Heard;
  return Known.empty() ? State.Options.Seeds : Known;
}

/// Asks for what this gateway is about to know too little of. An answer of
/// another gateway has both kinds of knowledge.
auto askForKnowledge(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (Step.Now < State.NextKnowledgeQuery)
    return;
  std::vector<knowledge_kind> Lacking;
  for (const auto Kind : AllKinds)
    if (lacks(State, Kind, Step.Now))
      Lacking.push_back(Kind);
  if (Lacking.empty())
    return;
  State.KnowledgeAskInterval = std::clamp(2 * State.KnowledgeAskInterval,
                                          MinAskInterval, MaxAskInterval);
  State.NextKnowledgeQuery = Step.Now + State.KnowledgeAskInterval;
  // The own call for changes may have fallen silent. A gateway that follows
  // another one calls the store only if that does not help.
  if (Lacking.back() == knowledge_kind::Configuration && State.StoreReachable &&
      (State.ReadsTargets ||
       !mayDecide(State, knowledge_kind::Configuration, Step.Now)))
    Step.Effects.push_back(read_configuration{});
  const auto Sources = findSources(Step, Lacking);
  if (Sources.empty())
    return;
  const auto First = std::uniform_int_distribution<std::size_t>(
      0, Sources.size() - 1)(State.Random);
  for (std::size_t I = 0; I < std::min(AskedAtATime, Sources.size()); ++I)
    Step.Effects.push_back(query_peer{Sources[(First + I) % Sources.size()],
                                      Step.Now + AnswerTime});
}

/// Decides again on the requests that wait for this kind of knowledge.
auto resumeWaits(const gateway_step &Step, knowledge_kind Kind) -> void {
  std::vector<request_number> Numbers;
  for (const auto &[Number, Request] : Step.State.Requests)
    if (Request.Awaited == Kind)
      Numbers.push_back(Number);
  for (const auto Number : Numbers) {
    if (Step.State.Requests.at(Number).IsRouted)
      dispatchRequest(Step, Number);
    else
      routeRequest(Step, Number);
  }
}

auto beginStaleness(const gateway_step &Step, knowledge_kind Kind) -> void {
  auto &State = Step.State;
  auto &Known = knowledgeOf(State, Kind);
  if (Known.StaleSince != NoDeadline)
    return;
  Known.StaleSince = Step.Now;
  addLogEntry(Step, log_level::Warning, textsOf(Kind).StaleEvent,
              {{textsOf(Kind).AgeField, std::to_string(Known.ageMs(Step.Now))},
               {"configuration", std::to_string(State.Configuration.Version)},
               {"peers", std::to_string(State.PeerStatuses.size())},
               {"store_reachable", State.StoreReachable ? "true" : "false"},
               {"reads_targets", State.ReadsTargets ? "true" : "false"}});
}

auto endStaleness(const gateway_step &Step, knowledge_kind Kind) -> void {
  auto &State = Step.State;
  auto &Known = knowledgeOf(State, Kind);
  addLogEntry(Step, log_level::Info, textsOf(Kind).UsableEvent,
              {{textsOf(Kind).AgeField, std::to_string(Known.ageMs(Step.Now))},
               {"configuration", std::to_string(State.Configuration.Version)},
               {"after_ms",
                std::to_string(toMilliseconds(Step.Now - Known.StaleSince))}});
  Known.StaleSince = NoDeadline;
}

} // namespace

auto maxViewAge(duration LeavingBound) -> duration {
  /// Of a request on its way to its target.
  constexpr duration TravelTime = milliseconds(400);
  return LeavingBound - TravelTime;
}

auto maxConfigurationAge(duration ApplyBound) -> duration {
  /// The bound counts from the acknowledgement by the store, which measures the
  /// waits of calls by its own clock.
  constexpr int MarginDivisor = 10;
  return ApplyBound - ApplyBound / MarginDivisor;
}

auto maxTargetsWait(duration MaxViewAge) -> duration { return MaxViewAge / 4; }

auto maxConfigurationWait(duration MaxAge) -> duration { return MaxAge / 2; }

auto configurationAgeMs(const gateway_state &State, time_point Now)
    -> std::int64_t {
  return State.ConfigurationAge.ageMs(Now);
}

auto isConfigurationCurrent(const gateway_state &State, time_point Now)
    -> bool {
  const auto KnownAt = State.ConfigurationAge.KnownAt;
  return KnownAt != time_point() &&
         Now - KnownAt <= State.Options.MaxConfigurationAge &&
         !isConfigurationStale(State);
}

auto mayDecide(const gateway_state &State, knowledge_kind Kind, time_point Now)
    -> bool {
  const auto &Known = knowledgeOf(State, Kind);
  const bool IsUnknown = Known.KnownAt == time_point();
  if (IsUnknown ? Kind == knowledge_kind::Targets
                : Now - Known.KnownAt <= maxAgeOf(State, Kind))
    return true;
  if (isAlone(State, Now))
    return true;
  return Now < Known.PeersStaleUntil && !hasCurrentPeer(State, Kind, Now);
}

auto mustLeaveToOthers(const gateway_state &State, knowledge_kind Kind,
                       time_point Now) -> bool {
  const auto &Known = knowledgeOf(State, Kind);
  return Known.StaleSince != NoDeadline && Now - Known.StaleSince >= MaxWait &&
         !mayDecide(State, Kind, Now);
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
  State.Targets.record(AsOf);
}

auto handle(const gateway_step &Step, const configuration_confirmed &Event)
    -> void {
  auto &State = Step.State;
  // A store that has lost the configuration in force does not confirm it.
  if (!State.ConfigurationHistory.storeHasIt())
    return;
  State.ConfigurationAge.record(Event.AsOf);
  checkKnowledge(Step);
}

auto recordPeerKnowledge(const gateway_step &Step, const peer_answered &Event)
    -> void {
  auto &State = Step.State;
  if (!Event.Answered)
    return;
  State.LastPeerMessageAt = Step.Now;
  State.KnowledgeAskInterval = duration::zero();
  // What counts is what the peer knew, however late its answer comes.
  const auto IsCurrent = [&](knowledge_kind Kind, std::int64_t AgeMs) {
    return AgeMs >= 0 && milliseconds(AgeMs) <= maxAgeOf(State, Kind);
  };
  if (Event.TargetsKnownAt) {
    if (!IsCurrent(knowledge_kind::Targets, Event.TargetsKnownAgeMs))
      State.Targets.PeersStaleUntil = Step.Now + StalePeerValidity;
    else if (Event.RowsAreSettled)
      endRowGrace(Step);
    recordView(Step, *Event.TargetsKnownAt);
  }
  if (Event.ConfigurationKnownAgeMs &&
      !IsCurrent(knowledge_kind::Configuration, *Event.ConfigurationKnownAgeMs))
    State.ConfigurationAge.PeersStaleUntil = Step.Now + StalePeerValidity;
  if (Event.ConfigurationKnownAt)
    State.ConfigurationAge.record(*Event.ConfigurationKnownAt);
  checkKnowledge(Step);
}

auto handle(const gateway_step &Step, const machine_resumed &Event) -> void {
  auto &State = Step.State;
  for (const auto Kind : AllKinds)
    knowledgeOf(State, Kind).addSuspension(Event.Suspended);
  State.RunningSince = Step.Now;
  restartQuotas(Step, Event.Incarnation);
}

auto noteTurn(const gateway_step &Step, bool IsTick) -> void {
  auto &State = Step.State;
  const auto IsLate = [&](time_point Last) {
    return Last != time_point() && Step.Now - Last > MaxTurn;
  };
  const bool Woke = IsLate(State.LastTurnAt);
  if (Woke || IsLate(State.LastTickAt))
    State.RunningSince = Step.Now;
  State.LastTurnAt = Step.Now;
  if (IsTick)
    State.LastTickAt = Step.Now;
  // Requests may come before the first tick.
  if (Woke)
    askForKnowledge(Step);
}

auto checkKnowledge(const gateway_step &Step) -> void {
  auto &State = Step.State;
  askForKnowledge(Step);
  for (const auto Kind : AllKinds) {
    if (Kind == knowledge_kind::Configuration &&
        State.Configuration.Version == 0)
      continue;
    const bool WasStale = knowledgeOf(State, Kind).StaleSince != NoDeadline;
    if (mayDecide(State, Kind, Step.Now)) {
      if (!WasStale)
        continue;
      endStaleness(Step, Kind);
      resumeWaits(Step, Kind);
      continue;
    }
    beginStaleness(Step, Kind);
    // They are refused now.
    if (mustLeaveToOthers(State, Kind, Step.Now))
      resumeWaits(Step, Kind);
  }
}

auto awaitKnowledge(const gateway_step &Step, request_number Number,
                    knowledge_kind Kind) -> bool {
  auto &State = Step.State;
  auto &Request = State.Requests.at(Number);
  Request.Awaited.reset();
  if (mayDecide(State, Kind, Step.Now))
    return false;
  beginStaleness(Step, Kind);
  if (mustLeaveToOthers(State, Kind, Step.Now))
    refuseRequest(Step, Number, result_code::NotReady, StaleRetryAfterMs,
                  textsOf(Kind).Reason);
  else
    Request.Awaited = Kind;
  return true;
}

} // namespace limpetbridge::serving
