#include "net/target_connection.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::net;

constexpr duration TestTimeout = seconds(5);

/// Responses that a peer sends before it has read a long request, and responses
/// with an invalid status.
class early_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(early_answer_test);
  CPPUNIT_TEST(fetch_partThenReset_returnsNone);
  CPPUNIT_TEST(fetch_wholeByLengthThenReset_returnsIt);
  CPPUNIT_TEST(fetch_wholeByChunksThenReset_returnsIt);
  CPPUNIT_TEST(fetch_unframedThenRequestIsRead_returnsIt);
  CPPUNIT_TEST(fetch_unframedThenRequestIsNotRead_returnsNone);
  CPPUNIT_TEST(persistentFetch_requestIsNotRead_nextOneUsesANewConnection);
  CPPUNIT_TEST(fetch_statusOutOfRange_returnsNone);
  CPPUNIT_TEST(fetch_informationalHeadFirst_returnsTheFinalOne);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Context = std::make_unique<asio::io_context>();
    Acceptor = std::make_unique<tcp::acceptor>(
        *Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    AcceptedCount = 0;
  }

  auto tearDown() -> void override {
    Acceptor.reset();
    Context.reset();
  }

  auto fetch_partThenReset_returnsNone() -> void {
    // The reset is reported once. If the write gets it, the read sees an end of
    // the connection like that of a complete response.
    startPeer("HTTP/1.1 200 OK\r\n\r\npart", ending::Reset);
    CPPUNIT_ASSERT(!fetchOnce().has_value());
  }

  auto fetch_wholeByLengthThenReset_returnsIt() -> void {
    startPeer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
              ending::Reset);
    const auto Response = fetchOnce();
    CPPUNIT_ASSERT(Response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Response->Body);
  }

  auto fetch_wholeByChunksThenReset_returnsIt() -> void {
    startPeer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nwhole\r\n0\r\n\r\n",
              ending::Reset);
    const auto Response = fetchOnce();
    CPPUNIT_ASSERT(Response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Response->Body);
  }

  auto fetch_unframedThenRequestIsRead_returnsIt() -> void {
    startPeer("HTTP/1.1 200 OK\r\n\r\nwhole", ending::ReadRequest);
    const auto Response = fetchOnce();
    CPPUNIT_ASSERT(Response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Response->Body);
  }

  auto fetch_unframedThenRequestIsNotRead_returnsNone() -> void {
    startPeer("HTTP/1.1 200 OK\r\n\r\nwhole", ending::StopSending);
    CPPUNIT_ASSERT(!fetchOnce().has_value());
  }

  auto persistentFetch_requestIsNotRead_nextOneUsesANewConnection() -> void {
    // Bytes of the first request would precede the second one otherwise.
    const std::string Answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    startPeer(Answer, ending::StayOpen);
    startPeer(Answer, ending::StayOpen);
    persistent_client Client(Context->get_executor(), address());
    for (int Count = 1; Count <= 2; ++Count) {
      const auto Response = run([&]() -> awaitable<result_type> {
        const auto Request = longRequest();
        co_return co_await Client.fetch(Request,
                                        process_clock::now() + TestTimeout);
      });
      CPPUNIT_ASSERT(Response.has_value());
      CPPUNIT_ASSERT_EQUAL(Count, AcceptedCount);
    }
  }

  auto fetch_statusOutOfRange_returnsNone() -> void {
    // The final head after an invalid one must not be taken for the response
    // either: the invalid one is not informational.
    for (const auto *Status : {"000", "001", "099", "600", "999"}) {
      startPeer("HTTP/1.1 " + std::string(Status) +
                    " X\r\nContent-Length: 0\r\n\r\n"
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                ending::Reset);
      CPPUNIT_ASSERT_MESSAGE(Status, !fetchOnce().has_value());
    }
  }

  auto fetch_informationalHeadFirst_returnsTheFinalOne() -> void {
    for (const auto *Status : {"100", "103", "199"}) {
      startPeer("HTTP/1.1 " + std::string(Status) +
                    " X\r\n\r\n"
                    "HTTP/1.1 599 X\r\nContent-Length: 5\r\n\r\nwhole",
                ending::Reset);
      const auto Response = fetchOnce();
      CPPUNIT_ASSERT_MESSAGE(Status, Response.has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{599}, Response->Head.Status);
    }
  }

private:
  using result_type = std::optional<http_response>;

  /// What the peer does after its response.
  enum class ending : std::uint8_t {
    Reset,       ///< Resets the connection.
    ReadRequest, ///< Stops sending and reads the request to its end.
    StopSending, ///< Stops sending and reads nothing.
    StayOpen     ///< Reads nothing.
  };

  /// More than the kernel buffers for a connection.
  static constexpr std::size_t LongBodyBytes = std::size_t{24} << 20U;

  [[nodiscard]] auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Acceptor->local_endpoint().port());
  }

  auto longRequest() const -> http_request {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/a";
    Request.Fields.push_back({"Host", address()});
    Request.Body = std::string(LongBodyBytes, 'x');
    return Request;
  }

  /// Accepts one connection, and responds when the head of the request is read.
  auto startPeer(const std::string &Response, ending Ending) -> void {
    spawn(Context->get_executor(), runPeer(Response, Ending));
  }

  auto runPeer(std::string Response, ending Ending) -> awaitable<void> {
    error_code Error;
    auto Socket = co_await Acceptor->async_accept(storeError(Error));
    ++AcceptedCount;
    std::string Head;
    co_await asio::async_read_until(Socket, asio::dynamic_buffer(Head),
                                    "\r\n\r\n", storeError(Error));
    // The write of the request has filled the buffers of the connection.
    co_await sleepFor(milliseconds(50));
    co_await asio::async_write(Socket, asio::buffer(Response),
                               storeError(Error));
    switch (Ending) {
    case ending::Reset:
      // The part is read by now, so that a write and a read are pending.
      co_await sleepFor(milliseconds(20));
      Socket.set_option(asio::socket_base::linger(true, 0), Error);
      Socket.close(Error);
      break;
    case ending::ReadRequest:
      Socket.shutdown(tcp::socket::shutdown_send, Error);
      while (!Error) {
        Head.resize(std::size_t{64} * 1024);
        co_await Socket.async_read_some(asio::buffer(Head), storeError(Error));
      }
      break;
    case ending::StopSending:
      Socket.shutdown(tcp::socket::shutdown_send, Error);
      co_await sleepFor(2 * TestTimeout);
      break;
    case ending::StayOpen:
      co_await sleepFor(2 * TestTimeout);
      break;
    }
  }

  template <typename task> auto run(task Task) -> result_type {
    result_type Response;
    bool Done = false;
    const auto RunTask = [&]() -> awaitable<void> {
      Response = co_await Task();
      Done = true;
    };
    spawn(Context->get_executor(), RunTask());
    while (!Done && Context->run_one_for(std::chrono::seconds(5)) > 0)
      continue;
    return Response;
  }

  auto fetchOnce() -> result_type {
    return run([&]() -> awaitable<result_type> {
      const auto Request = longRequest();
      co_return co_await fetch(Context->get_executor(), address(), Request,
                               process_clock::now() + TestTimeout);
    });
  }

  std::unique_ptr<asio::io_context> Context;
  std::unique_ptr<tcp::acceptor> Acceptor;
  int AcceptedCount = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_answer_test);

} // namespace
