/// The page of a gateway's metrics, and what it logs about its own state.
#include "explain_client.h"
#include "gateway_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetbridge {

using namespace serving;
using net::awaitable;

namespace {

/// Workspaces that have a counter of their own; the others share one.
constexpr std::size_t MaxCountedWorkspaces = 100;

/// \p Text as the value of a label. Names of workspaces may have any printable
/// characters.
auto escapeLabel(std::string_view Text) -> std::string {
  std::string Escaped;
  for (const char Character : Text) {
    if (Character == '"' || Character == '\\')
      Escaped += '\\';
    Escaped += Character;
  }
  return Escaped;
}

} // namespace

auto gateway_node::execute(const record_key_check &Effect) -> void {
  if (Effect.Verdict != key_verdict::Accepted)
    return Metrics.count("keys_refused", nameOf(Effect.Verdict));
  if (CountedWorkspaces.size() < MaxCountedWorkspaces)
    CountedWorkspaces.insert(Effect.Workspace);
  const bool IsCounted = CountedWorkspaces.contains(Effect.Workspace);
  Metrics.count("workspace_requests",
                IsCounted ? escapeLabel(Effect.Workspace.Text) : "(others)");
}

auto gateway_node::execute(const record_pacing &Effect) -> void {
  Metrics.count("prompts_paced", nameOf(Effect.End));
  Metrics.observe("paced_wait", Effect.Route,
                  static_cast<double>(Effect.WaitedMs));
}

auto gateway_node::execute(const record_fair_share &Effect) -> void {
  Metrics.count("fair_shares", nameOf(Effect.End));
  if (Effect.WaitedMs >= 0)
    Metrics.observe("fair_wait", Effect.Route,
                    static_cast<double>(Effect.WaitedMs));
}

auto gateway_node::setQuotaMetrics(time_point Now) -> void {
  if (!State.Quotas)
    return;
  constexpr double Permille = 1000;
  for (const auto &[Name, Status] : State.Quotas->status(Now)) {
    if (!CountedWorkspaces.contains(Name))
      continue;
    const auto Set = [&, Label = "{workspace=\"" + escapeLabel(Name.Text) +
                                 "\"}"](const char *Metric, double Value) {
      Metrics.set(Metric + Label, std::llround(Value));
    };
    Set("quota_admitted", Status.Admitted);
    Set("quota_refused", Status.Refused);
    Set("quota_share_permille", Permille * Status.Share);
    Set("quota_tokens", Status.Tokens);
    Set("quota_demand_per_s", Status.Demand);
  }
  Metrics.set("quota_waits",
              static_cast<std::int64_t>(State.QuotaWaits.size()));
}

