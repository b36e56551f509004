#include "serving/quota_shares.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Part of the allowed excess that the capacity of the fleet's bucket uses. The
/// rest is for gateways whose views of the membership differ.
constexpr double UsedExcess = 0.6;
/// The same of the slack.
constexpr double UsedSlack = 0.95;
/// Loans that end within this time are counted together.
constexpr duration SettleStep = milliseconds(20);
constexpr duration MinRetryAfter = milliseconds(100);
/// Callers that are told to come back at the same time are spread over so much
/// of it.
constexpr double RetrySpread = 0.5;
/// Tolerance of sums of tokens.
constexpr double Rounding = 1e-6;

/// Numbers beyond this are malformed.
constexpr double MaxAmount = 1e15;

auto toSeconds(duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

auto isAmount(double Value) -> bool {
  return std::isfinite(Value) && Value >= 0 && Value <= MaxAmount;
}

} // namespace

quota_shares::quota_shares(const quota_policy &QuotaPolicy, instance_name Self,
                           std::uint64_t Incarnation, std::uint64_t Seed)
    : Policy(QuotaPolicy), Members(std::move(Self), Incarnation),
      RandomState(Seed) {}

auto quota_shares::setMembers(const std::set<instance_name> &Listed,
                              time_point Now) -> void {
  Members.setListed(Listed, Now);
}

auto quota_shares::setLimits(const std::map<workspace_name, quota_limit> &New,
                             time_point Now) -> void {
  Limits.clear();
  for (const auto &[Name, Limit] : New)
    if (isAmount(Limit.PerSecond) && isAmount(Limit.Burst) &&
        Limit.PerSecond > 0)
      Limits[Name] = Limit;
  for (auto &[Name, Workspace] : Workspaces) {
    const auto Found = Limits.find(Name);
    if (Workspace.Limit)
      settle(Workspace, Now);
    // One without a limit keeps its loans until the sweep, since others may
    // still be using them when the limit returns.
    if (Found == Limits.end()) {
      Workspace.Limit.reset();
      continue;
    }
    if (!Workspace.Limit)
      Workspace.Level = 0;
    Workspace.Limit = Found->second;
    settle(Workspace, Now);
  }
}

auto quota_shares::capacityOf(const quota_limit &Limit) const -> double {
  const auto Excess =
      Policy.Overrun *
      (Limit.PerSecond * toSeconds(Policy.Window) + Limit.Burst);
  return Limit.Burst + UsedExcess * Excess + UsedSlack * Policy.Slack;
}

auto quota_shares::random() -> double {
  // SplitMix64.
  RandomState += 0x9e3779b97f4a7c15U;
  auto Value = RandomState;
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  Value ^= Value >> 31U;
  return static_cast<double>(Value >> 11U) * 0x1p-53;
}

auto quota_shares::find(const workspace_name &Name, time_point Now)
    -> workspace * {
  const auto Limit = Limits.find(Name);
  if (Policy.Window <= duration::zero() || Limit == Limits.end())
    return nullptr;
  Members.update(Now);
  const auto [Found, IsNew] = Workspaces.try_emplace(Name);
  auto &Workspace = Found->second;
  if (IsNew) {
    // Nothing was admitted or lent since the base share came into force.
    Workspace.Limit = Limit->second;
    Workspace.Share = Members.base();
    Workspace.SettledAt = Members.baseSince().value_or(Now);
  }
  settle(Workspace, Now);
  return &Workspace;
}

auto quota_shares::recountLoans(workspace &Workspace, time_point Now) const
    -> void {
  Workspace.Lent = 0;
  Workspace.Borrowed = 0;
  Workspace.LoansValidUntil = NoDeadline;
  for (auto &[Name, Partner] : Workspace.Partners) {
    Partner.Lent.expire(Now);
    Partner.GiftLent.expire(Now);
    Workspace.Lent += Partner.lent(Now);
    Workspace.Borrowed += Partner.borrowed(Now);
    for (const auto Expiry :
         {Partner.Lent.expiry(), Partner.GiftLent.expiry(),
          Partner.Borrowed.expiry(), Partner.GiftBorrowed.expiry()})
      if (Expiry > Now)
        Workspace.LoansValidUntil = std::min(Workspace.LoansValidUntil, Expiry);
  }
}

/// Brings the bucket up to \p Now, with the share as it is then.
/// \returns the tokens that a smaller share has cut off.
auto quota_shares::settle(workspace &Workspace, time_point Now) const
    -> double {
  if (!Workspace.Limit)
    return 0;
  double Cut = 0;
  while (Workspace.LoansValidUntil <= Now) {
    const auto End = std::max(Workspace.LoansValidUntil, Workspace.SettledAt);
    fill(Workspace, Workspace.Share, End);
    const auto Next = std::min(Now, End + SettleStep);
    recountLoans(Workspace, Next);
    Cut += adjustShare(Workspace, Next);
  }
  return Cut + adjustShare(Workspace, Now);
}

