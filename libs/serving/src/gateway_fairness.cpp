/// Fair shares under contention: which requests with a prompt wait at the
/// gateway or are refused when their targets have no room for all in time.
#include "details/gateway_parts.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Requests that yield need their first output within this part of the time
/// left in their objective. The rest is room for what other workspaces send
/// meanwhile by any gateway.
constexpr double RoomPart = 0.75;
/// Part of its fair share that a workspace above it sends in any case. The rest
/// of its requests have to find room, since estimates are rough.
constexpr double SentPart = 0.35;
/// Time for which a service counts as contended after a request that could not
/// be in time: the targets' queues are about that long.
constexpr duration ContentionTime = seconds(1);
/// Expected times are rough, so this multiple of one and this margin, three
/// ticks, are left to a request that waits for a more urgent kind.
constexpr double ExpectedTimeFactor = 1.5;
constexpr double SendMarginMs = 300;
/// Requests that are examined after an event other than a tick, since each one
/// costs a look at all targets; and those that are sent at once.
constexpr std::size_t MaxExamined = 2;
constexpr std::size_t MaxReleased = 4;
/// Retry-after of a refused request, ms: at least, and the time over which
/// callers are spread.
constexpr std::int64_t MinRetryAfterMs = 150;
constexpr std::int64_t ReturnSpreadMs = 200;
/// The same at most, ms. Reports of other gateways may hold any number; a kind
/// that is ahead of one that is never served is so for 70 s.
constexpr double MaxRetryAfterMs = 75'000;

auto groupOf(const request_state &Request) -> fair_group {
  return {*Request.Workspace, Request.Route.Name, Request.Service,
          Request.Route.TargetLatencyMs, rankOf(Request.Route.Priority)};
}

/// Rates of workspaces over all gateways, as far as this one has heard of them.
auto fleetRate(const gateway_state &State) -> fleet_rate {
  return [&Account = State.Account](const workspace_name &Workspace,
                                    time_point Now) {
    return Account.workspaceRate(Workspace, Now).PerSecond;
  };
}

/// What the request counts as in the share of its workspace.
auto tokensOf(const call &Call) -> double {
  if (Call.StatedTokens)
    return static_cast<double>(*Call.StatedTokens);
  return static_cast<double>(Call.Prompt.InputTokens) +
         Call.Prompt.MaxOutputTokens;
}

/// When the first output is due.
auto objectiveOf(const request_state &Request) -> time_point {
  return std::min(Request.FirstOutputDeadline,
                  Request.Call.Arrived +
                      milliseconds(Request.Route.TargetLatencyMs));
}

/// Time left until then.
auto leftMs(const request_state &Request, time_point Now) -> double {
  return std::chrono::duration<double, std::milli>(objectiveOf(Request) - Now)
      .count();
}

/// Expected time to the first output at a target without other prompts.
auto aloneMs(const gateway_state &State, const pick &Pick, std::size_t Rank)
    -> double {
  const auto *Entry = State.Book.find(Pick.Target);
  return Pick.ExpectedMs -
         std::max(Entry->Slowness, 1.0) * Entry->load().pendingMs(Rank);
}

/// True if the request is one of those that its workspace sends in any case.
/// The same each time it is examined.
auto isWithinShare(request_number Number, const fair_position &Position)
    -> bool {
  // Multiples of the golden ratio are spread evenly over 0 to 1.
  constexpr double GoldenRatio = 0.6180339887498949;
  double Whole = 0;
  const double Draw =
      std::modf(static_cast<double>(Number) * GoldenRatio, &Whole);
  return Draw * Position.RatePerSecond < SentPart * Position.LevelPerSecond;
}

/// True if shares matter to the request now. Retries go on at once, as do those
/// that hold up others while they try a suspect.
auto isShared(const gateway_state &State, const request_state &Request,
              const pick &Pick) -> bool {
  return State.Options.HasFairShares && Request.Call.HasPrompt &&
         Request.Workspace && Request.Route.TargetLatencyMs > 0 &&
         Request.Attempts == 0 && Request.TriedTargets.empty() &&
         !Request.MayHaveRun && !Request.TriedSuspect && !Pick.NeedsAdapter &&
         State.StopDeadline == NoDeadline;
}

