#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Frames \p Body with an end that does not depend on the connection, or leaves
/// it without one.
using frame_body = std::function<std::string(const std::string &Body)>;

/// Streams of targets in every framing, whole and broken off.
class stream_framing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_framing_test);
  CPPUNIT_TEST(stream_endsInsideAnEvent_isNotFramedAsComplete);
  CPPUNIT_TEST(stream_connectionEndsBeforeAnyEvent_isOutcomeUnknown);
  CPPUNIT_TEST(stream_connectionIsReset_isNotFramedAsComplete);
  CPPUNIT_TEST(stream_endsBetweenEvents_isRelayedByteForByte);
  CPPUNIT_TEST(stream_resumableEndsInsideAnEvent_goesOnAtAnotherTarget);
  CPPUNIT_TEST(stream_targetCrashesBetweenEvents_isNotFramedAsComplete);
  CPPUNIT_TEST(stream_otherContentType_isRelayedByteForByte);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeSettings = [](node_settings &Settings) {
      Settings.RetryExtra = 100'000;
    };
    Fleet->publishConfiguration();
    Engine = &addEngine("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(eventually([&] { return chat("/chat/x").Whole; }));
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto stream_endsInsideAnEvent_isNotFramedAsComplete() -> void {
    std::string LooksComplete;
    for (const auto *LineEnd : {"\n", "\r\n", "\r"})
      for (const auto &Frame : framings())
        for (const auto &Body : incompleteBodies(LineEnd))
          for (const auto *Path : {"/chat/x", "/plan/x"}) {
            answerRaw(Frame(Body), false);
            const auto Answer = chat(Path);
            if (Answer.Head.Status == 200 && Answer.Whole)
              LooksComplete += Path + (" " + Frame(Body)) + "\n";
          }
    CPPUNIT_ASSERT_EQUAL(std::string(), LooksComplete);
  }

  auto stream_connectionEndsBeforeAnyEvent_isOutcomeUnknown() -> void {
    for (const auto *Body : {"", "\n", ": comment\n\n"})
      for (const auto *Path : {"/chat/x", "/plan/x"}) {
        answerRaw(std::string("\r\n") + Body, false);
        const auto Answer = chat(Path);
        CPPUNIT_ASSERT_MESSAGE(Body,
                               !Answer.Whole || Answer.Head.Status == 502);
      }
  }

  auto stream_connectionIsReset_isNotFramedAsComplete() -> void {
    const std::string Body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (std::size_t Length = 0; Length <= Body.size(); ++Length)
      for (const auto *Path : {"/chat/x", "/plan/x"}) {
        answerRaw("\r\n" + Body.substr(0, Length), true);
        const auto Answer = chat(Path);
        CPPUNIT_ASSERT_MESSAGE(Body.substr(0, Length),
                               Answer.Head.Status != 200 || !Answer.Whole);
      }
  }

  auto stream_endsBetweenEvents_isRelayedByteForByte() -> void {
    for (const std::string LineEnd : {"\n", "\r\n", "\r"})
      for (const auto &Frame : framings())
        for (const auto *Path : {"/chat/x", "/plan/x"}) {
          const auto Body = twoEvents(LineEnd) + ": end" + LineEnd;
          answerRaw(Frame(Body), false);
          const auto Answer = chat(Path);
          CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Answer.Head.Status);
          CPPUNIT_ASSERT_MESSAGE(Frame(Body), Answer.Whole);
          CPPUNIT_ASSERT_EQUAL(Body, Answer.Body);
        }
  }

  auto stream_resumableEndsInsideAnEvent_goesOnAtAnotherTarget() -> void {
    auto &Second = addEngine("e2");
    usleep(700'000);
    for (std::size_t Bytes = 1; Bytes < 20; ++Bytes) {
      for (auto *Worker : {Engine, &Second})
        Fleet->Outside.call([&] {
          Worker->Behaviour = behaviour::CutStream;
          Worker->UnframedStreams = true;
          Worker->CutBytes = Bytes;
          Worker->CutsResumed = false;
          return 0;
        });
      const auto Before = seenAt(*Engine) + seenAt(Second);
      const auto Answer = chat("/plan/x");
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Bytes), Answer.Whole);
      CPPUNIT_ASSERT_EQUAL(wholeStream(), Answer.Body);
      CPPUNIT_ASSERT_EQUAL(Before + 2, seenAt(*Engine) + seenAt(Second));
    }
  }

  auto stream_targetCrashesBetweenEvents_isNotFramedAsComplete() -> void {
    auto &Second = addEngine("e2");
    usleep(700'000);
    const auto CrashNext = [&](worker_emulator &Worker) {
      return Fleet->Outside.call([&] {
        Worker.UnframedStreams = true;
        Worker.EventsBeforeCrash = 2;
        return Worker.CrashParts.insert("d1").second;
      });
    };
    CrashNext(*Engine);
    while (Fleet->Outside.call([&] { return !Engine->Crashed; })) {
      const auto Answer = chat("/plan/x", "d1:100,");
      CPPUNIT_ASSERT(Answer.Whole);
      CPPUNIT_ASSERT_EQUAL(wholeStream(), Answer.Body);
    }
    CrashNext(Second);
    CPPUNIT_ASSERT(!chat("/chat/x", "d1:100,").Whole);
  }

  auto stream_otherContentType_isRelayedByteForByte() -> void {
    for (const auto *Path : {"/chat/x", "/plan/x"}) {
      answerRaw("\r\n{\"text\":\"a\"}", false, "application/json");
      const auto Answer = chat(Path);
      CPPUNIT_ASSERT(Answer.Whole);
      CPPUNIT_ASSERT_EQUAL(std::string("{\"text\":\"a\"}"), Answer.Body);
    }
  }

private:
  static auto framings() -> std::vector<frame_body> {
    return {[](const std::string &Body) { return "\r\n" + Body; },
            [](const std::string &Body) {
              return "Transfer-Encoding: chunked\r\n\r\n" +
                     net::serializeChunk(Body) + "0\r\n\r\n";
            },
            [](const std::string &Body) {
              return "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n"
                     "Connection: close\r\n\r\n" +
                     net::serializeChunk(Body) + "0\r\nX-T: 1\r\n\r\n";
            },
            [](const std::string &Body) {
              return "Content-Length: " + std::to_string(Body.size()) +
                     "\r\n\r\n" + Body;
            }};
  }

  static auto twoEvents(const std::string &LineEnd) -> std::string {
    std::string Body;
    for (const auto *Line : {"id: 1", "data: a", "", "id: 2", "data: b", ""})
      Body += Line + LineEnd;
    return Body;
  }

  /// Two events, cut at every byte that is not between two events.
  static auto incompleteBodies(const std::string &LineEnd)
      -> std::vector<std::string> {
    std::vector<std::string> Bodies;
    const auto Whole = twoEvents(LineEnd);
    const auto EventSize = Whole.size() / 2;
    for (std::size_t Length = 1; Length < Whole.size(); ++Length)
      if (Length != EventSize)
        Bodies.push_back(Whole.substr(0, Length));
    return Bodies;
  }

  auto addEngine(const char *Id) -> worker_emulator & {
    auto &Worker = Fleet->addWorker(Id, "models");
    Fleet->Outside.call([&] {
      Worker.Behaviour = behaviour::Stream;
      return Worker.Models.insert("a").second;
    });
    Fleet->publish(Id);
    return Worker;
  }

  /// \p Rest is what follows the common fields of the head.
  auto answerRaw(const std::string &Rest, bool Reset,
                 const std::string &ContentType = "text/event-stream") -> void {
    Fleet->Outside.call([&] {
      Engine->Behaviour = behaviour::Raw;
      Engine->RawAnswer =
          "HTTP/1.1 200 OK\r\nX-Limpetbridge-Attempt-Id: $ID\r\n"
          "X-Limpetbridge-Response-Signature: p\r\n"
          "Content-Type: " +
          ContentType + "\r\n" + Rest;
      Engine->RawReset = Reset;
      return 0;
    });
  }

  auto seenAt(const worker_emulator &Worker) -> std::size_t {
    return Fleet->Outside.call([&] { return Worker.Requests.size(); });
  }

  /// Each request has a prompt of its own, so that no cache attracts it.
  auto chat(const std::string &Path, const std::string &Parts = "")
      -> client_answer {
    return Fleet->send(Path, "prompt",
                       {{"X-Limpetbridge-Model", "a"},
                        {"X-Limpetbridge-Token-Usage", "100,20"},
                        {"X-Limpetbridge-Prompt-Prefix",
                         Parts + std::to_string(++LastPart) + ":100"}});
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Engine = nullptr;
  std::uint64_t LastPart = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_framing_test);

} // namespace
