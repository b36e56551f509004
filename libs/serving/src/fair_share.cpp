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
/// Requests that have to have arrived before a part of them says anything.
constexpr double MinArrived = 4;
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
  const double Count = Arrived.at(OutcomeSeconds, Now);
  return Count < MinArrived ? 1 : Served.at(OutcomeSeconds, Now) / Count;
}

auto fair_share::configure(const configuration &Configuration) -> void {
  const auto &Specs = Configuration.Workspaces;
  std::erase_if(Workspaces, [&](const auto &Workspace) {
    return !Specs.contains(Workspace.first);
  });
  for (const auto &[Name, Spec] : Specs)
    Workspaces[Name].IsInRequests = Spec.Unit == quota_unit::Requests;
  std::erase_if(Kinds, [&](const auto &Kind) {
    return std::none_of(
        Configuration.Routes.begin(), Configuration.Routes.end(),
        [&](const route &Route) { return Route.Name == Kind.first; });
  });
}

auto fair_share::recordArrival(const fair_group &Group, double Tokens,
                               time_point Now) -> void {
  Arrived.add(1, RateSeconds, Now);
  ArrivedTokens.add(Tokens, RateSeconds, Now);
  All.Arrived.add(1, OutcomeSeconds, Now);
  auto &Kind = Kinds[Group.Route];
  Kind.Service = Group.Service;
  Kind.ObjectiveMs = Group.ObjectiveMs;
  Kind.Outcomes.Arrived.add(1, OutcomeSeconds, Now);
  // Its workspace may have been removed since the request arrived.
  const auto Found = Workspaces.find(Group.Workspace);
  if (Found == Workspaces.end())
    return;
  Found->second.Tokens.add(Tokens, RateSeconds, Now);
  Found->second.Outcomes.Arrived.add(1, OutcomeSeconds, Now);
}

auto fair_share::recordDecision(double Tokens, bool IsInTime, time_point Now)
    -> void {
  Offered.add(Tokens, RateSeconds, Now);
  if (IsInTime)
    InTime.add(Tokens, RateSeconds, Now);
}

auto fair_share::recordServed(const fair_group &Group, time_point Now) -> void {
  All.Served.add(1, OutcomeSeconds, Now);
  if (const auto Kind = Kinds.find(Group.Route); Kind != Kinds.end())
    Kind->second.Outcomes.Served.add(1, OutcomeSeconds, Now);
  if (const auto Found = Workspaces.find(Group.Workspace);
      Found != Workspaces.end())
    Found->second.Outcomes.Served.add(1, OutcomeSeconds, Now);
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

auto fair_share::isAhead(const kind_record &Kind, time_point Now) const
    -> bool {
  const double Part = Kind.Outcomes.servedPart(Now);
  return std::any_of(Kinds.begin(), Kinds.end(), [&](const auto &Other) {
    const auto &MoreUrgent = Other.second;
    return MoreUrgent.Service == Kind.Service &&
           MoreUrgent.ObjectiveMs < Kind.ObjectiveMs &&
           MoreUrgent.Outcomes.servedPart(Now) < Part - AheadPart;
  });
}

auto fair_share::positionOf(const fair_group &Group,
                            const fleet_rate &FleetRate, time_point Now)
    -> fair_position {
  if (Now - LevelAt >= LevelInterval) {
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
    const double All = Offered.at(RateSeconds, Now);
    const double Part =
        All > 0 ? std::max(MinPart, InTime.at(RateSeconds, Now) / All) : 1;
    // What this gateway sends may come mainly from the large workspaces, or
    // from small ones only. Neither is a reason to limit the small ones.
    Level = std::max(fairLevel(std::move(InFleet), Part),
                     fairLevel(std::move(Here), Part));
  }
  fair_position Position;
  Position.LevelPerSecond = Level;
  Position.RatePerSecond = rateOf(Group.Workspace, FleetRate, Now);
  const double OwedBelow = OwedPart * All.servedPart(Now);
  const auto Kind = Kinds.find(Group.Route);
  const auto Workspace = Workspaces.find(Group.Workspace);
  Position.IsKindOwed =
      Kind != Kinds.end() && Kind->second.Outcomes.servedPart(Now) < OwedBelow;
  if (Position.IsKindOwed ||
      (Workspace != Workspaces.end() &&
       Workspace->second.Outcomes.servedPart(Now) < OwedBelow))
    Position.Standing = fair_standing::Owed;
  else if (Kind != Kinds.end() && isAhead(Kind->second, Now))
    Position.Standing = fair_standing::Ahead;
  else if (Position.RatePerSecond >= LevelTolerance * Level)
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