auto gateway_node::handleMetricsCall(net::http_request Request)
    -> awaitable<net::http_response> {
  if (Request.Target.starts_with(QuarantinePath))
    co_return handleQuarantineCall(Request);
  if (Request.Target.starts_with(ExplainPath) ||
      Request.Target.starts_with(ExplainJsonPath))
    co_return handleExplainCall(std::move(Request));
  const auto Now = process_clock::now();
  Metrics.set("ready", isReady() ? 1 : 0);
  Metrics.set("requests_in_progress",
              static_cast<std::int64_t>(State.Requests.size()));
  Metrics.set("caller_connections",
              static_cast<std::int64_t>(Connections.size()));
  Metrics.set("configuration_version",
              static_cast<std::int64_t>(State.Configuration.Version));
  Metrics.set("store_era", static_cast<std::int64_t>(State.StoreEra));
  Metrics.set("configuration_generation",
              static_cast<std::int64_t>(
                  State.ConfigurationHistory.inForce().Generation));
  Metrics.set("store_has_configuration",
              State.ConfigurationHistory.storeHasIt() ? 1 : 0);
  Metrics.set("configuration_age_ms", configurationAgeMs(State, Now));
  Metrics.set("workspaces",
              static_cast<std::int64_t>(State.Configuration.Workspaces.size()));
  Metrics.set("workspace_keys", static_cast<std::int64_t>(State.Keys.size()));
  Metrics.set("prefill_notices_held_back",
              static_cast<std::int64_t>(State.NoticesHeldBack));
  Metrics.set("prompts_waiting", static_cast<std::int64_t>(State.Paced.size()));
  Metrics.set("fair_rate_per_s", std::llround(State.Fairness.level()));
  Metrics.set("fair_waiting",
              static_cast<std::int64_t>(State.HeldRequests.size()));
  Metrics.set("reads_targets", State.ReadsTargets ? 1 : 0);
  Metrics.set("targets_age_ms", toMilliseconds(Now - State.Targets.KnownAt));
  Metrics.set("loop_delay_ms", Loop.lastDelayMs());
  constexpr double Percent = 100;
  Metrics.set("admitted_percent",
              std::lround(Percent * State.SelfLimit.level()));
  Metrics.set("overloaded", State.SelfLimit.isSustained() ? 1 : 0);
  Metrics.set("digests_lost", lostDigests());
  Metrics.set("digests_replaced",
              static_cast<std::int64_t>(Digests.replacedCount()));
  Metrics.set("held_answer_bytes",
              static_cast<std::int64_t>(Budget.heldBytes()));
  Metrics.set("held_answers_cancelled",
              static_cast<std::int64_t>(Budget.cancelCount()));
  Metrics.set("target_connections_idle",
              static_cast<std::int64_t>(TargetConnections.idleCount()));
  Intake->updateMetrics();
  Metrics.set("gateways_heard",
              static_cast<std::int64_t>(State.PeerDigestTimes.size()));
  Metrics.set("suspects",
              static_cast<std::int64_t>(State.Crashes.suspects().size()));
  Metrics.set("suspects_quarantined",
              static_cast<std::int64_t>(
                  State.Crashes.quarantined(State.Options.Quarantine).size()));
  setQuotaMetrics(Now);
  for (const auto &[Service, Pace] : State.ServicePaces) {
    const auto Label = "{service=\"" + escapeLabel(Service.Text) + "\"}";
    Metrics.set("slow_spells_percent" + Label,
                std::llround(Percent * Pace.spells().Share));
    Metrics.set("slow_spells_factor_percent" + Label,
                std::llround(Percent * Pace.spells().Factor));
  }
  for (const auto &[Name, Entry] : State.Book.all()) {
    const auto Label = "{target=\"" + Name.Text + "\"}";
    const auto Load = Entry.load();
    Metrics.set("target_active" + Label, Load.activeCount());
    Metrics.set("target_pending_ms" + Label,
                static_cast<std::int64_t>(Load.pendingMs(RankCount - 1)));
    if (State.StreamBounds.contains(Entry.Target.Service))
      Metrics.set("target_slowness_percent" + Label,
                  std::llround(Percent * Entry.Speed.slowness(Now)));
    if (Entry.ReportedAt != time_point())
      Metrics.set("target_told_age_ms" + Label,
                  toMilliseconds(Now - Entry.ReportedAt));
  }
  constexpr std::uint16_t StatusOk = 200;
  net::http_response Response;
  Response.Head.Status = StatusOk;
  Response.Head.Fields.push_back({"Content-Type", "text/plain"});
  Response.Body = Metrics.print();
  co_return Response;
}

auto gateway_node::lostDigests() const -> std::int64_t {
  // The numbers of those that were replaced are missing as well.
  const auto Replaced = Digests.replacedCount();
  return static_cast<std::int64_t>(State.MissingDigests -
                                   std::min(State.MissingDigests, Replaced));
}

auto gateway_node::logLag(const loop_report &Report) -> void {
  /// Delay from which on a report is logged, ms.
  constexpr std::int64_t NotableDelayMs = 50;
  const auto Lost = lostDigests();
  const auto Replaced = Digests.replacedCount();
  const auto NewlyLost =
      std::max(std::int64_t{0}, Lost - std::exchange(LostDigestsLogged, Lost));
  const auto NewlyReplaced =
      Replaced - std::exchange(ReplacedDigestsLogged, Replaced);
  if (Report.LongestDelayMs < NotableDelayMs && NewlyLost == 0 &&
      NewlyReplaced == 0)
    return;
  const auto TargetsAge = process_clock::now() - State.Targets.KnownAt;
  log(log_level::Info, "loop_lag",
      {{"delay_ms", std::to_string(Report.LongestDelayMs)},
       {"busy_ms", std::to_string(Report.BusyMs)},
       {"datagrams", std::to_string(Report.Datagrams)},
       {"digests_lost", std::to_string(NewlyLost)},
       {"digests_replaced", std::to_string(NewlyReplaced)},
       {"peers", std::to_string(State.PeerDigestTimes.size())},
       {"targets_age_ms", std::to_string(toMilliseconds(TargetsAge))},
       {"requests", std::to_string(State.Requests.size())}});
}

} // namespace limpetbridge
