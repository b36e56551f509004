// Claims on idempotency keys: a row of the table is written before the call is
// dispatched, whoever dispatches it.
#include "core/admission.h"

#include "core/store_keys.h"
#include "details/handlers.h"

#include <nlohmann/json.hpp>

namespace limpetbridge::details {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t MaxAbandonTries = 20;
constexpr std::string_view Claimed = "claimed";
constexpr std::string_view Settled = "settled";

/// A claim as it stands in the table.
struct claim_row {
  std::string State;
  std::string Token;
  std::string BodyHash;
  std::uint32_t Status = 0;
  std::string Body;
};

auto encode(const claim_row &Row) -> std::string {
  const json Body = {{"state", Row.State},
                     {"token", Row.Token},
                     {"hash", Row.BodyHash},
                     {"status", Row.Status},
                     {"body", Row.Body}};
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto decode(const std::string &Text) -> claim_row {
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

auto tokenOf(const context &Ctx, const attempt_id &Id) -> std::string {
  return toString(Id) + "@" +
         std::to_string(Ctx.State.Options.Self.Incarnation.Value);
}

auto request(const context &Ctx, claim_request Kind, const attempt_id &Id)
    -> ticket {
  const auto Ticket = Ctx.State.nextTicket();
  Ctx.State.Admission.Requests[Ticket] = {Kind, Id};
  return Ticket;
}

auto insertClaim(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  Claim.RetryAt = NoDeadline;
  const claim_row Row{std::string(Claimed), Claim.Token, Claim.BodyHash, 0, ""};
  Ctx.emit(
      table_transact{request(Ctx, claim_request::Insert, Work.Offer.Attempt),
                     {{Claim.Key, 0}},
                     {{Claim.Key, encode(Row)}}});
}

auto readClaim(const context &Ctx, work_state &Work) -> void {
  Work.Claim.RetryAt = NoDeadline;
  Ctx.emit(table_read{request(Ctx, claim_request::Read, Work.Offer.Attempt),
                      {Work.Claim.Key}});
}

auto writeOutcome(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  Claim.RetryAt = NoDeadline;
  Ctx.emit(
      table_transact{request(Ctx, claim_request::Settle, Work.Offer.Attempt),
                     {{Claim.Key, Claim.Version}},
                     {{Claim.Key, Claim.Outcome}}});
}

auto removeClaim(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  Claim.RetryAt = NoDeadline;
  Ctx.emit(
      table_transact{request(Ctx, claim_request::Remove, Work.Offer.Attempt),
                     {{Claim.Key, Claim.Version}},
                     {{Claim.Key, std::nullopt}}});
}

/// Whether the work counts against the deadline still.
auto isLate(const context &Ctx, const work_state &Work) -> bool {
  return Work.Cancelled || Ctx.Now >= Work.Offer.Work.Deadline;
}

auto endAs(const context &Ctx, const work_state &Work, run_outcome Outcome,
           result_code Code, std::string Detail) -> void {
  attempt_ended End;
  End.Attempt = Work.Offer.Attempt;
  End.Outcome = Outcome;
  End.Code = Code;
  End.Detail = std::move(Detail);
  endWork(Ctx, Work.Offer.Attempt, std::move(End));
}

/// The claim is this work's own: dispatch it, unless it is too late.
auto holdClaim(const context &Ctx, work_state &Work, std::uint64_t Version)
    -> void {
  Work.Claim.Version = Version;
  Ctx.recordNote(note_kind::ClaimWritten, toString(Work.Offer.Attempt),
                 targetOf(Ctx.State.Options.Self.Name), "", Work.Claim.Key);
  if (Work.Claim.Abandoned || isLate(Ctx, Work)) {
    abandonClaim(Ctx, Work);
    return;
  }
  dispatchWork(Ctx, Work);
}

auto meetOther(const context &Ctx, work_state &Work, const claim_row &Row)
    -> void {
  if (Row.BodyHash != Work.Claim.BodyHash) {
    endAs(Ctx, Work, run_outcome::NotRun, result_code::ClaimHeldElsewhere,
          "key " + Work.Offer.Work.Key.Text + " was used for another body");
    return;
  }
  if (Row.State != Settled) {
    endAs(Ctx, Work, run_outcome::Unknown, result_code::ClaimInProgress,
          "key " + Work.Offer.Work.Key.Text + " is claimed by " + Row.Token);
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

auto retryRead(const context &Ctx, work_state &Work) -> void {
  ++Work.Claim.Tries;
  Work.Claim.RetryAt = Ctx.Now + Ctx.State.Options.StoreRetry;
}

auto takeInsert(const context &Ctx, work_state &Work,
                const table_replied &Event) -> void {
  if (Event.Status == store_status::Applied && !Event.Rows.empty()) {
    holdClaim(Ctx, Work, Event.Rows.front().Version);
    return;
  }
  if (Event.Status == store_status::Conflict)
    readClaim(Ctx, Work);
  else
    retryRead(Ctx, Work);
}

auto takeRead(const context &Ctx, work_state &Work, const table_replied &Event)
    -> void {
  if (Event.Status != store_status::Applied) {
    retryRead(Ctx, Work);
    return;
  }
  if (Event.Rows.empty()) {
    if (Work.Claim.Abandoned)
      endAs(Ctx, Work, run_outcome::NotRun, result_code::StoreUnavailable, "");
    else
      insertClaim(Ctx, Work);
    return;
  }
  const auto Row = decode(Event.Rows.front().Value);
  if (Row.Token == Work.Claim.Token) {
    holdClaim(Ctx, Work, Event.Rows.front().Version);
    return;
  }
  if (Work.Claim.Abandoned)
    endAs(Ctx, Work, run_outcome::NotRun, result_code::StoreUnavailable, "");
  else
    meetOther(Ctx, Work, Row);
}

auto takeSettle(const context &Ctx, work_state &Work,
                const table_replied &Event) -> void {
  const bool Over = Event.Status == store_status::Applied ||
                    Event.Status == store_status::Conflict;
  if (Over)
    Ctx.State.Admission.Works.erase(Work.Offer.Attempt);
  else
    retryRead(Ctx, Work);
}

auto takeRemove(const context &Ctx, work_state &Work,
                const table_replied &Event) -> void {
  const bool Over = Event.Status == store_status::Applied ||
                    Event.Status == store_status::Conflict ||
                    Work.Claim.Tries >= MaxAbandonTries;
  if (Over)
    Ctx.State.Admission.Works.erase(Work.Offer.Attempt);
  else
    retryRead(Ctx, Work);
}

/// Tells the entry `not run` now; the row is removed behind its back.
auto tellNotRun(const context &Ctx, work_state &Work, result_code Code,
                std::string Detail) -> void {
  if (Work.Cancelled)
    return;
  attempt_ended End;
  End.Attempt = Work.Offer.Attempt;
  End.Outcome = run_outcome::NotRun;
  End.Code = Code;
  End.Detail = std::move(Detail);
  End.Hint = hintOf(Ctx);
  Work.Cancelled = true;
  Ctx.emit(send_end{std::move(End)});
}

auto releaseRunning(const context &Ctx, work_state &Work) -> void {
  if (Work.Phase != work_phase::Running)
    return;
  --Ctx.State.Admission.Running;
  if (!Work.Offer.Work.Short)
    --Ctx.State.Admission.RunningLong;
  Work.Phase = work_phase::Settling;
}

/// Gives up waiting for the table: nothing was dispatched, and nothing will be.
auto expireClaim(const context &Ctx, work_state &Work) -> void {
  Work.Claim.Abandoned = true;
  tellNotRun(Ctx, Work, result_code::StoreUnavailable,
             "the claim could not be written before the deadline");
}

auto tickClaim(const context &Ctx, work_state &Work) -> void {
  auto &Claim = Work.Claim;
  if (Work.Phase == work_phase::Claiming && !Claim.Abandoned &&
      isLate(Ctx, Work))
    expireClaim(Ctx, Work);
  if (Ctx.Now < Claim.RetryAt)
    return;
  if (Work.Phase == work_phase::Settling && !Claim.Abandoned) {
    writeOutcome(Ctx, Work);
    return;
  }
  if (Claim.Abandoned && Claim.Tries >= MaxAbandonTries) {
    Ctx.State.Admission.Works.erase(Work.Offer.Attempt);
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
  Work.Claim.Token = tokenOf(Ctx, Work.Offer.Attempt);
  const auto &Body = Work.Offer.Work.Body;
  Work.Claim.BodyHash = std::to_string(stableHash(Body ? *Body : ""));
  insertClaim(Ctx, Work);
}

auto settleClaim(const context &Ctx, work_state &Work, const target_ended &End)
    -> void {
  releaseRunning(Ctx, Work);
  Work.Claim.Outcome =
      encode({std::string(Settled), Work.Claim.Token, Work.Claim.BodyHash,
              End.Status, End.Body ? *End.Body : ""});
  if (!Work.Cancelled) {
    attempt_ended Done;
    Done.Attempt = Work.Offer.Attempt;
    Done.Outcome = run_outcome::Done;
    Done.Status = End.Status;
    Done.Body = End.Body;
    Done.Hint = hintOf(Ctx);
    Ctx.emit(send_end{std::move(Done)});
    Work.Cancelled = true;
  }
  writeOutcome(Ctx, Work);
}

auto abandonClaim(const context &Ctx, work_state &Work) -> void {
  releaseRunning(Ctx, Work);
  Work.Phase = work_phase::Settling;
  Work.Claim.Abandoned = true;
  tellNotRun(Ctx, Work, result_code::TargetUnreachable,
             "not dispatched; the claim is given back");
  removeClaim(Ctx, Work);
}

auto onClaimReply(const context &Ctx, const table_replied &Event) -> bool {
  auto &Admission = Ctx.State.Admission;
  const auto Found = Admission.Requests.find(Event.Ticket);
  if (Found == Admission.Requests.end())
    return false;
  const auto Request = Found->second;
  Admission.Requests.erase(Found);
  const auto Work = Admission.Works.find(Request.Attempt);
  if (Work == Admission.Works.end())
    return true;
  switch (Request.Kind) {
  case claim_request::Insert:
    takeInsert(Ctx, Work->second, Event);
    break;
  case claim_request::Read:
    takeRead(Ctx, Work->second, Event);
    break;
  case claim_request::Settle:
    takeSettle(Ctx, Work->second, Event);
    break;
  case claim_request::Remove:
    takeRemove(Ctx, Work->second, Event);
    break;
  }
  return true;
}

auto tickClaims(const context &Ctx) -> void {
  auto &Works = Ctx.State.Admission.Works;
  for (auto Next = Works.begin(); Next != Works.end();) {
    auto &Work = (Next++)->second;
    if (Work.Phase == work_phase::Claiming ||
        Work.Phase == work_phase::Settling)
      tickClaim(Ctx, Work);
  }
}

} // namespace limpetbridge::details
