/// \file
/// Tells where a gateway would send a request now, and why, without sending it.
///
/// The request is put through the reducer on a copy of the gateway's state, so
/// that the explanation is the decision itself. The copy and its effects are
/// dropped: no demand is counted, no token taken, nothing sent.
#ifndef LIMPETBRIDGE_SERVING_EXPLAIN_H
#define LIMPETBRIDGE_SERVING_EXPLAIN_H

#include "base/result_code.h"
#include "serving/gateway.h"
#include "serving/picker.h"

#include <string>
#include <vector>

namespace limpetbridge::serving {

/// What would become of a request.
enum class explained_outcome : std::uint8_t { Sent, Waits, Refused };
[[nodiscard]] auto nameOf(explained_outcome Outcome) -> std::string_view;

/// One target of the request's service.
struct explained_target {
  target_name Name;
  candidate Candidate;
  std::uint32_t Active = 0; ///< Requests in progress there, of all gateways.
  std::uint32_t Slots = 0;  ///< 0: not stated.
  double Slowness = 1;
  double FailureShare = 0;
  std::int64_t AvoidedMs = 0;    ///< Backoff that is left.
  std::int64_t RefusingMs = 0;   ///< Time for which it refuses requests.
  std::int64_t ReportAgeMs = -1; ///< Of its holdings; below 0: none.
};

/// The quota of the request's workspace at this gateway.
struct explained_quota {
  quota_limit Limit; ///< Over all gateways.
  quota_shares::workspace_status Status;
};

/// What a gateway would do with a request. It holds no key.
struct explanation {
  explained_outcome Outcome = explained_outcome::Waits;
  target_name Target;                 ///< If it is sent, or waits for a load.
  result_code Code = result_code::Ok; ///< If it is refused.
  std::int64_t RetryAfterMs = 0;
  std::string Reason; ///< Of a refusal or a wait.
  std::string Route;  ///< Empty if there is none.
  service_name Service;
  std::optional<workspace_name> Workspace;
  std::optional<std::uint32_t> TargetPriority; ///< If it is not refused.
  std::optional<explained_quota> Quota;
  model_name Model;
  std::string Adapter;
  std::uint64_t ConfigurationVersion = 0;
  std::int64_t TargetsAgeMs = 0; ///< Of the view of the targets.
  /// Empty if the request is refused before a target is chosen. Those that may
  /// be chosen come first, by cost.
  std::vector<explained_target> Targets;
};

/// Explains what \p State decides at \p Now about a request that \p Call
/// describes, if it arrived now.
[[nodiscard]] auto explain(const gateway_state &State, const call &Call,
                           time_point Now) -> explanation;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_EXPLAIN_H
