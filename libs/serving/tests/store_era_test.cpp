#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr duration Grace = milliseconds(1500);

/// A gateway whose store was restored from an older copy.
class store_era_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_era_test);
  CPPUNIT_TEST(rise_rowMissingInTheCopy_targetHasTheGracePeriod);
  CPPUNIT_TEST(rise_secondOneWhileRowsAreMissing_graceBeginsAnew);
  CPPUNIT_TEST(rise_readsOfTheCopy_doNotConfirmTheConfiguration);
  CPPUNIT_TEST(rise_emptyCopy_laterRowIsTaken);
  CPPUNIT_TEST(rise_digestOfTheOldEra_isNotFollowed);
  CPPUNIT_TEST(rise_viewOfTheOldEra_isNotOffered);
  CPPUNIT_TEST(digest_laterEra_storeIsReadAtOnce);
  CPPUNIT_TEST(digest_withoutEra_isAsBefore);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Gateway = gateway_harness();
    Gateway.State.Options.LostGrace = Grace;
    Gateway.dispatch(store_era_changed{4, false});
    Gateway.addTarget("t", "ledger", {});
    Gateway.dispatch(configuration_read{makeConfiguration(8, {{"w", {"k"}}}),
                                        {4, 12, 9, 80, 0}});
    Gateway.dispatch(configuration_confirmed{Gateway.Now});
    Gateway.dispatch(targets_read{});
    Gateway.Key = "k";
  }

  auto rise_rowMissingInTheCopy_targetHasTheGracePeriod() -> void {
    rise(5);
    Gateway.dispatch(targets_listed{});
    CPPUNIT_ASSERT(knowsTarget());
    Gateway.receiveRequest(1, "/read/");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Gateway.effectsOf<send_attempt>().size());
    advance(Grace - milliseconds(100));
    CPPUNIT_ASSERT(knowsTarget());
    advance(milliseconds(100));
    CPPUNIT_ASSERT(!knowsTarget());
    // The grace is over: rows that are deleted now are.
    Gateway.addTarget("t", "ledger", {});
    Gateway.dispatch(target_lost{target_name("t")});
    CPPUNIT_ASSERT(!knowsTarget());
  }

  auto rise_secondOneWhileRowsAreMissing_graceBeginsAnew() -> void {
    rise(5);
    Gateway.dispatch(targets_listed{});
    advance(milliseconds(1000));
    rise(6);
    Gateway.dispatch(targets_listed{});
    advance(milliseconds(1400));
    CPPUNIT_ASSERT(knowsTarget());
    Gateway.addTarget("t", "ledger", {});
    advance(Grace);
    CPPUNIT_ASSERT(knowsTarget());
  }

  auto rise_readsOfTheCopy_doNotConfirmTheConfiguration() -> void {
    const auto KnownAt = Gateway.State.ConfigurationAge.KnownAt;
    rise(5);
    advance(milliseconds(500));
    readCopy();
    CPPUNIT_ASSERT(KnownAt == Gateway.State.ConfigurationAge.KnownAt);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, Gateway.State.Configuration.Version);
    Gateway.dispatch(configuration_read{makeConfiguration(8, {{"w", {"k"}}}),
                                        {5, 11, 10, 80, 0}});
    Gateway.dispatch(configuration_confirmed{Gateway.Now});
    CPPUNIT_ASSERT(Gateway.Now == Gateway.State.ConfigurationAge.KnownAt);
  }

  /// Guards against taking a row for that of a copy that has none.
  auto rise_emptyCopy_laterRowIsTaken() -> void {
    rise(5);
    Gateway.dispatch(configuration_missing{});
    rise(6);
    Gateway.dispatch(configuration_read{makeConfiguration(1, {{"w", {"k"}}}),
                                        {6, 3, 4, 10, 0}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Gateway.State.Configuration.Version);
  }

  auto rise_digestOfTheOldEra_isNotFollowed() -> void {
    hear(4, 9);
    CPPUNIT_ASSERT(queries() > 0);
    rise(5);
    CPPUNIT_ASSERT_EQUAL(0, queries());
    hear(4, 9);
    CPPUNIT_ASSERT_EQUAL(0, queries());
    CPPUNIT_ASSERT(Gateway.State.ReadsTargets);
    hear(5, 9);
    CPPUNIT_ASSERT(queries() > 0);
  }

  auto rise_viewOfTheOldEra_isNotOffered() -> void {
    const auto AgeMs = [&] {
      return targetsKnownAgeMs(Gateway.State, Gateway.Now);
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, AgeMs());
    rise(5);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1}, AgeMs());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1},
                         targetsReadAgeMs(Gateway.State, Gateway.Now));
    CPPUNIT_ASSERT(
        mayDecide(Gateway.State, knowledge_kind::Targets, Gateway.Now));
    Gateway.dispatch(targets_read{});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, AgeMs());
  }

  auto digest_laterEra_storeIsReadAtOnce() -> void {
    hear(5, 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Gateway.effectsOf<read_configuration>().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Gateway.State.StoreEra);
    hear(5, 8);
    CPPUNIT_ASSERT(Gateway.effectsOf<read_configuration>().empty());
  }

  auto digest_withoutEra_isAsBefore() -> void {
    gateway_harness Old;
    std::swap(Old, Gateway);
    hear(0, 9);
    CPPUNIT_ASSERT(queries() > 0);
  }

private:
  auto rise(std::uint64_t Era) -> void {
    Gateway.dispatch(store_era_changed{Era, true});
  }

  /// The copy has version 7, as of store version 10.
  auto readCopy() -> void {
    Gateway.dispatch(configuration_read{makeConfiguration(7, {{"w", {"k"}}}),
                                        {5, 10, 10, 70, 0}});
    Gateway.dispatch(configuration_confirmed{Gateway.Now});
  }

  auto hear(std::uint64_t Era, std::uint64_t Configuration) -> void {
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Address = "g2:1";
    Digest.StoreEra = Era;
    Digest.Configuration = Configuration;
    Digest.DataCentre = data_centre_name("north");
    Digest.TargetsReadAgeMs = 100;
    Gateway.dispatch(Digest);
  }

  /// Number of queries to another gateway in half a second, besides those for
  /// the targets.
  auto queries() -> int {
    int Count = 0;
    for (int I = 0; I < 5; ++I) {
      Gateway.dispatch(targets_read{});
      advance(milliseconds(100));
      for (const auto &Query : Gateway.effectsOf<query_peer>())
        Count += Query.WaitMs == 0 ? 1 : 0;
    }
    return Count;
  }

  auto advance(duration Span) -> void {
    Gateway.Now += Span;
    Gateway.dispatch(tick{});
  }

  auto knowsTarget() -> bool {
    return Gateway.State.Book.find(target_name("t")) != nullptr;
  }

  gateway_harness Gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_era_test);

} // namespace
