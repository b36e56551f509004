#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// The pace of streams, from the connection to the choice of targets.
class stream_pace_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_pace_test);
  CPPUNIT_TEST(stream_eventsFarApart_targetCountsAsSlow);
  CPPUNIT_TEST_SUITE_END();

public:
  // One token an event takes 5.5 ms until the service is known.
  auto stream_eventsFarApart_targetCountsAsSlow() -> void {
    fleet Fleet;
    Fleet.ChangeSettings = [](node_settings &Settings) {
      Settings.MeasurePace = true;
    };
    Fleet.ChangeConfiguration = [](nlohmann::json &Json) {
      Json["routes"][0]["gap_aim_ms"] = 500;
      Json["services"][1]["inference_engine"]["stride"] = 1;
    };
    Fleet.publishConfiguration();
    auto &Engine = Fleet.addWorker("e1", "models");
    Fleet.Outside.call([&] {
      Engine.Behaviour = behaviour::Stream;
      Engine.EventGapMs = 40;
      return Engine.Models.insert("a").second;
    });
    Fleet.publish("e1");
    Fleet.startGateway();
    CPPUNIT_ASSERT(Fleet.awaitReady());
    CPPUNIT_ASSERT(eventually([&] {
      Fleet.send("/chat/x", "x",
                 {{"X-Limpetbridge-Model", "a"},
                  {"X-Limpetbridge-Token-Usage", "100,20"}});
      return Fleet.metric("target_slowness_percent{target=\"e1\"}") >= 400;
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_pace_test);

} // namespace
