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

/// Mean share, in time or served, of the tenth of \p Callers that has least.
auto worstTenth(const std::vector<caller> &Callers,
                double (caller::*Share)() const = &caller::inTime) -> double {
  std::vector<double> Shares;
  Shares.reserve(Callers.size());
  for (const auto &Caller : Callers)
    Shares.push_back((Caller.*Share)());
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

/// Fair shares: what a load of several workspaces gets.
class fair_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fair_load_test);
  CPPUNIT_TEST(load_oneAtFiveTimes_othersKeepTheirShare);
  CPPUNIT_TEST(load_smallBesideHalfOfAll_isServed);
  CPPUNIT_TEST(load_manyWorkspaces_worstTenthHasAQuarter);
  CPPUNIT_TEST(load_twoKinds_noneStarves);
  CPPUNIT_TEST_SUITE_END();

public:
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
  auto load_manyWorkspaces_worstTenthHasAQuarter() -> void {
    auto Callers = makeCallers(1999, 500, 0.036);
    Callers.push_back({"large", 500, 20});
    const auto Results = play("2,000 workspaces", Callers);
    CPPUNIT_ASSERT(sumOf({Results.begin(), Results.end() - 1}).inTime() > 0.85);
    std::cout << "\n  served: worst tenth "
              << worstTenth(Results, &caller::served) << " of "
              << sumOf(Results).served();
    // Most have one request or none, so the worst tenth is looked at together.
    CPPUNIT_ASSERT(worstTenth(Results, &caller::inTime) >
                   0.25 * sumOf(Results).inTime());
    CPPUNIT_ASSERT(worstTenth(Results, &caller::served) >
                   0.25 * sumOf(Results).served());
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_load_test);

} // namespace
