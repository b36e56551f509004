// Attempts at a request: start, end, retry, hedge, silence, deadline.
#include "core/requests.h"

#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge::details {

namespace {

constexpr auto RetryBase = milliseconds(10);
constexpr unsigned MaxRetryShift = 6;
constexpr auto ClaimPoll = milliseconds(250);
constexpr std::uint32_t MaxClaimPolls = 64;
constexpr double HedgeFactor = 3.0; ///< Of the expected first-token time.
constexpr auto HedgeFloor = milliseconds(200);
constexpr std::uint32_t FreeRetries = 2; ///< Outside the budget.
constexpr std::uint64_t PerMille = 1000;

auto loadTime(const candidate &Chosen, const work &Work) -> duration {
  return Chosen.Resident ? duration::zero() : milliseconds(Work.LoadMs);
}

auto hedgeTime(const context &Ctx, const work &Work, duration Wait)
    -> time_point {
  if (Work.Kind != work_kind::Generate)
    return NoDeadline;
  const double Expected = Ctx.State.Routing.Estimate.FirstTokenMs +
                          PromptTokenMs * Work.PromptTokens;
  const auto Patience =
      std::max<duration>(HedgeFloor, fromMilliseconds(Expected * HedgeFactor));
  return Ctx.Now + Wait + Patience;
}

auto releaseAttempt(const context &Ctx, request_state &Request,
                    std::uint32_t Attempt) -> void {
  const auto Found = Request.Live.find(Attempt);
  if (Found == Request.Live.end())
    return;
  if (auto *View = viewOf(Ctx.State, Found->second.Target))
    View->Outstanding -= std::min(View->Outstanding, 1U);
  Request.Live.erase(Found);
}

/// Exponential backoff with seeded jitter.
auto backoff(const context &Ctx, const request_state &Request) -> duration {
  const auto Shift = std::min(Request.LastAttempt, MaxRetryShift);
  const duration Base = RetryBase * (1U << Shift);
  const auto Jitter = Ctx.State.Random.next() % PerMille;
  return Base / 2 + Base * static_cast<std::int64_t>(Jitter) /
                        static_cast<std::int64_t>(PerMille);
}

auto endNotRun(const context &Ctx, const request_id &Id,
               const request_state &Request) -> void {
  constexpr auto RepeatAfter = seconds(1);
  finishRequest(Ctx, Id,
                {Id,
                 run_outcome::NotRun,
                 Request.LastCode,
                 Request.LastDetail,
                 0,
                 {},
                 0,
                 Ctx.Now + RepeatAfter});
}

auto endUnknown(const context &Ctx, const request_id &Id,
                const request_state &Request, std::string Detail) -> void {
  if (isMutated(Ctx.State.Options, mutation::NotRunAfterDispatch)) {
    endNotRun(Ctx, Id, Request);
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

/// Nothing more will be tried.
auto giveUp(const context &Ctx, const request_id &Id,
            const request_state &Request) -> void {
  if (Request.MaybeRan || Request.Delivered > 0)
    endUnknown(Ctx, Id, Request,
               "no attempt brought the whole answer; last: " +
                   Request.LastDetail);
  else
    endNotRun(Ctx, Id, Request);
}

/// The first retries cost nothing: they redirect a refused request and carry
/// the work of a dead agent elsewhere, however much of it there was. Beyond
/// them retries are a share of requests, so that they die out in a crest; an
/// answer that the caller has part of is always resumed.
auto mayRetry(const context &Ctx, const request_state &Request) -> bool {
  const auto &Options = Ctx.State.Options.Entry;
  if (Request.LastAttempt >= Options.MaxAttempts + Request.ClaimPolls)
    return false;
  return Request.LastAttempt <= FreeRetries || Request.Delivered > 0 ||
         Ctx.State.Requests.RetryBudget.spend();
}

auto scheduleRetry(const context &Ctx, const request_id &Id,
                   request_state &Request, duration Delay) -> void {
  if (!Request.Live.empty())
    return;
  if (Ctx.Now + Delay >= Request.Work.Deadline || !mayRetry(Ctx, Request)) {
    giveUp(Ctx, Id, Request);
    return;
  }
  Ctx.emit(count_metric{"retries", describe(Request.LastCode).Name});
  Request.RetryAt = Ctx.Now + Delay;
}

auto takeDone(const context &Ctx, const attempt_ended &Event,
              request_state &Request, attempt_state &Attempt) -> void {
  const auto &Id = Event.Attempt.Request;
  if (Request.Work.Kind == work_kind::Call) {
    finishRequest(Ctx, Id,
                  {Id, run_outcome::Done, result_code::Ok, Event.Detail,
                   Event.Total, Event.Body, Event.Status, NoDeadline});
    return;
  }
  const bool IsSource =
      Request.Source == 0 || Request.Source == Event.Attempt.Attempt;
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

auto learnRefusal(const context &Ctx, const attempt_ended &Event,
                  const attempt_state &Attempt, request_state &Request)
    -> void {
  const auto &Target = Attempt.Target;
  switch (Event.Code) {
  case result_code::Draining:
    markLeaving(Ctx, Target, Event.Hint.Agent);
    Request.ExcludedTargets.insert(Target);
    return;
  case result_code::StaleIncarnation:
    // The agent itself spoke; its word beats any order of incarnations.
    adoptIncarnation(Ctx, Target, Event.Hint.Agent);
    return;
  case result_code::NoMemory:
    if (Attempt.Extra) {
      // Not a word against the target: as the only copy it may displace.
      Request.ExtraCopyRefused = true;
      return;
    }
    forgetResident(Ctx.State, Request.Work.Unit, Target);
    // A holder that lost its copy may still load it, as the only one.
    if (Attempt.Cold)
      Request.ExcludedTargets.insert(Target);
    return;
  case result_code::TargetUnreachable:
  case result_code::TargetRefused:
    forgetResident(Ctx.State, Request.Work.Unit, Target);
    learnFailure(Ctx, Target);
    Request.ExcludedTargets.insert(Target);
    return;
  default:
    Request.ExcludedTargets.insert(Target);
    return;
  }
}

auto takeNotRun(const context &Ctx, const attempt_ended &Event,
                request_state &Request) -> void {
  learnRefusal(Ctx, Event, Request.Live.at(Event.Attempt.Attempt), Request);
  releaseAttempt(Ctx, Request, Event.Attempt.Attempt);
  if (Event.Code == result_code::ClaimHeldElsewhere) {
    endNotRun(Ctx, Event.Attempt.Request, Request);
    return;
  }
  const bool First = Request.LastAttempt == 1;
  scheduleRetry(Ctx, Event.Attempt.Request, Request,
                First ? duration::zero() : backoff(Ctx, Request));
}

/// The claim of an earlier attempt or request is not settled yet. Asking
/// again is safe: the claim decides, never the count of attempts.
auto pollClaim(const context &Ctx, const request_id &Id, request_state &Request)
    -> void {
  ++Request.ClaimPolls;
  Request.ExcludedTargets.clear();
  const bool Late = Ctx.Now + ClaimPoll >= Request.Work.Deadline;
  if (Late || Request.ClaimPolls > MaxClaimPolls) {
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
  Request.RetryAt = Ctx.Now + ClaimPoll;
}

auto takeUnknown(const context &Ctx, const attempt_ended &Event,
                 request_state &Request, const target_name &Target) -> void {
  const auto &Id = Event.Attempt.Request;
  releaseAttempt(Ctx, Request, Event.Attempt.Attempt);
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
  learnFailure(Ctx, Target);
  Request.MaybeRan = true;
  Request.FreshConnection = true;
  Request.ExcludedTargets.insert(Target);
  const bool Repeatable = !Request.Work.runsAtMostOnce() ||
                          Request.Work.isClaimed() ||
                          isMutated(Ctx.State.Options, mutation::ResendCalls);
  if (!Repeatable) {
    endUnknown(Ctx, Id, Request, Event.Detail);
    return;
  }
  if (Request.Source == Event.Attempt.Attempt)
    Request.Source = 0;
  scheduleRetry(Ctx, Id, Request, duration::zero());
}

/// The agent has been silent past its deadline; its connection is not to be
/// trusted again.
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

auto findSilent(const context &Ctx, const request_state &Request)
    -> std::uint32_t {
  const auto Timeout = Ctx.State.Options.Entry.ProgressTimeout;
  for (const auto &[Number, Attempt] : Request.Live)
    if (Ctx.Now >= Attempt.LastProgress + Timeout)
      return Number;
  return 0;
}

auto expireRequest(const context &Ctx, const request_id &Id,
                   request_state &Request) -> void {
  const bool NeverSent =
      Request.Live.empty() && !Request.MaybeRan && Request.Delivered == 0;
  if (NeverSent) {
    Request.LastCode = result_code::DeadlineUnreachable;
    Request.LastDetail = "the deadline passed; last: " + Request.LastDetail;
    endNotRun(Ctx, Id, Request);
    return;
  }
  endUnknown(Ctx, Id, Request, "the deadline passed before the answer ended");
}

auto hedge(const context &Ctx, const request_id &Id, request_state &Request)
    -> void {
  Request.HedgeAt = NoDeadline;
  const bool Hopeless =
      Request.Live.size() != 1 || Request.Source != 0 ||
      Request.LastAttempt >= Ctx.State.Options.Entry.MaxAttempts;
  if (Hopeless || !Ctx.State.Requests.HedgeBudget.spend())
    return;
  const auto First = Request.Live.begin()->second.Target;
  const bool Added = Request.ExcludedTargets.insert(First).second;
  const auto Chosen = chooseTarget(Ctx, Request);
  if (Chosen && Chosen->Resident) {
    Ctx.emit(count_metric{"hedges", ""});
    startAttempt(Ctx, Id, Request);
  }
  if (Added)
    Request.ExcludedTargets.erase(First);
  Request.HedgeAt = NoDeadline;
}

auto tickRequest(const context &Ctx, const request_id &Id,
                 request_state &Request) -> void {
  if (Ctx.Now >= Request.Work.Deadline) {
    expireRequest(Ctx, Id, Request);
    return;
  }
  if (const auto Silent = findSilent(Ctx, Request)) {
    abandonAttempt(Ctx, {Id, Silent}, Request.Live.at(Silent));
    return;
  }
  if (Ctx.Now >= Request.HedgeAt) {
    hedge(Ctx, Id, Request);
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
  Offer.ResumeText = Request.Text;
  Offer.Agent = Chosen.View->Record.Incarnation;
  Offer.Revision = Ctx.State.Configuration.Current->currentRevision();
  // The only copy counts as the first home's, wherever it comes to lie.
  const bool Only = !Chosen.Resident && !Chosen.Extra;
  Offer.HomeRank = Only           ? 0
                   : Chosen.Extra ? std::max<std::uint8_t>(Chosen.HomeRank, 1)
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
    scheduleRetry(Ctx, Id, Request, backoff(Ctx, Request));
    return;
  }
  ++Request.LastAttempt;
  const auto Target = targetOf(Chosen->View->Record.Name);
  auto *View = viewOf(Ctx.State, Target);
  const auto Wait = View->QueueDelay + loadTime(*Chosen, Request.Work);
  auto &Attempt = Request.Live[Request.LastAttempt];
  Attempt.Target = Target;
  Attempt.StartedAt = Ctx.Now;
  Attempt.LastProgress = Ctx.Now;
  Attempt.ExpectedWait = Wait;
  Attempt.Cold = !Chosen->Resident;
  Attempt.Extra = Chosen->Extra;
  if (Attempt.Cold)
    learnColdStart(Ctx, Request.Work, Target);
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
  const auto Attempt = Request.Live.find(Event.Attempt.Attempt);
  if (Attempt == Request.Live.end())
    return;
  const auto Target = Attempt->second.Target;
  learnHint(Ctx, Target, Event.Hint);
  if (Event.Outcome == run_outcome::Done) {
    takeDone(Ctx, Event, Request, Attempt->second);
    return;
  }
  Request.LastCode = Event.Code;
  Request.LastDetail = Event.Detail;
  const bool Refused = Event.Outcome == run_outcome::NotRun;
  Ctx.recordNote(Refused ? note_kind::AttemptRefused : note_kind::AttemptEnded,
                 toString(Event.Attempt), Target, "", Event.Detail);
  if (Refused)
    takeNotRun(Ctx, Event, Request);
  else
    takeUnknown(Ctx, Event, Request, Target);
}

auto tickRequests(const context &Ctx) -> void {
  auto &Open = Ctx.State.Requests.Open;
  for (auto Next = Open.begin(); Next != Open.end();) {
    const auto Each = Next++;
    tickRequest(Ctx, Each->first, Each->second);
  }
}

} // namespace limpetbridge::details
