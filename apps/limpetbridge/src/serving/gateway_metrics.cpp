/// The page of a gateway's metrics, and what it logs about its own state.
#include "gateway_node.h"

#include <algorithm>
#include <utility>

namespace limpetbridge {

using namespace serving;
using net::awaitable;

auto gateway_node::handleMetricsCall(net::http_request Request)
    -> awaitable<net::http_response> {
  if (Request.Target.starts_with(QuarantinePath))
    co_return handleQuarantineCall(Request);
  const auto Now = process_clock::now();
  Metrics.set("ready", isReady() ? 1 : 0);
  Metrics.set("requests_in_progress",
              static_cast<std::int64_t>(State.Requests.size()));
  Metrics.set("caller_connections",
              static_cast<std::int64_t>(Connections.size()));
  Metrics.set("configuration_version",
              static_cast<std::int64_t>(State.Configuration.Version));
  Metrics.set("reads_targets", State.ReadsTargets ? 1 : 0);
  Metrics.set("targets_age_ms", toMilliseconds(Now - State.TargetsKnownAt));
  Metrics.set("loop_delay_ms", Loop.lastDelayMs());
  Metrics.set("digests_lost", lostDigests());
  Metrics.set("digests_replaced",
              static_cast<std::int64_t>(Digests.replacedCount()));
  Metrics.set("held_answer_bytes",
              static_cast<std::int64_t>(Budget.heldBytes()));
  Metrics.set("held_answers_cancelled",
              static_cast<std::int64_t>(Budget.cancelCount()));
  Metrics.set("gateways_heard",
              static_cast<std::int64_t>(State.PeerDigestTimes.size()));
  Metrics.set("suspects",
              static_cast<std::int64_t>(State.Crashes.suspects().size()));
  Metrics.set("suspects_quarantined",
              static_cast<std::int64_t>(
                  State.Crashes.quarantined(State.Options.Quarantine).size()));
  for (const auto &[Name, Entry] : State.Book.all()) {
    const auto Label = "{target=\"" + Name.Text + "\"}";
    const auto Load = Entry.load();
    Metrics.set("target_active" + Label, Load.activeCount());
    Metrics.set("target_pending_ms" + Label,
                static_cast<std::int64_t>(Load.pendingMs(RankCount - 1)));
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
  const auto TargetsAge = process_clock::now() - State.TargetsKnownAt;
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
