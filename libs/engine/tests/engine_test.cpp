/// \file
/// Tests of the client towards targets against the stand-ins.

#include "engine/target_client.h"
#include "engine_stand_in.h"
#include "service_stand_in.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <deque>
#include <mutex>

using namespace limpetbridge;

class engine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(engine_test);
  CPPUNIT_TEST(run_notLoaded_isRefused);
  CPPUNIT_TEST(run_engineDown_isBrokenNotRefused);
  CPPUNIT_TEST(run_resident_isWhole);
  CPPUNIT_TEST(order_answerLost_isNoAnswer);
  CPPUNIT_TEST(order_oldToken_isStale);
  CPPUNIT_TEST(call_answerLost_isBrokenAndBookedOnce);
  CPPUNIT_TEST(call_noListener_isUnsent);
  CPPUNIT_TEST_SUITE_END();

public:
  auto run_notLoaded_isRefused() -> void {
    const auto Client = clientTo(Engine.port());
    Client->execute(generation());
    CPPUNIT_ASSERT(take<target_ended>().End == target_end::Refused);
  }

  auto run_engineDown_isBrokenNotRefused() -> void {
    Engine.faults().Down = true;
    const auto Client = clientTo(Engine.port());
    Client->execute(generation());
    CPPUNIT_ASSERT(take<target_ended>().End == target_end::Broken);
  }

  auto run_resident_isWhole() -> void {
    const auto Client = clientTo(Engine.port());
    Client->execute(load(1));
    CPPUNIT_ASSERT(take<order_replied>().Status == order_status::Done);
    Client->execute(generation());
    const auto Ended = take<target_ended>();
    CPPUNIT_ASSERT(Ended.End == target_end::Whole);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, Ended.Total);
  }

  auto order_answerLost_isNoAnswer() -> void {
    Engine.faults().LoseAnswers = 1;
    const auto Client = clientTo(Engine.port());
    Client->execute(load(1));
    CPPUNIT_ASSERT(take<order_replied>().Status == order_status::NoAnswer);
  }

  auto order_oldToken_isStale() -> void {
    const auto Client = clientTo(Engine.port());
    Client->execute(load(9));
    CPPUNIT_ASSERT(take<order_replied>().Status == order_status::Done);
    Client->execute(load(3));
    const auto Reply = take<order_replied>();
    CPPUNIT_ASSERT(Reply.Status == order_status::Stale);
    CPPUNIT_ASSERT(Reply.Highest == fencing_token{9});
  }

  auto call_answerLost_isBrokenAndBookedOnce() -> void {
    service_stand_in Service(0);
    Service.faults().LoseAnswers = 1;
    const auto Client = clientTo(Service.port());
    Client->execute(booking());
    CPPUNIT_ASSERT(take<target_ended>().End == target_end::Broken);
    CPPUNIT_ASSERT_EQUAL(1, Service.bookings("payment"));
  }

  auto call_noListener_isUnsent() -> void {
    std::uint16_t Port = 0;
    {
      const service_stand_in Gone(0);
      Port = Gone.port();
    }
    const auto Client = clientTo(Port);
    Client->execute(booking());
    CPPUNIT_ASSERT(take<target_ended>().End == target_end::Unsent);
  }

private:
  auto clientTo(std::uint16_t Port) -> std::unique_ptr<target_client> {
    target_options Options;
    Options.Host = "127.0.0.1";
    Options.Port = Port;
    return std::make_unique<target_client>(Options, [this](event Event) {
      const std::lock_guard Lock(Mutex);
      Events.push_back(std::move(Event));
      Changed.notify_all();
    });
  }

  template <typename kind> auto take() -> kind {
    std::unique_lock Lock(Mutex);
    for (;;) {
      Changed.wait(Lock, [this] { return !Events.empty(); });
      const auto Event = Events.front();
      Events.pop_front();
      if (const auto *Found = std::get_if<kind>(&Event))
        return *Found;
    }
  }

  static auto load(std::uint64_t Token) -> send_order {
    return {{Token}, order_kind::Load, {model_name("m"), {}}, {1000}};
  }

  static auto generation() -> run_work {
    run_work Run;
    Run.Attempt = {{{1}, 1}, 1};
    Run.Work.Unit = model_name("m");
    Run.Work.MaxTokens = 3;
    Run.Work.Body = shareText("prompt");
    return Run;
  }

  static auto booking() -> run_work {
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
