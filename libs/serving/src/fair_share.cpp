#include "serving/fair_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Time over which rates are averaged, s; the source over all gateways uses
/// the same.
constexpr double RateSeconds = 2;
/// Time over which outcomes are averaged, s: several objectives of the least
/// urgent kinds.
constexpr double OutcomeSeconds = 20;
/// Outcomes that have to be known before a part of them says anything.
constexpr double MinKnown = 4;
/// A request without a first output counts as not served from this time after
/// its objective on. Those that are sent late get theirs earlier as a rule;
/// those that starve at the engines must not wait for their deadlines to count.
constexpr duration OverdueTime = seconds(1);
/// No workspace or kind may be served less than a quarter as often as all; it
/// is owed from a little above that on.
constexpr double OwedPart = 0.35;
/// A kind may be served 0.05 less often than a less urgent one, which yields a
/// little before that.
constexpr double AheadPart = 0.03;
/// Least part of what is offered that the level leaves. Refused requests lower
/// the part that is in time, so without a bound both could fall to nothing.
constexpr double MinPart = 0.2;
/// Interval at which the fair level is computed under contention.
constexpr duration LevelInterval = milliseconds(500);
/// Rates are averages, so those this close to the level count as above it.
constexpr double LevelTolerance = 0.999;
/// Every so many turns a less urgent kind has one.
constexpr std::size_t TurnsPerRotation = 4;

} // namespace

auto fairLevel(std::vector<offered_rate> Rates, double Part) -> double {
  std::erase_if(Rates, [](const auto &Rate) { return !(Rate.PerSecond > 0); });
  std::sort(Rates.begin(), Rates.end(),
            [](const auto &Left, const auto &Right) {
              return Left.PerSecond < Right.PerSecond;
            });
  double Rest = 0;  // To be filled by those that are limited.
  double Slope = 0; // Of what they fill, by the limit.
  for (const auto &Rate : Rates) {
    Rest += Part * Rate.Weight;
    Slope += Rate.Weight / Rate.PerSecond;
  }
  for (const auto &Rate : Rates) {
    if (Rate.PerSecond * Slope > Rest)
      return Rest / Slope;
    Rest -= Rate.Weight;
    Slope -= Rate.Weight / Rate.PerSecond;
  }
  return Rates.empty() ? 0 : Rates.back().PerSecond;
}

auto decaying_sum::at(double Seconds, time_point Now) const -> double {
  if (Sum <= 0)
    return 0;
  const std::chrono::duration<double> Age =
      std::max(duration::zero(), Now - At);
  return Sum * std::exp(-Age.count() / Seconds);
}

auto decaying_sum::add(double Amount, double Seconds, time_point Now) -> void {
  Sum = at(Seconds, Now) + Amount;
  At = std::max(At, Now);
}

auto fair_share::outcomes::servedPart(time_point Now) const -> double {
  const double Count = Known.at(OutcomeSeconds, Now);
  // One that was overdue when it was served has decayed less there.
  return Count < MinKnown
             ? 1
             : std::min(1.0, Served.at(OutcomeSeconds, Now) / Count);
}

auto fair_share::configure(const configuration &Configuration) -> void {
  const auto &Specs = Configuration.Workspaces;
  std::erase_if(Workspaces, [&](const auto &Workspace) {
    return !Specs.contains(Workspace.first);
  });
  for (const auto &[Name, Spec] : Specs)
    Workspaces.try_emplace(Name);
  std::erase_if(Kinds, [&](const auto &Kind) {
    return std::none_of(
        Configuration.Routes.begin(), Configuration.Routes.end(),
        [&](const route &Route) { return Route.Name == Kind.first; });
  });
}

auto fair_share::recordArrival(request_number Number, const fair_group &Group,
                               double Tokens, time_point Objective,
                               time_point Now) -> void {
  auto &Kind = Kinds[Group.Route];
  Kind.Service = Group.Service;
  Kind.Kind = {Group.ObjectiveMs, Group.Rank};
  if (Awaited.emplace(Number, awaited_request{Group, Objective}).second)
    Uncounted.emplace(Objective, Number);
  // Its workspace may have been removed since the request arrived.
  if (const auto Found = Workspaces.find(Group.Workspace);
      Found != Workspaces.end())
    Found->second.Tokens.add(Tokens, RateSeconds, Now);
}

