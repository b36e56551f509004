#include "quota_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <cmath>
#include <iostream>
#include <limits>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

const workspace_name Small("small");
const workspace_name Large("large");

auto productPolicy() -> quota_policy { return {seconds(8), 0.1, 110'000}; }

auto boundOf(const quota_policy &Policy, const quota_limit &Limit) -> double {
  return (Limit.PerSecond * 8 + Limit.Burst) * (1 + Policy.Overrun) +
         Policy.Slack;
}

/// Callers of one workspace that stay with some gateways and send at random
/// times.
struct caller_group {
  workspace_name Workspace;
  double PerSecond = 0; ///< Requests.
  double Tokens = 0;    ///< Of one request.
  std::vector<instance_name> Gateways;
};

auto runLoad(quota_fleet &Fleet, const std::vector<caller_group> &Groups,
             duration Span) -> void {
  for (const auto End = Fleet.Now + Span; Fleet.Now < End;) {
    Fleet.run(quota_fleet::Step);
    for (const auto &Group : Groups) {
      std::poisson_distribution<int> Count(
          Group.PerSecond *
          std::chrono::duration<double>(quota_fleet::Step).count());
      for (int I = Count(Fleet.Random); I > 0; --I)
        Fleet.request(Group.Gateways[Fleet.Random() % Group.Gateways.size()],
                      Group.Workspace, Group.Tokens);
    }
  }
}

/// A fleet whose gateways have started.
auto startedFleet(std::size_t Count,
                  const std::map<workspace_name, quota_limit> &Limits,
                  const quota_policy &Policy = productPolicy(),
                  std::uint64_t Seed = 1) -> quota_fleet {
  quota_fleet Fleet(Policy, Seed);
  Fleet.setLimits(Limits);
  for (std::size_t I = 0; I < Count; ++I)
    Fleet.add();
  Fleet.run(seconds(20));
  return Fleet;
}

auto firstGateways(const quota_fleet &Fleet, std::size_t Count)
    -> std::vector<instance_name> {
  std::vector<instance_name> Names;
  for (const auto &[Name, Gateway] : Fleet.Gateways)
    if (Names.size() < Count)
      Names.push_back(Name);
  return Names;
}

auto randomList(quota_fleet &Fleet) -> quota_fleet::first_list {
  return static_cast<quota_fleet::first_list>(Fleet.Random() % 3);
}

/// Time between two faults. Some are longer than the 30 s after which gateways
/// forget each other.
auto randomPause(quota_fleet &Fleet) -> duration {
  const auto Longest = Fleet.Random() % 4 == 0 ? 45'000 : 6000;
  return milliseconds(200 + Fleet.Random() % Longest);
}

/// One byte is one fault. A gateway may start at any time and on any side.
auto applyFault(quota_fleet &Fleet, std::uint8_t Code, bool AnyList,
                quota_limit &Limit) -> void {
  const auto Choice = static_cast<std::size_t>(Code / 8);
  const auto Index = Choice % Fleet.Gateways.size();
  const auto Chosen =
      std::next(Fleet.Gateways.begin(), static_cast<std::ptrdiff_t>(Index));
  const auto Name = Chosen->first;
  switch (Code % 8) {
  case 0:
    Fleet.start(Name, Chosen->second.Side,
                AnyList ? randomList(Fleet) : quota_fleet::first_list::Fresh);
    break;
  case 1:
    Chosen->second.FrozenUntil = Fleet.Now + milliseconds(1300) * Choice;
    break;
  case 2:
    Chosen->second.Alive = false;
    break;
  case 3: // A partition, or its end.
    Fleet.part(Choice % 8 != 0);
    break;
  case 4:
    if (Fleet.Gateways.size() < 9) {
      const auto Side = Fleet.randomSide();
      Fleet.add(Side,
                AnyList ? randomList(Fleet) : quota_fleet::first_list::Fresh);
    }
    break;
  case 5:
    Fleet.Network.Loss = 0.03 * static_cast<double>(Choice);
    Fleet.Network.MaxDelay = milliseconds(Choice % 4 == 0 ? 3000 : 20);
    Fleet.Network.Duplicates = 0.2;
    break;
  case 6:
    Limit.PerSecond = 1000 + 1000 * static_cast<double>(Choice);
    Fleet.setLimits({{Small, Limit}});
    break;
  default:
    Fleet.run(milliseconds(500) * Choice);
    break;
  }
}

class quota_shares_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(quota_shares_test);
  CPPUNIT_TEST(anyFaults_greedyCallers_stayWithinTheBound);
  CPPUNIT_TEST(faultsWithoutPartitions_greedyCallers_stayWithinTheBound);
  CPPUNIT_TEST(startsInPartitions_greedyCallers_stayWithinTheBound);
  CPPUNIT_TEST(admit_loadBelowTheLimit_isRarelyRefused);
  CPPUNIT_TEST(admit_smallWorkspaceBesideLarge_isRarelyRefused);
  CPPUNIT_TEST(admit_largestRequestAtAFreshGateway_gathersTokens);
  CPPUNIT_TEST(admit_overTheLimit_isRefusedWithASpreadTime);
  CPPUNIT_TEST(admit_oneGatewayAlone_usesTheWholeLimit);
  CPPUNIT_TEST(start_allGatewaysAtOnce_sharesBeginWithinASecond);
  CPPUNIT_TEST(start_oneGatewayAfterTheOther_sharesBeginWithinASecond);
  CPPUNIT_TEST(admit_noQuota_admitsAll);
  CPPUNIT_TEST(setLimits_tenChangesInTenSeconds_sharesStay);
  CPPUNIT_TEST(setLimits_lowered_bindsAtOnce);
  CPPUNIT_TEST(giveBack_refusedWithoutHavingRun_canBeAdmittedAgain);
  CPPUNIT_TEST(messageFor_manyWorkspaces_namesOnlyThoseInUse);
  CPPUNIT_TEST(receive_malformedNumbers_areIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Whatever happens to messages and gateways, the fleet admits no more than
  /// the bound in any window.
  auto anyFaults_greedyCallers_stayWithinTheBound() -> void {
    checkBound({0, 1, 2, 3, 4, 5, 6, 7});
  }

  /// The same without partitions, and with lists of gateways that are current.
  auto faultsWithoutPartitions_greedyCallers_stayWithinTheBound() -> void {
    checkBound({0, 0, 1, 2, 4, 5, 6, 7}, false);
  }

  /// Processes that start in a partition do not know who is running on its
  /// other side. Shares that they took from their own list of gateways came on
  /// top of those in use there.
  auto startsInPartitions_greedyCallers_stayWithinTheBound() -> void {
    checkBound({0, 0, 0, 2, 3, 3, 4, 4});
  }

  /// Refusing requests within the limit loses their worth.
  auto admit_loadBelowTheLimit_isRarelyRefused() -> void {
    for (const std::size_t Count : {3, 29, 103})
      for (const std::size_t Used : {std::size_t{3}, Count}) {
        auto Fleet = startedFleet(Count, {{Small, {29'000, 29'000}}});
        runLoad(Fleet, {{Small, 2.3, 9000, firstGateways(Fleet, Used)}},
                seconds(30));
        // One request of some seventy is 1.4 %.
        report("callers at " + std::to_string(Used), Fleet, Small, 0.01);
      }
  }

  auto admit_smallWorkspaceBesideLarge_isRarelyRefused() -> void {
    auto Fleet = startedFleet(
        29, {{Small, {40'000, 40'000}}, {Large, {500'000, 500'000}}});
    const auto All = firstGateways(Fleet, 29);
    runLoad(Fleet,
            {{Small, 3, 9000, firstGateways(Fleet, 3)}, {Large, 45, 9190, All}},
            seconds(40));
    report("small", Fleet, Small, 0.01);
    report("large", Fleet, Large, 0.01);
  }

  auto admit_largestRequestAtAFreshGateway_gathersTokens() -> void {
    auto Fleet = startedFleet(29, {{Small, {29'000, 60'000}}});
    Fleet.request(firstGateways(Fleet, 1)[0], Small, 57'000);
    Fleet.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0.0, Fleet.Records[Small].Refused);
  }

  auto admit_overTheLimit_isRefusedWithASpreadTime() -> void {
    auto Fleet = startedFleet(1, {{Small, {1000, 1000}}}, {seconds(8), 0.1, 0});
    auto &Shares = Fleet.Gateways.begin()->second.Shares;
    const auto Now = Fleet.Now + Fleet.Gateways.begin()->second.ClockOffset;
    std::set<duration> Times;
    for (int I = 0; I < 50; ++I) {
      const auto Decision = Shares.admit(Small, 500, true, Now);
      if (Decision.Verdict == quota_decision::verdict::Admitted)
        continue;
      CPPUNIT_ASSERT(Decision.Verdict == quota_decision::verdict::Refused);
      CPPUNIT_ASSERT(Decision.RetryAfter >= milliseconds(100));
      CPPUNIT_ASSERT(Decision.RetryAfter <= seconds(8));
      Times.insert(Decision.RetryAfter);
    }
    CPPUNIT_ASSERT(Times.size() > 40);
  }

  auto admit_oneGatewayAlone_usesTheWholeLimit() -> void {
    auto Fleet = startedFleet(1, {{Small, {1000, 1000}}}, {seconds(8), 0.1, 0});
    runLoad(Fleet, {{Small, 9, 100, firstGateways(Fleet, 1)}}, seconds(60));
    CPPUNIT_ASSERT_EQUAL(0.0, Fleet.Records[Small].WronglyRefused);
  }

  /// Guards against a fleet that refuses all for the term of a loan (2 s) after
  /// all its gateways have started again.
  auto start_allGatewaysAtOnce_sharesBeginWithinASecond() -> void {
    const workspace_name Workspace("large");
    quota_fleet Fleet({seconds(8), 0.1, 0}, 7);
    Fleet.setLimits({{Workspace, {500'000, 57'000}}});
    for (int I = 0; I < 29; ++I)
      Fleet.add();
    Fleet.run(seconds(10));
    for (auto &[Name, Gateway] : Fleet.Gateways)
      Gateway.Alive = false;
    Fleet.run(seconds(1));
    std::vector<instance_name> Names;
    for (const auto &[Name, Gateway] : Fleet.Gateways)
      Names.push_back(Name);
    for (const auto &Name : Names)
      Fleet.start(Name, 0, quota_fleet::first_list::Fresh);
    Fleet.run(seconds(1));
    for (const auto &Name : Names)
      Fleet.request(Name, Workspace, 100);
    Fleet.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0.0, Fleet.Records.at(Workspace).Refused);
  }

  /// Guards against the first gateways of a fleet taking all shares alone, so
  /// that those which start 100 ms later wait for a term each time.
  auto start_oneGatewayAfterTheOther_sharesBeginWithinASecond() -> void {
    const workspace_name Workspace("large");
    quota_fleet Fleet({seconds(8), 0.1, 0}, 7);
    Fleet.setLimits({{Workspace, {500'000, 57'000}}});
    std::vector<instance_name> Names;
    for (int I = 0; I < 10; ++I) {
      Names.push_back(Fleet.add());
      Fleet.run(milliseconds(100));
    }
    Fleet.run(seconds(1));
    for (const auto &Name : Names)
      Fleet.request(Name, Workspace, 100);
    Fleet.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0.0, Fleet.Records.at(Workspace).Refused);
  }

  auto admit_noQuota_admitsAll() -> void {
    quota_shares NoWindow({}, instance_name("a"), 1, 1);
    quota_shares NoLimit(productPolicy(), instance_name("a"), 1, 1);
    NoWindow.setLimits({{Small, {1, 1}}}, Start);
    NoLimit.setLimits({{Small, {0, 5}}}, Start);
    for (auto *Shares : {&NoWindow, &NoLimit})
      CPPUNIT_ASSERT(Shares->admit(Small, 1e9, true, Start).Verdict ==
                     quota_decision::verdict::Admitted);
  }

  /// A change must not end loans: the shares of a workspace that few gateways
  /// use would have to be gathered again.
  auto setLimits_tenChangesInTenSeconds_sharesStay() -> void {
    auto Fleet = startedFleet(29, {{Small, {40'000, 40'000}}});
    const std::vector<caller_group> Groups = {
        {Small, 3, 9000, firstGateways(Fleet, 3)}};
    runLoad(Fleet, Groups, seconds(10));
    Fleet.Records[Small].WronglyRefused = 0;
    for (int I = 0; I < 10; ++I) {
      Fleet.setLimits({{Small, {I % 2 == 0 ? 60'000.0 : 40'000.0, 40'000}}});
      runLoad(Fleet, Groups, seconds(1));
    }
    report("changing limit", Fleet, Small, 0.01);
  }

  auto setLimits_lowered_bindsAtOnce() -> void {
    const quota_policy Policy{seconds(8), 0.1, 10'000};
    auto Fleet = startedFleet(5, {{Small, {50'000, 100'000}}}, Policy);
    const quota_limit Lowered{5'000, 10'000};
    Fleet.setLimits({{Small, Lowered}});
    runLoad(Fleet, {{Small, 50, 1000, firstGateways(Fleet, 5)}}, seconds(20));
    CPPUNIT_ASSERT(Fleet.largestWindow(Small) <= boundOf(Policy, Lowered));
  }

  auto giveBack_refusedWithoutHavingRun_canBeAdmittedAgain() -> void {
    auto Fleet = startedFleet(1, {{Small, {1, 100}}}, {seconds(8), 0.1, 0});
    auto &Shares = Fleet.Gateways.begin()->second.Shares;
    const auto Now =
        Fleet.Now + Fleet.Gateways.begin()->second.ClockOffset + seconds(300);
    for (int I = 0; I < 5; ++I) {
      CPPUNIT_ASSERT(Shares.admit(Small, 90, true, Now).Verdict ==
                     quota_decision::verdict::Admitted);
      Shares.giveBack(Small, 90, Now);
      Shares.giveBack(Small, std::numeric_limits<double>::quiet_NaN(), Now);
    }
    CPPUNIT_ASSERT(Shares.status(Now)[Small].Tokens <= 200);
  }

  /// Messages would not fit into a datagram if they named all workspaces.
  auto messageFor_manyWorkspaces_namesOnlyThoseInUse() -> void {
    std::map<workspace_name, quota_limit> Limits;
    for (int I = 0; I < 2000; ++I)
      Limits[workspace_name("w" + std::to_string(I))] = {29'000, 29'000};
    auto Fleet = startedFleet(5, Limits);
    std::vector<caller_group> Groups;
    for (std::size_t I = 0; I < 20; ++I)
      Groups.push_back({workspace_name("w" + std::to_string(I)), 1, 900,
                        firstGateways(Fleet, 1 + I % 5)});
    runLoad(Fleet, Groups, seconds(5));
    CPPUNIT_ASSERT(Fleet.LargestMessage > 0);
    CPPUNIT_ASSERT(Fleet.LargestMessage <= 40);
  }

  auto receive_malformedNumbers_areIgnored() -> void {
    auto Fleet = startedFleet(2, {{Small, {1000, 1000}}}, {seconds(8), 0.1, 0});
    auto &Gateway = Fleet.Gateways.begin()->second;
    const auto Now = Fleet.Now + Gateway.ClockOffset;
    const auto Sent =
        Gateway.Shares.messageFor(instance_name("gateway-1"), Now);
    std::uint64_t Number = 1'000'000;
    for (const auto Odd :
         {-1.0, 1e300, std::nan(""), std::numeric_limits<double>::infinity()})
      for (const std::uint32_t Members : {0U, 2U, 4'000'000'000U}) {
        quota_message Message{2,
                              ++Number,
                              Sent.Incarnation,
                              Sent.Number,
                              Members,
                              0,
                              {{Small, Odd, Odd}},
                              {{Small, Odd, Odd, false, Odd}}};
        (void)Gateway.Shares.receive(instance_name("gateway-1"), Message, Now);
        (void)Gateway.Shares.takeUrgentReceivers(Now);
        const auto Status = Gateway.Shares.status(Now)[Small];
        CPPUNIT_ASSERT(Status.Share >= 0 && Status.Share <= 0.5 + 1e-9);
        CPPUNIT_ASSERT(Status.Tokens >= 0 && Status.Tokens <= 2000);
      }
  }

private:
  static constexpr time_point Start{seconds(1000)};

  /// \param Kinds faults of applyFault, each as likely as it is frequent.
  /// \param AnyList lists that gateways read first may be old or missing.
  static auto checkBound(const std::array<std::uint8_t, 8> &Kinds,
                         bool AnyList = true) -> void {
    CPPUNIT_ASSERT(rc::check([&] {
      const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
      // Longer lists take too long. Bytes of that size are at most 3, which
      // part no gateways.
      const auto Faults = *rc::gen::resize(
          30, rc::gen::container<std::vector<std::uint8_t>>(rc::gen::resize(
                  rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>())));
      const quota_policy Policy{seconds(8), 0.1,
                                static_cast<double>(Seed % 3) * 10'000};
      quota_limit Limit{20'000, static_cast<double>(Seed % 5) * 10'000};
      quota_limit Highest = Limit;
      auto Fleet = startedFleet(2 + Seed % 6, {{Small, Limit}}, Policy, Seed);
      for (const auto Fault : Faults) {
        const auto Gateways = firstGateways(Fleet, 9);
        runLoad(Fleet, {{Small, 40, 800, Gateways}, {Small, 2, 9000, Gateways}},
                randomPause(Fleet));
        applyFault(Fleet, Fault / 8 * 8 + Kinds[Fault % 8], AnyList, Limit);
        Highest.PerSecond = std::max(Highest.PerSecond, Limit.PerSecond);
      }
      RC_ASSERT(Fleet.largestWindow(Small) <= boundOf(Policy, Highest));
    }));
  }

  /// Prints the figure, so that a run shows it.
  static auto report(const std::string &What, quota_fleet &Fleet,
                     const workspace_name &Workspace, double Most) -> void {
    const auto &Record = Fleet.Records[Workspace];
    const auto Part = Record.WronglyRefused / Record.Offered;
    std::cout << "\n  wrongly refused, " << Fleet.Gateways.size()
              << " gateways, " << What << ": " << 100 * Part << " %, all "
              << 100 * Record.Refused / Record.Offered << " %, "
              << Fleet.Messages << " messages, largest "
              << Fleet.LargestMessage;
    CPPUNIT_ASSERT_MESSAGE(What, Part <= Most);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_shares_test);

} // namespace
