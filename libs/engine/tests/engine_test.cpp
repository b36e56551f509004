/// \file
/// Tests of target_client against a stand-in engine and service.

#include "engine/target_client.h"
#include "engine_stand_in.h"
#include "scripted_server.h"
#include "service_stand_in.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <deque>
#include <mutex>

using namespace limpetbridge;

class engine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(engine_test);
  CPPUNIT_TEST(run_modelNotLoaded_isRefused);
  CPPUNIT_TEST(run_engineDown_isBrokenNotRefused);
  CPPUNIT_TEST(run_modelLoaded_endsWhole);
  CPPUNIT_TEST(order_replyLost_isNoAnswer);
  CPPUNIT_TEST(order_oldToken_isStale);
  CPPUNIT_TEST(call_replyLost_isBrokenAndExecutedOnce);
  CPPUNIT_TEST(call_noListener_isUnsent);
  CPPUNIT_TEST(run_refusalOfTheRunBeforeWrittenAgain_isNotTakenForThisOne);
  CPPUNIT_TEST(call_answerCutAnywhere_isBroken);
  CPPUNIT_TEST(run_answerCutAnywhere_isBroken);
  CPPUNIT_TEST(run_lineNeverEnds_isBrokenAndBounded);
  CPPUNIT_TEST(call_bodyNeverEnds_isBrokenAndBounded);
  CPPUNIT_TEST(call_headNeverEnds_isBrokenAndBounded);
  CPPUNIT_TEST(call_partThenResetDuringTheUpload_isBroken);
  CPPUNIT_TEST(run_partThenResetDuringTheUpload_isBroken);
  CPPUNIT_TEST(call_statusOutOfRange_isBroken);
  CPPUNIT_TEST(run_statusOutOfRange_isBrokenWithoutOutput);
  CPPUNIT_TEST(order_statusOutOfRange_isNoAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  auto run_modelNotLoaded_isRefused() -> void {
    const auto Client = makeClient(Engine.port());
    Client->execute(makeGeneration());
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Refused);
  }

  auto run_engineDown_isBrokenNotRefused() -> void {
    Engine.faults().Down = true;
    const auto Client = makeClient(Engine.port());
    Client->execute(makeGeneration());
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Broken);
  }

  auto run_modelLoaded_endsWhole() -> void {
    const auto Client = makeClient(Engine.port());
    Client->execute(makeLoad(1));
    CPPUNIT_ASSERT(waitFor<order_replied>().Status == order_status::Done);
    Client->execute(makeGeneration());
    const auto Ended = waitFor<target_ended>();
    CPPUNIT_ASSERT(Ended.End == target_end::Whole);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, Ended.Total);
  }

  auto order_replyLost_isNoAnswer() -> void {
    Engine.faults().LoseAnswers = 1;
    const auto Client = makeClient(Engine.port());
    Client->execute(makeLoad(1));
    CPPUNIT_ASSERT(waitFor<order_replied>().Status == order_status::NoAnswer);
  }

  auto order_oldToken_isStale() -> void {
    const auto Client = makeClient(Engine.port());
    Client->execute(makeLoad(9));
    CPPUNIT_ASSERT(waitFor<order_replied>().Status == order_status::Done);
    Client->execute(makeLoad(3));
    const auto Reply = waitFor<order_replied>();
    CPPUNIT_ASSERT(Reply.Status == order_status::Stale);
    CPPUNIT_ASSERT(Reply.Highest == fencing_token{9});
  }

  auto call_replyLost_isBrokenAndExecutedOnce() -> void {
    service_stand_in Service(0);
    Service.faults().LoseAnswers = 1;
    const auto Client = makeClient(Service.port());
    Client->execute(makeBooking());
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Broken);
    CPPUNIT_ASSERT_EQUAL(1, Service.bookings("payment"));
  }

  auto call_noListener_isUnsent() -> void {
    std::uint16_t Port = 0;
    {
      const service_stand_in Closed(0);
      Port = Closed.port();
    }
    const auto Client = makeClient(Port);
    Client->execute(makeBooking());
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Unsent);
  }

  auto run_refusalOfTheRunBeforeWrittenAgain_isNotTakenForThisOne() -> void {
    const std::string Refusal =
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    const std::string Lines =
        "{\"offset\":0,\"pieces\":[\"a\"]}\n{\"total\":1}\n";
    const std::string Whole =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Lines.size()) +
        "\r\n\r\n" + Lines;
    scripted_server Server({{Refusal, false, false, Refusal}, {Whole}});
    const auto Client = makeClient(Server.port(), 1);
    Client->execute(makeGeneration());
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Refused);
    usleep(200'000);
    Client->execute(makeGeneration());
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Whole);
  }

  auto run_lineNeverEnds_isBrokenAndBounded() -> void {
    checkEndless("HTTP/1.1 200 OK\r\n\r\n", std::string(16384, 'x'),
                 makeGeneration());
  }

  auto call_bodyNeverEnds_isBrokenAndBounded() -> void {
    checkEndless("HTTP/1.1 200 OK\r\n\r\n", std::string(16384, 'x'),
                 makeBooking());
  }

  auto call_headNeverEnds_isBrokenAndBounded() -> void {
    checkEndless("HTTP/1.1 200 OK\r\n",
                 "X-Field: " + std::string(1000, 'x') + "\r\n", makeBooking());
  }

  auto call_answerCutAnywhere_isBroken() -> void {
    for (const auto &Bytes : cutAnswers())
      for (const bool Reset : {false, true}) {
        scripted_server Server({{Bytes, true, Reset}});
        const auto Client = makeClient(Server.port());
        Client->execute(makeBooking());
        CPPUNIT_ASSERT_MESSAGE(Bytes, waitFor<target_ended>().End ==
                                          target_end::Broken);
      }
  }

  auto run_answerCutAnywhere_isBroken() -> void {
    for (const auto &Bytes : cutAnswers())
      for (const bool Reset : {false, true}) {
        scripted_server Server({{Bytes, true, Reset}});
        const auto Client = makeClient(Server.port());
        Client->execute(makeGeneration());
        CPPUNIT_ASSERT_MESSAGE(Bytes, waitFor<target_ended>().End ==
                                          target_end::Broken);
      }
  }

  auto call_partThenResetDuringTheUpload_isBroken() -> void {
    scripted_server Server({earlyPart()});
    const auto Client = makeClient(Server.port());
    auto Booking = makeBooking();
    Booking.Work.Body = shareText(std::string(LongBodyBytes, 'x'));
    Client->execute(Booking);
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Broken);
  }

  auto run_partThenResetDuringTheUpload_isBroken() -> void {
    scripted_server Server({earlyPart()});
    const auto Client = makeClient(Server.port());
    auto Generation = makeGeneration();
    Generation.Work.Body = shareText(std::string(LongBodyBytes, 'x'));
    Client->execute(Generation);
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Broken);
  }

  auto call_statusOutOfRange_isBroken() -> void {
    for (const auto &Answer : answersOutOfRange("{}")) {
      scripted_server Server({{Answer}});
      const auto Client = makeClient(Server.port());
      Client->execute(makeBooking());
      CPPUNIT_ASSERT_MESSAGE(Answer,
                             waitFor<target_ended>().End == target_end::Broken);
    }
  }

  auto run_statusOutOfRange_isBrokenWithoutOutput() -> void {
    for (const auto &Answer : answersOutOfRange(
             "{\"offset\":0,\"pieces\":[\"a\"]}\n{\"total\":1}\n")) {
      scripted_server Server({{Answer}});
      const auto Client = makeClient(Server.port());
      Client->execute(makeGeneration());
      // The first event: there is no output before the end.
      const auto First = waitForAny();
      const auto *Ended = std::get_if<target_ended>(&First);
      CPPUNIT_ASSERT_MESSAGE(Answer, Ended != nullptr);
      CPPUNIT_ASSERT_MESSAGE(Answer, Ended->End == target_end::Broken);
    }
  }

  auto order_statusOutOfRange_isNoAnswer() -> void {
    for (const auto &Answer : answersOutOfRange("{\"highest\":7}")) {
      scripted_server Server({{Answer}});
      const auto Client = makeClient(Server.port());
      Client->execute(makeLoad(1));
      CPPUNIT_ASSERT_MESSAGE(Answer, waitFor<order_replied>().Status ==
                                         order_status::NoAnswer);
    }
  }

