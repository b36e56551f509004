#include "details/gateway_parts.h"

#include "serving/picker.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Refusal of a request that no target may get any more, ms until a repeat.
constexpr std::int64_t NoTargetRetryMs = 500;
/// A target was full or changing its models; another one may have room, ms.
constexpr std::int64_t RefusedRetryMs = 100;
/// No configuration yet: the first read takes about this long, ms.
constexpr std::int64_t NotReadyRetryMs = 500;
/// Targets that could not be reached are avoided this long.
constexpr duration UnreachableAvoid = seconds(1);
/// Targets that do not hold what they were believed to hold: until the store
/// tells of the change, which takes about a heartbeat.
constexpr duration WrongTargetAvoid = milliseconds(1500);
/// Full targets: a request ends every few milliseconds.
constexpr duration FullAvoid = milliseconds(150);
/// A send with less time than this cannot succeed.
constexpr duration LeastTime = milliseconds(5);
/// Unreachable targets that one request tries.
constexpr std::size_t MaxTried = 4;
/// Weight of one observation in the moving average of reading times.
constexpr double ReadingWeight = 0.1;
/// Expected times below this say little about the reading time, ms.
constexpr double LeastObservedMs = 40;
/// Bounds of observed against expected time; beyond them it is a disturbance.
constexpr double LeastRatio = 0.3;
constexpr double GreatestRatio = 3;
/// Bounds of the observed reading time, ms a token.
constexpr double LeastReadingMs = 0.004;
constexpr double GreatestReadingMs = 0.2;
/// Expected times are rough: a request is refused only if it would have to be
/// this much faster.
constexpr double PatienceSlack = 1.2;
/// Part of the caller's patience that a refused request should find free.
constexpr double RetryShare = 0.5;
constexpr std::int64_t LeastRetryMs = 150;
/// A waiting request is given up this long before its caller leaves: it could
/// not be read any more, and its caller can still come back.
constexpr duration WaitSlack = milliseconds(400);

auto chooseService(gateway_state &State, const route &Route) -> service_name {
  std::uint32_t Sum = 0;
  for (const auto &Share : Route.Shares)
    Sum += Share.Weight;
  if (Sum == 0)
    return Route.Shares.empty() ? service_name() : Route.Shares.front().Service;
  auto Ball =
      std::uniform_int_distribution<std::uint32_t>(0, Sum - 1)(State.Random);
  for (const auto &Share : Route.Shares) {
    if (Ball < Share.Weight)
      return Share.Service;
    Ball -= Share.Weight;
  }
  return Route.Shares.back().Service;
}

auto refuseRequest(const gateway_step &Step, request_number Number,
                   result_code Code, std::int64_t RetryAfterMs,
                   std::string Reason) -> void {
  const auto Found = Step.State.Requests.find(Number);
  // After an attempt that may have run, no refusal may say "not run".
  if (Found != Step.State.Requests.end() && Found->second.MayHaveRun &&
      describe(Code).Outcome == run_outcome::NotRun) {
    Code = result_code::OutcomeUnknown;
    RetryAfterMs = 0;
  }
  Step.Effects.push_back(refuse_request{Number, Code, RetryAfterMs});
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"code", std::string(describe(Code).Name)},
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
    Step.State.Requests.erase(Found);
  }
  addLogEntry(Step, log_level::Warning, "request_refused", std::move(Fields));
}

/// Takes the request off its target's account.
auto releaseTarget(const gateway_step &Step, request_state &Request,
                   bool Failed) -> void {
  if (Request.CurrentTarget.empty())
    return;
  Step.State.Book.noteEnded(Request.CurrentTarget,
                            rankOf(Request.Route.Priority), Request.PrefillMs,
                            Failed);
  Request.PrefillMs = 0;
  Request.CurrentTarget = target_name();
}

auto recordPrefixes(const gateway_step &Step, const request_state &Request,
                    target_entry &Entry) -> void {
  for (std::size_t I = 0; I < Request.PrefixKeys.size(); ++I) {
    const auto Tokens = Request.Call.Prompt.Parts[I].Tokens;
    Entry.Cache.add(Request.PrefixKeys[I], Tokens);
    // The last part belongs to this request alone.
    if (I + 1 < Request.PrefixKeys.size())
      Step.State.UnsentPrefixes.emplace_back(Entry.Target.Name,
                                             Request.PrefixKeys[I], Tokens);
  }
}

