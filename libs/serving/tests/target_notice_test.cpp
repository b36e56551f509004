#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// What targets say of themselves in their answers.
class target_notice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_notice_test);
  CPPUNIT_TEST(leaves_saidInAnAnswer_getsNoMoreRequests);
  CPPUNIT_TEST(leaves_rowSaysReady_getsNoMoreRequests);
  CPPUNIT_TEST(leaves_rowGoneAndBack_getsNoMoreRequests);
  CPPUNIT_TEST(leaves_saidAfterTheRowWasGone_getsNoMoreRequests);
  CPPUNIT_TEST(drains_rowGoneAndBackReady_getsNoMoreRequests);
  CPPUNIT_TEST(leaves_newIncarnation_getsRequests);
  CPPUNIT_TEST(leaves_saidByOlderIncarnation_newOneGetsRequests);
  CPPUNIT_TEST(leaves_saidToAnotherGateway_getsNoMoreRequests);
  CPPUNIT_TEST(leaves_saidToAController_getsNoMoreRequests);
  CPPUNIT_TEST(leaves_digests_nameItThreeTimes);
  CPPUNIT_TEST(leaves_requestWaitsForItsLoad_goesElsewhere);
  CPPUNIT_TEST(refuses_forATime_getsNoRequestsUntilThen);
  CPPUNIT_TEST(refuses_shorterTimeLater_keepsTheLongerOne);
  CPPUNIT_TEST(refuses_rowGoneAndBack_getsNoRequestsUntilThen);
  CPPUNIT_TEST(refuses_newIncarnation_getsRequests);
  CPPUNIT_TEST(refuses_everyTarget_callerIsToldWhenToReturn);
  CPPUNIT_TEST(refuses_lastAttempt_callerIsToldWhenToReturn);
  CPPUNIT_TEST(refuses_oneOfTwo_callerMayReturnSoon);
  CPPUNIT_TEST(refuses_onlyCopyForAShortTime_noFurtherCopyIsLoaded);
  CPPUNIT_TEST(refuses_onlyCopyForALongTime_furtherCopyIsLoaded);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Harness = gateway_harness();
    Harness.addTarget("l1", "ledger", {});
    Harness.addTarget("l2", "ledger", {});
  }

  auto leaves_saidInAnAnswer_getsNoMoreRequests() -> void {
    leave("l1", 1);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto leaves_rowSaysReady_getsNoMoreRequests() -> void {
    leave("l1", 1);
    writeRow("l1", 1);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto leaves_rowGoneAndBack_getsNoMoreRequests() -> void {
    leave("l1", 1);
    Harness.dispatch(target_lost{target_name("l1")});
    writeRow("l1", 1);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto leaves_saidAfterTheRowWasGone_getsNoMoreRequests() -> void {
    Harness.dispatch(target_lost{target_name("l1")});
    leave("l1", 1);
    writeRow("l1", 1);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto drains_rowGoneAndBackReady_getsNoMoreRequests() -> void {
    writeRow("l1", 1, true);
    Harness.dispatch(target_lost{target_name("l1")});
    writeRow("l1", 1);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto leaves_newIncarnation_getsRequests() -> void {
    leave("l1", 1);
    Harness.dispatch(target_lost{target_name("l1")});
    writeRow("l1", 2);
    leave("l2", 1);
    CPPUNIT_ASSERT(targetsOf(4) == std::set<std::string>{"l1"});
  }

  auto leaves_saidByOlderIncarnation_newOneGetsRequests() -> void {
    writeRow("l1", 2);
    leave("l1", 1);
    leave("l2", 1);
    CPPUNIT_ASSERT(targetsOf(4) == std::set<std::string>{"l1"});
  }

  auto leaves_saidToAnotherGateway_getsNoMoreRequests() -> void {
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Leaving[target_name("l1")] = 1;
    Harness.dispatch(Digest);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto leaves_saidToAController_getsNoMoreRequests() -> void {
    holdings_report Report;
    Report.Address = "l1:1";
    Report.Incarnation = 1;
    Report.Leaves = true;
    Harness.dispatch(Report);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto leaves_digests_nameItThreeTimes() -> void {
    instance_record Peer;
    Peer.Name = instance_name("g2");
    Peer.Address = "g2:1";
    Harness.dispatch(instances_listed{{Peer}});
    leave("l1", 1);
    int Named = 0;
    for (int I = 0; I < 6; ++I) {
      Harness.Now += milliseconds(100);
      Harness.dispatch(tick{});
      Named += static_cast<int>(
          Harness.onlyEffect<send_digest>().Digest.Leaving.size());
    }
    CPPUNIT_ASSERT_EQUAL(3, Named);
  }

  auto leaves_requestWaitsForItsLoad_goesElsewhere() -> void {
    Harness.addTarget("e1", "models", {});
    Harness.receiveRequest(1, "/plan/x", "a");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                         Harness.onlyEffect<request_load>().Target.Text);
    Harness.addTarget("e2", "models", {});
    leave("e1", 1);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"),
                         Harness.onlyEffect<request_load>().Target.Text);
  }

  auto refuses_forATime_getsNoRequestsUntilThen() -> void {
    leave("l2", 1);
    refuse("l1", milliseconds(2000));
    Harness.Now += milliseconds(1999);
    CPPUNIT_ASSERT(targetsOf(4).empty());
    Harness.Now += milliseconds(1);
    CPPUNIT_ASSERT(targetsOf(4) == std::set<std::string>{"l1"});
  }

  auto refuses_shorterTimeLater_keepsTheLongerOne() -> void {
    refuse("l1", milliseconds(2000));
    refuse("l1", milliseconds(100));
    Harness.Now += milliseconds(1000);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
  }

  auto refuses_rowGoneAndBack_getsNoRequestsUntilThen() -> void {
    refuse("l1", milliseconds(2000));
    Harness.dispatch(target_lost{target_name("l1")});
    writeRow("l1", 1);
    CPPUNIT_ASSERT(targetsOf(8) == std::set<std::string>{"l2"});
    Harness.Now += milliseconds(2000);
    leave("l2", 1);
    CPPUNIT_ASSERT(targetsOf(4) == std::set<std::string>{"l1"});
  }

  auto refuses_newIncarnation_getsRequests() -> void {
    refuse("l1", milliseconds(2000));
    writeRow("l1", 2);
    leave("l2", 1);
    CPPUNIT_ASSERT(targetsOf(4) == std::set<std::string>{"l1"});
  }

  auto refuses_everyTarget_callerIsToldWhenToReturn() -> void {
    refuse("l1", milliseconds(2000));
    refuse("l2", milliseconds(1500));
    Harness.receiveRequest(1, "/pay/x");
    checkReturn(1500);
  }

  auto refuses_lastAttempt_callerIsToldWhenToReturn() -> void {
    leave("l2", 1);
    Harness.receiveRequest(1, "/pay/x");
    refuse("l1", milliseconds(1500));
    Harness.endAttempt(1, attempt_end::NotRun);
    checkReturn(1500);
  }

  auto refuses_oneOfTwo_callerMayReturnSoon() -> void {
    Harness.receiveRequest(1, "/pay/x");
    refuse("l1", milliseconds(1500));
    Harness.endAttempt(1, attempt_end::NotRun);
    Harness.endAttempt(1, attempt_end::NotRun);
    const auto Refusal = Harness.onlyEffect<refuse_request>();
    CPPUNIT_ASSERT(Refusal.RetryAfterMs > 0 && Refusal.RetryAfterMs < 500);
  }

  auto refuses_onlyCopyForAShortTime_noFurtherCopyIsLoaded() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {});
    refuse("e1", milliseconds(1000));
    Harness.receiveRequest(1, "/plan/x", "a");
    CPPUNIT_ASSERT(Harness.effectsOf<request_load>().empty());
    checkReturn(1000);
  }

  auto refuses_onlyCopyForALongTime_furtherCopyIsLoaded() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {});
    refuse("e1", seconds(60));
    Harness.receiveRequest(1, "/plan/x", "a");
    CPPUNIT_ASSERT_EQUAL(std::string("e2"),
                         Harness.onlyEffect<request_load>().Target.Text);
  }

private:
  auto leave(const char *Name, std::uint64_t Incarnation) -> void {
    Harness.dispatch(target_notice{target_name(Name), Incarnation, true, {}});
  }

  auto refuse(const char *Name, duration Span) -> void {
    Harness.dispatch(
        target_notice{target_name(Name), 1, false, Harness.Now + Span});
  }

  auto writeRow(const char *Name, std::uint64_t Incarnation,
                bool Draining = false) -> void {
    target Target;
    Target.Name = target_name(Name);
    Target.Incarnation = Incarnation;
    Target.Service = service_name("ledger");
    Target.Address = std::string(Name) + ":1";
    Target.DataCentre = data_centre_name("north");
    Target.Draining = Draining;
    Harness.dispatch(target_updated{Target});
  }

  /// Targets that get the next \p Count requests, all in progress at once.
  auto targetsOf(int Count) -> std::set<std::string> {
    std::set<std::string> Names;
    for (int I = 0; I < Count; ++I) {
      Harness.receiveRequest(++LastNumber, "/read/x");
      for (const auto &Sent : Harness.effectsOf<send_attempt>())
        Names.insert(Sent.Target.Text);
    }
    return Names;
  }

  /// The request was refused at once; callers are spread over 0.2 s.
  auto checkReturn(std::int64_t AfterMs) -> void {
    const auto Refusal = Harness.onlyEffect<refuse_request>();
    CPPUNIT_ASSERT_EQUAL(503,
                         static_cast<int>(describe(Refusal.Code).HttpStatus));
    CPPUNIT_ASSERT(Refusal.RetryAfterMs >= AfterMs &&
                   Refusal.RetryAfterMs <= AfterMs + 201);
  }

  gateway_harness Harness;
  request_number LastNumber = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_notice_test);

} // namespace
