#include "core/routing.h"

#include "details/handlers.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::details {

namespace {

constexpr std::size_t HomeLimit = 8;      ///< Homes kept per unit.
constexpr std::size_t ResidentLimit = 16; ///< Known holders kept per unit.
constexpr int ExtraCopyLoadFactor = 1; ///< Load times added to an extra copy.
constexpr double SlownessSmoothing = 0.2;  ///< Weight of a new sample.
constexpr double EstimateSmoothing = 0.1;  ///< The same, for all targets.
constexpr double SlowThreshold = 2.0;      ///< Noted as slow from here on,
constexpr double RecoveredThreshold = 1.5; ///< as recovered below this.
constexpr double MaxSlowness = 20.0;
constexpr double CachedPromptShare = 0.7; ///< Share of a prompt found cached.
constexpr auto BackoffBase = milliseconds(500);
constexpr unsigned MaxBackoffShift = 5;
/// Candidates count as equal within a fifth of the best and this much more.
constexpr auto NegligibleDifference = milliseconds(2);

auto rebuildServices(node_state &State) -> void {
  auto &Routing = State.Routing;
  Routing.Services.clear();
  for (const auto &[Name, View] : Routing.Targets)
    if (View.Record.Kind == target_kind::Service && isUsable(State, View))
      Routing.Services[View.Record.Service].push_back(Name);
}

/// Brings the target views up to date with the membership: removes targets that
/// left, and resets the view of a target whose agent has a new incarnation.
auto refreshTargets(node_state &State) -> void {
  auto &Routing = State.Routing;
  if (Routing.TargetsEpoch == State.Membership.Epoch)
    return;
  Routing.TargetsEpoch = State.Membership.Epoch;
  std::erase_if(Routing.Targets, [&](const auto &Target) {
    return !State.Membership.Members.contains(agentOf(Target.first));
  });
  for (const auto &[Name, Member] : State.Membership.Members) {
    if (Member.Record.Role != instance_role::Agent)
      continue;
    auto &View = Routing.Targets[targetOf(Name)];
    if (View.Record.Incarnation != Member.Record.Incarnation)
      View = target_view{};
    View.Record = Member.Record;
  }
  rebuildServices(State);
}

/// An engine target and the hash of its name.
struct hashed_target {
  std::uint64_t Hash;
  const target_name *Name;
};

/// Usable engine targets, collected once to rank the homes of many units.
auto usableEngines(const node_state &State) -> std::vector<hashed_target> {
  std::vector<hashed_target> Engines;
  Engines.reserve(State.Routing.Targets.size());
  for (const auto &[Name, View] : State.Routing.Targets)
    if (View.Record.Kind == target_kind::Engine && isUsable(State, View))
      Engines.push_back({stableHash(Name.Text), &Name});
  return Engines;
}

auto mixHashes(std::uint64_t Left, std::uint64_t Right) -> std::uint64_t {
  return random_state{Left ^ Right}.next();
}

/// The preferred targets of the unit by rendezvous hash, best first.
auto rankHomes(const std::vector<hashed_target> &Engines,
               const model_name &Unit) -> std::vector<target_name> {
  const auto Key = stableHash(Unit.Text);
  std::vector<hashed_target> Ranked;
  Ranked.reserve(Engines.size());
  for (const auto &Engine : Engines)
    Ranked.push_back({mixHashes(Key, Engine.Hash), Engine.Name});
  const auto HomeCount = std::min(HomeLimit, Ranked.size());
  std::partial_sort(
      Ranked.begin(), Ranked.begin() + static_cast<std::ptrdiff_t>(HomeCount),
      Ranked.end(), [](const hashed_target &Left, const hashed_target &Right) {
        return Left.Hash > Right.Hash;
      });
  std::vector<target_name> Homes;
  Homes.reserve(HomeCount);
  for (std::size_t Index = 0; Index < HomeCount; ++Index)
    Homes.push_back(*Ranked[Index].Name);
  return Homes;
}

/// Memory assigned so far on each target, by units whose first home it is.
using assigned_memory = std::map<target_name, std::uint64_t>;

/// Moves the first home with enough unassigned memory to the front. The hash
/// alone would make some targets first home of more units than fit.
auto assignFirstHome(const node_state &State, unit_view &View,
                     std::uint64_t Bytes, assigned_memory &Assigned) -> void {
  for (auto Home = View.Homes.begin(); Home != View.Homes.end(); ++Home) {
    const auto &Record = State.Routing.Targets.at(*Home).Record;
    auto &Used = Assigned[*Home];
    if (Used + Bytes > Record.Memory.Value)
      continue;
    Used += Bytes;
    std::rotate(View.Homes.begin(), Home, Home + 1);
    return;
  }
}

/// Ranks the homes of all declared units. The result is the same on every entry
/// that has the same list of instances and the same catalogue.
auto assignAllHomes(node_state &State) -> void {
  assigned_memory Assigned;
  const auto Engines = usableEngines(State);
  const auto &Catalogue = *State.Configuration.Current;
  for (const auto Kind : {declaration_kind::Model, declaration_kind::Version})
    for (const auto &[Name, Body] : Catalogue.all(Kind)) {
      auto &View = State.Routing.Units[model_name(Name)];
      View.Homes = rankHomes(Engines, model_name(Name));
      View.HomesEpoch = State.Membership.Epoch;
      if (const auto Resolved = Catalogue.resolve(Name);
          Resolved && Resolved->Unit.Text == Name)
        assignFirstHome(State, View, Resolved->Memory.Value, Assigned);
    }
}

/// The view of the unit, brought up to date with the membership.
auto currentUnitView(node_state &State, const model_name &Unit) -> unit_view & {
  if (State.Routing.AllHomesEpoch != State.Membership.Epoch) {
    State.Routing.AllHomesEpoch = State.Membership.Epoch;
    assignAllHomes(State);
  }
  auto &View = State.Routing.Units[Unit];
  if (View.HomesEpoch != State.Membership.Epoch) {
    View.Homes = rankHomes(usableEngines(State), Unit);
    View.HomesEpoch = State.Membership.Epoch;
  }
  if (View.ResidentEpoch != State.Membership.Epoch) {
    View.ResidentEpoch = State.Membership.Epoch;
    std::erase_if(View.Resident, [&](const target_name &Name) {
      const auto Found = State.Routing.Targets.find(Name);
      return Found == State.Routing.Targets.end() ||
             !isUsable(State, Found->second);
    });
  }
  return View;
}

auto networkDelay(const node_state &State, const target_view &View)
    -> duration {
  constexpr auto BetweenDataCentres = milliseconds(7);
  const auto &Here = State.Options.Self.DataCentre;
  if (State.Options.Distance)
    return State.Options.Distance(Here, View.Record.DataCentre);
  return Here == View.Record.DataCentre ? duration::zero() : BetweenDataCentres;
}

/// Expected queueing time of new work: the last reported delay, less the time
/// since the report, plus what this entry has sent since beyond the free slots.
auto expectedWait(const target_view &View, duration Service, time_point Now)
    -> duration {
  const auto ReportedWait =
      View.QueueDelay - std::min(View.QueueDelay, Now - View.HintReceivedAt);
  const auto Free = std::max<std::uint32_t>(View.FreeSlots, 1);
  if (View.SentSinceHint < Free)
    return ReportedWait;
  const auto Excess = static_cast<double>(View.SentSinceHint - Free + 1);
  return ReportedWait + fromMilliseconds(asMilliseconds(Service) * Excess /
                                         static_cast<double>(Free));
}

auto serviceTime(const node_state &State, const work &Work) -> duration {
  constexpr double UsualCallMs = 20;
  if (Work.Kind == work_kind::Call)
    return fromMilliseconds(UsualCallMs);
  const auto &Estimate = State.Routing.Estimate;
  return fromMilliseconds(PromptTokenMs * Work.PromptTokens +
                          Estimate.TokenMs * Work.MaxTokens);
}

/// Expected load time: the declared one, scaled by recent observations.
auto loadTime(const node_state &State, const work &Work) -> duration {
  return fromMilliseconds(static_cast<double>(Work.LoadMs) *
                          State.Routing.Estimate.LoadFactor);
}

/// The holder that is preferred for this prompt prefix, chosen by rendezvous
/// hash so that the prefix is likely to be in its cache.
auto preferredHolder(const unit_view &Unit, const work &Work) -> target_name {
  if (Work.PrefixHash == 0 || Unit.Resident.empty())
    return {};
  const auto Key = std::to_string(Work.PrefixHash);
  return *std::max_element(
      Unit.Resident.begin(), Unit.Resident.end(),
      [&](const target_name &Left, const target_name &Right) {
        return rendezvousWeight(Key, Left.Text) <
               rendezvousWeight(Key, Right.Text);
      });
}

auto homeRank(const unit_view &Unit, const target_name &Target)
    -> std::uint8_t {
  const auto Found = std::find(Unit.Homes.begin(), Unit.Homes.end(), Target);
  return Found == Unit.Homes.end()
             ? 255
             : static_cast<std::uint8_t>(Found - Unit.Homes.begin());
}

struct candidate_builder {
  const context &Ctx;
  const request_state &Request;
  bool IncludeAvoided; ///< Also consider targets in backoff.
  std::vector<candidate> Candidates;