auto sendAttempt(const gateway_step &Step, request_number Number,
                 request_state &Request, const pick &Pick) -> void {
  auto *Entry = Step.State.Book.find(Pick.Target);
  ++Request.Attempts;
  Request.TriedTargets.insert(Pick.Target);
  Request.CurrentTarget = Pick.Target;
  Request.PrefillMs = Pick.ReadMs;
  Request.ExpectedFirstOutputMs = Pick.ExpectedMs;
  Request.AwaitedLoad.reset();
  Request.SentAt = Step.Now;
  Request.FirstOutputMs = -1;
  Step.State.Book.noteSent(Pick.Target, rankOf(Request.Route.Priority),
                           Pick.ReadMs);
  if (Request.Call.HasPrompt)
    recordPrefixes(Step, Request, *Entry);
  if (!Request.Call.Prompt.Adapter.empty()) {
    const adapter_key Adapter(Request.Call.Prompt.Model,
                              Request.Call.Prompt.Adapter);
    Entry->AdapterUse[Adapter] = Step.Now;
    Step.State.UnsentAdapterUse.emplace(Pick.Target, Adapter);
  }
  Step.Effects.push_back(
      send_attempt{Number, Request.Attempts, Pick.Target, Entry->Target.Address,
                   Request.Deadline, Request.Route.Kind,
                   Request.Route.Resumable, Request.Route.Priority});
  addLogEntry(
      Step, log_level::Info, "attempt_sent",
      {{"request", Request.Call.Id},
       {"attempt", std::to_string(Request.Attempts)},
       {"target", Pick.Target.Text},
       {"model", Request.Call.Prompt.Model.Text},
       {"adapter", Request.Call.Prompt.Adapter},
       {"expected_ms", std::to_string(static_cast<int>(Pick.ExpectedMs))},
       {"read_ms", std::to_string(static_cast<int>(Pick.ReadMs))},
       {"target_sequence", std::to_string(Entry->Target.Sequence)},
       {"waited_ms",
        std::to_string(toMilliseconds(Step.Now - Request.Call.Arrived))}});
}

/// True if the caller will have left before the first output.
auto exceedsCallerTimeout(const request_state &Request, const pick &Pick,
                          time_point Now) -> bool {
  const double Left = std::chrono::duration<double, std::milli>(
                          Request.FirstOutputDeadline - Now)
                          .count();
  return Pick.ExpectedMs > PatienceSlack * Left;
}

/// Time until the queue at the chosen target has become short enough.
auto queueRetryAfterMs(const request_state &Request, const pick &Pick)
    -> std::int64_t {
  const double Patience =
      std::chrono::duration<double, std::milli>(Request.FirstOutputDeadline -
                                                Request.Call.Arrived)
          .count();
  return std::max(LeastRetryMs, static_cast<std::int64_t>(
                                    Pick.ExpectedMs - RetryShare * Patience));
}

/// Sends the request, makes it wait for a load, or refuses it.
auto dispatchRequest(const gateway_step &Step, request_number Number) -> void {
  auto &Request = Step.State.Requests.at(Number);
  if (Request.Deadline - Step.Now < LeastTime)
    return refuseRequest(Step, Number, result_code::DeadlineUnreachable, 0,
                         "no time is left");
  const auto &Call = Request.Call;
  pick_request Wanted;
  Wanted.Service = Request.Service;
  Wanted.DataCentre = Step.State.Options.DataCentre;
  Wanted.Prompt = Call.HasPrompt ? &Call.Prompt : nullptr;
  Wanted.MsPerToken = prefillMsPerToken(Step.State, Call.Prompt.Model);
  Wanted.Rank = rankOf(Request.Route.Priority);
  Wanted.Keys = &Request.PrefixKeys;
  Wanted.Tried = &Request.TriedTargets;
  Wanted.Now = Step.Now;
  const auto Pick = pickTarget(Step.State.Book, Wanted);
  if (Pick && Call.HasPrompt && exceedsCallerTimeout(Request, *Pick, Step.Now))
    return refuseRequest(Step, Number, result_code::DeadlineUnreachable,
                         queueRetryAfterMs(Request, *Pick),
                         "the queues are longer than the caller waits");
  if (Pick && !Pick->NeedsAdapter)
    return sendAttempt(Step, Number, Request, *Pick);
  if (Pick)
    return waitForAdapter(Step, Request, Pick->Target);
  std::int64_t RetryAfterMs = NoTargetRetryMs;
  if (Call.HasPrompt) {
    const auto Code = waitForModel(Step, Request, RetryAfterMs);
    if (Code == result_code::NotReady)
      return;
    return refuseRequest(Step, Number, Code, RetryAfterMs,
                         "no target holds the model");
  }
  refuseRequest(Step, Number, result_code::NoTarget, RetryAfterMs,
                "no target takes work");
}

