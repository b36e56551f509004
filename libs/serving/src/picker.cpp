#include "serving/picker.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Slowdown of a batch by each request in it, ms to the first output.
constexpr double MsPerActive = 0.5;
/// Time of a plain request that waits behind another one for a slot, ms.
constexpr double PlainMsPerActive = 12;
/// Round trip to another data centre and the price of its bytes, ms.
constexpr double OtherDataCentreMs = 15;
/// Expected loss by failed attempts, ms at a share of 1.
constexpr double FailureMs = 1500;
/// Harm to one stream by each ms of reading beside it; measured, see
/// docs/design/platform.md.
constexpr double StreamHarm = 0.25;
/// Harm to a request's own stream by each ms of less urgent reading.
constexpr double LessUrgentHarm = 0.3;
/// Wait for the end of a model's load before an adapter can be ordered, ms.
constexpr double BusyMs = 1000;
/// Order and fetch of an adapter, ms.
constexpr double AdapterMs = 25;
/// Put on targets that refused a moment ago, ms; they stay a last resort.
constexpr double AvoidedMs = 5000;

} // namespace

auto expectedMs(const target_entry &Entry, const pick_request &Request,
                double ReadMs) -> double {
  const auto Load = Entry.load();
  double Expected = FailureMs * Entry.FailureShare;
  if (Request.Prompt != nullptr) {
    Expected += std::max(Entry.Slowness, 1.0) *
                    (Load.pendingMs(Request.Rank) + ReadMs) +
                MsPerActive * Load.Active;
  } else {
    Expected += PlainMsPerActive * Load.Active;
  }
  if (Entry.Target.DataCentre != Request.DataCentre)
    Expected += OtherDataCentreMs;
  return Expected;
}

auto interferenceMs(const target_entry &Entry, const pick_request &Request,
                    double ReadMs) -> double {
  if (Request.Prompt == nullptr)
    return 0;
  const auto Load = Entry.load();
  return StreamHarm * Load.Active * ReadMs +
         LessUrgentHarm *
             (Load.pendingMs(Ranks - 1) - Load.pendingMs(Request.Rank));
}

auto pickTarget(const target_book &Book, const pick_request &Request)
    -> std::optional<pick> {
  std::optional<pick> Best;
  for (const auto &[Name, Entry] : Book.all()) {
    if (Entry.Target.Service != Request.Service || !Entry.acceptsWork() ||
        (Request.Tried != nullptr && Request.Tried->contains(Name)))
      continue;
    pick Candidate;
    Candidate.Target = Name;
    if (Request.Prompt != nullptr) {
      const auto &Prompt = *Request.Prompt;
      if (!Entry.serves(Prompt.Model))
        continue;
      Candidate.NeedsAdapter =
          !hasLoaded(Entry.Target, Prompt.Model, Prompt.Adapter);
      if (Candidate.NeedsAdapter && Entry.ControllerAddress.empty())
        continue;
      Candidate.ExpectedMs =
          Candidate.NeedsAdapter ? AdapterMs + (Entry.Change ? BusyMs : 0) : 0;
      const auto Cached = Entry.Cache.cachedTokens(Prompt, *Request.Keys);
      Candidate.ReadMs =
          Request.MsPerToken *
          static_cast<double>(Prompt.InputTokens -
                              std::min(Prompt.InputTokens, Cached));
    }
    Candidate.ExpectedMs += expectedMs(Entry, Request, Candidate.ReadMs);
    Candidate.CostMs = Candidate.ExpectedMs +
                       interferenceMs(Entry, Request, Candidate.ReadMs) +
                       (Request.Now < Entry.AvoidUntil ? AvoidedMs : 0);
    if (!Best || Candidate.CostMs < Best->CostMs)
      Best = Candidate;
  }
  return Best;
}

} // namespace limpetbridge::serving
