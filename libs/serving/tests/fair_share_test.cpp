#include "serving/fair_share.h"

#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <numeric>
#include <tuple>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Requests of one workspace and route in a played load.
struct caller {
  std::string Workspace;
  int ObjectiveMs = 500; ///< Or 8000.
  double PerSecond = 0;
  int Sent = 0, Served = 0, InTime = 0;

  [[nodiscard]] auto inTime() const -> double {
    return Sent > 0 ? double(InTime) / Sent : 1;
  }
  [[nodiscard]] auto served() const -> double {
    return Sent > 0 ? double(Served) / Sent : 1;
  }
};

constexpr std::uint32_t PromptTokens = 2000;
constexpr std::array<const char *, 5> Models = {"a", "b", "c", "d", "e"};
constexpr int PrefillMs = 50; ///< Of one prompt; four targets: 80 a second.

/// Gateways before four engines, which prefill one prompt at a time, the more
/// urgent ones first. Shares are off without workspaces. Callers stay with one
/// gateway, but for the last one, which uses all.
class load {
public:
  load(std::vector<caller> Of, std::size_t GatewayCount, bool HasShares)
      : Callers(std::move(Of)), Gateways(GatewayCount) {
    std::map<std::string, std::vector<std::string>> Keys;
    if (HasShares)
      for (const auto &Caller : Callers)
        Keys[Caller.Workspace] = {Caller.Workspace};
    auto Configuration = makeConfiguration(2, Keys);
    for (auto &Route : Configuration.Routes) {
      Route.TargetLatencyMs = Route.Name == "/plan/" ? 8000 : 500;
      Route.Priority = Route.Name == "/plan/" ? 2 : 0;
      Route.TimeoutMs = Route.FirstOutputTimeoutMs = 12'000;
    }
    instances_listed Listed;
    for (std::size_t I = 0; I < GatewayCount; ++I) {
      auto &Instance = Listed.Instances.emplace_back();
      Instance.Name = instance_name("g" + std::to_string(I));
      Instance.Role = instance_role::Gateway;
      Instance.Address = std::to_string(I);
      Gateways[I].State.Options.Self = Instance.Name;
      Gateways[I].State.Options.HasFairShares = HasShares;
    }
    for (auto &Gateway : Gateways) {
      Gateway.dispatch(configuration_read{Configuration});
      Gateway.dispatch(Listed);
      for (const auto *Name : {"e1", "e2", "e3", "e4"})
        Gateway.addTarget(Name, "models", {Models.begin(), Models.end()});
    }
  }

  auto play(int Seconds) -> std::vector<caller> {
    std::minstd_rand Random(7);
    std::vector<double> Due(Callers.size());
    const auto Next = [&](std::size_t I) {
      return 1000 * std::exponential_distribution(Callers[I].PerSecond)(Random);
    };
    for (std::size_t I = 0; I < Due.size(); ++I)
      Due[I] = Next(I);
    for (int Ms = 0; Ms < 1000 * Seconds; ++Ms) {
      for (auto &Gateway : Gateways)
        Gateway.Now += milliseconds(1);
      for (std::size_t I = 0; I < Due.size(); ++I)
        for (; Due[I] <= Ms; Due[I] += Next(I))
          send(I);
      runTargets();
      for (std::size_t I = 0; I < Gateways.size(); ++I)
        if ((Ms + 7 * I) % 100 == 0)
          apply(I, tick{});
    }
    return Callers;
  }

private:
  struct engine {
    std::set<std::tuple<std::uint32_t, int, request_number>> Waiting;
    request_number Running = 0;
    time_point DoneAt;
  };
  struct owner {
    std::size_t Caller = 0;
    std::size_t Gateway = 0;
    time_point SentAt;
  };

  auto apply(std::size_t Gateway, const gateway_event &Event) -> void {
    Gateways[Gateway].dispatch(Event);
    note(Gateway);
  }

  /// Passes on what the last event caused.
  auto note(std::size_t Gateway) -> void {
    const auto Effects = Gateways[Gateway].Effects;
    for (const auto &Effect : Effects)
      if (const auto *Sent = std::get_if<send_attempt>(&Effect))
        Engines[Sent->Target].Waiting.emplace(Sent->Priority, ++Admitted,
                                              Sent->Number);
      else if (const auto *Digest = std::get_if<send_digest>(&Effect))
        for (const auto &Address : Digest->Addresses)
          apply(std::stoull(Address), Digest->Digest);
      else if (const auto *Reports = std::get_if<send_quota_reports>(&Effect))
        for (const auto &[Address, Report] : Reports->Reports)
          apply(std::stoull(Address), Report);
  }

