#include "core/routing.h"

#include "details/handlers.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::details {

namespace {

constexpr std::size_t HomeLimit = 8;      ///< Homes remembered of a unit.
constexpr std::size_t ResidentLimit = 16; ///< Holders remembered of a unit.
constexpr int ExtraLoadCost = 1; ///< Further copies must win by so many loads.
constexpr double SlownessShare = 0.2; ///< Weight of a new observation.
constexpr double EstimateShare = 0.1; ///< The same for fleet averages.
constexpr double SlowFrom = 2.0;      ///< Noted as slow from here on.
constexpr double SlowUntil = 1.5;     ///< And until it falls below this.
constexpr double MaxSlowness = 20.0;
constexpr double PrefixSaving = 0.7; ///< Share of a prompt found cached.
constexpr auto AvoidBase = milliseconds(500);
constexpr unsigned MaxAvoidShift = 5;
constexpr auto NearBest = milliseconds(2); ///< Differences that do not count.

auto rebuildServices(node_state &State) -> void {
  auto &Routing = State.Routing;
  Routing.Services.clear();
  for (const auto &[Name, View] : Routing.Targets)
    if (View.Record.Kind == target_kind::Service && isUsable(State, View))
      Routing.Services[View.Record.Service].push_back(Name);
}

/// Keeps learned views over changes of membership, drops what is gone, and
/// starts afresh for a new life of an agent.
auto refreshTargets(node_state &State) -> void {
  auto &Routing = State.Routing;
  if (Routing.BuiltAtEpoch == State.Membership.Epoch)
    return;
  Routing.BuiltAtEpoch = State.Membership.Epoch;
  std::erase_if(Routing.Targets, [&](const auto &Each) {
    return !State.Membership.Members.contains(agentOf(Each.first));
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

/// A target that can hold models, with the hash of its name.
struct hashed_target {
  std::uint64_t Hash;
  const target_name *Name;
};

/// Usable engines, gathered once for the ranking of many units.
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

/// The best targets for the unit by rendezvous hash.
auto rankHomes(const std::vector<hashed_target> &Engines,
               const model_name &Unit) -> std::vector<target_name> {
  const auto Key = stableHash(Unit.Text);
  std::vector<hashed_target> Ranked;
  Ranked.reserve(Engines.size());
  for (const auto &Engine : Engines)
    Ranked.push_back({mixHashes(Key, Engine.Hash), Engine.Name});
  const auto Kept = std::min(HomeLimit, Ranked.size());
  std::partial_sort(
      Ranked.begin(), Ranked.begin() + static_cast<std::ptrdiff_t>(Kept),
      Ranked.end(), [](const hashed_target &Left, const hashed_target &Right) {
        return Left.Hash > Right.Hash;
      });
  std::vector<target_name> Homes;
  Homes.reserve(Kept);
  for (std::size_t Index = 0; Index < Kept; ++Index)
    Homes.push_back(*Ranked[Index].Name);
  return Homes;
}

/// Memory of targets that first homes have taken.
using taken_memory = std::map<target_name, std::uint64_t>;

/// Moves the first home that has room for the unit to the front, so that no
/// target is first home of more than fits; the hash alone crowds some.
auto placeUnit(const node_state &State, unit_view &View, std::uint64_t Bytes,
               taken_memory &Taken) -> void {
  for (auto Each = View.Homes.begin(); Each != View.Homes.end(); ++Each) {
    const auto &Record = State.Routing.Targets.at(*Each).Record;
    auto &Used = Taken[*Each];
    if (Used + Bytes > Record.Memory.Value)
      continue;
    Used += Bytes;
    std::rotate(View.Homes.begin(), Each, Each + 1);
    return;
  }
}

/// Ranks the homes of all declared units. Every entry with the same list and
/// catalogue comes to the same result.
auto placeAll(node_state &State) -> void {
  taken_memory Taken;
  const auto Engines = usableEngines(State);
  const auto &Catalogue = *State.Configuration.Current;
  for (const auto Kind : {declaration_kind::Model, declaration_kind::Version})
    for (const auto &[Name, Body] : Catalogue.all(Kind)) {
      auto &View = State.Routing.Units[model_name(Name)];
      View.Homes = rankHomes(Engines, model_name(Name));
      View.HomesEpoch = State.Membership.Epoch;
      if (const auto Resolved = Catalogue.resolve(Name);
          Resolved && Resolved->Unit.Text == Name)
        placeUnit(State, View, Resolved->Memory.Value, Taken);
    }
}

auto homesOf(node_state &State, const model_name &Unit) -> unit_view & {
  if (State.Routing.PlacedAtEpoch != State.Membership.Epoch) {
    State.Routing.PlacedAtEpoch = State.Membership.Epoch;
    placeAll(State);
  }
  auto &View = State.Routing.Units[Unit];
  if (View.HomesEpoch != State.Membership.Epoch) {
    View.Homes = rankHomes(usableEngines(State), Unit);
    View.HomesEpoch = State.Membership.Epoch;
  }
  if (View.CheckedAtEpoch != State.Membership.Epoch) {
    View.CheckedAtEpoch = State.Membership.Epoch;
    std::erase_if(View.Resident, [&](const target_name &Name) {
      const auto Found = State.Routing.Targets.find(Name);
      return Found == State.Routing.Targets.end() ||
             !isUsable(State, Found->second);
    });
  }
  return View;
}

auto distance(const node_state &State, const target_view &View) -> duration {
  constexpr auto BetweenDataCentres = milliseconds(7);
  const auto &Here = State.Options.Self.DataCentre;
  if (State.Options.Distance)
    return State.Options.Distance(Here, View.Record.DataCentre);
  return Here == View.Record.DataCentre ? duration::zero() : BetweenDataCentres;
}

/// Wait that new work would meet: what the agent told, less the time since,
/// and more for what this entry has sent since.
auto expectedWait(const target_view &View, duration Service, time_point Now)
    -> duration {
  const auto Told =
      View.QueueDelay - std::min(View.QueueDelay, Now - View.HintAt);
  const auto Free = std::max<std::uint32_t>(View.FreeSlots, 1);
  if (View.SentSinceHint < Free)
    return Told;
  const auto Excess = static_cast<double>(View.SentSinceHint - Free + 1);
  return Told + fromMilliseconds(asMilliseconds(Service) * Excess /
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

/// Time of a load, by the declaration and by what loads took lately.
auto loadTime(const node_state &State, const work &Work) -> duration {
  return fromMilliseconds(static_cast<double>(Work.LoadMs) *
                          State.Routing.Estimate.LoadFactor);
}

/// The holder that prompts with this start are sent to, so that it finds
/// their prefix in its cache.
auto prefixHolder(const unit_view &Unit, const work &Work) -> target_name {
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
  bool Avoided; ///< Takes targets as well that failed lately.
  std::vector<candidate> Candidates;

  auto add(const target_name &Name, bool Resident, std::uint8_t Rank,
           duration Saving) -> void {
    const auto Found = Ctx.State.Routing.Targets.find(Name);
    if (Found == Ctx.State.Routing.Targets.end())
      return;
    const auto &View = Found->second;
    if (Request.ExcludedTargets.contains(Name) || !isUsable(Ctx.State, View))
      return;
    if (View.AvoidUntil > Ctx.Now && !Avoided)
      return;
    const auto Service = serviceTime(Ctx.State, Request.Work);
    auto Expected = expectedWait(View, Service, Ctx.Now) +
                    distance(Ctx.State, View) +
                    fromMilliseconds(asMilliseconds(Service) * View.Slowness);
    Expected -= std::min(Saving, Expected);
    if (!Resident)
      Expected += loadTime(Ctx.State, Request.Work);
    Candidates.push_back({&View, Expected, Rank, Resident, false});
  }
};

auto addHolders(candidate_builder &Builder, const unit_view &Unit) -> void {
  const auto &Work = Builder.Request.Work;
  const auto Preferred = prefixHolder(Unit, Work);
  const auto Saving =
      fromMilliseconds(PrefixSaving * PromptTokenMs * Work.PromptTokens);
  for (const auto &Name : Unit.Resident)
    Builder.add(Name, true, homeRank(Unit, Name),
                Name == Preferred ? Saving : duration::zero());
}

/// One home that does not hold the unit: the one that loads it already, else
/// the first. Among holders it wins only when their queues cost more than the
/// load, which must pay for itself: hence the factor.
auto addHome(candidate_builder &Builder, const unit_view &Unit) -> void {
  const auto Now = Builder.Ctx.Now;
  const bool Extra = !Builder.Candidates.empty();
  if (!Unit.Coming.empty() && Now < Unit.ComingUntil) {
    const auto Before = Builder.Candidates.size();
    Builder.add(Unit.Coming, false, homeRank(Unit, Unit.Coming),
                duration::zero());
    if (Builder.Candidates.size() > Before) {
      Builder.Candidates.back().Extra = Extra;
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
    Added.Extra = Extra;
    if (Extra)
      Added.Expected +=
          loadTime(Builder.Ctx.State, Builder.Request.Work) * ExtraLoadCost;
    return;
  }
}

auto gather(const context &Ctx, const request_state &Request, bool Avoided)
    -> std::vector<candidate> {
  candidate_builder Builder{Ctx, Request, Avoided, {}};
  const auto &Work = Request.Work;
  if (Work.Kind == work_kind::Call) {
    for (const auto &Name : Ctx.State.Routing.Services[Work.Service])
      Builder.add(Name, true, 0, duration::zero());
    return std::move(Builder.Candidates);
  }
  const auto &Unit = homesOf(Ctx.State, Work.Unit);
  addHolders(Builder, Unit);
  if (Builder.Candidates.empty() || !Request.ExtraCopyRefused)
    addHome(Builder, Unit);
  return std::move(Builder.Candidates);
}

/// Two random choices among those that are about as good as the best, so that
/// many entries do not herd on one old hint.
auto pickDefault(std::span<const candidate> Candidates, std::uint64_t Random)
    -> std::size_t {
  const auto Limit =
      Candidates.front().Expected + Candidates.front().Expected / 5 + NearBest;
  std::size_t Good = 1;
  while (Good < Candidates.size() && Candidates[Good].Expected <= Limit &&
         Candidates[Good].Resident == Candidates.front().Resident)
    ++Good;
  const std::size_t First = Random % Good;
  const std::size_t Second = (Random >> 32) % Good;
  const bool FirstLighter = Candidates[First].View->Outstanding <=
                            Candidates[Second].View->Outstanding;
  return FirstLighter ? First : Second;
}

auto noteSlowness(const context &Ctx, const target_name &Target, double Before,
                  double After) -> void {
  if (Before < SlowFrom && After >= SlowFrom)
    Ctx.recordNote(note_kind::TargetSlow, "", Target, "",
                   "observed over expected: " + std::to_string(After));
  if (Before >= SlowUntil && After < SlowUntil)
    Ctx.recordNote(note_kind::TargetRecovered, "", Target, "", "");
}

} // namespace

auto viewOf(node_state &State, const target_name &Target) -> target_view * {
  const auto Found = State.Routing.Targets.find(Target);
  return Found == State.Routing.Targets.end() ? nullptr : &Found->second;
}

auto chooseTarget(const context &Ctx, const request_state &Request)
    -> std::optional<candidate> {
  refreshTargets(Ctx.State);
  auto Candidates = gather(Ctx, Request, false);
  if (Candidates.empty())
    Candidates = gather(Ctx, Request, true);
  if (Candidates.empty())
    return std::nullopt;
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const candidate &Left, const candidate &Right) {
                     return Left.Expected < Right.Expected;
                   });
  const auto Random = Ctx.State.Random.next();
  const auto &Picker = Ctx.State.Options.Picker;
  const auto Index =
      Picker ? Picker(Candidates, Random) : pickDefault(Candidates, Random);
  return Candidates[Index];
}

auto learnColdStart(const context &Ctx, const work &Work,
                    const target_name &Target) -> void {
  auto &Unit = Ctx.State.Routing.Units[Work.Unit];
  if (Unit.Coming == Target && Ctx.Now < Unit.ComingUntil)
    return;
  Unit.Coming = Target;
  Unit.ComingUntil = Ctx.Now + loadTime(Ctx.State, Work);
}

auto learnLoad(const context &Ctx, duration Took, const work &Work) -> void {
  if (Work.LoadMs <= 0)
    return;
  auto &Factor = Ctx.State.Routing.Estimate.LoadFactor;
  const double Ratio = std::clamp(
      asMilliseconds(Took) / static_cast<double>(Work.LoadMs), 0.2, 20.0);
  Factor += SlownessShare * (Ratio - Factor);
}

auto learnResident(node_state &State, const model_name &Unit,
                   const target_name &Target) -> void {
  auto &Resident = State.Routing.Units[Unit].Resident;
  if (std::find(Resident.begin(), Resident.end(), Target) != Resident.end())
    return;
  if (Resident.size() == ResidentLimit)
    Resident.erase(Resident.begin());
  Resident.push_back(Target);
}

auto forgetResident(node_state &State, const model_name &Unit,
                    const target_name &Target) -> void {
  std::erase(State.Routing.Units[Unit].Resident, Target);
}

auto learnFailure(const context &Ctx, const target_name &Target) -> void {
  auto *View = viewOf(Ctx.State, Target);
  if (View == nullptr)
    return;
  const auto Shift = std::min(View->Failures, MaxAvoidShift);
  ++View->Failures;
  View->AvoidUntil = Ctx.Now + AvoidBase * (1U << Shift);
}

auto learnFirstToken(const context &Ctx, const target_name &Target,
                     duration Took, duration Wait, const work &Work) -> void {
  auto *View = viewOf(Ctx.State, Target);
  if (View == nullptr)
    return;
  View->Failures = 0;
  View->AvoidUntil = {};
  auto &Estimate = Ctx.State.Routing.Estimate;
  const double Own = asMilliseconds(Took - std::min(Took, Wait));
  const double Expected =
      Estimate.FirstTokenMs + PromptTokenMs * Work.PromptTokens;
  const double Ratio = std::clamp(Own / Expected, 0.05, MaxSlowness);
  const double Before = View->Slowness;
  View->Slowness += SlownessShare * (Ratio - View->Slowness);
  noteSlowness(Ctx, Target, Before, View->Slowness);
  const double Sample = std::max(1.0, Own - PromptTokenMs * Work.PromptTokens);
  Estimate.FirstTokenMs += EstimateShare * (Sample - Estimate.FirstTokenMs);
}

} // namespace limpetbridge::details
