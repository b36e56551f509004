#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Queries to peers by a gateway that cannot read the store, or that has an
/// older configuration than a peer.
class gateway_relay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_relay_test);
  CPPUNIT_TEST(tick_storeReachable_queriesNoPeer);
  CPPUNIT_TEST(tick_storeLost_queriesPeersThatReachIt);
  CPPUNIT_TEST(tick_storeLostForAll_queriesNoPeer);
  CPPUNIT_TEST(tick_peerHasNewerConfiguration_queriedAfterGrace);
  CPPUNIT_TEST(tick_startWithoutStore_queriesSeedsInTurn);
  CPPUNIT_TEST(tick_startWithStore_queriesNoPeer);
  CPPUNIT_TEST(follow_openCallFailsLater_lostTargetsHaveNoFurtherGrace);
  CPPUNIT_TEST(digest_unknownSender_receivesDigests);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Harness = gateway_harness();
    addPeer("g2");
    addPeer("g3");
  }

  auto tick_storeReachable_queriesNoPeer() -> void {
    receiveDigest("g2", 1, true);
    advance(seconds(3));
    CPPUNIT_ASSERT(QueriedAddresses.empty());
  }

  auto tick_storeLost_queriesPeersThatReachIt() -> void {
    Harness.dispatch(store_reachability_changed{false});
    receiveDigest("g2", 1, false);
    receiveDigest("g3", 1, true);
    advance(seconds(1));
    CPPUNIT_ASSERT(QueriedAddresses.size() >= 3 &&
                   QueriedAddresses.size() <= 4);
    for (const auto &Address : QueriedAddresses)
      CPPUNIT_ASSERT_EQUAL(std::string("g3:1"), Address);
    Harness.dispatch(store_reachability_changed{true});
    QueriedAddresses.clear();
    advance(seconds(1));
    CPPUNIT_ASSERT(QueriedAddresses.empty());
  }

  auto tick_storeLostForAll_queriesNoPeer() -> void {
    Harness.dispatch(store_reachability_changed{false});
    receiveDigest("g2", 1, false);
    receiveDigest("g3", 1, false);
    advance(seconds(1));
    CPPUNIT_ASSERT(QueriedAddresses.empty());
  }

  auto tick_peerHasNewerConfiguration_queriedAfterGrace() -> void {
    receiveDigest("g2", 2, true);
    advance(milliseconds(200));
    CPPUNIT_ASSERT(QueriedAddresses.empty());
    advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, QueriedAddresses.size());
    Harness.dispatch(configuration_read{makeConfiguration(2)});
    QueriedAddresses.clear();
    advance(seconds(1));
    CPPUNIT_ASSERT(QueriedAddresses.empty());
  }

  auto tick_startWithoutStore_queriesSeedsInTurn() -> void {
    restart();
    Harness.dispatch(store_reachability_changed{false});
    advance(seconds(1));
    CPPUNIT_ASSERT(QueriedAddresses.size() >= 2);
    CPPUNIT_ASSERT_EQUAL(std::string("s1:1"), QueriedAddresses[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("s2:1"), QueriedAddresses[1]);
  }

  auto tick_startWithStore_queriesNoPeer() -> void {
    restart();
    advance(milliseconds(100));
    Harness.dispatch(configuration_read{makeConfiguration(1)});
    Harness.dispatch(configuration_confirmed{Harness.Now});
    advance(seconds(1));
    CPPUNIT_ASSERT(QueriedAddresses.empty());
  }

  auto follow_openCallFailsLater_lostTargetsHaveNoFurtherGrace() -> void {
    Harness.State.Options.LostGrace = seconds(2);
    Harness.addTarget("l1", "ledger", {});
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.DataCentre = data_centre_name("north");
    Digest.TargetsReadAgeMs = 0;
    Harness.dispatch(Digest);
    Harness.dispatch(tick{});
    Harness.dispatch(peer_answered{"g2:1", true, true, 0});
    CPPUNIT_ASSERT(!Harness.State.ReadsTargets);
    Harness.dispatch(targets_read_failed{});
    Harness.dispatch(store_reachability_changed{false});
    for (int I = 0; I < 30; ++I) {
      Harness.Now += milliseconds(100);
      Harness.dispatch(Digest);
      Harness.dispatch(tick{});
      for (const auto &Query : Harness.effectsOf<query_peer>())
        Harness.dispatch(peer_answered{Query.Address, true, true, 0});
    }
    CPPUNIT_ASSERT(!Harness.State.ReadsTargets);
    Harness.dispatch(target_lost{target_name("l1")});
    CPPUNIT_ASSERT(Harness.State.Book.find(target_name("l1")) == nullptr);
  }

  auto digest_unknownSender_receivesDigests() -> void {
    gateway_digest Digest;
    Digest.From = instance_name("g4");
    Digest.Address = "g4:1";
    Harness.dispatch(Digest);
    Harness.Now += seconds(1);
    Harness.dispatch(tick{});
    const auto Addresses = Harness.onlyEffect<send_digest>().Addresses;
    CPPUNIT_ASSERT(std::find(Addresses.begin(), Addresses.end(), "g4:1") !=
                   Addresses.end());
  }

private:
  /// Starts without a configuration, with two seeds.
  auto restart() -> void {
    gateway_options Options;
    Options.Self = instance_name("g1");
    Options.Seeds = {"s1:1", "s2:1"};
    Harness.State = makeGatewayState(Options);
  }

  auto addPeer(const char *Name) -> void {
    instance_record Peer;
    Peer.Name = instance_name(Name);
    Peer.Role = instance_role::Gateway;
    Peer.Address = std::string(Name) + ":1";
    Harness.dispatch(instances_listed{{Peer}});
  }

  /// Delivers a digest of \p Name now and on every later tick.
  auto receiveDigest(const char *Name, std::uint64_t Configuration,
                     bool Reachable) -> void {
    gateway_digest Digest;
    Digest.From = instance_name(Name);
    Digest.Configuration = Configuration;
    Digest.StoreReachable = Reachable;
    Digests[Name] = Digest;
    Harness.dispatch(Digest);
  }

  /// Runs ticks and digests for \p Span and collects the queried addresses.
  auto advance(duration Span) -> void {
    for (const auto Until = Harness.Now + Span; Harness.Now < Until;) {
      Harness.Now += milliseconds(100);
      for (const auto &[Name, Digest] : Digests)
        Harness.dispatch(Digest);
      Harness.dispatch(tick{});
      for (const auto &Effect : Harness.effectsOf<query_peer>())
        QueriedAddresses.push_back(Effect.Address);
    }
  }

  gateway_harness Harness;
  std::map<std::string, gateway_digest> Digests;
  std::vector<std::string> QueriedAddresses;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_relay_test);

} // namespace
