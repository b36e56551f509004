#include "serving/picker.h"

#include "serving/stream_limits.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Delay of the first output by each request in the batch, ms.
constexpr double MsPerActive = 0.5;
/// Cost of taking the slot of a less urgent request, whose work is lost, ms.
constexpr double PreemptionMs = 100;
/// Wait of a request without a prompt for each request in progress, ms.
constexpr double PlainMsPerActive = 12;
/// Round trip to another data centre plus a charge for its traffic, ms.
constexpr double OtherDataCentreMs = 15;
/// Expected delay by failed attempts at a failure share of 1, ms.
constexpr double FailureMs = 1500;
/// Delay of one stream by each ms of concurrent prefill; see
/// docs/design/platform.md.
constexpr double StreamDelay = 0.25;
/// Delay of a request's own stream by each ms of less urgent prefill.
constexpr double LessUrgentDelay = 0.3;
/// Wait for a model load in progress before an adapter can be ordered, ms.
constexpr double ModelLoadWaitMs = 1000;
/// Time to order and fetch an adapter, ms.
constexpr double AdapterLoadMs = 25;
/// Penalty for a target in backoff, ms; it remains a last resort.
constexpr double BackoffPenaltyMs = 5000;
/// The same if streams are protected: more than all streams of a target lose.
constexpr double ProtectedBackoffPenaltyMs = 1'000'000;
/// Limit of the cost of one late answer, ms: an objective of many seconds says
/// that its callers can wait, not that the answers of others weigh more.
constexpr double MaxLateCostMs = 2000;
/// Prefill that counts as none, ms: less than a step.
constexpr double NoPrefillMs = 5;

} // namespace

auto slotWaitMs(const target_entry &Entry, const pick_request &Request)
    -> double {
  const auto Slots = Entry.Target.Slots;
  const auto Ahead = Entry.load().activeCount(Request.Rank);
  if (Request.Prompt == nullptr || Slots == 0 || Ahead < Slots)
    return 0;
  return (Ahead - Slots + 1) * Entry.DecodeMs / Slots;
}

namespace {

auto expectedParts(const target_entry &Entry, const pick_request &Request,
                   double PrefillMs) -> expected_parts {
  const auto Load = Entry.load();
  expected_parts Parts;
  Parts.FailuresMs = FailureMs * Entry.FailureShare;
  if (Request.Prompt != nullptr) {
    Parts.Slowness = Request.Streams ? Entry.streamSlowness(Request.Now)
                                     : std::max(Entry.Slowness, 1.0);
    Parts.QueuedMs = Load.pendingMs(Request.Rank);
    Parts.PrefillMs = PrefillMs;
    Parts.ActiveMs = MsPerActive * Load.activeCount();
  } else {
    Parts.ActiveMs = PlainMsPerActive * Load.activeCount();
  }
  if (Entry.Target.DataCentre != Request.DataCentre)
    Parts.DistanceMs = OtherDataCentreMs;
  return Parts;
}

} // namespace

auto expectedMs(const target_entry &Entry, const pick_request &Request,
                double PrefillMs) -> double {
  return expectedParts(Entry, Request, PrefillMs).sumMs();
}

auto interferenceMs(const target_entry &Entry, const pick_request &Request,
                    double PrefillMs) -> double {
  if (Request.Prompt == nullptr)
    return 0;
  const auto Load = Entry.load();
  const auto Slots = Entry.Target.Slots;
  const bool Preempts = Slots > 0 && Load.activeCount() >= Slots &&
                        Load.activeCount(Request.Rank) < Slots;
  if (Request.Streams) {
    const auto Effect = streamEffect(Entry, *Request.Streams, PrefillMs);
    return std::min(Request.Streams->ObjectiveMs, MaxLateCostMs) *
               (Effect.LateStreams + Effect.OwnLateChance) +
           StreamDelay * Effect.DelayMs + LessUrgentDelay * Effect.OwnDelayMs +
           (Preempts ? PreemptionMs : 0);
  }
  return StreamDelay * Load.activeCount() * PrefillMs +
         LessUrgentDelay *
             (Load.pendingMs(RankCount - 1) - Load.pendingMs(Request.Rank)) +
         (Preempts ? PreemptionMs : 0);
}

namespace {

/// True if the target can serve the request, now or when it accepts requests.
auto qualifies(const target_entry &Entry, const pick_request &Request) -> bool {
  if (Entry.Target.Service != Request.Service || !Entry.acceptsWork() ||
      (Request.Tried != nullptr && Request.Tried->contains(Entry.Target.Name)))
    return false;
  return Request.Prompt == nullptr || Entry.serves(Request.Prompt->Model);
}

auto hasPrefill(const target_entry &Entry, const prompt_beside_streams &Prompt)
    -> bool {
  return duePrefillMs(Entry, *Prompt.ReportTimes, RankCount - 1, Prompt.Now) >
         NoPrefillMs;
}

} // namespace

