#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Retry-after of a request that no target can take, ms.
constexpr std::int64_t NoTargetRetryAfterMs = 500;
/// Retry-after while no configuration is known: the first read takes about
/// this long, ms.
constexpr std::int64_t NotReadyRetryAfterMs = 500;
/// Time for which a target that could not be reached is avoided.
constexpr duration UnreachableAvoidTime = seconds(1);
/// Time for which a target is avoided that did not hold the model or had lost
/// its address: the store reports the change after about one heartbeat.
constexpr duration WrongTargetAvoidTime = milliseconds(1500);
/// Longest time for which all targets with a model may refuse requests before a
/// further copy is loaded.
constexpr duration MaxPauseWithoutLoad = seconds(3);
/// Time for which a full target is avoided that names no time: it completes a
/// request every few milliseconds.
constexpr duration FullTargetAvoidTime = milliseconds(150);
/// Limit of the targets that one request tries, unreachable ones included.
constexpr std::size_t MaxTriedTargets = 4;
/// Weight of one observation in the moving averages of the prefill time and of
/// a target's slowness.
constexpr double ObservationWeight = 0.1;
/// Observations are used only from this expected time to the first output on,
/// ms; shorter ones say little about the prefill time.
constexpr double MinCalibrationMs = 40;
/// Bounds of the ratio of observed to expected time; values beyond them come
/// from a disturbance and are clamped.
constexpr double MinTimeRatio = 0.3;
constexpr double MaxTimeRatio = 3;
/// Bounds of the prefill time, ms per token.
constexpr double MinPrefillMsPerToken = 0.004;
constexpr double MaxPrefillMsPerToken = 0.2;
/// Picks a service of the route at random, by weight.
auto chooseService(gateway_state &State, const route &Route) -> service_name {
  std::uint32_t Sum = 0;
  for (const auto &Share : Route.Shares)
    Sum += Share.Weight;
  if (Sum == 0)
    return Route.Shares.empty() ? service_name() : Route.Shares.front().Service;
  auto Draw =
      std::uniform_int_distribution<std::uint32_t>(0, Sum - 1)(State.Random);
  for (const auto &Share : Route.Shares) {
    if (Draw < Share.Weight)
      return Share.Service;
    Draw -= Share.Weight;
  }
  return Route.Shares.back().Service;
}

} // namespace

auto releaseTarget(const gateway_step &Step, request_state &Request,
                   bool Failed) -> void {
  if (Request.CurrentTarget.empty())
    return;
  Step.State.Book.recordAttemptEnded(Request.CurrentTarget,
                                     rankOf(Request.Route.Priority),
                                     Request.PrefillMs, Failed);
  Request.PrefillMs = 0;
  Request.CurrentTarget = target_name();
}

namespace {

/// Records the parts of the prompt that the target will have in its cache.
auto recordPrefixes(const gateway_step &Step, const request_state &Request,
                    target_entry &Entry) -> void {
  for (std::size_t I = 0; I < Request.PrefixKeys.size(); ++I) {
    const auto Tokens = Request.Call.Prompt.Parts[I].Tokens;
    Entry.Cache.add(Request.PrefixKeys[I], Tokens);
    // Other requests do not share the last part, so peers need not know it.
    if (I + 1 < Request.PrefixKeys.size())
      Step.State.UnsentPrefixes[{Entry.Target.Name, Request.PrefixKeys[I]}] =
          Tokens;
  }
}

} // namespace