auto fair_share::recordDecision(double Tokens, bool IsInTime, time_point Now)
    -> void {
  Offered.add(Tokens, RateSeconds, Now);
  if (IsInTime)
    InTime.add(Tokens, RateSeconds, Now);
}

template <typename update>
auto fair_share::forOutcomes(const fair_group &Group, bool IsAboveShare,
                             update Update) -> void {
  Update(All);
  if (const auto Kind = Kinds.find(Group.Route); Kind != Kinds.end()) {
    Update(Kind->second.Outcomes);
    if (!IsAboveShare)
      Update(Kind->second.WithinShares);
  }
  if (const auto Found = Workspaces.find(Group.Workspace);
      Found != Workspaces.end())
    Update(Found->second.Outcomes);
}

auto fair_share::countOverdue(time_point Now) -> void {
  while (!Uncounted.empty() && Uncounted.begin()->first + OverdueTime <= Now) {
    auto &Request = Awaited.at(Uncounted.begin()->second);
    Request.IsCounted = true;
    forOutcomes(Request.Group, false, [&](outcomes &Outcomes) {
      Outcomes.Known.add(1, OutcomeSeconds, Now);
    });
    Uncounted.erase(Uncounted.begin());
  }
}

auto fair_share::recordOutcome(request_number Number, fair_outcome Outcome,
                               time_point Now) -> void {
  const auto Found = Awaited.find(Number);
  if (Found == Awaited.end())
    return;
  const auto Request = std::move(Found->second);
  Awaited.erase(Found);
  Uncounted.erase({Request.Objective, Number});
  if (Outcome == fair_outcome::Left && Now < Request.Objective)
    return;
  forOutcomes(Request.Group, Outcome == fair_outcome::AboveShare,
              [&](outcomes &Outcomes) {
                if (!Request.IsCounted)
                  Outcomes.Known.add(1, OutcomeSeconds, Now);
                if (Outcome == fair_outcome::Served)
                  Outcomes.Served.add(1, OutcomeSeconds, Now);
              });
}

auto fair_share::rateOf(const workspace_name &Workspace,
                        const fleet_rate &FleetRate, time_point Now) const
    -> double {
  const auto Found = Workspaces.find(Workspace);
  if (Found == Workspaces.end())
    return 0;
  const double Own = Found->second.Tokens.at(RateSeconds, Now) / RateSeconds;
  if (!FleetRate)
    return Own;
  // What the others have reported may be older than the own requests.
  return std::max(Own, FleetRate(Workspace, Now));
}

auto fair_share::recentUse(const workspace_name &Workspace,
                           const fleet_rate &FleetRate, time_point Now) const
    -> double {
  return RateSeconds * rateOf(Workspace, FleetRate, Now);
}

auto fair_share::compareKinds(const kind_record &Kind, fair_position &Position,
                              time_point Now) const -> void {
  const double Part = Kind.WithinShares.servedPart(Now);
  for (const auto &[Route, Other] : Kinds) {
    if (Other.Service != Kind.Service ||
        Other.Kind.ObjectiveMs >= Kind.Kind.ObjectiveMs)
      continue;
    const double Difference = Part - Other.WithinShares.servedPart(Now);
    if (Difference <= AheadPart)
      continue;
    Position.Behind.push_back(Other.Kind);
    Position.KindReturnSeconds =
        std::max(Position.KindReturnSeconds,
                 OutcomeSeconds * std::log(Difference / AheadPart));
  }
}

auto fair_share::updateLevel(const fleet_rate &FleetRate, time_point Now)
    -> void {
  LevelAt = Now;
  std::vector<offered_rate> InFleet;
  std::vector<offered_rate> Here;
  InFleet.reserve(Workspaces.size());
  Here.reserve(Workspaces.size());
  for (const auto &[Name, Record] : Workspaces) {
    const double Rate = rateOf(Name, FleetRate, Now);
    InFleet.push_back({Rate, Rate});
    Here.push_back({Rate, Record.Tokens.at(RateSeconds, Now)});
  }
  const double Sum = Offered.at(RateSeconds, Now);
  const double Part =
      Sum > 0 ? std::max(MinPart, InTime.at(RateSeconds, Now) / Sum) : 1;
  // What this gateway sends may come mainly from the large workspaces, or from
  // small ones only. Neither is a reason to limit the small ones.
  Level = std::max(fairLevel(std::move(InFleet), Part),
                   fairLevel(std::move(Here), Part));
}

