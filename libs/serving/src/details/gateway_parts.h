/// \file
/// Event handlers of the gateway and the functions that they share, by source
/// file.
#ifndef LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H
#define LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H

#include "serving/gateway.h"
#include "serving/picker.h"

namespace limpetbridge::serving {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Context of one call of the reducer.
struct gateway_step {
  gateway_state &State;
  time_point Now;
  gateway_effects &Effects;
  /// Called with the inputs of the choice of a target, if it is set.
  const std::function<void(const pick_request &)> *ObserveChoice = nullptr;
};

// gateway_requests.cpp
auto handle(const gateway_step &Step, const request_arrived &Event) -> void;
auto handle(const gateway_step &Step, const first_output &Event) -> void;
auto handle(const gateway_step &Step, const attempt_ended &Event) -> void;
auto handle(const gateway_step &Step, const caller_left &Event) -> void;
auto handle(const gateway_step &Step, const deadline_passed &Event) -> void;
/// An attempt with less time than this cannot succeed.
inline constexpr duration MinAttemptTime = milliseconds(5);
/// True if the request may be sent to one more target.
/// \param UsesRetryBudget whether the retry is taken from the service's budget.
auto mayRetry(const gateway_step &Step, request_state &Request,
              bool UsesRetryBudget) -> bool;
/// Sends the request to the picked target and counts it in the load there.
auto sendAttempt(const gateway_step &Step, request_number Number,
                 request_state &Request, const pick &Pick) -> void;
/// Sends the request to a target, queues it until a model or an adapter is
/// loaded or the targets are known, or refuses it.
auto dispatchRequest(const gateway_step &Step, request_number Number) -> void;
/// Decides route, workspace and service of a request that has arrived, and
/// admits it. It waits while the configuration may be out of date.
auto routeRequest(const gateway_step &Step, request_number Number) -> void;

// gateway_quota.cpp
auto handle(const gateway_step &Step, const quota_report &Event) -> void;
/// Begins with no share, as a process that starts.
auto restartQuotas(const gateway_step &Step, std::uint64_t Incarnation) -> void;
/// Charges the request to the quota of its workspace, once in its life, and
/// begins to serve it. It may have to wait for tokens, or is refused.
auto admitRequest(const gateway_step &Step, request_number Number) -> void;
/// Ends a wait for tokens whose time is over.
/// \returns false if it is the request's own deadline that has passed.
auto endQuotaWait(const gateway_step &Step, request_number Number) -> bool;
/// The request ends. Its tokens are returned unless it may have run.
auto settleCharge(const gateway_step &Step, request_number Number,
                  bool MayHaveRun) -> void;
/// Takes the limits of the configuration in force.
auto takeQuotaLimits(const gateway_step &Step) -> void;
/// Takes the gateways that are listed.
auto takeQuotaMembers(const gateway_step &Step, const instances_listed &Event)
    -> void;
/// Tells each of the other gateways what it has to know about quotas, if that
/// is due: what it lends and, with fair shares, the rates of its workspaces.
/// Without limits and fair shares nothing is sent.
auto sendQuotaReports(const gateway_step &Step) -> void;
/// Tells those that have to know it at once.
auto sendUrgentQuotaReports(const gateway_step &Step) -> void;
// gateway_attempt_log.cpp
/// Logs how an attempt at \p Target ended; what the request asked for only if
/// it failed, as that may be the cause.
auto logAttemptEnd(const gateway_step &Step, const request_state &Request,
                   const target_name &Target, const attempt_ended &Event)
    -> void;

// gateway_hedging.cpp
auto handle(const gateway_step &Step, const answer_begun &Event) -> void;
auto handle(const gateway_step &Step, const hedge_due &Event) -> void;
/// Sets the time at which the attempt that was just sent is slow.
auto scheduleHedge(const gateway_step &Step, request_number Number,
                   const request_state &Request) -> void;
/// Makes the attempt that an event is about the current one of the request.
/// \returns false if it is not in progress.
auto selectAttempt(request_state &Request, attempt_number Attempt) -> bool;
/// Removes the other attempt from the load that is counted at its target.
auto releaseOther(const gateway_step &Step, request_state &Request) -> void;
/// Makes the other attempt the current one after the current one has ended
/// without an answer. \returns false if there is no other.
auto continueOther(const gateway_step &Step, request_state &Request,
                   const attempt_ended &Event) -> bool;
/// Counts a request, of which the limit on hedges is a share.
auto noteHedgedRequest(const gateway_step &Step) -> void;
/// Notes that a request was refused for want of capacity.
auto noteShortage(const gateway_step &Step, const service_name &Service)
    -> void;
/// Forgets what is too old to count.
auto expireHedging(const gateway_step &Step) -> void;

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

/// Removes the current attempt from the load that is counted at its target.
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
/// True if anything in the prompt of the request is charged with a crash.
auto hasSuspect(const gateway_step &Step, const request_state &Request) -> bool;
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

/// Merges what another gateway knows, and applies what follows from it.
auto mergeCrashes(const gateway_step &Step,
                  const std::vector<suspect_report> &Reports,
                  const std::string &Source) -> void;

// gateway_crash_rows.cpp
auto handle(const gateway_step &Step, const crash_rows_read &Event) -> void;
/// Has the own row written to the store.
auto storeCrashes(const gateway_step &Step) -> void;
/// The same within some seconds. All gateways learn of a clearing at once, and
/// their writes are spread.
auto refreshCrashRow(const gateway_step &Step) -> void;
/// Lets a request with a prompt wait while the rows of the store are not read;
/// one that has waited for long is refused. \returns false if it may be sent.
auto awaitCrashRows(const gateway_step &Step, request_number Number) -> bool;
/// Refreshes the own row, and ends the wait for the rows when it is over.
auto checkCrashRows(const gateway_step &Step) -> void;

// gateway_workspaces.cpp
/// Takes the keys of the configuration in force, and refuses the requests that
/// wait with a key that was removed.
auto takeKeysInForce(const gateway_step &Step) -> void;
/// Checks the key of the request, which is not being sent, and sets its
/// workspace and priority. To be asked before each attempt.
/// \returns true if it was refused.
auto refuseWithoutKey(const gateway_step &Step, request_number Number) -> bool;
/// Refuses a request whose key may have been removed longer ago than strict
/// revocation allows. \returns false if it may be sent.
auto refuseWithDoubtfulKey(const gateway_step &Step, request_number Number)
    -> bool;
/// Sends the request to targets with the most urgent priority that routes give
/// to requests of its workspace.
auto setFirstPriority(const gateway_step &Step, request_state &Request) -> void;
/// False if keys may have been removed longer ago than strict revocation
/// allows.
auto areKeysCurrent(const gateway_state &State, time_point Now) -> bool;
/// Names the workspace of the request in a log entry, if it has one.
auto addWorkspace(log_fields &Fields, const request_state &Request) -> void;

// gateway_freshness.cpp
auto handle(const gateway_step &Step, const configuration_confirmed &Event)
    -> void;
auto handle(const gateway_step &Step, const machine_resumed &Event) -> void;
/// Records that the rows of the targets are complete as of \p AsOf.
auto recordView(const gateway_step &Step, time_point AsOf) -> void;
/// Records what another gateway's answer says of its knowledge and of this
/// one's.
auto recordPeerKnowledge(const gateway_step &Step, const peer_answered &Event)
    -> void;
/// Notes that this process has a turn, and asks others if it had none for long.
auto noteTurn(const gateway_step &Step, bool IsTick) -> void;
/// Asks others if something is about to be too old, and decides on the requests
/// that wait for it.
auto checkKnowledge(const gateway_step &Step) -> void;
/// Makes the request wait for a short time if this kind of knowledge is too old
/// to decide by, then refuses it.
/// \returns false if it may be decided.
auto awaitKnowledge(const gateway_step &Step, request_number Number,
                    knowledge_kind Kind) -> bool;
/// True if the configuration is recent enough to decide by and no digest names
/// a newer one. A 404 or 401 takes both, as its caller does not return.
auto isConfigurationCurrent(const gateway_state &State, time_point Now) -> bool;

// gateway_connections.cpp
auto handle(const gateway_step &Step, const connection_rested &Event) -> void;
auto handle(const gateway_step &Step, const connection_lost &Event) -> void;
/// True if requests of \p Route may run more than once.
auto isRepeatable(const route &Route) -> bool;
/// Takes the connection for the next attempt of the request, which is sent to
/// \p Entry, or gives up one that rests so that a new one has room. \returns 0
/// for a new one.
auto takeConnection(const gateway_step &Step, request_state &Request,
                    const target_entry &Entry) -> connection_number;
/// Adds the cost of new connections to the inputs of the choice of a target for
/// \p Request; refers to it.
auto addConnectionCost(const gateway_step &Step, const request_state &Request,
                       pick_request &PickRequest) -> void;
/// Records what the end of an attempt teaches of kept connections.
auto learnFromConnection(const gateway_step &Step, const request_state &Request,
                         const attempt_ended &Event) -> void;
/// Sends a request that was lost on a kept connection once more, on a new one
/// to the same target, if nothing of it was sent or it may be repeated. \param
/// Pick choice of the lost attempt. \returns false if it may not.
auto repeatOnNewConnection(const gateway_step &Step, const attempt_ended &Event,
                           const pick &Pick) -> bool;
/// Gives up the connections that have rested long enough or whose targets have
/// changed, and all once this gateway stops.
auto expireConnections(const gateway_step &Step) -> void;

// gateway_pacing.cpp
/// Adds what protects the streams of the service, if anything does, to the
/// inputs of the choice of a target for \p Request.
auto addStreamProtection(const gateway_step &Step, const request_state &Request,
                         pick_request &PickRequest) -> void;
/// Names the predicted pause in the log entry of an attempt, if there is one.
auto addPauseFields(log_fields &Fields, const request_state &Request,
                    const pick &Pick) -> void;

/// Makes a prompt that has much time wait while every target that can serve it
/// has prefill due. \p Pick is changed to a target without any if there is one.
/// \returns true if it waits.
auto waitForFreeTarget(const gateway_step &Step, request_number Number,
                       pick_request PickRequest, pick &Pick) -> bool;
/// Dispatches the prompts that wait for a target without prefill again, the
/// most pressing ones first. \param All not only a few of them.
auto dispatchPaced(const gateway_step &Step, bool All) -> void;
/// The same for the most urgent ones, unless it was a moment ago.
auto dispatchPacedAfterDigest(const gateway_step &Step) -> void;

// gateway_fairness.cpp
/// Makes a request of a workspace or kind that is served more than others wait
/// or refuses it, if its targets have no room for all in time. Decides which
/// requests go first; \p Pick may be changed for them.
/// \returns true if it waits or was refused.
auto yieldToOthers(const gateway_step &Step, request_number Number,
                   const pick_request &PickRequest, pick &Pick) -> bool;
/// Dispatches requests that wait so again. \param All not only a few of them.
auto dispatchHeld(const gateway_step &Step, bool All) -> void;

// gateway_speed.cpp
/// Learns the speed of targets from the pace of their streams.
auto observePaces(const gateway_step &Step, const target_paces &Paces) -> void;
/// The slow spells of the targets of a service, as far as they were observed.
auto spellsOf(const gateway_state &State, const service_name &Service)
    -> slow_spells;

// gateway_notices.cpp
auto handle(const gateway_step &Step, const prefill_notice &Event) -> void;
/// Tells the other gateways of a prompt that is being sent, if its prefill is
/// long and the streams of its service are protected.
auto sendPrefillNotice(const gateway_step &Step, const request_state &Request,
                       const pick &Pick) -> void;

// gateway_self_limit.cpp
/// Takes an observation of the event loop.
auto observeLoop(const gateway_step &Step, const loop_sample &Sample) -> void;
/// Refuses a new request if this gateway is overloaded and the request is among
/// those that it can not take. \returns true if it was refused.
auto refuseIfOverloaded(const gateway_step &Step, request_number Number)
    -> bool;

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

// gateway_era.cpp
auto handle(const gateway_step &Step, const store_era_changed &Event) -> void;
auto handle(const gateway_step &Step, const configuration_missing &Event)
    -> void;
/// Takes the versions of another gateway's digest only if they belong to the
/// era that is known here, and looks for a later one that it names.
auto recordPeerEra(const gateway_step &Step, gateway_state::peer_status &Status)
    -> void;
/// True if the other gateway has seen a later era or has a newer configuration.
auto isAhead(const gateway_state &State,
             const gateway_state::peer_status &Status) -> bool;

// gateway_relay.cpp
/// Decides whether this gateway reads the targets from the store or gets them
/// from a gateway of its data centre, and keeps a query open at that gateway. A
/// gateway counts as reader only as long as it answers.
auto chooseTargetReader(const gateway_step &Step) -> void;
auto handle(const gateway_step &Step, const peer_answered &Event) -> void;

/// True if this gateway has no configuration or a peer has a newer one.
auto isConfigurationStale(const gateway_state &State) -> bool;

/// Queries another gateway for configuration, targets and instances if this one
/// cannot read the store or has an older configuration than a peer.
auto queryPeers(const gateway_step &Step) -> void;

/// Sends this gateway's load, demand and pending loads to the other gateways.
auto sendDigest(const gateway_step &Step) -> void;

/// Adds a log entry to the effects.
auto addLogEntry(const gateway_step &Step, log_level Level, std::string Event,
                 log_fields Fields) -> void;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_DETAILS_GATEWAY_PARTS_H