/// True if a request of the service could lately not be in time.
auto isContended(const gateway_state &State, const service_name &Service,
                 time_point Now) -> bool {
  const auto Found = State.ContendedAt.find(Service);
  return Found != State.ContendedAt.end() &&
         Now - Found->second < ContentionTime;
}

auto record(const gateway_step &Step, const request_state &Request,
            fair_end End) -> void {
  const bool Waited = Request.HeldSince != time_point();
  Step.Effects.push_back(record_fair_share{
      Request.Route.Name,
      Waited ? toMilliseconds(Step.Now - Request.HeldSince) : -1, End});
}

/// Whether and why a request yields.
struct claim {
  fair_position Position;
  bool IsAbove = false; ///< To other workspaces.
  bool IsAhead = false; ///< To a more urgent kind.
  /// Only the kind is the cause, also if it has waited and does not yield now.
  bool IsForKind = false;

  [[nodiscard]] auto yields() const -> bool { return IsAbove || IsAhead; }
  [[nodiscard]] auto reason() const -> const char * {
    return IsForKind ? "a more urgent kind is served less often"
                     : "the workspace is above its fair share";
  }
};

/// True if a prompt of \p Kind would find a queue or no slot at the target that
/// endangers its objective. Its own prefill, which is not known, has the rest.
auto lacksRoomFor(const urgent_kind &Kind, const target_entry &Entry,
                  const pick_request &PickRequest) -> bool {
  const auto Candidate = assessTarget(Entry, PickRequest);
  if (Candidate.Exclusion != exclusion::None || Candidate.Pick.NeedsAdapter ||
      Candidate.BackoffMs > 0)
    return true;
  const auto &Parts = Candidate.Expected;
  const double BeforeMs =
      Parts.sumMs() - Parts.Slowness * Parts.PrefillMs + Candidate.SlotWaitMs;
  return BeforeMs > RoomPart * static_cast<double>(Kind.ObjectiveMs);
}

/// True if no target that the request could be sent to has room for one of the
/// more urgent kinds that are served less often. Elsewhere they gain nothing if
/// it waits.
auto isAhead(const gateway_state &State, const fair_position &Position,
             const pick_request &PickRequest) -> bool {
  const auto &Targets = State.Book.all();
  return std::any_of(
      Position.Behind.begin(), Position.Behind.end(), [&](const auto &Kind) {
        auto Urgent = PickRequest;
        Urgent.Rank = Kind.Rank;
        return std::all_of(Targets.begin(), Targets.end(),
                           [&](const auto &Target) {
                             return lacksRoomFor(Kind, Target.second, Urgent);
                           });
      });
}

auto claimOf(const gateway_step &Step, request_number Number,
             const pick_request &PickRequest) -> claim {
  auto &State = Step.State;
  claim Claim;
  Claim.Position = State.Fairness.positionOf(groupOf(State.Requests.at(Number)),
                                             fleetRate(State), Step.Now);
  Claim.IsAbove = Claim.Position.Standing == fair_standing::Above &&
                  !isWithinShare(Number, Claim.Position);
  Claim.IsAhead = isAhead(State, Claim.Position, PickRequest);
  Claim.IsForKind =
      Claim.yields() ? !Claim.IsAbove : State.Requests.at(Number).IsHeldForKind;
  return Claim;
}

