#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Second attempts at slow requests, through a real gateway with two targets.
/// Whichever of them gets the first request after the usual ones stalls.
class hedged_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(hedged_request_test);
  CPPUNIT_TEST(stalledTarget_answerComesFromTheOther);
  CPPUNIT_TEST(stalledStream_anyPartOfItsFirstEvent_isNotMixed);
  CPPUNIT_TEST(hedge_serverError_firstAnswerIsRelayed);
  CPPUNIT_TEST(hedge_bothServerErrors_oneIsRelayed);
  CPPUNIT_TEST(hedge_firstAttemptBreaksOff_hedgeAnswers);
  CPPUNIT_TEST(hedge_callerLeaves_bothConnectionsAreClosed);
  CPPUNIT_TEST(switchedOff_stalledTarget_noSecondAttempt);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    MaxExtraPercent = 20;
    StallTime = SecondTime = duration::zero();
  }
  auto tearDown() -> void override { Fleet.reset(); }

  auto stalledTarget_answerComesFromTheOther() -> void {
    start("ledger", {Plain, "", Plain});
    CPPUNIT_ASSERT_EQUAL(std::string("usual"), Fleet->send("/read/x").Body);
    CPPUNIT_ASSERT(eventually([&] { return ClosedStalled == 1; }));
    expectHedges(1, 1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                         Fleet->metric("attempts{kind=\"cancelled\"}"));
    // Both targets serve on, and nothing is counted as in progress there.
    CPPUNIT_ASSERT_EQUAL(std::string("usual"), Fleet->send("/read/x").Body);
    for (const auto *Id : {"r1", "r2"})
      CPPUNIT_ASSERT(eventually([&] {
        return Fleet->metric("target_active{target=\"" + std::string(Id) +
                             "\"}") == 0;
      }));
  }

  auto stalledStream_anyPartOfItsFirstEvent_isNotMixed() -> void {
    for (const auto &Begun :
         {std::string(), StreamHead,
          StreamHead + net::serializeChunk("id: 1\n"),
          StreamHead + net::serializeChunk("id: 1\ndata: from the sta")}) {
      start("models", {Stream, Begun, Stream});
      const auto Answer = plan();
      CPPUNIT_ASSERT(Answer.Whole);
      CPPUNIT_ASSERT_EQUAL(std::string(Events), Answer.Body);
      CPPUNIT_ASSERT(eventually([&] { return ClosedStalled == 1; }));
      expectHedges(1, 1);
    }
  }

  auto hedge_serverError_firstAnswerIsRelayed() -> void {
    StallTime = milliseconds(500);
    start("ledger",
          {Plain, answer("200 OK", "late"), answer("500 E", "error")});
    const auto Answer = Fleet->send("/read/x");
    CPPUNIT_ASSERT_EQUAL(std::string("late"), Answer.Body);
    expectHedges(1, 0);
  }

  auto hedge_bothServerErrors_oneIsRelayed() -> void {
    // The hedge fails before the first attempt, or after it.
    for (const auto Time : {milliseconds(0), milliseconds(1000)}) {
      StallTime = milliseconds(500);
      SecondTime = Time;
      start("ledger",
            {Plain, answer("500 E", "first"), answer("500 E", "second")});
      const auto Answer = Fleet->send("/read/x");
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{500}, Answer.Head.Status);
      CPPUNIT_ASSERT(Answer.Body == "first" || Answer.Body == "second");
      CPPUNIT_ASSERT(Answer.Whole);
    }
  }

  auto hedge_firstAttemptBreaksOff_hedgeAnswers() -> void {
    StallTime = milliseconds(500);
    SecondTime = milliseconds(1000);
    start("ledger", {Plain, Reset, Plain});
    CPPUNIT_ASSERT_EQUAL(std::string("usual"), Fleet->send("/read/x").Body);
    expectHedges(1, 0);
  }

  auto hedge_callerLeaves_bothConnectionsAreClosed() -> void {
    start("ledger", {Plain, "", ""});
    Fleet->sendAndLeave("/read/x", milliseconds(500));
    CPPUNIT_ASSERT(eventually([&] { return ClosedStalled == 2; }));
    expectHedges(1, 0);
  }

  auto switchedOff_stalledTarget_noSecondAttempt() -> void {
    MaxExtraPercent = 0;
    start("ledger", {Plain, "", Plain});
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{504},
                         Fleet->send("/read/x").Head.Status);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1},
                         Fleet->metric("hedges{kind=\"sent\"}"));
  }

