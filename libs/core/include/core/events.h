/// \file
/// Events of a node: the only input of the reducer besides its state and time.
#ifndef LIMPETBRIDGE_CORE_EVENTS_H
#define LIMPETBRIDGE_CORE_EVENTS_H

#include "catalogue/catalogue.h"
#include "core/work.h"

#include <optional>
#include <variant>
#include <vector>

namespace limpetbridge {

/// Time has passed: the reducer checks deadlines, retries and polls.
struct tick {};

/// The process was asked to shut down gracefully.
struct drain_requested {};

/// The platform's list of instances, which may be out of date.
struct instances_listed {
  std::vector<instance_record> Instances;
};

/// Outcome of a request to the platform's table or object store.
enum class store_status : std::uint8_t {
  Applied,  ///< The write or read was executed.
  Conflict, ///< A condition did not hold; nothing was written.
  Refused,  ///< Certainly not executed: no connection, or over the rate.
  NoAnswer  ///< Sent without an answer; a write may have taken effect.
};

/// A row of the table.
struct table_row {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0; ///< Grows with every write of the row; 0: absent.
};

/// Reply of the platform's table.
struct table_replied {
  ticket Ticket;
  store_status Status = store_status::Applied;
  std::vector<table_row> Rows; ///< Rows read, or rows written, with versions.
};

/// Reply of the platform's object store.
struct object_replied {
  ticket Ticket;
  store_status Status = store_status::Applied;
  bool Found = false;
  std::string Value;
};

/// Changes from another instance, by ascending revision, or one snapshot.
struct changes_received {
  instance_name From;
  std::vector<change> Changes;
};

/// A message of another instance carried its revision.
struct revision_seen {
  instance_name From;
  limpetbridge::revision Revision;
};

/// Another entry acknowledged that it applied a revision.
struct changes_acknowledged {
  instance_name From;
  limpetbridge::revision Revision;
};

/// An operator's command to change the configuration.
struct command_arrived {
  std::uint64_t Command = 0; ///< Number of the open command in this process.
  change_id Id;
  std::vector<operation> Operations;
  std::optional<revision> IfRevision; ///< Applies only at this revision.
  time_point Deadline;
};

/// A caller's request for an answer of a model or a call of a service.
struct request_arrived {
  request_id Request;
  std::string Token;
  work_kind Kind = work_kind::Generate;
  std::string Model; ///< Model, version or adapter, as the caller names it.
  service_name Service;
  std::string Operation;
  idempotency_key Key;
  shared_text Body;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::uint64_t PrefixHash = 0;
  time_point Deadline;
};

/// The caller closed its connection.
struct caller_left {
  request_id Request;
};

/// A frame of an attempt's answer arrived at the entry. A frame without pieces
/// is a heartbeat.
struct attempt_progressed {
  attempt_id Attempt;
  frame Frame;
};

/// An attempt ended, as reported by the agent or seen on its connection.
struct attempt_ended {
  attempt_id Attempt;
  run_outcome Outcome = run_outcome::Unknown;
  result_code Code = result_code::Ok;
  std::string Detail;
  std::uint32_t Total = 0;  ///< Pieces of the whole answer, if done.
  shared_text Body;         ///< Answer of a service.
  std::uint32_t Status = 0; ///< HTTP status of a service.
  load_hint Hint;           ///< Its Agent is 0 if the agent sent no hint.
};

/// An entry offers work to this agent.
struct work_offered {
  attempt_id Attempt;
  work Work;
  std::uint32_t ResumeOffset = 0; ///< Pieces that the caller already has.
  std::string ResumeText;         ///< Their text.
  incarnation Agent;              ///< Incarnation addressed; 0: any.
  revision Revision;              ///< Current at the entry.
  std::uint8_t HomeRank = 255;    ///< Index in the unit's homes; 255: none.
};

/// The entry cancelled the attempt.
struct work_cancelled {
  attempt_id Attempt;
};

/// The declared state of this agent's target, pushed by an entry.
struct target_state_received {
  revision Revision;
  bool Drained = false;
};

/// A frame of the target's answer.
struct target_progressed {
  attempt_id Attempt;
  frame Frame;
};

/// How the target ended a run.
enum class target_end : std::uint8_t {
  Whole,   ///< It ran to completion.
  Refused, ///< The target refused before running it.
  Unsent,  ///< No connection; nothing was sent.
  Broken   ///< The connection broke after sending.
};

/// A run at the target ended.
struct target_ended {
  attempt_id Attempt;
  target_end End = target_end::Broken;
  std::string Detail;
  std::uint32_t Total = 0;
  shared_text Body;
  std::uint32_t Status = 0;
};

/// Outcome of an order to the engine.
enum class order_status : std::uint8_t {
  Done,    ///< Executed.
  Stale,   ///< Refused for an old token; never executed.
  Refused, ///< Refused for another reason; never executed.
  NoAnswer ///< Unknown; it may be executed at any later time.
};

/// A loadable that an engine holds, with the memory that it reports for it.
struct engine_holding {
  loadable What;
  byte_count Bytes;
};

/// A consistent snapshot of an engine's state, which may be out of date.
struct engine_snapshot {
  incarnation Engine;         ///< Incarnation of the engine process.
  std::uint64_t Sequence = 0; ///< Grows with each state change of it.
  std::vector<engine_holding> Resident;
  std::vector<engine_holding> Loading;
  std::vector<fencing_token> Executed; ///< Recent orders that took effect.
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

/// Reply to an order.
struct order_replied {
  fencing_token Token;
  order_status Status = order_status::NoAnswer;
  fencing_token Highest; ///< Highest token that the engine has seen.
  std::optional<engine_snapshot> Snapshot;
};

/// The engine answered a read of its state.
struct engine_reported {
  engine_snapshot Snapshot;
};

/// Any event.
using event =
    std::variant<tick, drain_requested, instances_listed, table_replied,
                 object_replied, changes_received, revision_seen,
                 changes_acknowledged, command_arrived, request_arrived,
                 caller_left, attempt_progressed, attempt_ended, work_offered,
                 work_cancelled, target_state_received, target_progressed,
                 target_ended, order_replied, engine_reported>;

/// Stable names, as in logs and transcripts.
[[nodiscard]] auto nameOf(store_status Status) -> std::string_view;
[[nodiscard]] auto nameOf(target_end End) -> std::string_view;
[[nodiscard]] auto nameOf(order_status Status) -> std::string_view;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_EVENTS_H
