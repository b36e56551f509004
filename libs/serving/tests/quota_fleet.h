/// \file
/// Gateways that share quotas, in virtual time: their messages may be lost,
/// late, duplicated or reordered, and gateways may freeze, restart or be
/// parted.
#ifndef LIMPETBRIDGE_SERVING_TESTS_QUOTA_FLEET_H
#define LIMPETBRIDGE_SERVING_TESTS_QUOTA_FLEET_H

#include "serving/quota_shares.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>

namespace limpetbridge::serving {

struct quota_network {
  double Loss = 0.0015;
  double Duplicates = 0;
  duration MinDelay = milliseconds(3);
  duration MaxDelay = milliseconds(4);
};

/// What a fleet did in one workspace.
struct quota_record {
  std::deque<std::pair<time_point, double>> Admitted;
  double Offered = 0;
  double Refused = 0;
  double WronglyRefused = 0;
  double Level = 0; ///< See reference().
  time_point LevelAt;
};

class quota_fleet {
public:
  static constexpr duration Step = milliseconds(5);
  static constexpr duration Lease = seconds(6);
  static constexpr duration MaxWait = milliseconds(100);

  struct gateway {
    quota_shares Shares;
    duration ClockOffset; ///< No two clocks agree.
    time_point NextDigest;
    time_point FrozenUntil{};
    bool Alive = true;
    int Side = 0; ///< Only gateways of side 0 reach the list of gateways.
    time_point ListedUntil{};
    struct waiter {
      workspace_name Workspace;
      double Tokens;
      time_point Until;
    };
    std::deque<waiter> Waiters{};
  };

  quota_fleet(const quota_policy &Policy, std::uint64_t Seed)
      : Policy(Policy), Random(Seed) {}

  /// What a process reads as it starts.
  enum class first_list : std::uint8_t { Fresh, Stale, Unavailable };

