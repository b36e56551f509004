#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Prompts with much time that wait for a target without prefill. Those of
/// /plan/ have 8 s for their first output, those of /chat/ 600 ms.
class pacing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pacing_test);
  CPPUNIT_TEST(patientPrompt_targetBusy_isSentWhenItIsFree);
  CPPUNIT_TEST(patientPrompt_otherCopyFree_isSentThere);
  CPPUNIT_TEST(patientPrompt_targetNeverFree_isSentWhileItCanBeInTime);
  CPPUNIT_TEST(patientPrompts_targetFree_mostPressingOneIsReleased);
  CPPUNIT_TEST(patientPrompts_tooMany_othersAreSentAtOnce);
  CPPUNIT_TEST(patientPrompts_manyTargetsFree_fewAreReleasedAtOnce);
  CPPUNIT_TEST(otherPrompts_targetBusy_areSentAtOnce);
  CPPUNIT_TEST(patientPrompt_unusableReport_isDecidedAtOnce);
  CPPUNIT_TEST(waitingPrompt_callerLeaves_nothingIsSent);
  CPPUNIT_TEST(waitingPrompt_gatewayStops_isAnsweredAtTheNextTick);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Harness = gateway_harness();
    Harness.dispatch(configuration_read{protectedConfiguration()});
    Harness.addTarget("e1", "models", {"a"});
  }

  auto patientPrompt_targetBusy_isSentWhenItIsFree() -> void {
    Harness.receiveRequest(1, "/chat/x", "a", 4000);
    Harness.receiveRequest(2, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sentCount());
    CPPUNIT_ASSERT_EQUAL(std::string("100"),
                         Harness.logField("prompt_paced", "due_ms"));
    Harness.Now += milliseconds(120);
    Harness.dispatch(first_output{1});
    CPPUNIT_ASSERT_EQUAL(request_number{2},
                         Harness.onlyEffect<send_attempt>().Number);
    CPPUNIT_ASSERT_EQUAL(std::string("120"),
                         Harness.logField("attempt_sent", "paced_ms"));
    const auto Record = Harness.onlyEffect<record_pacing>();
    CPPUNIT_ASSERT(Record.End == pacing_end::TargetFree);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{120}, Record.WaitedMs);
  }

  auto patientPrompt_otherCopyFree_isSentThere() -> void {
    Harness.addTarget("e2", "models", {"a"});
    Harness.receiveRequest(1, "/chat/x", "a", 4000);
    const auto First = Harness.onlyEffect<send_attempt>().Target;
    Harness.receiveRequest(2, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sentCount());
    CPPUNIT_ASSERT(Harness.onlyEffect<send_attempt>().Target != First);
  }

  auto patientPrompt_targetNeverFree_isSentWhileItCanBeInTime() -> void {
    reportPrefill("e1", 400);
    Harness.receiveRequest(1, "/plan/x", "a", 4000);
    const auto Arrived = Harness.Now;
    while (sentCount() == 0 && Harness.Now < Arrived + seconds(9)) {
      Harness.Now += milliseconds(100);
      reportPrefill("e1", 400);
      if (sentCount() == 0)
        Harness.dispatch(tick{});
    }
    const auto LeftMs = 8000 - toMilliseconds(Harness.Now - Arrived);
    // The prefill before it and its own take 500 ms.
    CPPUNIT_ASSERT(LeftMs >= 750 && LeftMs <= 1100);
    CPPUNIT_ASSERT(Harness.onlyEffect<record_pacing>().End ==
                   pacing_end::LatestSend);
  }

  auto patientPrompts_targetFree_mostPressingOneIsReleased() -> void {
    Harness.receiveRequest(1, "/chat/x", "a", 4000);
    Harness.receiveRequest(3, "/plan/x", "a", 4000);
    Harness.Now += milliseconds(20);
    Harness.receiveRequest(2, "/plan/x", "a", 4000);
    Harness.endAttempt(1, attempt_end::Answered);
    CPPUNIT_ASSERT_EQUAL(request_number{3},
                         Harness.onlyEffect<send_attempt>().Number);
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sentCount());
    Harness.dispatch(first_output{3});
    CPPUNIT_ASSERT_EQUAL(request_number{2},
                         Harness.onlyEffect<send_attempt>().Number);
  }

  auto patientPrompts_tooMany_othersAreSentAtOnce() -> void {
    reportPrefill("e1", 500);
    request_number Number = 1;
    for (; Number <= 64; ++Number) {
      Harness.receiveRequest(Number, "/plan/x", "a", 4000);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sentCount());
    }
    Harness.receiveRequest(Number, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sentCount());
  }

  // A gateway that has missed reports for a while must not send all at once.
  auto patientPrompts_manyTargetsFree_fewAreReleasedAtOnce() -> void {
    reportPrefill("e1", 500);
    for (request_number Number = 1; Number <= 10; ++Number)
      Harness.receiveRequest(Number, "/plan/x", "a", 4000);
    Harness.Now += milliseconds(7400);
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sentCount());
  }

  auto otherPrompts_targetBusy_areSentAtOnce() -> void {
    reportPrefill("e1", 300);
    Harness.receiveRequest(1, "/chat/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sentCount());
    auto Configuration = protectedConfiguration(3);
    Configuration.Services[service_name("models")].Engine.TokensPerEvent = 0;
    Harness.dispatch(configuration_read{Configuration});
    Harness.receiveRequest(2, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sentCount());
  }

  // A report with such a number must not end the process or hold the prompt.
  auto patientPrompt_unusableReport_isDecidedAtOnce() -> void {
    request_number Number = 0;
    using limits = std::numeric_limits<double>;
    for (const double PendingMs :
         {1e300, limits::infinity(), limits::quiet_NaN(), -1e300}) {
      reportPrefill("e1", PendingMs);
      Harness.receiveRequest(++Number, "/plan/x", "a", 4000);
      CPPUNIT_ASSERT(Harness.State.Paced.empty());
    }
  }

  auto waitingPrompt_callerLeaves_nothingIsSent() -> void {
    Harness.receiveRequest(1, "/chat/x", "a", 4000);
    Harness.receiveRequest(2, "/plan/x", "a", 4000);
    Harness.dispatch(caller_left{2});
    Harness.dispatch(first_output{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sentCount());
    CPPUNIT_ASSERT(Harness.State.Paced.empty());
  }

  auto waitingPrompt_gatewayStops_isAnsweredAtTheNextTick() -> void {
    reportPrefill("e1", 500);
    Harness.receiveRequest(1, "/plan/x", "a", 4000);
    Harness.dispatch(stop_began{Harness.Now + seconds(1), Harness.Now});
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         sentCount() +
                             Harness.effectsOf<refuse_request>().size());
    CPPUNIT_ASSERT(Harness.State.Paced.empty());
  }

private:
  /// Another gateway reports prefill that is due at the target.
  auto reportPrefill(const char *Target, double PendingMs) -> void {
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Loads[target_name(Target)] = {{PendingMs, 0, 0}, {2, 0, 0}};
    Harness.dispatch(Digest);
  }

  [[nodiscard]] auto sentCount() const -> std::size_t {
    return Harness.effectsOf<send_attempt>().size();
  }

  gateway_harness Harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(pacing_test);

} // namespace
