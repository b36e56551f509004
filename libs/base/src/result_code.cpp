#include "base/result_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace limpetbridge {

namespace {

using enum run_outcome;

constexpr std::array Table = {
    result_code_row{result_code::Ok, "ok", Done, 200, "The work is done.",
                    "Nothing."},
    result_code_row{result_code::MalformedRequest, "malformed_request", NotRun,
                    400, "The request is not in the documented form.",
                    "Correct the request as the detail says."},
    result_code_row{result_code::Unauthenticated, "unauthenticated", NotRun,
                    401, "The bearer token is missing or unknown.",
                    "Send a token that an operator has declared."},
    result_code_row{result_code::Forbidden, "forbidden", NotRun, 403,
                    "The caller may not use this model or service.",
                    "Ask an operator to declare it for the caller."},
    result_code_row{result_code::NotFound, "not_found", NotRun, 404,
                    "No such model, service, operation or page is declared.",
                    "Check the name against GET /v1/models."},
    result_code_row{result_code::BodyTooLarge, "body_too_large", NotRun, 413,
                    "The body exceeds the limit of the entry.",
                    "Send a smaller body."},
    result_code_row{result_code::TooManyRequests, "too_many_requests", NotRun,
                    429, "The entry is at its limit of open requests.",
                    "Repeat after the time in Retry-After."},
    result_code_row{result_code::InvalidDeadline, "invalid_deadline", NotRun,
                    400, "The deadline header is not a number in its range.",
                    "Send milliseconds from 1 to 3600000."},
    result_code_row{result_code::MethodNotAllowed, "method_not_allowed", NotRun,
                    405, "The page does not take this method.",
                    "Use the method in docs/protocols.md."},
    result_code_row{result_code::UnknownKey, "unknown_key", NotRun, 401,
                    "The request's key is missing or belongs to no workspace.",
                    "Send a key that the configuration in force declares."},
    result_code_row{result_code::QuotaExceeded, "quota_exceeded", NotRun, 429,
                    "The workspace has used up its quota for now.",
                    "Repeat after the time in Retry-After."},
    result_code_row{result_code::Draining, "draining", NotRun, 503,
                    "The instance or target is draining.",
                    "Repeat; the balancer picks another instance."},
    result_code_row{result_code::QueueFull, "queue_full", NotRun, 429,
                    "The queue for this kind of work is full.",
                    "Repeat after the time in Retry-After."},
    result_code_row{result_code::DeadlineUnreachable, "deadline_unreachable",
                    NotRun, 503, "The work cannot finish before its deadline.",
                    "Allow more time or repeat later."},
    result_code_row{result_code::NoTarget, "no_target", NotRun, 503,
                    "No live target can serve the model or service.",
                    "See `show targets`; repeat later."},
    result_code_row{result_code::NoMemory, "no_memory", NotRun, 503,
                    "The model does not fit beside what the target holds.",
                    "Repeat; another target is tried first."},
    result_code_row{result_code::StoreUnavailable, "store_unavailable", NotRun,
                    503, "The platform's table is needed and does not answer.",
                    "Repeat with the same key when the table is back."},
    result_code_row{result_code::TargetUnreachable, "target_unreachable",
                    NotRun, 503, "No connection to the target; nothing sent.",
                    "Repeat; see `show targets`."},
    result_code_row{result_code::TargetRefused, "target_refused", NotRun, 503,
                    "The target refused the work before running it.",
                    "See the detail of the refusal."},
    result_code_row{result_code::NotReady, "not_ready", NotRun, 503,
                    "The instance has not loaded its configuration yet.",
                    "Repeat; the balancer picks another instance."},
    result_code_row{result_code::ClaimHeldElsewhere, "claim_held_elsewhere",
                    NotRun, 409, "The key belongs to another request body.",
                    "Use a fresh key for a different request."},
    result_code_row{result_code::StaleIncarnation, "stale_incarnation", NotRun,
                    503, "The offer was meant for an earlier incarnation.",
                    "Repeat; the entry has the new one."},
    result_code_row{result_code::CallerGone, "caller_gone", NotRun, 499,
                    "The caller left before the work was dispatched.",
                    "Nothing."},
    result_code_row{result_code::TargetDrained, "target_drained", NotRun, 503,
                    "Operators have declared the target drained.",
                    "Repeat; another target is tried first."},
    result_code_row{result_code::PromptQuarantined, "prompt_quarantined",
                    NotRun, 503,
                    "Several targets crashed on this prompt or a part of it.",
                    "Send it without the part, or after Retry-After."},
    result_code_row{result_code::FairShareExceeded, "fair_share_exceeded",
                    NotRun, 503,
                    "Targets are busy; others are served less than the caller.",
                    "Repeat after the time in Retry-After."},
    result_code_row{result_code::Overloaded, "overloaded", NotRun, 503,
                    "There was no room for the request beside the others.",
                    "Repeat after the time in Retry-After."},
    result_code_row{result_code::OutcomeUnknown, "outcome_unknown", Unknown,
                    502, "The work was dispatched and its answer was lost.",
                    "Check the books before repeating."},
    result_code_row{result_code::AnswerCutShort, "answer_cut_short", Unknown,
                    502, "The answer ended before it was whole.",
                    "Discard the partial answer and repeat."},
    result_code_row{result_code::ClaimInProgress, "claim_in_progress", Unknown,
                    409, "A request with this key is dispatched, not settled.",
                    "Repeat the same key later, or check the books."},
    result_code_row{result_code::ServiceFailed, "service_failed", Unknown, 502,
                    "The service answered with a failure of its own.",
                    "See the body; check the books before repeating."},
    result_code_row{result_code::DeadlineExceeded, "deadline_exceeded", Unknown,
                    504, "The deadline passed while the work was running.",
                    "Check the books before repeating; allow more time."},
    result_code_row{result_code::SyntaxError, "syntax_error", NotRun, 400,
                    "The command does not follow the grammar.",
                    "See the column and what was expected there."},
    result_code_row{result_code::RevisionConflict, "revision_conflict", NotRun,
                    409, "Another change was accepted first.",
                    "Look at the winner and decide again."},
    result_code_row{result_code::InvalidDeclaration, "invalid_declaration",
                    NotRun, 400, "The declaration breaks a rule.",
                    "Correct it as the detail says."},
    result_code_row{result_code::UnknownName, "unknown_name", NotRun, 404,
                    "Nothing of that name is declared.",
                    "Check the name with `show`."},
    result_code_row{result_code::ChangeOutcomeUnknown, "change_outcome_unknown",
                    Unknown, 502, "The table did not say what became of it.",
                    "Repeat the same change id; it is applied at most once."},
    result_code_row{result_code::ChangeRefusedStoreDown,
                    "change_refused_store_down", NotRun, 503,
                    "The table does not answer; nothing was changed.",
                    "Repeat when the table is back."},
    result_code_row{result_code::UnknownSetting, "unknown_setting", NotRun, 500,
                    "The settings file has a key that does not exist.",
                    "Use the nearest known key, which the detail names."},
    result_code_row{result_code::InvalidSetting, "invalid_setting", NotRun, 500,
                    "A setting has the wrong type or is out of range.",
                    "Correct the value as the detail says."},
    result_code_row{result_code::FileUnreadable, "file_unreadable", NotRun, 500,
                    "A file cannot be read or parsed.",
                    "Check path and syntax."},
    result_code_row{result_code::StartupFailed, "startup_failed", NotRun, 500,
                    "The process cannot start as its settings say.",
                    "See the detail; often a port is in use."},
    result_code_row{result_code::Interrupted, "interrupted", Unknown, 500,
                    "A repeated SIGINT ended the process during its drain.",
                    "Work in progress may have been cut off."},
};

} // namespace

auto resultCodeTable() -> std::span<const result_code_row> { return Table; }

auto describe(result_code Code) -> const result_code_row & {
  const auto *Row = std::find_if(Table.begin(), Table.end(),
                                 [Code](const result_code_row &Candidate) {
                                   return Candidate.Code == Code;
                                 });
  assert(Row != Table.end() && "every enumerator has a row");
  return *Row;
}

auto nameOf(run_outcome Outcome) -> std::string_view {
  switch (Outcome) {
  case Done:
    return "done";
  case NotRun:
    return "not_run";
  case Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace limpetbridge