  auto add(const target_name &Name, bool Resident, std::uint8_t Rank,
           duration CacheSaving) -> void {
    const auto Found = Ctx.State.Routing.Targets.find(Name);
    if (Found == Ctx.State.Routing.Targets.end())
      return;
    const auto &View = Found->second;
    if (Request.ExcludedTargets.contains(Name) || !isUsable(Ctx.State, View))
      return;
    if (View.AvoidUntil > Ctx.Now && !IncludeAvoided)
      return;
    const auto Service = serviceTime(Ctx.State, Request.Work);
    auto Expected = expectedWait(View, Service, Ctx.Now) +
                    networkDelay(Ctx.State, View) +
                    fromMilliseconds(asMilliseconds(Service) * View.Slowness);
    Expected -= std::min(CacheSaving, Expected);
    if (!Resident)
      Expected += loadTime(Ctx.State, Request.Work);
    Candidates.push_back({&View, Expected, Rank, Resident, false});
  }
};

auto addHolders(candidate_builder &Builder, const unit_view &Unit) -> void {
  const auto &Work = Builder.Request.Work;
  const auto Preferred = preferredHolder(Unit, Work);
  const auto CacheSaving =
      fromMilliseconds(CachedPromptShare * PromptTokenMs * Work.PromptTokens);
  for (const auto &Name : Unit.Resident)
    Builder.add(Name, true, homeRank(Unit, Name),
                Name == Preferred ? CacheSaving : duration::zero());
}

/// Adds one home that does not hold the unit: the one that is loading it, else
/// the first usable one. If other targets hold the unit, a new load is charged
/// an extra load time, so that it wins only over queues that are long enough to
/// make up for it.
auto addColdHome(candidate_builder &Builder, const unit_view &Unit) -> void {
  const auto Now = Builder.Ctx.Now;
  const bool ExtraCopy = !Builder.Candidates.empty();
  if (!Unit.ColdStartTarget.empty() && Now < Unit.ColdStartUntil) {
    const auto Before = Builder.Candidates.size();
    Builder.add(Unit.ColdStartTarget, false,
                homeRank(Unit, Unit.ColdStartTarget), duration::zero());
    if (Builder.Candidates.size() > Before) {
      Builder.Candidates.back().ExtraCopy = ExtraCopy;
      return;
    }
  }
  for (const auto &Name : Unit.Homes) {
    const bool Holds = std::find(Unit.Resident.begin(), Unit.Resident.end(),
                                 Name) != Unit.Resident.end();
    const auto Before = Builder.Candidates.size();
    if (!Holds)
      Builder.add(Name, false, homeRank(Unit, Name), duration::zero());
    if (Builder.Candidates.size() == Before)
      continue;
    auto &Added = Builder.Candidates.back();
    Added.ExtraCopy = ExtraCopy;
    if (ExtraCopy)
      Added.Expected += loadTime(Builder.Ctx.State, Builder.Request.Work) *
                        ExtraCopyLoadFactor;
    return;
  }
}

auto collectCandidates(const context &Ctx, const request_state &Request,
                       bool IncludeAvoided) -> std::vector<candidate> {
  candidate_builder Builder{Ctx, Request, IncludeAvoided, {}};
  const auto &Work = Request.Work;
  if (Work.Kind == work_kind::Call) {
    for (const auto &Name : Ctx.State.Routing.Services[Work.Service])
      Builder.add(Name, true, 0, duration::zero());
    return std::move(Builder.Candidates);
  }
  const auto &Unit = currentUnitView(Ctx.State, Work.Unit);
  addHolders(Builder, Unit);
  if (Builder.Candidates.empty() || !Request.ExtraCopyRefused)
    addColdHome(Builder, Unit);
  return std::move(Builder.Candidates);
}

/// Picks the less loaded of two random candidates among those about as good as
/// the best, so that the entries do not all choose one target by an old hint.
auto pickOfTwo(std::span<const candidate> Candidates, std::uint64_t Random)
    -> std::size_t {
  const auto Limit = Candidates.front().Expected +
                     Candidates.front().Expected / 5 + NegligibleDifference;
  std::size_t GoodCount = 1;
  while (GoodCount < Candidates.size() &&
         Candidates[GoodCount].Expected <= Limit &&
         Candidates[GoodCount].Resident == Candidates.front().Resident)
    ++GoodCount;
  const std::size_t First = Random % GoodCount;
  const std::size_t Second = (Random >> 32) % GoodCount;
  const bool FirstHasFewer = Candidates[First].View->Outstanding <=
                             Candidates[Second].View->Outstanding;
  return FirstHasFewer ? First : Second;
}

auto noteSlownessChange(const context &Ctx, const target_name &Target,
                        double Before, double After) -> void {
  if (Before < SlowThreshold && After >= SlowThreshold)
    Ctx.recordNote(note_kind::TargetSlow, "", Target, "",
                   "observed over expected first-token time: " +
                       std::to_string(After));
  if (Before >= RecoveredThreshold && After < RecoveredThreshold)
    Ctx.recordNote(note_kind::TargetRecovered, "", Target, "", "");
}

} // namespace

