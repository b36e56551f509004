/// What gateways keep in the store of crashes, so that it is known when all of
/// them have ended. The store is read once, at the start of a gateway, and
/// written when this gateway has seen something new.
#include "details/gateway_parts.h"

#include <algorithm>
#include <random>

namespace limpetbridge::serving {

namespace {

/// Longest wait of a request for the rows, and retry-after of one that is
/// refused then, ms.
constexpr duration MaxRowsWait = milliseconds(400);
constexpr std::int64_t RowsRetryAfterMs = 300;
/// Interval at which the row is written while suspects are quarantined. Their
/// requests keep them from being forgotten, also in the store.
constexpr duration RowRefreshInterval = seconds(600);
/// Longest delay of a write that is due because of another gateway.
constexpr duration MaxRefreshDelay = seconds(5);

auto dispatchRowWaits(const gateway_step &Step) -> void {
  std::vector<request_number> Numbers;
  for (const auto &[Number, Request] : Step.State.Requests)
    if (Request.AwaitsCrashRows)
      Numbers.push_back(Number);
  for (const auto Number : Numbers)
    dispatchRequest(Step, Number);
}

} // namespace

auto addAge(crash_report &Report, std::int64_t AgeMs) -> void {
  for (auto &Suspect : Report.Suspects) {
    if (Suspect.ServedAgeMs >= 0)
      Suspect.ServedAgeMs += AgeMs;
    if (Suspect.RefusedAgeMs >= 0)
      Suspect.RefusedAgeMs += AgeMs;
    for (auto &Charge : Suspect.Charges)
      Charge.AgeMs += AgeMs;
  }
}

auto storeCrashes(const gateway_step &Step) -> void {
  Step.State.CrashRowDueAt = NoDeadline;
  Step.State.CrashesStoredAt = Step.Now;
  Step.Effects.push_back(store_crashes{});
}

auto refreshCrashRow(const gateway_step &Step) -> void {
  auto &State = Step.State;
  const milliseconds Delay(std::uniform_int_distribution<std::int64_t>(
      0, toMilliseconds(MaxRefreshDelay))(State.Random));
  State.CrashRowDueAt = std::min(State.CrashRowDueAt, Step.Now + Delay);
}

auto awaitCrashRows(const gateway_step &Step, request_number Number) -> bool {
  auto &Request = Step.State.Requests.at(Number);
  Request.AwaitsCrashRows = false;
  if (!Request.Call.HasPrompt || Step.Now >= Step.State.CrashRowsAwaitedUntil)
    return false;
  if (Step.Now - Request.Call.Arrived >= MaxRowsWait)
    refuseRequest(Step, Number, result_code::NotReady, RowsRetryAfterMs,
                  "crashes of targets were not read yet");
  else
    Request.AwaitsCrashRows = true;
  return true;
}

auto checkCrashRows(const gateway_step &Step) -> void {
  auto &State = Step.State;
  const bool MayBeForgotten =
      !State.Crashes.empty() &&
      Step.Now - State.CrashesStoredAt >= RowRefreshInterval &&
      !State.Crashes.quarantined(State.Options.Quarantine).empty();
  if (MayBeForgotten && State.CrashRowDueAt == NoDeadline)
    refreshCrashRow(Step);
  if (Step.Now >= State.CrashRowDueAt)
    storeCrashes(Step);
  if (State.CrashRowsAwaitedUntil == time_point())
    return;
  if (Step.Now >= State.CrashRowsAwaitedUntil) {
    State.CrashRowsAwaitedUntil = time_point();
    addLogEntry(Step, log_level::Warning, "crash_rows_unread", {});
  }
  dispatchRowWaits(Step);
}

auto handle(const gateway_step &Step, const crash_rows_read &Event) -> void {
  auto &State = Step.State;
  State.CrashRowsAwaitedUntil = time_point();
  // One of the rows may be that of this gateway.
  if (!Event.Rows.empty())
    State.CrashesStoredAt = Step.Now;
  for (const auto &Row : Event.Rows)
    mergeCrashes(Step, Row.Suspects, "store");
  expireCrashes(Step);
  addLogEntry(
      Step, log_level::Info, "crash_rows_read",
      {{"rows", std::to_string(Event.Rows.size())},
       {"suspects", std::to_string(State.Crashes.suspects().size())},
       {"quarantined",
        std::to_string(
            State.Crashes.quarantined(State.Options.Quarantine).size())}});
  dispatchRowWaits(Step);
}

} // namespace limpetbridge::serving