auto sendAttempt(const gateway_step &Step, request_number Number,
                 request_state &Request, const pick &Pick) -> void {
  auto *Entry = Step.State.Book.find(Pick.Target);
  const auto Connection = takeConnection(Step, Request, *Entry);
  Request.AttemptNumber = ++Request.Attempts;
  Request.IsHedge = Request.Other.has_value();
  Request.TriedTargets.insert(Pick.Target);
  Request.CurrentTarget = Pick.Target;
  Request.PrefillMs = Pick.PrefillMs;
  Request.ExpectedFirstOutputMs = Pick.ExpectedMs;
  Request.AwaitedLoad.reset();
  Request.SentAt = Step.Now;
  Request.FirstOutputMs = -1;
  Request.SentIncarnation = Entry->Target.Incarnation;
  Request.OutputContinued = false;
  Step.State.Book.recordAttemptSent(Pick.Target, rankOf(Request.Route.Priority),
                                    Pick.PrefillMs);
  if (Request.Call.HasPrompt)
    recordPrefixes(Step, Request, *Entry);
  if (!Request.Call.Prompt.Adapter.empty()) {
    const adapter_key Adapter(Request.Call.Prompt.Model,
                              Request.Call.Prompt.Adapter);
    Entry->AdapterUse[Adapter] = Step.Now;
    Step.State.UnsentAdapterUse.emplace(Pick.Target, Adapter);
  }
  Step.Effects.push_back(send_attempt{
      Number, Request.AttemptNumber, Pick.Target, Entry->Target.Incarnation,
      Entry->Target.Address, Request.Deadline, Request.Route.Kind,
      Request.Route.Resumable, Request.TargetPriority,
      Request.Workspace.value_or(workspace_name()), Connection, Request.IsHedge,
      Step.State.Options.MeasuresPace &&
          Step.State.StreamBounds.contains(Request.Service)});
  log_fields Fields = {
      {"request", Request.Call.Id},
      {"attempt", std::to_string(Request.AttemptNumber)},
      {"target", Pick.Target.Text},
      {"model", Request.Call.Prompt.Model.Text},
      {"adapter", Request.Call.Prompt.Adapter},
      {"expected_ms", std::to_string(static_cast<int>(Pick.ExpectedMs))},
      {"read_ms", std::to_string(static_cast<int>(Pick.PrefillMs))},
      {"output_tokens", std::to_string(Request.Call.Prompt.MaxOutputTokens)},
      {"target_sequence", std::to_string(Entry->Target.Sequence)},
      {"targets_age_ms",
       std::to_string(toMilliseconds(Step.Now - Step.State.Targets.KnownAt))},
      {"configuration", std::to_string(Step.State.Configuration.Version)},
      {"configuration_age_ms",
       std::to_string(configurationAgeMs(Step.State, Step.Now))},
      {"waited_ms",
       std::to_string(toMilliseconds(Step.Now - Request.Call.Arrived))}};
  sendPrefillNotice(Step, Request, Pick);
  addPauseFields(Fields, Request, Pick);
  addWorkspace(Fields, Request);
  addLogEntry(Step, log_level::Info, "attempt_sent", std::move(Fields));
  scheduleHedge(Step, Number, Request);
}

auto makePickRequest(const gateway_step &Step, const request_state &Request)
    -> pick_request {
  const auto &Call = Request.Call;
  pick_request PickRequest;
  PickRequest.Service = Request.Service;
  PickRequest.DataCentre = Step.State.Options.DataCentre;
  PickRequest.Prompt = Call.HasPrompt ? &Call.Prompt : nullptr;
  PickRequest.PrefillMsPerToken =
      prefillMsPerToken(Step.State, Call.Prompt.Model);
  PickRequest.Rank = rankOf(Request.Route.Priority);
  PickRequest.Keys = &Request.PrefixKeys;
  PickRequest.Tried = &Request.TriedTargets;
  PickRequest.Now = Step.Now;
  addConnectionCost(Step, Request, PickRequest);
  addStreamProtection(Step, Request, PickRequest);
  return PickRequest;
}

