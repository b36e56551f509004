#include "details/gateway_parts.h"

#include <vector>

namespace limpetbridge::serving {

namespace {

/// Retry-after of a request that would not end before this gateway does, ms:
/// another gateway takes it at once.
constexpr std::int64_t StoppingRetryAfterMs = 50;
/// Expected durations are rough, so that this multiple of one has to fit into
/// the time until the stop, and the margin besides.
constexpr double StopTolerance = 4;
constexpr duration StopMargin = milliseconds(500);

} // namespace

auto exceedsStop(const gateway_state &State, const request_state &Request,
                 time_point Now) -> bool {
  if (State.StopDeadline == NoDeadline)
    return false;
  // The time of a stream has no bound that its caller would not pass.
  if (Request.Route.Kind == request_kind::Stream &&
      Request.Call.Arrived > State.StreamsUntil)
    return true;
  const auto &Prompt = Request.Call.Prompt;
  auto ExpectedMs = static_cast<double>(Request.Route.TargetLatencyMs);
  const auto PerToken = State.DecodeMsPerToken.find(Prompt.Model);
  if (Request.Call.HasPrompt && PerToken != State.DecodeMsPerToken.end())
    ExpectedMs += PerToken->second * Prompt.MaxOutputTokens;
  else if (Request.Call.HasPrompt)
    ExpectedMs = static_cast<double>(toMilliseconds(Request.Deadline - Now));
  const auto Needed =
      milliseconds(static_cast<std::int64_t>(StopTolerance * ExpectedMs));
  return Now + Needed + StopMargin > State.StopDeadline;
}

auto refuseStopping(const gateway_step &Step, request_number Number) -> void {
  refuseRequest(Step, Number, result_code::Draining, StoppingRetryAfterMs,
                "the gateway stops");
}

auto handle(const gateway_step &Step, const stop_began &Event) -> void {
  Step.State.StopDeadline = Event.Deadline;
  Step.State.StreamsUntil = Event.StreamsUntil;
}

auto handle(const gateway_step &Step, const stop_deadline_passed & /*Event*/)
    -> void {
  std::vector<request_number> Numbers;
  for (const auto &[Number, Request] : Step.State.Requests)
    Numbers.push_back(Number);
  for (const auto Number : Numbers) {
    auto &Request = Step.State.Requests.at(Number);
    if (Request.CurrentTarget.empty() && !Request.MayHaveRun) {
      refuseStopping(Step, Number);
      continue;
    }
    releaseTarget(Step, Request, false);
    refuseRequest(Step, Number, result_code::OutcomeUnknown, 0,
                  "the target is still at work as the gateway stops");
  }
}

} // namespace limpetbridge::serving
