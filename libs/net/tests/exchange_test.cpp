#include "net/server.h"
#include "net/target_connection.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

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
  CPPUNIT_TEST(persistentFetch_secondCopyOfAnAnswer_isNotTakenForTheNext);
  CPPUNIT_TEST(readRequest_endlessChunkExtension_isRejected);
  CPPUNIT_TEST(readRequest_idleTimeoutAndRequestMeet_requestIsServed);
  CPPUNIT_TEST(write_peerNeverReads_fails);
  CPPUNIT_TEST(stop_connectionsInTheBacklog_areServed);
  CPPUNIT_TEST(stop_inTheTurnOfAnAccept_noConnectionIsDropped);
  CPPUNIT_TEST(closeIfIdle_requestHasArrived_requestIsServed);
  CPPUNIT_TEST(closeIfIdle_nothingHasArrived_connectionCloses);
  CPPUNIT_TEST(datagrams_arriveInABusyLoop_areReceivedInFewTurns);
  CPPUNIT_TEST(readBody_longBodyHasArrived_takesFewReads);
  CPPUNIT_TEST(hasUnreadBytes_chunksInOneSegment_untilTheLastOne);
  CPPUNIT_TEST(startSend_sharedBody_isSentWithoutACopy);
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

  auto datagrams_arriveInABusyLoop_areReceivedInFewTurns() -> void {
    constexpr int Sent = 100;
    constexpr int Turns = 20;
    int Received = 0;
    datagram_socket Receiver(*Context, "127.0.0.1:0",
                             [&](const std::string & /*From*/,
                                 std::string_view /*Bytes*/) { ++Received; });
    udp::socket Sender(*Context, udp::endpoint(udp::v4(), 0));
    for (int I = 0; I < Sent; ++I)
      Sender.send_to(asio::buffer("x", 1),
                     *parseEndpoint<udp>(Receiver.address()));
    int Turn = 0;
    std::function<void()> Work = [&] {
      usleep(1000);
      if (++Turn < Turns)
        asio::post(*Context, Work);
      else
        Context->stop();
    };
    asio::post(*Context, Work);
    Context->run();
    Receiver.stop();
    CPPUNIT_ASSERT_EQUAL(Sent, Received);
  }

  auto readBody_longBodyHasArrived_takesFewReads() -> void {
    constexpr std::size_t BodyBytes = 48'000;
    tcp::acceptor Acceptor(*Context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto Connection =
        std::make_shared<target_connection>(Context->get_executor());
    int Reads = 0;
    std::string Body;
    const auto Read = [&]() -> awaitable<void> {
      const auto Deadline = process_clock::now() + TestTimeout;
      const auto PeerAddress =
          "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
      const bool Connected =
          co_await Connection->connect(PeerAddress, Deadline);
      CPPUNIT_ASSERT(Connected);
      auto Peer = Acceptor.accept();
      const auto Bytes =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
          "\r\n\r\n" + std::string(BodyBytes, 'x');
      asio::write(Peer, asio::buffer(Bytes));
      usleep(100'000);
      Connection->setReadSize(std::size_t{64} * 1024);
      const auto Head = co_await Connection->readResponseHead();
      CPPUNIT_ASSERT(Head.has_value());
      auto Result = body_read::Data;
      for (; Result == body_read::Data; ++Reads)
        Result = co_await Connection->readBody(Body);
      Context->stop();
    };
    spawn(Context->get_executor(), Read());
    Context->run();
    CPPUNIT_ASSERT_EQUAL(BodyBytes, Body.size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Reads), Reads <= 4);
  }

  // Events that are read one by one after a lag must not pass for a pace.
  auto hasUnreadBytes_chunksInOneSegment_untilTheLastOne() -> void {
    tcp::acceptor Acceptor(*Context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto Connection =
        std::make_shared<target_connection>(Context->get_executor());
    std::string Unread;
    const auto Read = [&]() -> awaitable<void> {
      const auto PeerAddress =
          "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
      const bool Connected = co_await Connection->connect(
          PeerAddress, process_clock::now() + TestTimeout);
      CPPUNIT_ASSERT(Connected);
      auto Peer = Acceptor.accept();
      const std::string Head =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      asio::write(Peer, asio::buffer(Head));
      const auto Received = co_await Connection->readResponseHead();
      CPPUNIT_ASSERT(Received.has_value());
      const std::string Chunks = "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n";
      asio::write(Peer, asio::buffer(Chunks));
      std::string Body;
      for (int I = 0; I < 3; ++I) {
        co_await Connection->readBody(Body);
        Unread += Connection->hasUnreadBytes() ? '1' : '0';
      }
      Context->stop();
    };
    spawn(Context->get_executor(), Read());
    Context->run();
    CPPUNIT_ASSERT_EQUAL(std::string("110"), Unread);
  }

  /// A request and the attempt at it once held a body each.
  auto startSend_sharedBody_isSentWithoutACopy() -> void {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/a";
    Request.Fields.push_back({"Host", Address});
    const auto Body = std::make_shared<const std::string>("some bytes");
    const auto Connection =
        std::make_shared<target_connection>(Context->get_executor());
    std::string Answer;
    bool Shared = false;
    const auto Exchange = [&]() -> awaitable<void> {
      const auto Deadline = process_clock::now() + TestTimeout;
      co_await Connection->connect(Address, Deadline);
      Connection->startSend(serializeRequestHead(Request, Body->size()), Body);
      Shared = Body.use_count() > 1;
      const auto Head = co_await Connection->readResponseHead();
      CPPUNIT_ASSERT(Head.has_value());
      co_await Connection->readBody(Answer);
      Context->stop();
    };
    spawn(Context->get_executor(), Exchange());
    Context->run();
    CPPUNIT_ASSERT(Shared);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a some bytes"), Answer);
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

  auto persistentFetch_secondCopyOfAnAnswer_isNotTakenForTheNext() -> void {
    // Every answer is sent again 20 ms later on the same connection.
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    spawn(Context->get_executor(), answerTwice(Acceptor));
    spawn(Context->get_executor(), answerTwice(Acceptor));
    spawn(Context->get_executor(), answerTwice(Acceptor));
    persistent_client Peer(
        Context->get_executor(),
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()));
    int Done = 0;
    std::vector<std::string> Bodies;
    const auto RunTask = [&]() -> awaitable<void> {
      for (const auto *Target : {"/first", "/second", "/third"}) {
        http_request Request;
        Request.Target = Target;
        Request.Fields.push_back({"Host", "h"});
        const auto Response =
            co_await Peer.fetch(Request, process_clock::now() + seconds(1));
        Bodies.push_back(Response ? Response->Body : "none");
        co_await sleepFor(milliseconds(60));
      }
      ++Done;
    };
    spawn(Context->get_executor(), RunTask());
    while (Done == 0)
      Context->run_one_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT(Bodies ==
                   std::vector<std::string>({"/first", "/second", "/third"}));
  }

  auto readRequest_endlessChunkExtension_isRejected() -> void {
    startReading();
    asio::write(*Client,
                asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                         "5;a=")));
    const std::string Filler(std::size_t{64} * 1024, 'x');
    std::size_t Written = 0;
    Client->non_blocking(true);
    const auto Deadline = process_clock::now() + TestTimeout;
    while (!Outcome && process_clock::now() < Deadline) {
      error_code Error;
      Written += Client->write_some(asio::buffer(Filler), Error);
      Context->restart();
      Context->poll();
    }
    CPPUNIT_ASSERT(Outcome.has_value());
    CPPUNIT_ASSERT(Outcome->End == read_end::Rejected);
    // What was read, and what the kernel buffers.
    CPPUNIT_ASSERT(Written < LongBodyBytes);
  }

  auto readRequest_idleTimeoutAndRequestMeet_requestIsServed() -> void {
    startReading(milliseconds(50));
    // The request arrives before the expired timer is handled.
    usleep(60'000);
    asio::write(*Client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    Context->restart();
    Context->run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(Outcome->End == read_end::Request);
    CPPUNIT_ASSERT(Answered);
  }

  auto write_peerNeverReads_fails() -> void {
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    tcp::socket Reader(*Context);
    Reader.connect(Acceptor.local_endpoint());
    const auto Writer = std::make_shared<caller_connection>(Acceptor.accept());
    std::optional<bool> Written;
    const auto RunTask = [&]() -> awaitable<void> {
      std::string Bytes(LongBodyBytes, 'x');
      Written = co_await Writer->write(std::move(Bytes));
    };
    spawn(Context->get_executor(), RunTask());
    Context->run_for(std::chrono::seconds(8));
    CPPUNIT_ASSERT(Written.has_value());
    CPPUNIT_ASSERT(!*Written);
  }

  auto stop_connectionsInTheBacklog_areServed() -> void {
    std::vector<tcp::socket> Callers;
    for (int I = 0; I < 5; ++I) {
      Callers.emplace_back(*Context);
      Callers.back().connect(*parseEndpoint<tcp>(Address));
      asio::write(Callers.back(), asio::buffer(std::string(
                                      "GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    Server->stop();
    Context->restart();
    Context->run_for(std::chrono::milliseconds(100));
    for (auto &Caller : Callers) {
      std::array<char, 16> Start{};
      error_code Error;
      Caller.non_blocking(true);
      CPPUNIT_ASSERT(Caller.read_some(asio::buffer(Start), Error) > 0);
    }
  }

  auto stop_inTheTurnOfAnAccept_noConnectionIsDropped() -> void {
    std::size_t AcceptedCount = 0;
    listener Stopped(*Context, "127.0.0.1:0",
                     [&](const auto & /*Accepted*/) { ++AcceptedCount; });
    std::vector<tcp::socket> Callers;
    for (int I = 0; I < 3; ++I) {
      Callers.emplace_back(*Context);
      Callers.back().connect(*parseEndpoint<tcp>(Stopped.address()));
    }
    asio::steady_timer Timer(*Context, std::chrono::milliseconds(0));
    Timer.async_wait([&](error_code) { Stopped.stop(); });
    Context->restart();
    Context->run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Callers.size(), AcceptedCount);
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
  auto startReading(duration IdleTimeout = seconds(15)) -> void {
    tcp::acceptor Acceptor(*Context, tcp::endpoint(tcp::v4(), 0));
    Client = std::make_unique<tcp::socket>(*Context);
    Client->connect(Acceptor.local_endpoint());
    Idle = std::make_shared<caller_connection>(Acceptor.accept());
    spawn(Context->get_executor(), readAndAnswer(IdleTimeout));
    Context->run_for(std::chrono::milliseconds(20));
  }

  auto readAndAnswer(duration IdleTimeout) -> awaitable<void> {
    connection_limits Limits;
    Limits.IdleTimeoutMs = toMilliseconds(IdleTimeout);
    Outcome = co_await Idle->readRequest(Limits);
    std::string Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    Answered = co_await Idle->write(std::move(Bytes));
  }

  /// Accepts one connection and answers its requests with their targets, each
  /// answer twice.
  static auto answerTwice(tcp::acceptor &Acceptor) -> awaitable<void> {
    error_code Error;
    auto Socket = co_await Acceptor.async_accept(storeError(Error));
    std::string Text;
    while (!Error) {
      const auto Length = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Text), "\r\n\r\n", storeError(Error));
      if (Error)
        break;
      const auto Target = Text.substr(4, Text.find(' ', 4) - 4);
      Text.erase(0, Length);
      const auto Answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(Target.size()) + "\r\n\r\n" + Target;
      for (int Copy = 0; Copy < 2 && !Error; ++Copy) {
        co_await asio::async_write(Socket, asio::buffer(Answer),
                                   storeError(Error));
        co_await sleepFor(milliseconds(20));
      }
    }
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
