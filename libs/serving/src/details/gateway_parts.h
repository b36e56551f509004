/// \file
/// Event handlers of the gateway and the functions that they share, by source
/// file.
#ifndef LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H
#define LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H

#include "serving/gateway.h"
#include "serving/picker.h"

namespace limpetbridge::serving {

/// Context of one call of the reducer.
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
/// Sends the request to a target, queues it until a model or an adapter is
/// loaded or the targets are known, or refuses it.
auto dispatchRequest(const gateway_step &Step, request_number Number) -> void;

// gateway_refusals.cpp
/// Answers the request with \p Code, logs the refusal and forgets the request.
auto refuseRequest(const gateway_step &Step, request_number Number,
                   result_code Code, std::int64_t RetryAfterMs,
                   std::string Reason) -> void;
/// True if the caller's timeout for the first output would pass first.
auto exceedsCallerTimeout(const request_state &Request, const pick &Pick,
                          time_point Now) -> bool;
/// Time until the queue at the picked target is short enough for a retry, ms.
auto queueRetryAfterMs(const request_state &Request, const pick &Pick)
    -> std::int64_t;
/// When the caller of \p Request may return, if every target that could serve
/// it refuses requests for a while; NoDeadline otherwise.
auto earliestReturn(const gateway_step &Step, const request_state &Request)
    -> time_point;
/// Retry-after of a caller who waits until a target accepts requests again at
/// \p ReturnAt, ms. Callers are spread over a short time.
auto returnAfterMs(const gateway_step &Step, time_point ReturnAt)
    -> std::int64_t;
/// Retry-after of a request that its last target did not run, ms: short if
/// another target accepts it, otherwise until one does.
auto refusedRetryAfterMs(const gateway_step &Step, const request_state &Request)
    -> std::int64_t;
/// Refuses waiting requests whose deadline for the first output is near.
auto refuseLateLoadWaits(const gateway_step &Step) -> void;

/// Removes the request from the load that is counted at its target.
auto releaseTarget(const gateway_step &Step, request_state &Request,
                   bool Failed) -> void;
/// Inputs of the choice of a target for \p Request; refers to it.
auto makePickRequest(const gateway_step &Step, const request_state &Request)
    -> pick_request;

/// Interval of the digests of one gateway. It grows with the number of
/// gateways, so that what each one receives does not.
auto digestInterval(const gateway_state &State) -> duration;

/// A gateway without a digest for this long counts as dead.
auto peerTimeout(const gateway_state &State) -> duration;

/// Dispatches the requests that wait for \p Model or one of its adapters.
auto dispatchWaiting(const gateway_step &Step, const model_name &Model) -> void;

// gateway_quarantine.cpp
auto handle(const gateway_step &Step, const output_continued &Event) -> void;
auto handle(const gateway_step &Step, const target_checked &Event) -> void;
auto handle(const gateway_step &Step, const crash_report &Event) -> void;
auto handle(const gateway_step &Step, const quarantine_lifted &Event) -> void;
/// Refuses the request if it has a quarantined suspect. To be asked before each
/// attempt. \returns true if it was refused.
auto refuseIfQuarantined(const gateway_step &Step, request_number Number)
    -> bool;
/// Notes an attempt whose connection ended, in case its target crashed.
auto notePossibleCrash(const gateway_step &Step, const request_state &Request,
                       const attempt_ended &Event) -> void;
/// Charges the suspects of the noted attempts with the end of \p Entry, which
/// has ended without leaving.
auto confirmCrash(const gateway_step &Step, const target_entry &Entry) -> void;
/// Notes a load that failed at \p Entry, in case the target crashed on it.
auto noteFailedLoad(const gateway_step &Step, const target_entry &Entry,
                    const model_name &Model, const std::string &Adapter)
    -> void;
/// Records that the load did not crash its target.
auto recordLoaded(const gateway_step &Step, const model_name &Model,
                  const std::string &Adapter) -> void;
/// Until when no target is to load the model or adapter, as some crashed on it;
/// the past if any may.
auto loadHeldUntil(const gateway_step &Step, const model_name &Model,
                   const std::string &Adapter) -> time_point;
/// Records that the request did not crash its target.
auto recordServed(const gateway_step &Step, const request_state &Request)
    -> void;
/// Forgets what is too old to count.
auto expireCrashes(const gateway_step &Step) -> void;
/// Sends some of the suspects to the other gateways: datagrams get lost, and
/// a gateway may have been away.
auto sendCrashReport(const gateway_step &Step) -> void;

// gateway_stop.cpp
auto handle(const gateway_step &Step, const stop_began &Event) -> void;
auto handle(const gateway_step &Step, const stop_deadline_passed &Event)
    -> void;
/// True if the answer may be cut as this gateway stops. Short requests are
/// served until shortly before the stop, since some load balancers go on
/// sending them; streams only while load balancers are expected to.
auto exceedsStop(const gateway_state &State, const request_state &Request,
                 time_point Now) -> bool;
/// When this gateway, or the process that replaces it, takes any request; \p
/// Now if it does.
auto readyAt(const gateway_state &State, time_point Now) -> time_point;
/// Refuses a request, which has not run, because this gateway stops. The caller
/// gets a Retry-After for when a gateway is ready.
auto refuseStopping(const gateway_step &Step, request_number Number) -> void;

// gateway_loads.cpp
/// Makes the request wait for its adapter at \p Chosen, and requests the load
/// if it is not in progress.
auto waitForAdapter(const gateway_step &Step, request_state &Request,
                    const target_name &Chosen) -> void;
/// Makes the request wait for its model, and requests a load if none is in
/// progress.
/// \param RetryAfterMs set to the time after which a retry may succeed if the
/// model will be loaded too late for this request.
/// \returns NotReady if the request waits, otherwise the code to refuse it
/// with.
auto waitForModel(const gateway_step &Step, request_state &Request,
                  std::int64_t &RetryAfterMs) -> result_code;
/// Requests further copies of the models that this gateway plans copies of, if
/// their demand requires more copies than exist.
auto planCopies(const gateway_step &Step) -> void;
/// Requests a copy of each model that lost its last one, if this gateway plans
/// its copies and no other model loses its last copy for it. Answers the loss
/// of targets: a load takes longer than most callers wait.
auto restoreLostModels(const gateway_step &Step) -> void;
auto handle(const gateway_step &Step, const load_answered &Event) -> void;
/// Expected time at which the first pending load of \p Model completes.
auto expectedLoadEnd(const gateway_step &Step, const model_name &Model)
    -> time_point;
/// Updates the pending model change of every target from the loads that this
/// gateway and its peers have requested.
auto markModelChanges(gateway_state &State) -> void;
/// Treats the pending loads at a target as failed: it leaves or has gone.
auto failLoads(const gateway_step &Step, const target_name &Target) -> void;
/// Treats pending loads past their deadline as failed.
auto expireLoads(const gateway_step &Step) -> void;

// gateway_knowledge.cpp
auto handle(const gateway_step &Step, const configuration_read &Event) -> void;
auto handle(const gateway_step &Step, const row_unreadable &Event) -> void;
auto handle(const gateway_step &Step, const target_updated &Event) -> void;
auto handle(const gateway_step &Step, const target_lost &Event) -> void;
auto handle(const gateway_step &Step, const store_reachability_changed &Event)
    -> void;
auto handle(const gateway_step &Step, const targets_listed &Event) -> void;
auto handle(const gateway_step &Step, const instances_listed &Event) -> void;
auto handle(const gateway_step &Step, const holdings_report &Event) -> void;
auto handle(const gateway_step &Step, const target_notice &Event) -> void;
auto handle(const gateway_step &Step, const gateway_digest &Event) -> void;
auto handle(const gateway_step &Step, const targets_read &Event) -> void;
auto handle(const gateway_step &Step, const targets_read_failed &Event) -> void;
auto handle(const gateway_step &Step, const tick &Event) -> void;

/// Expected prefill time of \p Model, ms per token.
auto prefillMsPerToken(const gateway_state &State, const model_name &Model)
    -> double;

/// Expected time of a target that \p Prompt takes at \p Service, ms: its
/// prefill or, if more, its share of the slots for as long as it holds one.
auto expectedWorkMs(const gateway_state &State, const service_name &Service,
                    const prompt &Prompt) -> double;

/// Addresses of the other gateways.
auto gatewayAddresses(const gateway_state &State) -> std::vector<std::string>;

/// Number of known gateways, including this one.
auto gatewayCount(const gateway_state &State) -> std::size_t;

/// Removes the targets whose rows are missing: other gateways have read that
/// they were deleted.
auto endRowGrace(const gateway_step &Step) -> void;

// gateway_view.cpp
/// Records that the rows of the targets are complete as of \p AsOf.
auto recordView(const gateway_step &Step, time_point AsOf) -> void;
/// Records what another gateway's answer says of its view and of this one's.
auto recordPeerView(const gateway_step &Step, const peer_answered &Event)
    -> void;
/// Asks other gateways if the view is about to be too old, and dispatches or
/// refuses the requests that wait for it.
auto checkView(const gateway_step &Step) -> void;
/// Makes the request wait for a current view for a short time, or refuses it.
auto awaitView(const gateway_step &Step, request_number Number) -> void;

// gateway_relay.cpp
/// Decides whether this gateway reads the targets from the store or gets them
/// from a gateway of its data centre, and keeps a query open at that gateway. A
/// gateway counts as reader only as long as it answers.
auto chooseTargetReader(const gateway_step &Step) -> void;
auto handle(const gateway_step &Step, const peer_answered &Event) -> void;

/// Queries another gateway for configuration, targets and instances if this one
/// cannot read the store or has an older configuration than a peer.
auto queryPeers(const gateway_step &Step) -> void;

/// Sends this gateway's load, demand and pending loads to the other gateways.
auto sendDigest(const gateway_step &Step) -> void;

/// Adds a log entry to the effects.
auto addLogEntry(const gateway_step &Step, log_level Level, std::string Event,
                 std::vector<std::pair<std::string, std::string>> Fields)
    -> void;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H
