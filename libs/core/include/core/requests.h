/// \file
/// Requests that an entry has open, and their attempts.
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

/// One attempt that may still speak.
struct attempt_state {
  target_name Target;
  time_point StartedAt;
  time_point LastProgress;
  bool Cold = false;  ///< Its target had to load for it.
  bool Extra = false; ///< It would have been a further copy.
  std::map<std::uint32_t, std::vector<std::string>> Early; ///< Beyond a gap.
  std::optional<std::uint32_t> Total; ///< Set once it ended whole.
  duration ExpectedWait{};            ///< Queue delay when it was sent.
};

/// One open request of a caller.
struct request_state {
  work Work;
  time_point ArrivedAt;
  std::map<std::uint32_t, attempt_state> Live; ///< By attempt number.
  std::uint32_t LastAttempt = 0;
  std::uint32_t Source = 0;    ///< Attempt whose frames are used; 0: none yet.
  std::uint32_t Delivered = 0; ///< Pieces given to the caller.
  std::string Text;            ///< Their text, for a resume elsewhere.
  std::set<target_name> ExcludedTargets; ///< Targets that refused or failed.
  time_point RetryAt = NoDeadline;
  time_point HedgeAt = NoDeadline;
  bool FreshConnection = false;  ///< The next attempt needs one.
  bool ExtraCopyRefused = false; ///< There was no room for a further copy.
  bool MaybeRan = false;         ///< An attempt ended with unknown outcome.
  std::uint32_t ClaimPolls = 0;  ///< Attempts that met a claim in progress.
  result_code LastCode = result_code::NoTarget;
  std::string LastDetail;
};

/// Retries and hedges as a share of requests, so that they die out when
/// most attempts fail.
struct budget {
  double Tokens = 0;
  double Limit = 0;
  double PerRequest = 0;

  /// A request arrived.
  auto earn() -> void;
  /// Takes one token; false when there is none.
  [[nodiscard]] auto spend() -> bool;
};

/// All open requests of an entry.
struct requests_state {
  std::map<request_id, request_state> Open;
  budget RetryBudget;
  budget HedgeBudget;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_REQUESTS_H
