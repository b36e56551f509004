#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// What targets say of themselves in their answers, through a real gateway.
/// Their rows say that they are ready.
class answer_notice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_notice_test);
  CPPUNIT_TEST(leaving_anyAnswer_laterRequestsGoElsewhere);
  CPPUNIT_TEST(leaving_stream_laterRequestsGoElsewhere);
  CPPUNIT_TEST(leaving_answerOfARequestInProgress_laterRequestsGoElsewhere);
  CPPUNIT_TEST(leaving_reportToTheController_laterRequestsDoNotArrive);
  CPPUNIT_TEST(refusal_retryAfter_requestsArriveAgainWhenItIsOver);
  CPPUNIT_TEST(refusal_retryAfterOfAllTargets_callerIsToldWhenToReturn);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto leaving_anyAnswer_laterRequestsGoElsewhere() -> void {
    for (const auto Behaviour :
         {behaviour::Answer, behaviour::Refuse, behaviour::Misdirect,
          behaviour::FailAfterRun, behaviour::FalsePromise, behaviour::Unframed,
          behaviour::UnframedCut, behaviour::ForeignFirst,
          behaviour::Encoded}) {
      tearDown();
      setUp();
      startWith(Behaviour, "ledger");
      untilItIsSeen("/read/x");
      const auto Before = seenCount(*Leaving);
      for (int I = 0; I < 10; ++I)
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                             Fleet->send("/read/x").Head.Status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(static_cast<int>(Behaviour)),
                                   Before, seenCount(*Leaving));
    }
  }

  auto leaving_stream_laterRequestsGoElsewhere() -> void {
    startWith(behaviour::Stream, "models");
    untilItIsSeen("/chat/x");
    const auto Before = seenCount(*Leaving);
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(send("/chat/x").Whole);
    CPPUNIT_ASSERT_EQUAL(Before, seenCount(*Leaving));
  }

  auto leaving_answerOfARequestInProgress_laterRequestsGoElsewhere() -> void {
    startWith(behaviour::Answer, "ledger");
    Fleet->Outside.call([&] {
      Leaving->Leaving = false;
      Leaving->AnswerDelayMs = 300;
      return 0;
    });
    // Enough at once that both targets get some.
    std::vector<std::future<client_answer>> Sending;
    Sending.reserve(6);
    for (int I = 0; I < 6; ++I)
      Sending.push_back(
          std::async(std::launch::async, [&] { return send("/slow/x"); }));
    CPPUNIT_ASSERT(eventually([&] { return seenCount(*Leaving) > 0; }));
    Fleet->Outside.call([&] { return Leaving->Leaving = true; });
    for (auto &Answer : Sending)
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Answer.get().Head.Status);
    const auto Before = seenCount(*Leaving);
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, send("/read/x").Head.Status);
    CPPUNIT_ASSERT_EQUAL(Before, seenCount(*Leaving));
  }

  auto leaving_reportToTheController_laterRequestsDoNotArrive() -> void {
    Leaving = &Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] {
      Leaving->Behaviour = behaviour::Stream;
      Leaving->Leaving = true;
      return Leaving->Models.insert("a").second;
    });
    Fleet->publish("e1");
    Fleet->startController("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    // The load of a missing model has the controller read the report.
    CPPUNIT_ASSERT(eventually([&] {
      send("/chat/x", "b");
      return send("/chat/x").Head.Status == 503;
    }));
    CPPUNIT_ASSERT(
        Fleet->Outside.call([&] { return Leaving->Orders.empty(); }));
    const auto Before = seenCount(*Leaving);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, send("/chat/x").Head.Status);
    CPPUNIT_ASSERT_EQUAL(Before, seenCount(*Leaving));
  }

  auto refusal_retryAfter_requestsArriveAgainWhenItIsOver() -> void {
    startWith(behaviour::Refuse, "ledger");
    Fleet->Outside.call([&] {
      Leaving->Leaving = false;
      Leaving->RetryAfter = "1.5";
      return 0;
    });
    untilItIsSeen("/read/x");
    const auto RefusedAt = process_clock::now();
    const auto Before = seenCount(*Leaving);
    while (process_clock::now() < RefusedAt + milliseconds(1400))
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, send("/read/x").Head.Status);
    CPPUNIT_ASSERT_EQUAL(Before, seenCount(*Leaving));
    CPPUNIT_ASSERT(eventually([&] {
      send("/read/x");
      return seenCount(*Leaving) > Before;
    }));
  }

  auto refusal_retryAfterOfAllTargets_callerIsToldWhenToReturn() -> void {
    Leaving = &Fleet->addWorker("w1", "ledger");
    Fleet->Outside.call([&] {
      Leaving->Behaviour = behaviour::Refuse;
      Leaving->RetryAfter = "2";
      return 0;
    });
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    untilItIsSeen("/read/x");
    const auto Before = seenCount(*Leaving);
    const auto Refused = send("/read/x");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, Refused.Head.Status);
    const auto RetryAfter = std::atof(
        std::string(net::findField(Refused.Head.Fields, "Retry-After"))
            .c_str());
    CPPUNIT_ASSERT(RetryAfter > 1 && RetryAfter < 2.3);
    CPPUNIT_ASSERT_EQUAL(Before, seenCount(*Leaving));
  }

private:
  /// A leaving target with \p Behaviour and one without faults.
  auto startWith(behaviour Behaviour, const char *Service) -> void {
    Leaving = &Fleet->addWorker("w1", Service);
    auto &Other = Fleet->addWorker("w2", Service);
    Fleet->Outside.call([&] {
      Leaving->Behaviour = Behaviour;
      Leaving->Leaving = true;
      Leaving->Models = {"a"};
      Other.Models = {"a"};
      if (Behaviour == behaviour::Stream)
        Other.Behaviour = behaviour::Stream;
      return 0;
    });
    Fleet->publish("w1");
    Fleet->publish("w2");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
  }

  auto send(const std::string &Path, const char *Model = "a") -> client_answer {
    if (Path != "/chat/x")
      return Fleet->send(Path);
    return Fleet->send(Path, "prompt",
                       {{"X-Limpetbridge-Model", Model},
                        {"X-Limpetbridge-Token-Usage", "100,20"},
                        {"X-Limpetbridge-Prompt-Prefix", "1:50,2:50"}});
  }

  auto untilItIsSeen(const std::string &Path) -> void {
    CPPUNIT_ASSERT(eventually([&] {
      send(Path);
      return seenCount(*Leaving) > 0;
    }));
  }

  auto seenCount(const worker_emulator &Worker) -> std::size_t {
    return Fleet->Outside.call([&] { return Worker.Requests.size(); });
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Leaving = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_notice_test);

} // namespace