/// True if the request may go to one more target.
auto mayRetry(const gateway_step &Step, request_state &Request, bool Spends)
    -> bool {
  if (Request.Attempts >= Request.Route.MaxAttempts ||
      Request.TriedTargets.size() >= MaxTried)
    return false;
  if (!Spends)
    return true;
  return Step.State.RetryBudgets[Request.Service].take(
      Step.State.Options.Retries, gatewayCount(Step.State), Step.Now);
}

auto applyAttemptOutcome(const gateway_step &Step, const request_state &Request,
                         const attempt_ended &Event) -> void {
  auto *Entry = Step.State.Book.find(Request.CurrentTarget);
  if (Entry == nullptr)
    return;
  if (Event.End == attempt_end::NotSent)
    Entry->AvoidUntil = Step.Now + UnreachableAvoid;
  else if (Event.End == attempt_end::NotRun)
    Entry->AvoidUntil =
        Step.Now + (Event.WrongTarget ? WrongTargetAvoid : FullAvoid);
  if (Event.WrongTarget && Request.Call.HasPrompt) {
    auto &Models = Entry->Target.Holds.Models;
    const auto Held = Models.find(Request.Call.Prompt.Model);
    if (Held == Models.end())
      return;
    if (Request.Call.Prompt.Adapter.empty())
      Models.erase(Held);
    else
      Held->second.Adapters.erase(Request.Call.Prompt.Adapter);
  }
}

auto isFailure(attempt_end End) -> bool {
  return End == attempt_end::NotSent || End == attempt_end::Failed ||
         End == attempt_end::Unknown || End == attempt_end::CutShort;
}

} // namespace

auto handle(const gateway_step &Step, const request_arrived &Event) -> void {
  auto &State = Step.State;
  // Known from here on, so that a refusal is logged with the request's id.
  auto &Request = State.Requests[Event.Number];
  Request.Call = Event.Call;
  Request.Deadline = Event.Call.CallerDeadline;
  if (State.Configuration.Version == 0)
    return refuseRequest(Step, Event.Number, result_code::NotReady,
                         NotReadyRetryMs, "no configuration is known");
  const auto *Route = State.Routes.find(Event.Call.Host, Event.Call.Path);
  if (Route == nullptr)
    return refuseRequest(Step, Event.Number, result_code::NotFound, 0,
                         "no route for host and path");
  Request.Route = *Route;
  Request.Service = chooseService(State, *Route);
  Request.Deadline =
      std::min(Event.Call.CallerDeadline,
               Event.Call.Arrived + milliseconds(Route->TimeoutMs));
  Request.FirstOutputDeadline =
      Route->FirstOutputTimeoutMs > 0
          ? std::min(Request.Deadline,
                     Event.Call.Arrived +
                         milliseconds(Route->FirstOutputTimeoutMs))
          : Request.Deadline;
  if (Event.Call.HasPrompt) {
    const auto &Prompt = Event.Call.Prompt;
    Request.PrefixKeys = prefixKeys(Prompt);
    State.Demand.note(
        Prompt.Model,
        prefillMsPerToken(State, Prompt.Model) * Prompt.InputTokens, Step.Now);
  }
  State.RetryBudgets[Request.Service].noteRequest(Step.Now);
  Step.Effects.push_back(set_deadline{Event.Number, Request.Deadline});
  dispatchRequest(Step, Event.Number);
}

auto handle(const gateway_step &Step, const first_output &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end())
    return;
  auto &Request = Found->second;
  Request.FirstOutputMs = toMilliseconds(Step.Now - Request.SentAt);
  auto *Entry = Step.State.Book.find(Request.CurrentTarget);
  if (Entry != nullptr && Request.ExpectedFirstOutputMs >= LeastObservedMs) {
    const double Took =
        std::chrono::duration<double, std::milli>(Step.Now - Request.SentAt)
            .count();
    const double Ratio = std::clamp(Took / Request.ExpectedFirstOutputMs,
                                    LeastRatio, GreatestRatio);
    const auto &Model = Request.Call.Prompt.Model;
    Step.State.PrefillMsPerToken[Model] =
        std::clamp(prefillMsPerToken(Step.State, Model) *
                       (1 + ReadingWeight * (Ratio - 1)),
                   LeastReadingMs, GreatestReadingMs);
    Entry->Slowness += ReadingWeight * (Ratio - Entry->Slowness);
  }
  Step.State.Book.noteFirstOutput(
      Request.CurrentTarget, rankOf(Request.Route.Priority), Request.PrefillMs);
  Request.PrefillMs = 0;
}