/// \param ExpectedMs expected time to the first output, beyond which the caller
/// has to return.
auto refuseForShare(const gateway_step &Step, request_number Number,
                    const claim &Claim, double ExpectedMs, std::string Reason)
    -> void {
  constexpr double MsPerSecond = 1000;
  auto &State = Step.State;
  const auto &Request = State.Requests.at(Number);
  const auto &Position = Claim.Position;
  const double QueueMs =
      ExpectedMs -
      RoomPart * static_cast<double>(Request.Route.TargetLatencyMs);
  // A kind that is ahead is only refused what would be late, so after its
  // objective it may try again.
  const double ReturnSeconds = std::max(
      Position.ShareReturnSeconds,
      Claim.IsAhead
          ? std::min(Position.KindReturnSeconds,
                     static_cast<double>(Request.Route.TargetLatencyMs) /
                         MsPerSecond)
          : 0);
  const auto RetryAfterMs = static_cast<std::int64_t>(
      std::clamp(std::max(QueueMs, MsPerSecond * ReturnSeconds),
                 static_cast<double>(MinRetryAfterMs), MaxRetryAfterMs));
  std::uniform_int_distribution<std::int64_t> Spread(0, ReturnSpreadMs);
  State.Fairness.recordDecision(tokensOf(Request.Call), false, Step.Now);
  State.Fairness.recordOutcome(Number,
                               Claim.IsForKind ? fair_outcome::NotServed
                                               : fair_outcome::AboveShare,
                               Step.Now);
  record(Step, Request, fair_end::Refused);
  refuseRequest(Step, Number, result_code::FairShareExceeded,
                RetryAfterMs + Spread(State.Random), std::move(Reason));
}

/// Refuses a request for which the queue has no room.
auto refuseSurplus(const gateway_step &Step, request_number Number) -> void {
  auto &State = Step.State;
  const auto Found = State.Requests.find(Number);
  if (Found == State.Requests.end())
    return;
  const auto PickRequest = makePickRequest(Step, Found->second);
  const auto Pick = pickTarget(State.Book, PickRequest);
  refuseForShare(Step, Number, claimOf(Step, Number, PickRequest),
                 Pick ? Pick->ExpectedMs : 0,
                 "too many requests wait beyond their fair shares");
}

auto holdRequest(const gateway_step &Step, request_number Number,
                 const claim &Claim, const pick &Pick) -> void {
  auto &State = Step.State;
  auto &Request = State.Requests.at(Number);
  Request.IsHeld = true;
  Request.IsHeldForKind = Claim.IsForKind;
  const auto Surplus = State.HeldRequests.hold(
      Number, groupOf(Request), tokensOf(Request.Call),
      State.Fairness.recentUse(*Request.Workspace, fleetRate(State), Step.Now));
  if (Request.HeldSince == time_point()) {
    Request.HeldSince = Step.Now;
    const auto Print = [](double Value) {
      return std::to_string(std::llround(Value));
    };
    log_fields Fields = {
        {"request", Request.Call.Id},
        {"target", Pick.Target.Text},
        {"expected_ms", Print(Pick.ExpectedMs)},
        {"left_ms", Print(leftMs(Request, Step.Now))},
        {"cause", Claim.reason()},
        {"rate_per_s", Print(Claim.Position.RatePerSecond)},
        {"fair_rate_per_s", Print(Claim.Position.LevelPerSecond)},
        {"waiting", std::to_string(State.HeldRequests.size())}};
    addWorkspace(Fields, Request);
    addLogEntry(Step, log_level::Info, "request_held", std::move(Fields));
  }
  if (Surplus)
    refuseSurplus(Step, *Surplus);
}

/// The request is sent next.
auto sendShared(const gateway_step &Step, request_state &Request, bool IsLate,
                bool IsFirst) -> void {
  Step.State.Fairness.recordDecision(tokensOf(Request.Call), !IsLate, Step.Now);
  if (IsFirst)
    record(Step, Request, fair_end::SentFirst);
  else if (IsLate)
    record(Step, Request, fair_end::SentLate);
  else if (Request.HeldSince != time_point())
    record(Step, Request, fair_end::SentAfterWait);
}

