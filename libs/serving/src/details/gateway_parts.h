/// \file
/// Handlers of the gateway's events, a module each.
#ifndef LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H
#define LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H

#include "serving/gateway.h"

namespace limpetbridge::serving {

/// What a handler works on.
struct gateway_step {
  gateway_state &State;
  time_point Now;
  gateway_effects &Effects;
};

// gateway_requests.cpp
auto handle(const gateway_step &Step, const request_arrived &Event) -> void;
auto handle(const gateway_step &Step, const first_output &Event) -> void;
auto handle(const gateway_step &Step, const attempt_ended &Event) -> void;
auto handle(const gateway_step &Step, const caller_left &Event) -> void;
auto handle(const gateway_step &Step, const deadline_passed &Event) -> void;

/// Refuses requests whose load comes too late for their callers.
auto refuseLateLoadWaits(const gateway_step &Step) -> void;

/// A gateway that was not heard for this long counts as gone; it tells ten
/// times a second.
inline constexpr duration PeerTimeout = milliseconds(1500);

/// Places again the requests that wait for \p Model.
auto dispatchWaiting(const gateway_step &Step, const model_name &Model) -> void;

// gateway_loads.cpp
/// Makes the request wait for an adapter at \p Chosen.
auto waitForAdapter(const gateway_step &Step, request_state &Request,
                    const target_name &Chosen) -> void;
/// Makes the request wait for its model, with a load asked for if none is
/// under way.
/// \returns NotReady when it waits; else why it cannot, with the time after
/// which a repeat may succeed in \p RetryAfterMs.
auto waitForModel(const gateway_step &Step, request_state &Request,
                  std::int64_t &RetryAfterMs) -> result_code;
/// Asks for further copies of the models that this gateway answers for, where
/// the demand calls for more than there are.
auto planCopies(const gateway_step &Step) -> void;
auto handle(const gateway_step &Step, const load_answered &Event) -> void;
/// When \p Model should be loaded by the loads under way.
auto expectedLoadEnd(const gateway_step &Step, const model_name &Model)
    -> time_point;
/// Marks the targets whose models are being changed, by the loads that this
/// gateway and the others have asked for.
auto markModelChanges(gateway_state &State) -> void;
/// Forgets loads whose answer is overdue.
auto expireLoads(const gateway_step &Step) -> void;

// gateway_knowledge.cpp
auto handle(const gateway_step &Step, const configuration_read &Event) -> void;
auto handle(const gateway_step &Step, const target_updated &Event) -> void;
auto handle(const gateway_step &Step, const target_lost &Event) -> void;
auto handle(const gateway_step &Step, const store_reachability_changed &Event)
    -> void;
auto handle(const gateway_step &Step, const targets_listed &Event) -> void;
auto handle(const gateway_step &Step, const instances_listed &Event) -> void;
auto handle(const gateway_step &Step, const holdings_report &Event) -> void;
auto handle(const gateway_step &Step, const gateway_digest &Event) -> void;
auto handle(const gateway_step &Step, const tick &Event) -> void;

/// Expected time to read a prompt token of \p Model, ms.
auto prefillMsPerToken(const gateway_state &State, const model_name &Model)
    -> double;

/// Number of gateways, this one included.
auto gatewayCount(const gateway_state &State) -> std::size_t;

// gateway_relay.cpp
/// Asks another gateway for what it has read of the platform, if this one
/// cannot read it.
auto queryPeers(const gateway_step &Step) -> void;

/// Tells the other gateways of this one's load, demand and plans.
auto sendDigest(const gateway_step &Step) -> void;

/// Adds a line of the log to the effects.
auto addLogEntry(const gateway_step &Step, log_level Level, std::string Event,
                 std::vector<std::pair<std::string, std::string>> Fields)
    -> void;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H
