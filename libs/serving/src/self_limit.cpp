#include "serving/self_limit.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// A start is slow by itself: targets, configuration and peers are read.
constexpr duration StartGrace = seconds(5);
/// Parts of the forward bound. An event may wait for two turns of the loop, one
/// to be read and one to be written, so a delay of half the bound uses it up.
constexpr double HotShare = 0.5;
/// Admission returns below this delay.
constexpr double CalmShare = 0.25;
/// Use of the processor share from which on the delay counts as caused by the
/// gateway's own work. Refusals do not help against another cause.
constexpr double BusyShare = 0.7;
/// Use up to which admission returns: what was admitted before needs the rest,
/// as streams go on for seconds.
constexpr double RoomShare = 0.85;
/// Time constants of the smoothed delay: one late turn is no overload, and a
/// few early ones are no end of it.
constexpr double RiseMs = 300;
constexpr double FallMs = 1000;
/// Factor of a cut of the limit, and the time after which the next one may
/// follow if the delay has not fallen.
constexpr double CutFactor = 0.8;
constexpr duration CutInterval = seconds(1);
constexpr double MinLimit = 2;
/// Growth of the limit while there is room, per second: absolute, and as a part
/// of it. Slower than a cut, so that the delay stays low.
constexpr double GrowthPerSecond = 0.25;
constexpr double GrowthShare = 0.03;
/// The limit ends once it is this multiple of the requests in progress.
constexpr double EndFactor = 4;
/// Part of the limit up to which all requests are admitted.
constexpr double FullShare = 0.5;
/// Time in which streams end and make room.
constexpr double RoomTimeMs = 4000;
constexpr double MinLevel = 0.1;
/// An observation counts for this long at most: a suspended process has none.
constexpr double MaxStepMs = 1000;
/// Processor time of an event as a part of that of a request without its
/// events.
constexpr double CostPerEvent = 0.15;
constexpr double MeanWeight = 0.02; ///< Of one request in the mean score.
/// A kind of request is refused at most as if it had this multiple of the mean
/// score.
constexpr double MaxExponent = 4;
/// Of any kind of request: none is refused altogether.
constexpr double MinShare = 0.05;
constexpr duration MinRetryAfter = milliseconds(200);
/// Level below which overload counts as sustained after SustainedTime, and
/// above which it has ended.
constexpr double SustainedLevel = 0.5;
constexpr double EndLevel = 0.9;
constexpr duration SustainedTime = seconds(5);

auto toMs(duration Span) -> double {
  return std::chrono::duration<double, std::milli>(Span).count();
}

} // namespace

auto request_weight::score() const -> double {
  return (1 + CostPerEvent * Events) *
         static_cast<double>(std::max(std::int64_t{1}, ObjectiveMs));
}

auto self_limit::observe(const self_limit_policy &Policy,
                         const loop_sample &Sample, std::size_t InProgress,
                         time_point Now) -> void {
  if (!StartedAt) {
    StartedAt = Now;
    ObservedAt = Now;
  }
  const double StepMs = std::min(toMs(Now - ObservedAt), MaxStepMs);
  ObservedAt = Now;
  if (Policy.CpuShare <= 0 || Now - *StartedAt < StartGrace) {
    const auto Start = StartedAt;
    const auto Mean = MeanScore;
    *this = self_limit();
    StartedAt = Start;
    ObservedAt = Now;
    MeanScore = Mean;
    return;
  }
  const double NewDelayMs = toMs(Sample.Delay);
  const double TimeMs = NewDelayMs > DelayMs ? RiseMs : FallMs;
  DelayMs += StepMs / (StepMs + TimeMs) * (NewDelayMs - DelayMs);
  const double HotMs = HotShare * toMs(Policy.ForwardBound);
  const double UsedShare =
      Sample.UsedCores ? *Sample.UsedCores / Policy.CpuShare : 1;
  const auto Requests = static_cast<double>(InProgress);
  if (DelayMs > HotMs && UsedShare >= BusyShare) {
    // Requests beyond the limit have to end before another cut is of use.
    if (!Limit || (Requests <= *Limit && Now >= NextCut)) {
      Limit = std::max(MinLimit, CutFactor * Requests);
      NextCut = Now + CutInterval;
    }
  } else if (Limit && (UsedShare < BusyShare ||
                       (DelayMs < CalmShare * toMs(Policy.ForwardBound) &&
                        (!Sample.UsedCores || UsedShare < RoomShare)))) {
    *Limit += StepMs / MaxStepMs * (GrowthPerSecond + GrowthShare * *Limit);
    if (*Limit > EndFactor * std::max(Requests, MinLimit))
      Limit.reset();
  }
  setLevel(InProgress);
  if (Level >= EndLevel) {
    OverloadedSince = NoDeadline;
    Sustained = false;
  } else if (Level < SustainedLevel && OverloadedSince == NoDeadline) {
    OverloadedSince = Now;
  } else if (OverloadedSince != NoDeadline &&
             Now - OverloadedSince >= SustainedTime) {
    Sustained = true;
  }
}

auto self_limit::setLevel(std::size_t InProgress) -> void {
  Level = 1;
  if (Limit)
    Level = std::clamp((1 - static_cast<double>(InProgress) / *Limit) /
                           (1 - FullShare),
                       MinLevel, 1.0);
}

auto self_limit::exponentOf(const request_weight &Weight) const -> double {
  return MeanScore > 0 ? std::min(Weight.score() / MeanScore, MaxExponent) : 1;
}

auto self_limit::admittedShare(const request_weight &Weight,
                               std::size_t InProgress) -> double {
  setLevel(InProgress);
  const double Score = Weight.score();
  MeanScore += MeanScore > 0 ? MeanWeight * (Score - MeanScore) : Score;
  if (Level >= 1)
    return 1;
  return std::max(MinShare, std::pow(Level, exponentOf(Weight)));
}

auto self_limit::retryAfter(const request_weight &Weight) const -> duration {
  constexpr double Half = 0.5;
  const double Needed = std::pow(Half, 1 / exponentOf(Weight));
  const auto Rise = milliseconds(
      static_cast<std::int64_t>(std::max(0.0, Needed - Level) * RoomTimeMs));
  return std::max<duration>(MinRetryAfter, Rise);
}

} // namespace limpetbridge::serving
