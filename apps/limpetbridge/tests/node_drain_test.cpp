/// \file
/// An entry that is asked to drain.

#include "node_setup.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace limpetbridge;

class node_drain_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_drain_test);
  CPPUNIT_TEST(drainTimeout_killedEarlier_endsBeforeTheKill);
  CPPUNIT_TEST_SUITE_END();

public:
  auto drainTimeout_killedEarlier_endsBeforeTheKill() -> void {
    auto Settings = defaultSettings(); // Drains for 60 s, is killed after 8 s.
    const auto Kill = milliseconds(Settings.StopGraceMs);
    const auto Drain = toNodeOptions(Settings).DrainTimeout;
    CPPUNIT_ASSERT(Drain < callerCutTimeout(Settings));
    CPPUNIT_ASSERT(callerCutTimeout(Settings) < Kill);
    Settings.DrainDeadlineMs = 1;
    CPPUNIT_ASSERT(toNodeOptions(Settings).DrainTimeout == milliseconds(1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(node_drain_test);
