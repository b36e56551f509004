#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

class gateway_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_test);
  CPPUNIT_TEST(stop_answerWouldBeCut_isRefusedAsNotRun);
  CPPUNIT_TEST(stop_shortRequest_isServedUntilShortlyBefore);
  CPPUNIT_TEST(stop_streamAfterTheBalancersTime_isRefusedAsNotRun);
  CPPUNIT_TEST(stop_lateRequestThatMayNotRunTwice_isNotTakenUnlessItFits);
  CPPUNIT_TEST(stop_noOtherGatewayReady_streamIsServed);
  CPPUNIT_TEST(stop_noOtherGatewayReady_callerIsToldWhenOneIs);
  CPPUNIT_TEST(stop_deadlinePassed_everyOpenRequestIsAnswered);
  CPPUNIT_TEST(request_noConfiguration_refusedNotReady);
  CPPUNIT_TEST(request_noRoute_refusedNotFound);
  CPPUNIT_TEST(request_refusedOnArrival_logsRequestId);
  CPPUNIT_TEST(request_noTarget_refusedWithRetryAfter);
  CPPUNIT_TEST(request_drainingTarget_sentElsewhere);
  CPPUNIT_TEST(attempt_nonIdempotentUnknown_notRetried);
  CPPUNIT_TEST(attempt_nonIdempotentNotRun_retriedElsewhere);
  CPPUNIT_TEST(attempt_idempotentFailed_retriedThenRelayed);
  CPPUNIT_TEST(attempt_notRunAfterUnknown_refusedAsUnknown);
  CPPUNIT_TEST(attempt_resumableStreamCutShort_resumedElsewhere);
  CPPUNIT_TEST(attempt_retryBudgetSpent_notRetried);
  CPPUNIT_TEST(deadline_attemptRunning_refusedDeadlineExceeded);
  CPPUNIT_TEST(configuration_olderVersion_isIgnored);
  CPPUNIT_TEST(target_olderIncarnation_isIgnored);
  CPPUNIT_TEST(target_laterIncarnationAtAddress_supersedesOlder);
  CPPUNIT_TEST(target_otherServiceAtAddress_supersedesNone);
  CPPUNIT_TEST(holdingsReport_laterIncarnation_removesTarget);
  CPPUNIT_TEST(target_readyAfterDraining_staysDraining);
  CPPUNIT_TEST(targetList_targetMissing_removed);
  CPPUNIT_TEST(targetList_targetMissingAfterAnOutage_removedAfterGrace);
  CPPUNIT_TEST(targetList_targetMissingAfterAFailedCall_removedAfterGrace);
  CPPUNIT_TEST(lost_justAfterTheStoreIsBack_isKeptForTheGrace);
  CPPUNIT_TEST(attempts_anyOutcomes_retriesStaySafe);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { Harness = gateway_harness(); }

  auto request_noConfiguration_refusedNotReady() -> void {
    Harness.State = makeGatewayState({});
    Harness.receiveRequest(1, "/read/x");
    CPPUNIT_ASSERT(refusal().Code == result_code::NotReady);
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto request_noRoute_refusedNotFound() -> void {
    Harness.receiveRequest(1, "/other/");
    CPPUNIT_ASSERT(refusal().Code == result_code::NotFound);
  }

  auto request_refusedOnArrival_logsRequestId() -> void {
    Harness.receiveRequest(7, "/other/");
    expectRefusalLogged("7");
    CPPUNIT_ASSERT(Harness.State.Requests.empty());
    Harness.State = makeGatewayState({});
    Harness.receiveRequest(8, "/read/x");
    expectRefusalLogged("8");
    CPPUNIT_ASSERT(Harness.State.Requests.empty());
  }

  auto request_noTarget_refusedWithRetryAfter() -> void {
    Harness.receiveRequest(1, "/read/x");
    CPPUNIT_ASSERT(refusal().Code == result_code::NoTarget);
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto request_drainingTarget_sentElsewhere() -> void {
    addLedgerTargets();
    drain("l1");
    for (request_number Number = 1; Number <= 5; ++Number) {
      Harness.receiveRequest(Number, "/read/x");
      CPPUNIT_ASSERT_EQUAL(std::string("l2"), sentAttempt().Target.Text);
    }
  }

  auto attempt_nonIdempotentUnknown_notRetried() -> void {
    addLedgerTargets();
    Harness.receiveRequest(1, "/pay/x");
    Harness.endAttempt(1, attempt_end::Unknown);
    CPPUNIT_ASSERT(Harness.effectsOf<send_attempt>().empty());
    CPPUNIT_ASSERT(refusal().Code == result_code::OutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, refusal().RetryAfterMs);
  }

  auto attempt_nonIdempotentNotRun_retriedElsewhere() -> void {
    addLedgerTargets();
    Harness.receiveRequest(1, "/pay/x");
    const auto First = sentAttempt().Target;
    Harness.endAttempt(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(!sentAttempt().Target.empty());
    CPPUNIT_ASSERT(sentAttempt().Target != First);
    Harness.endAttempt(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(refusal().Code == result_code::TargetRefused);
  }

  auto attempt_idempotentFailed_retriedThenRelayed() -> void {
    addLedgerTargets();
    Harness.receiveRequest(1, "/read/x");
    Harness.endAttempt(1, attempt_end::Failed);
    CPPUNIT_ASSERT(!sentAttempt().Target.empty());
    Harness.endAttempt(1, attempt_end::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Harness.effectsOf<relay_failure>().size());
  }

  auto attempt_notRunAfterUnknown_refusedAsUnknown() -> void {
    addLedgerTargets();
    Harness.receiveRequest(1, "/read/x");
    Harness.endAttempt(1, attempt_end::Unknown);
    CPPUNIT_ASSERT(!sentAttempt().Target.empty());
    Harness.endAttempt(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(describe(refusal().Code).Outcome == run_outcome::Unknown);
  }

  auto attempt_resumableStreamCutShort_resumedElsewhere() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {"a"});
    Harness.receiveRequest(1, "/plan/x", "a");
    const auto First = sentAttempt().Target;
    Harness.endAttempt(1, attempt_end::CutShort);
    CPPUNIT_ASSERT(!sentAttempt().Target.empty() &&
                   sentAttempt().Target != First);
    Harness.receiveRequest(2, "/chat/x", "a");
    Harness.endAttempt(2, attempt_end::CutShort);
    CPPUNIT_ASSERT(Harness.effectsOf<send_attempt>().empty());
  }

  auto attempt_retryBudgetSpent_notRetried() -> void {
    Harness.State.Options.Retries = {0, 0, seconds(10)};
    addLedgerTargets();
    Harness.receiveRequest(1, "/read/x");
    Harness.endAttempt(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(Harness.effectsOf<send_attempt>().empty());
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto deadline_attemptRunning_refusedDeadlineExceeded() -> void {
    addLedgerTargets();
    Harness.receiveRequest(1, "/pay/x");
    CPPUNIT_ASSERT(Harness.onlyEffect<set_deadline>().Deadline ==
                   Harness.Now + milliseconds(4000));
    Harness.dispatch(deadline_passed{1});
    CPPUNIT_ASSERT(refusal().Code == result_code::DeadlineExceeded);
  }

  auto configuration_olderVersion_isIgnored() -> void {
    auto Older = makeConfiguration(1);
    Harness.dispatch(configuration_read{makeConfiguration(3)});
    Older.Version = 2;
    Older.Routes.clear();
    Harness.dispatch(configuration_read{Older});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Harness.State.Configuration.Version);
    addLedgerTargets();
    Harness.receiveRequest(1, "/read/x");
    CPPUNIT_ASSERT(!sentAttempt().Target.empty());
  }

  auto target_olderIncarnation_isIgnored() -> void {
    Harness.addTarget("e1", "models", {"a"});
    auto Target = Harness.State.Book.find(target_name("e1"))->Target;
    Target.Incarnation = 9;
    Target.Holdings = {};
    Harness.dispatch(target_updated{Target});
    Target.Incarnation = 1;
    Target.Holdings.Models[model_name("a")];
    Harness.dispatch(target_updated{Target});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Harness.State.Book.copyCount(model_name("a")));
  }

  auto target_laterIncarnationAtAddress_supersedesOlder() -> void {
    // In both orders, as a list is sorted by name and not by incarnation.
    for (const bool OldFirst : {true, false}) {
      Harness = gateway_harness();
      Harness.addTarget("l2", "ledger", {});
      target Later = Harness.State.Book.find(target_name("l2"))->Target;
      Later.Name = target_name("later");
      Later.Incarnation = 2;
      if (!OldFirst)
        Harness = gateway_harness();
      Harness.dispatch(target_updated{Later});
      if (!OldFirst)
        Harness.addTarget("l2", "ledger", {});
      for (request_number Number = 1; Number <= 4; ++Number) {
        Harness.receiveRequest(Number, "/read/x");
        CPPUNIT_ASSERT_EQUAL(std::string("later"), sentAttempt().Target.Text);
      }
      Harness.dispatch(target_lost{target_name("later")});
      Harness.receiveRequest(9, "/read/x");
      CPPUNIT_ASSERT_EQUAL(std::string("l2"), sentAttempt().Target.Text);
    }
  }

  auto target_otherServiceAtAddress_supersedesNone() -> void {
    Harness.addTarget("l1", "ledger", {});
    target OtherService = Harness.State.Book.find(target_name("l1"))->Target;
    OtherService.Name = target_name("stray");
    OtherService.Incarnation = 9;
    OtherService.Service = service_name("unknown");
    Harness.dispatch(target_updated{OtherService});
    Harness.receiveRequest(1, "/read/x");
    CPPUNIT_ASSERT_EQUAL(std::string("l1"), sentAttempt().Target.Text);
  }

  auto holdingsReport_laterIncarnation_removesTarget() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {"a"});
    holdings_report Report;
    Report.Address = "e1:1";
    Report.Incarnation = 2;
    Harness.dispatch(Report);
    for (request_number Number = 1; Number <= 4; ++Number) {
      Harness.receiveRequest(Number, "/chat/x", "a");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"), sentAttempt().Target.Text);
    }
  }

  auto target_readyAfterDraining_staysDraining() -> void {
    addLedgerTargets();
    drain("l1");
    auto Target = Harness.State.Book.find(target_name("l1"))->Target;
    Target.Draining = false;
    Harness.dispatch(target_updated{Target});
    CPPUNIT_ASSERT(!Harness.State.Book.find(target_name("l1"))->acceptsWork());
  }

  auto targetList_targetMissing_removed() -> void {
    Harness.State.Options.LostGrace = seconds(2);
    addLedgerTargets();
    Harness.dispatch(
        targets_listed{{Harness.State.Book.find(target_name("l2"))->Target}});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) == nullptr);
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l2")) != nullptr);
  }

  auto targetList_targetMissingAfterAnOutage_removedAfterGrace() -> void {
    Harness.State.Options.LostGrace = seconds(2);
    addLedgerTargets();
    Harness.dispatch(store_reachability_changed{false});
    Harness.dispatch(store_reachability_changed{true});
    Harness.dispatch(
        targets_listed{{Harness.State.Book.find(target_name("l2"))->Target}});
    Harness.Now += milliseconds(1900);
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) != nullptr);
    Harness.Now += milliseconds(200);
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) == nullptr);
  }

  auto targetList_targetMissingAfterAFailedCall_removedAfterGrace() -> void {
    Harness.State.Options.LostGrace = seconds(2);
    addLedgerTargets();
    Harness.dispatch(targets_read_failed{});
    Harness.Now += seconds(4);
    Harness.dispatch(
        targets_listed{{Harness.State.Book.find(target_name("l2"))->Target}});
    Harness.dispatch(targets_read{});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) != nullptr);
    Harness.Now += milliseconds(2100);
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) == nullptr);
    Harness.dispatch(target_lost{target_name("l2")});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l2")) == nullptr);
  }

  auto lost_justAfterTheStoreIsBack_isKeptForTheGrace() -> void {
    Harness.State.Options.LostGrace = seconds(2);
    addLedgerTargets();
    Harness.dispatch(target_lost{target_name("l2")});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l2")) == nullptr);
    Harness.dispatch(store_reachability_changed{false});
    Harness.dispatch(store_reachability_changed{true});
    Harness.dispatch(target_lost{target_name("l1")});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) != nullptr);
    Harness.Now += milliseconds(2100);
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) == nullptr);
  }

  /// For any outcomes of the attempts: a non-idempotent request is retried only
  /// if the previous attempt did not run, no refusal claims "not run" after an
  /// attempt that may have run, and no more targets see a request than the
  /// route allows.
  auto attempts_anyOutcomes_retriesStaySafe() -> void {
    const bool Passed = rc::check("promises hold", [] {
      gateway_harness Sample;
      for (const auto *Name : {"l1", "l2", "l3"})
        Sample.addTarget(Name, "ledger", {});
      const bool Idempotent = *rc::gen::inRange(0, 2) == 0;
      Sample.receiveRequest(1, Idempotent ? "/read/x" : "/pay/x");
      bool MayHaveRun = false;
      std::size_t AttemptsSeen = 0;
      for (int Step = 0; Step < 8; ++Step) {
        for (const auto &Refusal : Sample.effectsOf<refuse_request>())
          RC_ASSERT(!MayHaveRun ||
                    describe(Refusal.Code).Outcome != run_outcome::NotRun);
        if (Sample.effectsOf<send_attempt>().empty())
          break;
        RC_ASSERT(!MayHaveRun || Idempotent);
        const auto End = static_cast<attempt_end>(*rc::gen::inRange(0, 6));
        AttemptsSeen += End == attempt_end::NotSent ? 0 : 1;
        RC_ASSERT(AttemptsSeen <= 2);
        MayHaveRun |= End != attempt_end::NotSent && End != attempt_end::NotRun;
        Sample.Now += milliseconds(*rc::gen::inRange(0, 900));
        Sample.endAttempt(1, End);
      }
    });
    CPPUNIT_ASSERT(Passed);
  }

  auto stop_answerWouldBeCut_isRefusedAsNotRun() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.State.DecodeMsPerToken[model_name("a")] = 5;
    hearGateway(0);
    Harness.dispatch(
        stop_began{Harness.Now + seconds(8), Harness.Now + seconds(3)});
    // The first output and 200 tokens take 1.6 s, and four times that has to
    // fit.
    receivePrompt(1, 200);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                         Harness.onlyEffect<send_attempt>().Target.Text);
    Harness.Now += seconds(2);
    receivePrompt(2, 200);
    const auto Refusal = Harness.onlyEffect<refuse_request>();
    CPPUNIT_ASSERT(Refusal.Code == result_code::Draining);
    CPPUNIT_ASSERT(describe(Refusal.Code).Outcome == run_outcome::NotRun);
    CPPUNIT_ASSERT(Refusal.RetryAfterMs > 0);
  }

  auto stop_shortRequest_isServedUntilShortlyBefore() -> void {
    Harness.addTarget("l1", "ledger", {});
    Harness.dispatch(
        stop_began{Harness.Now + seconds(5), Harness.Now + seconds(3)});
    Harness.Now += seconds(2);
    Harness.receiveRequest(1, "/pay/x");
    CPPUNIT_ASSERT(!Harness.effectsOf<send_attempt>().empty());
    Harness.Now += seconds(2);
    Harness.receiveRequest(2, "/pay/x");
    CPPUNIT_ASSERT(Harness.onlyEffect<refuse_request>().Code ==
                   result_code::Draining);
  }

  auto stop_streamAfterTheBalancersTime_isRefusedAsNotRun() -> void {
    Harness.addTarget("e1", "models", {"a"});
    // Averages of a gateway that has just started come from the shortest
    // streams.
    Harness.State.DecodeMsPerToken[model_name("a")] = 0.01;
    Harness.dispatch(
        stop_began{Harness.Now + seconds(60), Harness.Now + seconds(3)});
    Harness.Now += seconds(3) + milliseconds(1);
    receivePrompt(1, 200);
    CPPUNIT_ASSERT(Harness.onlyEffect<refuse_request>().Code ==
                   result_code::Draining);
  }

  auto stop_lateRequestThatMayNotRunTwice_isNotTakenUnlessItFits() -> void {
    Harness.addTarget("l1", "ledger", {});
    Harness.dispatch(
        stop_began{Harness.Now + seconds(8), Harness.Now + seconds(3)});
    const auto Began = Harness.Now;
    // The route's timeout is four seconds, its expected time much less.
    for (const auto AtMs : {1000, 3900, 4100, 4900}) {
      Harness.Now = Began + milliseconds(AtMs);
      hearGateway(0);
      Harness.receiveRequest(++LastNumber, "/pay/x");
      const bool Taken = !Harness.effectsOf<send_attempt>().empty();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(AtMs), AtMs < 4000, Taken);
      if (!Taken)
        CPPUNIT_ASSERT(Harness.onlyEffect<refuse_request>().Code ==
                       result_code::Draining);
      // May be repeated by its caller.
      Harness.receiveRequest(++LastNumber, "/read/x");
      CPPUNIT_ASSERT(!Harness.effectsOf<send_attempt>().empty());
    }
    hearGateway(6000);
    Harness.receiveRequest(++LastNumber, "/pay/x");
    CPPUNIT_ASSERT(!Harness.effectsOf<send_attempt>().empty());
  }

  auto stop_noOtherGatewayReady_streamIsServed() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.State.DecodeMsPerToken[model_name("a")] = 5;
    hearGateway(6000);
    Harness.dispatch(
        stop_began{Harness.Now + seconds(8), Harness.Now + seconds(3)});
    Harness.Now += seconds(2);
    receivePrompt(1, 200);
    CPPUNIT_ASSERT(!Harness.effectsOf<send_attempt>().empty());
    hearGateway(0);
    receivePrompt(2, 200);
    CPPUNIT_ASSERT(!Harness.effectsOf<refuse_request>().empty());
  }

  auto stop_noOtherGatewayReady_callerIsToldWhenOneIs() -> void {
    const auto RetryAfterMs = [&] {
      Harness.receiveRequest(++LastNumber, "/pay/x");
      return Harness.onlyEffect<refuse_request>().RetryAfterMs;
    };
    Harness.dispatch(stop_began{Harness.Now + milliseconds(300), Harness.Now});
    // The process that replaces this one.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1300}, RetryAfterMs());
    hearGateway(700);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{700}, RetryAfterMs());
    hearGateway(0);
    CPPUNIT_ASSERT(RetryAfterMs() <= 100);
  }

  auto stop_deadlinePassed_everyOpenRequestIsAnswered() -> void {
    Harness.addTarget("l1", "ledger", {});
    Harness.dispatch(
        stop_began{Harness.Now + seconds(60), Harness.Now + seconds(3)});
    Harness.receiveRequest(1, "/pay/x"); // At its target.
    Harness.addTarget("e1", "models", {});
    receivePrompt(2, 200); // Waits for a load.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Harness.State.Requests.size());
    Harness.dispatch(stop_deadline_passed{});
    const auto Refusals = Harness.effectsOf<refuse_request>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Refusals.size());
    CPPUNIT_ASSERT(Refusals[0].Code == result_code::OutcomeUnknown);
    CPPUNIT_ASSERT(Refusals[1].Code == result_code::Draining);
    CPPUNIT_ASSERT(Harness.State.Requests.empty());
  }

