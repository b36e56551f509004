/// Connections to targets that are kept: which one an attempt uses, what
/// becomes of it afterwards, and the repeat after one that was lost.
#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Cost that decides between targets of equal cost, ms.
constexpr double TieBreakMs = 0.01;

/// True if the request may be sent once more after it was lost on a kept
/// connection.
auto mayBeRepeated(const request_state &Request) -> bool {
  return isRepeatable(Request.Route) &&
         Request.Attempts + 1 < Request.Route.MaxAttempts;
}

auto callHash(const request_state &Request) -> std::uint64_t {
  return stableHash(Request.Call.Id);
}

/// How the request may use kept connections to \p Entry.
auto makeUser(const gateway_step &Step, const request_state &Request,
              const target_entry &Entry) -> connection_user {
  const auto &State = Step.State;
  const auto &Target = Entry.Target;
  connection_user User{Target.Incarnation, callHash(Request), std::nullopt};
  if (mayBeRepeated(Request))
    return User;
  // The target may have ended.
  const bool Doubtful = Entry.RowMissingSince != NoDeadline ||
                        State.PossibleCrashes.contains(Target.Name);
  User.RestingAfter =
      Step.Now - (Doubtful ? duration::zero()
                           : State.ConnectionTrust.singleUseRest(
                                 State.Options.Connections, Target.Service,
                                 Target.Name, Step.Now));
  return User;
}

auto closeConnections(const gateway_step &Step,
                      std::vector<connection_number> Numbers,
                      close_reason Reason) -> void {
  if (!Numbers.empty())
    Step.Effects.push_back(close_connections{std::move(Numbers), Reason});
}

/// This gateway's part of the connections that the target accepts.
auto connectionShareAt(const gateway_state &State, const target &Target)
    -> std::size_t {
  const auto Service = State.Configuration.Services.find(Target.Service);
  const auto Limit = Service == State.Configuration.Services.end()
                         ? 0
                         : Service->second.ConnectionLimit;
  return connectionShare(Limit, gatewayCount(State));
}

/// Gives up the longest-rested connections to the target of \p Entry while the
/// resting ones and the \p Busy ones exceed this gateway's part.
auto makeRoom(const gateway_step &Step, const target_entry &Entry,
              std::size_t Busy) -> void {
  auto &Kept = Step.State.KeptConnections;
  const auto Share = connectionShareAt(Step.State, Entry.Target);
  std::vector<connection_number> GivenUp;
  while (Busy + Kept.countAt(Entry.Target.Name) > Share) {
    const auto Number = Kept.removeOldest(Entry.Target.Name);
    if (Number == 0)
      break;
    GivenUp.push_back(Number);
  }
  closeConnections(Step, std::move(GivenUp), close_reason::TargetLimit);
}

auto logTrust(const gateway_step &Step, const kept_connection &Connection,
              const char *Cause) -> void {
  const auto Rest = Step.State.ConnectionTrust.singleUseRest(
      Step.State.Options.Connections, Connection.Service, Connection.Target,
      Step.Now);
  addLogEntry(Step, log_level::Info, "connection_rest_shortened",
              {{"service", Connection.Service.Text},
               {"target", Connection.Target.Text},
               {"cause", Cause},
               {"rested_ms", std::to_string(toMilliseconds(
                                 Step.Now - Connection.RestingSince))},
               {"single_use_ms", std::to_string(toMilliseconds(Rest))}});
}

/// True if the target accepts requests in the incarnation that the attempt was
/// sent to, and still holds what the request asks for.
auto stillServes(const gateway_step &Step, const target_entry *Entry,
                 const request_state &Request) -> bool {
  const auto &Prompt = Request.Call.Prompt;
  return Entry != nullptr &&
         Entry->Target.Incarnation == Request.SentIncarnation &&
         Entry->acceptsRequests(Step.Now) &&
         mayDecide(Step.State, knowledge_kind::Targets, Step.Now) &&
         (!Request.Call.HasPrompt ||
          (Entry->serves(Prompt.Model) &&
           hasLoaded(Entry->Target, Prompt.Model, Prompt.Adapter)));
}

} // namespace

auto isRepeatable(const route &Route) -> bool {
  return Route.Kind == request_kind::Idempotent || Route.Resumable;
}

auto takeConnection(const gateway_step &Step, request_state &Request,
                    const target_entry &Entry) -> connection_number {
  Request.Connection = kept_connection();
  const bool NeedsNew = std::exchange(Request.NeedsNewConnection, false);
  if (!Step.State.Options.Connections.Enabled)
    return 0;
  if (!NeedsNew)
    if (auto Taken = Step.State.KeptConnections.take(
            Entry.Target.Name, makeUser(Step, Request, Entry), Step.Now)) {
      Request.Connection = std::move(*Taken);
      return Request.Connection.Number;
    }
  makeRoom(Step, Entry, Entry.OwnLoad.activeCount() + 1);
  return 0;
}

auto addConnectionCost(const gateway_step &Step, const request_state &Request,
                       pick_request &PickRequest) -> void {
  const auto &Policy = Step.State.Options.Connections;
  if (!Policy.Enabled)
    return;
  PickRequest.ConnectionCostMs = std::max(Policy.ConnectionCostMs, TieBreakMs);
  PickRequest.HasConnection = [&Step, &Request](const target_entry &Entry) {
    return Step.State.KeptConnections.has(
        Entry.Target.Name, makeUser(Step, Request, Entry), Step.Now);
  };
}

