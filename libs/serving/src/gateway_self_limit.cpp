/// The limit of the gateway's own capacity: which new requests it refuses, and
/// whether it tells load balancers.
#include "details/gateway_parts.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// At most one of so many gateways of a data centre signals overload at once.
constexpr std::size_t SignalDivisor = 4;
/// Time over which refused callers are told to return, ms.
constexpr std::int64_t ReturnSpreadMs = 200;

auto weightOf(const gateway_state &State, const request_state &Request)
    -> request_weight {
  request_weight Weight;
  Weight.ObjectiveMs = Request.Route.TargetLatencyMs;
  if (Request.Route.Kind != request_kind::Stream)
    return Weight;
  const auto Service = State.Configuration.Services.find(Request.Service);
  const auto TokensPerEvent = Service == State.Configuration.Services.end()
                                  ? 0
                                  : Service->second.Engine.TokensPerEvent;
  Weight.Events =
      std::ceil(static_cast<double>(Request.Call.Prompt.MaxOutputTokens) /
                std::max(TokensPerEvent, 1U));
  return Weight;
}

} // namespace

auto observeLoop(const gateway_step &Step, const loop_sample &Sample) -> void {
  auto &State = Step.State;
  auto &Limit = State.SelfLimit;
  constexpr double MillisPerCore = 1000;
  const bool WasLimiting = Limit.isLimiting();
  Limit.observe(State.Options.SelfLimit, Sample, State.Requests.size(),
                Step.Now);
  if (WasLimiting == Limit.isLimiting())
    return;
  addLogEntry(
      Step, WasLimiting ? log_level::Info : log_level::Warning,
      WasLimiting ? "overload_ended" : "overload_began",
      {{"delay_ms", std::to_string(std::lround(Limit.delayMs()))},
       {"used_millicores", std::to_string(std::lround(
                               MillisPerCore * Sample.UsedCores.value_or(0)))},
       {"requests", std::to_string(State.Requests.size())}});
}

auto refuseIfOverloaded(const gateway_step &Step, request_number Number)
    -> bool {
  auto &State = Step.State;
  if (State.Options.SelfLimit.CpuShare <= 0)
    return false;
  const auto Weight = weightOf(State, State.Requests.at(Number));
  const double Share =
      State.SelfLimit.admittedShare(Weight, State.Requests.size());
  // No number is drawn in calm.
  if (Share >= 1 ||
      std::uniform_real_distribution<double>()(State.Random) < Share)
    return false;
  std::uniform_int_distribution<std::int64_t> Spread(0, ReturnSpreadMs);
  refuseRequest(Step, Number, result_code::Overloaded,
                toMilliseconds(State.SelfLimit.retryAfter(Weight)) +
                    Spread(State.Random),
                "this gateway forwards its streams too late");
  return true;
}

auto signalsOverload(const gateway_state &State) -> bool {
  if (!State.SelfLimit.isSustained())
    return false;
  std::size_t Gateways = 1;
  // Gateways order the overloaded ones by name, so that they agree on which of
  // them signal it.
  std::size_t Before = 0;
  for (const auto &[Name, Status] : State.PeerStatuses) {
    if (Status.DataCentre != State.Options.DataCentre)
      continue;
    ++Gateways;
    if (Status.Overloaded && Name < State.Options.Self)
      ++Before;
  }
  return Before < Gateways / SignalDivisor;
}

} // namespace limpetbridge::serving
