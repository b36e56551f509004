#include "fleet_fixture.h"
#include "full_backlog.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// The way of a request through a real gateway.
class gateway_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_path_test);
  CPPUNIT_TEST(plain_request_comesBackSigned);
  CPPUNIT_TEST(plain_chunkedBody_isForwardedWhole);
  CPPUNIT_TEST(plain_ambiguousFraming_isRejectedAndNotForwarded);
  CPPUNIT_TEST(plain_expectContinue_isAskedForTheBody);
  CPPUNIT_TEST(plain_bodyTooLarge_isRejected);
  CPPUNIT_TEST(plain_slowHeader_isEnded);
  CPPUNIT_TEST(plain_unknownRoute_isNotFound);
  CPPUNIT_TEST(plain_refusedByOne_isServedByAnother);
  CPPUNIT_TEST(plain_runWithoutAnswer_isUnknownAndSeenOnce);
  CPPUNIT_TEST(plain_falsePromise_isNotPassedOn);
  CPPUNIT_TEST(plain_foreignAnswerFirst_isSkipped);
  CPPUNIT_TEST(plain_encodedAnswer_isNotASuccess);
  CPPUNIT_TEST(plain_unframedAnswer_isWhole);
  CPPUNIT_TEST(plain_unframedAndReset_isNotWhole);
  CPPUNIT_TEST(plain_noAnswer_endsAtTheTimeout);
  CPPUNIT_TEST(plain_callerLeaves_targetIsTold);
  CPPUNIT_TEST(stream_whole_isRelayedByteForByte);
  CPPUNIT_TEST(stream_cut_doesNotLookComplete);
  CPPUNIT_TEST(stream_cutButResumable_goesOnElsewhere);
  CPPUNIT_TEST(stop_streamInProgress_isFinished);
  CPPUNIT_TEST(stop_requestStillBeingSent_isAnswered);
  CPPUNIT_TEST(start_storeDown_servesWhenItIsBack);
  CPPUNIT_TEST(start_storeTurnsAway_servesByWhatAnotherGatewayKnows);
  CPPUNIT_TEST(drain_leavingWorker_getsNoMore);
  CPPUNIT_TEST(drain_whileConnecting_requestGoesElsewhere);
  CPPUNIT_TEST(settings_changedFile_isTakenOver);
  CPPUNIT_TEST(metrics_afterRequests_countThem);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    First = &Fleet->addWorker("w1", "ledger");
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto plain_request_comesBackSigned() -> void {
    start();
    const auto Answer = Fleet->send("/read/x?y=%20z");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Answer.Head.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /read/x?y=%20z "), Answer.Body);
    CPPUNIT_ASSERT_EQUAL(
        std::string("proof-w1"),
        std::string(net::findField(Answer.Head.Fields,
                                   "X-Limpetbridge-Response-Signature")));
  }

  auto plain_chunkedBody_isForwardedWhole() -> void {
    start();
    const auto Text = Fleet->sendRaw(
        "POST /read/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "X-Limpetbridge-Attempt-Id: 9\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(Text.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Text.ends_with("POST /read/x abcde"));
  }

  auto plain_ambiguousFraming_isRejectedAndNotForwarded() -> void {
    start();
    const std::string Begin = "POST /read/x HTTP/1.1\r\n";
    for (const auto *Head :
         {"Host: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Host: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
          "Host: h\r\nContent-Length: 3, 3\r\n",
          "Host: h\r\nContent-Length: +3\r\n",
          "Host: h\r\nTransfer-Encoding: xchunked\r\n",
          "Host: h\r\nTransfer-Encoding: chunked, identity\r\n",
          "Host: h\r\nTransfer-Encoding : chunked\r\n",
          "Host: h\r\nHost: i\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\n"}) {
      const auto Text = Fleet->sendRaw(Begin + Head + "\r\n3\r\nabc\r\n");
      CPPUNIT_ASSERT_MESSAGE(Head, Text.starts_with("HTTP/1.1 400"));
    }
    const auto Absolute =
        Fleet->sendRaw("GET http://h/read/x HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(Absolute.starts_with("HTTP/1.1 400"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, seen(*First).size());
  }

  auto plain_expectContinue_isAskedForTheBody() -> void {
    start();
    const auto Text = Fleet->sendRaw(
        "POST /read/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "X-Limpetbridge-Attempt-Id: 9\r\nContent-Length: 3\r\n"
        "Expect: 100-continue\r\n\r\nabc");
    CPPUNIT_ASSERT(
        Text.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"));
    CPPUNIT_ASSERT(Text.ends_with("POST /read/x abc"));
    CPPUNIT_ASSERT(!net::hasField(seen(*First)[0].Request.Fields, "Expect"));
  }

  auto plain_bodyTooLarge_isRejected() -> void {
    start();
    const auto Text = Fleet->sendRaw("POST /read/x HTTP/1.1\r\nHost: h\r\n"
                                     "Content-Length: 100001\r\n\r\n");
    CPPUNIT_ASSERT(Text.starts_with("HTTP/1.1 413"));
  }

  auto plain_slowHeader_isEnded() -> void {
    start();
    const auto Text = Fleet->sendRaw("GET /read/x HTTP/1.1\r\nHost:");
    CPPUNIT_ASSERT(Text.starts_with("HTTP/1.1 408"));
  }

  auto plain_unknownRoute_isNotFound() -> void {
    start();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{404},
                         Fleet->send("/other/").Head.Status);
  }

  auto plain_refusedByOne_isServedByAnother() -> void {
    behave(*First, behaviour::Refuse);
    Fleet->addWorker("w2", "ledger");
    start();
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                           Fleet->send("/pay/x", "b").Head.Status);
  }

  auto plain_runWithoutAnswer_isUnknownAndSeenOnce() -> void {
    behave(*First, behaviour::ResetAfterRun);
    auto &Second = Fleet->addWorker("w2", "ledger");
    behave(Second, behaviour::ResetAfterRun);
    start();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502},
                         Fleet->send("/pay/x", "b").Head.Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         seen(*First).size() + seen(Second).size());
  }

  auto plain_falsePromise_isNotPassedOn() -> void {
    behave(*First, behaviour::FalsePromise);
    start();
    const auto Answer = Fleet->send("/pay/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502}, Answer.Head.Status);
    CPPUNIT_ASSERT(!net::hasField(Answer.Head.Fields,
                                  "X-Limpetbridge-Response-Signature"));
  }

  auto plain_foreignAnswerFirst_isSkipped() -> void {
    behave(*First, behaviour::ForeignFirst);
    start();
    CPPUNIT_ASSERT_EQUAL(std::string("POST /pay/x b"),
                         Fleet->send("/pay/x", "b").Body);
  }

  auto plain_encodedAnswer_isNotASuccess() -> void {
    behave(*First, behaviour::Encoded);
    start();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502},
                         Fleet->send("/pay/x", "b").Head.Status);
  }

  auto plain_unframedAnswer_isWhole() -> void {
    behave(*First, behaviour::Unframed);
    start();
    const auto Answer = Fleet->send("/pay/x", "b");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Answer.Head.Status);
    CPPUNIT_ASSERT(Answer.Whole);
  }

  auto plain_unframedAndReset_isNotWhole() -> void {
    behave(*First, behaviour::UnframedCut);
    start();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502},
                         Fleet->send("/pay/x", "b").Head.Status);
  }

  auto plain_noAnswer_endsAtTheTimeout() -> void {
    behave(*First, behaviour::Hang);
    start();
    const auto Began = process_clock::now();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{504},
                         Fleet->send("/pay/x", "b").Head.Status);
    const auto Took = process_clock::now() - Began;
    CPPUNIT_ASSERT(Took >= milliseconds(590));
    CPPUNIT_ASSERT(Took < milliseconds(1100));
  }

  auto plain_callerLeaves_targetIsTold() -> void {
    behave(*First, behaviour::Hang);
    start();
    Fleet->sendAndLeave("/read/x", milliseconds(150));
    CPPUNIT_ASSERT(eventually(
        [&] { return !seen(*First).empty() && seen(*First)[0].ClosedEarly; }));
  }

  auto stream_whole_isRelayedByteForByte() -> void {
    addEngine("e1", behaviour::Stream);
    start();
    const auto Answer = chat("/chat/x");
    CPPUNIT_ASSERT(Answer.Whole);
    CPPUNIT_ASSERT_EQUAL(wholeStream(), Answer.Body);
  }

  auto stream_cut_doesNotLookComplete() -> void {
    addEngine("e1", behaviour::CutStream);
    start();
    const auto Answer = chat("/chat/x");
    CPPUNIT_ASSERT(Answer.HasHead && !Answer.Whole);
  }

  auto stream_cutButResumable_goesOnElsewhere() -> void {
    auto &One = addEngine("e1", behaviour::CutStream);
    auto &Two = addEngine("e2", behaviour::Stream);
    start();
    for (int I = 0; I < 6 && seen(One).empty(); ++I) {
      const auto Answer = chat("/plan/x");
      CPPUNIT_ASSERT(Answer.Whole);
      CPPUNIT_ASSERT_EQUAL(wholeStream(), Answer.Body);
    }
    CPPUNIT_ASSERT(!seen(One).empty());
    CPPUNIT_ASSERT(!seen(Two).empty());
  }

  auto stop_streamInProgress_isFinished() -> void {
    auto &Engine = addEngine("e1", behaviour::Stream);
    Fleet->Outside.call([&] { return Engine.EventGapMs = 120; });
    start();
    auto Stopping = std::async(std::launch::async, [&] {
      usleep(200'000);
      Fleet->Gateway->requestStop();
    });
    const auto Answer = chat("/chat/x");
    Stopping.get();
    CPPUNIT_ASSERT(Answer.Whole);
    CPPUNIT_ASSERT_EQUAL(wholeStream(), Answer.Body);
    CPPUNIT_ASSERT(!Fleet->isReady());
  }

  auto stop_requestStillBeingSent_isAnswered() -> void {
    start();
    // The rest comes after idle connections were closed.
    const auto Text = Fleet->sendInParts(
        "POST /read/x HTTP/1.1\r\nHost: h\r\nX-Limpetbridge-Attempt-Id: 9\r\n"
        "Content-Length: 6\r\n\r\nabc",
        [&] { Fleet->Gateway->requestStop(); }, milliseconds(300), "def");
    CPPUNIT_ASSERT(Text.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Text.ends_with("POST /read/x abcdef"));
  }

  auto start_storeDown_servesWhenItIsBack() -> void {
    setDown(true);
    Fleet->startGateway();
    usleep(100'000);
    CPPUNIT_ASSERT(!Fleet->isReady());
    const auto Early = Fleet->send("/read/x");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, Early.Head.Status);
    CPPUNIT_ASSERT(net::hasField(Early.Head.Fields, "Retry-After"));
    setDown(false);
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->send("/read/x").Head.Status == 200; }));
  }

  auto start_storeTurnsAway_servesByWhatAnotherGatewayKnows() -> void {
    start();
    Fleet->startCutOffGateway();
    CPPUNIT_ASSERT(eventually([&] { return Fleet->isCutOffReady(); }));
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet->sendToCutOff("/read/x").Head.Status == 200; }));
    // Later changes arrive the same way.
    Fleet->addWorker("w2", "ledger");
    Fleet->Outside.call([&] { return First->Draining = true; });
    Fleet->publish("w1");
    CPPUNIT_ASSERT(eventually([&] {
      const auto Before = seen(*First).size();
      const bool Served = Fleet->sendToCutOff("/read/x").Head.Status == 200;
      return Served && seen(*First).size() == Before;
    }));
  }

  auto drain_leavingWorker_getsNoMore() -> void {
    auto &Second = Fleet->addWorker("w2", "ledger");
    start();
    Fleet->Outside.call([&] { return First->Draining = true; });
    Fleet->publish("w1");
    usleep(700'000);
    const auto Before = seen(*First).size();
    for (int I = 0; I < 5; ++I)
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                           Fleet->send("/read/x").Head.Status);
    CPPUNIT_ASSERT_EQUAL(Before, seen(*First).size());
    CPPUNIT_ASSERT(seen(Second).size() >= 5);
  }

  auto drain_whileConnecting_requestGoesElsewhere() -> void {
    full_backlog Full;
    const auto Publish = [&](const char *State) {
      auto Row = nlohmann::json::parse(First->row());
      Row["address"] = Full.address();
      Row["state"] = State;
      Fleet->Outside.call([&] {
        Fleet->Store->put("servers", "w1", Row.dump());
        return 0;
      });
    };
    Publish("ready");
    start();
    auto Sending = std::async(std::launch::async,
                              [&] { return Fleet->send("/slow/x", "b"); });
    usleep(100'000);
    auto &Second = Fleet->addWorker("w2", "ledger");
    Publish("draining");
    usleep(500'000);
    auto Accepted = Full.accept(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Sending.get().Head.Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen(Second).size());
    CPPUNIT_ASSERT(!Accepted.empty());
    for (auto &Socket : Accepted)
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Socket.available());
  }

  auto settings_changedFile_isTakenOver() -> void {
    start();
    const auto Reloads = [&] {
      const auto Page =
          Fleet->get(Fleet->Gateway->metricsAddress(), "/metrics");
      return Page && Page->Body.find("settings{kind=\"reloaded\"} 1\n") !=
                         std::string::npos;
    };
    Fleet->writeSettings("[retry]\nextra = many\n");
    CPPUNIT_ASSERT(!eventually(Reloads, seconds(3)));
    Fleet->writeSettings("[retry]\nextra = 7");
    CPPUNIT_ASSERT(!eventually(Reloads, seconds(3)));
    Fleet->writeSettings("");
    CPPUNIT_ASSERT(!eventually(Reloads, seconds(3)));
    Fleet->writeSettings("[retry]\nextra = 77\n");
    CPPUNIT_ASSERT(eventually(Reloads));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                         Fleet->send("/read/x").Head.Status);
  }

  auto metrics_afterRequests_countThem() -> void {
    start();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                         Fleet->send("/read/x").Head.Status);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{404}, Fleet->send("/none/").Head.Status);
    const auto Page = Fleet->get(Fleet->Gateway->metricsAddress(), "/metrics");
    CPPUNIT_ASSERT(Page.has_value());
    for (const auto *Line :
         {"attempts{kind=\"answered\"} 1\n", "refusals{kind=\"not_found\"} 1\n",
          "ready 1\n", "whole_answer_count{kind=\"read\"} 1\n"})
      CPPUNIT_ASSERT_MESSAGE(Line, Page->Body.find(Line) != std::string::npos);
  }

