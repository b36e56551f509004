/// \file
/// Effects of a gateway: every output of its reducer, as data.
#ifndef LIMPETBRIDGE_SERVING_GATEWAY_EFFECTS_H
#define LIMPETBRIDGE_SERVING_GATEWAY_EFFECTS_H

#include "base/log.h"
#include "base/result_code.h"
#include "serving/gateway_events.h"
#include "serving/hedging.h"
#include "serving/workspaces.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace limpetbridge::serving {

/// Send the request to a target.
struct send_attempt {
  request_number Number = 0;
  attempt_number Attempt = 0; ///< Starts at 1.
  target_name Target;
  std::uint64_t Incarnation = 0; ///< Of the target.
  std::string Address;
  time_point Deadline; ///< Sent to the target, which stops by then.
  request_kind Kind = request_kind::NonIdempotent;
  bool Resumable = false;
  std::uint32_t Priority = 0;
  workspace_name Workspace; ///< Whose request it is; empty if nobody's.
  /// Kept connection to use; 0: a new one.
  connection_number Connection = 0;
  bool IsHedge = false;      ///< Another attempt is in progress and goes on.
  bool MeasuresPace = false; ///< The pace of its events is to be reported.
};

/// Raise hedge_due at \p At unless the request has ended by then.
struct set_hedge_timer {
  request_number Number = 0;
  attempt_number Attempt = 0;
  time_point At;
};

/// Cancel one of two attempts in progress: the other one answers. Its end is
/// not reported.
struct cancel_attempt {
  request_number Number = 0;
  attempt_number Attempt = 0;
};

/// Count a decision on a hedge in the metrics.
struct record_hedge {
  hedge_verdict Verdict = hedge_verdict::Sent;
};

/// Close connections that rest.
struct close_connections {
  std::vector<connection_number> Numbers;
  close_reason Reason = close_reason::Expired;
};

/// Raise deadline_passed at the deadline unless the request has ended by then.
struct set_deadline {
  request_number Number = 0;
  time_point Deadline;
};

/// Answer the request with an error. If part of a target's answer was already
/// relayed, the connection is aborted instead.
struct refuse_request {
  request_number Number = 0;
  result_code Code = result_code::NoTarget;
  std::int64_t RetryAfterMs = 0; ///< 0: no retry-after is sent.
};

/// Relay the server error that the target answered with.
struct relay_failure {
  request_number Number = 0;
};

/// Request that a controller load a model or one of its adapters.
struct request_load {
  target_name Target;
  std::string ControllerAddress;
  model_name Model;
  std::string Adapter;             ///< Empty to load the model itself.
  std::vector<model_name> Victims; ///< May be evicted for it.
  /// When loading an adapter: last use of the adapters at the target, which
  /// decides which one is evicted.
  std::map<adapter_key, time_point> AdapterUse;
};

/// Query another gateway for the rows that it has read from the store. Its
/// answer, or that there was none by the deadline, is reported.
struct query_peer {
  std::string Address;
  time_point Deadline;
  /// Longest wait of the peer for changes if it has none, ms.
  std::int64_t WaitMs = 0;
};

/// Read the configuration from the store, without waiting for a change.
struct read_configuration {};

/// Check whether a target still accepts connections.
struct check_target {
  target_name Target;
  std::uint64_t Incarnation = 0;
  std::string Address;
  time_point Deadline;
};

/// Send what is known of requests that may crash targets to other gateways.
struct send_crash_report {
  std::vector<std::string> Addresses;
  crash_report Report;
};

/// Write what is known of requests that may crash targets to the store. Writes
/// that come together may be one.
struct store_crashes {};

/// Send a digest to other gateways.
struct send_digest {
  std::vector<std::string> Addresses;
  gateway_digest Digest;
};

/// Tell other gateways at once of a prompt with much prefill.
struct send_prefill_notice {
  std::vector<std::string> Addresses;
  prefill_notice Notice;
};

/// Send to other gateways what each of them has to know about quotas.
struct send_quota_reports {
  /// With the addresses of their receivers.
  std::vector<std::pair<std::string, quota_report>> Reports;
};

/// Subscribe to the controllers' reports of their targets, or renew the
/// subscription.
struct subscribe_to_controllers {
  std::vector<std::string> Addresses;
};

/// Record the times of an attempt in the metrics.
struct record_attempt_times {
  std::string Route;
  std::int64_t FirstOutputMs = 0; ///< Since the send; below 0: no output.
  std::int64_t TotalMs = 0;       ///< From the caller's first byte to the end.
  std::int64_t LongestGapMs = 0;  ///< Between two chunks of the answer.
};

/// Count the result of a check of a key in the metrics.
struct record_key_check {
  key_verdict Verdict = key_verdict::Accepted;
  workspace_name Workspace; ///< Set if the key was accepted.
};

/// Why a prompt that waited for a target without prefill waits no longer.
enum class pacing_end : std::uint8_t {
  TargetFree, ///< A target has no prefill due.
  LatestSend, ///< Its objective leaves no more time.
  Other       ///< The choice of its target changed otherwise.
};

/// Name of the end in metrics.
[[nodiscard]] auto nameOf(pacing_end End) -> std::string_view;

/// Record the wait of a prompt for a target without prefill in the metrics.
struct record_pacing {
  std::string Route;
  std::int64_t WaitedMs = 0;
  pacing_end End = pacing_end::Other;
};

/// What became of a request under contention.
enum class fair_end : std::uint8_t {
  SentAfterWait,
  SentLate,  ///< Within its fair share, but too late for its objective.
  SentFirst, ///< Before others, as its kind is hardly served.
  Refused
};

/// Name of the end in metrics.
[[nodiscard]] auto nameOf(fair_end End) -> std::string_view;

/// Count what became of a request under contention in the metrics.
struct record_fair_share {
  std::string Route;
  std::int64_t WaitedMs = -1; ///< Below 0: it did not wait.
  fair_end End = fair_end::Refused;
};

/// Write a log entry.
struct write_note {
  log_level Level = log_level::Info;
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};

using gateway_effect = std::variant<
    set_deadline, send_attempt, set_hedge_timer, cancel_attempt, record_hedge,
    close_connections, refuse_request, relay_failure, request_load, query_peer,
    read_configuration, check_target, send_crash_report, store_crashes,
    send_digest, send_prefill_notice, send_quota_reports,
    subscribe_to_controllers, record_attempt_times, record_key_check,
    record_pacing, record_fair_share, write_note>;
using gateway_effects = std::vector<gateway_effect>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_GATEWAY_EFFECTS_H
