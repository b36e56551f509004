#include "net/server.h"
#include "net/target_connection.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::net;

constexpr duration Patience = seconds(5);

/// A listener and a client on one io_context.
class exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(exchange_test);
  CPPUNIT_TEST(fetch_wholeAnswer_returnsIt);
  CPPUNIT_TEST(fetch_closedPort_returnsNone);
  CPPUNIT_TEST(fetch_answerBeforeTheBodyIsRead_returnsIt);
  CPPUNIT_TEST(write_peerDoesNotRead_waits);
  CPPUNIT_TEST(closeIfIdle_requestHasArrived_isServed);
  CPPUNIT_TEST(closeIfIdle_nothingHasArrived_closes);
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
    Reader.reset();
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
    const auto Answer = run(Request);
    CPPUNIT_ASSERT(Answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a?b=c some bytes"), Answer->Body);
  }

  auto fetch_closedPort_returnsNone() -> void {
    Server->stop();
    Context->poll();
    Context->restart();
    CPPUNIT_ASSERT(!run({}).has_value());
  }

  auto fetch_answerBeforeTheBodyIsRead_returnsIt() -> void {
    // Answers at the header and reads nothing of the body, which is more than
    // the buffers of both sides hold.
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    tcp::socket Peer(*Context);
    std::string Head;
    const std::string Early =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly";
    Acceptor.async_accept(Peer, [&](error_code Error) {
      if (Error)
        return;
      asio::async_read_until(Peer, asio::dynamic_buffer(Head), "\r\n\r\n",
                             [&](error_code Failed, std::size_t) {
                               if (!Failed)
                                 asio::async_write(
                                     Peer, asio::buffer(Early),
                                     [](error_code, std::size_t) {});
                             });
    });
    Address = "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/a";
    Request.Fields.push_back({"Host", Address});
    Request.Body = std::string(LongBody, 'x');
    const auto Answer = run(Request);
    CPPUNIT_ASSERT(Answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("early"), Answer->Body);
  }

  auto write_peerDoesNotRead_waits() -> void {
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    tcp::socket Reader(*Context);
    Reader.connect(Acceptor.local_endpoint());
    const auto Writer = std::make_shared<caller_connection>(Acceptor.accept());
    bool Written = false;
    const auto Task = [&]() -> awaitable<void> {
      std::string Bytes(LongBody, 'x');
      Written = co_await Writer->write(std::move(Bytes));
    };
    spawn(Context->get_executor(), Task());
    Context->run_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(!Written);
    std::size_t Count = 0;
    std::array<char, 65536> Part{};
    Reader.non_blocking(true);
    const auto Until = process_clock::now() + Patience;
    while (Count < LongBody && process_clock::now() < Until) {
      error_code Error;
      Count += Reader.read_some(asio::buffer(Part), Error);
      Context->restart();
      Context->poll();
    }
    CPPUNIT_ASSERT(Written);
    CPPUNIT_ASSERT_EQUAL(LongBody, Count);
  }

  auto closeIfIdle_requestHasArrived_isServed() -> void {
    startReading();
    asio::write(*Reader,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    // The bytes are there, and the connection has not looked yet.
    Idle->closeIfIdle();
    Context->restart();
    Context->run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(Outcome->End == read_end::Request);
    CPPUNIT_ASSERT(Answered);
  }

  auto closeIfIdle_nothingHasArrived_closes() -> void {
    startReading();
    Idle->closeIfIdle();
    Context->restart();
    Context->run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(Outcome->End == read_end::Closed);
  }

private:
  /// A connection that waits for its first request.
  auto startReading() -> void {
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    Reader = std::make_unique<tcp::socket>(*Context);
    Reader->connect(Acceptor.local_endpoint());
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

  /// More than the kernel keeps for a connection, bytes.
  static constexpr std::size_t LongBody = std::size_t{24} << 20U;

  static auto echo(http_request Request) -> awaitable<http_response> {
    http_response Answer;
    Answer.Head.Status = 200;
    Answer.Body = Request.Method + " " + Request.Target + " " + Request.Body;
    co_return Answer;
  }

  auto run(const http_request &Request) -> std::optional<http_response> {
    std::optional<http_response> Answer;
    bool Done = false;
    const auto Task = [&]() -> awaitable<void> {
      Answer = co_await fetch(Context->get_executor(), Address, Request,
                              process_clock::now() + Patience);
      Done = true;
    };
    spawn(Context->get_executor(), Task());
    while (!Done)
      Context->run_one_for(std::chrono::seconds(5));
    return Answer;
  }

  std::unique_ptr<asio::io_context> Context;
  std::unique_ptr<listener> Server;
  std::unique_ptr<tcp::socket> Reader;
  std::shared_ptr<caller_connection> Idle;
  std::optional<read_outcome> Outcome;
  bool Answered = false;
  std::string Address;
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_test);

} // namespace