/// Adds the tokens of the time until \p Now.
auto quota_shares::fill(workspace &Workspace, double Share,
                        time_point Now) const -> void {
  const auto Rate =
      toSeconds(std::max(duration::zero(), Now - Workspace.SettledAt)) *
      Workspace.Limit->PerSecond * Share;
  Workspace.Backlog = std::max(0.0, Workspace.Backlog - Rate);
  Workspace.Level = std::min(Workspace.Level + Rate,
                             capacityOf(*Workspace.Limit) * Workspace.Share);
  Workspace.SettledAt = std::max(Workspace.SettledAt, Now);
}

/// Takes over a share that has changed at some time before \p Now.
/// \returns the tokens that it cuts off.
auto quota_shares::adjustShare(workspace &Workspace, time_point Now) const
    -> double {
  const auto Share = std::clamp(
      Members.base() + Workspace.Borrowed - Workspace.Lent, 0.0, 1.0);
  fill(Workspace, std::min(Workspace.Share, Share), Now);
  const auto Cut =
      std::max(0.0, Workspace.Level - capacityOf(*Workspace.Limit) * Share);
  Workspace.Level -= Cut;
  Workspace.Share = Share;
  return Cut;
}

auto quota_shares::admit(const workspace_name &Name, double Tokens,
                         bool MayWait, time_point Now) -> quota_decision {
  auto *Workspace = find(Name, Now);
  if (Workspace == nullptr || !isAmount(Tokens))
    return {};
  Workspace->Demand.add(Tokens, Now);
  if (Tokens <= Workspace->Level + Rounding) {
    Workspace->Level = std::max(0.0, Workspace->Level - Tokens);
    Workspace->Admitted += Tokens;
    Workspace->Round = 0;
    return {};
  }
  if (MayWait && Tokens <= capacityOf(*Workspace->Limit) &&
      mayGather(*Workspace, Now)) {
    Workspace->Waiting += Tokens;
    ++Workspace->WaitingCount;
    WaitingWorkspaces.insert(Name);
    return {quota_decision::verdict::Wait, duration::zero()};
  }
  return refuse(*Workspace, Tokens);
}

auto quota_shares::mayGather(const workspace &Workspace, time_point Now) const
    -> bool {
  if (Now < Workspace.DryUntil)
    return false;
  const auto Age = Members.term();
  return std::any_of(Members.all().begin(), Members.all().end(),
                     [&](const auto &Entry) {
                       return Members.isInContact(Entry.second, Age, Now);
                     });
}

auto quota_shares::refuse(workspace &Workspace, double Tokens)
    -> quota_decision {
  Workspace.Refused += Tokens;
  const auto Capacity = capacityOf(*Workspace.Limit);
  const auto Share = std::max(Workspace.Share, 1.0 / Members.count() / 10);
  const auto Missing =
      Tokens - Workspace.Level + std::min(Workspace.Backlog, Capacity);
  Workspace.Backlog = std::min(Workspace.Backlog + Tokens, Capacity);
  const auto Longest = toSeconds(Policy.Window) / (1 + RetrySpread);
  const auto Wait = std::clamp(Missing / (Workspace.Limit->PerSecond * Share),
                               toSeconds(MinRetryAfter), Longest);
  const auto Spread = Wait * (1 + RetrySpread * random());
  return {quota_decision::verdict::Refused,
          duration(static_cast<duration::rep>(Spread * 1e6))};
}

auto quota_shares::giveBack(const workspace_name &Name, double Tokens,
                            time_point Now) -> void {
  auto *Workspace = find(Name, Now);
  if (Workspace == nullptr || !isAmount(Tokens))
    return;
  Workspace->Level = std::min(Workspace->Level + Tokens,
                              capacityOf(*Workspace->Limit) * Workspace->Share);
  Workspace->Admitted = std::max(0.0, Workspace->Admitted - Tokens);
}

auto quota_shares::cancelWait(const workspace_name &Name, double Tokens)
    -> void {
  const auto Found = Workspaces.find(Name);
  if (Found == Workspaces.end() || Found->second.WaitingCount == 0 ||
      !isAmount(Tokens))
    return;
  auto &Workspace = Found->second;
  // It counts again if it asks again.
  Workspace.Demand.remove(Tokens);
  Workspace.Waiting = std::max(0.0, Workspace.Waiting - Tokens);
  if (--Workspace.WaitingCount > 0)
    return;
  Workspace.Waiting = 0;
  WaitingWorkspaces.erase(Name);
}

auto quota_shares::status(time_point Now) const
    -> std::map<workspace_name, workspace_status> {
  std::map<workspace_name, workspace_status> Result;
  for (const auto &[Name, Original] : Workspaces) {
    auto Workspace = Original;
    settle(Workspace, Now);
    if (Workspace.Limit)
      Result[Name] = {Workspace.Share, Workspace.Level,
                      Workspace.Demand.perSecond(Now), Workspace.Admitted,
                      Workspace.Refused};
  }
  return Result;
}

} // namespace limpetbridge::serving
