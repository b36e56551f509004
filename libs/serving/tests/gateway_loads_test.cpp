#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Requests that wait for a load, the choice of the target and its victims, and
/// reports of what targets hold.
class gateway_loads_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_loads_test);
  CPPUNIT_TEST(request_modelNotLoaded_loadedThenSent);
  CPPUNIT_TEST(request_loadTooSlow_refusedWithLoadTime);
  CPPUNIT_TEST(request_adapterMissing_loadedThenSent);
  CPPUNIT_TEST(request_modelLoading_noSecondLoad);
  CPPUNIT_TEST(loadWait_neverAnswered_refusedBeforeCallerTimeout);
  CPPUNIT_TEST(request_peerLoadingModelDied_requestsLoad);
  CPPUNIT_TEST(loadAnswer_failed_backsOffAtTarget);
  CPPUNIT_TEST(load_lastCopyOrSurplusCopy_evictsSurplus);
  CPPUNIT_TEST(load_victimOfOwnLoad_getsNoRequests);
  CPPUNIT_TEST(load_withVictims_sendsDigestAtOnce);
  CPPUNIT_TEST(digest_victimOfPeerLoad_noRequestsUntilItEnds);
  CPPUNIT_TEST(adapterLoad_usedByAnyGateway_includesLastUse);
  CPPUNIT_TEST(holdingsReport_modelUnloaded_getsNoRequests);
  CPPUNIT_TEST(target_rowOlderThanReport_isIgnored);
  CPPUNIT_TEST(lostTarget_lastCopyOfAModel_isLoadedElsewhere);
  CPPUNIT_TEST(lostTarget_onlyLastCopiesToEvict_nothingIsLoaded);
  CPPUNIT_TEST(addedTargets_demandAboveTheCopies_getModelsAndWork);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { Harness = gateway_harness(); }

  auto request_modelNotLoaded_loadedThenSent() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.receiveRequest(1, "/chat/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), requestedLoad().Target.Text);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), requestedLoad().Model.Text);
    Harness.dispatch(
        load_answered{target_name("e1"), model_name("b"), "", true});
    CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                         Harness.onlyEffect<send_attempt>().Target.Text);
  }

  auto request_loadTooSlow_refusedWithLoadTime() -> void {
    auto Slow = makeConfiguration(2);
    Slow.Services[service_name("models")]
        .Engine.Models[model_name("b")]
        .LoadMs = 2800;
    Harness.dispatch(configuration_read{Slow});
    Harness.addTarget("e1", "models", {"a"});
    Harness.receiveRequest(1, "/chat/x", "b");
    CPPUNIT_ASSERT(!requestedLoad().Target.empty());
    CPPUNIT_ASSERT(refusal().Code == result_code::DeadlineUnreachable);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2800}, refusal().RetryAfterMs);
  }

  auto request_adapterMissing_loadedThenSent() -> void {
    Harness.addTarget("e1", "models", {"a"});
    receiveAdapterRequest(1, "x");
    CPPUNIT_ASSERT_EQUAL(std::string("x"), requestedLoad().Adapter);
    Harness.dispatch(
        load_answered{target_name("e1"), model_name("a"), "x", true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Harness.effectsOf<send_attempt>().size());
  }

  auto request_modelLoading_noSecondLoad() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.receiveRequest(1, "/chat/x", "b");
    Harness.receiveRequest(2, "/chat/x", "b");
    CPPUNIT_ASSERT(Harness.effectsOf<request_load>().empty());
    Harness.dispatch(
        load_answered{target_name("e1"), model_name("b"), "", true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         Harness.effectsOf<send_attempt>().size());
  }

  auto loadWait_neverAnswered_refusedBeforeCallerTimeout() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.receiveRequest(1, "/chat/x", "b");
    Harness.Now += milliseconds(2050);
    Harness.dispatch(tick{});
    CPPUNIT_ASSERT(refusal().Code == result_code::DeadlineUnreachable);
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto request_peerLoadingModelDied_requestsLoad() -> void {
    Harness.addTarget("e1", "models", {"a"});
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Loading[target_name("e1")].Model = model_name("b");
    Harness.dispatch(Digest);
    Harness.receiveRequest(1, "/chat/x", "b");
    CPPUNIT_ASSERT(Harness.effectsOf<request_load>().empty());
    Harness.Now += seconds(2);
    Harness.dispatch(tick{});
    Harness.receiveRequest(2, "/chat/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), requestedLoad().Model.Text);
  }

  auto loadAnswer_failed_backsOffAtTarget() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.receiveRequest(1, "/chat/x", "b");
    Harness.dispatch(
        load_answered{target_name("e1"), model_name("b"), "", false});
    CPPUNIT_ASSERT(Harness.effectsOf<request_load>().empty());
    CPPUNIT_ASSERT(refusal().Code == result_code::NoTarget);
    Harness.Now += seconds(2);
    Harness.receiveRequest(2, "/chat/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), requestedLoad().Target.Text);
  }

  auto load_lastCopyOrSurplusCopy_evictsSurplus() -> void {
    Harness.addTarget("e1", "models", {"a", "b", "c"});
    Harness.addTarget("e2", "models", {"a", "d", "c"});
    Harness.Now += seconds(10);
    Harness.receiveRequest(1, "/chat/x", "e");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requestedLoad().Victims.size());
    const auto Victim = requestedLoad().Victims.front().Text;
    CPPUNIT_ASSERT(Victim == "a" || Victim == "c");
  }

  auto load_victimOfOwnLoad_getsNoRequests() -> void {
    addTwoFullTargets();
    Harness.receiveRequest(1, "/chat/x", "e");
    const auto RequestedLoad = requestedLoad();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RequestedLoad.Victims.size());
    const auto Victim = RequestedLoad.Victims.front();
    for (request_number Number = 2; Number <= 5; ++Number) {
      Harness.receiveRequest(Number, "/chat/x", Victim.Text.c_str());
      CPPUNIT_ASSERT(Harness.onlyEffect<send_attempt>().Target !=
                     RequestedLoad.Target);
    }
    // After a failed load, the victim counts as held again.
    Harness.dispatch(
        load_answered{RequestedLoad.Target, model_name("e"), "", false});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Harness.State.Book.copyCount(Victim));
  }

  auto load_withVictims_sendsDigestAtOnce() -> void {
    addTwoFullTargets();
    instance_record Peer;
    Peer.Name = instance_name("g2");
    Peer.Role = instance_role::Gateway;
    Peer.Address = "g2:1";
    Harness.dispatch(instances_listed{{Peer}});
    Harness.receiveRequest(1, "/chat/x", "e");
    const auto ReportedLoads = Harness.onlyEffect<send_digest>().Digest.Loading;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReportedLoads.size());
    CPPUNIT_ASSERT(ReportedLoads.begin()->first == requestedLoad().Target);
    CPPUNIT_ASSERT(ReportedLoads.begin()->second.Victims ==
                   requestedLoad().Victims);
  }

  auto digest_victimOfPeerLoad_noRequestsUntilItEnds() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {"a"});
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Loading[target_name("e1")] = {model_name("b"), {model_name("a")}};
    Harness.dispatch(Digest);
    for (request_number Number = 1; Number <= 4; ++Number) {
      Harness.receiveRequest(Number, "/chat/x", "a");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"),
                           Harness.onlyEffect<send_attempt>().Target.Text);
    }
    Digest.Loading.clear();
    Harness.dispatch(Digest);
    Harness.receiveRequest(5, "/chat/x", "a");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                         Harness.onlyEffect<send_attempt>().Target.Text);
  }

  auto adapterLoad_usedByAnyGateway_includesLastUse() -> void {
    Harness.addTarget("e1", "models", {"a"});
    auto &HeldModel = Harness.State.Book.find(target_name("e1"))
                          ->Target.Holdings.Models[model_name("a")];
    HeldModel.Adapters = {"own", "theirs"};
    receiveAdapterRequest(1, "own");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Harness.effectsOf<send_attempt>().size());
    const auto OwnUse = Harness.Now;
    Harness.Now += milliseconds(400);
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.AdapterUse.emplace(target_name("e1"),
                              adapter_key(model_name("a"), "theirs"));
    Harness.dispatch(Digest);
    receiveAdapterRequest(2, "new");
    const auto Use = requestedLoad().AdapterUse;
    CPPUNIT_ASSERT(Use.at({model_name("a"), "own"}) == OwnUse);
    CPPUNIT_ASSERT(Use.at({model_name("a"), "theirs"}) == Harness.Now);
  }

  auto holdingsReport_modelUnloaded_getsNoRequests() -> void {
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {"a"});
    holdings_report Report;
    Report.Address = "e1:1";
    Report.Incarnation = 1;
    Report.Sequence = 1;
    Harness.dispatch(Report);
    for (request_number Number = 1; Number <= 4; ++Number) {
      Harness.receiveRequest(Number, "/chat/x", "a");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"),
                           Harness.onlyEffect<send_attempt>().Target.Text);
    }
  }

  auto target_rowOlderThanReport_isIgnored() -> void {
    Harness.addTarget("e1", "models", {"a"});
    holdings_report Report;
    Report.Address = "e1:1";
    Report.Incarnation = 1;
    Report.Sequence = 5;
    Report.Holdings.Models[model_name("b")];
    Harness.dispatch(Report);
    auto Row = Harness.State.Book.find(target_name("e1"))->Target;
    Row.Sequence = 4;
    Row.Holdings = {};
    Harness.dispatch(target_updated{Row});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Harness.State.Book.copyCount(model_name("b")));
  }

  auto lostTarget_lastCopyOfAModel_isLoadedElsewhere() -> void {
    addAllModels();
    Harness.addTarget("e3", "models", {"a", "b"});
    CPPUNIT_ASSERT(loadsWithin(seconds(3)).empty());
    Harness.dispatch(target_lost{target_name("e1")});
    // Nobody asks for it; e3 has room for one more.
    const auto Loads = loadsWithin(seconds(3));
    CPPUNIT_ASSERT(Loads.contains("c"));
    CPPUNIT_ASSERT(!Loads.contains("a"));
  }

  auto lostTarget_onlyLastCopiesToEvict_nothingIsLoaded() -> void {
    addAllModels();
    Harness.dispatch(target_lost{target_name("e1")});
    // The target that is left has room for one more model.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loadsWithin(seconds(3)).size());
    for (const auto &[Name, Entry] : Harness.State.Book.all())
      CPPUNIT_ASSERT(!Entry.Change || Entry.Change->Victims.empty());
  }

  // Targets are added when there are too few, so seconds without work count.
  auto addedTargets_demandAboveTheCopies_getModelsAndWork() -> void {
    Harness.dispatch(configuration_read{protectedConfiguration()});
    Harness.addTarget("e1", "models", {"a", "b"});
    Harness.addTarget("e2", "models", {"a", "b"});
    serve(seconds(4));
    Harness.addTarget("e3", "models", {});
    Harness.addTarget("e4", "models", {});
    serve(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         Harness.State.Book.copyCount(model_name("a")));
    Sent.clear();
    serve(seconds(2));
    // Half of the copies of a, which has four fifths of the demand.
    CPPUNIT_ASSERT(Sent["e3"] + Sent["e4"] > (Sent["e1"] + Sent["e2"]) / 2);
  }