  auto send(std::size_t Index) -> void {
    auto &Caller = Callers[Index];
    ++Caller.Sent;
    ++Last;
    const auto Gateway =
        (Index + 1 == Callers.size() ? Last : Index) % Gateways.size();
    Gateways[Gateway].Key = Caller.Workspace;
    Owners[Last] = {Index, Gateway, Gateways[Gateway].Now};
    Gateways[Gateway].receiveRequest(
        Last, Caller.ObjectiveMs > 500 ? "/plan/x" : "/chat/x",
        Models[Last % Models.size()], PromptTokens);
    note(Gateway);
  }

  auto runTargets() -> void {
    for (auto &[Name, Engine] : Engines) {
      const auto Now = Gateways[0].Now;
      if (Engine.Running != 0 && Now >= Engine.DoneAt) {
        const auto Number = std::exchange(Engine.Running, 0);
        const auto Owner = Owners.at(Number);
        auto &Caller = Callers[Owner.Caller];
        ++Caller.Served;
        if (Now - Owner.SentAt <= milliseconds(Caller.ObjectiveMs))
          ++Caller.InTime;
        apply(Owner.Gateway, first_output{Number});
        Gateways[Owner.Gateway].endAttempt(Number, attempt_end::Answered);
        note(Owner.Gateway);
      }
      if (Engine.Running == 0 && !Engine.Waiting.empty()) {
        Engine.Running = std::get<2>(*Engine.Waiting.begin());
        Engine.Waiting.erase(Engine.Waiting.begin());
        Engine.DoneAt = Now + milliseconds(PrefillMs);
      }
    }
  }

  std::vector<caller> Callers;
  std::vector<gateway_harness> Gateways;
  std::map<target_name, engine> Engines;
  std::map<request_number, owner> Owners;
  request_number Last = 0;
  int Admitted = 0; ///< By the engines.
};

/// Mean share in time of the tenth of \p Callers that has least.
auto worstTenth(const std::vector<caller> &Callers) -> double {
  std::vector<double> Shares;
  Shares.reserve(Callers.size());
  for (const auto &Caller : Callers)
    Shares.push_back(Caller.inTime());
  std::sort(Shares.begin(), Shares.end());
  const auto Count = std::max<std::ptrdiff_t>(1, std::ssize(Shares) / 10);
  return std::accumulate(Shares.begin(), Shares.begin() + Count, 0.0) /
         static_cast<double>(Count);
}

auto sumOf(const std::vector<caller> &Callers) -> caller {
  caller Sum;
  for (const auto &Caller : Callers) {
    Sum.Sent += Caller.Sent;
    Sum.Served += Caller.Served;
    Sum.InTime += Caller.InTime;
  }
  return Sum;
}

/// Plays \p Callers with and without shares, and prints the figures of both.
auto play(const char *Name, const std::vector<caller> &Callers,
          std::size_t GatewayCount = 1) -> std::vector<caller> {
  std::cout << "\n  " << Name << " (gateways: " << GatewayCount << "):";
  std::vector<caller> Results;
  for (const bool HasShares : {true, false}) {
    auto Result = load(Callers, GatewayCount, HasShares).play(30);
    const auto Last = Result.back();
    if (HasShares)
      Results = Result;
    Result.pop_back();
    std::cout << (HasShares ? " with shares " : "; without ") << "worst tenth "
              << worstTenth(Result) << " of " << sumOf(Result).inTime()
              << ", last one " << Last.inTime() << " in time";
  }
  return Results;
}

