/// \file
/// The listener for callers while it drains and stops.

#include "base/thread.h"
#include "caller_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <mutex>

namespace {

using namespace limpetbridge;

constexpr std::size_t ServingThreads = 17; ///< One, and those that refuse.
constexpr auto Patience = seconds(4);

/// A caller's connection with blocking reads and writes.
class caller_socket {
public:
  explicit caller_socket(std::uint16_t Port)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &To.sin_addr);
    (void)::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To));
    const timeval Limit{toMilliseconds(Patience) / 1000, 0};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  }
  ~caller_socket() { ::close(Socket); }
  caller_socket(const caller_socket &) = delete;
  auto operator=(const caller_socket &) -> caller_socket & = delete;

  auto write(const std::string &Bytes) const -> void {
    (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  auto sendChat(bool Stream) const -> void {
    const std::string Body =
        R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":)" +
        std::string(Stream ? "true}" : "false}");
    write("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  auto askHealth() const -> void {
    write("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  /// Reads until \p End was received or the connection closes.
  auto readUntil(const std::string &End) const -> std::string {
    std::string Text;
    std::array<char, 4096> Part{};
    while (Text.find(End) == std::string::npos) {
      const auto Count = ::recv(Socket, Part.data(), Part.size(), 0);
      if (Count <= 0)
        break;
      Text.append(Part.data(), static_cast<std::size_t>(Count));
    }
    return Text;
  }

private:
  int Socket;
};

/// A caller server whose requests are answered by the test.
class caller_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_stop_test);
  CPPUNIT_TEST(stop_connectionsWaitingForAThread_getAnswers);
  CPPUNIT_TEST(stop_streamInProgress_reachesItsEnd);
  CPPUNIT_TEST(accept_moreConnectionsThanTheQueueHolds_allGetAnswers);
  CPPUNIT_TEST(stream_failsMidway_isNotFramedAsComplete);
  CPPUNIT_TEST(drain_requestInProgress_isToldThatTheConnectionCloses);
  CPPUNIT_TEST(stop_connectionPromisedToStay_hasItsNextRequestAnswered);
  CPPUNIT_TEST(stop_halfReadRequest_endsByTheDeadline);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    caller_server_options Options;
    Options.Address = "127.0.0.1";
    Options.Threads = 1;
    Options.AcceptQueueLimit = 2;
    caller_hooks Hooks;
    Hooks.IsReady = [] { return true; };
    Hooks.PostEvent = [this](const event &Event) {
      const auto *Arrived = std::get_if<request_arrived>(&Event);
      if (Arrived == nullptr)
        return;
      const std::lock_guard Lock(Mutex);
      Open = Arrived->Request;
      Arrival.notify_all();
    };
    Server = std::make_unique<caller_server>(Options, Hooks);
  }

  auto tearDown() -> void override {
    Stopping.reset();
    Server.reset();
  }

  auto stop_connectionsWaitingForAThread_getAnswers() -> void {
    const auto Held = occupyThreads();
    const auto Waiting = askFromNew(2);
    beginStop();
    CPPUNIT_ASSERT_EQUAL(std::string(), findUnanswered(Waiting));
  }

  auto accept_moreConnectionsThanTheQueueHolds_allGetAnswers() -> void {
    auto Held = occupyThreads();
    const auto Waiting = askFromNew(6);
    Held.clear();
    CPPUNIT_ASSERT_EQUAL(std::string(), findUnanswered(Waiting));
  }

  auto stop_streamInProgress_reachesItsEnd() -> void {
    const caller_socket Caller(Server->port());
    beginStream(Caller);
    beginStop();
    endAnswer();
    const auto Rest = Caller.readUntil("0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(Rest, Rest.find("[DONE]") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(Rest, Rest.ends_with("0\r\n\r\n"));
  }

  auto stream_failsMidway_isNotFramedAsComplete() -> void {
    const caller_socket Caller(Server->port());
    beginStream(Caller);
    endAnswer(run_outcome::Unknown);
    const auto Rest = Caller.readUntil("0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(Rest, Rest.find("\"error\"") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(Rest, !Rest.ends_with("0\r\n\r\n"));
  }

  auto drain_requestInProgress_isToldThatTheConnectionCloses() -> void {
    const caller_socket Caller(Server->port());
    Caller.sendChat(false);
    awaitRequest();
    Server->beginDrain();
    endAnswer();
    const auto Head = Caller.readUntil("\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(Head, Head.find("Connection: close\r\n") !=
                                     std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(Head, Head.find("Keep-Alive") == std::string::npos);
  }

  auto stop_connectionPromisedToStay_hasItsNextRequestAnswered() -> void {
    const caller_socket Caller(Server->port());
    beginStream(Caller); // Its head says that the connection stays open.
    Server->beginDrain();
    beginStop();
    endAnswer();
    Caller.readUntil("0\r\n\r\n");
    Caller.askHealth();
    const auto Next = Caller.readUntil("ok\n");
    CPPUNIT_ASSERT_MESSAGE(Next, Next.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_MESSAGE(Next, Next.find("Connection: close\r\n") !=
                                     std::string::npos);
  }

  auto stop_halfReadRequest_endsByTheDeadline() -> void {
    const caller_socket Caller(Server->port());
    Caller.write("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
    usleep(50'000);
    const auto Began = process_clock::now();
    Server->stopBy(Began + milliseconds(500));
    CPPUNIT_ASSERT(process_clock::now() - Began < seconds(2));
  }

private:
  using callers = std::vector<std::unique_ptr<caller_socket>>;

  /// Kept connections, each of which holds a thread.
  auto occupyThreads() const -> callers {
    callers Callers;
    for (std::size_t Index = 0; Index < ServingThreads; ++Index) {
      Callers.push_back(std::make_unique<caller_socket>(Server->port()));
      Callers.back()->askHealth();
      CPPUNIT_ASSERT(Callers.back()->readUntil("ok\n").ends_with("ok\n"));
    }
    return Callers;
  }

  auto askFromNew(std::size_t Count) const -> callers {
    callers Callers;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Callers.push_back(std::make_unique<caller_socket>(Server->port()));
      Callers.back()->askHealth();
    }
    usleep(50'000); // The listener accepts them meanwhile.
    return Callers;
  }

  static auto findUnanswered(const callers &Callers) -> std::string {
    std::string Unanswered;
    for (std::size_t Index = 0; Index < Callers.size(); ++Index)
      if (!Callers[Index]->readUntil("ok\n").ends_with("ok\n"))
        Unanswered += " " + std::to_string(Index);
    return Unanswered;
  }

  auto awaitRequest() -> void {
    std::unique_lock Lock(Mutex);
    Arrival.wait_for(Lock, Patience, [this] { return Open.Counter != 0; });
  }

  auto beginStream(const caller_socket &Caller) -> void {
    Caller.sendChat(true);
    awaitRequest();
    Server->execute(answer_frame{Open, {0, {"a"}}});
    const auto Head = Caller.readUntil("\"a\"");
    CPPUNIT_ASSERT_MESSAGE(Head, Head.find("Keep-Alive") != std::string::npos);
  }

  auto endAnswer(run_outcome Outcome = run_outcome::Done) -> void {
    answer_end End;
    End.Request = Open;
    End.Outcome = Outcome;
    Server->execute(End);
  }

  auto beginStop() -> void {
    Stopping = std::make_unique<thread>("stop", LoopStackBytes, [this] {
      Server->stopBy(process_clock::now() + Patience);
    });
    usleep(50'000);
  }

  std::unique_ptr<caller_server> Server;
  std::unique_ptr<thread> Stopping;
  std::mutex Mutex;
  std::condition_variable Arrival;
  request_id Open;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_stop_test);

} // namespace
