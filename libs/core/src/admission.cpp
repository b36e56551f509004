#include "core/admission.h"

#include "details/handlers.h"

#include <algorithm>
#include <tuple>

namespace limpetbridge::details {

namespace {

constexpr auto HeartbeatInterval = seconds(1);
constexpr std::size_t SeenLimit = 65536; ///< Calls kept per incarnation.
constexpr double SpeedSmoothing = 0.1;   ///< Weight of a new sample.
/// Work that has waited this many times its first-token objective goes first.
constexpr int AgingFactor = 10;

auto queuedCount(const admission_state &Admission) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Admission.WorkItems.begin(), Admission.WorkItems.end(),
                    [](const auto &Item) {
                      return Item.second.Phase == work_phase::Queued;
                    }));
}

/// Sort key of queued work; the smallest is the most urgent. Work that has
/// waited many times its objective goes first, so that low ranks never starve.
struct urgency {
  bool NotOverdue = true;
  std::uint8_t Rank = 9;
  /// The objective has passed; work that can still meet its own goes first.
  bool Missed = false;
  time_point FirstTokenBy;
  attempt_id Id;

  auto operator<=>(const urgency &) const = default;
};

auto urgencyOf(const work_state &Work, time_point Now) -> urgency {
  const auto &Offered = Work.Offer.Work;
  const auto Objective = Offered.FirstTokenBy - Work.QueuedAt;
  const bool Overdue = Now - Work.QueuedAt > Objective * AgingFactor &&
                       Offered.FirstTokenBy != NoDeadline;
  return {!Overdue, Offered.Rank, Now > Offered.FirstTokenBy,
          Offered.FirstTokenBy, Work.Offer.Attempt};
}

/// Records a call that must not run twice; true if it is a duplicate. Requests
/// of an entry's incarnation are numbered upwards, so that the oldest records
/// can be dropped and every call up to them be treated as a duplicate.
auto isDuplicateCall(admission_state &Admission, const attempt_id &Id) -> bool {
  auto &Calls = Admission.Seen[Id.Request.Entry];
  if (Id.Request.Counter <= Calls.RefusedUpTo || !Calls.Seen.insert(Id).second)
    return true;
  if (Calls.Seen.size() > SeenLimit) {
    Calls.RefusedUpTo = Calls.Seen.begin()->Request.Counter;
    Calls.Seen.erase(Calls.Seen.begin());
  }
  return false;
}

auto refuseOffer(const context &Ctx, const attempt_id &Id, result_code Code,
                 std::string Detail) -> void {
  attempt_ended End;
  End.Attempt = Id;
  End.Outcome = run_outcome::NotRun;
  End.Code = Code;
  End.Detail = std::move(Detail);
  End.Hint = currentLoadHint(Ctx);
  Ctx.emit(count_metric{"refused", describe(Code).Name});
  Ctx.emit(send_end{std::move(End)});
}

auto updateDrainRevision(const context &Ctx, const work_offered &Event)
    -> void {
  auto &Admission = Ctx.State.Admission;
  // Entries offer work only to targets that are not drained at their revision,
  // so an offer at a newer revision ends the drain.
  if (Event.Revision <= Admission.DrainRevision)
    return;
  Admission.DrainRevision = Event.Revision;
  Admission.Drained = false;
}

auto queueDelay(const context &Ctx) -> duration {
  const auto &Admission = Ctx.State.Admission;
  const auto Slots = std::max(Ctx.State.Options.Agent.Slots, 1U);
  duration Ahead{};
  for (const auto &[Id, Work] : Admission.WorkItems)
    if (Work.Phase == work_phase::Queued)
      Ahead += expectedService(Admission, Work.Offer.Work);
  return Ahead / Slots;
}

/// Expected delay of offered work: queued work of its own and more important
/// ranks.
auto queueDelayAhead(const context &Ctx, const work_offered &Event)
    -> duration {
  const auto &Admission = Ctx.State.Admission;
  duration Ahead{};
  for (const auto &[Id, Work] : Admission.WorkItems)
    if (Work.Phase == work_phase::Queued &&
        Work.Offer.Work.Rank <= Event.Work.Rank)
      Ahead += expectedService(Admission, Work.Offer.Work);
  return Ahead / std::max(Ctx.State.Options.Agent.Slots, 1U);
}

