#include "explain_client.h"
#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// The explanation of a request by a running gateway, as the command asks it.
class explain_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(explain_path_test);
  CPPUNIT_TEST(command_validRequest_explainsWithoutSendingOrKey);
  CPPUNIT_TEST_SUITE_END();

public:
  auto command_validRequest_explainsWithoutSendingOrKey() -> void {
    fleet Fleet;
    auto &Worker = Fleet.addWorker("w1", "ledger");
    Fleet.Outside.call([&] {
      Fleet.Store->put("op", "config", R"({"version":1,"routes":[
        {"host":"h","prefix":"/read/","kind":"idempotent",
         "timeout_ms":1000,"service":"ledger"}],
        "services":[{"name":"ledger"}],
        "tenants":[{"name":"big corp","keys":["secret-1"]}]})");
      return 0;
    });
    Fleet.startGateway();
    CPPUNIT_ASSERT(Fleet.awaitReady());
    const auto Address = Fleet.Gateway->metricsAddress();
    for (const bool AsJson : {false, true}) {
      const auto Known = parseRequestText(
          "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: secret-1\r\n\r\nbody");
      CPPUNIT_ASSERT(eventually([&] {
        const auto Text = fetchExplanation(Address, Known.value(), AsJson);
        CPPUNIT_ASSERT(Text &&
                       Text.value().find("secret") == std::string::npos);
        return Text.value().find(AsJson
                                     ? R"("outcome":"sent","target":"w1")"
                                     : "target: w1\n") != std::string::npos &&
               Text.value().find("big corp") != std::string::npos;
      }));
      const auto Unknown =
          parseRequestText("GET /read/x\nHost: h\nX-Api-Key: secret-2\n");
      const auto Text = fetchExplanation(Address, Unknown.value(), AsJson);
      CPPUNIT_ASSERT(Text &&
                     Text.value().find("unknown_key") != std::string::npos &&
                     Text.value().find("secret") == std::string::npos);
    }
    CPPUNIT_ASSERT(Fleet.Outside.call([&] { return Worker.Requests.empty(); }));
    CPPUNIT_ASSERT(Fleet.metric(R"(workspace_requests{kind="big corp"})") <=
                       0 &&
                   Fleet.metric(R"(keys_refused{kind="unknown"})") <= 0);
    const auto Bad = parseRequestText(
        "GET /read/x\nHost: h\nX-Limpetbridge-Deadline-Ms: soon\n");
    CPPUNIT_ASSERT(!fetchExplanation(Address, Bad.value(), false));
    const auto Nameless = parseRequestText("GET /x\nHost: h\nsecret-1\n");
    CPPUNIT_ASSERT(!Nameless && toString(Nameless.error()).find("secret") ==
                                    std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(explain_path_test);

} // namespace
