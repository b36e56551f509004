/// Attempts at requests: starts and cancels them, and counts how they end.
#include "gateway_node.h"

namespace limpetbridge {

using namespace serving;

auto gateway_node::countAttempt(const attempt_ended &Ended) -> void {
  Metrics.count("attempts", nameOf(Ended.End));
  if (Ended.Body.Framing == body_framing::None)
    return;
  Metrics.count("answer_bodies", nameOf(Ended.Body.Framing));
  if (Ended.Body.InsideEvent)
    Metrics.count("streams_ended_inside_event", nameOf(Ended.Body.Framing));
}

auto gateway_node::sendCommand(request_number Number,
                               gateway_request::command Command) -> void {
  const auto Found = Requests.find(Number);
  if (Found != Requests.end())
    Found->second->enqueueCommand(std::move(Command));
}

auto gateway_node::execute(const send_attempt &Effect) -> void {
  const auto TargetsAge = process_clock::now() - State.Targets.KnownAt;
  Metrics.observe("targets_age", "send",
                  static_cast<double>(toMilliseconds(TargetsAge)));
  observeConfigurationAge("send");
  if (!Effect.IsHedge)
    return sendCommand(Effect.Number, Effect);
  const auto Found = Requests.find(Effect.Number);
  if (Found != Requests.end())
    Found->second->startHedge(Effect);
}

auto gateway_node::observeConfigurationAge(const char *Decision) -> void {
  const auto AgeMs = configurationAgeMs(State, process_clock::now());
  if (AgeMs >= 0)
    Metrics.observe("configuration_age", Decision, static_cast<double>(AgeMs));
}

auto gateway_node::execute(const set_hedge_timer &Effect) -> void {
  const auto Found = Requests.find(Effect.Number);
  if (Found != Requests.end())
    Found->second->setHedgeTimer(Effect);
}

auto gateway_node::execute(const cancel_attempt &Effect) -> void {
  Metrics.count("attempts", "cancelled");
  const auto Found = Requests.find(Effect.Number);
  if (Found != Requests.end())
    Found->second->cancelAttempt(Effect.Attempt);
}

auto gateway_node::execute(const record_hedge &Effect) -> void {
  Metrics.count("hedges", nameOf(Effect.Verdict));
}

auto gateway_node::execute(const record_attempt_times &Effect) -> void {
  if (Effect.FirstOutputMs >= 0)
    Metrics.observe("first_output", Effect.Route,
                    static_cast<double>(Effect.FirstOutputMs));
  Metrics.observe("whole_answer", Effect.Route,
                  static_cast<double>(Effect.TotalMs));
  if (Effect.LongestGapMs > 0)
    Metrics.observe("longest_gap", Effect.Route,
                    static_cast<double>(Effect.LongestGapMs));
}

} // namespace limpetbridge
