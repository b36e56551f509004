#include "caller_socket.h"
#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// A gateway whose grace period ends while callers wait for answers.
class stop_deadline_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stop_deadline_test);
  CPPUNIT_TEST(stop_targetStillAtWork_callerGetsAnAnswer);
  CPPUNIT_TEST(stop_requestHalfRead_isRefusedAsNotRun);
  CPPUNIT_TEST(stop_processHeldUpOverTheDeadline_callerGetsAnAnswer);
  CPPUNIT_TEST(stop_balancerWaitLongerThanGrace_callerGetsAnAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { start(50); }

  auto tearDown() -> void override { Fleet.reset(); }

  auto stop_targetStillAtWork_callerGetsAnAnswer() -> void {
    caller_socket Caller(Fleet->Gateway->callerAddress());
    sendSlowRequest(Caller);
    Fleet->Gateway->requestStop();
    const auto Answer = Caller.readUntil("}\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 502"), Answer.substr(0, 12));
    CPPUNIT_ASSERT(Answer.find("Connection: close") != std::string::npos);
  }

  auto stop_requestHalfRead_isRefusedAsNotRun() -> void {
    caller_socket Caller(Fleet->Gateway->callerAddress());
    Caller.write(slowRequest("1", "Content-Length: 9\r\n") + "half");
    Fleet->Gateway->requestStop();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"),
                         Caller.readUntil("\r\n\r\n").substr(0, 12));
  }

  auto stop_processHeldUpOverTheDeadline_callerGetsAnAnswer() -> void {
    caller_socket Caller(Fleet->Gateway->callerAddress());
    sendSlowRequest(Caller);
    caller_socket Held(Fleet->Gateway->callerAddress());
    Fleet->Gateway->requestStop();
    usleep(900'000);
    Held.write(slowRequest("held", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 502"),
                         Caller.readUntil("}\n").substr(0, 12));
  }

  auto stop_balancerWaitLongerThanGrace_callerGetsAnAnswer() -> void {
    Fleet.reset();
    start(1400);
    caller_socket Caller(Fleet->Gateway->callerAddress());
    sendSlowRequest(Caller);
    Fleet->Gateway->requestStop();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 502"),
                         Caller.readUntil("}\n").substr(0, 12));
  }

private:
  auto start(std::int64_t BalancerWaitMs) -> void {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeSettings = [=](node_settings &Settings) {
      Settings.StopGraceMs = 1500;
      Settings.BalancerWaitMs = BalancerWaitMs;
    };
    Fleet->ChangeHooks = [](gateway_hooks &Hooks) {
      Hooks.ParseCall = [Parse = Hooks.ParseCall](auto &&...Arguments) {
        auto Call = Parse(Arguments...);
        if (Call && Call.value().Id == "held")
          usleep(700'000);
        return Call;
      };
    };
    Fleet->publishConfiguration();
    auto &Worker = Fleet->addWorker("w1", "ledger");
    Fleet->Outside.call([&] { return Worker.Behaviour = behaviour::Hang; });
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    usleep(100'000);
  }

  /// Sends a request that its target does not answer, and waits until it is
  /// there.
  auto sendSlowRequest(caller_socket &Caller) -> void {
    Caller.write(slowRequest("1", ""));
    const auto &Seen = Fleet->Workers["w1"]->Requests;
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet->Outside.call([&] { return !Seen.empty(); }); }));
  }

  static auto slowRequest(const std::string &Id, const std::string &More)
      -> std::string {
    return "POST /slow/x HTTP/1.1\r\nHost: h\r\nX-Limpetbridge-Attempt-Id: " +
           Id + "\r\n" + (More.empty() ? "Content-Length: 0\r\n" : More) +
           "\r\n";
  }

  std::unique_ptr<fleet> Fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_deadline_test);

} // namespace