/// Sends a request whose kind is hardly served before all others of its
/// workspace's priority. \returns true if it may still be in time.
auto pickFirst(const gateway_step &Step, request_state &Request,
               pick_request PickRequest, pick &Pick) -> bool {
  setFirstPriority(Step, Request);
  PickRequest.Rank = rankOf(Request.Route.Priority);
  if (const auto First = pickTarget(Step.State.Book, PickRequest);
      First && !First->NeedsAdapter)
    Pick = *First;
  return Pick.ExpectedMs <= leftMs(Request, Step.Now);
}

} // namespace

auto nameOf(fair_end End) -> std::string_view {
  switch (End) {
  case fair_end::SentAfterWait:
    return "sent_after_wait";
  case fair_end::SentLate:
    return "sent_late";
  case fair_end::SentFirst:
    return "sent_first";
  case fair_end::Refused:
    return "refused";
  }
  return "refused";
}

auto yieldToOthers(const gateway_step &Step, request_number Number,
                   const pick_request &PickRequest, pick &Pick) -> bool {
  auto &State = Step.State;
  auto &Request = State.Requests.at(Number);
  if (!isShared(State, Request, Pick))
    return false;
  if (!std::exchange(Request.IsShared, true)) {
    const auto Tokens = tokensOf(Request.Call);
    State.Fairness.recordArrival(Number, groupOf(Request), Tokens,
                                 objectiveOf(Request), Step.Now);
    State.Account.record(*Request.Workspace, Tokens, Step.Now);
  }
  const double LeftMs = leftMs(Request, Step.Now);
  const bool WasHeld = Request.HeldSince != time_point();
  const bool IsLate = Pick.ExpectedMs > LeftMs;
  // Also without other requests it would be late: that is no contention.
  const bool IsLateAlone =
      IsLate && !WasHeld && aloneMs(State, Pick, PickRequest.Rank) > LeftMs;
  const bool HasRoom = Pick.ExpectedMs <= RoomPart * LeftMs;
  const bool WasContended = isContended(State, Request.Service, Step.Now);
  // It begins with a request that is late, and lasts while queues are long.
  if (!IsLateAlone && (IsLate || (WasContended && !HasRoom)))
    State.ContendedAt[Request.Service] = Step.Now;
  // It says nothing about what fits.
  if (IsLateAlone)
    return false;
  if (!IsLate && !WasContended) {
    sendShared(Step, Request, false, false);
    return false;
  }
  const auto Claim = claimOf(Step, Number, PickRequest);
  const bool IsOwed = Claim.Position.Standing == fair_standing::Owed;
  if (IsLate && (Claim.yields() || (WasHeld && !IsOwed))) {
    refuseForShare(Step, Number, Claim, Pick.ExpectedMs, Claim.reason());
    return true;
  }
  // It is sent, rather than refused, while it can still be in time.
  const bool IsLast =
      LeftMs <= ExpectedTimeFactor * Pick.ExpectedMs + SendMarginMs;
  if ((Claim.IsAhead && !IsLast) || (Claim.IsAbove && !HasRoom)) {
    holdRequest(Step, Number, Claim, Pick);
    return true;
  }
  if (!Claim.Position.IsKindOwed)
    sendShared(Step, Request, IsLate, false);
  else
    sendShared(Step, Request, !pickFirst(Step, Request, PickRequest, Pick),
               true);
  return false;
}

auto dispatchHeld(const gateway_step &Step, bool All) -> void {
  auto &State = Step.State;
  std::size_t Released = 0;
  for (const auto Number :
       State.HeldRequests.next(All ? fair_queue::MaxSize : MaxExamined)) {
    if (Released >= MaxReleased)
      return;
    // Its caller may have left meanwhile, or its key been removed.
    auto Found = State.Requests.find(Number);
    if (Found != State.Requests.end()) {
      Found->second.IsHeld = false;
      dispatchRequest(Step, Number);
      Found = State.Requests.find(Number);
      if (Found != State.Requests.end() && Found->second.IsHeld)
        continue;
      if (Found != State.Requests.end())
        ++Released;
    }
    State.HeldRequests.erase(Number);
  }
}

} // namespace limpetbridge::serving
