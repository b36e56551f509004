#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// What a simulated load came to.
struct load_result {
  std::size_t Hedges = 0;
  std::vector<std::int64_t> TimesMs;

  auto percentile(double Share) -> std::int64_t {
    std::sort(TimesMs.begin(), TimesMs.end());
    return TimesMs[static_cast<std::size_t>(
        Share * static_cast<double>(TimesMs.size() - 1))];
  }
};

/// Decisions on second attempts, and the reducer's handling of two attempts.
class hedging_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(hedging_test);
  CPPUNIT_TEST(slowAfter_fewOrOldSamples_isUnknown);
  CPPUNIT_TEST(slowAfter_tenthOfSlowAnswers_isNotRaisedByThem);
  CPPUNIT_TEST(bucket_anyRequests_bindsHedgesToTheShare);
  CPPUNIT_TEST(fleet_queuesOrFewSlots_isLoaded);
  CPPUNIT_TEST(load_someSlowAnswers_tailFallsWithinTheLimit);
  CPPUNIT_TEST(load_busyTargets_getsAlmostNoHedges);
  CPPUNIT_TEST(switchedOff_slowAttempt_nothingIsAdded);
  CPPUNIT_TEST(hedge_answersFirst_otherIsCancelledWithoutBlame);
  CPPUNIT_TEST(hedge_firstAttemptAnswers_hedgeIsCancelled);
  CPPUNIT_TEST(hedge_firstAttemptFails_carriesOnAsTheRetry);
  CPPUNIT_TEST(hedge_failsItself_firstAttemptIsAwaited);
  CPPUNIT_TEST(hedge_bothFail_lastFailureIsRelayed);
  CPPUNIT_TEST(hedge_notRunAfterUnknown_outcomeIsUnknown);
  CPPUNIT_TEST(hedge_requestEnds_bothTargetsAreReleased);
  CPPUNIT_TEST(hedge_ruleForbidsIt_isNotSent);
  CPPUNIT_TEST(hedge_retryBudgetSpent_isNotSent);
  CPPUNIT_TEST(attempts_anyEvents_atMostTwoRunAndLoadIsReleased);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Gateway = gateway_harness();
    Gateway.State.Options.Hedging.MaxExtraPercent = 20;
    for (const auto *Name : {"l1", "l2", "l3"})
      Gateway.addTarget(Name, "ledger", {});
  }

  auto slowAfter_fewOrOldSamples_isUnknown() -> void {
    answer_times Times;
    for (std::size_t I = 0; I + 1 < answer_times::MinSamples; ++I)
      Times.record(Class, milliseconds(20), Now);
    CPPUNIT_ASSERT(!Times.slowAfter(Class, Now));
    Now += seconds(1);
    Times.record(Class, milliseconds(20), Now);
    CPPUNIT_ASSERT(Times.slowAfter(Class, Now) == milliseconds(40));
    Now += seconds(60);
    CPPUNIT_ASSERT(!Times.slowAfter(Class, Now));
  }

  auto slowAfter_tenthOfSlowAnswers_isNotRaisedByThem() -> void {
    answer_times Times;
    for (int I = 0; I < 200; ++I)
      Times.record(Class, milliseconds(I % 12 == 0 ? 400 : 20), Now);
    CPPUNIT_ASSERT(Times.slowAfter(Class, Now) == milliseconds(40));
  }

  auto bucket_anyRequests_bindsHedgesToTheShare() -> void {
    rc::check("hedges stay under the share of requests",
              [](const std::vector<bool> &Wants) {
                hedge_bucket Bucket;
                std::size_t Hedges = 0;
                for (const bool Wanted : Wants) {
                  Bucket.recordRequest({20});
                  if (Wanted && Bucket.hasToken()) {
                    Bucket.take();
                    ++Hedges;
                  }
                }
                RC_ASSERT(Hedges <= 0.2 * static_cast<double>(Wants.size()));
              });
  }

  auto fleet_queuesOrFewSlots_isLoaded() -> void {
    CPPUNIT_ASSERT(!isLoaded({4, 1, 20, 64}));
    CPPUNIT_ASSERT(isLoaded({4, 3, 20, 64}));
    CPPUNIT_ASSERT(isLoaded({4, 0, 40, 64}));
  }

  auto load_someSlowAnswers_tailFallsWithinTheLimit() -> void {
    auto Without = simulate(0, milliseconds(10));
    auto With = simulate(5, milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Without.Hedges);
    CPPUNIT_ASSERT(With.Hedges > 0);
    CPPUNIT_ASSERT(With.Hedges * 20 <= With.TimesMs.size());
    CPPUNIT_ASSERT(Without.percentile(0.99) >= 400);
    CPPUNIT_ASSERT(With.percentile(0.99) < 200);
    CPPUNIT_ASSERT(With.percentile(0.5) <= Without.percentile(0.5) + 1);
  }

  auto load_busyTargets_getsAlmostNoHedges() -> void {
    // 19.5 requests in progress at targets that count as having 16 slots.
    const auto Busy = simulate(5, milliseconds(2));
    CPPUNIT_ASSERT(Busy.Hedges * 1000 <= Busy.TimesMs.size());
  }

  auto switchedOff_slowAttempt_nothingIsAdded() -> void {
    Gateway.State.Options.Hedging.MaxExtraPercent = 0;
    warmUp("/read/x");
    Gateway.receiveRequest(100, "/read/x");
    CPPUNIT_ASSERT(Gateway.effectsOf<set_hedge_timer>().empty());
    fireTimer(100);
    CPPUNIT_ASSERT(Gateway.Effects.empty());
  }

  auto hedge_answersFirst_otherIsCancelledWithoutBlame() -> void {
    const auto [First, Second] = sendHedged();
    CPPUNIT_ASSERT(First != Second);
    CPPUNIT_ASSERT_EQUAL(1U, activeAt(First));
    Gateway.dispatch(answer_begun{100, 2});
    CPPUNIT_ASSERT_EQUAL(1U, Gateway.onlyEffect<cancel_attempt>().Attempt);
    CPPUNIT_ASSERT(verdict() == hedge_verdict::Won);
    CPPUNIT_ASSERT_EQUAL(0U, activeAt(First));
    CPPUNIT_ASSERT_EQUAL(1U, activeAt(Second));
    CPPUNIT_ASSERT_EQUAL(0.0, Gateway.State.Book.find(First)->FailureShare);
    CPPUNIT_ASSERT(Gateway.State.PossibleCrashes.empty());
    // An end of the cancelled attempt that comes nevertheless changes nothing.
    end(1, attempt_end::Unknown);
    CPPUNIT_ASSERT(Gateway.Effects.empty());
    end(2, attempt_end::Answered);
    CPPUNIT_ASSERT(Gateway.State.Requests.empty());
    CPPUNIT_ASSERT_EQUAL(0U, activeAt(Second));
  }

  auto hedge_firstAttemptAnswers_hedgeIsCancelled() -> void {
    const auto [First, Second] = sendHedged();
    Gateway.dispatch(answer_begun{100, 1});
    CPPUNIT_ASSERT_EQUAL(2U, Gateway.onlyEffect<cancel_attempt>().Attempt);
    CPPUNIT_ASSERT(verdict() == hedge_verdict::Lost);
    CPPUNIT_ASSERT_EQUAL(1U, activeAt(First));
    CPPUNIT_ASSERT_EQUAL(0U, activeAt(Second));
  }

  auto hedge_firstAttemptFails_carriesOnAsTheRetry() -> void {
    for (const auto End : {attempt_end::NotSent, attempt_end::NotRun,
                           attempt_end::Failed, attempt_end::Unknown}) {
      setUp();
      const auto [First, Second] = sendHedged();
      end(1, End);
      CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
      CPPUNIT_ASSERT(Gateway.effectsOf<refuse_request>().empty());
      CPPUNIT_ASSERT(Gateway.effectsOf<relay_failure>().empty());
      CPPUNIT_ASSERT_EQUAL(0U, activeAt(First));
      CPPUNIT_ASSERT_EQUAL(1U, activeAt(Second));
      Gateway.dispatch(answer_begun{100, 2});
      CPPUNIT_ASSERT(Gateway.effectsOf<cancel_attempt>().empty());
      end(2, attempt_end::Answered);
      CPPUNIT_ASSERT(Gateway.State.Requests.empty());
    }
  }

  auto hedge_failsItself_firstAttemptIsAwaited() -> void {
    const auto [First, Second] = sendHedged();
    end(2, attempt_end::Failed);
    CPPUNIT_ASSERT(Gateway.effectsOf<relay_failure>().empty());
    CPPUNIT_ASSERT_EQUAL(1U, activeAt(First));
    CPPUNIT_ASSERT(Gateway.State.Book.find(Second)->FailureShare > 0);
    end(1, attempt_end::Answered);
    CPPUNIT_ASSERT(Gateway.State.Requests.empty());
  }

  auto hedge_bothFail_lastFailureIsRelayed() -> void {
    sendHedged();
    end(1, attempt_end::Failed);
    end(2, attempt_end::Failed);
    // Both attempts of the route are spent.
    CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Gateway.effectsOf<relay_failure>().size());
  }

  auto hedge_notRunAfterUnknown_outcomeIsUnknown() -> void {
    sendHedged();
    end(1, attempt_end::Unknown);
    end(2, attempt_end::NotRun);
    CPPUNIT_ASSERT(Gateway.onlyEffect<refuse_request>().Code ==
                   result_code::OutcomeUnknown);
  }

  auto hedge_requestEnds_bothTargetsAreReleased() -> void {
    const std::vector<gateway_event> Ends = {
        deadline_passed{100}, caller_left{100}, stop_deadline_passed{}};
    for (const auto &Ended : Ends) {
      setUp();
      const auto [First, Second] = sendHedged();
      Gateway.dispatch(Ended);
      CPPUNIT_ASSERT(Gateway.State.Requests.empty());
      CPPUNIT_ASSERT_EQUAL(0U, activeAt(First));
      CPPUNIT_ASSERT_EQUAL(0U, activeAt(Second));
    }
  }

  auto hedge_ruleForbidsIt_isNotSent() -> void {
    const auto Refused = [&](hedge_verdict Expected, const auto &Change) {
      setUp();
      warmUp("/read/x");
      Gateway.receiveRequest(100, "/read/x");
      Change();
      fireTimer(100);
      CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
      CPPUNIT_ASSERT_EQUAL(std::string(nameOf(Expected)),
                           std::string(nameOf(verdict())));
    };
    auto &State = Gateway.State;
    Refused(hedge_verdict::GatewayStops, [&] {
      Gateway.dispatch(stop_began{Gateway.Now + seconds(5), Gateway.Now});
    });
    Refused(hedge_verdict::StaleView, [&] {
      State.Targets.KnownAt = Gateway.Now - seconds(5);
      State.LastPeerMessageAt = Gateway.Now;
    });
    Refused(hedge_verdict::KeyInDoubt,
            [&] { State.Configuration.Workspaces[workspace_name("w")] = {}; });
    Refused(hedge_verdict::Over, [&] { State.Hedging.Bucket = {}; });
    Refused(hedge_verdict::Deadline,
            [&] { State.Requests.at(100).Deadline = Gateway.Now; });
    Refused(hedge_verdict::NoFreeTarget, [&] {
      for (auto &[Name, Entry] : State.Book.all())
        Entry.AvoidUntil = Gateway.Now + seconds(1);
    });
    Refused(hedge_verdict::FleetLoaded, [&] {
      State.Hedging.LastRefusal[service_name("ledger")] = Gateway.Now;
    });
    Refused(hedge_verdict::Suspect,
            [&] { State.Requests.at(100).TriedSuspect = suspect(); });
    // Routes with one attempt, or whose requests may run only once.
    for (const auto *Path : {"/chat/x", "/pay/x"}) {
      setUp();
      warmUp(Path);
      Gateway.receiveRequest(100, Path);
      CPPUNIT_ASSERT(Gateway.effectsOf<set_hedge_timer>().empty());
    }
    setUp();
    for (auto &Route : State.Configuration.Routes)
      Route.MaxAttempts = 1;
    State.Routes = route_table(State.Configuration);
    warmUp("/read/x");
    Gateway.receiveRequest(100, "/read/x");
    CPPUNIT_ASSERT(Gateway.effectsOf<set_hedge_timer>().empty());
  }

  auto hedge_retryBudgetSpent_isNotSent() -> void {
    Gateway.State.Options.Retries.Extra = 0;
    Gateway.State.Options.Retries.Ratio = 0.01;
    warmUp("/read/x");
    Gateway.receiveRequest(100, "/read/x");
    fireTimer(100);
    CPPUNIT_ASSERT(verdict() == hedge_verdict::RetryBudget);
  }

  auto attempts_anyEvents_atMostTwoRunAndLoadIsReleased() -> void {
    rc::check("two attempts", [this](const std::vector<std::uint8_t> &Choices) {
      setUp();
      sendHedged();
      for (const auto Choice : Choices) {
        const attempt_number Attempt = 1 + Choice % 3;
        const auto End = static_cast<attempt_end>(Choice / 3 % 6);
        if (Choice % 5 == 0)
          Gateway.dispatch(answer_begun{100, Attempt});
        else if (Choice % 5 == 1)
          Gateway.dispatch(first_output{100, Attempt});
        else
          end(Attempt, End);
        std::uint32_t Active = 0;
        for (const auto &[Name, Entry] : Gateway.State.Book.all())
          Active += Entry.OwnLoad.activeCount();
        const auto Found = Gateway.State.Requests.find(100);
        if (Found == Gateway.State.Requests.end())
          RC_ASSERT(Active == 0U);
        else
          RC_ASSERT(Active == (Found->second.Other ? 2U : 1U));
      }
    });
  }

