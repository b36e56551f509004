#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// What quotas do to requests: when they are charged, wait, are refused, and
/// get their tokens back. The key of each workspace is its name.
class quota_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(quota_test);
  CPPUNIT_TEST(arrive_noLimit_isNotCharged);
  CPPUNIT_TEST(report_noWorkspaces_isNotSent);
  CPPUNIT_TEST(report_noLimitOrNoQuotas_tellsRates);
  CPPUNIT_TEST(rate_plainOrRefused_isNotCounted);
  CPPUNIT_TEST(arrive_anyUnit_chargesWhatIsStated);
  CPPUNIT_TEST(arrive_quotaUsedUp_isRefusedUntilRetryAfter);
  CPPUNIT_TEST(retry_keyMoved_isNotChargedAgain);
  CPPUNIT_TEST(end_everyWay_returnsTokensUnlessItMayHaveRun);
  CPPUNIT_TEST(wait_otherGatewayLends_isSent);
  CPPUNIT_TEST(wait_nobodyLends_isRefusedAfterAnEighth);
  CPPUNIT_TEST(wait_keyRemoved_isRefusedOnce);
  CPPUNIT_TEST(report_notForUs_isIgnored);
  CPPUNIT_TEST(members_listedAndSilent_areForgotten);
  CPPUNIT_TEST(machine_suspended_quotaBeginsEmpty);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Last = 0;
    Version = 1;
    start(A, "g1", 1);
  }

  auto arrive_noLimit_isNotCharged() -> void {
    know({"g1", "g2"});
    declare(A, {{"free", {}}});
    for (int I = 0; I < 1000; ++I)
      CPPUNIT_ASSERT(sends(A, "free"));
    CPPUNIT_ASSERT(status("free").Admitted == 0);
    for (int I = 0; I < 20; ++I) {
      advance(milliseconds(100));
      CPPUNIT_ASSERT(A.effectsOf<send_quota_reports>().empty());
    }
  }

  /// Older deployments have no workspaces; nothing more is sent there.
  auto report_noWorkspaces_isNotSent() -> void {
    A.State.Options.HasFairShares = true;
    know({"g1", "g2"});
    A.dispatch(configuration_read{makeConfiguration(++Version)});
    for (int I = 0; I < 20; ++I) {
      advance(milliseconds(100));
      CPPUNIT_ASSERT(A.effectsOf<send_quota_reports>().empty());
    }
  }

  /// Fair shares need the rates of all workspaces, also without quotas.
  auto report_noLimitOrNoQuotas_tellsRates() -> void {
    start(B, "g2", 2);
    for (const bool HasQuotas : {true, false}) {
      A.State.Options.HasFairShares = B.State.Options.HasFairShares = true;
      know({"g1", "g2"});
      declare(A, {{"free", {}}});
      declare(B, {{"free", {}}});
      if (!HasQuotas)
        A.State.Quotas.reset();
      for (int I = 0; I < 20; ++I) {
        CPPUNIT_ASSERT(sendsPrompt("free", 1));
        A.Now = B.Now = A.Now + milliseconds(100);
        A.dispatch(tick{});
        deliver(A, B);
      }
      const workspace_name Free("free");
      const auto Rate = B.State.Account.workspaceRate(Free, B.Now);
      CPPUNIT_ASSERT(Rate.PerSecond > 4 && Rate.PerSecond < 12);
      CPPUNIT_ASSERT(Rate.Age <= milliseconds(500));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           B.State.Account.workspaceCount(B.Now));
      CPPUNIT_ASSERT(B.State.Quotas->status(B.Now).empty());
      start(A, "g1", 3); // Its time goes on.
    }
  }

  /// What never reaches an engine must not count as use of engines.
  auto rate_plainOrRefused_isNotCounted() -> void {
    A.State.Options.HasFairShares = true;
    know({"g1"});
    declare(A,
            {{"free", {}}, {"a", {.Rate = 1, .Burst = 100, .InTokens = true}}});
    CPPUNIT_ASSERT(sends(A, "free", 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, A.State.Account.workspaceCount(A.Now));
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(!sendsPrompt("a", 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, A.State.Account.workspaceCount(A.Now));
    CPPUNIT_ASSERT(sendsPrompt("free", 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, A.State.Account.workspaceCount(A.Now));
  }

  auto arrive_anyUnit_chargesWhatIsStated() -> void {
    know({"g1"});
    declare(A, {{"calls", {.Rate = 10, .Burst = 100}},
                {"tokens", {.Rate = 1000, .Burst = 50'000, .InTokens = true}}});
    advance(seconds(20));
    CPPUNIT_ASSERT(sends(A, "calls", 5000));
    CPPUNIT_ASSERT(sends(A, "tokens", 5000));
    CPPUNIT_ASSERT(sends(A, "tokens"));
    CPPUNIT_ASSERT_EQUAL(1.0, status("calls").Admitted);
    CPPUNIT_ASSERT_EQUAL(5000 + UncountedTokens, status("tokens").Admitted);
  }

  auto arrive_quotaUsedUp_isRefusedUntilRetryAfter() -> void {
    know({"g1"});
    declare(A, {{"a", {.Rate = 10, .Burst = 5}}, {"b", {10, 5}}});
    advance(seconds(20));
    int Sent = 0;
    while (sends(A, "a"))
      CPPUNIT_ASSERT(++Sent < 1000);
    CPPUNIT_ASSERT(Sent >= 5);
    const auto Refusal = A.onlyEffect<refuse_request>();
    CPPUNIT_ASSERT(Refusal.Code == result_code::QuotaExceeded);
    CPPUNIT_ASSERT(Refusal.RetryAfterMs > 0 && Refusal.RetryAfterMs < 5000);
    CPPUNIT_ASSERT(A.State.Requests.size() == static_cast<std::size_t>(Sent));
    CPPUNIT_ASSERT(sends(A, "b"));
    advance(milliseconds(Refusal.RetryAfterMs));
    CPPUNIT_ASSERT(sends(A, "a"));
  }

  auto retry_keyMoved_isNotChargedAgain() -> void {
    know({"g1"});
    declare(A, {{"a", {10, 100}}, {"b", {10, 100}}});
    advance(seconds(20));
    CPPUNIT_ASSERT(sends(A, "a"));
    auto Moved = configurationOf({{"a", {10, 100}}, {"b", {10, 100}}});
    for (auto &Key : Moved.Keys)
      Key.Workspace = workspace_name("b");
    A.dispatch(configuration_read{Moved});
    A.endAttempt(Last, attempt_end::NotRun);
    CPPUNIT_ASSERT(A.onlyEffect<send_attempt>().Workspace.Text == "b");
    CPPUNIT_ASSERT_EQUAL(1.0, status("a").Admitted);
    CPPUNIT_ASSERT_EQUAL(0.0, status("b").Admitted);
  }

  auto end_everyWay_returnsTokensUnlessItMayHaveRun() -> void {
    know({"g1"});
    declare(A, {{"a", {.Rate = 10, .Burst = 100}}});
    advance(seconds(20));
    CPPUNIT_ASSERT(sends(A, "a")); // Its bucket is there from now on.
    A.endAttempt(Last, attempt_end::Answered);
    A.Now += seconds(5);
    const std::vector<std::pair<std::vector<gateway_event>, bool>> Cases = {
        {{ended(attempt_end::Answered)}, false},
        {{ended(attempt_end::Failed), ended(attempt_end::Failed)}, false},
        {{ended(attempt_end::Unknown), ended(attempt_end::NotRun)}, false},
        {{ended(attempt_end::NotRun), ended(attempt_end::NotRun)}, true},
        {{ended(attempt_end::NotRun), stop_deadline_passed{}}, false},
        {{caller_left{}}, false},
        {{deadline_passed{}}, false}};
    for (std::size_t I = 0; I < Cases.size(); ++I) {
      const auto Before = status("a").Tokens;
      CPPUNIT_ASSERT(sends(A, "a"));
      for (auto Event : Cases[I].first) {
        std::visit(
            [&](auto &Typed) {
              if constexpr (requires { Typed.Number; })
                Typed.Number = Last;
            },
            Event);
        A.dispatch(Event);
      }
      CPPUNIT_ASSERT(A.State.Requests.empty());
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(std::to_string(I),
                                           Cases[I].second ? 0 : 1,
                                           Before - status("a").Tokens, 0.1);
      A.Now += seconds(5); // Targets that failed are avoided for a while.
    }
  }

  auto wait_otherGatewayLends_isSent() -> void {
    startPair();
    useUp(A);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, A.State.QuotaWaits.size());
    const auto Number = Last;
    // A question and its answer, and perhaps another one.
    for (int I = 0; I < 4 && !A.State.QuotaWaits.empty(); ++I) {
      deliver(A, B);
      deliver(B, A);
    }
    CPPUNIT_ASSERT(A.State.QuotaWaits.empty());
    CPPUNIT_ASSERT_EQUAL(Number, A.onlyEffect<send_attempt>().Number);
    // Its deadline is its own again, and the timer of the wait means nothing.
    CPPUNIT_ASSERT(A.onlyEffect<set_deadline>().Deadline == A.Now + seconds(4));
    A.Now += milliseconds(75);
    A.dispatch(deadline_passed{Number});
    CPPUNIT_ASSERT(A.Effects.empty());
  }

  auto wait_nobodyLends_isRefusedAfterAnEighth() -> void {
    startPair();
    const auto Sent = useUp(A);
    // It asks again in the meantime.
    for (const auto Step : {milliseconds(50), milliseconds(25)}) {
      const auto End = A.onlyEffect<set_deadline>().Deadline;
      CPPUNIT_ASSERT(End == A.Now + Step);
      CPPUNIT_ASSERT(A.effectsOf<refuse_request>().empty());
      A.Now = End;
      A.dispatch(deadline_passed{Last});
    }
    const auto Refusal = A.onlyEffect<refuse_request>();
    CPPUNIT_ASSERT(Refusal.Code == result_code::QuotaExceeded &&
                   Refusal.RetryAfterMs > 0);
    CPPUNIT_ASSERT(A.State.QuotaWaits.empty());
    CPPUNIT_ASSERT_EQUAL(10 * Sent, status("a").Admitted);
  }

  auto wait_keyRemoved_isRefusedOnce() -> void {
    startPair();
    useUp(A);
    A.dispatch(configuration_read{makeConfiguration(++Version, {{"z", {}}})});
    CPPUNIT_ASSERT(A.onlyEffect<refuse_request>().Code ==
                   result_code::UnknownKey);
    CPPUNIT_ASSERT(A.State.QuotaWaits.empty());
    deliver(B, A);
  }

  auto report_notForUs_isIgnored() -> void {
    startPair();
    useUp(A);
    deliver(A, B);
    const auto Reports = B.effectsOf<send_quota_reports>();
    CPPUNIT_ASSERT(!Reports.empty());
    for (const auto &[Address, Report] : Reports.front().Reports) {
      auto Foreign = Report;
      Foreign.To = instance_name("g3");
      A.dispatch(Foreign);
      Foreign = Report;
      Foreign.From = instance_name("g9");
      A.dispatch(Foreign);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, A.State.QuotaWaits.size());
  }

  /// Records of gateways that were replaced stay in the store; their part of
  /// the quota would be lost for good.
  auto members_listedAndSilent_areForgotten() -> void {
    know({"g1", "g2", "g3"});
    declare(A, {{"a", {10, 100}}});
    advance(seconds(5));
    static_cast<void>(sends(A, "a"));
    CPPUNIT_ASSERT(status("a").Share <= 1.0 / 3);
    advance(seconds(70));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, status("a").Share, 1e-9);
  }

  /// Others may have taken over what it held while its clock stood still.
  auto machine_suspended_quotaBeginsEmpty() -> void {
    know({"g1"});
    declare(A, {{"a", {10, 100}}});
    advance(seconds(20));
    CPPUNIT_ASSERT(sends(A, "a"));
    const auto Running = Last;
    A.dispatch(machine_resumed{2});
    CPPUNIT_ASSERT(!sends(A, "a"));
    const auto Before = status("a").Tokens;
    A.endAttempt(Running, attempt_end::NotRun);
    A.endAttempt(Running, attempt_end::NotRun);
    CPPUNIT_ASSERT(status("a").Tokens <= Before);
  }

private:
  struct limit {
    double Rate = 0;
    double Burst = 0;
    bool InTokens = false;
  };
  using limits = std::map<std::string, limit>;
  static constexpr double UncountedTokens = 700;

  static auto ended(attempt_end End) -> attempt_ended {
    attempt_ended Event;
    Event.End = End;
    return Event;
  }

  static auto start(gateway_harness &Gateway, const char *Name,
                    std::uint64_t Incarnation) -> void {
    gateway_options Options;
    Options.Self = instance_name(Name);
    Options.Address = Name;
    Options.DataCentre = data_centre_name("north");
    Options.Retries.Extra = 100;
    Options.Quota.Window = seconds(8);
    Options.Quota.Overrun = 0.1;
    Options.Incarnation = Incarnation;
    Options.MaxConfigurationAge = std::chrono::hours(1);
    Gateway.State = makeGatewayState(Options);
    Gateway.dispatch(configuration_confirmed{Gateway.Now});
    Gateway.addTarget("l1", "ledger", {});
    Gateway.addTarget("l2", "ledger", {});
  }

  auto know(const std::vector<const char *> &Names) -> void {
    instances_listed Event;
    for (const auto *Name : Names)
      Event.Instances.push_back(
          {instance_name(Name), instance_role::Gateway, Name, ""});
    A.dispatch(Event);
    B.dispatch(Event);
  }

  auto configurationOf(const limits &Limits) -> configuration {
    std::map<std::string, std::vector<std::string>> Keys;
    for (const auto &[Name, Limit] : Limits)
      Keys[Name] = {Name};
    auto Configuration = makeConfiguration(++Version, Keys);
    for (const auto &[Name, Limit] : Limits) {
      auto &Spec = Configuration.Workspaces.at(workspace_name(Name));
      Spec.RatePerSecond = Limit.Rate;
      Spec.Burst = Limit.Burst;
      Spec.Unit = Limit.InTokens ? quota_unit::Tokens : quota_unit::Requests;
      Spec.UncountedTokens = UncountedTokens;
    }
    return Configuration;
  }

  auto declare(gateway_harness &Gateway, const limits &Limits) -> void {
    Gateway.dispatch(configuration_read{configurationOf(Limits)});
  }

  /// Two gateways that share a limit and have talked for a while.
  auto startPair() -> void {
    start(B, "g2", 2);
    know({"g1", "g2"});
    const limits Limits = {{"a", {.Rate = 20, .Burst = 500, .InTokens = true}}};
    declare(A, Limits);
    declare(B, Limits);
    for (int I = 0; I < 100; ++I) {
      A.Now = B.Now = A.Now + milliseconds(100);
      A.dispatch(tick{});
      B.dispatch(tick{});
      const auto FromA = A.Effects;
      deliver(B, A);
      A.Effects = FromA;
      deliver(A, B);
    }
  }

  /// Sends requests with 10 tokens until one is not sent at once. \returns the
  /// number of the others.
  auto useUp(gateway_harness &Gateway) -> double {
    double Sent = 0;
    while (sends(Gateway, "a", 10))
      CPPUNIT_ASSERT(++Sent < 1000);
    return Sent;
  }

  /// \p To gets what the last event at \p From has caused.
  static auto deliver(const gateway_harness &From, gateway_harness &To)
      -> void {
    for (const auto &Effect : From.effectsOf<send_quota_reports>())
      for (const auto &[Address, Report] : Effect.Reports)
        if (Address == To.State.Options.Address)
          To.dispatch(Report);
  }

  auto advance(duration Span) -> void {
    for (const auto End = A.Now + Span; A.Now < End;) {
      A.Now += milliseconds(100);
      A.dispatch(tick{});
    }
  }

  /// \returns whether a request of \p Workspace is sent at once.
  auto sends(gateway_harness &Gateway, const char *Workspace,
             std::optional<std::uint64_t> Tokens = std::nullopt) -> bool {
    request_arrived Event;
    Event.Number = ++Last;
    Event.Call.Host = "h";
    Event.Call.Path = "/read/x";
    Event.Call.Arrived = Gateway.Now;
    Event.Call.Key = workspace_key(std::string(Workspace));
    Event.Call.StatedTokens = Tokens;
    Gateway.dispatch(Event);
    return !Gateway.effectsOf<send_attempt>().empty();
  }

  auto sendsPrompt(const char *Workspace, std::uint64_t Tokens) -> bool {
    A.addTarget("e1", "models", {"m"});
    request_arrived Event;
    Event.Number = ++Last;
    Event.Call.Host = "h";
    Event.Call.Path = "/chat/x";
    Event.Call.Arrived = A.Now;
    Event.Call.Key = workspace_key(std::string(Workspace));
    Event.Call.StatedTokens = Tokens;
    Event.Call.HasPrompt = true;
    Event.Call.Prompt.Model = model_name("m");
    A.dispatch(Event);
    return !A.effectsOf<send_attempt>().empty();
  }

  auto status(const char *Workspace) -> quota_shares::workspace_status {
    const auto All = A.State.Quotas->status(A.Now);
    const auto Found = All.find(workspace_name(Workspace));
    return Found == All.end() ? quota_shares::workspace_status()
                              : Found->second;
  }

  gateway_harness A;
  gateway_harness B;
  std::uint64_t Version = 1;
  request_number Last = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_test);

} // namespace
