/// \file
/// Numbered result codes of the whole system, and the table describing them.
#ifndef LIMPETBRIDGE_BASE_RESULT_CODE_H
#define LIMPETBRIDGE_BASE_RESULT_CODE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace limpetbridge {

/// Whether the work of a request ran, as far as this process can tell.
enum class run_outcome : std::uint8_t {
  Done,   ///< The work ran to completion and the answer is complete.
  NotRun, ///< The work provably did not run; retrying is safe.
  Unknown ///< The work may have run; retrying may run it twice.
};

/// Result codes. The numbers are stable, because users quote them.
enum class result_code : std::uint16_t {
  Ok = 0,

  MalformedRequest = 1001,
  Unauthenticated = 1002,
  Forbidden = 1003,
  NotFound = 1004,
  BodyTooLarge = 1005,
  TooManyRequests = 1006,
  InvalidDeadline = 1007,
  MethodNotAllowed = 1008,
  UnknownKey = 1009,
  QuotaExceeded = 1010,

  Draining = 2001,
  QueueFull = 2002,
  DeadlineUnreachable = 2003,
  NoTarget = 2004,
  NoMemory = 2005,
  StoreUnavailable = 2006,
  TargetUnreachable = 2007,
  TargetRefused = 2008,
  NotReady = 2009,
  ClaimHeldElsewhere = 2010,
  StaleIncarnation = 2011,
  CallerGone = 2012,
  TargetDrained = 2013,
  PromptQuarantined = 2014,
  FairShareExceeded = 2015,
  Overloaded = 2016,

  OutcomeUnknown = 3001,
  AnswerCutShort = 3002,
  ClaimInProgress = 3003,
  ServiceFailed = 3004,
  DeadlineExceeded = 3005,

  SyntaxError = 4001,
  RevisionConflict = 4002,
  InvalidDeclaration = 4003,
  UnknownName = 4004,
  ChangeOutcomeUnknown = 4005,
  ChangeRefusedStoreDown = 4006,

  UnknownSetting = 5001,
  InvalidSetting = 5002,
  FileUnreadable = 5003,
  StartupFailed = 5004,
  Interrupted = 5005,
};

/// Describes one result code.
struct result_code_row {
  result_code Code;
  std::string_view Name;    ///< Stable name in snake case.
  run_outcome Outcome;      ///< Whether the work may have run.
  std::uint16_t HttpStatus; ///< HTTP status sent to callers.
  std::string_view Meaning; ///< What happened, one sentence.
  std::string_view Remedy;  ///< What the user should do, one sentence.
};

/// All rows, ordered by number. A test compares docs/errors.md with them.
[[nodiscard]] auto resultCodeTable() -> std::span<const result_code_row>;

/// Row of \p Code. \pre Code is an enumerator of result_code.
[[nodiscard]] auto describe(result_code Code) -> const result_code_row &;

/// Name of an outcome: `done`, `not_run` or `unknown`.
[[nodiscard]] auto nameOf(run_outcome Outcome) -> std::string_view;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_RESULT_CODE_H
