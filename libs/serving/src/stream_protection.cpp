#include "serving/stream_protection.h"

#include "serving/stream_pauses.h"

#include <algorithm>
#include <chrono>

namespace limpetbridge::serving {

namespace {

/// Length of a prompt whose attention does not count.
constexpr std::uint32_t ShortPromptTokens = 2048;

/// Part of the bound that a pause uses, at most 1: what a stream without a
/// bound would lose by it.
auto usedShare(double PauseMs, double BoundMs) -> double {
  return BoundMs > 0 ? std::min(1.0, PauseMs / BoundMs) : 1;
}

} // namespace

auto streamBounds(const configuration &Configuration)
    -> std::map<service_name, stream_bounds> {
  std::map<service_name, stream_bounds> Bounds;
  for (const auto &Route : Configuration.Routes) {
    if (Route.GapBoundMs <= 0)
      continue;
    for (const auto &Share : Route.Shares) {
      const auto Service = Configuration.Services.find(Share.Service);
      if (Service == Configuration.Services.end() ||
          Service->second.Engine.TokensPerEvent == 0)
        continue;
      auto &OfService = Bounds[Share.Service];
      OfService.TokensPerEvent = Service->second.Engine.TokensPerEvent;
      auto &GapMs = OfService.GapMs[rankOf(Route.Priority)];
      const auto RouteMs = static_cast<double>(Route.GapBoundMs);
      GapMs = GapMs > 0 ? std::min(GapMs, RouteMs) : RouteMs;
    }
  }
  return Bounds;
}

namespace {

/// True if the sender's digests do not have the prefill yet.
auto isNews(const noticed_prefill &Notice, const report_times &ReportTimes)
    -> bool {
  const auto ReportedAt = ReportTimes.find(Notice.From);
  return ReportedAt == ReportTimes.end() || ReportedAt->second < Notice.At;
}

} // namespace

auto duePrefillMs(const target_entry &Entry, const report_times &ReportTimes,
                  std::size_t Rank, time_point Now) -> double {
  double Due = Entry.OwnLoad.pendingMs(Rank);
  double SumMs = Entry.load().pendingMs(RankCount - 1);
  for (const auto &Notice : Entry.NoticedPrefill)
    if (isNews(Notice, ReportTimes))
      SumMs += Notice.PrefillMs;
  const double AllMs = std::max(1.0, Entry.streamSlowness(Now) * SumMs);
  // A target works on one prompt at a time, so each gateway's part of what is
  // due shrinks in proportion.
  const auto PartLeft = [&](time_point Since) {
    const double AgeMs =
        std::chrono::duration<double, std::milli>(Now - Since).count();
    return std::clamp(1 - AgeMs / AllMs, 0.0, 1.0);
  };
  // Both are in the order of the names. Finding each time by its name was half
  // of the cost of examining the prompts that wait.
  auto ReportedAt = ReportTimes.begin();
  for (const auto &[Peer, Load] : Entry.LoadsByPeer) {
    const double Reported = Load.pendingMs(Rank);
    if (Reported <= 0)
      continue;
    auto Order = std::strong_ordering::less;
    while (ReportedAt != ReportTimes.end() &&
           (Order = ReportedAt->first.Text <=> Peer.Text) < 0)
      ++ReportedAt;
    if (ReportedAt != ReportTimes.end() && Order == 0)
      Due += Reported * PartLeft(ReportedAt->second);
  }
  for (const auto &Notice : Entry.NoticedPrefill)
    if (Notice.Rank <= Rank && isNews(Notice, ReportTimes))
      Due += Notice.PrefillMs * PartLeft(Notice.At);
  return Due;
}

auto streamEffect(const target_entry &Entry,
                  const prompt_beside_streams &Prompt, double PrefillMs)
    -> stream_effect {
  const auto Due = [&](std::size_t Rank) {
    return duePrefillMs(Entry, *Prompt.ReportTimes, Rank, Prompt.Now);
  };
  engine_pace Without;
  Without.TokensPerEvent = Prompt.Bounds->TokensPerEvent;
  Without.ChunkMs = lastChunkMs(Prompt.MsPerToken, ShortPromptTokens);
  Without.Slowness = Entry.streamSlowness(Prompt.Now);
  Without.Spells = Prompt.Spells;
  auto With = Without;
  With.ChunkMs = lastChunkMs(Prompt.MsPerToken, Prompt.InputTokens);
  stream_effect Effect;
  Effect.DueMs = Due(RankCount - 1);
  const double RunMs = Effect.DueMs + PrefillMs;
  Effect.PauseMs = longestPauseMs(With, RunMs);
  const auto Load = Entry.load();
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    const double BoundMs = Prompt.Bounds->GapMs[Rank];
    const double Streams = Load.Active[Rank];
    if (BoundMs > 0)
      Effect.LateStreams +=
          Streams * (lateChance(With, RunMs, BoundMs) -
                     lateChance(Without, Effect.DueMs, BoundMs));
    Effect.DelayMs += Streams * PrefillMs * usedShare(Effect.PauseMs, BoundMs);
  }
  // What is as urgent or more runs before its first output, the rest beside
  // its stream.
  const double BesideMs =
      Prompt.Rank < RankCount - 1 ? Effect.DueMs - Due(Prompt.Rank) : 0;
  const double OwnPauseMs = longestPauseMs(Without, BesideMs);
  if (Prompt.GapMs > 0)
    Effect.OwnLateChance = lateChance(Without, BesideMs, Prompt.GapMs);
  Effect.OwnDelayMs = BesideMs * usedShare(OwnPauseMs, Prompt.GapMs);
  return Effect;
}

} // namespace limpetbridge::serving