private:
  /// Answers that are whole but for their status.
  static auto answersOutOfRange(const std::string &Body)
      -> std::vector<std::string> {
    std::vector<std::string> Answers;
    for (const auto *Status : {"000", "099", "600", "999"})
      Answers.push_back("HTTP/1.1 " + std::string(Status) +
                        " X\r\nContent-Length: " + std::to_string(Body.size()) +
                        "\r\n\r\n" + Body);
    return Answers;
  }

  /// More than the kernel buffers for a connection.
  static constexpr std::size_t LongBodyBytes = std::size_t{24} << 20U;

  /// Part of an answer that ends with the connection, before the request is
  /// read.
  static auto earlyPart() -> scripted_server::answer {
    scripted_server::answer Answer;
    Answer.Bytes = "HTTP/1.1 200 OK\r\n\r\n{\"offset\":0,\"pieces\":[]}\n";
    Answer.Reset = true;
    Answer.Early = true;
    return Answer;
  }

  /// An answer whose \p Part comes again and again ends the call before much
  /// was sent.
  auto checkEndless(const std::string &Start, const std::string &Part,
                    const run_work &Work) -> void {
    constexpr std::size_t MaxSent = std::size_t{32} << 20U;
    scripted_server Server({{Start, true, false, "", Part}});
    const auto Client = makeClient(Server.port(), 1);
    Client->execute(Work);
    CPPUNIT_ASSERT(waitFor<target_ended>().End == target_end::Broken);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Server.endlessCount()),
                           Server.endlessCount() < MaxSent);
  }

  /// Answers that end before they are complete.
  static auto cutAnswers() -> std::vector<std::string> {
    const std::string Head = "HTTP/1.1 200 OK\r\n";
    std::vector<std::string> Answers = {"", "HTTP/1.1 20"};
    for (const auto *Rest :
         {"", "Content-Le", "Content-Length: 10\r\n",
          "Content-Length: 10\r\n\r", "Content-Length: 10\r\n\r\n",
          "Content-Length: 10\r\n\r\nabc", "Connection: close\r\n",
          "Connection: close\r\n\r",
          "Connection: close\r\nContent-Length: 10\r\n\r\nabc",
          "Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"})
      Answers.push_back(Head + Rest);
    return Answers;
  }

  auto makeClient(std::uint16_t Port, std::size_t Slots = 16)
      -> std::unique_ptr<target_client> {
    target_options Options;
    Options.Slots = Slots;
    Options.Host = "127.0.0.1";
    Options.Port = Port;
    return std::make_unique<target_client>(Options, [this](event Event) {
      const std::lock_guard Lock(Mutex);
      Events.push_back(std::move(Event));
      Changed.notify_all();
    });
  }

  auto waitForAny() -> event {
    std::unique_lock Lock(Mutex);
    Changed.wait(Lock, [this] { return !Events.empty(); });
    auto Event = Events.front();
    Events.pop_front();
    return Event;
  }

  template <typename kind> auto waitFor() -> kind {
    for (;;) {
      const auto Event = waitForAny();
      if (const auto *Found = std::get_if<kind>(&Event))
        return *Found;
    }
  }

  static auto makeLoad(std::uint64_t Token) -> send_order {
    return {{Token}, order_kind::Load, {model_name("m"), {}}, {1000}};
  }

  static auto makeGeneration() -> run_work {
    run_work Run;
    Run.Attempt = {{{1}, 1}, 1};
    Run.Work.Unit = model_name("m");
    Run.Work.MaxTokens = 3;
    Run.Work.Body = shareText("prompt");
    return Run;
  }

  static auto makeBooking() -> run_work {
    run_work Run;
    Run.Attempt = {{{1}, 1}, 1};
    Run.Work.Kind = work_kind::Call;
    Run.Work.Operation = "book";
    Run.Work.Body = shareText("payment");
    Run.Work.Deadline = process_clock::now() + seconds(5);
    return Run;
  }

  engine_stand_in Engine{{0, 80'000'000'000, true, 0, 0, 1}};
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<event> Events;
};
CPPUNIT_TEST_SUITE_REGISTRATION(engine_test);
