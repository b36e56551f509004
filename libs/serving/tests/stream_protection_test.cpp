#include "gateway_fixture.h"
#include "serving/picker.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Prompts beside streams that have a bound of their gaps.
class stream_protection_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_protection_test);
  CPPUNIT_TEST(bounds_eitherFieldMissing_protectNothing);
  CPPUNIT_TEST(pick_unprotected_costsAsBefore);
  CPPUNIT_TEST(pick_prefillDueBesideStreams_otherCopyIsTaken);
  CPPUNIT_TEST(pick_shortRun_isLeftWithTheStreams);
  CPPUNIT_TEST(pick_manyLateStreams_backoffStaysTheLastResort);
  CPPUNIT_TEST(due_reportGetsOld_isReducedByTheWorkDone);
  CPPUNIT_TEST(effect_lessUrgentPrefillDue_ownStreamMayBeLate);
  CPPUNIT_TEST(effect_morePrefill_isNeverLess);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Harness = gateway_harness();
    Harness.dispatch(configuration_read{protectedConfiguration()});
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {"a"});
  }

  auto bounds_eitherFieldMissing_protectNothing() -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         streamBounds(protectedConfiguration()).size());
    auto Configuration = protectedConfiguration();
    for (auto &Route : Configuration.Routes)
      Route.GapBoundMs = 0;
    CPPUNIT_ASSERT(streamBounds(Configuration).empty());
    Configuration = protectedConfiguration();
    Configuration.Services[service_name("models")].Engine.TokensPerEvent = 0;
    CPPUNIT_ASSERT(streamBounds(Configuration).empty());
    Configuration.Version = 3;
    Harness.dispatch(configuration_read{Configuration});
    Harness.receiveRequest(1, "/chat/x", "a");
    CPPUNIT_ASSERT(sentField("pause_ms").empty());
  }

  // The older deployments are served as before.
  auto pick_unprotected_costsAsBefore() -> void {
    const bool Passed = rc::check("the cost without protection", [&] {
      auto &Entry = *Harness.State.Book.find(target_name("e1"));
      Entry.OwnLoad.Active = {*rc::gen::inRange(0U, 40U),
                              *rc::gen::inRange(0U, 40U), 0};
      Entry.OwnLoad.PendingMs = {1.0 * *rc::gen::inRange(0, 900),
                                 1.0 * *rc::gen::inRange(0, 900), 0};
      const double PrefillMs = *rc::gen::inRange(0, 900);
      auto Request = makeRequest(false);
      const double Interference =
          0.25 * Entry.load().activeCount() * PrefillMs +
          0.3 * Entry.OwnLoad.PendingMs[1];
      RC_ASSERT(interferenceMs(Entry, Request, PrefillMs) == Interference);
      // The pace of streams has no part in it.
      Entry.Speed.observe(7, Request.Now);
      Entry.Slowness = *rc::gen::inRange(5, 30) / 10.0;
      RC_ASSERT(expectedMs(Entry, Request, PrefillMs) ==
                std::max(Entry.Slowness, 1.0) *
                        (Entry.OwnLoad.pendingMs(0) + PrefillMs) +
                    0.5 * Entry.OwnLoad.activeCount() + 15);
      const prompt Prompt{model_name("a"), "", 4000, 10, {{1, 4000}}};
      const auto Keys = prefixKeys(Prompt);
      const std::set<target_name> Tried = {target_name("e2")};
      Request.Service = service_name("models");
      Request.Prompt = &Prompt;
      Request.Keys = &Keys;
      Request.Tried = &Tried;
      Request.PrefillMsPerToken = PrefillMs / 4000;
      Request.OnlyWithoutPrefill = true;
      Entry.AvoidUntil = Request.Now + seconds(1);
      const auto Pick = pickTarget(Harness.State.Book, Request);
      RC_ASSERT(Pick.has_value());
      const double CostMs = expectedMs(Entry, Request, PrefillMs) +
                            Interference + BackoffPenaltyMs;
      RC_ASSERT(std::abs(Pick->CostMs - CostMs) < 1e-6);
      RC_ASSERT(Pick->Streams.PauseMs == 0);
    });
    CPPUNIT_ASSERT(Passed);
  }

  auto pick_prefillDueBesideStreams_otherCopyIsTaken() -> void {
    // The first target is the nearest choice but for what is due there.
    setPeerLoad("e1", 150, 10);
    setPeerLoad("e2", 0, 24);
    Harness.receiveRequest(1, "/chat/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), sentTarget());
    CPPUNIT_ASSERT_EQUAL(std::string("0"), sentField("late_percent"));
    CPPUNIT_ASSERT_EQUAL(std::string("128"), sentField("pause_ms"));
    // With the first one, a second one there would take too long.
    Harness.receiveRequest(2, "/chat/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), sentTarget());
    CPPUNIT_ASSERT_EQUAL(std::string("150"), sentField("due_ms"));
  }

  auto pick_shortRun_isLeftWithTheStreams() -> void {
    // 22 ms of prefill, or 75 ms where the shared part is not cached, break no
    // bound, so the cache decides although one target has more streams.
    setPeerLoad("e1", 0, 40);
    setPeerLoad("e2", 0, 4);
    auto &Cache = Harness.State.Book.find(target_name("e1"))->Cache;
    request_arrived Event;
    Event.Call.Prompt.Model = model_name("a");
    Event.Call.Prompt.Parts = {{7, 2100}, {8, 900}};
    Event.Call.Prompt.InputTokens = 3000;
    Cache.add(prefixKeys(Event.Call.Prompt).front(), 2100);
    Event.Number = 1;
    Event.Call.Host = "h";
    Event.Call.Path = "/chat/x";
    Event.Call.Arrived = Harness.Now;
    Event.Call.HasPrompt = true;
    Harness.dispatch(Event);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), sentTarget());
  }

  auto pick_manyLateStreams_backoffStaysTheLastResort() -> void {
    setPeerLoad("e1", 0, 60);
    auto *Slow = Harness.State.Book.find(target_name("e1"));
    Slow->Speed.observe(3, Harness.Now);
    Harness.State.Book.find(target_name("e2"))->AvoidUntil =
        Harness.Now + seconds(1);
    Harness.receiveRequest(1, "/chat/x", "a", 9000);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), sentTarget());
  }

  auto due_reportGetsOld_isReducedByTheWorkDone() -> void {
    setPeerLoad("e1", 200, 3);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, dueMs("e1"), 0.01);
    Harness.Now += milliseconds(150);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, dueMs("e1"), 0.01);
    // A slow target has done less in that time.
    Harness.State.Book.find(target_name("e1"))->Speed.observe(3, Harness.Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(150, dueMs("e1"), 0.01);
    Harness.Now += seconds(1);
    CPPUNIT_ASSERT_EQUAL(0.0, dueMs("e1"));
  }

  auto effect_lessUrgentPrefillDue_ownStreamMayBeLate() -> void {
    auto &Entry = *Harness.State.Book.find(target_name("e1"));
    Entry.OwnLoad.PendingMs = {0, 0, 900};
    auto Prompt = *makeRequest(true).Streams;
    CPPUNIT_ASSERT(streamEffect(Entry, Prompt, 20).OwnLateChance > 0);
    Prompt.Rank = 2;
    CPPUNIT_ASSERT_EQUAL(0.0, streamEffect(Entry, Prompt, 20).OwnLateChance);
  }

  auto effect_morePrefill_isNeverLess() -> void {
    const bool Passed = rc::check("more prefill, more late streams", [&] {
      auto &Entry = *Harness.State.Book.find(target_name("e1"));
      Entry.OwnLoad.Active = {*rc::gen::inRange(0U, 60U), 3, 0};
      Entry.OwnLoad.PendingMs = {1.0 * *rc::gen::inRange(0, 900), 0, 0};
      Entry.Speed = target_speed();
      Entry.Speed.observe(*rc::gen::inRange(5, 50) / 10.0, Harness.Now);
      const auto Prompt = *makeRequest(true).Streams;
      const double Less = *rc::gen::inRange(0, 900);
      const auto Small = streamEffect(Entry, Prompt, Less);
      const auto Large =
          streamEffect(Entry, Prompt, Less + *rc::gen::inRange(0, 900));
      RC_ASSERT(Small.LateStreams >= 0);
      RC_ASSERT(Small.LateStreams <= Large.LateStreams + 1e-9);
      RC_ASSERT(Small.PauseMs <= Large.PauseMs);
    });
    CPPUNIT_ASSERT(Passed);
  }

