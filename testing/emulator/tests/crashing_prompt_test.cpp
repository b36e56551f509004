#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// As the platform's deployments have it.
constexpr duration ContactTimeout = seconds(3);
/// Requests with a part that may reach targets once it has crashed five of them
/// and the contact timeout has passed.
constexpr std::size_t MaxLateRequests = 3;
constexpr std::size_t EngineCount = 8;
constexpr std::size_t MaxCrashes = 5;
constexpr const char *SharedPart = "a1";

/// Prompts with a part that crashes every target which begins to answer them.
class crashing_prompt_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crashing_prompt_test);
  CPPUNIT_TEST(prompts_middlePartCrashesTargets_isNotSentOn);
  CPPUNIT_TEST(prompts_firstPartCrashesTargets_isNotSentOn);
  CPPUNIT_TEST(prompts_resumableRoute_isNotSentOn);
  CPPUNIT_TEST(prompts_twoPartsCrashTargets_neitherIsSentOn);
  CPPUNIT_TEST(prompts_targetsCrashBeforeTheirHead_isNotSentOn);
  CPPUNIT_TEST(prompts_targetsCrashAfterOneEvent_isNotSentOn);
  CPPUNIT_TEST(prompts_targetsCrashInUnframedStreams_isNotSentOn);
  CPPUNIT_TEST(prompts_gatewayIsReplaced_isNotSentOn);
  CPPUNIT_TEST(prompts_allGatewaysAreReplaced_isNotSentOn);
  CPPUNIT_TEST(prompts_targetsCrashForOtherReasons_areServed);
  CPPUNIT_TEST(quarantinePage_lifted_isServedByBothGateways);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    for (std::size_t I = 0; I < EngineCount; ++I)
      Fleet->Outside.call([&] { return addEngine(); });
    Fleet->startGateway();
    Second = &Fleet->addGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(eventually([&] { return isServed({SharedPart, "b1"}); }));
    // Both know all targets and each other.
    usleep(300'000);
  }

  auto tearDown() -> void override {
    Fleet->Outside.call([&] { return Ended = true; });
    Fleet.reset();
  }

  auto prompts_middlePartCrashesTargets_isNotSentOn() -> void {
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    expectFewLateRequests({SharedPart, "d1"});
    CPPUNIT_ASSERT(isServed({SharedPart, "b1"}));
  }

  auto prompts_firstPartCrashesTargets_isNotSentOn() -> void {
    setCrashParts({"d1"});
    sendUntilCrashes({"d1"});
    expectFewLateRequests({"d1", "b1"});
    CPPUNIT_ASSERT(isServed({SharedPart, "b1"}));
  }

  auto prompts_resumableRoute_isNotSentOn() -> void {
    Path = "/plan/x";
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    expectFewLateRequests({SharedPart, "d1"});
    CPPUNIT_ASSERT(isServed({SharedPart, "b1"}));
  }

  auto prompts_twoPartsCrashTargets_neitherIsSentOn() -> void {
    setCrashParts({"d1", "d2"});
    sendUntilCrashes({SharedPart, "d1"});
    sendUntilCrashes({"a2", "d2"});
    expectFewLateRequests({"a2", "d1"});
    expectFewLateRequests({SharedPart, "d2"});
    CPPUNIT_ASSERT(isServed({SharedPart, "b1"}));
  }

  auto prompts_targetsCrashBeforeTheirHead_isNotSentOn() -> void {
    CrashesBeforeHead = true;
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    expectFewLateRequests({SharedPart, "d1"});
    CPPUNIT_ASSERT(isServed({SharedPart, "b1"}));
  }

  auto prompts_targetsCrashAfterOneEvent_isNotSentOn() -> void {
    EventsBeforeCrash = 1;
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    expectFewLateRequests({SharedPart, "d1"});
    CPPUNIT_ASSERT(isServed({SharedPart, "b1"}));
  }

  /// Such a stream counted as complete, so its prompt was never suspected.
  auto prompts_targetsCrashInUnframedStreams_isNotSentOn() -> void {
    EventsBeforeCrash = 1;
    UnframedStreams = true;
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    expectFewLateRequests({SharedPart, "d1"});
    CPPUNIT_ASSERT(isServed({SharedPart, "b1"}));
  }

  auto prompts_gatewayIsReplaced_isNotSentOn() -> void {
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    Second->requestStop();
    Second = &Fleet->addGateway();
    expectFewLateRequests({SharedPart, "d1"});
  }

  /// Guards against losing targets anew when no gateway is left that has seen
  /// the crashes.
  auto prompts_allGatewaysAreReplaced_isNotSentOn() -> void {
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    const auto Before = crashingRequests();
    Second->requestStop();
    Fleet->stopGateway();
    Fleet->startGateway();
    Second = &Fleet->addGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(eventually([&] { return isServed({SharedPart, "b1"}); }));
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT(!isServed({SharedPart, "d1"}));
    CPPUNIT_ASSERT_EQUAL(Before, crashingRequests());
  }

  auto prompts_targetsCrashForOtherReasons_areServed() -> void {
    for (int Round = 0; Round < 4; ++Round) {
      Fleet->Outside.call([&] {
        std::size_t Count = 0;
        for (const auto &[Id, Worker] : Fleet->Workers)
          if (!Worker->Crashed && Count++ < EngineCount / 2)
            Worker->crash();
        return 0;
      });
      for (int I = 0; I < 10; ++I)
        CPPUNIT_ASSERT(eventually([&] {
          return isServed({SharedPart, "b1"});
        }));
      usleep(700'000);
    }
  }

  auto quarantinePage_lifted_isServedByBothGateways() -> void {
    setCrashParts({"d1"});
    sendUntilCrashes({SharedPart, "d1"});
    setCrashParts({});
    CPPUNIT_ASSERT(!isServed({SharedPart, "d1"}));
    const auto Page = call("GET", "/quarantine");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Page.Head.Status);
    CPPUNIT_ASSERT(Page.Body.find("\"part:d1\"") != std::string::npos);
    CPPUNIT_ASSERT(Page.Body.find("\"refused\"") != std::string::npos);
    for (const auto *Path : {"/quarantine/part:d2", "/quarantine/d1",
                             "/quarantine/", "/quarantine"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Path, std::uint16_t{404},
                                   call("DELETE", Path).Head.Status);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                         call("DELETE", "/quarantine/part:d1").Head.Status);
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT(eventually([&] { return isServed({SharedPart, "d1"}); }));
  }