auto earliestAcceptance(const target_book &Book, const pick_request &Request)
    -> time_point {
  auto Earliest = NoDeadline;
  for (const auto &[Name, Entry] : Book.all())
    if (Request.Now < Entry.RefusesUntil && qualifies(Entry, Request))
      Earliest = std::min(Earliest, Entry.RefusesUntil);
  return Earliest;
}

namespace {

auto findExclusion(const target_entry &Entry, const pick_request &Request)
    -> exclusion {
  if (Entry.Target.Service != Request.Service)
    return exclusion::OtherService;
  if (!Entry.acceptsWork())
    return exclusion::Leaving;
  if (!qualifies(Entry, Request))
    return Request.Tried != nullptr &&
                   Request.Tried->contains(Entry.Target.Name)
               ? exclusion::Tried
               : exclusion::NoModel;
  if (!Entry.acceptsRequests(Request.Now))
    return exclusion::Refusing;
  if (Request.OnlyWithoutPrefill && Request.Streams &&
      (Request.Now < Entry.AvoidUntil || hasPrefill(Entry, *Request.Streams)))
    return exclusion::Prefill;
  return exclusion::None;
}

} // namespace

auto nameOf(exclusion Exclusion) -> std::string_view {
  switch (Exclusion) {
  case exclusion::None:
    return "";
  case exclusion::OtherService:
    return "other_service";
  case exclusion::Leaving:
    return "leaving";
  case exclusion::Tried:
    return "tried";
  case exclusion::NoModel:
    return "no_model";
  case exclusion::NoAdapter:
    return "no_adapter";
  case exclusion::Refusing:
    return "refusing";
  case exclusion::Prefill:
    return "prefill";
  }
  return "";
}

auto assessTarget(const target_entry &Entry, const pick_request &Request)
    -> candidate {
  candidate Candidate;
  auto &Pick = Candidate.Pick;
  Candidate.Exclusion = findExclusion(Entry, Request);
  if (Candidate.Exclusion != exclusion::None)
    return Candidate;
  if (Request.Prompt != nullptr) {
    const auto &Prompt = *Request.Prompt;
    Pick.NeedsAdapter = !hasLoaded(Entry.Target, Prompt.Model, Prompt.Adapter);
    if (Pick.NeedsAdapter &&
        (Entry.ControllerAddress.empty() || !Request.MayLoadAdapter)) {
      Candidate.Exclusion = exclusion::NoAdapter;
      return Candidate;
    }
    if (Pick.NeedsAdapter)
      Candidate.AdapterMs =
          AdapterLoadMs + (Entry.Change ? ModelLoadWaitMs : 0);
    const auto Cached = Entry.Cache.cachedTokens(Prompt, *Request.Keys);
    Pick.PrefillMs = Request.PrefillMsPerToken *
                     static_cast<double>(Prompt.InputTokens -
                                         std::min(Prompt.InputTokens, Cached));
  }
  Pick.Target = Entry.Target.Name;
  Candidate.Expected = expectedParts(Entry, Request, Pick.PrefillMs);
  Candidate.SlotWaitMs = slotWaitMs(Entry, Request);
  Candidate.InterferenceMs = interferenceMs(Entry, Request, Pick.PrefillMs);
  if (Request.Now < Entry.AvoidUntil)
    Candidate.BackoffMs =
        Request.Streams ? ProtectedBackoffPenaltyMs : BackoffPenaltyMs;
  if (Request.HasConnection && !Request.HasConnection(Entry))
    Candidate.ConnectionMs = Request.ConnectionCostMs;
  if (Request.Streams && Request.Streams->Gateway != nullptr &&
      Pick.PrefillMs >= minNoticeMs(*Request.Streams->Bounds))
    Candidate.PreferenceMs =
        preferenceMs(Entry.Target.Name, *Request.Streams->Gateway);
  Pick.ExpectedMs = Candidate.AdapterMs + Candidate.Expected.sumMs();
  Pick.CostMs = Pick.ExpectedMs + Candidate.SlotWaitMs +
                Candidate.InterferenceMs + Candidate.BackoffMs +
                Candidate.ConnectionMs + Candidate.PreferenceMs;
  return Candidate;
}

auto pickTarget(const target_book &Book, const pick_request &Request)
    -> std::optional<pick> {
  std::optional<pick> Best;
  for (const auto &[Name, Entry] : Book.all()) {
    auto Candidate = assessTarget(Entry, Request);
    if (Candidate.Exclusion == exclusion::None &&
        (!Best || Candidate.Pick.CostMs < Best->CostMs))
      Best = std::move(Candidate.Pick);
  }
  if (Best && Request.Streams)
    Best->Streams = streamEffect(*Book.find(Best->Target), *Request.Streams,
                                 Best->PrefillMs);
  return Best;
}

} // namespace limpetbridge::serving
