/// Second attempts at slow requests: when one is sent, which of two answers is
/// relayed, and what becomes of the other attempt.
///
/// While two attempts are in progress, one is the current one of the request
/// and the other one is in request_state::Other. An event makes the attempt
/// that it is about the current one, so the handlers of attempts need not know
/// of two.
#include "details/gateway_parts.h"

#include <algorithm>
#include <utility>

namespace limpetbridge::serving {

namespace {

auto classOf(const request_state &Request) -> hedge_class {
  return {Request.Route.Name, Request.Service};
}

auto swapAttempts(request_state &Request) -> void {
  auto &Other = *Request.Other;
  std::swap(Request.AttemptNumber, Other.Number);
  std::swap(Request.IsHedge, Other.IsHedge);
  std::swap(Request.CurrentTarget, Other.Target);
  std::swap(Request.PrefillMs, Other.PrefillMs);
  std::swap(Request.ExpectedFirstOutputMs, Other.ExpectedFirstOutputMs);
  std::swap(Request.SentAt, Other.SentAt);
  std::swap(Request.FirstOutputMs, Other.FirstOutputMs);
  std::swap(Request.SentIncarnation, Other.SentIncarnation);
  std::swap(Request.OutputContinued, Other.OutputContinued);
  std::swap(Request.Connection, Other.Connection);
}

auto count(const gateway_step &Step, hedge_verdict Verdict) -> void {
  Step.Effects.push_back(record_hedge{Verdict});
}

/// True if a slow attempt at the request may be followed by a hedge, as far as
/// the request decides it. A request that may run only once is never hedged.
auto isHedgeable(const request_state &Request) -> bool {
  return isRepeatable(Request.Route) &&
         Request.Attempts < Request.Route.MaxAttempts && !Request.WasHedged &&
         !Request.AnswerBegun;
}

/// True if a request of the service waits here for a target.
auto hasWaitingRequest(const gateway_state &State, const service_name &Service)
    -> bool {
  return std::any_of(State.Requests.begin(), State.Requests.end(),
                     [&](const auto &Known) {
                       return Known.second.Service == Service &&
                              Known.second.CurrentTarget.empty();
                     });
}

/// What forbids a hedge whatever the targets are like; Sent if nothing does.
auto checkRules(const gateway_step &Step, request_number Number,
                const request_state &Request) -> hedge_verdict {
  const auto &State = Step.State;
  if (State.StopDeadline != NoDeadline)
    return hedge_verdict::GatewayStops;
  if (!mayDecide(State, knowledge_kind::Targets, Step.Now))
    return hedge_verdict::StaleView;
  if (!hasValidKey(State, Number) ||
      (Request.Workspace &&
       !(areKeysCurrent(State, Step.Now) &&
         mayDecide(State, knowledge_kind::Configuration, Step.Now))))
    return hedge_verdict::KeyInDoubt;
  if (Request.TriedSuspect || hasSuspect(Step, Request))
    return hedge_verdict::Suspect;
  return hedge_verdict::Sent;
}

/// True if the answer of \p Pick would come after the caller has given up.
auto isTooLate(const gateway_step &Step, const request_state &Request,
               const pick &Pick) -> bool {
  const auto Expected = std::max<duration>(
      MinAttemptTime, milliseconds(static_cast<std::int64_t>(Pick.ExpectedMs)));
  const auto LastTime = Request.Route.Kind == request_kind::Stream
                            ? Request.FirstOutputDeadline
                            : Request.Deadline;
  return Step.Now + Expected >= LastTime;
}

auto sendHedge(const gateway_step &Step, request_number Number,
               request_state &Request, const pick &Pick) -> void {
  // The fields of the current attempt are set anew by the send.
  Request.Other = parallel_attempt();
  swapAttempts(Request);
  Request.WasHedged = true;
  Request.NeedsNewConnection = true;
  sendAttempt(Step, Number, Request, Pick);
  const auto &First = *Request.Other;
  log_fields Fields = {
      {"request", Request.Call.Id},
      {"attempt", std::to_string(Request.AttemptNumber)},
      {"route", Request.Route.Name},
      {"target", Request.CurrentTarget.Text},
      {"first_target", First.Target.Text},
      {"after_ms", std::to_string(toMilliseconds(Step.Now - First.SentAt))},
      {"expected_ms", std::to_string(static_cast<int>(Pick.ExpectedMs))}};
  addWorkspace(Fields, Request);
  addLogEntry(Step, log_level::Info, "hedge_sent", std::move(Fields));
  count(Step, hedge_verdict::Sent);
  // The first attempt stays the one that the request is known by.
  swapAttempts(Request);
}

} // namespace

auto scheduleHedge(const gateway_step &Step, request_number Number,
                   const request_state &Request) -> void {
  if (!Step.State.Options.Hedging.isEnabled() || !isHedgeable(Request))
    return;
  const auto SlowAfter =
      Step.State.Hedging.Times.slowAfter(classOf(Request), Step.Now);
  if (!SlowAfter)
    return;
  // An attempt is not slow before it is due, however short the others were.
  const auto Expected =
      milliseconds(static_cast<std::int64_t>(Request.ExpectedFirstOutputMs));
  const auto At = Step.Now + std::max<duration>(*SlowAfter, Expected);
  if (At + MinAttemptTime < Request.Deadline)
    Step.Effects.push_back(set_hedge_timer{Number, Request.AttemptNumber, At});
}

auto handle(const gateway_step &Step, const hedge_due &Event) -> void {
  auto &State = Step.State;
  const auto Found = State.Requests.find(Event.Number);
  if (Found == State.Requests.end() || !State.Options.Hedging.isEnabled())
    return;
  auto &Request = Found->second;
  if (Request.CurrentTarget.empty() || Request.AttemptNumber != Event.Attempt ||
      !isHedgeable(Request))
    return;
  const auto SlowAfter =
      State.Hedging.Times.slowAfter(classOf(Request), Step.Now);
  if (!SlowAfter)
    return;
  if (const auto Verdict = checkRules(Step, Event.Number, Request);
      Verdict != hedge_verdict::Sent)
    return count(Step, Verdict);
  if (!State.Hedging.Bucket.hasToken())
    return count(Step, hedge_verdict::Over);
  auto PickRequest = makePickRequest(Step, Request);
  PickRequest.MayLoadAdapter = false;
  const auto Pick = pickTarget(State.Book, PickRequest);
  if (!Pick || !answersSoon(State.Book, *Pick, PickRequest, *SlowAfter))
    return count(Step, hedge_verdict::NoFreeTarget);
  if (isTooLate(Step, Request, *Pick))
    return count(Step, hedge_verdict::Deadline);
  if (State.Hedging.refusedLately(Request.Service, Step.Now) ||
      hasWaitingRequest(State, Request.Service) ||
      isLoaded(viewFleet(State.Book, PickRequest, *SlowAfter)))
    return count(Step, hedge_verdict::FleetLoaded);
  if (!mayRetry(Step, Request, true))
    return count(Step, hedge_verdict::RetryBudget);
  State.Hedging.Bucket.take();
  sendHedge(Step, Event.Number, Request, *Pick);
}

auto handle(const gateway_step &Step, const answer_begun &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end() ||
      !selectAttempt(Found->second, Event.Attempt))
    return;
  auto &Request = Found->second;
  const bool IsFirst = !std::exchange(Request.AnswerBegun, true);
  auto &Times = Step.State.Hedging.Times;
  // A hedge is sent to a target that is free, so its time is not the usual one.
  if (IsFirst && isRepeatable(Request.Route) && !Request.IsHedge)
    Times.record(classOf(Request), Step.Now - Request.SentAt, Step.Now);
  if (!Request.Other)
    return;
  const auto &Loser = *Request.Other;
  if (!Loser.IsHedge)
    Times.record(classOf(Request), Step.Now - Loser.SentAt, Step.Now);
  Step.Effects.push_back(cancel_attempt{Event.Number, Loser.Number});
  log_fields Fields = {
      {"request", Request.Call.Id},
      {"attempt", std::to_string(Request.AttemptNumber)},
      {"route", Request.Route.Name},
      {"target", Request.CurrentTarget.Text},
      {"took_ms", std::to_string(toMilliseconds(Step.Now - Request.SentAt))},
      {"cancelled_target", Loser.Target.Text},
      {"cancelled_after_ms",
       std::to_string(toMilliseconds(Step.Now - Loser.SentAt))}};
  addWorkspace(Fields, Request);
  addLogEntry(Step, log_level::Info,
              Request.IsHedge ? "hedge_won" : "hedge_lost", std::move(Fields));
  count(Step, Request.IsHedge ? hedge_verdict::Won : hedge_verdict::Lost);
  releaseOther(Step, Request);
}