auto fair_share::positionOf(const fair_group &Group,
                            const fleet_rate &FleetRate, time_point Now)
    -> fair_position {
  countOverdue(Now);
  if (Now - LevelAt >= LevelInterval)
    updateLevel(FleetRate, Now);
  fair_position Position;
  Position.LevelPerSecond = Level;
  Position.RatePerSecond = rateOf(Group.Workspace, FleetRate, Now);
  if (Position.RatePerSecond > Level)
    Position.ShareReturnSeconds =
        RateSeconds * std::log(Position.RatePerSecond / Level);
  const double OwedBelow = OwedPart * All.servedPart(Now);
  const auto Kind = Kinds.find(Group.Route);
  const auto Workspace = Workspaces.find(Group.Workspace);
  // All outcomes count here: also refusals for shares must not leave a kind
  // with less than a quarter.
  Position.IsKindOwed =
      Kind != Kinds.end() && Kind->second.Outcomes.servedPart(Now) < OwedBelow;
  if (Position.IsKindOwed ||
      (Workspace != Workspaces.end() &&
       Workspace->second.Outcomes.servedPart(Now) < OwedBelow)) {
    Position.Standing = fair_standing::Owed;
    return Position;
  }
  if (Kind != Kinds.end())
    compareKinds(Kind->second, Position, Now);
  if (Position.RatePerSecond >= LevelTolerance * Level)
    Position.Standing = fair_standing::Above;
  return Position;
}

auto fair_queue::hold(request_number Number, const fair_group &Group,
                      double Tokens, double Use)
    -> std::optional<request_number> {
  // One that is examined again keeps its place.
  if (Entries.contains(Number))
    return std::nullopt;
  auto &Chain = Chains[Group.Workspace];
  const double Tag = Chain.Size++ == 0 ? Use : Chain.NextTag;
  Chain.NextTag = Tag + Tokens;
  Entries[Number] = {Group.Workspace, Group.ObjectiveMs, Tag};
  Kinds[Group.ObjectiveMs].emplace(Tag, Number);
  if (Entries.size() <= MaxSize)
    return std::nullopt;
  const auto Last = std::max_element(
      Entries.begin(), Entries.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Tag < Right.second.Tag;
      });
  const auto Surplus = Last->first;
  erase(Surplus);
  return Surplus;
}

auto fair_queue::erase(request_number Number) -> void {
  const auto Found = Entries.find(Number);
  if (Found == Entries.end())
    return;
  const auto &Entry = Found->second;
  const auto Chain = Chains.find(Entry.Workspace);
  if (--Chain->second.Size == 0)
    Chains.erase(Chain);
  const auto Kind = Kinds.find(Entry.ObjectiveMs);
  Kind->second.erase({Entry.Tag, Number});
  if (Kind->second.empty())
    Kinds.erase(Kind);
  Entries.erase(Found);
}

auto fair_queue::next(std::size_t Count) -> std::vector<request_number> {
  struct range {
    std::set<std::pair<double, request_number>>::const_iterator Next, End;
  };
  std::vector<range> Left;
  Left.reserve(Kinds.size());
  for (const auto &[ObjectiveMs, Requests] : Kinds)
    Left.push_back({Requests.begin(), Requests.end()});
  std::vector<request_number> Numbers;
  Numbers.reserve(std::min(Count, Entries.size()));
  while (Numbers.size() < Count && !Left.empty()) {
    ++Turn;
    const auto Index = Turn % TurnsPerRotation == 0 && Left.size() > 1
                           ? 1 + Turn / TurnsPerRotation % (Left.size() - 1)
                           : 0;
    auto &Range = Left[Index];
    Numbers.push_back(Range.Next->second);
    if (++Range.Next == Range.End)
      Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  return Numbers;
}

} // namespace limpetbridge::serving
