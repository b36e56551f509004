#include "serving/picker.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Prompt reading time until one was observed, ms a token; engines of the
/// 70-billion class read about 40 tokens in a millisecond.
constexpr double DefaultMsPerToken = 0.025;
/// Slowdown of a batch by each request in it, ms to the first output.
constexpr double MsPerActive = 1.5;
/// Time of a plain request that waits behind another one for a slot, ms.
constexpr double PlainMsPerActive = 12;
/// Round trip to another data centre and the price of its bytes, ms.
constexpr double OtherDataCentreMs = 15;
/// Expected loss by failed attempts, ms at a share of 1.
constexpr double FailureMs = 1500;
/// Order and fetch of an adapter, ms.
constexpr double AdapterMs = 25;
/// Put on targets that refused a moment ago, ms; they stay a last resort.
constexpr double AvoidedMs = 5000;

} // namespace

auto expectedMs(const target_entry &Entry, const pick_request &Request,
                std::uint32_t NewTokens) -> double {
  const auto Load = Entry.load();
  double Expected = FailureMs * Entry.FailureShare;
  if (Request.Prompt != nullptr) {
    const double PerToken =
        Entry.MsPerToken > 0 ? Entry.MsPerToken : DefaultMsPerToken;
    Expected += PerToken * static_cast<double>(Load.PendingTokens + NewTokens) +
                MsPerActive * Load.Active;
  } else {
    Expected += PlainMsPerActive * Load.Active;
  }
  if (Entry.Target.DataCentre != Request.DataCentre)
    Expected += OtherDataCentreMs;
  if (Request.Now < Entry.AvoidUntil)
    Expected += AvoidedMs;
  return Expected;
}

auto pickTarget(const target_book &Book, const pick_request &Request)
    -> std::optional<pick> {
  std::optional<pick> Best;
  for (const auto &[Name, Entry] : Book.all()) {
    if (Entry.Target.Service != Request.Service || !Entry.takesWork() ||
        (Request.Tried != nullptr && Request.Tried->contains(Name)))
      continue;
    pick Candidate;
    Candidate.Target = Name;
    if (Request.Prompt != nullptr) {
      const auto &Prompt = *Request.Prompt;
      if (!holdsAll(Entry.Target, Prompt.Model, ""))
        continue;
      Candidate.NeedsAdapter =
          !holdsAll(Entry.Target, Prompt.Model, Prompt.Adapter);
      if (Candidate.NeedsAdapter && Entry.ControllerAddress.empty())
        continue;
      const auto Cached = Entry.Cache.cachedTokens(Prompt, *Request.Keys);
      Candidate.NewTokens =
          Prompt.InputTokens - std::min(Prompt.InputTokens, Cached);
    }
    Candidate.ExpectedMs = expectedMs(Entry, Request, Candidate.NewTokens) +
                           (Candidate.NeedsAdapter ? AdapterMs : 0);
    if (!Best || Candidate.ExpectedMs < Best->ExpectedMs)
      Best = Candidate;
  }
  return Best;
}

} // namespace limpetbridge::serving
