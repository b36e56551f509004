/// How prompts are kept from stalling streams: what a gateway knows for the
/// choice of a target, and prompts that wait until one has no prefill due.
#include "details/gateway_parts.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Least objective for the first output of prompts that wait: several times
/// the prefill that is due at a busy target.
constexpr std::int64_t MinPacedObjectiveMs = 2000;
/// Expected times are rough, so this multiple of one is left.
constexpr double ExpectedTimeFactor = 1.5;
/// A prompt that needs longer does not wait.
constexpr double MaxNeededMs = 3'600'000;
/// Left besides: three ticks, at which waiting prompts are examined.
constexpr duration LatestSendMargin = milliseconds(300);
/// Prompts that wait at once, since their bodies are held meanwhile.
constexpr std::size_t MaxPaced = 64;
/// Prompts that stop waiting at once; the next ones are sent a moment later.
constexpr std::size_t MaxReleased = 4;
/// Prompts that are examined after an event other than a tick: each one costs a
/// look at all targets, and many digests arrive between two ticks.
constexpr std::size_t MaxExamined = 8;
/// Least time between two examinations because of digests. Each costs as much
/// as some digests, and the prompts have seconds.
constexpr duration DigestExamination = milliseconds(25);

/// When the prompt has to be sent if it takes \p ExpectedMs to its first
/// output.
auto latestSend(const request_state &Request, double ExpectedMs) -> time_point {
  const auto Objective = std::min(
      Request.FirstOutputDeadline,
      Request.Call.Arrived + milliseconds(Request.Route.TargetLatencyMs));
  const double NeededMs = ExpectedTimeFactor * ExpectedMs;
  // Reports of other gateways may hold any number.
  if (!(NeededMs >= 0 && NeededMs < MaxNeededMs))
    return time_point();
  const auto Needed = milliseconds(static_cast<std::int64_t>(NeededMs));
  return Objective - Needed - LatestSendMargin;
}

/// True if the prompt may wait for a target without prefill.
auto mayBePaced(const gateway_state &State, const request_state &Request)
    -> bool {
  // Whoever tries a suspect keeps others from it, and a stream that is resumed
  // pauses already.
  return Request.Attempts == 0 && !Request.MayHaveRun &&
         !Request.TriedSuspect && State.StopDeadline == NoDeadline &&
         Request.Route.TargetLatencyMs >= MinPacedObjectiveMs &&
         State.Paced.size() < MaxPaced;
}

/// Ends the wait of the prompt, if it waited.
auto endWait(const gateway_step &Step, request_state &Request, pacing_end End)
    -> void {
  if (Request.PacedSince == time_point() || Request.PacedMs >= 0)
    return;
  Request.PacedMs = toMilliseconds(Step.Now - Request.PacedSince);
  Step.Effects.push_back(
      record_pacing{Request.Route.Name, Request.PacedMs, End});
}

} // namespace

auto nameOf(pacing_end End) -> std::string_view {
  switch (End) {
  case pacing_end::TargetFree:
    return "target_free";
  case pacing_end::LatestSend:
    return "latest_send";
  case pacing_end::Other:
    return "other";
  }
  return "other";
}

auto waitForFreeTarget(const gateway_step &Step, request_number Number,
                       pick_request PickRequest, pick &Pick) -> bool {
  auto &Request = Step.State.Requests.at(Number);
  if (!PickRequest.Streams || !mayBePaced(Step.State, Request)) {
    endWait(Step, Request, pacing_end::Other);
    return false;
  }
  PickRequest.OnlyWithoutPrefill = true;
  if (const auto Free = pickTarget(Step.State.Book, PickRequest)) {
    Pick = *Free;
    endWait(Step, Request, pacing_end::TargetFree);
    return false;
  }
  const auto Latest = latestSend(Request, Pick.ExpectedMs);
  if (Step.Now >= Latest) {
    endWait(Step, Request, pacing_end::LatestSend);
    return false;
  }
  Step.State.Paced.emplace(Latest, Number);
  if (Request.PacedSince != time_point())
    return true;
  Request.PacedSince = Step.Now;
  log_fields Fields = {
      {"request", Request.Call.Id},
      {"target", Pick.Target.Text},
      {"due_ms", std::to_string(std::lround(Pick.Streams.DueMs))},
      {"latest_ms", std::to_string(toMilliseconds(Latest - Step.Now))},
      {"waiting", std::to_string(Step.State.Paced.size())}};
  addWorkspace(Fields, Request);
  addLogEntry(Step, log_level::Info, "prompt_paced", std::move(Fields));
  return true;
}

auto dispatchPacedAfterDigest(const gateway_step &Step) -> void {
  if (Step.Now - Step.State.PacedExaminedAt >= DigestExamination)
    dispatchPaced(Step, false);
}

auto dispatchPaced(const gateway_step &Step, bool All) -> void {
  auto &State = Step.State;
  State.PacedExaminedAt = Step.Now;
  std::vector<std::pair<time_point, request_number>> Waiting;
  for (const auto &Item : State.Paced) {
    if (!All && Waiting.size() >= MaxExamined)
      break;
    Waiting.push_back(Item);
  }
  std::size_t Released = 0;
  for (const auto &Item : Waiting) {
    if (Released >= MaxReleased)
      return;
    State.Paced.erase(Item);
    // Its caller may have left meanwhile, or its deadline have passed.
    if (!State.Requests.contains(Item.second))
      continue;
    const auto Before = State.Paced.size();
    dispatchRequest(Step, Item.second);
    if (State.Paced.size() == Before)
      ++Released;
  }
}

auto addStreamProtection(const gateway_step &Step, const request_state &Request,
                         pick_request &PickRequest) -> void {
  const auto &State = Step.State;
  const auto Bounds = State.StreamBounds.find(Request.Service);
  if (!Request.Call.HasPrompt || Bounds == State.StreamBounds.end())
    return;
  PickRequest.Streams = {&Bounds->second,
                         &State.PeerDigestTimes,
                         PickRequest.Rank,
                         static_cast<double>(Request.Route.GapBoundMs),
                         static_cast<double>(Request.Route.TargetLatencyMs),
                         PickRequest.PrefillMsPerToken,
                         Request.Call.Prompt.InputTokens,
                         Step.Now,
                         spellsOf(State, Request.Service),
                         &State.Options.Self};
}

auto addPauseFields(log_fields &Fields, const request_state &Request,
                    const pick &Pick) -> void {
  constexpr double Percent = 100;
  const auto &Streams = Pick.Streams;
  // Without protection there is no prediction; with it, a pause has a length.
  if (Streams.PauseMs <= 0)
    return;
  const auto Print = [](double Value) {
    return std::to_string(std::lround(Value));
  };
  Fields.emplace_back("due_ms", Print(Streams.DueMs));
  Fields.emplace_back("pause_ms", Print(Streams.PauseMs));
  Fields.emplace_back(
      "paced_ms", std::to_string(std::max(std::int64_t{0}, Request.PacedMs)));
  // In hundredths, as a prompt seldom makes a whole stream late.
  Fields.emplace_back("late_percent", Print(Percent * Streams.LateStreams));
}

} // namespace limpetbridge::serving
