/// \file
/// Effects of a gateway: everything that its decisions ask for, as data.
#ifndef LIMPETBRIDGE_SERVING_GATEWAY_EFFECTS_H
#define LIMPETBRIDGE_SERVING_GATEWAY_EFFECTS_H

#include "base/log.h"
#include "base/result_code.h"
#include "serving/gateway_events.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace limpetbridge::serving {

/// Send the request to a target.
struct send_attempt {
  request_number Number = 0;
  std::uint32_t Attempt = 0; ///< The first is 1.
  target_name Target;
  std::string Address;
  time_point Deadline; ///< When the target has to stop.
  request_kind Kind = request_kind::NonIdempotent;
  bool Resumable = false;
  std::uint32_t Priority = 0;
};

/// Tell deadline_passed when the time comes, unless the request has ended.
struct set_deadline {
  request_number Number = 0;
  time_point Deadline;
};

/// Answer the request without a target. If a part of a target's answer was
/// relayed already, the connection is broken off instead.
struct refuse_request {
  request_number Number = 0;
  result_code Code = result_code::NoTarget;
  std::int64_t RetryAfterMs = 0; ///< 0: no time is named.
};

/// Relay the failure that the target answered with.
struct relay_failure {
  request_number Number = 0;
};

/// Ask a controller to load a model or one of its adapters.
struct request_load {
  target_name Target;
  std::string ControllerAddress;
  model_name Model;
  std::string Adapter;             ///< Empty for the model itself.
  std::vector<model_name> Victims; ///< May be unloaded for it.
  /// For an adapter: when those of the target were last used.
  std::map<adapter_key, time_point> AdapterUse;
};

/// Ask another gateway for what it has read of the platform.
struct query_peer {
  std::string Address;
};

/// Tell another instance what this gateway knows.
struct send_digest {
  std::vector<std::string> Addresses;
  gateway_digest Digest;
};

/// Ask controllers to tell this gateway of their targets from now on.
struct subscribe_to_controllers {
  std::vector<std::string> Addresses;
};

/// Times of an attempt, for the metrics.
struct record_attempt_times {
  std::string Route;
  std::int64_t FirstOutputMs =
      0;                    ///< To the first output; below 0: it had none.
  std::int64_t TotalMs = 0; ///< From the caller's first byte to the end.
  std::int64_t LongestGapMs = 0;
};

/// One line of the log.
struct write_note {
  log_level Level = log_level::Info;
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};

using gateway_effect =
    std::variant<set_deadline, send_attempt, refuse_request, relay_failure,
                 request_load, query_peer, send_digest,
                 subscribe_to_controllers, record_attempt_times, write_note>;
using gateway_effects = std::vector<gateway_effect>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_GATEWAY_EFFECTS_H
