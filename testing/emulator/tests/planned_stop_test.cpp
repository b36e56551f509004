#include "caller_socket.h"
#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

const std::string PlainRequest =
    "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Limpetbridge-Attempt-Id: 9\r\n\r\n";

/// A gateway that stops while callers still send.
class planned_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(planned_stop_test);
  CPPUNIT_TEST(stop_connectionsJustAccepted_getAnswers);
  CPPUNIT_TEST(stop_streamBegunBefore_nextRequestOnItsConnectionIsAnswered);
  CPPUNIT_TEST(stop_idleConnection_isClosedAndTheProcessEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    Fleet->addWorker("w1", "ledger");
    Engine = &Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] {
      Engine->Behaviour = behaviour::Stream;
      return Engine->Models.insert("a").second;
    });
    Fleet->publish("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    usleep(100'000);
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto stop_connectionsJustAccepted_getAnswers() -> void {
    // Idle connections are closed from 50 ms after the signal on; new ones are
    // opened around that moment and send their request a little later.
    const auto Address = Fleet->Gateway->callerAddress();
    std::vector<std::unique_ptr<caller_socket>> Callers;
    Fleet->Gateway->requestStop();
    const auto Began = process_clock::now();
    while (process_clock::now() - Began < milliseconds(90)) {
      auto Caller = std::make_unique<caller_socket>(Address);
      if (Caller->isConnected())
        Callers.push_back(std::move(Caller));
      usleep(1000);
    }
    usleep(80'000);
    CPPUNIT_ASSERT(!Callers.empty());
    for (const auto &Caller : Callers)
      Caller->write(PlainRequest);
    std::string Unanswered;
    for (std::size_t I = 0; I < Callers.size(); ++I)
      if (!Callers[I]->readUntil("GET /read/x ").starts_with("HTTP/1.1 200"))
        Unanswered += " " + std::to_string(I);
    CPPUNIT_ASSERT_EQUAL(std::string(), Unanswered);
  }

  auto stop_streamBegunBefore_nextRequestOnItsConnectionIsAnswered() -> void {
    caller_socket Caller(Fleet->Gateway->callerAddress());
    streamDuringStop(Caller, 60);
    // The head of the stream said that the connection stays open.
    Caller.write(PlainRequest);
    const auto Next = Caller.readUntil("GET /read/x ");
    CPPUNIT_ASSERT(Next.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Next.find("Connection: close") != std::string::npos);
  }

  auto stop_idleConnection_isClosedAndTheProcessEnds() -> void {
    caller_socket Used(Fleet->Gateway->callerAddress());
    Used.write(PlainRequest);
    CPPUNIT_ASSERT(Used.readUntil("GET /read/x ").starts_with("HTTP/1.1 200"));
    caller_socket Unused(Fleet->Gateway->callerAddress());
    const auto Began = process_clock::now();
    Fleet->Gateway->requestStop();
    CPPUNIT_ASSERT_EQUAL(std::string(), Used.readUntil("HTTP"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Unused.readUntil("HTTP"));
    CPPUNIT_ASSERT(process_clock::now() - Began < seconds(3));
  }

private:
  /// Reads a whole stream of six events that begins before the gateway stops.
  auto streamDuringStop(caller_socket &Caller, std::int64_t GapMs) -> void {
    Fleet->Outside.call([&] { return Engine->EventGapMs = GapMs; });
    Caller.write("POST /chat/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                 "X-Limpetbridge-Attempt-Id: 7\r\nX-Limpetbridge-Model: a\r\n"
                 "X-Limpetbridge-Token-Usage: 100,20\r\n\r\nx");
    const auto Head = Caller.readUntil("id: 1\n");
    CPPUNIT_ASSERT(Head.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Head.find("Connection: close") == std::string::npos);
    Fleet->Gateway->requestStop();
    const auto Rest = Caller.readUntil("0\r\n\r\n");
    CPPUNIT_ASSERT(Rest.ends_with("0\r\n\r\n"));
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Engine = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace
