#include "gateway_fixture.h"
#include "serving/stream_limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Limits from the bound of pauses.
class stream_limits_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_limits_test);
  CPPUNIT_TEST(notice_bound_halfOfTheShortestLateRun);
  CPPUNIT_TEST(gateways_equalCopies_spreadOverThem);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Harness = gateway_harness();
    Harness.dispatch(configuration_read{protectedConfiguration()});
    Harness.addTarget("e1", "models", {"a"});
    Harness.addTarget("e2", "models", {"a"});
  }

  auto notice_bound_halfOfTheShortestLateRun() -> void {
    const stream_bounds Bounds{5, {0, 500, 800}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(86.25, minNoticeMs(Bounds), 0.01);
  }

  // Gateways that send at once know nothing of each other's prompts.
  auto gateways_equalCopies_spreadOverThem() -> void {
    int First = 0;
    for (int I = 0; I < 29; ++I) {
      Harness.State.Options.Self = instance_name("g" + std::to_string(I));
      Harness.receiveRequest(1, "/chat/x", "a", 4000);
      First += sentTarget() == "e1" ? 1 : 0;
      Harness.dispatch(caller_left{1});
      for (auto &[Name, Entry] : Harness.State.Book.all())
        Entry.Cache.clear();
    }
    CPPUNIT_ASSERT(First >= 9 && First <= 20);
  }

private:
  auto sentTarget() -> std::string {
    return Harness.onlyEffect<send_attempt>().Target.Text;
  }

  gateway_harness Harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_limits_test);

} // namespace
