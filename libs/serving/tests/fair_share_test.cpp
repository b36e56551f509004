#include "serving/fair_share.h"

#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Fair shares: levels, order of those that wait, and decisions of the
/// dispatch.
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
  CPPUNIT_TEST(dispatch_nothingKnownOfWorkspace_isNotOwed);
  CPPUNIT_TEST(dispatch_starvedBeyondObjective_isOwed);
  CPPUNIT_TEST(dispatch_urgentRefusedForShare_lessUrgentIsSent);
  CPPUNIT_TEST(dispatch_urgentServedLess_yieldsAtItsTargetsOnly);
  CPPUNIT_TEST(dispatch_lateAndAhead_returnsAfterItsObjective);
  CPPUNIT_TEST(dispatch_farAboveShare_returnsWhenBackAtLevel);
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
    useKinds(500);
    fair_group Group = group("small", 500);
    for (int I = 0; I < 40; ++I) {
      Group.Route = I < 20 ? "/plan/" : "/chat/";
      Harness.State.Fairness.recordArrival(1000 + I, Group, 1, Harness.Now,
                                           Harness.Now);
      Harness.State.Fairness.recordOutcome(
          1000 + I, I < 20 ? fair_outcome::NotServed : fair_outcome::Served,
          Harness.Now);
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

  /// A workspace that begins to send, or whose callers leave early, must not
  /// pass for one that is hardly served.
  auto dispatch_nothingKnownOfWorkspace_isNotOwed() -> void {
    for (const bool Leaves : {false, true}) {
      startServed();
      for (request_number I = 11; I <= 15; ++I) {
        CPPUNIT_ASSERT(sends(I, "large"));
        if (Leaves)
          Harness.dispatch(caller_left{I});
      }
      for (request_number I = 21; I <= 26; ++I)
        sends(I, "small");
      CPPUNIT_ASSERT(!sends(29, "large"));
      CPPUNIT_ASSERT(Harness.onlyEffect<refuse_request>().Code ==
                     result_code::FairShareExceeded);
    }
  }

  /// Requests that are stuck at an engine must count before their deadline.
  auto dispatch_starvedBeyondObjective_isOwed() -> void {
    startServed();
    for (request_number I = 11; I <= 16; ++I)
      sends(I, "large");
    Harness.Now += milliseconds(1700);
    sends(21, "small");
    CPPUNIT_ASSERT(sends(29, "large"));
  }

  /// What a workspace is refused for its share says nothing about the kind.
  auto dispatch_urgentRefusedForShare_lessUrgentIsSent() -> void {
    startServed();
    for (request_number I = 11; I <= 16; ++I)
      sends(I, "small");
    std::size_t Refused = 0;
    for (const request_number I : {21, 24, 29, 32, 37, 45})
      Refused += sends(I, "large") ? 0 : 1;
    CPPUNIT_ASSERT(Refused >= 4);
    Harness.Key = "small";
    Harness.receiveRequest(50, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(request_number{50},
                         Harness.onlyEffect<send_attempt>().Number);
  }

  /// Urgent prompts gain nothing if others wait whose targets have room, nor if
  /// one that could be in time is refused after its wait.
  auto dispatch_urgentServedLess_yieldsAtItsTargetsOnly() -> void {
    startUrgentBehind();
    Harness.receiveRequest(30, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(request_number{30},
                         Harness.onlyEffect<send_attempt>().Number);
    Harness.receiveRequest(31, "/plan/x", "b", 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Harness.State.HeldRequests.size());
    for (int Ms = 0; Ms < 8000 && Harness.State.HeldRequests.size() > 0;
         Ms += 100) {
      Harness.receiveRequest(1000 + Ms, "/chat/x", "b", 400);
      Harness.Now += milliseconds(100);
      Harness.dispatch(tick{});
    }
    CPPUNIT_ASSERT_EQUAL(request_number{31},
                         Harness.onlyEffect<send_attempt>().Number);
  }

  /// The urgent kind was served half as often, so the kinds are level only
  /// after 56 s. Callers that were kept away for so long would have been served
  /// as soon as a prompt of theirs could be in time.
  auto dispatch_lateAndAhead_returnsAfterItsObjective() -> void {
    startUrgentBehind();
    for (request_number I = 41; I <= 64; ++I)
      Harness.receiveRequest(I, "/chat/x", "b", 16'000);
    Harness.receiveRequest(70, "/plan/x", "b", 4000);
    const auto RetryAfterMs = Harness.onlyEffect<refuse_request>().RetryAfterMs;
    CPPUNIT_ASSERT(RetryAfterMs >= 8000 && RetryAfterMs <= 8500);
  }

  /// Its rate is five times its level: 2 s * ln(5).
  auto dispatch_farAboveShare_returnsWhenBackAtLevel() -> void {
    contend();
    for (request_number I = 11; I <= 40; ++I) {
      sends(I, "small");
      Harness.dispatch(caller_left{I});
    }
    Harness.Now += milliseconds(600);
    CPPUNIT_ASSERT(!sends(45, "large"));
    const auto RetryAfterMs = Harness.onlyEffect<refuse_request>().RetryAfterMs;
    CPPUNIT_ASSERT(RetryAfterMs >= 3200 && RetryAfterMs <= 3800);
  }

private:
  static auto group(const char *Workspace, std::int64_t ObjectiveMs)
      -> fair_group {
    return {workspace_name(Workspace), std::to_string(ObjectiveMs),
            service_name("models"), ObjectiveMs};
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

  /// Urgent prompts to /chat/, others to /plan/ with the given objective.
  auto useKinds(std::uint32_t PlanMs) -> void {
    auto Configuration =
        makeConfiguration(3, {{"small", {"small"}}, {"large", {"large"}}});
    for (auto &Route : Configuration.Routes) {
      Route.TargetLatencyMs = Route.Name == "/plan/" ? PlanMs : 500;
      Route.Priority = Route.Name == "/plan/" ? 2 : 0;
      Route.TimeoutMs = Route.FirstOutputTimeoutMs = 12'000;
    }
    Harness.dispatch(configuration_read{Configuration});
  }

  /// "large" uses most, and ten urgent prompts of "small" were served, which
  /// left e1 and e2 idle.
  auto startServed() -> void {
    start({"small", "large"});
    useKinds(8000);
    report();
    Harness.addTarget("e2", "models", {"b"});
    Harness.Key = "small";
    for (request_number I = 1; I <= 10; ++I) {
      Harness.receiveRequest(I, "/chat/x", "b", 100);
      Harness.dispatch(first_output{I});
    }
  }

  /// Half of the urgent prompts failed, and e2 has no room for more in time.
  auto startUrgentBehind() -> void {
    startServed();
    Harness.addTarget("e3", "models", {"c"});
    for (request_number I = 11; I <= 20; ++I) {
      Harness.receiveRequest(I, "/chat/x", "c");
      Harness.endAttempt(I, attempt_end::Failed);
    }
    for (request_number I = 21; I <= 26; ++I)
      Harness.receiveRequest(I, "/chat/x", "b", 4000);
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
