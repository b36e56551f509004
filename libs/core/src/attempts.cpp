// Attempts of a request: start and end, retries, hedges, progress timeouts and
// deadlines.
#include "core/requests.h"

#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge::details {

namespace {

constexpr auto RetryBaseDelay = milliseconds(10);
constexpr unsigned MaxBackoffShift = 6;
constexpr auto ClaimPollInterval = milliseconds(250);
constexpr std::uint32_t MaxClaimPolls = 64;
constexpr double HedgeDelayFactor = 3.0; ///< Of the expected first-token time.
constexpr auto MinHedgeDelay = milliseconds(200);
constexpr std::uint32_t UnbudgetedRetries = 2;
constexpr std::uint64_t PerMille = 1000;

auto expectedLoadTime(const candidate &Chosen, const work &Work) -> duration {
  return Chosen.Resident ? duration::zero() : milliseconds(Work.LoadMs);
}

/// When to start a hedge; only generations are hedged.
auto hedgeTime(const context &Ctx, const work &Work, duration Wait)
    -> time_point {
  if (Work.Kind != work_kind::Generate)
    return NoDeadline;
  const double Expected = Ctx.State.Routing.Estimate.FirstTokenMs +
                          PromptTokenMs * Work.PromptTokens;
  const auto Delay = std::max<duration>(
      MinHedgeDelay, fromMilliseconds(Expected * HedgeDelayFactor));
  return Ctx.Now + Wait + Delay;
}

/// Removes an active attempt and its count at the target.
auto removeAttempt(const context &Ctx, request_state &Request,
                   std::uint32_t Attempt) -> void {
  const auto Found = Request.ActiveAttempts.find(Attempt);
  if (Found == Request.ActiveAttempts.end())
    return;
  if (auto *View = findTargetView(Ctx.State, Found->second.Target))
    View->Outstanding -= std::min(View->Outstanding, 1U);
  Request.ActiveAttempts.erase(Found);
}

/// Exponential backoff with jitter from the node's seeded generator.
auto backoffDelay(const context &Ctx, const request_state &Request)
    -> duration {
  const auto Shift = std::min(Request.LastAttempt, MaxBackoffShift);
  const duration Base = RetryBaseDelay * (1U << Shift);
  const auto Jitter = Ctx.State.Random.next() % PerMille;
  return Base / 2 + Base * static_cast<std::int64_t>(Jitter) /
                        static_cast<std::int64_t>(PerMille);
}

/// Ends the request with the last refusal; it certainly did not run.
auto finishNotRun(const context &Ctx, const request_id &Id,
                  const request_state &Request) -> void {
  constexpr auto RetryAfter = seconds(1);
  finishRequest(Ctx, Id,
                {Id,
                 run_outcome::NotRun,
                 Request.LastCode,
                 Request.LastDetail,
                 0,
                 {},
                 0,
                 Ctx.Now + RetryAfter});
}

/// Ends the request with an unknown outcome: it may have run.
auto finishUnknown(const context &Ctx, const request_id &Id,
                   const request_state &Request, std::string Detail) -> void {
  if (isMutated(Ctx.State.Options, mutation::NotRunAfterDispatch)) {
    finishNotRun(Ctx, Id, Request);
    return;
  }
  const auto Code = Request.Work.Kind == work_kind::Generate
                        ? result_code::AnswerCutShort
                        : result_code::OutcomeUnknown;
  finishRequest(Ctx, Id,
                {Id,
                 run_outcome::Unknown,
                 Code,
                 std::move(Detail),
                 Request.Delivered,
                 {},
                 0,
                 NoDeadline});
}

/// Ends the request without another attempt.
auto finishWithoutRetry(const context &Ctx, const request_id &Id,
                        const request_state &Request) -> void {
  if (Request.MayHaveRun || Request.Delivered > 0)
    finishUnknown(Ctx, Id, Request,
                  "no attempt brought the whole answer; last: " +
                      Request.LastDetail);
  else
    finishNotRun(Ctx, Id, Request);
}

/// The first retries are not charged to the budget: they redirect refused
/// requests and move the work of a failed agent to others, however much it was.
/// Further retries are limited to a share of requests, so that they stop at
/// peak load. An answer that was delivered in part is always resumed.
auto mayRetry(const context &Ctx, const request_state &Request) -> bool {
  const auto &Options = Ctx.State.Options.Entry;
  if (Request.LastAttempt >= Options.MaxAttempts + Request.ClaimPolls)
    return false;
  return Request.LastAttempt <= UnbudgetedRetries || Request.Delivered > 0 ||
         Ctx.State.Requests.RetryBudget.tryWithdraw();
}

auto scheduleRetry(const context &Ctx, const request_id &Id,
                   request_state &Request, duration Delay) -> void {
  if (!Request.ActiveAttempts.empty())
    return;
  if (Ctx.Now + Delay >= Request.Work.Deadline || !mayRetry(Ctx, Request)) {
    finishWithoutRetry(Ctx, Id, Request);
    return;
  }
  Ctx.emit(count_metric{"retries", describe(Request.LastCode).Name});
  Request.RetryAt = Ctx.Now + Delay;
}

/// Handles the end of an attempt that ran to completion. Frames may still be
/// missing; the request ends once they arrive.
auto onAttemptDone(const context &Ctx, const attempt_ended &Event,
                   request_state &Request, attempt_state &Attempt) -> void {
  const auto &Id = Event.Attempt.Request;
  if (Request.Work.Kind == work_kind::Call) {
    finishRequest(Ctx, Id,
                  {Id, run_outcome::Done, result_code::Ok, Event.Detail,
                   Event.Total, Event.Body, Event.Status, NoDeadline});
    return;
  }
  const bool IsSource = Request.SourceAttempt == 0 ||
                        Request.SourceAttempt == Event.Attempt.Attempt;
  if (!IsSource)
    return;
  Attempt.Total = Event.Total;
  Attempt.LastProgress = Ctx.Now;
  if (Event.Total == Request.Delivered)
    finishRequest(Ctx, Id,
                  {Id,
                   run_outcome::Done,
                   result_code::Ok,
                   "",
                   Event.Total,
                   {},
                   0,
                   NoDeadline});
}

/// Updates what is known of the target, and excludes it from the next attempts
/// unless it may accept the request later.
auto recordRefusal(const context &Ctx, const attempt_ended &Event,
                   const attempt_state &Attempt, request_state &Request)
    -> void {
  const auto &Target = Attempt.Target;
  switch (Event.Code) {
  case result_code::Draining:
    markLeaving(Ctx, Target, Event.Hint.Agent);
    Request.ExcludedTargets.insert(Target);
    return;
  case result_code::StaleIncarnation:
    // The agent reported its own incarnation, which overrides the list even if
    // the number is lower.
    updateIncarnation(Ctx, Target, Event.Hint.Agent);
    return;
  case result_code::NoMemory:
    if (Attempt.Extra) {
      // The target is not excluded: for the only copy it may evict others.
      Request.ExtraCopyRefused = true;
      return;
    }
    removeResident(Ctx.State, Request.Work.Unit, Target);
    // A target that lost its copy may still load the unit as the only copy.
    if (Attempt.Cold)
      Request.ExcludedTargets.insert(Target);
    return;
  case result_code::TargetUnreachable:
  case result_code::TargetRefused:
    removeResident(Ctx.State, Request.Work.Unit, Target);
    recordFailure(Ctx, Target);
    Request.ExcludedTargets.insert(Target);
    return;
  default:
    Request.ExcludedTargets.insert(Target);
    return;
  }
}

auto onAttemptNotRun(const context &Ctx, const attempt_ended &Event,
                     request_state &Request) -> void {
  recordRefusal(Ctx, Event, Request.ActiveAttempts.at(Event.Attempt.Attempt),
                Request);
  removeAttempt(Ctx, Request, Event.Attempt.Attempt);
  if (Event.Code == result_code::ClaimHeldElsewhere) {
    finishNotRun(Ctx, Event.Attempt.Request, Request);
    return;
  }
  const bool First = Request.LastAttempt == 1;
  scheduleRetry(Ctx, Event.Attempt.Request, Request,
                First ? duration::zero() : backoffDelay(Ctx, Request));
}

/// Retries later, because the claim of an earlier attempt or request is not
/// settled yet. The retry is safe: the claim row prevents a second execution.
auto pollClaim(const context &Ctx, const request_id &Id, request_state &Request)
    -> void {
  ++Request.ClaimPolls;
  Request.ExcludedTargets.clear();
  const bool PastDeadline =
      Ctx.Now + ClaimPollInterval >= Request.Work.Deadline;
  if (PastDeadline || Request.ClaimPolls > MaxClaimPolls) {
    finishRequest(Ctx, Id,
                  {Id,
                   run_outcome::Unknown,
                   result_code::ClaimInProgress,
                   Request.LastDetail,
                   0,
                   {},
                   0,
                   NoDeadline});
    return;
  }
  Request.RetryAt = Ctx.Now + ClaimPollInterval;
}

auto onAttemptUnknown(const context &Ctx, const attempt_ended &Event,
                      request_state &Request, const target_name &Target)
    -> void {
  const auto &Id = Event.Attempt.Request;
  removeAttempt(Ctx, Request, Event.Attempt.Attempt);
  if (Event.Code == result_code::ClaimInProgress) {
    pollClaim(Ctx, Id, Request);
    return;
  }
  if (Event.Code == result_code::ServiceFailed) {
    finishRequest(Ctx, Id,
                  {Id, run_outcome::Unknown, Event.Code, Event.Detail, 0,
                   Event.Body, Event.Status, NoDeadline});
    return;
  }
  recordFailure(Ctx, Target);
  Request.MayHaveRun = true;
  Request.FreshConnection = true;
  Request.ExcludedTargets.insert(Target);
  const bool Repeatable = !Request.Work.runsAtMostOnce() ||
                          Request.Work.isClaimed() ||
                          isMutated(Ctx.State.Options, mutation::ResendCalls);
  if (!Repeatable) {
    finishUnknown(Ctx, Id, Request, Event.Detail);
    return;
  }
  if (Request.SourceAttempt == Event.Attempt.Attempt)
    Request.SourceAttempt = 0;
  scheduleRetry(Ctx, Id, Request, duration::zero());
}

/// Ends an attempt that exceeded the progress timeout, and drops its
/// connection, which may be dead.
auto abandonAttempt(const context &Ctx, const attempt_id &Id,
                    const attempt_state &Attempt) -> void {
  Ctx.emit(cancel_attempt{Id, true});
  Ctx.recordNote(note_kind::StreamAbandoned, toString(Id), Attempt.Target, "",
                 "silent past its progress deadline");
  attempt_ended Ended;
  Ended.Attempt = Id;
  Ended.Outcome = run_outcome::Unknown;
  Ended.Code = result_code::OutcomeUnknown;
  Ended.Detail = "the connection to " + Attempt.Target.Text + " went silent";
  onAttemptEnded(Ctx, Ended);
}

/// Number of an attempt that exceeded the progress timeout; 0 if none.
auto findStalledAttempt(const context &Ctx, const request_state &Request)
    -> std::uint32_t {
  const auto Timeout = Ctx.State.Options.Entry.ProgressTimeout;
  for (const auto &[Number, Attempt] : Request.ActiveAttempts)
    if (Ctx.Now >= Attempt.LastProgress + Timeout)
      return Number;
  return 0;
}

/// Ends the request without its answer: as not run, with \p Code, if no attempt
/// can have run it, else with an unknown outcome.
auto cutRequest(const context &Ctx, const request_id &Id,
                request_state &Request, result_code Code,
                const std::string &Reason) -> void {
  const bool NeverSent = Request.ActiveAttempts.empty() &&
                         !Request.MayHaveRun && Request.Delivered == 0;
  if (NeverSent) {
    Request.LastCode = Code;
    Request.LastDetail = Reason + "; last: " + Request.LastDetail;
    finishNotRun(Ctx, Id, Request);
    return;
  }
  finishUnknown(Ctx, Id, Request, Reason + " before the answer ended");
}

/// Starts a second attempt at another target that holds the unit, if the first
/// one is slow and the hedge budget allows it.
auto startHedge(const context &Ctx, const request_id &Id,
                request_state &Request) -> void {
  Request.HedgeAt = NoDeadline;
  const bool CannotHedge =
      Request.ActiveAttempts.size() != 1 || Request.SourceAttempt != 0 ||
      Request.LastAttempt >= Ctx.State.Options.Entry.MaxAttempts;
  if (CannotHedge || !Ctx.State.Requests.HedgeBudget.tryWithdraw())
    return;
  const auto First = Request.ActiveAttempts.begin()->second.Target;
  const bool Excluded = Request.ExcludedTargets.insert(First).second;
  const auto Chosen = chooseTarget(Ctx, Request);
  if (Chosen && Chosen->Resident) {
    Ctx.emit(count_metric{"hedges", ""});
    startAttempt(Ctx, Id, Request);
  }
  if (Excluded)
    Request.ExcludedTargets.erase(First);
  Request.HedgeAt = NoDeadline;
}

auto tickRequest(const context &Ctx, const request_id &Id,
                 request_state &Request) -> void {
  if (Ctx.Now >= Request.Work.Deadline) {
    cutRequest(Ctx, Id, Request, result_code::DeadlineUnreachable,
               "the deadline passed");
    return;
  }
  if (const auto Stalled = findStalledAttempt(Ctx, Request)) {
    abandonAttempt(Ctx, {Id, Stalled}, Request.ActiveAttempts.at(Stalled));
    return;
  }
  if (Ctx.Now >= Request.HedgeAt) {
    startHedge(Ctx, Id, Request);
    return;
  }
  if (Ctx.Now >= Request.RetryAt) {
    Request.RetryAt = NoDeadline;
    startAttempt(Ctx, Id, Request);
  }
}

auto makeOffer(const context &Ctx, const request_id &Id,
               const request_state &Request, const candidate &Chosen)
    -> work_offered {
  work_offered Offer;
  Offer.Attempt = {Id, Request.LastAttempt};
  Offer.Work = Request.Work;
  Offer.ResumeOffset = Request.Delivered;
  Offer.ResumeText = Request.DeliveredText;
  Offer.Agent = Chosen.View->Record.Incarnation;
  Offer.Revision = Ctx.State.Configuration.Current->currentRevision();
  // The only copy gets the first home's rank, whichever target loads it: it may
  // evict any copy, and extra copies may not evict it.
  const bool OnlyCopy = !Chosen.Resident && !Chosen.ExtraCopy;
  Offer.HomeRank = OnlyCopy ? 0
                   : Chosen.ExtraCopy
                       ? std::max<std::uint8_t>(Chosen.HomeRank, 1)
                       : Chosen.HomeRank;
  return Offer;
}

} // namespace

