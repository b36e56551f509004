/// \file
/// Events of a gateway: every input of its reducer.
#ifndef LIMPETBRIDGE_SERVING_GATEWAY_EVENTS_H
#define LIMPETBRIDGE_SERVING_GATEWAY_EVENTS_H

#include "serving/call.h"
#include "serving/configuration.h"
#include "serving/configuration_history.h"
#include "serving/crash_ledger.h"
#include "serving/kept_connections.h"
#include "serving/quota_shares.h"
#include "serving/self_limit.h"
#include "serving/target.h"
#include "serving/target_book.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpetbridge::serving {

/// Identifies a request within one gateway.
using request_number = std::uint64_t;

/// A caller's request was received completely.
struct request_arrived {
  request_number Number = 0;
  call Call;
};

/// Outcome of an attempt. Together with the route, it alone decides whether a
/// retry is safe.
enum class attempt_end : std::uint8_t {
  NotSent,  ///< No byte of the request was sent.
  NotRun,   ///< The target reported that it did not run the request.
  Answered, ///< The answer was relayed completely.
  Failed,   ///< The target answered with a server error, not relayed yet.
  Unknown,  ///< Anything else: the target may have run the request.
  CutShort, ///< The answer broke off after a part of it was relayed.
};

/// Name of the outcome in logs and metrics.
[[nodiscard]] auto nameOf(attempt_end End) -> std::string_view;

/// How the end of an answer's body shows.
enum class body_framing : std::uint8_t {
  None,      ///< There was no answer.
  Length,    ///< It has a length, or its status allows no body.
  Chunked,   ///< The last chunk ends it.
  Connection ///< The end of the connection ends it.
};

/// Name of the framing in logs and metrics.
[[nodiscard]] auto nameOf(body_framing Framing) -> std::string_view;

/// What was received of the body of an answer.
struct received_body {
  body_framing Framing = body_framing::None;
  std::uint64_t Bytes = 0;
  std::uint64_t Events = 0; ///< Complete ones, if the answer is a stream.
  bool InsideEvent = false; ///< The stream ended inside an event.
  std::string ReadError;    ///< Why the last read failed; empty if none did.
};

/// Identifies one of the attempts at a request that are in progress; 0: the
/// only one.
using attempt_number = std::uint32_t;

/// The first byte of output arrived from the target.
struct first_output {
  request_number Number = 0;
  attempt_number Attempt = 0;
};

/// The answer of an attempt can be relayed: its head is that of an answer other
/// than a server error, or the first event of a stream has arrived. Reported
/// before any of it is relayed, only while hedging is switched on.
struct answer_begun {
  request_number Number = 0;
  attempt_number Attempt = 0;
};

/// The time set with set_hedge_timer has come.
struct hedge_due {
  request_number Number = 0;
  attempt_number Attempt = 0; ///< The one that may be slow.
};

/// The second event of a stream arrived: its target lives on after it has begun
/// to answer.
struct output_continued {
  request_number Number = 0;
  attempt_number Attempt = 0;
};

/// Whether something accepts connections at an address.
enum class port_state : std::uint8_t {
  Open,
  Closed, ///< The machine refuses connections.
  Silent  ///< Neither, in time.
};

/// The result of a check whether a target still accepts connections.
struct target_checked {
  target_name Target;
  std::uint64_t Incarnation = 0; ///< As known when the check began.
  port_state State = port_state::Silent;
};

/// What another gateway knows of requests that may crash targets.
struct crash_report {
  instance_name From;
  std::vector<suspect_report> Suspects;
};

/// Adds \p AgeMs to the ages of \p Report, which was made so long ago.
auto addAge(crash_report &Report, std::int64_t AgeMs) -> void;

/// What gateways have left in the store of requests that may crash targets,
/// this one among them; ages as of now.
struct crash_rows_read {
  std::vector<crash_report> Rows;
};

/// An operator lifted a quarantine.
struct quarantine_lifted {
  suspect Suspect;
};

/// An answer of a target, to whichever request, said that the target leaves or
/// for how long it refuses requests of this gateway.
struct target_notice {
  target_name Target;
  std::uint64_t Incarnation = 0; ///< To which the request was sent.
  bool Leaves = false;
  time_point RefusesUntil; ///< The epoch if it does not refuse any.
};

/// What an attempt shows of the connection that it used.
struct connection_use {
  bool Kept = false; ///< The connection had carried another request.
  /// The target ended it before any byte of an answer.
  bool Lost = false;
  /// An answer to another call, or bytes that are no answer, were received.
  bool StrayBytes = false;
  bool UnnamedAnswer = false; ///< The answer named no call.
};