private:
  /// Answers so many requests at \p Path that the usual time is known, 20 ms.
  auto warmUp(const char *Path) -> void {
    for (request_number Number = 1; Number <= 30; ++Number) {
      Gateway.receiveRequest(Number, Path,
                             Path[1] == 'c' ? "a" : nullptr); // NOLINT
      Gateway.Now += milliseconds(20);
      Gateway.dispatch(answer_begun{Number, 1});
      Gateway.endAttempt(Number, attempt_end::Answered);
    }
  }

  auto fireTimer(request_number Number) -> void {
    Gateway.Now += milliseconds(40);
    Gateway.dispatch(hedge_due{Number, 1});
  }

  /// Sends request 100 and its hedge. \returns both targets.
  auto sendHedged() -> std::pair<target_name, target_name> {
    warmUp("/read/x");
    Gateway.receiveRequest(100, "/read/x");
    const auto First = Gateway.onlyEffect<send_attempt>();
    CPPUNIT_ASSERT(Gateway.onlyEffect<set_hedge_timer>().At ==
                   Gateway.Now + milliseconds(40));
    fireTimer(100);
    const auto Second = Gateway.onlyEffect<send_attempt>();
    CPPUNIT_ASSERT(Second.IsHedge && !First.IsHedge);
    CPPUNIT_ASSERT_EQUAL(2U, Second.Attempt);
    return {First.Target, Second.Target};
  }

  auto end(attempt_number Attempt, attempt_end End) -> void {
    attempt_ended Event;
    Event.Number = 100;
    Event.Attempt = Attempt;
    Event.End = End;
    Gateway.dispatch(Event);
  }

  auto verdict() -> hedge_verdict {
    return Gateway.onlyEffect<record_hedge>().Verdict;
  }

  auto activeAt(const target_name &Target) -> std::uint32_t {
    return Gateway.State.Book.find(Target)->OwnLoad.activeCount();
  }

  /// A minute of requests at four targets. An answer takes 15 to 25 ms, one in
  /// twenty 400 ms.
  auto simulate(double MaxExtraPercent, duration Interval) -> load_result {
    Gateway = gateway_harness();
    Gateway.State.Options.Hedging.MaxExtraPercent = MaxExtraPercent;
    for (const auto *Name : {"l1", "l2", "l3", "l4"})
      Gateway.addTarget(Name, "ledger", {});
    std::minstd_rand Random(1);
    std::multimap<time_point, gateway_event> Due;
    load_result Result;
    const auto Execute = [&] {
      for (const auto &Send : Gateway.effectsOf<send_attempt>()) {
        Result.Hedges += Send.IsHedge ? 1 : 0;
        const auto Took = Random() % 20 == 0 ? milliseconds(400)
                                             : milliseconds(15 + Random() % 11);
        Due.emplace(Gateway.Now + Took,
                    answer_begun{Send.Number, Send.Attempt});
      }
      for (const auto &Timer : Gateway.effectsOf<set_hedge_timer>())
        Due.emplace(Timer.At, hedge_due{Timer.Number, Timer.Attempt});
      for (const auto &Cancel : Gateway.effectsOf<cancel_attempt>())
        std::erase_if(Due, [&](const auto &Entry) {
          const auto *Begun = std::get_if<answer_begun>(&Entry.second);
          return Begun != nullptr && Begun->Number == Cancel.Number &&
                 Begun->Attempt == Cancel.Attempt;
        });
    };
    const auto End = Gateway.Now + seconds(60);
    auto NextArrival = Gateway.Now;
    request_number Number = 0;
    while (NextArrival < End || !Due.empty()) {
      if (NextArrival < End &&
          (Due.empty() || NextArrival <= Due.begin()->first)) {
        Gateway.Now = NextArrival;
        Gateway.receiveRequest(++Number, "/read/x");
        NextArrival += Interval;
        Execute();
        continue;
      }
      const auto [At, Event] = *Due.begin();
      Due.erase(Due.begin());
      Gateway.Now = At;
      Gateway.dispatch(Event);
      Execute();
      if (const auto *Begun = std::get_if<answer_begun>(&Event)) {
        Result.TimesMs.push_back(toMilliseconds(
            At - Gateway.State.Requests.at(Begun->Number).Call.Arrived));
        attempt_ended Ended;
        Ended.Number = Begun->Number;
        Ended.Attempt = Begun->Attempt;
        Ended.End = attempt_end::Answered;
        Gateway.dispatch(Ended);
      }
    }
    return Result;
  }

  const hedge_class Class{"read", service_name("ledger")};
  time_point Now{seconds(1000)};
  gateway_harness Gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedging_test);

} // namespace
