#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Answers of targets that break off, and refusals of other requests.
class broken_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_answer_test);
  CPPUNIT_TEST(plain_answerCutAnywhere_isNotASuccess);
  CPPUNIT_TEST(stream_answerCutAnywhere_doesNotLookComplete);
  CPPUNIT_TEST(stream_resumedWithAnError_errorIsNotInTheStream);
  CPPUNIT_TEST(plain_refusalOfAnotherRequest_isNotTakenForThisOne);
  CPPUNIT_TEST(plain_statusOutOfRange_isOfUnknownOutcome);
  CPPUNIT_TEST(stream_statusOutOfRange_isNotAnAnswer);
  CPPUNIT_TEST(read_statusOutOfRange_isSentToAnotherTarget);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    Ledger = &Fleet->addWorker("w1", "ledger");
    Engine = &Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] { return Engine->Models.insert("a").second; });
    Fleet->publish("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->send("/read/x").Head.Status == 200; }));
    // The model's target is read by the same call.
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto plain_answerCutAnywhere_isNotASuccess() -> void {
    for (const auto &Bytes : cutAnswers())
      for (const bool Reset : {false, true}) {
        answerRaw(*Ledger, Bytes, Reset);
        const auto Answer = Fleet->send("/pay/x", "b");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, std::uint16_t{502},
                                     Answer.Head.Status);
        CPPUNIT_ASSERT(Answer.Whole);
      }
  }

  auto stream_answerCutAnywhere_doesNotLookComplete() -> void {
    for (const auto &Bytes : cutAnswers())
      for (const bool Reset : {false, true}) {
        answerRaw(*Engine, Bytes, Reset);
        const auto Answer = chat("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(Bytes,
                               Answer.Head.Status != 200 || !Answer.Whole);
      }
  }

  auto stream_resumedWithAnError_errorIsNotInTheStream() -> void {
    auto &Second = Fleet->addWorker("e2", "models");
    Fleet->Outside.call([&] { return Second.Models.insert("a").second; });
    Fleet->publish("e2");
    usleep(700'000);
    for (const std::uint16_t Status : {500, 503, 502, 400, 404}) {
      for (auto *Worker : {Engine, &Second})
        Fleet->Outside.call([&] {
          Worker->Behaviour = behaviour::CutStream;
          Worker->ResumeStatus = Status;
          return 0;
        });
      const auto Text = Fleet->sendRaw(
          "GET /plan/x HTTP/1.1\r\nHost: h\r\nX-Limpetbridge-Attempt-Id: 9\r\n"
          "X-Limpetbridge-Deadline-Ms: 5000\r\nX-Limpetbridge-Model: a\r\n"
          "X-Limpetbridge-Token-Usage: 100,20\r\n"
          "X-Limpetbridge-Prompt-Prefix: 1:50,2:50\r\n\r\n");
      CPPUNIT_ASSERT(Text.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT_MESSAGE(Text,
                             Text.find("HTTP/1.1", 1) == std::string::npos);
      CPPUNIT_ASSERT(!Text.ends_with("0\r\n\r\n"));
    }
  }

  auto plain_refusalOfAnotherRequest_isNotTakenForThisOne() -> void {
    for (const auto *Head : {"HTTP/1.1 503 Service Unavailable\r\n"
                             "X-Limpetbridge-Not-Executed: 1\r\n",
                             "HTTP/1.1 429 Too Many Requests\r\n"
                             "X-Limpetbridge-Not-Executed: 1\r\n",
                             "HTTP/1.1 421 Misdirected Request\r\n"}) {
      const auto Bytes = std::string(Head) +
                         "X-Limpetbridge-Attempt-Id: earlier\r\n"
                         "Content-Length: 0\r\n\r\n";
      answerRaw(*Ledger, Bytes, false);
      const auto Before = seenCount();
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{502},
                           Fleet->send("/pay/x", "b").Head.Status);
      CPPUNIT_ASSERT_EQUAL(Before + 1, seenCount());
    }
  }

  auto plain_statusOutOfRange_isOfUnknownOutcome() -> void {
    for (const auto &Bytes : answersOutOfRange()) {
      answerRaw(*Ledger, Bytes, false);
      const auto Before = seenCount();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, std::uint16_t{502},
                                   Fleet->send("/pay/x", "b").Head.Status);
      CPPUNIT_ASSERT_EQUAL(Before + 1, seenCount());
    }
  }

  auto stream_statusOutOfRange_isNotAnAnswer() -> void {
    for (const auto &Bytes : answersOutOfRange()) {
      answerRaw(*Engine, Bytes, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, std::uint16_t{502},
                                   chat("/chat/x").Head.Status);
    }
  }

  auto read_statusOutOfRange_isSentToAnotherTarget() -> void {
    auto &Second = Fleet->addWorker("w2", "ledger");
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet->metric("target_active{target=\"w2\"}") == 0; }));
    for (const auto &Bytes : answersOutOfRange()) {
      answerRaw(*Ledger, Bytes, false);
      for (int Count = 0; Count < 4; ++Count)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, std::uint16_t{200},
                                     Fleet->send("/read/x").Head.Status);
    }
    CPPUNIT_ASSERT(
        Fleet->Outside.call([&] { return !Second.Requests.empty(); }));
  }

private:
  /// Answers that are whole but for their status.
  static auto answersOutOfRange() -> std::vector<std::string> {
    std::vector<std::string> Answers;
    for (const auto *Status : {"000", "099", "600", "999"})
      Answers.push_back("HTTP/1.1 " + std::string(Status) +
                        " X\r\nX-Limpetbridge-Attempt-Id: $ID\r\n"
                        "X-Limpetbridge-Response-Signature: p\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Content-Length: 18\r\n\r\nid: 1\ndata: some\n\n");
    return Answers;
  }

  /// Answers that end before they are complete.
  static auto cutAnswers() -> std::vector<std::string> {
    const std::string Head = "HTTP/1.1 200 OK\r\n"
                             "X-Limpetbridge-Attempt-Id: $ID\r\n"
                             "X-Limpetbridge-Response-Signature: p\r\n"
                             "Content-Type: text/event-stream\r\n";
    std::vector<std::string> Answers = {"", "HTTP/1.1 20",
                                        "HTTP/1.1 200 OK\r\n", Head};
    for (const auto *Rest :
         {"Content-Le", "Content-Length: 10\r\n", "Content-Length: 10\r\n\r",
          "Content-Length: 10\r\n\r\n", "Content-Length: 10\r\n\r\nabc",
          "Connection: close\r\n", "Connection: close\r\n\r",
          "Connection: close\r\nContent-Length: 10\r\n\r\nabc",
          "Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n"})
      Answers.push_back(Head + Rest);
    return Answers;
  }

  auto answerRaw(worker_emulator &Worker, const std::string &Bytes, bool Reset)
      -> void {
    Fleet->Outside.call([&] {
      Worker.Behaviour = behaviour::Raw;
      Worker.RawAnswer = Bytes;
      Worker.RawReset = Reset;
      return 0;
    });
  }

  auto seenCount() -> std::size_t {
    return Fleet->Outside.call([&] { return Ledger->Requests.size(); });
  }

  auto chat(const std::string &Path) -> client_answer {
    return Fleet->send(Path, "prompt",
                       {{"X-Limpetbridge-Model", "a"},
                        {"X-Limpetbridge-Token-Usage", "100,20"},
                        {"X-Limpetbridge-Prompt-Prefix", "1:50,2:50"}});
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Ledger = nullptr;
  worker_emulator *Engine = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_answer_test);

} // namespace
