#include "core/reducer.h"

#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge {

namespace {

constexpr auto BusyTick = milliseconds(10);
constexpr auto IdleTick = milliseconds(100);

/// Passes each event to the handlers of the module that it belongs to.
struct dispatcher {
  details::context Ctx;

  auto operator()(const tick &) const -> void {
    if (Ctx.State.isEntry()) {
      details::tickConfiguration(Ctx);
      details::tickRequests(Ctx);
    } else {
      details::tickClaims(Ctx);
      details::tickLedger(Ctx);
      details::tickAdmission(Ctx);
    }
    details::tickDrain(Ctx);
  }
  auto operator()(const drain_requested &) const -> void {
    details::onDrain(Ctx);
  }
  auto operator()(const instances_listed &Event) const -> void {
    details::onInstances(Ctx, Event);
  }
  auto operator()(const table_replied &Event) const -> void {
    if (details::onConfigurationReply(Ctx, Event))
      return;
    if (details::onLedgerReply(Ctx, Event))
      return;
    details::onClaimReply(Ctx, Event);
  }
  auto operator()(const object_replied &Event) const -> void {
    details::onSnapshotReply(Ctx, Event);
  }
  auto operator()(const changes_received &Event) const -> void {
    details::onChanges(Ctx, Event);
  }
  auto operator()(const revision_seen &Event) const -> void {
    details::onRevisionSeen(Ctx, Event);
  }
  auto operator()(const changes_acknowledged &Event) const -> void {
    details::onChangesAcknowledged(Ctx, Event);
  }
  auto operator()(const command_arrived &Event) const -> void {
    details::onCommand(Ctx, Event);
  }
  auto operator()(const request_arrived &Event) const -> void {
    details::onRequest(Ctx, Event);
  }
  auto operator()(const caller_left &Event) const -> void {
    details::onCallerLeft(Ctx, Event);
  }
  auto operator()(const attempt_progressed &Event) const -> void {
    details::onProgress(Ctx, Event);
  }
  auto operator()(const attempt_ended &Event) const -> void {
    details::onAttemptEnded(Ctx, Event);
  }
  auto operator()(const work_offered &Event) const -> void {
    details::onOffer(Ctx, Event);
  }
  auto operator()(const work_cancelled &Event) const -> void {
    details::onCancelled(Ctx, Event);
  }
  auto operator()(const target_state_received &Event) const -> void {
    details::onTargetState(Ctx, Event);
  }
  auto operator()(const target_progressed &Event) const -> void {
    details::onTargetProgress(Ctx, Event);
  }
  auto operator()(const target_ended &Event) const -> void {
    details::onTargetEnded(Ctx, Event);
  }
  auto operator()(const order_replied &Event) const -> void {
    details::onOrderReply(Ctx, Event);
  }
  auto operator()(const engine_reported &Event) const -> void {
    details::onEngineReport(Ctx, Event);
  }
};

auto isBusy(const node_state &State) -> bool {
  return !State.Requests.Open.empty() || !State.Admission.WorkItems.empty() ||
         !State.Configuration.Commands.empty() || State.Drain.Draining;
}

} // namespace

auto reduce(node_state &State, const event &Event, time_point Now) -> effects {
  effects Out;
  std::visit(dispatcher{{State, Now, Out}}, Event);
  return Out;
}

auto nextTick(const node_state &State, time_point Now) -> time_point {
  return Now + (isBusy(State) ? BusyTick : IdleTick);
}

auto isReady(const node_state &State) -> bool {
  if (State.Drain.Draining)
    return false;
  return !State.isEntry() || State.Configuration.Loaded;
}

auto random_state::next() -> std::uint64_t {
  // SplitMix64: small, seeded, and with the same results on every machine.
  Value += 0x9E3779B97F4A7C15ULL;
  std::uint64_t Mixed = Value;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

auto makeNode(node_options Options, std::uint64_t Seed) -> node_state {
  constexpr double RetryBurst = 32;
  constexpr double HedgeBurst = 8;
  node_state State;
  State.Random.Value = Seed;
  State.Ledger.Capacity = Options.Agent.Memory;
  State.Ledger.ChecksFence = Options.Agent.ChecksFence;
  State.Requests.RetryBudget = {RetryBurst, RetryBurst,
                                Options.Entry.RetryShare};
  State.Requests.HedgeBudget = {HedgeBurst, HedgeBurst,
                                Options.Entry.HedgeShare};
  State.Options = std::move(Options);
  return State;
}

} // namespace limpetbridge