private:
  /// Raises a digest of another gateway.
  auto hearGateway(std::int64_t ReadyInMs) -> void {
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Configuration = 1;
    Digest.ReadyInMs = ReadyInMs;
    Harness.dispatch(Digest);
  }

  auto receivePrompt(request_number Number, std::uint32_t OutputTokens)
      -> void {
    request_arrived Event;
    Event.Number = Number;
    Event.Call.Id = std::to_string(Number);
    Event.Call.Host = "h";
    Event.Call.Path = "/chat/x";
    Event.Call.Arrived = Harness.Now;
    Event.Call.HasPrompt = true;
    Event.Call.Prompt.Model = model_name("a");
    Event.Call.Prompt.InputTokens = 100;
    Event.Call.Prompt.MaxOutputTokens = OutputTokens;
    Harness.dispatch(Event);
  }

  auto expectRefusalLogged(const std::string &Id) -> void {
    const auto LogEntry = Harness.onlyEffect<write_note>();
    CPPUNIT_ASSERT_EQUAL(std::string("request_refused"), LogEntry.Event);
    CPPUNIT_ASSERT(LogEntry.Fields.front() ==
                   std::make_pair(std::string("request"), Id));
  }

  auto addLedgerTargets() -> void {
    Harness.addTarget("l1", "ledger", {});
    Harness.addTarget("l2", "ledger", {});
  }

  auto drain(const char *Name) -> void {
    auto Target = Harness.State.Book.find(target_name(Name))->Target;
    Target.Draining = true;
    Harness.dispatch(target_updated{Target});
  }

  auto refusal() -> refuse_request {
    return Harness.onlyEffect<refuse_request>();
  }
  auto sentAttempt() -> send_attempt {
    return Harness.onlyEffect<send_attempt>();
  }

  gateway_harness Harness;
  request_number LastNumber = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

} // namespace
