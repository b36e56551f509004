// Graceful shutdown: refuses new work, finishes running work, then stops.
#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge::details {

namespace {

auto requestStop(const context &Ctx, result_code Code) -> void {
  auto &Drain = Ctx.State.Drain;
  if (Drain.Stopped)
    return;
  Drain.Stopped = true;
  Ctx.emit(stop_process{Code});
}

/// Answers what is still open, so that no caller's connection ends without an
/// answer.
auto answerOpen(const context &Ctx) -> void {
  if (!Ctx.State.isEntry())
    return;
  cutRequests(Ctx);
  cutCommands(Ctx);
}

auto isIdle(const node_state &State) -> bool {
  if (State.isEntry())
    return State.Requests.Open.empty() && State.Configuration.Commands.empty();
  return State.Admission.WorkItems.empty() && State.Ledger.Orders.empty();
}

/// Refuses queued work, so that entries retry it on other targets.
auto refuseQueuedWork(const context &Ctx) -> void {
  std::vector<attempt_id> Queued;
  for (const auto &[Id, Work] : Ctx.State.Admission.WorkItems)
    if (Work.Phase == work_phase::Queued)
      Queued.push_back(Id);
  for (const auto &Id : Queued)
    refuseWork(Ctx, Id, result_code::Draining, "the agent is shutting down");
}

} // namespace

auto onDrain(const context &Ctx) -> void {
  auto &Drain = Ctx.State.Drain;
  if (Drain.Draining)
    return;
  Drain.Draining = true;
  Drain.Deadline = Ctx.Now + Ctx.State.Options.DrainTimeout;
  // An entry accepts requests until the load balancer has had time to see that
  // it is not ready.
  Drain.RefuseFrom =
      Ctx.State.isEntry()
          ? std::min(Ctx.Now + Ctx.State.Options.Entry.BalancerWait,
                     Drain.Deadline)
          : Ctx.Now;
  Ctx.recordNote(note_kind::DrainStarted, "", {}, "", "");
  if (!Ctx.State.isEntry())
    refuseQueuedWork(Ctx);
  if (isMutated(Ctx.State.Options, mutation::CutAtDrain))
    requestStop(Ctx, result_code::Ok);
}

auto tickDrain(const context &Ctx) -> void {
  const auto &Drain = Ctx.State.Drain;
  if (!Drain.Draining)
    return;
  const bool Superseded = Ctx.State.Ledger.Phase == authority_phase::Superseded;
  if (Ctx.Now >= Drain.RefuseFrom && isIdle(Ctx.State))
    requestStop(Ctx,
                Superseded ? result_code::StaleIncarnation : result_code::Ok);
  else if (Ctx.Now >= Drain.Deadline) {
    answerOpen(Ctx);
    requestStop(Ctx, result_code::Interrupted);
  }
}

} // namespace limpetbridge::details