auto dispatchRequest(const gateway_step &Step, request_number Number) -> void {
  auto &Request = Step.State.Requests.at(Number);
  Request.Awaited.reset();
  if (refuseWithoutKey(Step, Number))
    return;
  if (Request.Deadline - Step.Now < MinAttemptTime)
    return refuseRequest(Step, Number, result_code::DeadlineUnreachable, 0,
                         "no time is left");
  if (!Request.MayHaveRun && exceedsStop(Step.State, Request, Step.Now))
    return refuseStopping(Step, Number);
  if (refuseIfQuarantined(Step, Number) || awaitCrashRows(Step, Number))
    return;
  // The key may have been removed since the request was routed.
  if (Request.Workspace &&
      awaitKnowledge(Step, Number, knowledge_kind::Configuration))
    return;
  if (refuseWithDoubtfulKey(Step, Number) ||
      awaitKnowledge(Step, Number, knowledge_kind::Targets))
    return;
  const auto &Call = Request.Call;
  auto PickRequest = makePickRequest(Step, Request);
  const auto AdapterHeldUntil =
      Call.Prompt.Adapter.empty()
          ? time_point()
          : loadHeldUntil(Step, Call.Prompt.Model, Call.Prompt.Adapter);
  PickRequest.MayLoadAdapter = Step.Now >= AdapterHeldUntil;
  if (Step.ObserveChoice != nullptr)
    (*Step.ObserveChoice)(PickRequest);
  auto Pick = pickTarget(Step.State.Book, PickRequest);
  if (Pick && waitForFreeTarget(Step, Number, PickRequest, *Pick))
    return;
  if (Pick && yieldToOthers(Step, Number, PickRequest, *Pick))
    return;
  if (Pick && Call.HasPrompt && exceedsCallerTimeout(Request, *Pick, Step.Now))
    return refuseRequest(Step, Number, result_code::DeadlineUnreachable,
                         queueRetryAfterMs(Request, *Pick),
                         "the queues are longer than the caller waits");
  if (Pick && !Pick->NeedsAdapter)
    return sendAttempt(Step, Number, Request, *Pick);
  if (Pick)
    return waitForAdapter(Step, Request, Pick->Target);
  if (!PickRequest.MayLoadAdapter)
    return refuseRequest(Step, Number, result_code::NoTarget,
                         toMilliseconds(AdapterHeldUntil - Step.Now) + 1,
                         "targets crash on the load of the adapter");
  // A load takes longer than a short pause of a target that has the model.
  const auto ReturnAt = earliestReturn(Step, Request);
  if (ReturnAt != NoDeadline &&
      (!Call.HasPrompt || ReturnAt - Step.Now < MaxPauseWithoutLoad))
    return refuseRequest(Step, Number, result_code::TargetRefused,
                         returnAfterMs(Step, ReturnAt),
                         "every target refuses requests for a while");
  std::int64_t RetryAfterMs = NoTargetRetryAfterMs;
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

auto mayRetry(const gateway_step &Step, request_state &Request,
              bool UsesRetryBudget) -> bool {
  if (Request.Attempts >= Request.Route.MaxAttempts ||
      Request.TriedTargets.size() >= MaxTriedTargets)
    return false;
  if (!UsesRetryBudget)
    return true;
  return Step.State.RetryBudgets[Request.Service].acquire(
      Step.State.Options.Retries, gatewayCount(Step.State), Step.Now);
}

namespace {

/// Avoids the target for a while if it was unreachable or refused the request,
/// and forgets the model or adapter that it turned out not to hold.
auto applyAttemptOutcome(const gateway_step &Step, const request_state &Request,
                         const attempt_ended &Event) -> void {
  auto *Entry = Step.State.Book.find(Request.CurrentTarget);
  if (Entry == nullptr)
    return;
  if (Event.End == attempt_end::NotSent && !Event.Connection.Lost)
    Entry->AvoidUntil = Step.Now + UnreachableAvoidTime;
  else if (Event.End == attempt_end::NotRun)
    Entry->AvoidUntil = Step.Now + (Event.WrongTarget ? WrongTargetAvoidTime
                                                      : FullTargetAvoidTime);
  if (Event.WrongTarget && Request.Call.HasPrompt) {
    auto &Models = Entry->Target.Holdings.Models;
    const auto HeldModel = Models.find(Request.Call.Prompt.Model);
    if (HeldModel == Models.end())
      return;
    if (Request.Call.Prompt.Adapter.empty())
      Models.erase(HeldModel);
    else
      HeldModel->second.Adapters.erase(Request.Call.Prompt.Adapter);
  }
}

/// Updates the averages of the time that requests hold a slot.
auto recordDecodeTime(const gateway_step &Step, const request_state &Request)
    -> void {
  const auto Tokens = Request.Call.Prompt.MaxOutputTokens;
  if (!Request.Call.HasPrompt || Tokens == 0 || Request.FirstOutputMs < 0)
    return;
  const auto FirstOutputAt =
      Request.SentAt + milliseconds(Request.FirstOutputMs);
  const double DecodeMs =
      std::chrono::duration<double, std::milli>(Step.Now - FirstOutputAt)
          .count();
  const auto Update = [](double &Average, double Value) {
    Average += Average > 0 ? ObservationWeight * (Value - Average) : Value;
  };
  Update(Step.State.DecodeMsPerToken[Request.Call.Prompt.Model],
         DecodeMs / Tokens);
  if (auto *Entry = Step.State.Book.find(Request.CurrentTarget))
    Update(Entry->DecodeMs, DecodeMs);
}

auto isSuccess(std::uint16_t Status) -> bool {
  constexpr std::uint16_t FirstSuccessStatus = 200;
  constexpr std::uint16_t FirstRedirectStatus = 300;
  return Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
}

/// True if the end of an attempt counts as a failure of the target. It may
/// close a connection that rests.
auto isFailure(const attempt_ended &Event) -> bool {
  const auto End = Event.End;
  if (Event.Connection.Kept && Event.Connection.Lost)
    return false;
  return End == attempt_end::NotSent || End == attempt_end::Failed ||
         End == attempt_end::Unknown || End == attempt_end::CutShort;
}

} // namespace

auto handle(const gateway_step &Step, const request_arrived &Event) -> void {
  auto &State = Step.State;
  // Registered before the checks, so that a refusal is logged with its id.
  auto &Request = State.Requests[Event.Number];
  Request.Call = Event.Call;
  Request.Deadline = Event.Call.CallerDeadline;
  if (State.Configuration.Version == 0)
    return refuseRequest(Step, Event.Number, result_code::NotReady,
                         NotReadyRetryAfterMs, "no configuration is known");
  routeRequest(Step, Event.Number);
}

auto routeRequest(const gateway_step &Step, request_number Number) -> void {
  auto &State = Step.State;
  if (awaitKnowledge(Step, Number, knowledge_kind::Configuration))
    return;
  auto &Request = State.Requests.at(Number);
  const auto &Call = Request.Call;
  const auto *Route = State.Routes.find(Call.Host, Call.Path);
  if (Route == nullptr && !isConfigurationCurrent(State, Step.Now))
    return refuseRequest(Step, Number, result_code::NotReady,
                         NotReadyRetryAfterMs,
                         "a newer configuration may have a route");
  if (Route == nullptr)
    return refuseRequest(Step, Number, result_code::NotFound, 0,
                         "no route for host and path");
  Request.IsRouted = true;
  Request.Route = *Route;
  Request.KeyDigest = Call.Key.digest(State.Options.KeySecret);
  if (refuseWithoutKey(Step, Number))
    return;
  Request.Service = chooseService(State, *Route);
  Request.Deadline = std::min(Call.CallerDeadline,
                              Call.Arrived + milliseconds(Route->TimeoutMs));
  Request.FirstOutputDeadline =
      Route->FirstOutputTimeoutMs > 0
          ? std::min(Request.Deadline,
                     Call.Arrived + milliseconds(Route->FirstOutputTimeoutMs))
          : Request.Deadline;
  // Before it counts as demand for its model.
  if (refuseIfQuarantined(Step, Number) || refuseIfOverloaded(Step, Number))
    return;
  admitRequest(Step, Number);
}

auto handle(const gateway_step &Step, const first_output &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end() ||
      !selectAttempt(Found->second, Event.Attempt))
    return;
  auto &Request = Found->second;
  Request.FirstOutputMs = toMilliseconds(Step.Now - Request.SentAt);
  Step.State.Fairness.recordOutcome(Event.Number, fair_outcome::Served,
                                    Step.Now);
  auto *Entry = Step.State.Book.find(Request.CurrentTarget);
  if (Entry != nullptr && Request.ExpectedFirstOutputMs >= MinCalibrationMs) {
    const double TookMs =
        std::chrono::duration<double, std::milli>(Step.Now - Request.SentAt)
            .count();
    const double TimeRatio = std::clamp(TookMs / Request.ExpectedFirstOutputMs,
                                        MinTimeRatio, MaxTimeRatio);
    const auto &Model = Request.Call.Prompt.Model;
    Step.State.PrefillMsPerToken[Model] =
        std::clamp(prefillMsPerToken(Step.State, Model) *
                       (1 + ObservationWeight * (TimeRatio - 1)),
                   MinPrefillMsPerToken, MaxPrefillMsPerToken);
    Entry->Slowness += ObservationWeight * (TimeRatio - Entry->Slowness);
  }
  Step.State.Book.recordFirstOutput(
      Request.CurrentTarget, rankOf(Request.Route.Priority), Request.PrefillMs);
  Request.PrefillMs = 0;
}

