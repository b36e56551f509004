#include "details/gateway_parts.h"

#include <algorithm>
#include <vector>

namespace limpetbridge::serving {

namespace {

/// Retry-after of a request that another gateway takes at once, ms.
constexpr std::int64_t StoppingRetryAfterMs = 50;
/// Expected durations are averages, so this multiple of one has to fit into the
/// time until the stop if another gateway is ready.
constexpr double StopTolerance = 4;
constexpr duration StopMargin = milliseconds(500);
/// Time from the end of a gateway until the process that replaces it is ready
/// and the load balancer knows.
constexpr duration RestartTime = seconds(1);

/// Time at which the first of the other gateways is ready; NoDeadline if none
/// sends digests.
auto otherGatewayReadyAt(const gateway_state &State) -> time_point {
  auto ReadyAt = NoDeadline;
  for (const auto &[Peer, Status] : State.PeerStatuses)
    ReadyAt = std::min(ReadyAt, Status.ReadyAt);
  return ReadyAt;
}

/// Average time until the answer of \p Request is complete, ms.
auto expectedDurationMs(const gateway_state &State,
                        const request_state &Request, double Unknown)
    -> double {
  const auto FirstOutputMs = static_cast<double>(Request.Route.TargetLatencyMs);
  const auto &Prompt = Request.Call.Prompt;
  if (!Request.Call.HasPrompt)
    return FirstOutputMs;
  const auto PerToken = State.DecodeMsPerToken.find(Prompt.Model);
  return PerToken == State.DecodeMsPerToken.end()
             ? Unknown
             : FirstOutputMs + PerToken->second * Prompt.MaxOutputTokens;
}

} // namespace

auto exceedsStop(const gateway_state &State, const request_state &Request,
                 time_point Now) -> bool {
  if (State.StopDeadline == NoDeadline)
    return false;
  // The time of a stream has no bound that its caller would not pass.
  if (Request.Route.Kind == request_kind::Stream &&
      Request.Call.Arrived > State.BalancerEnd)
    return true;
  // Without another gateway, a refused caller finds nobody, while most answers
  // are complete in time.
  const bool Refusable = otherGatewayReadyAt(State) <= Now;
  // The caller could not repeat it if the end of the stop cut it.
  if (Refusable && Now > State.BalancerEnd &&
      Request.Route.Kind == request_kind::NonIdempotent &&
      Request.Deadline > State.StopDeadline)
    return true;
  const auto ExpectedMs = expectedDurationMs(
      State, Request,
      Refusable ? static_cast<double>(toMilliseconds(Request.Deadline - Now))
                : 0);
  const auto Needed = milliseconds(
      static_cast<std::int64_t>((Refusable ? StopTolerance : 1) * ExpectedMs));
  return Now + Needed + StopMargin > State.StopDeadline;
}

auto readyAt(const gateway_state &State, time_point Now) -> time_point {
  if (State.StopDeadline != NoDeadline)
    return State.StopDeadline + RestartTime;
  return State.Configuration.Version > 0 ? Now : Now + RestartTime;
}

auto refuseStopping(const gateway_step &Step, request_number Number) -> void {
  const auto ReadyAt =
      std::min(otherGatewayReadyAt(Step.State), readyAt(Step.State, Step.Now));
  refuseRequest(
      Step, Number, result_code::Draining,
      std::max(StoppingRetryAfterMs, toMilliseconds(ReadyAt - Step.Now)),
      "the gateway stops");
}

auto handle(const gateway_step &Step, const stop_began &Event) -> void {
  Step.State.StopDeadline = Event.Deadline;
  Step.State.BalancerEnd = Event.BalancerEnd;
  expireConnections(Step);
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