auto fitsAccelerator(const context &Ctx, const work &Work) -> bool {
  const auto Need = Work.Memory.Value + Work.AdapterMemory.Value;
  return Need <= Ctx.State.Ledger.Capacity.Value;
}

auto leastUrgentQueued(admission_state &Admission, time_point Now)
    -> work_state * {
  const auto Order = queueOrder(Admission, Now);
  return Order.empty() ? nullptr : Order.back();
}

/// Makes room in a full queue by refusing less important work; false if there
/// is none.
auto makeQueueRoom(const context &Ctx, const work_offered &Event) -> bool {
  auto &Admission = Ctx.State.Admission;
  if (queuedCount(Admission) < Ctx.State.Options.Agent.QueueLimit)
    return true;
  auto *Last = leastUrgentQueued(Admission, Ctx.Now);
  if (Last == nullptr || Last->Offer.Work.Rank <= Event.Work.Rank)
    return false;
  refuseWork(Ctx, Last->Offer.Attempt, result_code::QueueFull,
             "displaced from the full queue by more important work");
  return true;
}

auto checkOffer(const context &Ctx, const work_offered &Event) -> result<void> {
  const auto &State = Ctx.State;
  const auto &Self = State.Options.Self;
  const bool Engine = State.Options.Agent.Kind == target_kind::Engine;
  if (State.Drain.Draining)
    return failure(result_code::Draining, "the agent is shutting down");
  if (State.Admission.Drained)
    return failure(result_code::TargetDrained,
                   "an operator has declared the target drained");
  if (Event.Agent.Value != 0 && Event.Agent != Self.Incarnation)
    return failure(result_code::StaleIncarnation, "the agent was restarted");
  if (Engine != (Event.Work.Kind == work_kind::Generate))
    return failure(result_code::NoTarget,
                   "the target does not run this kind of work");
  if (Engine && !fitsAccelerator(Ctx, Event.Work))
    return failure(result_code::NoMemory,
                   Event.Work.Unit.Text +
                       " needs more memory than the accelerator has");
  if (Engine && State.Ledger.Phase == authority_phase::Superseded)
    return failure(result_code::Draining, "another agent has taken over");
  const auto Load = Engine && !isResident(State.Ledger, Event.Work)
                        ? duration(milliseconds(Event.Work.LoadMs))
                        : duration::zero();
  const auto Needed = Load + queueDelayAhead(Ctx, Event) +
                      expectedService(State.Admission, Event.Work);
  if (Ctx.Now + Needed > Event.Work.Deadline)
    return failure(result_code::DeadlineUnreachable,
                   "the work is expected to take " +
                       std::to_string(toMilliseconds(Needed)) +
                       " ms, which is past its deadline");
  return boost::outcome_v2::success();
}

auto hasServiceSlot(const context &Ctx) -> bool {
  const auto &Options = Ctx.State.Options.Agent;
  return Ctx.State.Admission.Running < Options.Slots;
}

/// True if a slot is free for the work. The last slots are reserved for short
/// work.
auto hasSlot(const context &Ctx, const work &Work) -> bool {
  const auto &Options = Ctx.State.Options.Agent;
  const auto &Admission = Ctx.State.Admission;
  if (Admission.Running >= Options.Slots)
    return false;
  const auto LongSlots = Options.Slots > Options.ShortSlots
                             ? Options.Slots - Options.ShortSlots
                             : 1;
  return Work.Short || Admission.RunningLong < LongSlots;
}

auto ledgerEntries(const context &Ctx, const work &Work)
    -> std::vector<ledger_entry *> {
  std::vector<ledger_entry *> Entries;
  if (Work.Kind != work_kind::Generate)
    return Entries;
  for (const auto &Loadable : requiredLoadables(Work))
    Entries.push_back(&Ctx.State.Ledger.Entries[Loadable]);
  return Entries;
}

auto releaseSlot(const context &Ctx, const work_state &Work) -> void {
  if (Work.Phase != work_phase::Running)
    return;
  auto &Admission = Ctx.State.Admission;
  --Admission.Running;
  if (!Work.Offer.Work.Short)
    --Admission.RunningLong;
  for (auto *Entry : ledgerEntries(Ctx, Work.Offer.Work)) {
    Entry->Running -= std::min(Entry->Running, 1U);
    Entry->LastUsed = Ctx.Now;
  }
}

