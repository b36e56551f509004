/// \file
/// Effects of a node: what the reducer decided, as data. The process executes
/// them in order and makes no decisions of its own.
#ifndef LIMPETBRIDGE_CORE_EFFECTS_H
#define LIMPETBRIDGE_CORE_EFFECTS_H

#include "base/timeline.h"
#include "core/events.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpetbridge {

/// Sends a frame of the answer to the caller.
struct answer_frame {
  request_id Request;
  frame Frame;
};

/// Ends the answer to the caller, with its outcome.
struct answer_end {
  request_id Request;
  run_outcome Outcome = run_outcome::Unknown;
  result_code Code = result_code::Ok;
  std::string Detail;
  std::uint32_t Total = 0;
  shared_text Body;
  std::uint32_t Status = 0;
  time_point RetryAt = NoDeadline; ///< When the caller may retry.
};

/// Offers work to an agent.
struct start_attempt {
  instance_name Agent;
  std::string Address;
  work_offered Offer;
  bool FreshConnection = false; ///< Do not reuse a connection.
};

/// Cancels an attempt.
struct cancel_attempt {
  attempt_id Attempt;
  bool Abandon = false; ///< Close its connection too: the agent is silent.
};

/// A condition of a transaction: the row has this version; 0 is absent.
struct table_condition {
  std::string Key;
  std::uint64_t Version = 0;
};

/// A write of a transaction; no value deletes the row.
struct table_write {
  std::string Key;
  std::optional<std::string> Value;
};

/// Writes all rows atomically if all conditions hold, else none.
struct table_transact {
  ticket Ticket;
  std::vector<table_condition> Conditions;
  std::vector<table_write> Writes;
};

/// Reads rows by key.
struct table_read {
  ticket Ticket;
  std::vector<std::string> Keys;
};

/// Reads rows whose key starts with Prefix and is not less than From.
struct table_range {
  ticket Ticket;
  std::string Prefix;
  std::string From;
  std::uint32_t Limit = 0;
};

/// Reads an object.
struct object_get {
  ticket Ticket;
  std::string Key;
};

/// Writes an object.
struct object_put {
  ticket Ticket;
  std::string Key;
  std::string Value;
};

/// Sends changes to an entry, which acknowledges them.
struct send_changes {
  instance_name To;
  std::string Address;
  std::vector<change> Changes;
};

/// Asks an entry for the changes after From.
struct fetch_changes {
  instance_name To;
  std::string Address;
  revision From;
};

/// Sends an agent the declared state of its target.
struct send_target_state {
  instance_name To;
  std::string Address;
  target_state_received State;
};

/// Answers an operator's command.
struct answer_command {
  std::uint64_t Command = 0;
  result_code Code = result_code::Ok;
  std::string Detail;
  limpetbridge::revision Revision; ///< Revision created, if accepted.
  std::uint32_t DataCentresInForce = 0;
  std::uint32_t DataCentres = 0;
};

/// Sends a frame of an attempt's answer to its entry.
struct send_frame {
  attempt_id Attempt;
  frame Frame;
};

/// Reports the end of an attempt to its entry.
struct send_end {
  attempt_ended End;
};

/// Runs work at the target.
struct run_work {
  attempt_id Attempt;
  work Work;
  std::uint32_t ResumeOffset = 0;
  std::string ResumeText;
};

/// Stops a run at the target.
struct stop_work {
  attempt_id Attempt;
};

/// Kind of an order to an engine.
enum class order_kind : std::uint8_t {
  Load,
  Unload,
  Fence ///< Only raises the lowest token that the engine accepts.
};

/// An order to the engine.
struct send_order {
  fencing_token Token;
  order_kind Kind = order_kind::Fence;
  loadable What;
  byte_count Bytes;
};

/// Reads the engine's state.
struct read_engine {};

/// Adds a note to the timeline.
struct write_note {
  note Note;
};

/// Records an observation in the metrics, milliseconds.
struct observe_metric {
  std::string_view Name;
  std::string_view Label;
  double Value = 0;
};

/// Increments a counter of the metrics.
struct count_metric {
  std::string_view Name;
  std::string_view Label;
};

/// Ends the process.
struct stop_process {
  result_code Code = result_code::Ok;
};

/// Any effect.
using effect =
    std::variant<answer_frame, answer_end, start_attempt, cancel_attempt,
                 table_transact, table_read, table_range, object_get,
                 object_put, send_changes, fetch_changes, send_target_state,
                 answer_command, send_frame, send_end, run_work, stop_work,
                 send_order, read_engine, write_note, observe_metric,
                 count_metric, stop_process>;

/// Effects in order of execution.
using effects = std::vector<effect>;

/// Stable name of \p Kind, as in logs and on the wire.
[[nodiscard]] auto nameOf(order_kind Kind) -> std::string_view;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_EFFECTS_H
