/// \file
/// JSON serialization of the core's types, for transcripts.
#ifndef LIMPETBRIDGE_CORE_TRANSCRIPT_JSON_H
#define LIMPETBRIDGE_CORE_TRANSCRIPT_JSON_H

#include "core/effects.h"
#include "core/state.h"

#include <nlohmann/json.hpp>

namespace nlohmann {

/// Serializes an optional as null or the value.
template <typename value> struct adl_serializer<std::optional<value>> {
  static auto to_json(json &To, const std::optional<value> &From) -> void {
    To = From ? json(*From) : json(nullptr);
  }
  static auto from_json(const json &From, std::optional<value> &To) -> void {
    To = From.is_null() ? std::optional<value>() : From.get<value>();
  }
};

/// Serializes a point in time as microseconds, and NoDeadline as -1.
template <> struct adl_serializer<limpetbridge::time_point> {
  static auto to_json(json &To, const limpetbridge::time_point &From) -> void {
    To =
        From == limpetbridge::NoDeadline ? -1 : From.time_since_epoch().count();
  }
  static auto from_json(const json &From, limpetbridge::time_point &To)
      -> void {
    const auto Value = From.get<std::int64_t>();
    To = Value < 0 ? limpetbridge::NoDeadline
                   : limpetbridge::time_point(limpetbridge::duration(Value));
  }
};

/// Serializes a duration as microseconds.
template <> struct adl_serializer<limpetbridge::duration> {
  static auto to_json(json &To, const limpetbridge::duration &From) -> void {
    To = From.count();
  }
  static auto from_json(const json &From, limpetbridge::duration &To) -> void {
    To = limpetbridge::duration(From.get<std::int64_t>());
  }
};

/// Serializes a shared text as null or the text.
template <> struct adl_serializer<limpetbridge::shared_text> {
  static auto to_json(json &To, const limpetbridge::shared_text &From) -> void {
    To = From ? json(*From) : json(nullptr);
  }
  static auto from_json(const json &From, limpetbridge::shared_text &To)
      -> void {
    To = From.is_null() ? nullptr
                        : limpetbridge::shareText(From.get<std::string>());
  }
};

/// Serializes a change as the text that the table stores.
template <> struct adl_serializer<limpetbridge::change> {
  static auto to_json(json &To, const limpetbridge::change &From) -> void {
    To = limpetbridge::encodeChange(From);
  }
  static auto from_json(const json &From, limpetbridge::change &To) -> void {
    To = limpetbridge::decodeChange(From.get<std::string>()).value();
  }
};

} // namespace nlohmann

namespace limpetbridge {

// NOLINTBEGIN: the JSON library requires these names.
template <typename tag>
auto to_json(nlohmann::json &To, const strong_name<tag> &From) -> void {
  To = From.Text;
}
template <typename tag>
auto from_json(const nlohmann::json &From, strong_name<tag> &To) -> void {
  To.Text = From.get<std::string>();
}
template <typename tag>
auto to_json(nlohmann::json &To, const strong_number<tag> &From) -> void {
  To = From.Value;
}
template <typename tag>
auto from_json(const nlohmann::json &From, strong_number<tag> &To) -> void {
  To.Value = From.get<std::uint64_t>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_id, Entry, Counter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_id, Request, Attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(field_text, Name, Value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(operation, Verb, Kind, Name, Fields)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(loadable, Unit, Adapter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(work, Kind, Caller, Rank, Short, Deadline,
                                   FirstTokenBy, Body, Unit, Adapter, Memory,
                                   AdapterMemory, LoadMs, PromptTokens,
                                   MaxTokens, PrefixHash, Service, Operation,
                                   Idempotent, Key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(frame, Offset, Pieces)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(load_hint, QueueDelay, FreeSlots, Agent,
                                   Revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(instance_record, Name, Role, DataCentre,
                                   Address, Incarnation, Leaving, Kind, Service,
                                   Memory)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(instances_listed, Instances)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_row, Key, Value, Version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_replied, Ticket, Status, Rows)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(object_replied, Ticket, Status, Found, Value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(changes_received, From, Changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_seen, From, Revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(changes_acknowledged, From, Revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(command_arrived, Command, Id, Operations,
                                   IfRevision, Deadline)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_arrived, Request, Token, Kind, Model,
                                   Service, Operation, Key, Body, PromptTokens,
                                   MaxTokens, PrefixHash, Deadline)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(caller_left, Request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_progressed, Attempt, Frame)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_ended, Attempt, Outcome, Code,
                                   Detail, Total, Body, Status, Hint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(work_offered, Attempt, Work, ResumeOffset,
                                   ResumeText, Agent, Revision, HomeRank)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(work_cancelled, Attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_state_received, Revision, Drained)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_progressed, Attempt, Frame)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_ended, Attempt, End, Detail, Total,
                                   Body, Status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_holding, What, Bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_snapshot, Engine, Sequence, Resident,
                                   Loading, Executed, Running, Waiting)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_replied, Token, Status, Highest,
                                   Snapshot)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_reported, Snapshot)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_frame, Request, Frame)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_end, Request, Outcome, Code, Detail,
                                   Total, Body, Status, RetryAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_attempt, Agent, Address, Offer,
                                   FreshConnection)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_attempt, Attempt, Abandon)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_condition, Key, Version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_write, Key, Value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_transact, Ticket, Conditions, Writes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_read, Ticket, Keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_range, Ticket, Prefix, From, Limit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(object_get, Ticket, Key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(object_put, Ticket, Key, Value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_changes, To, Address, Changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(fetch_changes, To, Address, From)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_target_state, To, Address, State)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_command, Command, Code, Detail,
                                   Revision, DataCentresInForce, DataCentres)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_frame, Attempt, Frame)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_end, End)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_work, Attempt, Work, ResumeOffset,
                                   ResumeText)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stop_work, Attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_order, Token, Kind, What, Bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stop_process, Code)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(entry_options, MaxAttempts, RetryShare,
                                   HedgeShare, ProgressTimeout, BalancerWait,
                                   Seeds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(agent_options, Kind, Memory, ChecksFence,
                                   Slots, ShortSlots, QueueLimit,
                                   ReportInterval, OrderTimeout, MaxOrders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(node_options, Self, Entry, Agent,
                                   PollInterval, StoreRetry, SpreadTimeout,
                                   DrainTimeout)

// Events and effects without fields, and effects that are never read back.
inline auto to_json(nlohmann::json &To, const tick &) -> void { To = {}; }
inline auto from_json(const nlohmann::json &, tick &) -> void {}
inline auto to_json(nlohmann::json &To, const drain_requested &) -> void {
  To = {};
}
inline auto from_json(const nlohmann::json &, drain_requested &) -> void {}
inline auto to_json(nlohmann::json &To, const read_engine &) -> void {
  To = {};
}
inline auto to_json(nlohmann::json &To, const write_note &From) -> void {
  const auto &Note = From.Note;
  To = {nameOf(Note.Kind), Note.Request, Note.Target.Text, Note.Change,
        Note.Detail};
}
inline auto to_json(nlohmann::json &To, const observe_metric &From) -> void {
  To = {From.Name, From.Label, From.Value};
}
inline auto to_json(nlohmann::json &To, const count_metric &From) -> void {
  To = {From.Name, From.Label};
}
// NOLINTEND

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_TRANSCRIPT_JSON_H
