/// \file
/// Everything that can happen to a node. The reducer is told nothing else.
#ifndef LIMPETBRIDGE_CORE_EVENTS_H
#define LIMPETBRIDGE_CORE_EVENTS_H

#include "catalogue/catalogue.h"
#include "core/work.h"

#include <optional>
#include <variant>
#include <vector>

namespace limpetbridge {

/// Time has passed; deadlines are looked at.
struct tick {};

/// The process was asked to end gracefully.
struct drain_requested {};

/// The platform's list of instances, which lags.
struct instances_listed {
  std::vector<instance_record> Instances;
};

/// What became of a request to the platform's table or object store.
enum class store_status : std::uint8_t {
  Applied,  ///< Done: written, or read.
  Conflict, ///< A condition did not hold; nothing was written.
  Refused,  ///< Provably not executed: no connection, or over the rate.
  NoAnswer  ///< Sent, and no answer: a write may have taken effect.
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

/// Changes from another instance, in order, or one snapshot.
struct changes_received {
  instance_name From;
  std::vector<change> Changes;
};

/// Another instance mentioned its revision.
struct revision_seen {
  instance_name From;
  limpetbridge::revision Revision;
};

/// Another entry has a revision in force.
struct changes_acknowledged {
  instance_name From;
  limpetbridge::revision Revision;
};

/// An operator asks for a change.
struct command_arrived {
  std::uint64_t Command = 0; ///< Number of the open command in this process.
  change_id Id;
  std::vector<operation> Operations;
  std::optional<revision> IfRevision; ///< Refuse at any other revision.
  time_point Deadline;
};

/// A caller's request.
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

/// A frame of an attempt's answer reached the entry. No pieces: a heartbeat.
struct attempt_progressed {
  attempt_id Attempt;
  frame Frame;
};

/// An attempt is over, as far as the entry can know.
struct attempt_ended {
  attempt_id Attempt;
  run_outcome Outcome = run_outcome::Unknown;
  result_code Code = result_code::Ok;
  std::string Detail;
  std::uint32_t Total = 0;  ///< Pieces of the whole answer, when done.
  shared_text Body;         ///< Answer of a service.
  std::uint32_t Status = 0; ///< HTTP status of a service.
  load_hint Hint;           ///< Zero when the agent did not speak.
};

/// An entry offers work to this agent.
struct work_offered {
  attempt_id Attempt;
  work Work;
  std::uint32_t ResumeOffset = 0; ///< Pieces that the caller already has.
  std::string ResumeText;         ///< Their text.
  incarnation Agent;              ///< Life of the agent that is meant; 0: any.
  revision Revision;              ///< Of the entry.
  std::uint8_t HomeRank = 255;    ///< Place in the unit's home set.
};

/// The entry no longer wants the attempt.
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

/// How a run at the target ended.
enum class target_end : std::uint8_t {
  Whole,   ///< It ran to its end.
  Refused, ///< The target refused before running it.
  Unsent,  ///< No connection; nothing was sent.
  Broken   ///< The connection broke after sending.
};

/// A run at the target is over.
struct target_ended {
  attempt_id Attempt;
  target_end End = target_end::Broken;
  std::string Detail;
  std::uint32_t Total = 0;
  shared_text Body;
  std::uint32_t Status = 0;
};

/// What became of an order to the engine.
enum class order_status : std::uint8_t {
  Done,    ///< Executed.
  Stale,   ///< Refused for its token; never executed.
  Refused, ///< Refused for another reason; never executed.
  NoAnswer ///< Unknown; it may still be executed, even much later.
};

/// What an engine holds, with the bytes it says they take.
struct engine_holding {
  loadable What;
  byte_count Bytes;
};

/// A consistent reading of an engine's state, possibly old.
struct engine_snapshot {
  incarnation Engine;         ///< Life of the engine process.
  std::uint64_t Sequence = 0; ///< Grows with each state change of that life.
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

/// A reading of the engine's state.
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
