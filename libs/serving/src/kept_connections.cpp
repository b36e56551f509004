#include "serving/kept_connections.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Longest rest of any connection, whatever its target says.
constexpr duration MaxRest = seconds(60);
/// Time in which the time for requests that may run only once doubles. A
/// service whose targets drop connections costs one such request for each.
constexpr duration RecoveryTime = seconds(60);
/// Least part of the setting that is left. The time recovers from it in six
/// recovery times.
constexpr int MinRestDivisor = 64;
/// Connections to a service that end within this time teach once.
constexpr duration CommonEndTime = seconds(1);
/// Time for which a target that sent stray bytes is not trusted.
constexpr duration StrayTime = seconds(10);
/// Time for which a service is not trusted whose answers name no call.
constexpr duration UnnamedTime = seconds(60);
/// Calls that a connection remembers. A late second answer comes soon after the
/// first one.
constexpr std::size_t MaxRememberedCalls = 16;

} // namespace

auto nameOf(close_reason Reason) -> std::string_view {
  switch (Reason) {
  case close_reason::PeerClosed:
    return "peer_closed";
  case close_reason::StrayBytes:
    return "stray_bytes";
  case close_reason::Expired:
    return "expired";
  case close_reason::TargetChanged:
    return "target_changed";
  case close_reason::TargetLimit:
    return "target_limit";
  case close_reason::ProcessLimit:
    return "process_limit";
  case close_reason::Stopped:
    return "stopped";
  }
  return "stopped";
}

auto usableUntil(const keep_policy &Policy,
                 std::optional<std::int64_t> StatedMs, time_point Now)
    -> time_point {
  if (!StatedMs)
    return Now + std::min(Policy.DefaultIdle, MaxRest);
  const auto Stated = milliseconds(
      std::clamp(*StatedMs, std::int64_t{0}, toMilliseconds(MaxRest)));
  return Now + std::max<duration>(Stated - Policy.Margin, duration::zero());
}

auto singleUseUntil(const keep_policy &Policy,
                    std::optional<std::int64_t> StatedMs, time_point Now)
    -> time_point {
  constexpr int StatedDivisor = 2;
  const auto Until = usableUntil(Policy, StatedMs, Now);
  if (!StatedMs)
    return Until;
  const auto StatedRest = milliseconds(
      std::clamp(*StatedMs, std::int64_t{0}, 2 * toMilliseconds(MaxRest)));
  return std::min<time_point>(Until, Now + StatedRest / StatedDivisor);
}

auto connectionShare(std::uint32_t Limit, std::size_t Gateways) -> std::size_t {
  if (Limit == 0)
    return SIZE_MAX;
  return std::max<std::size_t>(
      1, Limit / std::max<std::size_t>(Gateways, std::size_t{1}));
}

auto kept_connections::add(kept_connection Connection, std::size_t MaxIdle)
    -> std::vector<connection_number> {
  if (Connection.Calls.size() > MaxRememberedCalls)
    Connection.Calls.erase(Connection.Calls.begin(),
                           Connection.Calls.end() - MaxRememberedCalls);
  ByTarget[Connection.Target].insert(Connection.Number);
  Connections.emplace(Connection.Number, std::move(Connection));
  std::vector<connection_number> GivenUp;
  while (Connections.size() > MaxIdle) {
    GivenUp.push_back(Connections.begin()->first);
    remove(GivenUp.back());
  }
  return GivenUp;
}

auto kept_connections::find(const target_name &Target,
                            const connection_user &User, time_point Now) const
    -> const kept_connection * {
  const auto Numbers = ByTarget.find(Target);
  if (Numbers == ByTarget.end())
    return nullptr;
  const auto IsUsable = [&](const kept_connection &Connection) {
    return Connection.Incarnation == User.Incarnation &&
           Now < Connection.UsableUntil &&
           (!User.RestingAfter ||
            (*User.RestingAfter < Connection.RestingSince &&
             Now < Connection.SingleUseUntil)) &&
           std::find(Connection.Calls.begin(), Connection.Calls.end(),
                     User.Call) == Connection.Calls.end();
  };
  const kept_connection *Found = nullptr;
  for (const auto Number : Numbers->second) {
    const auto &Connection = Connections.at(Number);
    if (!IsUsable(Connection))
      continue;
    Found = &Connection;
    if (!User.RestingAfter)
      break;
  }
  return Found;
}