auto handle(const gateway_step &Step, const attempt_ended &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end())
    return;
  auto &Request = Found->second;
  applyAttemptOutcome(Step, Request, Event);
  const auto Target = Request.CurrentTarget;
  releaseTarget(Step, Request, isFailure(Event.End));
  addLogEntry(
      Step,
      Event.End == attempt_end::Answered ? log_level::Info : log_level::Warning,
      "attempt_ended",
      {{"request", Request.Call.Id},
       {"attempt", std::to_string(Request.Attempts)},
       {"target", Target.Text},
       {"end", std::string(nameOf(Event.End))},
       {"status", std::to_string(Event.Status)},
       {"route", Request.Route.Name},
       {"first_ms", std::to_string(Request.FirstOutputMs)},
       {"longest_gap_ms", std::to_string(Event.LongestGapMs)},
       {"took_ms", std::to_string(toMilliseconds(Step.Now - Request.SentAt))}});
  Request.MayHaveRun |= Event.End == attempt_end::Failed ||
                        Event.End == attempt_end::Unknown ||
                        Event.End == attempt_end::CutShort;
  Step.Effects.push_back(record_attempt_times{
      Request.Route.Name, Request.FirstOutputMs,
      toMilliseconds(Step.Now - Request.Call.Arrived), Event.LongestGapMs});
  const bool Repeatable =
      Request.Route.Kind == request_kind::Idempotent || Request.Route.Resumable;
  switch (Event.End) {
  case attempt_end::Answered:
    Step.State.Requests.erase(Found);
    return;
  case attempt_end::NotSent:
    // No target has seen it, so the limit of attempts is not touched.
    --Request.Attempts;
    if (mayRetry(Step, Request, Request.Attempts > 0))
      return dispatchRequest(Step, Event.Number);
    return refuseRequest(Step, Event.Number, result_code::TargetUnreachable,
                         RefusedRetryMs, "no connection to the target");
  case attempt_end::NotRun:
    if (mayRetry(Step, Request, true))
      return dispatchRequest(Step, Event.Number);
    return refuseRequest(Step, Event.Number, result_code::TargetRefused,
                         RefusedRetryMs, "the target did not run it");
  case attempt_end::Failed:
    if (Repeatable && mayRetry(Step, Request, true))
      return dispatchRequest(Step, Event.Number);
    Step.Effects.push_back(relay_failure{Event.Number});
    Step.State.Requests.erase(Found);
    return;
  case attempt_end::Unknown:
  case attempt_end::CutShort:
    if (Repeatable &&
        (Event.End == attempt_end::Unknown || Request.Route.Resumable) &&
        mayRetry(Step, Request, true))
      return dispatchRequest(Step, Event.Number);
    return refuseRequest(Step, Event.Number, result_code::OutcomeUnknown, 0,
                         "the target broke off");
  }
}

auto handle(const gateway_step &Step, const caller_left &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end())
    return;
  auto &Request = Found->second;
  addLogEntry(Step, log_level::Info, "caller_left",
              {{"request", Request.Call.Id},
               {"target", Request.CurrentTarget.Text},
               {"after_ms", std::to_string(toMilliseconds(
                                Step.Now - Request.Call.Arrived))}});
  releaseTarget(Step, Request, false);
  Step.State.Requests.erase(Found);
}

auto handle(const gateway_step &Step, const deadline_passed &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end())
    return;
  auto &Request = Found->second;
  const bool MayHaveRun = Request.MayHaveRun || !Request.CurrentTarget.empty();
  releaseTarget(Step, Request, MayHaveRun);
  refuseRequest(
      Step, Event.Number,
      MayHaveRun ? result_code::DeadlineExceeded
                 : result_code::DeadlineUnreachable,
      0, MayHaveRun ? "the target is still at work" : "it was still waiting");
}

auto refuseLateLoadWaits(const gateway_step &Step) -> void {
  std::vector<request_number> Late;
  for (const auto &[Number, Request] : Step.State.Requests)
    if (Request.AwaitedLoad &&
        Step.Now + WaitSlack >= Request.FirstOutputDeadline)
      Late.push_back(Number);
  for (const auto Number : Late) {
    const auto &Request = Step.State.Requests.at(Number);
    const auto Ready = expectedLoadEnd(Step, Request.Call.Prompt.Model);
    refuseRequest(Step, Number, result_code::DeadlineUnreachable,
                  std::max(LeastRetryMs, toMilliseconds(Ready - Step.Now)),
                  "the load comes too late");
  }
}

auto dispatchWaiting(const gateway_step &Step, const model_name &Model)
    -> void {
  std::vector<request_number> Numbers;
  for (const auto &[Number, Request] : Step.State.Requests)
    if (Request.AwaitedLoad && Request.Call.Prompt.Model == Model)
      Numbers.push_back(Number);
  for (const auto Number : Numbers) {
    Step.State.Requests.at(Number).AwaitedLoad.reset();
    dispatchRequest(Step, Number);
  }
}

} // namespace limpetbridge::serving
