// Claims on idempotency keys: an agent writes a row to the table before it
// dispatches the call, so that no other agent dispatches the same call.
#include "core/admission.h"

#include "core/store_keys.h"
#include "details/handlers.h"

#include <nlohmann/json.hpp>

namespace limpetbridge::details {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t MaxRemoveTries = 20;
constexpr std::string_view Claimed = "claimed";
constexpr std::string_view Settled = "settled";

/// Contents of a claim's row in the table.
struct claim_row {
  std::string State;
  std::string Token;
  std::string BodyHash;
  std::uint32_t Status = 0;
  std::string Body;
};

auto encodeClaim(const claim_row &Row) -> std::string {
  const json Body = {{"state", Row.State},
                     {"token", Row.Token},
                     {"hash", Row.BodyHash},
                     {"status", Row.Status},
                     {"body", Row.Body}};
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Parses a claim row; all fields are empty if the text is malformed.
auto decodeClaim(const std::string &Text) -> claim_row {
  const auto Body = json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return {};
  return {Body.value("state", ""), Body.value("token", ""),
          Body.value("hash", ""), Body.value("status", 0U),
          Body.value("body", "")};
}

auto claimKey(const work &Work) -> std::string {
  return std::string(store_keys::ClaimPrefix) + Work.Caller.Text + "/" +
         Work.Service.Text + "/" + Work.Operation + "/" + Work.Key.Text;
}

/// Identifies an attempt at an incarnation of this agent as the claimant.
auto claimantToken(const context &Ctx, const attempt_id &Id) -> std::string {
  return toString(Id) + "@" +
         std::to_string(Ctx.State.Options.Self.Incarnation.Value);
}

/// Registers a table request for the claim of \p Id and returns its ticket.
auto beginRequest(const context &Ctx, claim_request Kind, const attempt_id &Id)
    -> ticket {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Admission.Requests[Ticket] = {Kind, Id};
  return Ticket;
}

auto insertClaim(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  Claim.RetryAt = NoDeadline;
  const claim_row Row{std::string(Claimed), Claim.Token, Claim.BodyHash, 0, ""};
  Ctx.emit(table_transact{
      beginRequest(Ctx, claim_request::Insert, Work.Offer.Attempt),
      {{Claim.Key, 0}},
      {{Claim.Key, encodeClaim(Row)}}});
}

auto readClaim(const context &Ctx, work_state &Work) -> void {
  Work.Claim.RetryAt = NoDeadline;
  Ctx.emit(
      table_read{beginRequest(Ctx, claim_request::Read, Work.Offer.Attempt),
                 {Work.Claim.Key}});
}

auto writeOutcome(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  Claim.RetryAt = NoDeadline;
  Ctx.emit(table_transact{
      beginRequest(Ctx, claim_request::Settle, Work.Offer.Attempt),
      {{Claim.Key, Claim.Version}},
      {{Claim.Key, Claim.Outcome}}});
}

auto removeClaim(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  Claim.RetryAt = NoDeadline;
  Ctx.emit(table_transact{
      beginRequest(Ctx, claim_request::Remove, Work.Offer.Attempt),
      {{Claim.Key, Claim.Version}},
      {{Claim.Key, std::nullopt}}});
}

/// True if the deadline has passed or the entry no longer expects an answer.
auto isExpiredOrCancelled(const context &Ctx, const work_state &Work) -> bool {
  return Work.Cancelled || Ctx.Now >= Work.Offer.Work.Deadline;
}

auto endWorkAs(const context &Ctx, const work_state &Work, run_outcome Outcome,
               result_code Code, std::string Detail) -> void {
  attempt_ended End;
  End.Attempt = Work.Offer.Attempt;
  End.Outcome = Outcome;
  End.Code = Code;
  End.Detail = std::move(Detail);
  endWork(Ctx, Work.Offer.Attempt, std::move(End));
}

/// Handles a claim that this work holds: dispatches the work, or removes the
/// claim if it is too late.
auto onClaimHeld(const context &Ctx, work_state &Work, std::uint64_t Version)
    -> void {
  Work.Claim.Version = Version;
  Ctx.recordNote(note_kind::ClaimWritten, toString(Work.Offer.Attempt),
                 targetOf(Ctx.State.Options.Self.Name), "", Work.Claim.Key);
  if (Work.Claim.Abandoned || isExpiredOrCancelled(Ctx, Work)) {
    abandonClaim(Ctx, Work);
    return;
  }
  dispatchWork(Ctx, Work);
}

/// Ends the work by the claim of another attempt or request: with its outcome
/// once it is settled.
auto endByExistingClaim(const context &Ctx, work_state &Work,
                        const claim_row &Row) -> void {
  if (Row.BodyHash != Work.Claim.BodyHash) {
    endWorkAs(Ctx, Work, run_outcome::NotRun, result_code::ClaimHeldElsewhere,
              "idempotency key " + Work.Offer.Work.Key.Text +
                  " was already used with a different request body");
    return;
  }
  if (Row.State != Settled) {
    endWorkAs(Ctx, Work, run_outcome::Unknown, result_code::ClaimInProgress,
              "a call with idempotency key " + Work.Offer.Work.Key.Text +
                  " is in progress; claimed by " + Row.Token);
    return;
  }
  attempt_ended End;
  End.Attempt = Work.Offer.Attempt;
  End.Outcome = run_outcome::Done;
  End.Detail = "stored outcome";
  End.Status = Row.Status;
  End.Body = shareText(Row.Body);
  endWork(Ctx, Work.Offer.Attempt, std::move(End));
}

/// Retries after an unanswered or refused table request.
auto scheduleRetry(const context &Ctx, work_state &Work) -> void {
  ++Work.Claim.Tries;
  Work.Claim.RetryAt = Ctx.Now + Ctx.State.Options.StoreRetry;
}

auto onInsertReply(const context &Ctx, work_state &Work,
                   const table_replied &Event) -> void {
  if (Event.Status == store_status::Applied && !Event.Rows.empty()) {
    onClaimHeld(Ctx, Work, Event.Rows.front().Version);
    return;
  }
  if (Event.Status == store_status::Conflict)
    readClaim(Ctx, Work);
  else
    scheduleRetry(Ctx, Work);
}

auto onReadReply(const context &Ctx, work_state &Work,
                 const table_replied &Event) -> void {
  if (Event.Status != store_status::Applied) {
    scheduleRetry(Ctx, Work);
    return;
  }
  if (Event.Rows.empty()) {
    if (Work.Claim.Abandoned)
      endWorkAs(Ctx, Work, run_outcome::NotRun, result_code::StoreUnavailable,
                "");
    else
      insertClaim(Ctx, Work);
    return;
  }
  const auto Row = decodeClaim(Event.Rows.front().Value);
  if (Row.Token == Work.Claim.Token) {
    onClaimHeld(Ctx, Work, Event.Rows.front().Version);
    return;
  }
  if (Work.Claim.Abandoned)
    endWorkAs(Ctx, Work, run_outcome::NotRun, result_code::StoreUnavailable,
              "");
  else
    endByExistingClaim(Ctx, Work, Row);
}

auto onSettleReply(const context &Ctx, work_state &Work,
                   const table_replied &Event) -> void {
  const bool Finished = Event.Status == store_status::Applied ||
                        Event.Status == store_status::Conflict;
  if (Finished)
    Ctx.State.Admission.WorkItems.erase(Work.Offer.Attempt);
  else
    scheduleRetry(Ctx, Work);
}

auto onRemoveReply(const context &Ctx, work_state &Work,
                   const table_replied &Event) -> void {
  const bool Finished = Event.Status == store_status::Applied ||
                        Event.Status == store_status::Conflict ||
                        Work.Claim.Tries >= MaxRemoveTries;
  if (Finished)
    Ctx.State.Admission.WorkItems.erase(Work.Offer.Attempt);
  else
    scheduleRetry(Ctx, Work);
}

/// Reports to the entry that the work did not run, without waiting until the
/// claim row is removed.
auto reportNotRun(const context &Ctx, work_state &Work, result_code Code,
                  std::string Detail) -> void {
  if (Work.Cancelled)
    return;
  attempt_ended End;
  End.Attempt = Work.Offer.Attempt;
  End.Outcome = run_outcome::NotRun;
  End.Code = Code;
  End.Detail = std::move(Detail);
  End.Hint = currentLoadHint(Ctx);
  Work.Cancelled = true;
  Ctx.emit(send_end{std::move(End)});
}

auto releaseRunningSlot(const context &Ctx, work_state &Work) -> void {
  if (Work.Phase != work_phase::Running)
    return;
  --Ctx.State.Admission.Running;
  if (!Work.Offer.Work.Short)
    --Ctx.State.Admission.RunningLong;
  Work.Phase = work_phase::Settling;
}

/// Stops waiting for the table. The call was not dispatched and will not be.
auto expireClaim(const context &Ctx, work_state &Work) -> void {
  Work.Claim.Abandoned = true;
  reportNotRun(
      Ctx, Work, result_code::StoreUnavailable,
      "the call was not dispatched: the table did not confirm the claim "
      "before the deadline");
}

auto tickClaim(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  if (Work.Phase == work_phase::Claiming && !Claim.Abandoned &&
      isExpiredOrCancelled(Ctx, Work))
    expireClaim(Ctx, Work);
  if (Ctx.Now < Claim.RetryAt)
    return;
  if (Work.Phase == work_phase::Settling && !Claim.Abandoned) {
    writeOutcome(Ctx, Work);
    return;
  }
  if (Claim.Abandoned && Claim.Tries >= MaxRemoveTries) {
    Ctx.State.Admission.WorkItems.erase(Work.Offer.Attempt);
    return;
  }
  if (Claim.Abandoned && Claim.Version != 0)
    removeClaim(Ctx, Work);
  else
    readClaim(Ctx, Work);
}

} // namespace

auto startClaim(const context &Ctx, work_state &Work) -> void {
  Work.Phase = work_phase::Claiming;
  Work.Claim.Key = claimKey(Work.Offer.Work);
  Work.Claim.Token = claimantToken(Ctx, Work.Offer.Attempt);
  const auto &Body = Work.Offer.Work.Body;
  Work.Claim.BodyHash = std::to_string(stableHash(Body ? *Body : ""));
  insertClaim(Ctx, Work);
}

auto settleClaim(const context &Ctx, work_state &Work, const target_ended &End)
    -> void {
  releaseRunningSlot(Ctx, Work);
  Work.Claim.Outcome =
      encodeClaim({std::string(Settled), Work.Claim.Token, Work.Claim.BodyHash,
                   End.Status, End.Body ? *End.Body : ""});
  if (!Work.Cancelled) {
    attempt_ended Ended;
    Ended.Attempt = Work.Offer.Attempt;
    Ended.Outcome = run_outcome::Done;
    Ended.Status = End.Status;
    Ended.Body = End.Body;
    Ended.Hint = currentLoadHint(Ctx);
    Ctx.emit(send_end{std::move(Ended)});
    Work.Cancelled = true;
  }
  writeOutcome(Ctx, Work);
}

auto abandonClaim(const context &Ctx, work_state &Work) -> void {
  releaseRunningSlot(Ctx, Work);
  Work.Phase = work_phase::Settling;
  Work.Claim.Abandoned = true;
  reportNotRun(Ctx, Work, result_code::TargetUnreachable,
               "the call was not dispatched; its claim is being removed");
  removeClaim(Ctx, Work);
}

auto onClaimReply(const context &Ctx, const table_replied &Event) -> bool {
  auto &Admission = Ctx.State.Admission;
  const auto Found = Admission.Requests.find(Event.Ticket);
  if (Found == Admission.Requests.end())
    return false;
  const auto Request = Found->second;
  Admission.Requests.erase(Found);
  const auto Work = Admission.WorkItems.find(Request.Attempt);
  if (Work == Admission.WorkItems.end())
    return true;
  switch (Request.Kind) {
  case claim_request::Insert:
    onInsertReply(Ctx, Work->second, Event);
    break;
  case claim_request::Read:
    onReadReply(Ctx, Work->second, Event);
    break;
  case claim_request::Settle:
    onSettleReply(Ctx, Work->second, Event);
    break;
  case claim_request::Remove:
    onRemoveReply(Ctx, Work->second, Event);
    break;
  }
  return true;
}

auto tickClaims(const context &Ctx) -> void {
  auto &WorkItems = Ctx.State.Admission.WorkItems;
  for (auto Next = WorkItems.begin(); Next != WorkItems.end();) {
    auto &Work = (Next++)->second;
    if (Work.Phase == work_phase::Claiming ||
        Work.Phase == work_phase::Settling)
      tickClaim(Ctx, Work);
  }
}

} // namespace limpetbridge::details