private:
  /// What targets write. An attempt that writes no whole answer stalls.
  struct script {
    std::string Usual;
    std::string First;  ///< Of the first attempt after the usual requests.
    std::string Second; ///< Of the next one.
  };

  static auto answer(const std::string &Status, const std::string &Body)
      -> std::string {
    return "HTTP/1.1 " + Status +
           "\r\nX-Limpetbridge-Attempt-Id: $ID\r\n"
           "X-Limpetbridge-Response-Signature: p\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  /// Starts two targets and a gateway, which learns the usual time.
  auto start(const char *Service, const script &Script) -> void {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeSettings = [this](node_settings &Settings) {
      Settings.MaxExtraPercent = MaxExtraPercent;
    };
    Fleet->ChangeConfiguration = [](nlohmann::json &Changed) {
      for (auto &Route : Changed["routes"])
        Route["timeout_ms"] = 2500;
    };
    Fleet->publishConfiguration();
    Attempts = 0;
    ClosedStalled = 0;
    for (const auto *Id : {"r1", "r2"})
      Fleet->addRawTarget(
          Id, Service,
          [this, Script](raw_connection &Connection,
                         int) -> net::awaitable<void> {
            for (;;) {
              const bool Read = co_await Connection.readHead();
              if (!Read)
                co_return;
              co_await Connection.readBody();
              const int Attempt = ++Attempts;
              auto Bytes = Attempt == Usual + 1   ? Script.First
                           : Attempt == Usual + 2 ? Script.Second
                                                  : Script.Usual;
              if (Attempt == Usual + 1 && StallTime > duration::zero())
                co_await net::sleepFor(StallTime);
              if (Attempt == Usual + 2 && SecondTime > duration::zero())
                co_await net::sleepFor(SecondTime);
              if (Bytes == Reset)
                co_return Connection.reset();
              const bool Stalls = Bytes.empty() || isPart(Bytes);
              if (!Bytes.empty())
                co_await Connection.write(std::move(Bytes));
              if (!Stalls)
                continue;
              co_await Connection.readHead();
              ++ClosedStalled;
              co_return;
            }
          });
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    for (const auto *Id : {"r1", "r2"})
      CPPUNIT_ASSERT(eventually([&] {
        return Fleet->metric("target_active{target=\"" + std::string(Id) +
                             "\"}") == 0;
      }));
    for (int Count = 0; Count < Usual; ++Count)
      CPPUNIT_ASSERT(Script.Usual == Plain
                         ? Fleet->send("/read/x").Body == "usual"
                         : plan().Body == Events);
  }

  /// True if \p Bytes begin a stream and do not end it.
  static auto isPart(const std::string &Bytes) -> bool {
    return Bytes.starts_with(StreamHead) && !Bytes.ends_with("0\r\n\r\n");
  }

  auto plan() -> client_answer {
    return Fleet->send("/plan/x", "prompt",
                       {{"X-Limpetbridge-Model", "a"},
                        {"X-Limpetbridge-Token-Usage", "100,20"},
                        {"X-Limpetbridge-Prompt-Prefix", "1:50,2:50"}});
  }

  auto expectHedges(std::int64_t Sent, std::int64_t Won) -> void {
    const auto Count = [&](const char *Kind) {
      return std::max(
          std::int64_t{0},
          Fleet->metric("hedges{kind=\"" + std::string(Kind) + "\"}"));
    };
    CPPUNIT_ASSERT_EQUAL(Sent, Count("sent"));
    CPPUNIT_ASSERT_EQUAL(Won, Count("won"));
  }

  /// The last usual request is the one that the usual time is known from.
  static constexpr int Usual = serving::answer_times::MinSamples;
  static constexpr const char *Reset = "reset";
  static constexpr const char *Events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
  inline static const std::string StreamHead =
      std::string(raw_target::SignedHead) +
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  inline static const std::string Stream =
      StreamHead + net::serializeChunk(Events) + "0\r\n\r\n";
  inline static const std::string Plain = answer("200 OK", "usual");

  double MaxExtraPercent = 20;
  duration StallTime = duration::zero();  ///< Before the first attempt's bytes.
  duration SecondTime = duration::zero(); ///< Before the second one's.
  std::atomic<int> Attempts = 0;
  std::atomic<int> ClosedStalled = 0; ///< Connections that the gateway closed.
  std::unique_ptr<fleet> Fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedged_request_test);

} // namespace
