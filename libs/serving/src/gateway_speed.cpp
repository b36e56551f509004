/// Speed of the targets whose streams are protected.
#include "details/gateway_parts.h"

#include <chrono>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Slowness from which on a target is logged: slow spells are shorter, and too
/// many for the log of a small gateway.
constexpr double NotableSlowness = 4;

/// Logs that the target became much slower or is no longer.
auto logChange(const gateway_step &Step, const target_entry &Entry,
               double Before) -> void {
  const double After = Entry.Speed.slowness(Step.Now);
  if ((Before >= NotableSlowness) == (After >= NotableSlowness))
    return;
  constexpr double Percent = 100;
  addLogEntry(
      Step, log_level::Info,
      After >= NotableSlowness ? "target_slow" : "target_speed_usual",
      {{"target", Entry.Target.Name.Text},
       {"slowness_percent", std::to_string(std::lround(Percent * After))}});
}

} // namespace

namespace {

/// Remembers the prefill that is due beside own streams.
auto recordDue(const gateway_step &Step) -> void {
  // Two gaps of five chunks each and the tick at which they are reported.
  constexpr duration Memory = milliseconds(700);
  const auto &State = Step.State;
  for (auto &[Name, Entry] : Step.State.Book.all()) {
    if (Entry.OwnLoad.activeCount() == 0 ||
        !State.StreamBounds.contains(Entry.Target.Service))
      continue;
    const double DueMs =
        duePrefillMs(Entry, State.PeerDigestTimes, RankCount - 1, Step.Now);
    if (DueMs < Entry.RecentDueMs && Step.Now - Entry.RecentDueAt < Memory)
      continue;
    Entry.RecentDueMs = DueMs;
    Entry.RecentDueAt = Step.Now;
  }
}

} // namespace

auto observePaces(const gateway_step &Step, const target_paces &Paces) -> void {
  auto &State = Step.State;
  if (!State.Options.MeasuresPace)
    return;
  recordDue(Step);
  for (const auto &[Name, GapMs] : Paces) {
    auto *Entry = State.Book.find(Name);
    if (Entry == nullptr)
      continue;
    const auto Bounds = State.StreamBounds.find(Entry->Target.Service);
    if (Bounds == State.StreamBounds.end())
      continue;
    auto &Usual = State.ServicePaces[Entry->Target.Service];
    // A long run of prefill stretches successive gaps alike.
    const double UsualMs = Usual.usualGapMs();
    if (GapMs >= SlowTarget * UsualMs && Entry->RecentDueMs >= GapMs - UsualMs)
      continue;
    const double Before = Entry->Speed.slowness(Step.Now);
    const auto Ratio = Usual.observe(GapMs, Bounds->second.TokensPerEvent);
    if (!Ratio)
      continue;
    Entry->Speed.observe(*Ratio, Step.Now);
    Usual.learnSpells(*Ratio, Entry->Speed.slowFor(Step.Now));
    logChange(Step, *Entry, Before);
  }
}

auto spellsOf(const gateway_state &State, const service_name &Service)
    -> slow_spells {
  const auto Found = State.ServicePaces.find(Service);
  return Found == State.ServicePaces.end() ? AssumedSpells
                                           : Found->second.spells();
}

} // namespace limpetbridge::serving