/// Fair shares: levels, order of those that wait, decisions of the dispatch,
/// and what a load of several workspaces gets.
class fair_share_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fair_share_test);
  CPPUNIT_TEST(fairLevel_anyRates_fillsTheCapacity);
  CPPUNIT_TEST(next_severalKinds_eachHasTurns);
  CPPUNIT_TEST(hold_tooMany_furthestAboveIsRefused);
  CPPUNIT_TEST(dispatch_noContention_nothingChanges);
  CPPUNIT_TEST(dispatch_switchedOff_nothingChanges);
  CPPUNIT_TEST(dispatch_largestInFleet_yields);
  CPPUNIT_TEST(dispatch_held_isSentOrRefusedInTime);
  CPPUNIT_TEST(dispatch_heldCallerLeaves_isForgotten);
  CPPUNIT_TEST(dispatch_owedKind_isBookedInFirstRank);
  CPPUNIT_TEST(dispatch_repeatOfUnsent_isNotHeld);
  CPPUNIT_TEST(load_oneAtFiveTimes_othersKeepTheirShare);
  CPPUNIT_TEST(load_smallBesideHalfOfAll_isServed);
  CPPUNIT_TEST(load_manyWorkspaces_mostAreInTime);
  CPPUNIT_TEST(load_twoKinds_noneStarves);
  CPPUNIT_TEST_SUITE_END();