private:
  using parts = std::vector<std::string>;

  /// Adds an engine, which another one replaces after its crash. To be called
  /// on the thread of the emulators.
  auto addEngine() -> int {
    static constexpr duration RowLease = milliseconds(1000);
    static constexpr duration RestartTime = milliseconds(600);
    const auto Id = "e" + std::to_string(++LastEngine);
    auto &Context = Fleet->Outside.Context;
    auto &Engine = *(Fleet->Workers[Id] = std::make_unique<worker_emulator>(
                         Context, Id, "models"));
    Engine.Models.insert("a");
    Engine.Behaviour = behaviour::Stream;
    Engine.CrashParts = CrashParts;
    Engine.CrashesBeforeHead = CrashesBeforeHead;
    Engine.EventsBeforeCrash = EventsBeforeCrash;
    Engine.OnCrash = [this, Id] {
      after(RestartTime, [this] { addEngine(); });
      after(RowLease, [this, Id] { Fleet->Store->drop("servers", Id); });
    };
    Fleet->Store->put("servers", Id, Engine.row());
    return LastEngine;
  }

  auto after(duration Delay, std::function<void()> Action) -> void {
    const auto Timer = std::make_shared<net::asio::steady_timer>(
        Fleet->Outside.Context, Delay);
    Timer->async_wait(
        [this, Timer, Action = std::move(Action)](net::error_code) {
          if (!Ended)
            Action();
        });
  }

  auto setCrashParts(const std::set<std::string> &Parts) -> void {
    Fleet->Outside.call([&] {
      CrashParts = Parts;
      for (const auto &[Id, Worker] : Fleet->Workers) {
        Worker->CrashParts = CrashParts;
        Worker->CrashesBeforeHead = CrashesBeforeHead;
        Worker->EventsBeforeCrash = EventsBeforeCrash;
        Worker->UnframedStreams = UnframedStreams;
      }
      return 0;
    });
  }

  /// Sends a request with these parts and a last one of its own, through both
  /// gateways in turn.
  auto send(const parts &Parts) -> client_answer {
    std::string Prefix;
    for (const auto &Part : Parts)
      Prefix += Part + ":100,";
    std::ostringstream Own;
    Own << "f" << std::hex << ++LastRequest;
    const net::header_fields Fields = {
        {"X-Limpetbridge-Model", "a"},
        {"X-Limpetbridge-Token-Usage", "300,10"},
        {"X-Limpetbridge-Prompt-Prefix", Prefix + Own.str() + ":100"}};
    return LastRequest % 2 == 0 ? Fleet->send(Path, "", Fields)
                                : Fleet->sendTo(*Second, Path, Fields);
  }

  /// Calls a page of the first gateway.
  auto call(const char *Method, const char *Page) -> net::http_response {
    net::http_request Request;
    Request.Method = Method;
    Request.Target = Page;
    Request.Fields.push_back({"Host", "h"});
    const net::asio::any_io_executor Executor =
        Fleet->Outside.Context.get_executor();
    const auto Address = Fleet->Gateway->metricsAddress();
    const auto Answer =
        Fleet->Outside.await<std::optional<net::http_response>>([&] {
          return net::fetch(Executor, Address, Request,
                            process_clock::now() + seconds(1));
        });
    return Answer.value_or(net::http_response());
  }

  auto isServed(const parts &Parts) -> bool {
    const auto Answer = send(Parts);
    return Answer.Head.Status == 200 && Answer.Whole;
  }

  /// Requests with a part that crashes targets, as these saw them.
  auto crashingRequests() -> std::size_t {
    return Fleet->Outside.call([&] {
      std::size_t Count = 0;
      for (const auto &[Id, Worker] : Fleet->Workers)
        for (const auto &Seen : Worker->Requests) {
          const std::string Prefix(net::findField(
              Seen->Request.Fields, "X-Limpetbridge-Prompt-Prefix"));
          for (const auto &Part : CrashParts)
            Count += Prefix.find(Part + ":") != std::string::npos ? 1 : 0;
        }
      return Count;
    });
  }

  /// Sends such requests, with sound ones between them, until enough targets
  /// have crashed, and lets the contact timeout pass.
  auto sendUntilCrashes(const parts &Parts) -> void {
    const auto Before = crashingRequests();
    for (std::size_t I = 0;
         I < 2 * MaxCrashes && crashingRequests() < Before + MaxCrashes; ++I) {
      send(Parts);
      usleep(200'000);
      send({SharedPart, "b1"});
    }
    usleep(static_cast<useconds_t>(ContactTimeout / microseconds(1)));
  }

  auto expectFewLateRequests(const parts &Parts) -> void {
    constexpr int Requests = 12;
    const auto Before = crashingRequests();
    for (int I = 0; I < Requests; ++I) {
      const auto Answer = send(Parts);
      CPPUNIT_ASSERT(!Answer.Whole || Answer.Head.Status >= 500);
      usleep(100'000);
    }
    const auto Late = crashingRequests() - Before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Late) + " late requests",
                           Late <= MaxLateRequests);
  }

  std::unique_ptr<fleet> Fleet;
  gateway_node *Second = nullptr;
  std::string Path = "/chat/x";
  std::set<std::string> CrashParts;
  bool CrashesBeforeHead = false;
  int EventsBeforeCrash = 0;
  bool UnframedStreams = false;
  bool Ended = false; ///< No engine is replaced any more.
  int LastEngine = 0;
  int LastRequest = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_prompt_test);

} // namespace
