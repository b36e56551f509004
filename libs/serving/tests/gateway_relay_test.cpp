#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// A gateway that the store turns away, among others that read it.
class gateway_relay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_relay_test);
  CPPUNIT_TEST(tick_storeReachable_asksNobody);
  CPPUNIT_TEST(tick_storeLost_asksThoseThatReadIt);
  CPPUNIT_TEST(tick_storeLostForAll_asksNobody);
  CPPUNIT_TEST(tick_peerHasNewerConfiguration_asksAfterTheGrace);
  CPPUNIT_TEST(tick_startWithoutStore_asksTheSeedsInTurn);
  CPPUNIT_TEST(tick_startWithStore_asksNobody);
  CPPUNIT_TEST(digest_unknownSender_isAnsweredToItsAddress);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    World = gateway_world();
    addPeer("g2");
    addPeer("g3");
  }

  auto tick_storeReachable_asksNobody() -> void {
    hear("g2", 1, true);
    pass(seconds(3));
    CPPUNIT_ASSERT(Asked.empty());
  }

  auto tick_storeLost_asksThoseThatReadIt() -> void {
    World.tell(store_reachability_changed{false});
    hear("g2", 1, false);
    hear("g3", 1, true);
    pass(seconds(1));
    CPPUNIT_ASSERT(Asked.size() >= 3 && Asked.size() <= 4);
    for (const auto &Address : Asked)
      CPPUNIT_ASSERT_EQUAL(std::string("g3:1"), Address);
    World.tell(store_reachability_changed{true});
    Asked.clear();
    pass(seconds(1));
    CPPUNIT_ASSERT(Asked.empty());
  }

  auto tick_storeLostForAll_asksNobody() -> void {
    World.tell(store_reachability_changed{false});
    hear("g2", 1, false);
    hear("g3", 1, false);
    pass(seconds(1));
    CPPUNIT_ASSERT(Asked.empty());
  }

  auto tick_peerHasNewerConfiguration_asksAfterTheGrace() -> void {
    hear("g2", 2, true);
    pass(milliseconds(200));
    CPPUNIT_ASSERT(Asked.empty());
    pass(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Asked.size());
    World.tell(configuration_read{makeConfiguration(2)});
    Asked.clear();
    pass(seconds(1));
    CPPUNIT_ASSERT(Asked.empty());
  }

  auto tick_startWithoutStore_asksTheSeedsInTurn() -> void {
    start();
    World.tell(store_reachability_changed{false});
    pass(seconds(1));
    CPPUNIT_ASSERT(Asked.size() >= 2);
    CPPUNIT_ASSERT_EQUAL(std::string("s1:1"), Asked[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("s2:1"), Asked[1]);
  }

  auto tick_startWithStore_asksNobody() -> void {
    start();
    pass(milliseconds(100));
    World.tell(configuration_read{makeConfiguration(1)});
    pass(seconds(1));
    CPPUNIT_ASSERT(Asked.empty());
  }

  auto digest_unknownSender_isAnsweredToItsAddress() -> void {
    gateway_digest Digest;
    Digest.From = instance_name("g4");
    Digest.Address = "g4:1";
    World.tell(Digest);
    World.Now += seconds(1);
    World.tell(tick{});
    const auto To = World.one<send_digest>().Addresses;
    CPPUNIT_ASSERT(std::find(To.begin(), To.end(), "g4:1") != To.end());
  }

private:
  auto start() -> void {
    gateway_options Options;
    Options.Self = instance_name("g1");
    Options.Seeds = {"s1:1", "s2:1"};
    World.State = makeGatewayState(Options);
  }

  auto addPeer(const char *Name) -> void {
    instance_record Peer;
    Peer.Name = instance_name(Name);
    Peer.Role = instance_role::Gateway;
    Peer.Address = std::string(Name) + ":1";
    World.tell(instances_listed{{Peer}});
  }

  /// The digest that \p Name sends from now on.
  auto hear(const char *Name, std::uint64_t Configuration, bool Reachable)
      -> void {
    gateway_digest Digest;
    Digest.From = instance_name(Name);
    Digest.Configuration = Configuration;
    Digest.StoreReachable = Reachable;
    Digests[Name] = Digest;
    World.tell(Digest);
  }

  auto pass(duration Span) -> void {
    for (const auto Until = World.Now + Span; World.Now < Until;) {
      World.Now += milliseconds(100);
      for (const auto &[Name, Digest] : Digests)
        World.tell(Digest);
      World.tell(tick{});
      for (const auto &Effect : World.all<query_peer>())
        Asked.push_back(Effect.Address);
    }
  }

  gateway_world World;
  std::map<std::string, gateway_digest> Digests;
  std::vector<std::string> Asked;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_relay_test);

} // namespace