auto selectAttempt(request_state &Request, attempt_number Attempt) -> bool {
  if (Attempt == 0 || Attempt == Request.AttemptNumber)
    return true;
  if (!Request.Other || Request.Other->Number != Attempt)
    return false;
  swapAttempts(Request);
  return true;
}

auto releaseOther(const gateway_step &Step, request_state &Request) -> void {
  if (!Request.Other)
    return;
  Step.State.Book.recordAttemptCancelled(Request.Other->Target,
                                         rankOf(Request.Route.Priority),
                                         Request.Other->PrefillMs);
  Request.Other.reset();
}

auto continueOther(const gateway_step &Step, request_state &Request,
                   const attempt_ended &Event) -> bool {
  if (!Request.Other)
    return false;
  if (Event.End == attempt_end::Answered) {
    // Hedging was switched off meanwhile, so nothing has cancelled it.
    Step.Effects.push_back(cancel_attempt{Event.Number, Request.Other->Number});
    releaseOther(Step, Request);
    return false;
  }
  if (Event.End == attempt_end::NotSent)
    --Request.Attempts;
  swapAttempts(Request);
  Request.Other.reset();
  return true;
}

auto noteHedgedRequest(const gateway_step &Step) -> void {
  const auto &Policy = Step.State.Options.Hedging;
  if (Policy.isEnabled())
    Step.State.Hedging.Bucket.recordRequest(Policy);
}

auto noteShortage(const gateway_step &Step, const service_name &Service)
    -> void {
  if (Step.State.Options.Hedging.isEnabled())
    Step.State.Hedging.LastRefusal[Service] = Step.Now;
}

auto expireHedging(const gateway_step &Step) -> void {
  auto &Hedging = Step.State.Hedging;
  Hedging.Times.expire(Step.Now);
  std::erase_if(Hedging.LastRefusal, [&](const auto &Refusal) {
    return !Hedging.refusedLately(Refusal.first, Step.Now);
  });
}

} // namespace limpetbridge::serving
