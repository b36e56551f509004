/// \file
/// Work at an agent: queue, slots, claims.
#ifndef LIMPETBRIDGE_CORE_ADMISSION_H
#define LIMPETBRIDGE_CORE_ADMISSION_H

#include "core/events.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace limpetbridge {

/// Phase of work at an agent.
enum class work_phase : std::uint8_t {
  Queued,   ///< Waits for residency and a slot.
  Claiming, ///< Its claim is being written.
  Running,  ///< At the target.
  Settling  ///< Its outcome is being written to the claim.
};

/// Stable name of \p Phase.
[[nodiscard]] auto nameOf(work_phase Phase) -> std::string_view;

/// A claim on an idempotency key.
struct claim_state {
  std::string Key;           ///< Key of the row.
  std::string Token;         ///< Names this claimant and attempt.
  std::string BodyHash;      ///< Of the request, to refuse another body.
  std::uint64_t Version = 0; ///< Of the row, once held.
  std::string Outcome;       ///< Row value to write when settling.
  time_point RetryAt = NoDeadline;
  bool Abandoned = false; ///< Not dispatched; the row is to be removed.
  std::uint32_t Tries = 0;
};

/// One piece of work at an agent.
struct work_state {
  work_offered Offer;
  work_phase Phase = work_phase::Queued;
  time_point QueuedAt;
  time_point StartedAt;
  time_point NextHeartbeatAt; ///< When the entry is to be told it still waits.
  std::uint32_t Sent = 0;     ///< Pieces sent, from the start of the answer.
  bool Cancelled = false;     ///< The entry no longer listens.
  claim_state Claim;
};

/// What a table request on behalf of a claim is for.
enum class claim_request : std::uint8_t { Insert, Read, Settle, Remove };

/// A table request under way.
struct pending_claim_request {
  claim_request Kind = claim_request::Insert;
  attempt_id Attempt;
};

/// Calls that this agent has seen of one entry, so that a late duplicate of
/// an offer never runs again.
struct seen_calls {
  std::uint64_t RefusedUpTo = 0; ///< Counters up to here are refused unseen.
  std::set<attempt_id> Seen;
};

/// Measured speed of the target.
struct speed_estimate {
  double TokenMs = 20;        ///< Time of one generated token of one stream.
  double PromptTokenMs = 0.1; ///< Time of one prompt token.
  double CallMs = 20;         ///< Time of one service call.
};

/// Work of an agent.
struct admission_state {
  std::map<attempt_id, work_state> WorkItems;
  std::uint32_t Running = 0;
  std::uint32_t RunningLong = 0;
  std::map<ticket, pending_claim_request> Requests;
  std::map<incarnation, seen_calls> Seen;
  speed_estimate Speed;
  bool Drained = false;   ///< Declared by operators.
  revision DrainRevision; ///< Revision of that declaration.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_ADMISSION_H