private:
  static constexpr double BackoffPenaltyMs = 5000;

  auto makeRequest(bool Protected) -> pick_request {
    static const prompt Prompt;
    pick_request Request;
    Request.Prompt = &Prompt;
    if (Protected)
      Request.Streams = {&Harness.State.StreamBounds.at(service_name("models")),
                         &Harness.State.PeerDigestTimes,
                         0,
                         500,
                         600,
                         0.025,
                         4000,
                         Harness.Now};
    return Request;
  }

  auto setPeerLoad(const char *Target, double PendingMs, std::uint32_t Streams)
      -> void {
    gateway_digest Digest;
    Digest.From = instance_name(std::string("g-") + Target);
    Digest.Loads[target_name(Target)] = {{PendingMs, 0, 0}, {Streams, 0, 0}};
    Harness.dispatch(Digest);
  }

  auto dueMs(const char *Target) -> double {
    return duePrefillMs(*Harness.State.Book.find(target_name(Target)),
                        Harness.State.PeerDigestTimes, RankCount - 1,
                        Harness.Now);
  }

  auto sentTarget() -> std::string {
    return Harness.onlyEffect<send_attempt>().Target.Text;
  }

  auto sentField(const std::string &Name) -> std::string {
    return Harness.logField("attempt_sent", Name);
  }

  gateway_harness Harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_protection_test);

} // namespace
