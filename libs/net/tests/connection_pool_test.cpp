#include "net/connection_pool.h"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::net;

constexpr const char *WholeAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Connections that carry several requests, to a peer in the same loop.
class connection_pool_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(connection_pool_test);
  CPPUNIT_TEST(take_idleConnection_carriesAnotherRequest);
  CPPUNIT_TEST(take_peerHasClosed_returnsNullAndReportsIt);
  CPPUNIT_TEST(idle_peerCloses_isReportedAndClosed);
  CPPUNIT_TEST(idle_bytesArrive_isReportedAndClosed);
  CPPUNIT_TEST(isReusable_answerThatDoesNotAllowIt_isFalse);
  CPPUNIT_TEST(endedUnanswered_onlyWithoutAnyByte);
  CPPUNIT_TEST(keepAliveMs_anyValue_isReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Pool = std::make_unique<connection_pool>(
        [this](std::uint64_t Number, idle_end End) {
          Lost.emplace_back(Number, End);
        });
    Connection = std::make_shared<target_connection>(Context.get_executor());
    run([this]() -> awaitable<void> {
      const auto Address =
          "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
      const bool Connected =
          co_await Connection->connect(Address, process_clock::now() + Limit);
      CPPUNIT_ASSERT(Connected);
    });
    Peer = std::make_unique<tcp::socket>(Acceptor.accept());
  }

  auto tearDown() -> void override { Pool->closeAll(); }

  auto take_idleConnection_carriesAnotherRequest() -> void {
    for (int Count = 0; Count < 3; ++Count) {
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), exchange(WholeAnswer));
      CPPUNIT_ASSERT(Connection->isReusable());
      const auto Number = Pool->put(std::move(Connection));
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(Count + 1), Number);
      poll();
      Connection = Pool->take(Number);
      CPPUNIT_ASSERT(Connection != nullptr);
      CPPUNIT_ASSERT(Pool->take(Number) == nullptr);
    }
    // The watches of the earlier rests must not end a later one.
    Pool->put(std::move(Connection));
    poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Pool->size());
    CPPUNIT_ASSERT(Lost.empty());
  }

  auto take_peerHasClosed_returnsNullAndReportsIt() -> void {
    exchange(WholeAnswer);
    const auto Number = Pool->put(std::move(Connection));
    Peer->close();
    // The loop has not had a turn, so only the check before the use can tell.
    CPPUNIT_ASSERT(Pool->take(Number) == nullptr);
    checkLost(Number, idle_end::Closed);
  }

  auto idle_peerCloses_isReportedAndClosed() -> void {
    exchange(WholeAnswer);
    const auto Number = Pool->put(std::move(Connection));
    Peer->close();
    poll();
    checkLost(Number, idle_end::Closed);
  }

  auto idle_bytesArrive_isReportedAndClosed() -> void {
    exchange(WholeAnswer);
    const auto Number = Pool->put(std::move(Connection));
    asio::write(*Peer, asio::buffer("x", 1));
    poll();
    checkLost(Number, idle_end::StrayBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Pool->size());
  }

  auto isReusable_answerThatDoesNotAllowIt_isFalse() -> void {
    for (const std::string Answer :
         {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
          "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokx",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"}) {
      setUp();
      exchange(Answer);
      CPPUNIT_ASSERT_MESSAGE(Answer, !Connection->isReusable());
    }
    // The peer has answered and does not receive the rest of the request.
    setUp();
    exchange(WholeAnswer, std::string(std::size_t{24} << 20U, 'x'));
    CPPUNIT_ASSERT(!Connection->isReusable());
  }

  auto endedUnanswered_onlyWithoutAnyByte() -> void {
    for (const std::string Part : {"", "x", "HTTP/1.1 200 OK\r\n"}) {
      setUp();
      run([&]() -> awaitable<void> {
        Connection->startSend("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        asio::write(*Peer, asio::buffer(Part));
        Peer->close();
        const auto Head = co_await Connection->readResponseHead();
        CPPUNIT_ASSERT(!Head.has_value());
      });
      CPPUNIT_ASSERT_EQUAL(Part.empty(), Connection->endedUnanswered());
      CPPUNIT_ASSERT(!Connection->nothingWasSent());
    }
  }

  auto keepAliveMs_anyValue_isReadOrRefused() -> void {
    const auto Read = [](const char *Value) {
      return keepAliveMs({{"Keep-Alive", Value}}).value_or(-1);
    };
    for (const auto *Value :
         {"timeout=5", "5", " max=100 , Timeout = 5", "x=y, timeout=5"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Value, std::int64_t{5000}, Read(Value));
    for (const auto *Value :
         {"timeout=0", "timeout=", "timeout=-5", "timeout=5s", "max=0", "1.5",
          "timeout=99999999999999999999999"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Value, std::int64_t{0}, Read(Value));
    for (const auto *Value : {"", "max=100", "=,=,", ","})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Value, std::int64_t{-1}, Read(Value));
    CPPUNIT_ASSERT(!keepAliveMs({}).has_value());
  }

private:
  static constexpr duration Limit = seconds(5);

  auto run(const std::function<awaitable<void>()> &Task) -> void {
    bool Done = false;
    const auto RunTask = [&]() -> awaitable<void> {
      co_await Task();
      Done = true;
    };
    spawn(Context.get_executor(), RunTask());
    Context.restart();
    while (!Done)
      Context.run_one_for(std::chrono::seconds(5));
  }

  auto poll() -> void {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(20));
  }

  /// Sends a request, answers it with \p Answer and reads the answer, which
  /// ends there if it is too short.
  auto exchange(const std::string &Answer, const std::string &Body = "")
      -> std::string {
    std::string Read;
    run([&]() -> awaitable<void> {
      http_request Request;
      Request.Target = "/";
      Request.Body = Body;
      Connection->startSend(serializeRequest(Request));
      asio::write(*Peer, asio::buffer(Answer));
      if (Answer.find("Length: 3") != std::string::npos)
        Peer->shutdown(tcp::socket::shutdown_send);
      const auto Head = co_await Connection->readResponseHead();
      CPPUNIT_ASSERT(Head.has_value());
      auto Result = body_read::Data;
      while (Result == body_read::Data)
        Result = co_await Connection->readBody(Read);
    });
    return Read;
  }

  auto checkLost(std::uint64_t Number, idle_end End) -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Lost.size());
    CPPUNIT_ASSERT_EQUAL(Number, Lost.front().first);
    CPPUNIT_ASSERT(Lost.front().second == End);
  }

  asio::io_context Context;
  tcp::acceptor Acceptor{Context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::unique_ptr<tcp::socket> Peer;
  std::vector<std::pair<std::uint64_t, idle_end>> Lost;
  std::unique_ptr<connection_pool> Pool;
  std::shared_ptr<target_connection> Connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_pool_test);

} // namespace