auto updateSpeed(const context &Ctx, const work_state &Work,
                 std::uint32_t Total) -> void {
  auto &Speed = Ctx.State.Admission.Speed;
  const double Took = asMilliseconds(Ctx.Now - Work.StartedAt);
  if (Work.Offer.Work.Kind == work_kind::Call) {
    Speed.CallMs += SpeedSmoothing * (Took - Speed.CallMs);
    return;
  }
  const double Prompt = Speed.PromptTokenMs * Work.Offer.Work.PromptTokens;
  if (Total <= Work.Offer.ResumeOffset)
    return;
  const double Tokens = Total - Work.Offer.ResumeOffset;
  const double TokenMs = std::max(0.1, (Took - Prompt) / Tokens);
  Speed.TokenMs += SpeedSmoothing * (TokenMs - Speed.TokenMs);
}

auto makeAttemptEnd(const target_ended &Event) -> attempt_ended {
  attempt_ended End;
  End.Attempt = Event.Attempt;
  End.Detail = Event.Detail;
  End.Total = Event.Total;
  End.Body = Event.Body;
  End.Status = Event.Status;
  switch (Event.End) {
  case target_end::Whole:
    End.Outcome = run_outcome::Done;
    End.Code = result_code::Ok;
    break;
  case target_end::Refused:
    End.Outcome = run_outcome::NotRun;
    End.Code = result_code::TargetRefused;
    break;
  case target_end::Unsent:
    End.Outcome = run_outcome::NotRun;
    End.Code = result_code::TargetUnreachable;
    break;
  case target_end::Broken:
    End.Outcome = run_outcome::Unknown;
    End.Code = result_code::OutcomeUnknown;
    break;
  }
  constexpr std::uint32_t ServerFailure = 500;
  if (End.Outcome == run_outcome::Done && Event.Status >= ServerFailure) {
    End.Outcome = run_outcome::Unknown;
    End.Code = result_code::ServiceFailed;
  }
  return End;
}

auto refuseExpired(const context &Ctx) -> void {
  std::vector<attempt_id> Expired;
  for (const auto &[Id, Work] : Ctx.State.Admission.WorkItems)
    if (Work.Phase == work_phase::Queued && Ctx.Now >= Work.Offer.Work.Deadline)
      Expired.push_back(Id);
  for (const auto &Id : Expired)
    refuseWork(Ctx, Id, result_code::DeadlineUnreachable,
               "the deadline passed while the work was queued");
}

/// Sends heartbeats for work without output, so that entries can take silence
/// for a failure. A run that stays silent for longer than its prompt explains
/// gets none.
auto sendHeartbeats(const context &Ctx) -> void {
  constexpr int PromptTimeFactor = 3;
  constexpr auto Grace = seconds(5);
  const auto &Speed = Ctx.State.Admission.Speed;
  for (auto &[Id, Work] : Ctx.State.Admission.WorkItems) {
    if (Ctx.Now < Work.NextHeartbeatAt || Work.Cancelled)
      continue;
    const auto Prompt =
        fromMilliseconds(Speed.PromptTokenMs * Work.Offer.Work.PromptTokens);
    const bool Stalled =
        Work.Phase == work_phase::Running &&
        Ctx.Now - Work.StartedAt > Prompt * PromptTimeFactor + Grace;
    Work.NextHeartbeatAt = Ctx.Now + HeartbeatInterval;
    if (!Stalled)
      Ctx.emit(send_frame{Id, {Work.Sent, {}}});
  }
}

auto dispatchCalls(const context &Ctx) -> void {
  for (auto *Work : queueOrder(Ctx.State.Admission, Ctx.Now)) {
    if (!hasServiceSlot(Ctx))
      return;
    if (Work->Offer.Work.isClaimed())
      startClaim(Ctx, *Work);
    else
      dispatchWork(Ctx, *Work);
  }
}

auto dispatchGenerations(const context &Ctx) -> void {
  for (auto *Work : queueOrder(Ctx.State.Admission, Ctx.Now)) {
    const auto &Offered = Work->Offer.Work;
    if (!hasSlot(Ctx, Offered) || !isResident(Ctx.State.Ledger, Offered))
      continue;
    dispatchWork(Ctx, *Work);
  }
}

} // namespace