private:
  /// Each of the five models has one copy; e1 holds three of them.
  auto addAllModels() -> void {
    Harness.addTarget("e1", "models", {"a", "b", "c"});
    Harness.addTarget("e2", "models", {"d", "e"});
  }

  /// Models that are loaded within \p Span without any request.
  auto loadsWithin(duration Span) -> std::set<std::string> {
    std::set<std::string> Loads;
    for (const auto End = Harness.Now + Span; Harness.Now < End;
         Harness.Now += milliseconds(100)) {
      Harness.dispatch(tick{});
      for (const auto &Load : Harness.effectsOf<request_load>())
        Loads.insert(Load.Model.Text);
    }
    return Loads;
  }

  auto receiveAdapterRequest(request_number Number, const char *Adapter)
      -> void {
    request_arrived Event;
    Event.Number = Number;
    Event.Call.Host = "h";
    Event.Call.Path = "/chat/x";
    Event.Call.Arrived = Harness.Now;
    Event.Call.HasPrompt = true;
    Event.Call.Prompt.Model = model_name("a");
    Event.Call.Prompt.Adapter = Adapter;
    Harness.dispatch(Event);
  }

  /// Adds two targets without free memory, whose models were loaded long enough
  /// ago to be evicted.
  auto addTwoFullTargets() -> void {
    Harness.addTarget("e1", "models", {"a", "b", "c"});
    Harness.addTarget("e2", "models", {"a", "d", "c"});
    Harness.Now += seconds(10);
  }

  auto requestedLoad() -> request_load {
    return Harness.onlyEffect<request_load>();
  }
  auto refusal() -> refuse_request {
    return Harness.onlyEffect<refuse_request>();
  }

  /// 40 requests a second for a and 10 for b, of 50 ms of prefill. Targets
  /// work on one after the other; loads take a second.
  auto serve(duration Time) -> void {
    for (const auto End = Harness.Now + Time; Harness.Now < End;) {
      ++LastRequest;
      Harness.receiveRequest(LastRequest, "/chat/x",
                             LastRequest % 5 == 0 ? "b" : "a", 2000);
      takeEffects();
      Harness.Now += milliseconds(20);
      while (!Due.empty() && Due.begin()->first <= Harness.Now) {
        Harness.dispatch(Due.begin()->second);
        Due.erase(Due.begin());
        takeEffects();
      }
      if (LastRequest % 5 == 0)
        Harness.dispatch(tick{});
      takeEffects();
    }
  }

  auto takeEffects() -> void {
    for (const auto &Send : Harness.effectsOf<send_attempt>()) {
      ++Sent[Send.Target.Text];
      auto &FreeAt = FreeTimes[Send.Target.Text];
      FreeAt = std::max(FreeAt, Harness.Now) + milliseconds(50);
      Due.emplace(FreeAt, first_output{Send.Number, Send.Attempt});
      attempt_ended Ended;
      Ended.Number = Send.Number;
      Ended.Attempt = Send.Attempt;
      Ended.End = attempt_end::Answered;
      Due.emplace(FreeAt + milliseconds(200), Ended);
    }
    for (const auto &Load : Harness.effectsOf<request_load>())
      Due.emplace(Harness.Now + seconds(1),
                  load_answered{Load.Target, Load.Model, "", true});
    Harness.Effects.clear();
  }

  request_number LastRequest = 100;
  std::multimap<time_point, gateway_event> Due;
  std::map<std::string, time_point> FreeTimes;
  std::map<std::string, int> Sent;
  gateway_harness Harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_loads_test);

} // namespace
