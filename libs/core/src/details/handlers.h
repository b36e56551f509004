/// \file
/// Event handlers of the reducer, by decision module, and the functions that
/// the modules share.
#ifndef LIMPETBRIDGE_CORE_DETAILS_HANDLERS_H
#define LIMPETBRIDGE_CORE_DETAILS_HANDLERS_H

#include "core/routing.h"
#include "details/common.h"

#include <optional>

namespace limpetbridge::details {

// Configuration: revisions, catching up with them, operators' commands.
auto tickConfiguration(const context &Ctx) -> void;
auto onCommand(const context &Ctx, const command_arrived &Event) -> void;
auto onChanges(const context &Ctx, const changes_received &Event) -> void;
auto onRevisionSeen(const context &Ctx, const revision_seen &Event) -> void;
auto onChangesAcknowledged(const context &Ctx,
                           const changes_acknowledged &Event) -> void;
/// Handles a reply of the table; false if another module sent the request.
auto onConfigurationReply(const context &Ctx, const table_replied &Event)
    -> bool;
auto onSnapshotReply(const context &Ctx, const object_replied &Event) -> void;
/// Sends an agent the declared state of its target, if this entry is
/// responsible for the agent.
auto pushTargetState(const context &Ctx, const instance_record &Agent) -> void;
auto tickCommands(const context &Ctx) -> void;
/// Answers all pending commands, because the entry stops.
auto cutCommands(const context &Ctx) -> void;
auto onCommandReply(const context &Ctx, std::uint64_t Command,
                    const table_replied &Event) -> void;
/// Applies changes in order; true if the current revision advanced.
auto applyChanges(const context &Ctx, const std::vector<change> &Changes)
    -> bool;
/// Reads the changes after the current revision from the table.
auto readNewerChanges(const context &Ctx) -> void;

// Membership: known instances and whether they are leaving.
auto onInstances(const context &Ctx, const instances_listed &Event) -> void;
/// Marks a target as leaving, as the agent of that incarnation reported.
auto markLeaving(const context &Ctx, const target_name &Target,
                 incarnation Reporter) -> void;
/// Applies the load hint of an agent's reply.
auto applyLoadHint(const context &Ctx, const target_name &Target,
                   const load_hint &Hint) -> void;
/// Replaces the listed incarnation with the one that the agent reported.
auto updateIncarnation(const context &Ctx, const target_name &Target,
                       incarnation Agent) -> void;
/// True if new work may be offered to the target.
[[nodiscard]] auto isUsable(const node_state &State, const target_view &View)
    -> bool;

// Routing: choice of a target for each attempt.
[[nodiscard]] auto chooseTarget(const context &Ctx,
                                const request_state &Request)
    -> std::optional<candidate>;
/// Records that work was sent to a home that must load the unit for it.
auto recordColdStart(const context &Ctx, const work &Work,
                     const target_name &Target) -> void;
/// Updates the load time estimate with a load on demand.
auto recordLoadTime(const context &Ctx, duration Took, const work &Work)
    -> void;
auto recordResident(node_state &State, const model_name &Unit,
                    const target_name &Target) -> void;
auto removeResident(node_state &State, const model_name &Unit,
                    const target_name &Target) -> void;
auto recordFailure(const context &Ctx, const target_name &Target) -> void;
/// Updates the estimates of first-token time and of the target's slowness.
/// \param Wait queue delay and load time that were expected.
auto recordFirstToken(const context &Ctx, const target_name &Target,
                      duration Took, duration Wait, const work &Work) -> void;
[[nodiscard]] auto findTargetView(node_state &State, const target_name &Target)
    -> target_view *;

// Requests at an entry: attempts, retries, hedges and answers.
auto onRequest(const context &Ctx, const request_arrived &Event) -> void;
auto onCallerLeft(const context &Ctx, const caller_left &Event) -> void;
auto onProgress(const context &Ctx, const attempt_progressed &Event) -> void;
auto onAttemptEnded(const context &Ctx, const attempt_ended &Event) -> void;
auto tickRequests(const context &Ctx) -> void;
/// Answers all open requests with an error, because the entry stops.
auto cutRequests(const context &Ctx) -> void;
auto startAttempt(const context &Ctx, const request_id &Id,
                  request_state &Request) -> void;
auto finishRequest(const context &Ctx, const request_id &Id, answer_end End)
    -> void;

// Admission at an agent: queue and slots.
auto onOffer(const context &Ctx, const work_offered &Event) -> void;
auto onCancelled(const context &Ctx, const work_cancelled &Event) -> void;
auto onTargetState(const context &Ctx, const target_state_received &Event)
    -> void;
auto onTargetProgress(const context &Ctx, const target_progressed &Event)
    -> void;
auto onTargetEnded(const context &Ctx, const target_ended &Event) -> void;
auto tickAdmission(const context &Ctx) -> void;
/// Dispatches queued work that can run and starts the loads for the rest.
auto scheduleQueuedWork(const context &Ctx) -> void;
/// Queued work in order of dispatch, most urgent first.
[[nodiscard]] auto queueOrder(admission_state &State, time_point Now)
    -> std::vector<work_state *>;
/// Reports the end of work to its entry and removes the work.
auto endWork(const context &Ctx, const attempt_id &Id, attempt_ended End)
    -> void;
auto refuseWork(const context &Ctx, const attempt_id &Id, result_code Code,
                std::string Detail) -> void;
/// Sends work to the target.
auto dispatchWork(const context &Ctx, work_state &Work) -> void;
[[nodiscard]] auto currentLoadHint(const context &Ctx) -> load_hint;
/// Loadables that the work needs in memory, the model first.
[[nodiscard]] auto requiredLoadables(const work &Work) -> std::vector<loadable>;
[[nodiscard]] auto expectedService(const admission_state &State,
                                   const work &Work) -> duration;

// Claims: at-most-once execution of calls with an idempotency key.
auto startClaim(const context &Ctx, work_state &Work) -> void;
auto onClaimReply(const context &Ctx, const table_replied &Event) -> bool;
auto settleClaim(const context &Ctx, work_state &Work, const target_ended &End)
    -> void;
/// Reports that the work did not run and removes its claim row.
auto abandonClaim(const context &Ctx, work_state &Work) -> void;
auto tickClaims(const context &Ctx) -> void;

// Ledger at an agent: memory, orders and authority over the engine.
auto tickLedger(const context &Ctx) -> void;
auto onLedgerReply(const context &Ctx, const table_replied &Event) -> bool;
auto onOrderReply(const context &Ctx, const order_replied &Event) -> void;
auto onEngineReport(const context &Ctx, const engine_reported &Event) -> void;
/// Starts loads and evictions for queued work.
auto planLoads(const context &Ctx) -> void;
[[nodiscard]] auto isResident(const ledger_state &Ledger, const work &Work)
    -> bool;
auto onAuthorityReply(const context &Ctx, const pending_ledger_request &Request,
                      const table_replied &Event) -> void;
auto tickAuthority(const context &Ctx) -> void;
/// Drains this agent, because another one has taken over the engine.
auto becomeSuperseded(const context &Ctx) -> void;
/// Acquires authority, once the engine has executed the fence order.
auto finishProbe(const context &Ctx) -> void;
auto startLoad(const context &Ctx, const loadable &Loadable, byte_count Bytes)
    -> void;
auto startUnload(const context &Ctx, const loadable &Loadable) -> void;
auto sendOrder(const context &Ctx, order_kind Kind, const loadable &Loadable,
               byte_count Bytes) -> fencing_token;
/// Refuses queued work whose loadables cannot be loaded in time.
auto tickLoads(const context &Ctx) -> void;
[[nodiscard]] auto intentValue(const loadable &Loadable, byte_count Bytes,
                               fencing_token Token) -> std::string;
[[nodiscard]] auto intentKey(const node_state &State, const loadable &Loadable)
    -> std::string;
[[nodiscard]] auto fenceKey(const node_state &State) -> std::string;
/// Updates the ledger from an engine snapshot, unless a newer one is known.
/// \param FencedBelow no order with a lower token can take effect any more.
auto applyEngineSnapshot(const context &Ctx, const engine_snapshot &Snapshot,
                         fencing_token FencedBelow) -> void;

// Drain: graceful shutdown.
auto onDrain(const context &Ctx) -> void;
auto tickDrain(const context &Ctx) -> void;

} // namespace limpetbridge::details

#endif // LIMPETBRIDGE_CORE_DETAILS_HANDLERS_H