/// The connection of an attempt rests: the request was sent and answered
/// completely, nothing is unread, and neither side has said that it closes.
/// Comes before the end of the attempt.
struct connection_rested {
  request_number Number = 0;
  connection_number Connection = 0;
  /// Time after which the target closes it, ms; none if it names none.
  std::optional<std::int64_t> StatedMs;
  attempt_number Attempt = 0;
};

/// A connection that rested was closed.
struct connection_lost {
  connection_number Connection = 0;
  close_reason Reason = close_reason::PeerClosed; ///< Or StrayBytes.
};

/// An attempt ended.
struct attempt_ended {
  request_number Number = 0;
  attempt_end End = attempt_end::Unknown;
  std::uint16_t Status = 0;      ///< HTTP status; 0 without an answer.
  bool WrongTarget = false;      ///< Another target has the address, or the
                                 ///< target does not hold the model.
  std::int64_t LongestGapMs = 0; ///< Between two chunks of the answer.
  received_body Body;
  connection_use Connection;
  attempt_number Attempt = 0;
};

/// The caller disconnected before its answer was complete.
struct caller_left {
  request_number Number = 0;
};

/// The deadline of a request passed.
struct deadline_passed {
  request_number Number = 0;
};

/// A configuration was read; it may be older than the one in force.
struct configuration_read {
  configuration Configuration;
  configuration_source Source = {};
};

/// The table of the operators was listed and has no configuration.
struct configuration_missing {
  std::uint64_t FirstVersion = 0; ///< As of configuration_source.
};

/// An answer of the store, or of a gateway that reads it, named another era
/// than the one that was known.
struct store_era_changed {
  std::uint64_t Era = 0;
  /// The store was restored from an older copy: its versions begin anew. False
  /// if no answer of it was known before.
  bool IsRise = false;
};

/// The configuration was read from the store, changed or not; a changed one has
/// been reported.
struct configuration_confirmed {
  time_point AsOf; ///< All changes before it are known.
};

/// A row of a target was added or changed in the store.
struct target_updated {
  target Target;
};

/// The store stopped answering or answers again.
struct store_reachability_changed {
  bool Reachable = true;
};

/// The row of a target was deleted from the store or cannot be read.
struct target_lost {
  target_name Name;
};

/// A version of a row could not be read. Reported once a version.
struct row_unreadable {
  std::string Table;
  std::string Key;
  std::uint64_t Version = 0;
  std::string Error;
};

/// The complete list of targets was read; the rows of targets that are missing
/// in it were deleted.
struct targets_listed {
  std::vector<target> Targets;
};

/// Role of an instance.
enum class instance_role : std::uint8_t { Gateway, Controller };

/// A gateway or controller process.
struct instance_record {
  instance_name Name;
  instance_role Role = instance_role::Gateway;
  std::string Address;       ///< ip:port for messages between instances.
  std::string TargetAddress; ///< A controller's target, ip:port.
};

/// The list of instances was read or changed.
struct instances_listed {
  std::vector<instance_record> Instances;
};

/// A controller answered a load request, or the request failed.
struct load_answered {
  target_name Target;
  model_name Model;
  std::string Adapter;
  bool Loaded = false; ///< The target holds it now.
  /// The controller has ordered it, so the target was there when it began.
  bool Ordered = false;
};

/// Demand for one model.
struct model_rate {
  double PerSecond = 0;       ///< Requests per second.
  double WorkMsPerSecond = 0; ///< Prefill time of their prompts.
};
using model_rates = std::map<model_name, model_rate>;

/// A controller's report of the contents of its target.
struct holdings_report {
  std::string Address;           ///< Of the target, ip:port.
  std::uint64_t Incarnation = 0; ///< Start of the target, Unix ms.
  std::uint64_t Sequence = 0;    ///< Orders accepted in this incarnation.
  holdings Holdings;
  bool Leaves = false; ///< The target takes no new work until it ends.
};

