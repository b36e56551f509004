#include "fleet_fixture.h"
#include "stop_signal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Signals of a supervisor to a process that has callers.
class signal_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(signal_test);
  CPPUNIT_TEST(sigterm_repeated_streamIsFinished);
  CPPUNIT_TEST(start_signalsBeforeRun_waitingCallIsAnswered);
  CPPUNIT_TEST(start_signalsBeforeRun_controllerStops);
  CPPUNIT_TEST(stopPolicy_everySequence_onlyRepeatedSigintEndsNow);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto sigterm_repeated_streamIsFinished() -> void {
    auto &Engine = Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] {
      Engine.Behaviour = behaviour::Stream;
      Engine.EventGapMs = 60;
      return Engine.Models.insert("a").second;
    });
    Fleet->publish("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    const auto Answer = Fleet->sendInParts(
        "POST /chat/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        "X-Limpetbridge-Attempt-Id: 7\r\nX-Limpetbridge-Model: a\r\n"
        "X-Limpetbridge-Token-Usage: 100,20\r\n\r\nx",
        [&] {
          eventually([&] {
            return Fleet->Outside.call([&] { return Engine.OpenRequests > 0; });
          });
          raise(SIGTERM);
          usleep(50'000);
          raise(SIGTERM);
        },
        duration::zero(), "");
    CPPUNIT_ASSERT(Answer.ends_with("0\r\n\r\n"));
  }

  auto start_signalsBeforeRun_waitingCallIsAnswered() -> void {
    std::atomic<bool> Sent = false;
    Fleet->ChangeHooks = [&](gateway_hooks &Hooks) {
      Hooks.Watch = [&, Watch = Hooks.Watch](auto &&...Arguments) {
        eventually([&] { return Sent.load(); });
        raise(SIGHUP);
        raise(SIGTERM);
        return Watch(Arguments...);
      };
    };
    Fleet->startGateway();
    const auto Answer = Fleet->sendInParts(
        "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Limpetbridge-Attempt-Id: 9\r\n"
        "\r\n",
        [&] { Sent = true; }, duration::zero(), "");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 "));
  }

  auto start_signalsBeforeRun_controllerStops() -> void {
    Fleet->addWorker("e1", "models");
    Fleet->ChangeControllerHooks = [](controller_hooks &Hooks) {
      Hooks.WatchConfiguration = [](auto &&...) {
        raise(SIGHUP);
        raise(SIGTERM);
      };
    };
    Fleet->startController("e1");
    CPPUNIT_ASSERT(eventually([&] {
      return !Fleet->get(Fleet->Controller->metricsAddress(), "/metrics");
    }));
  }

  auto stopPolicy_everySequence_onlyRepeatedSigintEndsNow() -> void {
    stop_policy Policy;
    CPPUNIT_ASSERT(Policy.receive(SIGTERM) == stop_action::Begin);
    for (const int Signal : {SIGTERM, SIGINT, SIGTERM})
      CPPUNIT_ASSERT(Policy.receive(Signal) == stop_action::None);
    CPPUNIT_ASSERT(Policy.receive(SIGINT) == stop_action::EndNow);
  }

private:
  std::unique_ptr<fleet> Fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(signal_test);

} // namespace
