/// \file
/// Admission of work at an agent: queue, slots and claims.
#ifndef LIMPETBRIDGE_CORE_ADMISSION_H
#define LIMPETBRIDGE_CORE_ADMISSION_H

#include "core/events.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace limpetbridge {

/// Phase of a work item at an agent.
enum class work_phase : std::uint8_t {
  Queued,   ///< Waits for its unit to be loaded and for a slot.
  Claiming, ///< Its claim is being written.
  Running,  ///< Dispatched to the target.
  Settling  ///< Its outcome is being written to the claim.
};

/// Stable name of \p Phase.
[[nodiscard]] auto nameOf(work_phase Phase) -> std::string_view;

/// A claim on an idempotency key: a table row that makes a call run only once.
struct claim_state {
  std::string Key;   ///< Key of the table row.
  std::string Token; ///< Identifies this agent's incarnation and the attempt.
  std::string BodyHash; ///< Hash of the request body; another body is refused.
  std::uint64_t Version = 0; ///< Row version, once the claim is held.
  std::string Outcome;       ///< Row value that settles the claim.
  time_point RetryAt = NoDeadline;
  bool Abandoned = false; ///< Did not run; the row must be removed.
  std::uint32_t Tries = 0;
};

/// One work item at an agent.
struct work_state {
  work_offered Offer;
  work_phase Phase = work_phase::Queued;
  time_point QueuedAt;
  time_point StartedAt;
  time_point NextHeartbeatAt; ///< When the next heartbeat to the entry is due.
  std::uint32_t Sent = 0; ///< Pieces that the entry has, resumed ones included.
  bool Cancelled = false; ///< The entry expects no more replies.
  claim_state Claim;
};

/// Purpose of a table request for a claim.
enum class claim_request : std::uint8_t { Insert, Read, Settle, Remove };

/// A table request in flight.
struct pending_claim_request {
  claim_request Kind = claim_request::Insert;
  attempt_id Attempt;
};

/// Calls that one incarnation of an entry has offered. A delayed duplicate of
/// an offer is recognised here and does not run again.
struct seen_calls {
  std::uint64_t RefusedUpTo = 0; ///< Counters up to here are refused.
  std::set<attempt_id> Seen;
};

/// Moving averages of the target's speed.
struct speed_estimate {
  double TokenMs = 20;        ///< Per generated token of one stream.
  double PromptTokenMs = 0.1; ///< Per prompt token.
  double CallMs = 20;         ///< Per service call.
};

/// Admission state of an agent.
struct admission_state {
  std::map<attempt_id, work_state> WorkItems;
  std::uint32_t Running = 0;
  std::uint32_t RunningLong = 0;
  std::map<ticket, pending_claim_request> Requests;
  std::map<incarnation, seen_calls> Seen;
  speed_estimate Speed;
  bool Drained = false;   ///< An operator declared the target drained.
  revision DrainRevision; ///< Revision of Drained.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_ADMISSION_H
