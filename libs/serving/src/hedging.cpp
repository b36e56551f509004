#include "serving/hedging.h"

#include <algorithm>
#include <vector>

namespace limpetbridge::serving {

namespace {

/// Share of the attempts of a class that are not slow. It leaves more slow
/// attempts than a usual limit of 5 extra per hundred, so that up to one slow
/// answer in ten does not become part of what counts as usual.
constexpr double UsualShare = 0.9;
/// An attempt is not slow before this multiple of the median: where times vary
/// little, those beyond the percentile gain nothing from a second attempt.
constexpr int MedianMultiple = 2;
/// Least time until an attempt counts as slow: a round trip between data
/// centres and a late timer take several milliseconds.
constexpr duration MinSlowAfter = milliseconds(10);
/// Samples older than this are not used, nor more than the last ones.
constexpr duration SampleWindow = seconds(60);
constexpr std::size_t MaxSamples = 256;
/// Time for which a computed percentile is used.
constexpr duration PercentileValidity = milliseconds(500);
/// Hedges that may be sent at once after a time without any.
constexpr double MaxTokens = 3;
/// Slots of a target that states none.
constexpr std::uint32_t AssumedSlots = 4;
/// Share of the slots in use from which on the fleet counts as loaded: beyond
/// it the queues that extra attempts cause cost more than they save.
constexpr double LoadedShare = 0.5;
/// Share of failed attempts up to which a target is trusted with a hedge.
constexpr double MaxFailureShare = 0.2;
/// Time for which a refusal shows that capacity is short.
constexpr duration RefusalMemory = seconds(2);

auto slotsOf(const target_entry &Entry) -> std::uint32_t {
  return Entry.Target.Slots > 0 ? Entry.Target.Slots : AssumedSlots;
}

auto toMs(duration Span) -> double {
  return std::chrono::duration<double, std::milli>(Span).count();
}

} // namespace

auto nameOf(hedge_verdict Verdict) -> std::string_view {
  switch (Verdict) {
  case hedge_verdict::Sent:
    return "sent";
  case hedge_verdict::Won:
    return "won";
  case hedge_verdict::Lost:
    return "lost";
  case hedge_verdict::Over:
    return "refused_limit";
  case hedge_verdict::RetryBudget:
    return "refused_retry_budget";
  case hedge_verdict::FleetLoaded:
    return "refused_fleet_loaded";
  case hedge_verdict::NoFreeTarget:
    return "refused_no_free_target";
  case hedge_verdict::Deadline:
    return "refused_deadline";
  case hedge_verdict::Suspect:
    return "refused_suspect";
  case hedge_verdict::KeyInDoubt:
    return "refused_key";
  case hedge_verdict::StaleView:
    return "refused_stale_view";
  case hedge_verdict::GatewayStops:
    return "refused_stop";
  }
  return "unknown";
}

auto answer_times::record(const hedge_class &Class, duration Took,
                          time_point Now) -> void {
  auto &Times = Classes[Class].Times;
  Times.emplace_back(Now, Took);
  if (Times.size() > MaxSamples)
    Times.pop_front();
}

auto answer_times::slowAfter(const hedge_class &Class, time_point Now)
    -> std::optional<duration> {
  const auto Found = Classes.find(Class);
  if (Found == Classes.end())
    return std::nullopt;
  auto &Samples = Found->second;
  auto &Times = Samples.Times;
  while (!Times.empty() && Now - Times.front().first > SampleWindow)
    Times.pop_front();
  if (Times.size() < MinSamples)
    return std::nullopt;
  if (Samples.SlowAfter && Now - Samples.ComputedAt < PercentileValidity)
    return Samples.SlowAfter;
  Samples.ComputedAt = Now;
  std::vector<duration> Sorted;
  Sorted.reserve(Times.size());
  for (const auto &[At, Took] : Times)
    Sorted.push_back(Took);
  std::sort(Sorted.begin(), Sorted.end());
  const auto Rank = static_cast<std::size_t>(
      UsualShare * static_cast<double>(Sorted.size() - 1));
  Samples.SlowAfter = std::max(
      {Sorted[Rank], MedianMultiple * Sorted[Sorted.size() / 2], MinSlowAfter});
  return Samples.SlowAfter;
}

auto answer_times::expire(time_point Now) -> void {
  std::erase_if(Classes, [&](const auto &Known) {
    const auto &Times = Known.second.Times;
    return Times.empty() || Now - Times.back().first > SampleWindow;
  });
}

auto hedge_bucket::recordRequest(const hedge_policy &Policy) -> void {
  constexpr double Percent = 100;
  Tokens = std::min(MaxTokens, Tokens + Policy.MaxExtraPercent / Percent);
}

auto hasQueue(const target_entry &Entry, const pick_request &Request,
              duration SlowAfter) -> bool {
  constexpr double QueueShare = 0.5;
  const auto Load = Entry.load();
  if (Load.activeCount() >= slotsOf(Entry))
    return true;
  return Request.Prompt != nullptr &&
         std::max(Entry.Slowness, 1.0) * Load.pendingMs(RankCount - 1) >
             QueueShare * toMs(SlowAfter);
}

auto viewFleet(const target_book &Book, const pick_request &Request,
               duration SlowAfter) -> fleet_view {
  fleet_view Fleet;
  for (const auto &[Name, Entry] : Book.all()) {
    if (Entry.Target.Service != Request.Service ||
        !Entry.acceptsRequests(Request.Now) ||
        (Request.Tried != nullptr && Request.Tried->contains(Name)) ||
        (Request.Prompt != nullptr && !Entry.serves(Request.Prompt->Model)))
      continue;
    ++Fleet.Targets;
    Fleet.Queued += hasQueue(Entry, Request, SlowAfter) ? 1 : 0;
    Fleet.Active += Entry.load().activeCount();
    Fleet.Slots += slotsOf(Entry);
  }
  return Fleet;
}

auto isLoaded(const fleet_view &Fleet) -> bool {
  return 2 * Fleet.Queued > Fleet.Targets ||
         Fleet.Active >= LoadedShare * Fleet.Slots;
}

auto answersSoon(const target_book &Book, const pick &Pick,
                 const pick_request &Request, duration SlowAfter) -> bool {
  const auto *Entry = Book.find(Pick.Target);
  if (Entry == nullptr || Pick.NeedsAdapter ||
      Request.Now < Entry->AvoidUntil ||
      Entry->FailureShare > MaxFailureShare ||
      hasQueue(*Entry, Request, SlowAfter))
    return false;
  return Request.Prompt == nullptr || Pick.ExpectedMs <= toMs(SlowAfter);
}

auto hedging::refusedLately(const service_name &Service, time_point Now) const
    -> bool {
  const auto Found = LastRefusal.find(Service);
  return Found != LastRefusal.end() && Now - Found->second < RefusalMemory;
}

} // namespace limpetbridge::serving
