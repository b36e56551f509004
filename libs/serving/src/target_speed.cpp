#include "serving/target_speed.h"

#include <algorithm>
#include <chrono>

namespace limpetbridge::serving {

namespace {

/// Two gaps that differ by more are not steady. One chunk of prefill, about
/// 53 ms beside 27 ms, makes a gap three times as long.
constexpr double MaxUnsteadiness = 1.5;
/// A target that is 7.5 times slower has two gaps in 410 ms, so a window holds
/// an observation of each stream there.
constexpr duration HalfWindow = milliseconds(300);
/// Time in which a slowness that nobody observes any more returns to 1.
constexpr duration RecoveryTime = seconds(1);
constexpr double MaxRatio = 20;
/// Steps of the usual gap for one observation. Their ratio makes it the lowest
/// fifth, whatever share of the targets is slow.
constexpr double UsualRise = 0.005;
constexpr double UsualFall = 0.02;
/// Weight of one observation in the share and in the factor of slow spells. A
/// spell is observed several times, so the share needs many.
constexpr double SpellShareWeight = 1.0 / 500;
constexpr double SpellFactorWeight = 1.0 / 50;
/// A target that is slower than this, or for longer, is not in a spell.
constexpr double MaxSpellFactor = 4;
constexpr duration MaxSpell = milliseconds(1500);

auto toMs(duration Time) -> double {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

auto pace_meter::read(std::uint64_t Events, time_point Now, bool Queued)
    -> std::optional<double> {
  if (Events == LastEvents)
    return std::nullopt;
  const bool OneEvent = LastEvents > 0 && Events == LastEvents + 1 && !Queued;
  const double GapMs = OneEvent ? toMs(Now - LastAt) : 0;
  const double Before = std::exchange(LastGapMs, GapMs);
  LastEvents = Events;
  LastAt = Now;
  if (GapMs <= 0 || Before <= 0 ||
      std::max(GapMs, Before) > MaxUnsteadiness * std::min(GapMs, Before))
    return std::nullopt;
  return (GapMs + Before) / 2;
}

auto addPace(target_paces &Paces, const target_name &Target, double GapMs)
    -> void {
  const auto [Found, Added] = Paces.try_emplace(Target, GapMs);
  Found->second = std::min(Found->second, GapMs);
}

auto recent_least::add(double Value, time_point Now) -> void {
  if (Now - HalfStart >= 2 * HalfWindow)
    Halves = {};
  else if (Now - HalfStart >= HalfWindow)
    Halves = {std::nullopt, Halves[0]};
  if (Now - HalfStart >= HalfWindow)
    HalfStart = Now;
  Halves[0] = std::min(Value, Halves[0].value_or(Value));
}

auto recent_least::least(time_point Now) const -> std::optional<double> {
  if (Now - HalfStart >= 2 * HalfWindow || !Halves[0])
    return std::nullopt;
  // Once the current half is full, the one before it is too old.
  if (Now - HalfStart >= HalfWindow || !Halves[1])
    return Halves[0];
  return std::min(*Halves[0], *Halves[1]);
}

auto target_speed::observe(double Ratio, time_point Now) -> void {
  if (!(Ratio > 0))
    return;
  if (!Recent.least(Now))
    SlowSince = NoDeadline;
  Recent.add(std::min(Ratio, MaxRatio), Now);
  if (Ratio < SlowTarget)
    SlowSince = NoDeadline;
  else
    SlowSince = std::min(SlowSince, Now);
  Last = Recent.least(Now).value_or(1);
  LastAt = Now;
}

auto target_speed::slowness(time_point Now) const -> double {
  if (LastAt == time_point())
    return 1;
  double Ratio = Last;
  if (const auto Least = Recent.least(Now))
    Ratio = *Least;
  else if (const auto Idle = Now - LastAt - HalfWindow; Idle > duration::zero())
    Ratio = 1 + (Last - 1) * std::max(0.0, 1 - toMs(Idle) / toMs(RecoveryTime));
  return Ratio < SlowTarget ? 1 : Ratio;
}

auto target_speed::slowFor(time_point Now) const -> duration {
  return SlowSince == NoDeadline ? duration::zero() : Now - SlowSince;
}

auto service_pace::observe(double GapMs, std::uint32_t TokensPerEvent)
    -> std::optional<double> {
  const double LeastMs = engine_pace().StepMs * std::max(1U, TokensPerEvent);
  // Events that were held up on the way and read together.
  if (!(GapMs >= LeastMs / 2))
    return std::nullopt;
  UsualGapMs = std::max(UsualGapMs, LeastMs);
  const double Ratio = GapMs / UsualGapMs;
  UsualGapMs *= Ratio > 1 ? 1 + UsualRise : 1 - UsualFall;
  UsualGapMs = std::max(UsualGapMs, LeastMs);
  return Ratio;
}

auto service_pace::learnSpells(double Ratio, duration SlowFor) -> void {
  if (Ratio > MaxSpellFactor || SlowFor > MaxSpell)
    return;
  const bool IsSlow = Ratio >= SlowTarget;
  Spells.Share += SpellShareWeight * ((IsSlow ? 1 : 0) - Spells.Share);
  if (IsSlow)
    Spells.Factor += SpellFactorWeight * (Ratio - Spells.Factor);
}

} // namespace limpetbridge::serving