auto requiredLoadables(const work &Work) -> std::vector<loadable> {
  std::vector<loadable> Needed{{Work.Unit, {}}};
  if (!Work.Adapter.empty())
    Needed.push_back({Work.Unit, Work.Adapter});
  return Needed;
}

auto expectedService(const admission_state &Admission, const work &Work)
    -> duration {
  const auto &Speed = Admission.Speed;
  if (Work.Kind == work_kind::Call)
    return fromMilliseconds(Speed.CallMs);
  return fromMilliseconds(Speed.PromptTokenMs * Work.PromptTokens +
                          Speed.TokenMs * Work.MaxTokens);
}

auto currentLoadHint(const context &Ctx) -> load_hint {
  const auto &Options = Ctx.State.Options.Agent;
  const auto &Admission = Ctx.State.Admission;
  const auto Running = std::min(Admission.Running, Options.Slots);
  return {queueDelay(Ctx), Options.Slots - Running,
          Ctx.State.Options.Self.Incarnation, Admission.DrainRevision};
}

auto queueOrder(admission_state &State, time_point Now)
    -> std::vector<work_state *> {
  std::vector<work_state *> Order;
  for (auto &[Id, Work] : State.WorkItems)
    if (Work.Phase == work_phase::Queued)
      Order.push_back(&Work);
  std::sort(Order.begin(), Order.end(),
            [Now](const work_state *Left, const work_state *Right) {
              return urgencyOf(*Left, Now) < urgencyOf(*Right, Now);
            });
  return Order;
}

auto endWork(const context &Ctx, const attempt_id &Id, attempt_ended End)
    -> void {
  auto &WorkItems = Ctx.State.Admission.WorkItems;
  const auto Found = WorkItems.find(Id);
  releaseSlot(Ctx, Found->second);
  const bool Cancelled = Found->second.Cancelled;
  WorkItems.erase(Found);
  Ctx.recordNote(note_kind::WorkEnded, toString(Id),
                 targetOf(Ctx.State.Options.Self.Name), "",
                 std::string(nameOf(End.Outcome)));
  if (Cancelled)
    return;
  End.Hint = currentLoadHint(Ctx);
  Ctx.emit(send_end{std::move(End)});
}

auto refuseWork(const context &Ctx, const attempt_id &Id, result_code Code,
                std::string Detail) -> void {
  Ctx.emit(count_metric{"refused", describe(Code).Name});
  attempt_ended End;
  End.Attempt = Id;
  End.Outcome = run_outcome::NotRun;
  End.Code = Code;
  End.Detail = std::move(Detail);
  endWork(Ctx, Id, std::move(End));
}

auto dispatchWork(const context &Ctx, work_state &Work) -> void {
  auto &Admission = Ctx.State.Admission;
  Work.Phase = work_phase::Running;
  Work.StartedAt = Ctx.Now;
  ++Admission.Running;
  if (!Work.Offer.Work.Short)
    ++Admission.RunningLong;
  for (auto *Entry : ledgerEntries(Ctx, Work.Offer.Work)) {
    ++Entry->Running;
    Entry->LastUsed = Ctx.Now;
  }
  Ctx.emit(observe_metric{"queue", Work.Offer.Work.Short ? "short" : "long",
                          asMilliseconds(Ctx.Now - Work.QueuedAt)});
  Ctx.recordNote(note_kind::WorkDispatched, toString(Work.Offer.Attempt),
                 targetOf(Ctx.State.Options.Self.Name), "", "");
  Ctx.emit(run_work{Work.Offer.Attempt, Work.Offer.Work,
                    Work.Offer.ResumeOffset, Work.Offer.ResumeText});
}

