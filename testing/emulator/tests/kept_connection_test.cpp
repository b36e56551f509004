#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// An answer with the body \p Body, and \p Fields in its head.
auto answerText(const std::string &Body, const std::string &Fields = "")
    -> std::string {
  return std::string(raw_target::SignedHead) + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Connections to targets that carry several requests, through a real gateway.
/// The whole program also runs with kept connections; these are the cases that
/// need a later request on the same connection.
class kept_connection_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(kept_connection_test);
  CPPUNIT_TEST(requests_oneAfterAnother_useOneConnection);
  CPPUNIT_TEST(switchedOff_eachRequestHasItsConnection);
  CPPUNIT_TEST(contracts_wordPool_switchesItOn);
  CPPUNIT_TEST(secondAnswer_beforeTheNextOne_isNotTakenForIt);
  CPPUNIT_TEST(secondAnswer_whileResting_endsTheConnection);
  CPPUNIT_TEST(secondAnswer_withTheFirst_endsTheConnection);
  CPPUNIT_TEST(garbage_beforeTheNextAnswer_isNoAnswer);
  CPPUNIT_TEST(refusalWithoutId_onAKeptConnection_isNoProof);
  CPPUNIT_TEST(idleClose_seen_nextRequestUsesANewConnection);
  CPPUNIT_TEST(idleClose_unseen_repeatableRequestIsSentOnceMore);
  CPPUNIT_TEST(idleClose_unseen_otherRequestsRunAtMostOnce);
  CPPUNIT_TEST(answers_thatEndTheConnection_areNotFollowedByAnother);
  CPPUNIT_TEST(earlyAnswer_requestNotRead_connectionIsNotUsedAgain);
  CPPUNIT_TEST(attempt_endedEarly_closesItsConnection);
  CPPUNIT_TEST(keepAlive_statedTime_gatewayClosesBeforeIt);
  CPPUNIT_TEST(target_startsAgain_gatewayClosesItsConnections);
  CPPUNIT_TEST(stop_connectionsRest_areClosed);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeSettings = [this](node_settings &Settings) {
      Settings.KeepConnections = Keeps;
      Settings.TargetContracts = Contracts;
    };
    Fleet->publishConfiguration();
  }

  auto tearDown() -> void override {
    Fleet.reset();
    Keeps = true;
    Contracts.clear();
  }

  auto requests_oneAfterAnother_useOneConnection() -> void {
    for (const bool Stream : {false, true}) {
      tearDown();
      setUp();
      start(Stream ? "models" : "ledger",
            [Stream](raw_connection &Connection, int) -> net::awaitable<void> {
              for (;;) {
                const bool Read = co_await Connection.readHead();
                if (!Read)
                  co_return;
                co_await Connection.readBody();
                std::string Bytes = answerText(Connection.callId());
                if (Stream)
                  Bytes = std::string(raw_target::SignedHead) +
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n" +
                          net::serializeChunk("id: 1\ndata: x\n\n") +
                          "0\r\n\r\n";
                co_await Connection.write(std::move(Bytes));
              }
            });
      for (int Count = 1; Count <= 5; ++Count) {
        const auto Answer = Stream ? chat() : Fleet->send("/pay/x", "b");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Answer.Head.Status);
        CPPUNIT_ASSERT(Answer.Whole);
        CPPUNIT_ASSERT_EQUAL(Stream ? std::string("id: 1\ndata: x\n\n")
                                    : std::to_string(Count),
                             Answer.Body);
      }
      CPPUNIT_ASSERT_EQUAL(1, connections());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, reused());
    }
  }

  auto switchedOff_eachRequestHasItsConnection() -> void {
    Keeps = false;
    startEcho();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pay());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pay());
    CPPUNIT_ASSERT_EQUAL(2, connections());
  }

  auto contracts_wordPool_switchesItOn() -> void {
    for (const auto *Words : {"other, pool", "pools"}) {
      tearDown();
      Keeps = false;
      Contracts = Words;
      setUp();
      startEcho();
      pay();
      pay();
      CPPUNIT_ASSERT_EQUAL(Contracts == "pools" ? 2 : 1, connections());
    }
  }

  auto secondAnswer_beforeTheNextOne_isNotTakenForIt() -> void {
    // The target answers the first request once more, with its id or another
    // one, when the second request has arrived.
    for (const bool SameId : {true, false})
      for (const auto *Path : {"/pay/x", "/read/x"}) {
        tearDown();
        setUp();
        start(
            "ledger",
            [SameId](raw_connection &Connection, int) -> net::awaitable<void> {
              std::string Before;
              for (;;) {
                const bool Read = co_await Connection.readHead();
                if (!Read)
                  co_return;
                co_await Connection.readBody();
                if (!Before.empty()) {
                  auto Late = answerText("late");
                  Late.replace(Late.find("$ID"), 3, SameId ? Before : "other");
                  co_await Connection.write(std::move(Late));
                }
                Before = Connection.callId();
                auto Own = answerText(Before);
                co_await Connection.write(std::move(Own));
              }
            });
        CPPUNIT_ASSERT_EQUAL(std::string("1"), Fleet->send(Path).Body);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), Fleet->send(Path).Body);
        // The connection has carried an answer that was not asked for.
        CPPUNIT_ASSERT_EQUAL(std::string("3"), Fleet->send(Path).Body);
        CPPUNIT_ASSERT_EQUAL(2, connections());
      }
  }

  auto secondAnswer_whileResting_endsTheConnection() -> void {
    start("ledger",
          [](raw_connection &Connection, int) -> net::awaitable<void> {
            const bool Read = co_await Connection.readHead();
            if (!Read)
              co_return;
            auto Bytes = answerText(Connection.callId());
            co_await Connection.write(std::move(Bytes));
            co_await net::sleepFor(milliseconds(50));
            Bytes = answerText("late");
            co_await Connection.write(std::move(Bytes));
            co_await Connection.readHead();
          });
    pay();
    CPPUNIT_ASSERT(eventually([&] { return closed("stray_bytes") == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Fleet->send("/pay/x").Body);
  }

  auto secondAnswer_withTheFirst_endsTheConnection() -> void {
    for (const std::string &More : {answerText("late"), std::string("x")}) {
      tearDown();
      setUp();
      start("ledger",
            [More](raw_connection &Connection, int) -> net::awaitable<void> {
              const bool Read = co_await Connection.readHead();
              if (!Read)
                co_return;
              auto Bytes = answerText(Connection.callId()) + More;
              co_await Connection.write(std::move(Bytes));
              co_await Connection.readHead();
            });
      for (const auto *Body : {"1", "2", "3"})
        CPPUNIT_ASSERT_EQUAL(std::string(Body), Fleet->send("/pay/x").Body);
      CPPUNIT_ASSERT_EQUAL(3, connections());
    }
  }

  auto garbage_beforeTheNextAnswer_isNoAnswer() -> void {
    start("ledger",
          [](raw_connection &Connection, int) -> net::awaitable<void> {
            auto Bytes = answerText("own");
            for (bool First = true;; First = false) {
              const bool Read = co_await Connection.readHead();
              if (!Read)
                co_return;
              auto Written = First ? Bytes : "garbage\r\n\r\n" + Bytes;
              co_await Connection.write(std::move(Written));
            }
          });
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pay());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502}, pay());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests());
  }

  auto refusalWithoutId_onAKeptConnection_isNoProof() -> void {
    // It may be a late one to the request before.
    start("ledger",
          [](raw_connection &Connection, int) -> net::awaitable<void> {
            auto Bytes = answerText("own");
            for (;;) {
              const bool Read = co_await Connection.readHead();
              if (!Read)
                co_return;
              co_await Connection.write(std::move(Bytes));
              Bytes = "HTTP/1.1 503 X\r\nX-Limpetbridge-Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n";
            }
          });
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pay());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502}, pay());
  }

  auto idleClose_seen_nextRequestUsesANewConnection() -> void {
    for (const bool Reset : {false, true}) {
      tearDown();
      setUp();
      start("ledger",
            [Reset](raw_connection &Connection, int) -> net::awaitable<void> {
              const bool Read = co_await Connection.readHead();
              if (!Read)
                co_return;
              auto Bytes = answerText("own", "Keep-Alive: timeout=9\r\n");
              co_await Connection.write(std::move(Bytes));
              co_await net::sleepFor(milliseconds(50));
              if (Reset)
                Connection.reset();
            });
      pay();
      CPPUNIT_ASSERT(eventually([&] { return closed("peer_closed") == 1; }));
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pay());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests());
    }
  }

  auto idleClose_unseen_repeatableRequestIsSentOnceMore() -> void {
    startResetting();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Fleet->send("/read/x").Body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Fleet->send("/read/x").Body);
    CPPUNIT_ASSERT_EQUAL(2, connections());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, requests());
  }

  auto idleClose_unseen_otherRequestsRunAtMostOnce() -> void {
    startResetting();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pay());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502}, pay());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests());
  }

  auto answers_thatEndTheConnection_areNotFollowedByAnother() -> void {
    for (const std::string &Answer :
         {answerText("x", "Connection: close\r\n"),
          answerText("x", "Keep-Alive: timeout=0\r\n"),
          answerText("x", "Server-Leaving: 1\r\n")}) {
      tearDown();
      setUp();
      startEcho(Answer);
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pay());
      // The target sees the end of the connection.
      CPPUNIT_ASSERT_MESSAGE(Answer, eventually([&] { return Ended == 1; }));
    }
  }

  auto earlyAnswer_requestNotRead_connectionIsNotUsedAgain() -> void {
    constexpr std::size_t LongBodyBytes = std::size_t{24} << 20U;
    Fleet->ChangeConfiguration = [](nlohmann::json &Configuration) {
      Configuration["limits"]["max_body_bytes"] = 2 * LongBodyBytes;
    };
    Fleet->publishConfiguration();
    start("ledger",
          [](raw_connection &Connection, int) -> net::awaitable<void> {
            const bool Read = co_await Connection.readHead();
            if (!Read)
              co_return;
            auto Bytes = answerText(Connection.callId());
            co_await Connection.write(std::move(Bytes));
            // It goes on reading later.
            co_await net::sleepFor(milliseconds(200));
            co_await Connection.readBody();
            co_await Connection.readHead();
          });
    const auto Long = Fleet->send("/slow/x", std::string(LongBodyBytes, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Long.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Fleet->send("/pay/x").Body);
    CPPUNIT_ASSERT_EQUAL(2, connections());
  }

  auto attempt_endedEarly_closesItsConnection() -> void {
    for (const bool CallerLeaves : {true, false}) {
      tearDown();
      setUp();
      startEcho("none");
      if (CallerLeaves)
        Fleet->sendAndLeave("/slow/x", milliseconds(100));
      else
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{504}, pay());
      CPPUNIT_ASSERT(eventually([&] { return Ended == 1; }));
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                           Fleet->metric("target_connections_idle"));
    }
  }

  auto keepAlive_statedTime_gatewayClosesBeforeIt() -> void {
    startEcho(answerText("own", "Keep-Alive: timeout=1, max=9\r\n"));
    pay();
    CPPUNIT_ASSERT(eventually([&] { return Ended == 1; }, milliseconds(950)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, closed("expired"));
  }

  auto target_startsAgain_gatewayClosesItsConnections() -> void {
    startEcho(answerText("own", "Keep-Alive: timeout=60\r\n"));
    pay();
    auto Row = nlohmann::json::parse(Fleet->RawTargets["r1"]->row("ledger"));
    Row["born"] = 2000;
    Fleet->Outside.call([&] {
      Fleet->Store->put("servers", "r1", Row.dump());
      return 0;
    });
    CPPUNIT_ASSERT(eventually([&] { return Ended == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, closed("target_changed"));
  }

  auto stop_connectionsRest_areClosed() -> void {
    startEcho(answerText("own", "Keep-Alive: timeout=60\r\n"));
    pay();
    // The caller's connection keeps the gateway from its end.
    Fleet->sendInParts(
        "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Limpetbridge-Attempt-Id: 9\r\n",
        [&] { Fleet->Gateway->requestStop(); }, milliseconds(300),
        "Connection: close\r\n\r\n");
    CPPUNIT_ASSERT(eventually([&] { return Ended == 2; }));
    CPPUNIT_ASSERT_EQUAL(2, connections());
  }

private:
  /// Starts a gateway and a target of \p Service that serves each connection
  /// with \p Serve.
  auto start(const char *Service, decltype(raw_target::Serve) Serve) -> void {
    Fleet->addRawTarget("r1", Service, std::move(Serve));
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet->metric("target_active{target=\"r1\"}") == 0; }));
  }

  /// A target that gives the same answer to each request, or none to any, and
  /// counts in Ended the connections that the gateway has closed.
  auto startEcho(const std::string &Answer = answerText("own")) -> void {
    Ended = 0;
    start("ledger",
          [this, Answer](raw_connection &Connection,
                         int) -> net::awaitable<void> {
            for (;;) {
              const bool Read = co_await Connection.readHead();
              if (!Read)
                break;
              co_await Connection.readBody();
              auto Bytes = Answer;
              if (Bytes != "none")
                co_await Connection.write(std::move(Bytes));
            }
            ++Ended;
          });
  }

  /// A target that resets the second request of its first connection.
  auto startResetting() -> void {
    start("ledger",
          [](raw_connection &Connection, int Number) -> net::awaitable<void> {
            for (int Count = 1;; ++Count) {
              const bool Read = co_await Connection.readHead();
              if (!Read)
                co_return;
              if (Number == 1 && Count == 2)
                co_return Connection.reset();
              auto Bytes = answerText(Connection.callId());
              co_await Connection.write(std::move(Bytes));
            }
          });
  }

  auto pay() -> std::uint16_t { return Fleet->send("/pay/x", "b").Head.Status; }
  auto chat() -> client_answer {
    return Fleet->send("/chat/x", "prompt",
                       {{"X-Limpetbridge-Model", "a"},
                        {"X-Limpetbridge-Token-Usage", "100,20"},
                        {"X-Limpetbridge-Prompt-Prefix", "1:50,2:50"}});
  }

  auto connections() -> int {
    return Fleet->Outside.call(
        [&] { return Fleet->RawTargets["r1"]->ConnectionCount; });
  }
  auto requests() -> std::size_t {
    return Fleet->Outside.call(
        [&] { return Fleet->RawTargets["r1"]->Heads.size(); });
  }
  auto reused() -> std::int64_t {
    return Fleet->metric("target_connections{kind=\"reused\"}");
  }
  auto closed(const std::string &Reason) -> std::int64_t {
    return Fleet->metric("target_connections_closed{kind=\"" + Reason + "\"}");
  }

  bool Keeps = true;
  std::string Contracts;
  std::atomic<int> Ended{0};
  std::unique_ptr<fleet> Fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(kept_connection_test);

} // namespace
