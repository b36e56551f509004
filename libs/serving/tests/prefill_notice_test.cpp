#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Notices of prompts with much prefill, between gateways.
class prefill_notice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefill_notice_test);
  CPPUNIT_TEST(notice_untilTheNextDigest_countsAsDue);
  CPPUNIT_TEST(notice_fromAnotherGateway_keepsPromptsAway);
  CPPUNIT_TEST(notice_unusable_isIgnored);
  CPPUNIT_TEST(notices_tooMany_areBounded);
  CPPUNIT_TEST(prompt_longAndProtected_isAnnounced);
  CPPUNIT_TEST(prompts_many_areAnnouncedAtALimitedRate);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Harness = gateway_harness();
    Harness.dispatch(configuration_read{protectedConfiguration()});
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {"a"});
    Harness.dispatch(digest());
  }

  auto notice_untilTheNextDigest_countsAsDue() -> void {
    Harness.Now += milliseconds(10);
    Harness.dispatch(notice(200));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, dueMs(), 0.01);
    Harness.Now += milliseconds(50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(150, dueMs(), 0.01);
    // The digest has it as well.
    auto Digest = digest();
    Digest.Loads[target_name("e1")] = {{140, 0, 0}, {1, 0, 0}};
    Harness.dispatch(Digest);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(140, dueMs(), 0.01);
  }

  auto notice_fromAnotherGateway_keepsPromptsAway() -> void {
    Harness.Now += milliseconds(10);
    Harness.dispatch(notice(240));
    Harness.receiveRequest(1, "/plan/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"),
                         Harness.onlyEffect<send_attempt>().Target.Text);
  }

  auto notice_unusable_isIgnored() -> void {
    Harness.Now += milliseconds(10);
    using limits = std::numeric_limits<double>;
    for (const double PrefillMs :
         {-1.0, 0.0, 1e300, limits::infinity(), limits::quiet_NaN()})
      Harness.dispatch(notice(PrefillMs));
    auto Odd = notice(100);
    Odd.Rank = RankCount;
    Harness.dispatch(Odd);
    Odd = notice(100);
    Odd.Target = target_name("unknown");
    Harness.dispatch(Odd);
    Odd = notice(100);
    Odd.From = instance_name("g1");
    Harness.dispatch(Odd);
    CPPUNIT_ASSERT_EQUAL(0.0, dueMs());
  }

  auto notices_tooMany_areBounded() -> void {
    for (int I = 0; I < 1000; ++I)
      Harness.dispatch(notice(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, entry().NoticedPrefill.size());
    Harness.Now += seconds(3);
    Harness.dispatch(notice(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry().NoticedPrefill.size());
  }

  auto prompt_longAndProtected_isAnnounced() -> void {
    Harness.receiveRequest(1, "/chat/x", "a", 4000);
    const auto Effect = Harness.onlyEffect<send_prefill_notice>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Effect.Addresses.size());
    CPPUNIT_ASSERT_EQUAL(std::string("g1"), Effect.Notice.From.Text);
    CPPUNIT_ASSERT(Effect.Notice.Target ==
                   Harness.onlyEffect<send_attempt>().Target);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Effect.Notice.PrefillMs, 0.01);
    Harness.receiveRequest(2, "/chat/x", "a", 800);
    CPPUNIT_ASSERT(Harness.effectsOf<send_prefill_notice>().empty());
    // Older deployments send none.
    Harness.dispatch(configuration_read{makeConfiguration(3)});
    Harness.Now += seconds(1);
    Harness.receiveRequest(3, "/chat/x", "a", 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Harness.effectsOf<send_attempt>().size());
    CPPUNIT_ASSERT(Harness.effectsOf<send_prefill_notice>().empty());
  }

  auto prompts_many_areAnnouncedAtALimitedRate() -> void {
    std::size_t Sent = 0;
    for (request_number Number = 1; Number <= 10; ++Number) {
      Harness.receiveRequest(Number, "/chat/x", "a", 4100);
      Sent += Harness.effectsOf<send_prefill_notice>().size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Sent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, Harness.State.NoticesHeldBack);
  }

private:
  static auto digest() -> gateway_digest {
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Address = "g2:1";
    return Digest;
  }

  static auto notice(double PrefillMs) -> prefill_notice {
    return {instance_name("g2"), target_name("e1"), 0, PrefillMs};
  }

  auto entry() -> target_entry & {
    return *Harness.State.Book.find(target_name("e1"));
  }

  auto dueMs() -> double {
    return duePrefillMs(entry(), Harness.State.PeerDigestTimes, RankCount - 1,
                        Harness.Now);
  }

  gateway_harness Harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefill_notice_test);

} // namespace
