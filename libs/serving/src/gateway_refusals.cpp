/// When a request is refused, and when its caller may return.
#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Retry-after when a target was full, was changing its models or could not be
/// reached: another one may have room by then, ms.
constexpr std::int64_t RefusedRetryAfterMs = 100;
/// Expected times are rough, so a request is refused only if the expected time
/// exceeds the time left by this factor.
constexpr double EstimateTolerance = 1.2;
/// A refused caller is told to retry when the queue will take only this share
/// of its timeout for the first output.
constexpr double RetryHeadroomShare = 0.5;
constexpr std::int64_t MinRetryAfterMs = 150;
/// A request that waits for a load is refused this long before its deadline for
/// the first output: its prompt could not be processed in the rest, and the
/// caller still receives the answer and can retry.
constexpr duration LoadWaitMargin = milliseconds(400);
/// Time over which callers that wait for the same target are told to return, so
/// that they do not meet its queue all at once, ms.
constexpr std::int64_t ReturnSpreadMs = 200;

/// True if the refusal shows that the targets lack capacity.
auto isShortage(result_code Code) -> bool {
  return Code == result_code::DeadlineUnreachable ||
         Code == result_code::NoTarget || Code == result_code::NoMemory ||
         Code == result_code::TargetRefused ||
         Code == result_code::FairShareExceeded;
}

/// What the refusal says about how often others are served. Nothing if the
/// cause is the request's own key or prompt.
auto outcomeOf(result_code Code) -> fair_outcome {
  constexpr std::uint16_t FirstServerError = 500;
  return describe(Code).HttpStatus < FirstServerError ||
                 Code == result_code::PromptQuarantined
             ? fair_outcome::Left
             : fair_outcome::NotServed;
}

} // namespace

auto refuseRequest(const gateway_step &Step, request_number Number,
                   result_code Code, std::int64_t RetryAfterMs,
                   std::string Reason) -> void {
  const auto Found = Step.State.Requests.find(Number);
  const auto Outcome = outcomeOf(Code);
  // Once an attempt may have run, no refusal may claim that the request did
  // not run.
  if (Found != Step.State.Requests.end() && Found->second.MayHaveRun &&
      describe(Code).Outcome == run_outcome::NotRun) {
    Code = result_code::OutcomeUnknown;
    RetryAfterMs = 0;
  }
  Step.Effects.push_back(refuse_request{Number, Code, RetryAfterMs});
  Step.State.HeldRequests.erase(Number);
  Step.State.Fairness.recordOutcome(Number, Outcome, Step.Now);
  log_fields Fields = {{"code", std::string(describe(Code).Name)},
                       {"reason", std::move(Reason)},
                       {"retry_after_ms", std::to_string(RetryAfterMs)}};
  if (Found != Step.State.Requests.end()) {
    const auto &Request = Found->second;
    Fields.insert(Fields.begin(), {"request", Request.Call.Id});
    Fields.emplace_back("route", Request.Route.Name);
    Fields.emplace_back("model", Request.Call.Prompt.Model.Text);
    Fields.emplace_back("adapter", Request.Call.Prompt.Adapter);
    Fields.emplace_back("attempts", std::to_string(Request.Attempts));
    Fields.emplace_back(
        "left_ms", std::to_string(toMilliseconds(Request.Deadline - Step.Now)));
    Fields.emplace_back("configuration",
                        std::to_string(Step.State.Configuration.Version));
    Fields.emplace_back(
        "configuration_age_ms",
        std::to_string(configurationAgeMs(Step.State, Step.Now)));
    addWorkspace(Fields, Request);
    settleCharge(Step, Number, describe(Code).Outcome != run_outcome::NotRun);
    releaseOther(Step, Found->second);
    if (isShortage(Code))
      noteShortage(Step, Request.Service);
    Step.State.Requests.erase(Found);
  }
  addLogEntry(Step, log_level::Warning, "request_refused", std::move(Fields));
}

auto exceedsCallerTimeout(const request_state &Request, const pick &Pick,
                          time_point Now) -> bool {
  const double RemainingMs = std::chrono::duration<double, std::milli>(
                                 Request.FirstOutputDeadline - Now)
                                 .count();
  return Pick.ExpectedMs > EstimateTolerance * RemainingMs;
}

auto queueRetryAfterMs(const request_state &Request, const pick &Pick)
    -> std::int64_t {
  const double TimeoutMs =
      std::chrono::duration<double, std::milli>(Request.FirstOutputDeadline -
                                                Request.Call.Arrived)
          .count();
  return std::max(MinRetryAfterMs,
                  static_cast<std::int64_t>(Pick.ExpectedMs -
                                            RetryHeadroomShare * TimeoutMs));
}

auto returnAfterMs(const gateway_step &Step, time_point ReturnAt)
    -> std::int64_t {
  std::uniform_int_distribution<std::int64_t> Spread(0, ReturnSpreadMs);
  return std::max(MinRetryAfterMs, toMilliseconds(ReturnAt - Step.Now) + 1) +
         Spread(Step.State.Random);
}

auto earliestReturn(const gateway_step &Step, const request_state &Request)
    -> time_point {
  auto PickRequest = makePickRequest(Step, Request);
  // A caller that returns may be sent to a target that was tried before.
  PickRequest.Tried = nullptr;
  return pickTarget(Step.State.Book, PickRequest)
             ? NoDeadline
             : earliestAcceptance(Step.State.Book, PickRequest);
}

auto refusedRetryAfterMs(const gateway_step &Step, const request_state &Request)
    -> std::int64_t {
  const auto ReturnAt = earliestReturn(Step, Request);
  return ReturnAt == NoDeadline ? RefusedRetryAfterMs
                                : returnAfterMs(Step, ReturnAt);
}

auto refuseLateLoadWaits(const gateway_step &Step) -> void {
  std::vector<request_number> LateRequests;
  for (const auto &[Number, Request] : Step.State.Requests)
    if (Request.AwaitedLoad &&
        Step.Now + LoadWaitMargin >=
            std::min(Request.FirstOutputDeadline, Step.State.StopDeadline))
      LateRequests.push_back(Number);
  for (const auto Number : LateRequests) {
    const auto &Request = Step.State.Requests.at(Number);
    const auto ExpectedEnd = expectedLoadEnd(Step, Request.Call.Prompt.Model);
    refuseRequest(
        Step, Number, result_code::DeadlineUnreachable,
        std::max(MinRetryAfterMs, toMilliseconds(ExpectedEnd - Step.Now)),
        "the load comes too late");
  }
}

} // namespace limpetbridge::serving