auto kept_connections::take(const target_name &Target,
                            const connection_user &User, time_point Now)
    -> std::optional<kept_connection> {
  const auto *Found = find(Target, User, Now);
  return Found == nullptr ? std::nullopt : remove(Found->Number);
}

auto kept_connections::has(const target_name &Target,
                           const connection_user &User, time_point Now) const
    -> bool {
  return find(Target, User, Now) != nullptr;
}

auto kept_connections::removeOldest(const target_name &Target)
    -> connection_number {
  const auto Numbers = ByTarget.find(Target);
  if (Numbers == ByTarget.end())
    return 0;
  const auto Oldest = *Numbers->second.begin();
  remove(Oldest);
  return Oldest;
}

auto kept_connections::remove(connection_number Number)
    -> std::optional<kept_connection> {
  const auto Found = Connections.find(Number);
  if (Found == Connections.end())
    return std::nullopt;
  auto Connection = std::move(Found->second);
  Connections.erase(Found);
  const auto Numbers = ByTarget.find(Connection.Target);
  Numbers->second.erase(Number);
  if (Numbers->second.empty())
    ByTarget.erase(Numbers);
  return Connection;
}

auto kept_connections::countAt(const target_name &Target) const -> std::size_t {
  const auto Numbers = ByTarget.find(Target);
  return Numbers == ByTarget.end() ? 0 : Numbers->second.size();
}

auto connection_trust::recoveredRest(const keep_policy &Policy,
                                     const service_name &Service,
                                     time_point Now) const -> duration {
  const auto Lesson = Lessons.find(Service);
  if (Lesson == Lessons.end())
    return Policy.SingleUseIdle;
  const double Doublings =
      std::chrono::duration<double>(Now - Lesson->second.LearnedAt) /
      std::chrono::duration<double>(RecoveryTime);
  const auto Recovered =
      std::chrono::duration<double, std::milli>(Lesson->second.Rest) *
      std::exp2(std::min<double>(Doublings, MinRestDivisor));
  return Recovered < Policy.SingleUseIdle
             ? std::chrono::duration_cast<duration>(Recovered)
             : Policy.SingleUseIdle;
}

auto connection_trust::singleUseRest(const keep_policy &Policy,
                                     const service_name &Service,
                                     const target_name &Target,
                                     time_point Now) const -> duration {
  const auto Unnamed = UnnamedUntil.find(Service);
  const auto Stray = StrayUntil.find(Target);
  if ((Unnamed != UnnamedUntil.end() && Now < Unnamed->second) ||
      (Stray != StrayUntil.end() && Now < Stray->second))
    return duration::zero();
  return recoveredRest(Policy, Service, Now);
}

auto connection_trust::learn(const keep_policy &Policy,
                             const kept_connection &Connection, duration Rest,
                             time_point Now) -> bool {
  auto &Lesson = Lessons[Connection.Service];
  if (Lesson.LearnedAt != time_point() &&
      Now - Lesson.LearnedAt < CommonEndTime)
    return false;
  Lesson = {std::max<duration>(Rest, Policy.SingleUseIdle / MinRestDivisor),
            Now};
  return true;
}

auto connection_trust::recordLoss(const keep_policy &Policy,
                                  const kept_connection &Connection,
                                  time_point Now) -> bool {
  return learn(Policy, Connection,
               recoveredRest(Policy, Connection.Service, Now) / 2, Now);
}

auto connection_trust::recordEarlyClose(const keep_policy &Policy,
                                        const kept_connection &Connection,
                                        time_point Now) -> bool {
  const auto Rest = recoveredRest(Policy, Connection.Service, Now);
  const auto Safe = (Now - Connection.RestingSince) / 2;
  return Safe < Rest &&
         learn(Policy, Connection, std::max<duration>(Safe, Rest / 2), Now);
}

auto connection_trust::recordStrayBytes(const target_name &Target,
                                        time_point Now) -> void {
  StrayUntil[Target] = Now + StrayTime;
}

auto connection_trust::recordUnnamedAnswer(const service_name &Service,
                                           time_point Now) -> void {
  UnnamedUntil[Service] = Now + UnnamedTime;
}

auto connection_trust::expire(time_point Now) -> void {
  std::erase_if(StrayUntil,
                [&](const auto &Stray) { return Now >= Stray.second; });
  std::erase_if(UnnamedUntil,
                [&](const auto &Unnamed) { return Now >= Unnamed.second; });
}

} // namespace limpetbridge::serving