auto handle(const gateway_step &Step, const attempt_ended &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end() ||
      !selectAttempt(Found->second, Event.Attempt))
    return;
  auto &Request = Found->second;
  // It was not sent because its key was removed; the target is not at fault.
  const bool Revoked = Event.End == attempt_end::NotSent &&
                       !hasValidKey(Step.State, Event.Number);
  if (!Revoked)
    applyAttemptOutcome(Step, Request, Event);
  if (Event.End == attempt_end::Answered)
    recordDecodeTime(Step, Request);
  if (Event.End == attempt_end::Answered && isSuccess(Event.Status))
    recordServed(Step, Request);
  notePossibleCrash(Step, Request, Event);
  const auto Target = Request.CurrentTarget;
  const pick LastPick{Target, false, Request.PrefillMs,
                      Request.ExpectedFirstOutputMs};
  learnFromConnection(Step, Request, Event);
  releaseTarget(Step, Request, !Revoked && isFailure(Event));
  logAttemptEnd(Step, Request, Target, Event);
  Request.MayHaveRun |= Event.End == attempt_end::Failed ||
                        Event.End == attempt_end::Unknown ||
                        Event.End == attempt_end::CutShort;
  Step.Effects.push_back(record_attempt_times{
      Request.Route.Name, Request.FirstOutputMs,
      toMilliseconds(Step.Now - Request.Call.Arrived), Event.LongestGapMs});
  if (Event.End == attempt_end::NotRun && !Event.WrongTarget)
    noteShortage(Step, Request.Service);
  if (continueOther(Step, Request, Event) ||
      repeatOnNewConnection(Step, Event, LastPick))
    return;
  const bool Repeatable = isRepeatable(Request.Route);
  switch (Event.End) {
  case attempt_end::Answered:
    Step.State.Fairness.recordOutcome(Event.Number, fair_outcome::Served,
                                      Step.Now);
    Step.State.Requests.erase(Found);
    return;
  case attempt_end::NotSent:
    // No target has seen the request, so it does not count as an attempt.
    --Request.Attempts;
    if (Revoked || mayRetry(Step, Request, Request.Attempts > 0))
      return dispatchRequest(Step, Event.Number);
    return refuseRequest(Step, Event.Number, result_code::TargetUnreachable,
                         refusedRetryAfterMs(Step, Request),
                         "no connection to the target");
  case attempt_end::NotRun:
    if (mayRetry(Step, Request, true))
      return dispatchRequest(Step, Event.Number);
    return refuseRequest(Step, Event.Number, result_code::TargetRefused,
                         refusedRetryAfterMs(Step, Request),
                         "the target did not run it");
  case attempt_end::Failed:
    if (Repeatable && mayRetry(Step, Request, true))
      return dispatchRequest(Step, Event.Number);
    Step.Effects.push_back(relay_failure{Event.Number});
    Step.State.Fairness.recordOutcome(Event.Number, fair_outcome::NotServed,
                                      Step.Now);
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
  log_fields Fields = {{"request", Request.Call.Id},
                       {"target", Request.CurrentTarget.Text},
                       {"after_ms", std::to_string(toMilliseconds(
                                        Step.Now - Request.Call.Arrived))}};
  addWorkspace(Fields, Request);
  addLogEntry(Step, log_level::Info, "caller_left", std::move(Fields));
  settleCharge(Step, Event.Number,
               Request.MayHaveRun || !Request.CurrentTarget.empty());
  releaseTarget(Step, Request, false);
  releaseOther(Step, Request);
  Step.State.HeldRequests.erase(Event.Number);
  Step.State.Fairness.recordOutcome(Event.Number, fair_outcome::Left, Step.Now);
  Step.State.Requests.erase(Found);
}

auto handle(const gateway_step &Step, const deadline_passed &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end() || endQuotaWait(Step, Event.Number))
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