private:
  auto start() -> void {
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    // Targets are read by another call than the configuration.
    usleep(100'000);
  }

  auto addEngine(const char *Id, behaviour Behaviour) -> worker_emulator & {
    auto &Worker = Fleet->addWorker(Id, "models");
    behave(Worker, Behaviour);
    Fleet->Outside.call([&] { return Worker.Models.insert("a").second; });
    Fleet->publish(Id);
    return Worker;
  }

  /// The emulators live in a thread of their own: read and changed there.
  auto seen(const worker_emulator &Worker) -> std::vector<seen_request> {
    return Fleet->Outside.call([&] {
      std::vector<seen_request> Copies;
      for (const auto &Each : Worker.Requests)
        Copies.push_back(*Each);
      return Copies;
    });
  }

  auto behave(worker_emulator &Worker, behaviour Behaviour) -> void {
    Fleet->Outside.call([&] { return Worker.Behaviour = Behaviour; });
  }

  auto chat(const std::string &Path) -> client_answer {
    return Fleet->send(Path, "prompt",
                       {{"X-Limpetbridge-Model", "a"},
                        {"X-Limpetbridge-Token-Usage", "100,20"},
                        {"X-Limpetbridge-Prompt-Prefix", "1:50,2:50"}});
  }

  auto setDown(bool Down) -> void {
    Fleet->Outside.call([&] { return Fleet->Store->Faults.Down = Down; });
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *First = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_path_test);

} // namespace
