/// \file
/// Tests of the protobuf conversion and of the gRPC client and server.

#include "convert.h"
#include "wire/peer_client.h"
#include "wire/peer_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>

using namespace limpetbridge;

namespace {

/// Queue of events that any thread may add to.
class event_queue {
public:
  auto sink() -> event_sink {
    return [this](event Event) {
      const std::lock_guard Lock(Mutex);
      Events.push_back(std::move(Event));
      Changed.notify_all();
    };
  }

  /// Waits for an event of one kind and removes it; others stay queued.
  template <typename kind> auto waitFor() -> kind {
    std::unique_lock Lock(Mutex);
    for (;;) {
      for (auto Event = Events.begin(); Event != Events.end(); ++Event) {
        if (auto *Found = std::get_if<kind>(&*Event)) {
          auto Copy = *Found;
          Events.erase(Event);
          return Copy;
        }
      }
      Changed.wait(Lock);
    }
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<event> Events;
};

auto makeOffer() -> work_offered {
  work_offered Offer;
  Offer.Attempt = {{{7}, 8}, 9};
  Offer.Work.Unit = model_name("m");
  Offer.Work.Body = shareText("prompt");
  Offer.Work.Deadline = process_clock::now() + seconds(30);
  Offer.Work.Rank = 3;
  Offer.Revision = {12};
  return Offer;
}

} // namespace

class wire_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(wire_test);
  CPPUNIT_TEST(offer_encodedAndDecoded_keepsEveryField);
  CPPUNIT_TEST(deadline_receiverClockDiffers_keepsRemainingTime);
  CPPUNIT_TEST(stream_framesAndEnd_arriveInOrder);
  CPPUNIT_TEST(stream_serverStops_endsAsUnknown);
  CPPUNIT_TEST(offer_noListener_endsAsNotRun);
  CPPUNIT_TEST(offer_wrongToken_endsAsUnknown);
  CPPUNIT_TEST(cancel_openStream_reachesAgent);
  CPPUNIT_TEST_SUITE_END();

public:
  auto offer_encodedAndDecoded_keepsEveryField() -> void {
    const auto Now = process_clock::now();
    auto Offer = makeOffer();
    Offer.Work.Adapter = adapter_name("a");
    Offer.Work.Key = idempotency_key("k");
    Offer.ResumeOffset = 4;
    Offer.ResumeText = "abcd";
    Offer.HomeRank = 1;
    wire::WorkOffer Message;
    toWire(Offer, Now, Message);
    const auto Decoded = fromWire(Message, Now);
    CPPUNIT_ASSERT(Decoded.Attempt == Offer.Attempt);
    CPPUNIT_ASSERT(Decoded.Work.Unit == Offer.Work.Unit);
    CPPUNIT_ASSERT(Decoded.Work.Adapter == Offer.Work.Adapter);
    CPPUNIT_ASSERT(Decoded.Work.Key == Offer.Work.Key);
    CPPUNIT_ASSERT(Decoded.Work.Deadline == Offer.Work.Deadline);
    CPPUNIT_ASSERT(*Decoded.Work.Body == *Offer.Work.Body);
    CPPUNIT_ASSERT_EQUAL(Offer.ResumeText, Decoded.ResumeText);
    CPPUNIT_ASSERT(Decoded.HomeRank == 1 && Decoded.Revision == revision{12});
  }

  auto deadline_receiverClockDiffers_keepsRemainingTime() -> void {
    const time_point Sent(seconds(100));
    const time_point Received(seconds(900));
    auto Offer = makeOffer();
    Offer.Work.Deadline = Sent + seconds(5);
    wire::WorkOffer Message;
    toWire(Offer, Sent, Message);
    const auto Decoded = fromWire(Message, Received);
    CPPUNIT_ASSERT(Decoded.Work.Deadline == Received + seconds(5));
  }

  auto stream_framesAndEnd_arriveInOrder() -> void {
    auto Server = makeServer("");
    peer_client Client({instance_name("e"), ""}, Clock, EntryEvents.sink());
    Client.execute(makeAttemptFor(*Server));
    const auto Offer = AgentEvents.waitFor<work_offered>();
    for (std::uint32_t Offset = 0; Offset < 100; ++Offset)
      Server->execute(send_frame{Offer.Attempt, {Offset, {"x"}}});
    attempt_ended End;
    End.Attempt = Offer.Attempt;
    End.Outcome = run_outcome::Done;
    End.Total = 100;
    Server->execute(send_end{End});
    std::uint32_t Next = 0;
    while (Next < 100) {
      const auto Frame = EntryEvents.waitFor<attempt_progressed>().Frame;
      CPPUNIT_ASSERT_EQUAL(Next, Frame.Offset);
      Next += static_cast<std::uint32_t>(Frame.Pieces.size());
    }
    CPPUNIT_ASSERT(EntryEvents.waitFor<attempt_ended>().Total == 100);
  }

  auto stream_serverStops_endsAsUnknown() -> void {
    auto Server = makeServer("");
    peer_client Client({instance_name("e"), ""}, Clock, EntryEvents.sink());
    Client.execute(makeAttemptFor(*Server));
    AgentEvents.waitFor<work_offered>();
    Server.reset();
    const auto End = EntryEvents.waitFor<attempt_ended>();
    CPPUNIT_ASSERT(End.Outcome == run_outcome::Unknown);
  }

  auto offer_noListener_endsAsNotRun() -> void {
    auto Server = makeServer("");
    const auto Offer = makeAttemptFor(*Server);
    Server.reset();
    peer_client Client({instance_name("e"), ""}, Clock, EntryEvents.sink());
    Client.execute(Offer);
    const auto End = EntryEvents.waitFor<attempt_ended>();
    CPPUNIT_ASSERT(End.Outcome == run_outcome::NotRun);
    CPPUNIT_ASSERT(End.Code == result_code::TargetUnreachable);
  }

  auto offer_wrongToken_endsAsUnknown() -> void {
    auto Server = makeServer("secret");
    peer_client Client({instance_name("e"), "wrong"}, Clock,
                       EntryEvents.sink());
    Client.execute(makeAttemptFor(*Server));
    CPPUNIT_ASSERT(EntryEvents.waitFor<attempt_ended>().Outcome ==
                   run_outcome::Unknown);
  }

  auto cancel_openStream_reachesAgent() -> void {
    auto Server = makeServer("");
    peer_client Client({instance_name("e"), ""}, Clock, EntryEvents.sink());
    Client.execute(makeAttemptFor(*Server));
    const auto Offer = AgentEvents.waitFor<work_offered>();
    Client.execute(cancel_attempt{Offer.Attempt, false});
    CPPUNIT_ASSERT(AgentEvents.waitFor<work_cancelled>().Attempt ==
                   Offer.Attempt);
  }

private:
  auto makeServer(const std::string &Token) -> std::unique_ptr<peer_server> {
    peer_hooks Hooks;
    Hooks.Sink = AgentEvents.sink();
    return std::make_unique<peer_server>(
        peer_server_options{"127.0.0.1", 0, Token, true, false}, Clock,
        std::move(Hooks));
  }

  static auto makeAttemptFor(const peer_server &Server) -> start_attempt {
    return {instance_name("a"), "127.0.0.1:" + std::to_string(Server.port()),
            makeOffer(), false};
  }

  hybrid_clock Clock;
  event_queue AgentEvents;
  event_queue EntryEvents;
};
CPPUNIT_TEST_SUITE_REGISTRATION(wire_test);
