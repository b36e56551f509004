/// \file
/// Open requests of an entry, with the state of their attempts.
#ifndef LIMPETBRIDGE_CORE_REQUESTS_H
#define LIMPETBRIDGE_CORE_REQUESTS_H

#include "core/work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge {

/// An attempt that has not ended.
struct attempt_state {
  target_name Target;
  time_point StartedAt;
  time_point LastProgress; ///< When its last frame or heartbeat arrived.
  bool Cold = false;       ///< The target had to load the unit first.
  bool Extra = false; ///< Needs one more copy of a unit that is held already.
  /// Pieces that arrived ahead of a gap, by offset.
  std::map<std::uint32_t, std::vector<std::string>> OutOfOrder;
  std::optional<std::uint32_t> Total; ///< Known once it is done.
  duration ExpectedWait{}; ///< Queue delay and load time expected at its start.
};

/// A request of a caller that has not been answered completely.
struct request_state {
  work Work;
  time_point ArrivedAt;
  /// Attempts that have not ended, by number.
  std::map<std::uint32_t, attempt_state> ActiveAttempts;
  std::uint32_t LastAttempt = 0;
  std::uint32_t SourceAttempt = 0; ///< Whose frames are delivered; 0: none yet.
  std::uint32_t Delivered = 0;     ///< Pieces sent to the caller.
  std::string DeliveredText;       ///< Their text, to resume at another target.
  /// Targets that refused or failed; the next attempt skips them.
  std::set<target_name> ExcludedTargets;
  time_point RetryAt = NoDeadline;
  time_point HedgeAt = NoDeadline;
  bool FreshConnection = false;  ///< The next attempt needs a new one.
  bool ExtraCopyRefused = false; ///< A target had no memory for an extra copy.
  bool MayHaveRun = false;       ///< An attempt ended with unknown outcome.
  std::uint32_t ClaimPolls = 0;  ///< Attempts that found the claim in progress.
  result_code LastCode = result_code::NoTarget; ///< Of the last failed attempt.
  std::string LastDetail;
};

/// Token bucket that limits retries, or hedges, to a share of requests, so that
/// they stop when most attempts fail.
struct attempt_budget {
  double Tokens = 0;
  double Limit = 0;
  double PerRequest = 0; ///< Tokens that each request adds.

  /// Adds the tokens of one request, up to the limit.
  auto deposit() -> void;
  /// Takes one token; false when there is none.
  [[nodiscard]] auto tryWithdraw() -> bool;
};

/// All open requests of an entry.
struct requests_state {
  std::map<request_id, request_state> Open;
  attempt_budget RetryBudget;
  attempt_budget HedgeBudget;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_REQUESTS_H