public:
  auto fairLevel_anyRates_fillsTheCapacity() -> void {
    const std::vector<offered_rate> Rates = {{8, 8}, {1, 1}, {1, 1}, {0, 0}};
    CPPUNIT_ASSERT_EQUAL(8.0, fairLevel(Rates, 1));
    CPPUNIT_ASSERT_EQUAL(3.0, fairLevel(Rates, 0.5));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fairLevel(Rates, 0.15), 1e-9);
    // Half of what the large one sends is what comes here.
    CPPUNIT_ASSERT_EQUAL(6.0, fairLevel({{8, 4}, {1, 1}}, 0.8));
    CPPUNIT_ASSERT_EQUAL(0.0, fairLevel({}, 1));
  }

  /// The less urgent kind must not wait until the urgent one is done, and a
  /// workspace with little use goes before one with much.
  auto next_severalKinds_eachHasTurns() -> void {
    fair_queue Queue;
    for (request_number I = 1; I <= 6; ++I)
      Queue.hold(I, group("large", 500), 100, 5000);
    Queue.hold(7, group("small", 500), 100, 4950);
    Queue.hold(8, group("large", 8000), 100, 5000);
    const auto Next = Queue.next(4);
    CPPUNIT_ASSERT(Next[0] == 7 && Next[1] == 1 && Next[2] == 2);
    CPPUNIT_ASSERT_EQUAL(request_number{8}, Next[3]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Queue.next(99).size());
    for (request_number I = 1; I <= 9; ++I)
      Queue.erase(I);
    CPPUNIT_ASSERT(Queue.size() == 0 && Queue.next(1).empty());
  }

  auto hold_tooMany_furthestAboveIsRefused() -> void {
    fair_queue Queue;
    for (request_number I = 1; I <= fair_queue::MaxSize; ++I)
      CPPUNIT_ASSERT(!Queue.hold(I, group("large", 500), 100, 5000));
    CPPUNIT_ASSERT_EQUAL(
        request_number{fair_queue::MaxSize},
        Queue.hold(99, group("small", 500), 100, 10).value_or(0));
    CPPUNIT_ASSERT_EQUAL(
        request_number{98},
        Queue.hold(98, group("large", 500), 100, 5000).value_or(0));
  }

  auto dispatch_noContention_nothingChanges() -> void {
    start({"small", "large"});
    for (request_number I = 1; I <= 4; ++I)
      CPPUNIT_ASSERT(sends(I, "large") &&
                     Harness.effectsOf<record_fair_share>().empty());
    // Also alone it would be late: that is no contention.
    Harness.Now += seconds(5);
    CPPUNIT_ASSERT(sends(5, "large", 60'000));
    CPPUNIT_ASSERT(Harness.effectsOf<record_fair_share>().empty());
  }

  /// Deployments without the setting must be served as before.
  auto dispatch_switchedOff_nothingChanges() -> void {
    start({"small", "large"});
    Harness.State.Options.HasFairShares = false;
    for (request_number I = 1; I <= 12; ++I)
      CPPUNIT_ASSERT(sends(I, "large") &&
                     Harness.effectsOf<record_fair_share>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Harness.State.Account.workspaceCount(Harness.Now));
  }

  /// A gateway sees few callers, so its own rates do not tell who is above.
  auto dispatch_largestInFleet_yields() -> void {
    contend();
    CPPUNIT_ASSERT(!sends(8, "large"));
    const auto Refusal = Harness.onlyEffect<refuse_request>();
    CPPUNIT_ASSERT(Refusal.Code == result_code::FairShareExceeded);
    CPPUNIT_ASSERT(Refusal.RetryAfterMs >= 150 && Refusal.RetryAfterMs <= 2200);
    CPPUNIT_ASSERT(sends(9, "small"));
    CPPUNIT_ASSERT(Harness.onlyEffect<record_fair_share>().End ==
                   fair_end::SentLate);
  }

  auto dispatch_held_isSentOrRefusedInTime() -> void {
    for (const bool HasRoom : {true, false}) {
      contend();
      for (request_number I = 1; I <= 2; ++I)
        Harness.dispatch(first_output{I});
      CPPUNIT_ASSERT(!sends(8, "large") &&
                     Harness.effectsOf<refuse_request>().empty());
      CPPUNIT_ASSERT(
          !Harness.logField("request_held", "fair_rate_per_s").empty());
      if (HasRoom) {
        Harness.dispatch(first_output{3});
        CPPUNIT_ASSERT_EQUAL(request_number{8},
                             Harness.onlyEffect<send_attempt>().Number);
      } else {
        Harness.Now += milliseconds(100);
        Harness.dispatch(tick{});
        CPPUNIT_ASSERT(Harness.effectsOf<refuse_request>().empty());
        Harness.Now += milliseconds(100);
        Harness.dispatch(tick{});
        CPPUNIT_ASSERT(Harness.onlyEffect<refuse_request>().Code ==
                       result_code::FairShareExceeded);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Harness.State.HeldRequests.size());
    }
  }

  auto dispatch_heldCallerLeaves_isForgotten() -> void {
    contend();
    for (request_number I = 1; I <= 2; ++I)
      Harness.dispatch(first_output{I});
    CPPUNIT_ASSERT(!sends(8, "large"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Harness.State.HeldRequests.size());
    Harness.dispatch(caller_left{8});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Harness.State.HeldRequests.size());
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT(Harness.effectsOf<send_attempt>().empty() &&
                   Harness.State.HeldRequests.size() == 0);
  }

  /// A prompt that is sent first must not count as less urgent work.
  auto dispatch_owedKind_isBookedInFirstRank() -> void {
    start({"small"});
    const auto PendingMs = [&](std::size_t Rank) {
      return Harness.State.Book.find(target_name("e1"))->load().pendingMs(Rank);
    };
    auto Configuration = makeConfiguration(3, {{"small", {"small"}}});
    for (auto &Route : Configuration.Routes) {
      Route.TargetLatencyMs = 500;
      Route.Priority = Route.Name == "/plan/" ? 2 : 0;
    }
    Harness.dispatch(configuration_read{Configuration});
    fair_group Group = group("small", 500);
    for (int I = 0; I < 40; ++I) {
      Group.Route = I < 20 ? "/plan/" : "/chat/";
      Harness.State.Fairness.recordArrival(Group, 1, Harness.Now);
      if (I >= 20)
        Harness.State.Fairness.recordServed(Group, Harness.Now);
    }
    for (request_number I = 1; I <= 6; ++I)
      sends(I, "small");
    const double Before = PendingMs(0);
    Harness.receiveRequest(99, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT(Harness.onlyEffect<record_fair_share>().End ==
                   fair_end::SentFirst);
    CPPUNIT_ASSERT(PendingMs(0) > Before);
    const double All = PendingMs(2);
    Harness.dispatch(first_output{99});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Before, PendingMs(0), 1e-6);
    CPPUNIT_ASSERT(PendingMs(2) < All);
  }

  /// A request that no target has seen must not wait or be refused again.
  auto dispatch_repeatOfUnsent_isNotHeld() -> void {
    start({"small", "large"});
    Harness.addTarget("e2", "models", {"a"});
    CPPUNIT_ASSERT(sends(1, "large"));
    report();
    for (request_number I = 2; I <= 13; ++I)
      sends(I, "small");
    Harness.endAttempt(1, attempt_end::NotSent);
    CPPUNIT_ASSERT_EQUAL(request_number{1},
                         Harness.onlyEffect<send_attempt>().Number);
  }

  /// At several gateways, each one knows of the others' work by their digests.
  auto load_oneAtFiveTimes_othersKeepTheirShare() -> void {
    auto Callers = makeCallers(15, 500, 4.5);
    Callers.push_back({"large", 500, 22.5});
    for (const auto &[GatewayCount, Least] :
         std::map<std::size_t, double>{{1, 0.85}, {4, 0.7}, {29, 0.4}}) {
      const auto Results =
          play("one of 16 at five times its load", Callers, GatewayCount);
      checkOthers(Results, Least);
      // 12.5 of its 22.5 requests a second fit.
      CPPUNIT_ASSERT(Results.back().inTime() > 0.45);
      CPPUNIT_ASSERT(Results.back().inTime() < 0.65);
    }
  }

  auto load_smallBesideHalfOfAll_isServed() -> void {
    auto Callers = makeCallers(5, 500, 9.4);
    Callers.push_back({"small", 500, 3});
    Callers.push_back({"large", 500, 50});
    checkOthers(play("3 a second beside half of all", Callers), 0.9);
  }

  /// Most have no request in the time that rates are averaged over.
  auto load_manyWorkspaces_mostAreInTime() -> void {
    auto Callers = makeCallers(1999, 500, 0.036);
    Callers.push_back({"large", 500, 20});
    const auto Results = play("2,000 workspaces", Callers);
    CPPUNIT_ASSERT(sumOf({Results.begin(), Results.end() - 1}).inTime() > 0.85);
  }

  /// The engines let urgent work pass, which is more than they can do here.
  auto load_twoKinds_noneStarves() -> void {
    auto Callers = makeCallers(8, 500, 10.5);
    const auto Patient = makeCallers(8, 8000, 2.5);
    Callers.insert(Callers.end(), Patient.begin(), Patient.end());
    const auto Results = play("two kinds", Callers);
    const auto Chat = sumOf({Results.begin(), Results.begin() + 8});
    const auto Plan = sumOf({Results.begin() + 8, Results.end()});
    std::cout << "\n  served: 500 ms " << Chat.served() << ", 8,000 ms "
              << Plan.served();
    const auto Served = sumOf(Results).served();
    CPPUNIT_ASSERT(std::min(Chat.served(), Plan.served()) > 0.25 * Served);
    CPPUNIT_ASSERT(Chat.served() > Plan.served() - 0.05);
  }

private:
  static auto group(const char *Workspace, std::int64_t ObjectiveMs)
      -> fair_group {
    return {workspace_name(Workspace), std::to_string(ObjectiveMs),
            service_name("models"), ObjectiveMs};
  }

  /// All but the last one get the given share in time, and nobody is served
  /// less than a quarter as often as all.
  static auto checkOthers(const std::vector<caller> &Results, double Share)
      -> void {
    CPPUNIT_ASSERT(worstTenth({Results.begin(), Results.end() - 1}) > Share);
    for (const auto &Caller : Results)
      CPPUNIT_ASSERT(Caller.served() > 0.25 * sumOf(Results).served());
  }

  static auto makeCallers(std::size_t Count, int ObjectiveMs, double PerSecond)
      -> std::vector<caller> {
    std::vector<caller> Callers(Count, {"", ObjectiveMs, PerSecond});
    for (std::size_t I = 0; I < Count; ++I)
      Callers[I].Workspace = "w" + std::to_string(I);
    return Callers;
  }

  auto start(const std::vector<std::string> &Workspaces) -> void {
    Harness = gateway_harness();
    Harness.State.Options.HasFairShares = true;
    std::map<std::string, std::vector<std::string>> Keys;
    for (const auto &Name : Workspaces)
      Keys[Name] = {Name};
    Harness.dispatch(configuration_read{makeConfiguration(2, Keys)});
    Harness.addTarget("e1", "models", {"a"});
  }

  /// Another gateway reports that "large" uses most.
  auto report() -> void {
    quota_message Message;
    Message.Incarnation = Message.Number = 1;
    Message.Demands = {{workspace_name("large"), 0, 0, 4e6}};
    Harness.State.Account.receive(instance_name("g2"), Message, Harness.Now);
  }

  /// "large" uses most, as another gateway reports, and the sixth prompt of
  /// "small" can not be in time.
  auto contend() -> void {
    start({"small", "large"});
    report();
    for (request_number I = 1; I <= 6; ++I)
      CPPUNIT_ASSERT(sends(I, "small"));
    CPPUNIT_ASSERT(Harness.onlyEffect<record_fair_share>().End ==
                   fair_end::SentLate);
  }

  auto sends(request_number Number, const char *Key,
             std::uint32_t Tokens = 4000) -> bool {
    Harness.Key = Key;
    Harness.receiveRequest(Number, "/chat/x", "a", Tokens);
    return !Harness.effectsOf<send_attempt>().empty();
  }

  gateway_harness Harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_share_test);

} // namespace