  auto add(int Side = 0, first_list First = first_list::Fresh)
      -> instance_name {
    instance_name Name("gateway-" + std::to_string(Gateways.size()));
    start(Name, Side, First);
    return Name;
  }
  /// A new process of the same gateway. On side 1 the list cannot be read, but
  /// a stale copy of it can.
  auto start(const instance_name &Name, int Side, first_list First) -> void {
    Gateways.erase(Name);
    auto &Gateway =
        Gateways
            .emplace(Name, gateway{quota_shares(Policy, Name, ++Incarnation,
                                                Random()),
                                   milliseconds(Random() % 100'000),
                                   Now + milliseconds(Random() % 100)})
            .first->second;
    Gateway.Side = Side;
    Gateway.Shares.setLimits(Limits, local(Gateway));
    if (First == first_list::Stale && !OldLists.empty())
      Gateway.Shares.setMembers(OldLists[Random() % OldLists.size()],
                                local(Gateway));
    if (First != first_list::Fresh || Side != 0)
      return;
    Gateway.ListedUntil = Now + Lease;
    list(Gateway);
  }
  /// Parts the gateways at random, or ends that.
  auto part(bool IsParted) -> void {
    IsSplit = IsParted;
    for (auto &[Name, Gateway] : Gateways)
      Gateway.Side = randomSide();
  }
  /// The side of a gateway that is added now.
  [[nodiscard]] auto randomSide() -> int {
    return IsSplit ? static_cast<int>(Random() % 2) : 0;
  }
  auto setLimits(const std::map<workspace_name, quota_limit> &New) -> void {
    Limits = New;
    for (auto &[Name, Gateway] : Gateways)
      Gateway.Shares.setLimits(Limits, local(Gateway));
  }

  /// A caller asks \p Gateway for tokens.
  auto request(const instance_name &Name, const workspace_name &Workspace,
               double Tokens) -> void {
    auto &Gateway = Gateways.at(Name);
    auto &Record = Records[Workspace];
    Record.Offered += Tokens;
    if (isRunning(Gateway))
      decide(Gateway, Workspace, Tokens, Now + MaxWait);
  }

  auto run(duration Span) -> void {
    for (const auto End = Now + Span; Now < End;) {
      Now += Step;
      deliver();
      for (auto &[Name, Gateway] : Gateways) {
        if (!isRunning(Gateway))
          continue;
        while (!Gateway.Waiters.empty() && Gateway.Waiters.front().Until <= Now)
          retry(Gateway, Gateway.Waiters.front().Workspace, true);
        if (Gateway.NextDigest <= Now) {
          digest(Name, Gateway);
        } else {
          sendUrgent(Name, Gateway);
        }
      }
    }
  }

  /// Largest sum of admitted tokens in any window of the policy.
  [[nodiscard]] auto largestWindow(const workspace_name &Workspace) const
      -> double {
    const auto Found = Records.find(Workspace);
    double Largest = 0;
    double Sum = 0;
    if (Found == Records.end())
      return 0;
    const auto &Admitted = Found->second.Admitted;
    for (std::size_t First = 0, Last = 0; Last < Admitted.size(); ++Last) {
      Sum += Admitted[Last].second;
      while (Admitted[Last].first - Admitted[First].first >= Policy.Window)
        Sum -= Admitted[First++].second;
      Largest = std::max(Largest, Sum);
    }
    return Largest;
  }

  quota_policy Policy;
  quota_network Network;
  std::map<instance_name, gateway> Gateways;
  std::map<workspace_name, quota_record> Records;
  time_point Now{seconds(1000)};
  std::mt19937_64 Random;
  std::size_t Messages = 0;
  std::size_t LargestMessage = 0; ///< Entries.

private:
  [[nodiscard]] auto local(const gateway &Gateway) const -> time_point {
    return Now + Gateway.ClockOffset;
  }
  [[nodiscard]] auto isRunning(const gateway &Gateway) const -> bool {
    return Gateway.Alive && Gateway.FrozenUntil <= Now;
  }
  [[nodiscard]] auto chance(double Probability) -> bool {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  /// Gateways of side 0 read the list; rows of the others expire.
  auto list(gateway &Gateway) -> void {
    std::set<instance_name> Listed;
    for (const auto &[Name, Other] : Gateways)
      if (Other.ListedUntil > Now)
        Listed.insert(Name);
    Gateway.Shares.setMembers(Listed, local(Gateway));
    if (Now < NextOldList)
      return;
    NextOldList = Now + seconds(1);
    OldLists.push_back(std::move(Listed));
  }

  auto digest(const instance_name &Name, gateway &Gateway) -> void {
    const auto Interval =
        milliseconds(10 * std::max<std::size_t>(10, Gateways.size()));
    Gateway.NextDigest = Now + Interval;
    if (Gateway.Side == 0) {
      Gateway.ListedUntil = Now + Lease;
      list(Gateway);
    }
    (void)Gateway.Shares.takeUrgentReceivers(local(Gateway));
    for (const auto &[Other, Receiver] : Gateways)
      if (Other != Name)
        send(Name, Gateway, Other);
  }
  auto sendUrgent(const instance_name &Name, gateway &Gateway) -> void {
    for (const auto &To : Gateway.Shares.takeUrgentReceivers(local(Gateway)))
      send(Name, Gateway, To);
  }
  auto send(const instance_name &From, gateway &Gateway,
            const instance_name &To) -> void {
    const auto Message = Gateway.Shares.messageFor(To, local(Gateway));
    ++Messages;
    LargestMessage =
        std::max(LargestMessage, Message.Demands.size() + Message.Loans.size());
    const auto Receiver = Gateways.find(To);
    if (Receiver == Gateways.end() || Receiver->second.Side != Gateway.Side)
      return;
    for (int I = chance(Network.Duplicates) ? 2 : 1; I > 0; --I)
      if (!chance(Network.Loss))
        InFlight.emplace(Now + std::uniform_int_distribution<duration::rep>(
                                   Network.MinDelay.count(),
                                   Network.MaxDelay.count())(Random) *
                                   duration(1),
                         datagram{From, To, Message});
  }
  auto deliver() -> void {
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      const auto Datagram = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      auto &Receiver = Gateways.at(Datagram.To);
      if (!Receiver.Alive)
        continue;
      if (!isRunning(Receiver)) {
        InFlight.emplace(Receiver.FrozenUntil + Step, Datagram);
        continue;
      }
      for (const auto &Workspace : Receiver.Shares.receive(
               Datagram.From, Datagram.Message, local(Receiver)))
        retry(Receiver, Workspace, false);
      sendUrgent(Datagram.To, Receiver);
    }
  }

  auto decide(gateway &Gateway, const workspace_name &Workspace, double Tokens,
              time_point Until) -> void {
    const auto Decision =
        Gateway.Shares.admit(Workspace, Tokens, Now < Until, local(Gateway));
    auto &Record = Records[Workspace];
    switch (Decision.Verdict) {
    case quota_decision::verdict::Admitted:
      Record.Admitted.emplace_back(Now, Tokens);
      reference(Workspace) -= Tokens;
      break;
    case quota_decision::verdict::Wait:
      Gateway.Waiters.push_back({Workspace, Tokens, Until});
      break;
    case quota_decision::verdict::Refused:
      Record.Refused += Tokens;
      Record.WronglyRefused += reference(Workspace) >= Tokens ? Tokens : 0;
      break;
    }
  }
  auto retry(gateway &Gateway, const workspace_name &Workspace, bool OnlyLate)
      -> void {
    auto Waiters = std::move(Gateway.Waiters);
    Gateway.Waiters.clear();
    for (const auto &Waiter : Waiters) {
      if (Waiter.Workspace != Workspace || (OnlyLate && Waiter.Until > Now)) {
        Gateway.Waiters.push_back(Waiter);
        continue;
      }
      Gateway.Shares.cancelWait(Workspace, Waiter.Tokens);
      decide(Gateway, Workspace, Waiter.Tokens, Waiter.Until);
    }
  }
  /// Bucket of one gateway with the whole limit that admits what the fleet
  /// does; below 0 if the fleet admitted more than is owed.
  auto reference(const workspace_name &Workspace) -> double & {
    auto &Record = Records[Workspace];
    const auto Limit = Limits.find(Workspace);
    const auto Passed =
        std::chrono::duration<double>(Now - Record.LevelAt).count();
    if (Limit != Limits.end())
      Record.Level = std::min(Limit->second.Burst,
                              Record.Level + Passed * Limit->second.PerSecond);
    Record.LevelAt = Now;
    return Record.Level;
  }

  struct datagram {
    instance_name From;
    instance_name To;
    quota_message Message;
  };
  std::multimap<time_point, datagram> InFlight;
  std::map<workspace_name, quota_limit> Limits;
  bool IsSplit = false;
  std::vector<std::set<instance_name>> OldLists; ///< One a second.
  time_point NextOldList;
  std::uint64_t Incarnation = 0;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TESTS_QUOTA_FLEET_H
