#include "serving/fleet_account.h"

#include "serving/quota_members.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

constexpr double AverageSeconds = 2;
/// A workspace without requests for so long is not in use. Less than 1 % of its
/// rate is left by then.
constexpr duration IdleTime = seconds(10);
/// Rates beyond this are malformed.
constexpr double MaxRate = 1e15;
/// Gateways beyond this many, or workspaces of one, are ignored.
constexpr std::size_t MaxSenders = 512;
constexpr std::size_t MaxRates = 4096;

} // namespace

auto fleet_account::own_use::perSecond(time_point Now) const -> double {
  const std::chrono::duration<double> Passed =
      std::max(duration::zero(), Now - At);
  return Passed >= IdleTime ? 0
                            : Tokens / AverageSeconds *
                                  std::exp(-Passed.count() / AverageSeconds);
}

auto fleet_account::record(const workspace_name &Workspace, double Tokens,
                           time_point Now) -> void {
  if (!(Tokens >= 0 && Tokens <= MaxRate))
    return;
  auto &Use = Own[Workspace];
  Use.Tokens = Use.perSecond(Now) * AverageSeconds + Tokens;
  Use.At = Now;
}

auto fleet_account::addTo(quota_message &Message, time_point Now) const
    -> void {
  std::map<workspace_name, quota_message::demand *> Named;
  Message.Demands.reserve(Message.Demands.size() + Own.size());
  for (auto &Demand : Message.Demands)
    Named[Demand.Workspace] = &Demand;
  for (const auto &[Workspace, Use] : Own) {
    const auto Rate = Use.perSecond(Now);
    if (Rate <= 0)
      continue;
    const auto Found = Named.find(Workspace);
    if (Found == Named.end())
      Message.Demands.push_back({Workspace, 0, 0, Rate});
    else
      Found->second->Rate = Rate;
  }
}

auto fleet_account::isHeard(const sender &Sender, time_point Now) const
    -> bool {
  // As long as its loans would be in force.
  const auto Count = static_cast<std::uint32_t>(Senders.size() + 1);
  return Now - Sender.HeardAt < quota_members::termFor(Count);
}

auto fleet_account::receive(const instance_name &From,
                            const quota_message &Message, time_point Now)
    -> void {
  if (!Senders.contains(From) && Senders.size() >= MaxSenders)
    return;
  auto &Sender = Senders[From];
  const bool IsOlder = Message.Incarnation < Sender.Incarnation ||
                       (Message.Incarnation == Sender.Incarnation &&
                        Message.Number <= Sender.Number);
  // Incarnations that do not rise are accepted when the former one is silent.
  if (IsOlder && isHeard(Sender, Now))
    return;
  Sender.Incarnation = Message.Incarnation;
  Sender.Number = Message.Number;
  Sender.HeardAt = Now;
  for (const auto &[Workspace, Rate] : Sender.Rates) {
    const auto Found = Others.find(Workspace);
    Found->second.erase(From);
    if (Found->second.empty())
      Others.erase(Found);
  }
  Sender.Rates.clear();
  for (const auto &Demand : Message.Demands)
    if (Demand.Rate > 0 && Demand.Rate <= MaxRate &&
        Sender.Rates.size() < MaxRates) {
      Sender.Rates[Demand.Workspace] = Demand.Rate;
      Others[Demand.Workspace][From] = Demand.Rate;
    }
}

auto fleet_account::update(time_point Now) -> void {
  std::erase_if(
      Own, [&](const auto &Entry) { return Entry.second.perSecond(Now) <= 0; });
  for (auto Next = Senders.begin(); Next != Senders.end();) {
    if (isHeard(Next->second, Now)) {
      ++Next;
      continue;
    }
    for (const auto &[Workspace, Rate] : Next->second.Rates)
      Others[Workspace].erase(Next->first);
    Next = Senders.erase(Next);
  }
  std::erase_if(Others, [](const auto &Entry) { return Entry.second.empty(); });
}

auto fleet_account::workspaceRate(const workspace_name &Workspace,
                                  time_point Now) const -> workspace_rate {
  workspace_rate Rate;
  const auto Use = Own.find(Workspace);
  if (Use != Own.end())
    Rate.PerSecond = Use->second.perSecond(Now);
  const auto Found = Others.find(Workspace);
  if (Found == Others.end())
    return Rate;
  for (const auto &[From, PerSecond] : Found->second) {
    const auto &Sender = Senders.at(From);
    if (!isHeard(Sender, Now))
      continue;
    Rate.PerSecond += PerSecond;
    Rate.Age = std::max(Rate.Age, Now - Sender.HeardAt);
  }
  return Rate;
}

auto fleet_account::workspaceCount(time_point Now) const -> std::size_t {
  // Both lists may hold what update() has yet to forget.
  auto Count = Others.size();
  for (const auto &[Workspace, Use] : Own)
    if (Use.perSecond(Now) > 0 && !Others.contains(Workspace))
      ++Count;
  return Count;
}

} // namespace limpetbridge::serving
