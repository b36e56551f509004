#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Models that have to be loaded first, and which target loads them.
class gateway_loads_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_loads_test);
  CPPUNIT_TEST(arrive_modelNowhere_loadsThenSends);
  CPPUNIT_TEST(arrive_loadTakesTooLong_isRefusedWithTheTime);
  CPPUNIT_TEST(arrive_adapterMissing_loadsItThere);
  CPPUNIT_TEST(arrive_modelLoading_asksOnlyOnce);
  CPPUNIT_TEST(wait_loadNeverCloses_isRefusedBeforeTheCallerLeaves);
  CPPUNIT_TEST(wait_peerThatAskedIsGone_loadsByItself);
  CPPUNIT_TEST(answer_failed_pausesLoadsThere);
  CPPUNIT_TEST(plan_lastCopy_isSparedForSurplus);
  CPPUNIT_TEST(ask_victimOfTheLoad_getsNoRequests);
  CPPUNIT_TEST(ask_loadWithVictims_isToldToPeersAtOnce);
  CPPUNIT_TEST(digest_victimOfPeersLoad_getsNoRequestsUntilItEnds);
  CPPUNIT_TEST(ask_adapter_tellsTheUseByAllGateways);
  CPPUNIT_TEST(told_unloadedModel_getsNoRequests);
  CPPUNIT_TEST(told_olderSequence_isIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { World = gateway_world(); }

  auto arrive_modelNowhere_loadsThenSends() -> void {
    World.addTarget("e1", "models", {"a"});
    World.arrive(1, "/chat/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), asked().Target.Text);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), asked().Model.Text);
    World.tell(load_answered{target_name("e1"), model_name("b"), "", true});
    CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                         World.one<send_attempt>().Target.Text);
  }

  auto arrive_loadTakesTooLong_isRefusedWithTheTime() -> void {
    auto Slow = makeConfiguration(2);
    Slow.Services[service_name("models")]
        .Engine.Models[model_name("b")]
        .LoadMs = 2800;
    World.tell(configuration_read{Slow});
    World.addTarget("e1", "models", {"a"});
    World.arrive(1, "/chat/x", "b");
    CPPUNIT_ASSERT(!asked().Target.empty());
    CPPUNIT_ASSERT(refusal().Code == result_code::DeadlineUnreachable);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2800}, refusal().RetryAfterMs);
  }

  auto arrive_adapterMissing_loadsItThere() -> void {
    World.addTarget("e1", "models", {"a"});
    arriveForAdapter(1, "x");
    CPPUNIT_ASSERT_EQUAL(std::string("x"), asked().Adapter);
    World.tell(load_answered{target_name("e1"), model_name("a"), "x", true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.all<send_attempt>().size());
  }

  auto arrive_modelLoading_asksOnlyOnce() -> void {
    World.addTarget("e1", "models", {"a"});
    World.arrive(1, "/chat/x", "b");
    World.arrive(2, "/chat/x", "b");
    CPPUNIT_ASSERT(World.all<request_load>().empty());
    World.tell(load_answered{target_name("e1"), model_name("b"), "", true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, World.all<send_attempt>().size());
  }

  auto wait_loadNeverCloses_isRefusedBeforeTheCallerLeaves() -> void {
    World.addTarget("e1", "models", {"a"});
    World.arrive(1, "/chat/x", "b");
    World.Now += milliseconds(2050);
    World.tell(tick{});
    CPPUNIT_ASSERT(refusal().Code == result_code::DeadlineUnreachable);
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto wait_peerThatAskedIsGone_loadsByItself() -> void {
    World.addTarget("e1", "models", {"a"});
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Loading[target_name("e1")].Model = model_name("b");
    World.tell(Digest);
    World.arrive(1, "/chat/x", "b");
    CPPUNIT_ASSERT(World.all<request_load>().empty());
    World.Now += seconds(2);
    World.tell(tick{});
    World.arrive(2, "/chat/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), asked().Model.Text);
  }

  auto answer_failed_pausesLoadsThere() -> void {
    World.addTarget("e1", "models", {"a"});
    World.arrive(1, "/chat/x", "b");
    World.tell(load_answered{target_name("e1"), model_name("b"), "", false});
    CPPUNIT_ASSERT(World.all<request_load>().empty());
    CPPUNIT_ASSERT(refusal().Code == result_code::NoTarget);
    World.Now += seconds(2);
    World.arrive(2, "/chat/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), asked().Target.Text);
  }

  auto plan_lastCopy_isSparedForSurplus() -> void {
    World.addTarget("e1", "models", {"a", "b", "c"});
    World.addTarget("e2", "models", {"a", "d", "c"});
    World.Now += seconds(10);
    World.arrive(1, "/chat/x", "e");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked().Victims.size());
    const auto Victim = asked().Victims.front().Text;
    CPPUNIT_ASSERT(Victim == "a" || Victim == "c");
  }

  auto ask_victimOfTheLoad_getsNoRequests() -> void {
    addTwoFull();
    World.arrive(1, "/chat/x", "e");
    const auto Ask = asked();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ask.Victims.size());
    const auto Victim = Ask.Victims.front();
    for (request_number Number = 2; Number <= 5; ++Number) {
      World.arrive(Number, "/chat/x", Victim.Text.c_str());
      CPPUNIT_ASSERT(World.one<send_attempt>().Target != Ask.Target);
    }
    // A load that fails may leave its victim in place.
    World.tell(load_answered{Ask.Target, model_name("e"), "", false});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, World.State.Book.holders(Victim));
  }

  auto ask_loadWithVictims_isToldToPeersAtOnce() -> void {
    addTwoFull();
    instance_record Peer;
    Peer.Name = instance_name("g2");
    Peer.Role = instance_role::Gateway;
    Peer.Address = "g2:1";
    World.tell(instances_listed{{Peer}});
    World.arrive(1, "/chat/x", "e");
    const auto Told = World.one<send_digest>().Digest.Loading;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Told.size());
    CPPUNIT_ASSERT(Told.begin()->first == asked().Target);
    CPPUNIT_ASSERT(Told.begin()->second.Victims == asked().Victims);
  }

  auto digest_victimOfPeersLoad_getsNoRequestsUntilItEnds() -> void {
    World.addTarget("e1", "models", {"a"});
    World.addTarget("e2", "models", {"a"});
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Loading[target_name("e1")] = {model_name("b"), {model_name("a")}};
    World.tell(Digest);
    for (request_number Number = 1; Number <= 4; ++Number) {
      World.arrive(Number, "/chat/x", "a");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"),
                           World.one<send_attempt>().Target.Text);
    }
    Digest.Loading.clear();
    World.tell(Digest);
    World.arrive(5, "/chat/x", "a");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                         World.one<send_attempt>().Target.Text);
  }

  auto ask_adapter_tellsTheUseByAllGateways() -> void {
    World.addTarget("e1", "models", {"a"});
    auto &Held = World.State.Book.find(target_name("e1"))
                     ->Target.Holds.Models[model_name("a")];
    Held.Adapters = {"own", "theirs"};
    arriveForAdapter(1, "own");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.all<send_attempt>().size());
    const auto OwnUse = World.Now;
    World.Now += milliseconds(400);
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.AdapterUse.emplace(target_name("e1"),
                              adapter_key(model_name("a"), "theirs"));
    World.tell(Digest);
    arriveForAdapter(2, "new");
    const auto Use = asked().AdapterUse;
    CPPUNIT_ASSERT(Use.at({model_name("a"), "own"}) == OwnUse);
    CPPUNIT_ASSERT(Use.at({model_name("a"), "theirs"}) == World.Now);
  }

  auto told_unloadedModel_getsNoRequests() -> void {
    World.addTarget("e1", "models", {"a"});
    World.addTarget("e2", "models", {"a"});
    holdings_report Told;
    Told.Address = "e1:1";
    Told.Incarnation = 1;
    Told.Sequence = 1;
    World.tell(Told);
    for (request_number Number = 1; Number <= 4; ++Number) {
      World.arrive(Number, "/chat/x", "a");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"),
                           World.one<send_attempt>().Target.Text);
    }
  }

  auto told_olderSequence_isIgnored() -> void {
    World.addTarget("e1", "models", {"a"});
    holdings_report Told;
    Told.Address = "e1:1";
    Told.Incarnation = 1;
    Told.Sequence = 5;
    Told.Holds.Models[model_name("b")];
    World.tell(Told);
    auto Row = World.State.Book.find(target_name("e1"))->Target;
    Row.Sequence = 4;
    Row.Holds = {};
    World.tell(target_updated{Row});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         World.State.Book.holders(model_name("b")));
  }

private:
  auto arriveForAdapter(request_number Number, const char *Adapter) -> void {
    request_arrived Event;
    Event.Number = Number;
    Event.Call.Host = "h";
    Event.Call.Path = "/chat/x";
    Event.Call.Arrived = World.Now;
    Event.Call.HasPrompt = true;
    Event.Call.Prompt.Model = model_name("a");
    Event.Call.Prompt.Adapter = Adapter;
    World.tell(Event);
  }

  /// Two targets without room, whose models have been there for a while.
  auto addTwoFull() -> void {
    World.addTarget("e1", "models", {"a", "b", "c"});
    World.addTarget("e2", "models", {"a", "d", "c"});
    World.Now += seconds(10);
  }

  auto asked() -> request_load { return World.one<request_load>(); }
  auto refusal() -> refuse_request { return World.one<refuse_request>(); }

  gateway_world World;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_loads_test);

} // namespace
