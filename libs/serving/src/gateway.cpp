#include "serving/gateway.h"

#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

auto nameOf(attempt_end End) -> std::string_view {
  switch (End) {
  case attempt_end::NotSent:
    return "not_sent";
  case attempt_end::NotRun:
    return "not_run";
  case attempt_end::Answered:
    return "answered";
  case attempt_end::Failed:
    return "failed";
  case attempt_end::Unknown:
    return "unknown";
  case attempt_end::CutShort:
    return "cut_short";
  }
  return "unknown";
}

auto nameOf(body_framing Framing) -> std::string_view {
  switch (Framing) {
  case body_framing::None:
    return "none";
  case body_framing::Length:
    return "length";
  case body_framing::Chunked:
    return "chunked";
  case body_framing::Connection:
    return "connection";
  }
  return "none";
}

auto makeGatewayState(const gateway_options &Options) -> gateway_state {
  gateway_state State;
  State.Options = Options;
  State.Random.seed(static_cast<std::uint32_t>(Options.Seed));
  if (Options.Quota.Window > duration::zero())
    State.Quotas.emplace(Options.Quota, Options.Self, Options.Incarnation,
                         Options.Seed);
  return State;
}

auto gatewayCount(const gateway_state &State) -> std::size_t {
  const auto Others = std::count_if(
      State.Instances.begin(), State.Instances.end(),
      [&](const auto &NamedInstance) {
        return NamedInstance.second.Role == instance_role::Gateway &&
               NamedInstance.first != State.Options.Self;
      });
  return static_cast<std::size_t>(Others) + 1;
}

auto gatewayAddresses(const gateway_state &State) -> std::vector<std::string> {
  std::vector<std::string> Addresses;
  for (const auto &[Name, Instance] : State.Instances)
    if (Name != State.Options.Self && Instance.Role == instance_role::Gateway)
      Addresses.push_back(Instance.Address);
  return Addresses;
}

auto digestInterval(const gateway_state &State) -> duration {
  /// Gateways whose digests arrive at the least interval.
  constexpr std::size_t FullRateGateways = 10;
  // Records of gateways that were replaced stay in the store, so only those
  // that are heard count.
  const auto Count =
      std::max(State.PeerDigestTimes.size() + 1, FullRateGateways);
  return State.Options.DigestInterval * Count / FullRateGateways;
}

auto peerTimeout(const gateway_state &State) -> duration {
  constexpr duration MinPeerTimeout = milliseconds(1500);
  constexpr int MissedDigests = 4;
  return std::max(MinPeerTimeout, MissedDigests * digestInterval(State));
}

auto prefillMsPerToken(const gateway_state &State, const model_name &Model)
    -> double {
  /// Used until a time was observed: engines for models of 70 billion
  /// parameters process about 40 prompt tokens per millisecond.
  constexpr double DefaultPrefillMsPerToken = 0.025;
  const auto Found = State.PrefillMsPerToken.find(Model);
  return Found == State.PrefillMsPerToken.end() ? DefaultPrefillMsPerToken
                                                : Found->second;
}

auto expectedWorkMs(const gateway_state &State, const service_name &Service,
                    const prompt &Prompt) -> double {
  const double PrefillMs =
      prefillMsPerToken(State, Prompt.Model) * Prompt.InputTokens;
  const auto Spec = State.Configuration.Services.find(Service);
  const auto PerToken = State.DecodeMsPerToken.find(Prompt.Model);
  if (Spec == State.Configuration.Services.end() ||
      Spec->second.Engine.Slots == 0 ||
      PerToken == State.DecodeMsPerToken.end())
    return PrefillMs;
  const double SlotMs = PrefillMs + PerToken->second * Prompt.MaxOutputTokens;
  return std::max(PrefillMs, SlotMs / Spec->second.Engine.Slots);
}

auto addLogEntry(const gateway_step &Step, log_level Level, std::string Event,
                 log_fields Fields) -> void {
  Step.Effects.push_back(
      write_note{Level, std::move(Event), std::move(Fields)});
}

namespace {

/// True if a target has less to do since the event.
auto endsWork(const gateway_event &Event) -> bool {
  return std::holds_alternative<first_output>(Event) ||
         std::holds_alternative<attempt_ended>(Event) ||
         std::holds_alternative<caller_left>(Event);
}

/// True if a target may have no prefill due, or another target be known, since
/// the event.
auto mayFreeTarget(const gateway_event &Event) -> bool {
  return endsWork(Event) || std::holds_alternative<target_updated>(Event);
}

} // namespace

auto reduce(gateway_state &State, const gateway_event &Event, time_point Now)
    -> gateway_effects {
  gateway_effects Effects;
  const gateway_step Step{State, Now, Effects};
  const bool IsTick = std::holds_alternative<tick>(Event);
  noteTurn(Step, IsTick);
  std::visit([&](const auto &TypedEvent) { handle(Step, TypedEvent); }, Event);
  if (!State.Paced.empty()) {
    if (IsTick || mayFreeTarget(Event))
      dispatchPaced(Step, IsTick);
    else if (std::holds_alternative<gateway_digest>(Event))
      dispatchPacedAfterDigest(Step);
  }
  if (State.HeldRequests.size() > 0 && (IsTick || endsWork(Event)))
    dispatchHeld(Step, IsTick);
  sendUrgentQuotaReports(Step);
  return Effects;
}

} // namespace limpetbridge::serving