auto findTargetView(node_state &State, const target_name &Target)
    -> target_view * {
  const auto Found = State.Routing.Targets.find(Target);
  return Found == State.Routing.Targets.end() ? nullptr : &Found->second;
}

auto chooseTarget(const context &Ctx, const request_state &Request)
    -> std::optional<candidate> {
  refreshTargets(Ctx.State);
  auto Candidates = collectCandidates(Ctx, Request, false);
  if (Candidates.empty())
    Candidates = collectCandidates(Ctx, Request, true);
  if (Candidates.empty())
    return std::nullopt;
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const candidate &Left, const candidate &Right) {
                     return Left.Expected < Right.Expected;
                   });
  const auto Random = Ctx.State.Random.next();
  const auto &Picker = Ctx.State.Options.Picker;
  const auto Index =
      Picker ? Picker(Candidates, Random) : pickOfTwo(Candidates, Random);
  return Candidates[Index];
}

auto recordColdStart(const context &Ctx, const work &Work,
                     const target_name &Target) -> void {
  auto &Unit = Ctx.State.Routing.Units[Work.Unit];
  if (Unit.ColdStartTarget == Target && Ctx.Now < Unit.ColdStartUntil)
    return;
  Unit.ColdStartTarget = Target;
  Unit.ColdStartUntil = Ctx.Now + loadTime(Ctx.State, Work);
}