/// A gateway's periodic report to the other gateways.
struct gateway_digest {
  instance_name From;
  std::string Address; ///< Of the sender, ip:port.
  /// Number of the digest since the sender started; 0 if it sends none.
  std::uint64_t Sequence = 0;
  std::map<target_name, target_load> Loads;
  model_rates Demand;
  /// Prompt parts sent to targets since the previous digest.
  std::vector<std::tuple<target_name, prefix_key, std::uint32_t>> Prefixes;
  /// Adapters used since the previous digest.
  std::set<std::pair<target_name, adapter_key>> AdapterUse;
  /// Incarnations of targets that said to the sender that they leave.
  std::map<target_name, std::uint64_t> Leaving;
  /// Pending model loads that the sender requested.
  std::map<target_name, model_change> Loading;
  std::uint64_t StoreEra = 0; ///< To which the versions belong; 0: unknown.
  std::uint64_t Configuration = 0;           ///< Version in force.
  std::uint64_t ConfigurationGeneration = 0; ///< See configuration_mark.
  bool StoreReachable = true;                ///< The sender can read the store.
  data_centre_name DataCentre;               ///< Of the sender.
  /// Time since the sender last read the targets from the store, ms; below 0 if
  /// it does not read them.
  std::int64_t TargetsReadAgeMs = -1;
  /// Age of the sender's view of the targets, whoever read them, ms; below 0 if
  /// it has none.
  std::int64_t TargetsKnownAgeMs = -1;
  /// Age of the sender's configuration, ms; below 0 if it is not known.
  std::int64_t ConfigurationKnownAgeMs = -1;
  std::uint64_t TargetsVersion = 0; ///< Newest row of a target that it knows.
  /// Time until the sender, or the process that replaces it, takes any request,
  /// ms; 0 while it does.
  std::int64_t ReadyInMs = 0;
  bool Overloaded = false; ///< The sender has been so for some seconds.
};

/// Another gateway has sent a prompt with much prefill. Its next digest has it
/// as well.
struct prefill_notice {
  instance_name From;
  target_name Target;
  std::size_t Rank = 0;
  double PrefillMs = 0;
};

/// What another gateway tells one of the others about quotas.
struct quota_report {
  instance_name From;
  /// The receiver. Another gateway may have got its address since, and must not
  /// take what is lent to it.
  instance_name To;
  quota_message Message;
};

/// The machine was suspended: the process clock has stood still, that of the
/// other gateways has not.
struct machine_resumed {
  std::uint64_t Incarnation = 0; ///< From now on, for quotas.
  duration Suspended = duration::zero();
};

/// This gateway stops. Streams that are not complete by the deadline are cut.
struct stop_began {
  time_point Deadline;
  /// Until then the load balancer may send requests here. Later streams are
  /// refused, and requests that may not be repeated unless they fit.
  time_point BalancerEnd;
};

/// The deadline of the stop has passed: every open request is answered now.
struct stop_deadline_passed {};

/// Periodic timer event.
struct tick {
  std::uint64_t TargetsVersion = 0; ///< Newest row of a target that is known.
  loop_sample Loop;                 ///< Of the event loop, as of this tick.
  target_paces Paces = {}; ///< Of protected streams, since the last tick.
};

/// The targets were read from the store, changed or not.
struct targets_read {
  /// As of when all changes are known; the epoch if as of this event.
  time_point AsOf;
};

/// A call to the store that reads the targets failed.
struct targets_read_failed {};

/// A query to another gateway was answered, or failed.
struct peer_answered {
  std::string Address;
  bool Waited = false;   ///< The query let the peer wait for changes.
  bool Answered = false; ///< The peer's rows have been applied.
  /// Time since the peer last read the targets from the store, ms; below 0 if
  /// it does not read them or its last call failed.
  std::int64_t TargetsReadAgeMs = -1;
  /// As of when the rows of the targets are complete with the answer; the epoch
  /// if the peer has none. Not set if there is no answer, or if its rows differ
  /// from those that are known here.
  std::optional<time_point> TargetsKnownAt = std::nullopt;
  /// Age of the peer's view when it answered, ms; below 0 if it has none.
  std::int64_t TargetsKnownAgeMs = -1;
  bool RowsAreSettled = false; ///< At the peer; see rowsAreSettled.
  /// As of when all changes of the configuration are known with the answer. Not
  /// set if the peer does not know, or if its rows differ from those here.
  std::optional<time_point> ConfigurationKnownAt = std::nullopt;
  /// Age of the peer's configuration when it answered, ms; below 0 if it is not
  /// known. Not set if there is no answer of this era of the store.
  std::optional<std::int64_t> ConfigurationKnownAgeMs = std::nullopt;
};

using gateway_event = std::variant<
    request_arrived, first_output, answer_begun, hedge_due, output_continued,
    target_checked, crash_report, crash_rows_read, quarantine_lifted,
    target_notice, connection_rested, connection_lost, attempt_ended,
    caller_left, deadline_passed, configuration_read, configuration_missing,
    store_era_changed, configuration_confirmed, target_updated, target_lost,
    row_unreadable, store_reachability_changed, targets_listed,
    instances_listed, load_answered, holdings_report, gateway_digest,
    prefill_notice, targets_read, targets_read_failed, peer_answered,
    stop_began, quota_report, machine_resumed, stop_deadline_passed, tick>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_GATEWAY_EVENTS_H
