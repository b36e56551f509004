#include "net/server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::net;

/// Callers of a listener whose loop has few turns.
class server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_test);
  CPPUNIT_TEST(listener_manyWaiting_areAcceptedInFewTurns);
  CPPUNIT_TEST(checkDisconnect_callerHasLeft_isReportedWithoutATurn);
  CPPUNIT_TEST(checkDisconnect_callerWaitsOrSendsMore_reportsNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  auto tearDown() -> void override { Listener.stop(); }

  // A saturated gateway accepted one connection a turn, so that callers had
  // given up before their requests were read.
  auto listener_manyWaiting_areAcceptedInFewTurns() -> void {
    constexpr std::size_t CallerCount = 12;
    std::vector<tcp::socket> Callers;
    Callers.reserve(CallerCount);
    while (Callers.size() < CallerCount)
      Callers.push_back(connect());
    for (int Turn = 0; Turn < 3; ++Turn)
      Context.poll_one();
    CPPUNIT_ASSERT_EQUAL(Callers.size(), Accepted.size());
  }

  // Such a gateway sent requests on to targets after their callers had left.
  auto checkDisconnect_callerHasLeft_isReportedWithoutATurn() -> void {
    auto Caller = connect();
    int Calls = 0;
    watch(Calls);
    Caller.close();
    Accepted.front()->checkDisconnect();
    CPPUNIT_ASSERT_EQUAL(1, Calls);
    Accepted.front()->checkDisconnect();
    Context.poll();
    CPPUNIT_ASSERT_EQUAL(1, Calls);
  }

  auto checkDisconnect_callerWaitsOrSendsMore_reportsNothing() -> void {
    auto Caller = connect();
    int Calls = 0;
    watch(Calls);
    Accepted.front()->checkDisconnect();
    Caller.send(asio::buffer("x", 1));
    Accepted.front()->checkDisconnect();
    CPPUNIT_ASSERT_EQUAL(0, Calls);
  }

private:
  auto connect() -> tcp::socket {
    tcp::socket Caller(Context);
    Caller.connect({asio::ip::address_v4::loopback(), Listener.port()});
    return Caller;
  }

  auto watch(int &Calls) -> void {
    Context.poll();
    Accepted.front()->startDisconnectWatch([&Calls] { ++Calls; });
  }

  asio::io_context Context;
  std::vector<std::shared_ptr<caller_connection>> Accepted;
  listener Listener{Context, "127.0.0.1:0",
                    [this](std::shared_ptr<caller_connection> Connection) {
                      Accepted.push_back(std::move(Connection));
                    }};
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);