auto startAttempt(const context &Ctx, const request_id &Id,
                  request_state &Request) -> void {
  const auto Chosen = chooseTarget(Ctx, Request);
  if (!Chosen) {
    if (Request.ExcludedTargets.empty())
      Request.LastDetail = "no live target for this work";
    Request.ExcludedTargets.clear();
    ++Request.LastAttempt;
    scheduleRetry(Ctx, Id, Request, backoffDelay(Ctx, Request));
    return;
  }
  ++Request.LastAttempt;
  const auto Target = targetOf(Chosen->View->Record.Name);
  auto *View = findTargetView(Ctx.State, Target);
  const auto Wait = View->QueueDelay + expectedLoadTime(*Chosen, Request.Work);
  auto &Attempt = Request.ActiveAttempts[Request.LastAttempt];
  Attempt.Target = Target;
  Attempt.StartedAt = Ctx.Now;
  Attempt.LastProgress = Ctx.Now;
  Attempt.ExpectedWait = Wait;
  Attempt.Cold = !Chosen->Resident;
  Attempt.Extra = Chosen->ExtraCopy;
  if (Attempt.Cold)
    recordColdStart(Ctx, Request.Work, Target);
  ++View->Outstanding;
  ++View->SentSinceHint;
  Request.HedgeAt = hedgeTime(Ctx, Request.Work, Wait);
  Ctx.recordNote(note_kind::AttemptStarted,
                 toString(attempt_id{Id, Request.LastAttempt}), Target, "",
                 Chosen->Resident ? "resident" : "load on demand");
  Ctx.emit(start_attempt{View->Record.Name, View->Record.Address,
                         makeOffer(Ctx, Id, Request, *Chosen),
                         std::exchange(Request.FreshConnection, false)});
}

auto onAttemptEnded(const context &Ctx, const attempt_ended &Event) -> void {
  auto &Open = Ctx.State.Requests.Open;
  const auto Found = Open.find(Event.Attempt.Request);
  if (Found == Open.end())
    return;
  auto &Request = Found->second;
  const auto Attempt = Request.ActiveAttempts.find(Event.Attempt.Attempt);
  if (Attempt == Request.ActiveAttempts.end())
    return;
  const auto Target = Attempt->second.Target;
  applyLoadHint(Ctx, Target, Event.Hint);
  if (Event.Outcome == run_outcome::Done) {
    onAttemptDone(Ctx, Event, Request, Attempt->second);
    return;
  }
  Request.LastCode = Event.Code;
  Request.LastDetail = Event.Detail;
  const bool Refused = Event.Outcome == run_outcome::NotRun;
  Ctx.recordNote(Refused ? note_kind::AttemptRefused : note_kind::AttemptEnded,
                 toString(Event.Attempt), Target, "", Event.Detail);
  if (Refused)
    onAttemptNotRun(Ctx, Event, Request);
  else
    onAttemptUnknown(Ctx, Event, Request, Target);
}

auto cutRequests(const context &Ctx) -> void {
  auto &Open = Ctx.State.Requests.Open;
  while (!Open.empty())
    cutRequest(Ctx, request_id(Open.begin()->first), Open.begin()->second,
               result_code::Draining, "this entry stopped");
}

auto tickRequests(const context &Ctx) -> void {
  auto &Open = Ctx.State.Requests.Open;
  for (auto Next = Open.begin(); Next != Open.end();) {
    const auto Current = Next++; // The tick may erase the request.
    tickRequest(Ctx, Current->first, Current->second);
  }
}

} // namespace limpetbridge::details
