#include "net/server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <list>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::net;

constexpr std::size_t Kb = 1024;

/// What an account was told, and whether it gives room.
struct account_record {
  connection_holding Last;
  std::size_t MostBytes = 0;
  std::size_t Limit = std::size_t{64} << 20U;
  std::size_t Refusals = 0;
};

class recording_account : public connection_account {
public:
  explicit recording_account(account_record &SharedRecord)
      : Record(SharedRecord) {}
  auto update(const connection_holding &Holding) -> void override {
    Record.Last = Holding;
    Record.MostBytes = std::max(Record.MostBytes, Holding.Bytes);
  }
  auto requestRoom(std::size_t Bytes) -> bool override {
    const bool Fits = Bytes <= Record.Limit;
    Record.Refusals += Fits ? 0 : 1;
    return Fits;
  }

private:
  account_record &Record;
};

/// Requests of callers that are not under control: what is held for them, and
/// when nothing more is read.
class request_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_reader_test);
  CPPUNIT_TEST(readRequest_chunksOfOneByte_costTheirBytes);
  CPPUNIT_TEST(readRequest_announcedLength_costsWhatHasArrived);
  CPPUNIT_TEST(readRequest_noRoom_waitsAndReadsNothingMore);
  CPPUNIT_TEST(readRequest_rejectedWhileItWaits_isRejected);
  CPPUNIT_TEST(readRequest_idle_holdsNoBuffer);
  CPPUNIT_TEST(startDisconnectWatch_pipelinedRequests_fewAreReadAhead);
  CPPUNIT_TEST(closeGracefully_peerGoesOnSending_littleIsRead);
  CPPUNIT_TEST(listener_gateIsClosed_connectionsWait);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    tcp::acceptor Acceptor(Context, tcp::endpoint(tcp::v4(), 0));
    Client.connect(Acceptor.local_endpoint());
    Client.non_blocking(true);
    Connection = std::make_shared<caller_connection>(Acceptor.accept());
    Connection->setAccount(std::make_unique<recording_account>(Record));
  }

  auto readRequest_chunksOfOneByte_costTheirBytes() -> void {
    startReading();
    constexpr std::size_t BodyBytes = 200 * Kb;
    std::string Text = Chunked;
    for (std::size_t I = 0; I < BodyBytes; ++I)
      Text += "1\r\nx\r\n";
    send(Text + "0\r\n\r\n");
    CPPUNIT_ASSERT(Outcome && Outcome->End == read_end::Request);
    CPPUNIT_ASSERT_EQUAL(BodyBytes, Outcome->Request.Body.size());
    // Growth by four, the buffer and the connection.
    CPPUNIT_ASSERT(Record.MostBytes <= 4 * BodyBytes + 64 * Kb);
  }

  auto readRequest_announcedLength_costsWhatHasArrived() -> void {
    startReading();
    send(withLength(4096 * Kb) + std::string(Kb, 'x'));
    CPPUNIT_ASSERT(Record.Last.Phase == connection_phase::Body);
    CPPUNIT_ASSERT(Record.Last.Bytes <= 128 * Kb);
    CPPUNIT_ASSERT(Record.Last.LargestBytes >= 4096 * Kb);
  }

  auto readRequest_noRoom_waitsAndReadsNothingMore() -> void {
    Record.Limit = 500 * Kb;
    startReading();
    const std::string Body(1000 * Kb, 'x');
    send(withLength(Body.size()) + Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Record.Refusals);
    CPPUNIT_ASSERT(Record.MostBytes <= Record.Limit);
    CPPUNIT_ASSERT(Record.Last.MovedBytes < 400 * Kb);
    Record.Limit = 2000 * Kb;
    Connection->grantRoom();
    send("");
    CPPUNIT_ASSERT(Outcome && Outcome->End == read_end::Request);
    CPPUNIT_ASSERT(Outcome->Request.Body == Body);
  }

  auto readRequest_rejectedWhileItWaits_isRejected() -> void {
    Record.Limit = 500 * Kb;
    startReading();
    send(withLength(1000 * Kb) + std::string(600 * Kb, 'x'));
    CPPUNIT_ASSERT(!Outcome);
    Connection->rejectPartialRequest({503, "no room", 1000});
    send("");
    CPPUNIT_ASSERT(Outcome && Outcome->End == read_end::Rejected);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, Outcome->Rejection.Status);
    CPPUNIT_ASSERT(Record.Last.Bytes <= 64 * Kb);
  }

  auto readRequest_idle_holdsNoBuffer() -> void {
    startReading();
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(Record.Last.Phase == connection_phase::Serving);
    startReading();
    CPPUNIT_ASSERT(Record.Last.Phase == connection_phase::Idle);
    CPPUNIT_ASSERT(Record.Last.Bytes <= 8 * Kb);
  }

  /// A gateway ended when each request of such a connection read ahead.
  auto startDisconnectWatch_pipelinedRequests_fewAreReadAhead() -> void {
    std::string Text;
    for (int I = 0; I < 20'000; ++I)
      Text += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    for (int I = 0; I < 100; ++I) {
      startReading();
      send(I == 0 ? Text : "");
      CPPUNIT_ASSERT(Outcome && Outcome->End == read_end::Request);
      Connection->startDisconnectWatch([] {});
      send("");
      Connection->stopDisconnectWatch();
    }
    CPPUNIT_ASSERT(Record.MostBytes <= 64 * Kb);
  }

  auto closeGracefully_peerGoesOnSending_littleIsRead() -> void {
    startReading();
    send(withLength(std::size_t{64} << 20U));
    CPPUNIT_ASSERT(Outcome && Outcome->End == read_end::Rejected);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{413}, Outcome->Rejection.Status);
    spawn(Context.get_executor(), Connection->closeGracefully());
    send(std::string(std::size_t{2} << 20U, 'x'));
    CPPUNIT_ASSERT(Connection->discardedBytes() <= 128 * Kb);
    Context.run_for(std::chrono::seconds(1));
    CPPUNIT_ASSERT(!Connection->isOpen());
  }

  /// Descriptors ran out when every connection was accepted at once.
  auto listener_gateIsClosed_connectionsWait() -> void {
    std::size_t Accepted = 0;
    bool Open = false;
    listener Server(
        Context, "127.0.0.1:0", [&](const auto &) { ++Accepted; },
        [&] { return Open; });
    tcp::socket Caller(Context);
    Caller.connect(*parseEndpoint<tcp>(Server.address()));
    Context.run_for(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Accepted);
    Open = true;
    Context.run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Accepted);
  }

private:
  static constexpr const char *Chunked =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

  static auto withLength(std::size_t Bytes) -> std::string {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(Bytes) + "\r\n\r\n";
  }

  auto startReading() -> void {
    Outcome.reset();
    const auto Read = [this]() -> awaitable<void> {
      Outcome = co_await Connection->readRequest({});
    };
    Reads.push_back(Read);
    spawn(Context.get_executor(), Reads.back()());
    send("");
  }

  /// Sends \p Text as far as it is read, and runs until nothing goes on.
  auto send(const std::string &Text) -> void {
    std::size_t Sent = 0;
    for (int Idle = 0; Idle < 5; ++Idle) {
      error_code Error;
      const auto Count = Client.write_some(asio::buffer(Text) + Sent, Error);
      Sent += Count;
      Context.restart();
      if (Context.run_for(std::chrono::milliseconds(4)) > 0 || Count > 0)
        Idle = 0;
    }
  }

  asio::io_context Context;
  tcp::socket Client{Context};
  account_record Record;
  std::shared_ptr<caller_connection> Connection;
  std::list<std::function<awaitable<void>()>> Reads;
  std::optional<read_outcome> Outcome;
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_reader_test);

} // namespace
