#include "caller_socket.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// HEAD requests. The gateway once waited for a body until the time-out.
class head_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(head_request_test);
  CPPUNIT_TEST(head_answerWithALength_keepsItAndHasNoBody);
  CPPUNIT_TEST(head_lengthBeyondWhatIsHeld_isPassedOn);
  CPPUNIT_TEST(head_chunkedAnswer_hasNoBody);
  CPPUNIT_TEST(head_streamRoute_hasNoBody);
  CPPUNIT_TEST(head_refusalsAndFailures_haveNoBody);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    Ledger = &Fleet->addWorker("w1", "ledger");
    auto &Engine = Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] {
      Engine.Behaviour = behaviour::Stream;
      return Engine.Models.insert("a").second;
    });
    Fleet->publish("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->send("/read/x").Head.Status == 200; }));
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto head_answerWithALength_keepsItAndHasNoBody() -> void {
    const auto Head = exchange("/read/x");
    CPPUNIT_ASSERT(Head.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Head.find("\r\nContent-Length: 13\r\n") !=
                   std::string::npos);
  }

  auto head_lengthBeyondWhatIsHeld_isPassedOn() -> void {
    answerRaw("Content-Length: 99999999999\r\n");
    const auto Head = exchange("/read/x");
    CPPUNIT_ASSERT(Head.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Head.find("\r\nContent-Length: 99999999999\r\n") !=
                   std::string::npos);
  }

  auto head_chunkedAnswer_hasNoBody() -> void {
    answerRaw("Transfer-Encoding: chunked\r\n");
    CPPUNIT_ASSERT(exchange("/read/x").starts_with("HTTP/1.1 200"));
  }

  auto head_streamRoute_hasNoBody() -> void {
    const auto Head =
        exchange("/chat/x", "X-Limpetbridge-Model: a\r\n"
                            "X-Limpetbridge-Token-Usage: 100,20\r\n");
    CPPUNIT_ASSERT(Head.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Head.find("text/event-stream") != std::string::npos);
  }

  auto head_refusalsAndFailures_haveNoBody() -> void {
    CPPUNIT_ASSERT(exchange("/other/").starts_with("HTTP/1.1 404"));
    CPPUNIT_ASSERT(exchange("/read/x", "X-Limpetbridge-Deadline-Ms: x\r\n")
                       .starts_with("HTTP/1.1 400"));
    behave(behaviour::FailAfterRun);
    CPPUNIT_ASSERT(exchange("/pay/x").starts_with("HTTP/1.1 500"));
    behave(behaviour::Refuse);
    CPPUNIT_ASSERT(exchange("/pay/x").starts_with("HTTP/1.1 503"));
  }

private:
  /// Sends HEAD and then another request on the same connection, to which an
  /// answer must come as well. \returns the first answer.
  auto exchange(const std::string &Path, const std::string &Fields = "")
      -> std::string {
    const std::string End = "\r\n\r\n";
    const auto Began = process_clock::now();
    caller_socket Caller(Fleet->Gateway->callerAddress());
    Caller.write("HEAD " + Path +
                 " HTTP/1.1\r\nHost: h\r\n"
                 "X-Limpetbridge-Attempt-Id: 7\r\n" +
                 Fields + "\r\n");
    auto Head = Caller.readUntil(End);
    CPPUNIT_ASSERT_MESSAGE(Head, Head.ends_with(End));
    CPPUNIT_ASSERT(process_clock::now() - Began < milliseconds(500));
    Caller.write("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto Next = Caller.readUntil(End);
    CPPUNIT_ASSERT_MESSAGE(Next, Next.starts_with("HTTP/1.1 404"));
    return Head;
  }

  auto behave(behaviour Behaviour) -> void {
    Fleet->Outside.call([&] { return Ledger->Behaviour = Behaviour; });
  }

  auto answerRaw(const std::string &Field) -> void {
    Fleet->Outside.call([&] {
      Ledger->RawAnswer = "HTTP/1.1 200 OK\r\n"
                          "X-Limpetbridge-Attempt-Id: $ID\r\n"
                          "X-Limpetbridge-Response-Signature: p\r\n" +
                          Field + "\r\n";
      return Ledger->Behaviour = behaviour::Raw;
    });
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Ledger = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(head_request_test);

} // namespace