auto handle(const gateway_step &Step, const connection_rested &Event) -> void {
  auto &State = Step.State;
  const auto &Policy = State.Options.Connections;
  const auto Close = [&](close_reason Reason) {
    closeConnections(Step, {Event.Connection}, Reason);
  };
  const auto Found = State.Requests.find(Event.Number);
  if (!Policy.Enabled || State.StopDeadline != NoDeadline ||
      Found == State.Requests.end() ||
      !selectAttempt(Found->second, Event.Attempt))
    return Close(close_reason::Stopped);
  const auto &Request = Found->second;
  const auto *Entry = State.Book.find(Request.CurrentTarget);
  if (Entry == nullptr || !Entry->acceptsWork() ||
      Entry->RowMissingSince != NoDeadline ||
      Entry->Target.Incarnation != Request.SentIncarnation)
    return Close(close_reason::TargetChanged);
  const auto Until = usableUntil(Policy, Event.StatedMs, Step.Now);
  if (Until <= Step.Now)
    return Close(close_reason::Expired);
  // The request counts until its attempt ends, so its connection has room.
  const auto Busy = Entry->OwnLoad.activeCount();
  if (Busy > connectionShareAt(State, Entry->Target))
    return Close(close_reason::TargetLimit);
  makeRoom(Step, *Entry, Busy);
  kept_connection Kept{Event.Connection,
                       Entry->Target.Name,
                       Entry->Target.Service,
                       Entry->Target.Incarnation,
                       Step.Now,
                       Until,
                       singleUseUntil(Policy, Event.StatedMs, Step.Now),
                       Request.Connection.Calls};
  Kept.Calls.push_back(callHash(Request));
  closeConnections(Step,
                   State.KeptConnections.add(std::move(Kept), Policy.MaxIdle),
                   close_reason::ProcessLimit);
}

auto handle(const gateway_step &Step, const connection_lost &Event) -> void {
  auto &State = Step.State;
  const auto Lost = State.KeptConnections.remove(Event.Connection);
  if (!Lost)
    return;
  if (Event.Reason == close_reason::StrayBytes) {
    State.ConnectionTrust.recordStrayBytes(Lost->Target, Step.Now);
    return logTrust(Step, *Lost, "stray_bytes");
  }
  const auto *Entry = State.Book.find(Lost->Target);
  // A target that ends closes its connections as well.
  if (Entry != nullptr && Entry->acceptsWork() &&
      State.ConnectionTrust.recordEarlyClose(State.Options.Connections, *Lost,
                                             Step.Now))
    logTrust(Step, *Lost, "closed_early");
}

auto learnFromConnection(const gateway_step &Step, const request_state &Request,
                         const attempt_ended &Event) -> void {
  auto &Trust = Step.State.ConnectionTrust;
  const auto &Policy = Step.State.Options.Connections;
  if (!Policy.Enabled)
    return;
  if (Event.Connection.UnnamedAnswer)
    Trust.recordUnnamedAnswer(Request.Service, Step.Now);
  if (Event.Connection.StrayBytes)
    Trust.recordStrayBytes(Request.CurrentTarget, Step.Now);
  if (Event.Connection.Kept && Event.Connection.Lost &&
      Trust.recordLoss(Policy, Request.Connection, Step.Now))
    logTrust(Step, Request.Connection, "reset");
}

auto repeatOnNewConnection(const gateway_step &Step, const attempt_ended &Event,
                           const pick &Pick) -> bool {
  auto &Request = Step.State.Requests.at(Event.Number);
  if (!Event.Connection.Kept || !Event.Connection.Lost)
    return false;
  if (Event.End == attempt_end::NotSent)
    --Request.Attempts;
  else if (Event.End != attempt_end::Unknown || !isRepeatable(Request.Route) ||
           !mayRetry(Step, Request, true))
    return false;
  const auto *Entry = Step.State.Book.find(Pick.Target);
  if (stillServes(Step, Entry, Request) &&
      Request.Deadline - Step.Now >= MinAttemptTime &&
      !refuseIfQuarantined(Step, Event.Number)) {
    Request.NeedsNewConnection = true;
    sendAttempt(Step, Event.Number, Request, Pick);
  } else if (Step.State.Requests.contains(Event.Number)) {
    dispatchRequest(Step, Event.Number);
  }
  return true;
}

auto expireConnections(const gateway_step &Step) -> void {
  auto &State = Step.State;
  State.ConnectionTrust.expire(Step.Now);
  std::map<close_reason, std::vector<connection_number>> GivenUp;
  for (const auto &[Number, Connection] : State.KeptConnections.all()) {
    const auto *Entry = State.Book.find(Connection.Target);
    if (!State.Options.Connections.Enabled || State.StopDeadline != NoDeadline)
      GivenUp[close_reason::Stopped].push_back(Number);
    else if (Entry == nullptr || !Entry->acceptsWork() ||
             Entry->Target.Incarnation != Connection.Incarnation)
      GivenUp[close_reason::TargetChanged].push_back(Number);
    else if (Connection.UsableUntil <= Step.Now)
      GivenUp[close_reason::Expired].push_back(Number);
  }
  for (auto &[Reason, Numbers] : GivenUp) {
    for (const auto Number : Numbers)
      State.KeptConnections.remove(Number);
    closeConnections(Step, std::move(Numbers), Reason);
  }
}

} // namespace limpetbridge::serving
