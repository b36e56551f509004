#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// The least time of any deployment in which a target that leaves must stop
/// getting work, less the time of a request on its way.
constexpr duration DrainBound = seconds(2) - milliseconds(200);
constexpr duration TickInterval = milliseconds(100);

/// A gateway whose own knowledge of the targets grows old, in virtual time.
class stale_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stale_view_test);
  CPPUNIT_TEST(request_rowsOldWhilePeersAreCurrent_isNotSent);
  CPPUNIT_TEST(tick_ownReadStaysOpen_currentPeersAreAsked);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Gateway = gateway_harness();
    Asked.clear();
    Gateway.addTarget("t1", "ledger", {});
    instances_listed Listed;
    for (const auto &Name : PeerNames)
      Listed.Instances.push_back(
          {instance_name(Name), instance_role::Gateway, Name, ""});
    Gateway.dispatch(Listed);
    Gateway.dispatch(targets_read{});
  }

  auto request_rowsOldWhilePeersAreCurrent_isNotSent() -> void {
    runWithoutRows(DrainBound);
    Gateway.receiveRequest(1, "/pay/x");
    CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
  }

  auto tick_ownReadStaysOpen_currentPeersAreAsked() -> void {
    runWithoutRows(DrainBound);
    std::set<std::string> Immediate;
    for (const auto &Query : Asked)
      if (Query.WaitMs == 0)
        Immediate.insert(Query.Address);
    CPPUNIT_ASSERT(!Immediate.empty());
  }

private:
  /// Peers that read the targets go on sending digests. The own read stays
  /// open, and no query is answered.
  auto runWithoutRows(duration Span) -> void {
    for (const auto End = Gateway.Now + Span; Gateway.Now < End;) {
      Gateway.Now += TickInterval;
      for (const auto &Name : PeerNames) {
        gateway_digest Digest;
        Digest.From = instance_name(Name);
        Digest.Address = Name;
        Digest.DataCentre = data_centre_name("south");
        Digest.TargetsReadAgeMs = 100;
        Gateway.dispatch(Digest);
      }
      Gateway.dispatch(tick{});
      for (const auto &Query : Gateway.effectsOf<query_peer>())
        Asked.push_back(Query);
    }
  }

  const std::vector<std::string> PeerNames = {"g2", "g3", "g4"};
  gateway_harness Gateway;
  std::vector<query_peer> Asked;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stale_view_test);

} // namespace