auto onOffer(const context &Ctx, const work_offered &Event) -> void {
  auto &Admission = Ctx.State.Admission;
  if (Admission.WorkItems.contains(Event.Attempt))
    return;
  // Recorded before any refusal, since a delayed duplicate of a refused offer
  // must not run.
  if (Event.Work.runsAtMostOnce() && isDuplicateCall(Admission, Event.Attempt))
    return;
  updateDrainRevision(Ctx, Event);
  auto Allowed = checkOffer(Ctx, Event);
  if (!Allowed) {
    const auto Error = Allowed.error();
    refuseOffer(Ctx, Event.Attempt, Error.Code, Error.Detail);
    return;
  }
  if (!makeQueueRoom(Ctx, Event)) {
    refuseOffer(Ctx, Event.Attempt, result_code::QueueFull,
                "the queue of the agent is full");
    return;
  }
  auto &Work = Admission.WorkItems[Event.Attempt];
  Work.Offer = Event;
  Work.QueuedAt = Ctx.Now;
  Work.NextHeartbeatAt = Ctx.Now + HeartbeatInterval;
  Work.Sent = Event.ResumeOffset;
  scheduleQueuedWork(Ctx);
}

auto onCancelled(const context &Ctx, const work_cancelled &Event) -> void {
  auto &WorkItems = Ctx.State.Admission.WorkItems;
  const auto Found = WorkItems.find(Event.Attempt);
  if (Found == WorkItems.end())
    return;
  auto &Work = Found->second;
  Work.Cancelled = true;
  const bool Generates = Work.Offer.Work.Kind == work_kind::Generate;
  if (Work.Phase == work_phase::Running && Generates)
    Ctx.emit(stop_work{Event.Attempt});
  const bool Finished = Work.Phase == work_phase::Queued ||
                        (Work.Phase == work_phase::Running && Generates);
  if (!Finished)
    return;
  releaseSlot(Ctx, Work);
  WorkItems.erase(Found);
  scheduleQueuedWork(Ctx);
}

auto onTargetState(const context &Ctx, const target_state_received &Event)
    -> void {
  auto &Admission = Ctx.State.Admission;
  if (Event.Revision < Admission.DrainRevision)
    return;
  Admission.DrainRevision = Event.Revision;
  Admission.Drained = Event.Drained;
}

auto onTargetProgress(const context &Ctx, const target_progressed &Event)
    -> void {
  auto &WorkItems = Ctx.State.Admission.WorkItems;
  const auto Found = WorkItems.find(Event.Attempt);
  if (Found == WorkItems.end() || Found->second.Phase != work_phase::Running)
    return;
  auto &Work = Found->second;
  Work.NextHeartbeatAt = Ctx.Now + HeartbeatInterval;
  Work.Sent =
      std::max(Work.Sent, Event.Frame.Offset + static_cast<std::uint32_t>(
                                                   Event.Frame.Pieces.size()));
  Ctx.emit(send_frame{Event.Attempt, Event.Frame});
}

auto onTargetEnded(const context &Ctx, const target_ended &Event) -> void {
  auto &WorkItems = Ctx.State.Admission.WorkItems;
  const auto Found = WorkItems.find(Event.Attempt);
  if (Found == WorkItems.end() || Found->second.Phase != work_phase::Running)
    return;
  auto &Work = Found->second;
  if (Event.End == target_end::Whole)
    updateSpeed(Ctx, Work, Event.Total);
  if (Event.End == target_end::Refused &&
      Work.Offer.Work.Kind == work_kind::Generate)
    Ctx.State.Ledger.NextReadAt = Ctx.Now;
  auto End = makeAttemptEnd(Event);
  if (!Work.Offer.Work.isClaimed()) {
    endWork(Ctx, Event.Attempt, std::move(End));
    scheduleQueuedWork(Ctx);
    return;
  }
  if (End.Outcome == run_outcome::Done)
    settleClaim(Ctx, Work, Event);
  else if (End.Outcome == run_outcome::NotRun)
    abandonClaim(Ctx, Work);
  else
    endWork(Ctx, Event.Attempt, std::move(End));
  scheduleQueuedWork(Ctx);
}

auto scheduleQueuedWork(const context &Ctx) -> void {
  if (Ctx.State.Options.Agent.Kind == target_kind::Service) {
    dispatchCalls(Ctx);
    return;
  }
  dispatchGenerations(Ctx);
  planLoads(Ctx);
}

auto tickAdmission(const context &Ctx) -> void {
  refuseExpired(Ctx);
  tickLoads(Ctx);
  sendHeartbeats(Ctx);
  scheduleQueuedWork(Ctx);
}

} // namespace limpetbridge::details
