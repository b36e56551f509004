#include "fleet_fixture.h"
#include "full_backlog.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

constexpr const char *Key = "secret-1";
constexpr const char *TenantHeader = "X-Limpetbridge-Tenant";

/// Keys of callers on their way through gateways, and keys that are removed.
class workspace_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(workspace_path_test);
  CPPUNIT_TEST(request_anyKey_targetLearnsTheWorkspaceOnly);
  CPPUNIT_TEST(change_keyRemoved_gatewayWithoutStoreRefusesInTime);
  CPPUNIT_TEST(change_keyRemovedWhileConnecting_isNotSent);
  CPPUNIT_TEST(store_silentAndStrict_keysAreNotAccepted);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    declare(3, {Key, "secret-2"});
    Worker = &Fleet->addWorker("w1", "ledger");
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto request_anyKey_targetLearnsTheWorkspaceOnly() -> void {
    start();
    Fleet->send("/read/x", "", {{"x-api-key", Key}, {TenantHeader, "forged"}});
    for (const auto &Bad : {std::string("secret-3"), std::string(12'000, 'k'),
                            std::string("\xff\xfe\x80")}) {
      const auto Answer = Fleet->send("/read/x", "", {{"X-Api-Key", Bad}});
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{401}, Answer.Head.Status);
      CPPUNIT_ASSERT(Answer.Body.find("unknown_key") != std::string::npos &&
                     Answer.Body.find(Bad) == std::string::npos);
    }
    Fleet->send("/open/y", "", {{"X-Api-Key", Key}, {TenantHeader, "forged"}});
    const auto Seen = seen();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Seen.size());
    for (const auto &Each : Seen) {
      const bool Open = Each.Request.Target == "/open/y";
      CPPUNIT_ASSERT(!net::hasField(Each.Request.Fields, "X-Api-Key"));
      CPPUNIT_ASSERT_EQUAL(
          std::string(Open ? "" : "big corp"),
          std::string(net::findField(Each.Request.Fields, TenantHeader)));
    }
    const auto Page =
        Fleet->get(Fleet->Gateway->metricsAddress(), "/metrics")->Body;
    for (const auto *Line : {R"(workspace_requests{kind="big corp"} 1)",
                             R"(keys_refused{kind="unknown"} 3)"})
      CPPUNIT_ASSERT_MESSAGE(Line, Page.find(Line) != std::string::npos);
    CPPUNIT_ASSERT(Page.find("secret") == std::string::npos);
  }

  auto change_keyRemoved_gatewayWithoutStoreRefusesInTime() -> void {
    start();
    Fleet->startCutOffGateway();
    CPPUNIT_ASSERT(
        eventually([&] { return statusAt(*Fleet->CutOff, Key) == 200; }));
    declare(4, {"secret-2"});
    CPPUNIT_ASSERT(eventually(
        [&] { return statusAt(*Fleet->Gateway, Key) == 401; }, seconds(3)));
    CPPUNIT_ASSERT(eventually(
        [&] { return statusAt(*Fleet->CutOff, Key) == 401; }, seconds(4)));
    const auto Before = seen().size();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{401}, statusAt(*Fleet->CutOff, Key));
    CPPUNIT_ASSERT_EQUAL(Before, seen().size());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                         statusAt(*Fleet->CutOff, "secret-2"));
  }

  auto change_keyRemovedWhileConnecting_isNotSent() -> void {
    full_backlog Full;
    Fleet->Outside.call([&] {
      auto Row = nlohmann::json::parse(Worker->row());
      Row["address"] = Full.address();
      Fleet->Store->put("servers", "w1", Row.dump());
      return 0;
    });
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    auto Sending = std::async(std::launch::async, [&] {
      return Fleet->send("/slow/x", "", {{"X-Api-Key", Key}});
    });
    usleep(100'000);
    declare(4, {});
    usleep(500'000);
    for (auto &Socket : Full.accept(seconds(2)))
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Socket.available());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{401}, Sending.get().Head.Status);
  }

  auto store_silentAndStrict_keysAreNotAccepted() -> void {
    Fleet->ChangeSettings = [](node_settings &Settings) {
      Settings.RevocationMs = 1500;
      Settings.RevocationStrict = true;
    };
    start();
    // Longer than the bound: reads of the store confirm the configuration.
    for (int I = 0; I < 20; ++I, usleep(100'000))
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, statusAt(*Fleet->Gateway, Key));
    for (const bool Silent : {true, false}) {
      Fleet->Outside.call([&] { return Fleet->Store->Faults.Silent = Silent; });
      CPPUNIT_ASSERT(eventually([&] {
        return statusAt(*Fleet->Gateway, Key) == (Silent ? 503 : 200);
      }));
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                           Fleet->send("/open/x").Head.Status);
    }
  }

private:
  /// Starts a gateway, and waits until it knows the worker.
  auto start() -> void {
    Fleet->startGateway();
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->send("/open/x").Head.Status == 200; }));
    Fleet->Outside.call([&] {
      Worker->Requests.clear();
      return 0;
    });
  }

  auto declare(int Version, const std::vector<std::string> &Keys) -> void {
    auto Document = nlohmann::json::parse(R"({"routes":[
      {"host":"h","prefix":"/read/","kind":"idempotent",
       "timeout_ms":1000,"service":"ledger"},
      {"host":"h","prefix":"/slow/","kind":"non_idempotent",
       "timeout_ms":4000,"service":"ledger"},
      {"host":"h","prefix":"/open/","kind":"idempotent",
       "timeout_ms":1000,"service":"ledger","public":true}],
      "services":[{"name":"ledger"}],"tenants":[{"name":"big corp"}]})");
    Document["version"] = Version;
    Document["tenants"][0]["keys"] = Keys;
    Fleet->Outside.call([&] {
      Fleet->Store->put("op", "config", Document.dump());
      return 0;
    });
  }

  auto statusAt(const gateway_node &Receiver, const std::string &Sent)
      -> std::uint16_t {
    return Fleet->sendTo(Receiver, "/read/x", {{"X-Api-Key", Sent}})
        .Head.Status;
  }

  auto seen() -> std::vector<seen_request> {
    return Fleet->Outside.call([&] {
      std::vector<seen_request> Copies;
      for (const auto &Each : Worker->Requests)
        Copies.push_back(*Each);
      return Copies;
    });
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Worker = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_path_test);

} // namespace
