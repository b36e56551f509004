#include "net/server.h"
#include "net/target_connection.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::net;

constexpr duration TestTimeout = seconds(5);

/// A listener and a client on one io_context.
class exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(exchange_test);
  CPPUNIT_TEST(fetch_wholeAnswer_returnsIt);
  CPPUNIT_TEST(fetch_closedPort_returnsNone);
  CPPUNIT_TEST(fetch_answerBeforeTheBodyIsRead_returnsIt);
  CPPUNIT_TEST(write_peerDoesNotRead_waits);
  CPPUNIT_TEST(closeIfIdle_requestHasArrived_requestIsServed);
  CPPUNIT_TEST(closeIfIdle_nothingHasArrived_connectionCloses);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Context = std::make_unique<asio::io_context>();
    const auto Executor = Context->get_executor();
    Server = std::make_unique<listener>(
        *Context, "127.0.0.1:0",
        [Executor](std::shared_ptr<caller_connection> Accepted) {
          spawn(Executor, serveCalls(std::move(Accepted), echo));
        });
    Address = "127.0.0.1:" + std::to_string(Server->port());
  }

  auto tearDown() -> void override {
    Server.reset();
    Client.reset();
    Idle.reset();
    Outcome.reset();
    Answered = false;
    Context.reset();
  }

  auto fetch_wholeAnswer_returnsIt() -> void {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/a?b=c";
    Request.Fields.push_back({"Host", Address});
    Request.Body = "some bytes";
    const auto Response = run(Request);
    CPPUNIT_ASSERT(Response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a?b=c some bytes"), Response->Body);
  }

  auto fetch_closedPort_returnsNone() -> void {
    Server->stop();
    Context->poll();
    Context->restart();
    CPPUNIT_ASSERT(!run({}).has_value());
  }

  auto fetch_answerBeforeTheBodyIsRead_returnsIt() -> void {
    // The peer responds after the header and reads nothing of the body, which
    // is larger than the socket buffers of both sides.
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    tcp::socket Peer(*Context);
    std::string Head;
    const std::string EarlyResponse =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly";
    Acceptor.async_accept(Peer, [&](error_code Error) {
      if (Error)
        return;
      asio::async_read_until(Peer, asio::dynamic_buffer(Head), "\r\n\r\n",
                             [&](error_code ReadError, std::size_t) {
                               if (!ReadError)
                                 asio::async_write(
                                     Peer, asio::buffer(EarlyResponse),
                                     [](error_code, std::size_t) {});
                             });
    });
    Address = "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/a";
    Request.Fields.push_back({"Host", Address});
    Request.Body = std::string(LongBodyBytes, 'x');
    const auto Response = run(Request);
    CPPUNIT_ASSERT(Response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("early"), Response->Body);
  }

  auto write_peerDoesNotRead_waits() -> void {
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    tcp::socket Client(*Context);
    Client.connect(Acceptor.local_endpoint());
    const auto Writer = std::make_shared<caller_connection>(Acceptor.accept());
    bool Written = false;
    const auto RunTask = [&]() -> awaitable<void> {
      std::string Bytes(LongBodyBytes, 'x');
      Written = co_await Writer->write(std::move(Bytes));
    };
    spawn(Context->get_executor(), RunTask());
    Context->run_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(!Written);
    std::size_t Count = 0;
    std::array<char, 65536> ReadBuffer{};
    Client.non_blocking(true);
    const auto Deadline = process_clock::now() + TestTimeout;
    while (Count < LongBodyBytes && process_clock::now() < Deadline) {
      error_code Error;
      Count += Client.read_some(asio::buffer(ReadBuffer), Error);
      Context->restart();
      Context->poll();
    }
    CPPUNIT_ASSERT(Written);
    CPPUNIT_ASSERT_EQUAL(LongBodyBytes, Count);
  }

  auto closeIfIdle_requestHasArrived_requestIsServed() -> void {
    startReading();
    asio::write(*Client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    // The request is in the socket buffer and was not read yet.
    Idle->closeIfIdle();
    Context->restart();
    Context->run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(Outcome->End == read_end::Request);
    CPPUNIT_ASSERT(Answered);
  }

  auto closeIfIdle_nothingHasArrived_connectionCloses() -> void {
    startReading();
    Idle->closeIfIdle();
    Context->restart();
    Context->run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(Outcome->End == read_end::Closed);
  }

private:
  /// Opens a connection that waits for its first request.
  auto startReading() -> void {
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    Client = std::make_unique<tcp::socket>(*Context);
    Client->connect(Acceptor.local_endpoint());
    Idle = std::make_shared<caller_connection>(Acceptor.accept());
    spawn(Context->get_executor(), readAndAnswer());
    Context->run_for(std::chrono::milliseconds(20));
  }

  auto readAndAnswer() -> awaitable<void> {
    const connection_limits Limits;
    Outcome = co_await Idle->readRequest(Limits);
    std::string Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    Answered = co_await Idle->write(std::move(Bytes));
  }

  /// More than the kernel buffers for a connection.
  static constexpr std::size_t LongBodyBytes = std::size_t{24} << 20U;

  static auto echo(http_request Request) -> awaitable<http_response> {
    http_response Response;
    Response.Head.Status = 200;
    Response.Body = Request.Method + " " + Request.Target + " " + Request.Body;
    co_return Response;
  }

  auto run(const http_request &Request) -> std::optional<http_response> {
    std::optional<http_response> Response;
    bool Done = false;
    const auto RunTask = [&]() -> awaitable<void> {
      Response = co_await fetch(Context->get_executor(), Address, Request,
                                process_clock::now() + TestTimeout);
      Done = true;
    };
    spawn(Context->get_executor(), RunTask());
    while (!Done)
      Context->run_one_for(std::chrono::seconds(5));
    return Response;
  }

  std::unique_ptr<asio::io_context> Context;
  std::unique_ptr<listener> Server;
  std::unique_ptr<tcp::socket> Client;
  std::shared_ptr<caller_connection> Idle;
  std::optional<read_outcome> Outcome;
  bool Answered = false;
  std::string Address;
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_test);

} // namespace