auto recordLoadTime(const context &Ctx, duration Took, const work &Work)
    -> void {
  if (Work.LoadMs <= 0)
    return;
  auto &Factor = Ctx.State.Routing.Estimate.LoadFactor;
  const double Ratio = std::clamp(
      asMilliseconds(Took) / static_cast<double>(Work.LoadMs), 0.2, 20.0);
  Factor += SlownessSmoothing * (Ratio - Factor);
}

auto recordResident(node_state &State, const model_name &Unit,
                    const target_name &Target) -> void {
  auto &Resident = State.Routing.Units[Unit].Resident;
  if (std::find(Resident.begin(), Resident.end(), Target) != Resident.end())
    return;
  if (Resident.size() == ResidentLimit)
    Resident.erase(Resident.begin());
  Resident.push_back(Target);
}

auto removeResident(node_state &State, const model_name &Unit,
                    const target_name &Target) -> void {
  std::erase(State.Routing.Units[Unit].Resident, Target);
}

auto recordFailure(const context &Ctx, const target_name &Target) -> void {
  auto *View = findTargetView(Ctx.State, Target);
  if (View == nullptr)
    return;
  const auto Shift = std::min(View->Failures, MaxBackoffShift);
  ++View->Failures;
  View->AvoidUntil = Ctx.Now + BackoffBase * (1U << Shift);
}

auto recordFirstToken(const context &Ctx, const target_name &Target,
                      duration Took, duration Wait, const work &Work) -> void {
  auto *View = findTargetView(Ctx.State, Target);
  if (View == nullptr)
    return;
  View->Failures = 0;
  View->AvoidUntil = {};
  auto &Estimate = Ctx.State.Routing.Estimate;
  const double FirstTokenMs = asMilliseconds(Took - std::min(Took, Wait));
  const double Expected =
      Estimate.FirstTokenMs + PromptTokenMs * Work.PromptTokens;
  const double Ratio = std::clamp(FirstTokenMs / Expected, 0.05, MaxSlowness);
  const double Before = View->Slowness;
  View->Slowness += SlownessSmoothing * (Ratio - View->Slowness);
  noteSlownessChange(Ctx, Target, Before, View->Slowness);
  const double Sample =
      std::max(1.0, FirstTokenMs - PromptTokenMs * Work.PromptTokens);
  Estimate.FirstTokenMs += EstimateSmoothing * (Sample - Estimate.FirstTokenMs);
}

} // namespace limpetbridge::details
