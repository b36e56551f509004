#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <thread>
#include <vector>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Most that a target may write before the gateway closes the connection:
/// the gateway's limit of one answer and the kernel's buffers.
constexpr std::size_t MaxWritten = std::size_t{32} << 20U;

/// Targets whose answers do not end, and answers that end slowly.
class endless_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_answer_test);
  CPPUNIT_TEST(plain_headNeverEnds_isUnknownAndBounded);
  CPPUNIT_TEST(plain_informationalHeadsNeverEnd_isUnknownAndBounded);
  CPPUNIT_TEST(plain_bodyNeverEnds_isUnknownAndBounded);
  CPPUNIT_TEST(plain_foreignBodyNeverEnds_isUnknownAndBounded);
  CPPUNIT_TEST(plain_manyBodiesNeverEnd_memoryIsBoundedAndOthersAreServed);
  CPPUNIT_TEST(stream_manyEventsNeverEnd_memoryIsBoundedAndOthersAreServed);
  CPPUNIT_TEST(plain_chunkExtensionNeverEnds_isUnknownAndBounded);
  CPPUNIT_TEST(plain_trailerNeverEnds_isUnknownAndBounded);
  CPPUNIT_TEST(stream_chunkExtensionNeverEnds_isBounded);
  CPPUNIT_TEST(stream_eventNeverEnds_isBounded);
  CPPUNIT_TEST(stream_byteNowAndThen_endsAtTheTimeout);
  CPPUNIT_TEST(stream_slowButSound_isNotCut);
  CPPUNIT_TEST(stream_callerDoesNotRead_connectionIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->publishConfiguration();
    Fleet->ChangeSettings = [](node_settings &Settings) {
      Settings.MemoryMb = MemoryMb;
    };
    Ledger = &Fleet->addWorker("w1", "ledger");
    Engine = &Fleet->addWorker("e1", "models");
    Fleet->Outside.call([&] { return Engine->Models.insert("a").second; });
    Fleet->publish("e1");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    usleep(100'000);
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto plain_headNeverEnds_isUnknownAndBounded() -> void {
    checkPlain(behaviour::EndlessHead);
  }
  auto plain_informationalHeadsNeverEnd_isUnknownAndBounded() -> void {
    checkPlain(behaviour::EndlessInterim);
  }
  auto plain_bodyNeverEnds_isUnknownAndBounded() -> void {
    checkPlain(behaviour::EndlessBody);
  }
  auto plain_foreignBodyNeverEnds_isUnknownAndBounded() -> void {
    checkPlain(behaviour::EndlessForeign);
  }
  auto plain_manyBodiesNeverEnd_memoryIsBoundedAndOthersAreServed() -> void {
    behave(*Ledger, behaviour::EndlessBody);
    behave(*Engine, behaviour::Stream);
    checkFlood("/pay/x", "", [&] {
      CPPUNIT_ASSERT_EQUAL(wholeStream(), chat("/plan/x").Body);
    });
  }
  auto stream_manyEventsNeverEnd_memoryIsBoundedAndOthersAreServed() -> void {
    behave(*Engine, behaviour::EndlessEvent);
    checkFlood("/plan/x", PromptFields, [&] {
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                           Fleet->send("/read/x").Head.Status);
    });
  }
  auto plain_chunkExtensionNeverEnds_isUnknownAndBounded() -> void {
    checkPlain(behaviour::EndlessExtension);
  }
  auto plain_trailerNeverEnds_isUnknownAndBounded() -> void {
    checkPlain(behaviour::EndlessTrailer);
  }

  auto stream_chunkExtensionNeverEnds_isBounded() -> void {
    checkStream(behaviour::EndlessExtension);
  }
  auto stream_eventNeverEnds_isBounded() -> void {
    checkStream(behaviour::EndlessEvent);
  }

  auto stream_byteNowAndThen_endsAtTheTimeout() -> void {
    behave(*Engine, behaviour::Stalled);
    const auto Began = process_clock::now();
    const auto Answer = chat("/chat/x");
    const auto Took = process_clock::now() - Began;
    CPPUNIT_ASSERT(Answer.HasHead && !Answer.Whole);
    // The route's timeout is three seconds.
    CPPUNIT_ASSERT(Took >= milliseconds(2900));
    CPPUNIT_ASSERT(Took < milliseconds(3500));
    CPPUNIT_ASSERT(eventually([&] { return openAt(*Engine) == 0; }));
  }

  auto stream_slowButSound_isNotCut() -> void {
    behave(*Engine, behaviour::Stream);
    Fleet->Outside.call([&] { return Engine->EventGapMs = 450; });
    const auto Answer = chat("/chat/x");
    CPPUNIT_ASSERT(Answer.Whole);
    CPPUNIT_ASSERT_EQUAL(wholeStream(), Answer.Body);
  }

  auto stream_callerDoesNotRead_connectionIsGivenUp() -> void {
    behave(*Engine, behaviour::EndlessEvent);
    const auto Endpoint =
        *net::parseEndpoint<net::tcp>(Fleet->Gateway->callerAddress());
    net::asio::io_context Context;
    net::tcp::socket Caller(Context);
    Caller.connect(Endpoint);
    net::asio::write(
        Caller, net::asio::buffer(std::string(
                    "POST /chat/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                    "X-Limpetbridge-Attempt-Id: 77\r\n"
                    "X-Limpetbridge-Model: a\r\n"
                    "X-Limpetbridge-Token-Usage: 100,20\r\n\r\nx")));
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->metric("caller_connections") == 1; }));
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet->metric("caller_connections") == 0; }, seconds(12)));
    CPPUNIT_ASSERT_EQUAL(0, openAt(*Engine));
  }

private:
  static constexpr std::int64_t MemoryMb = 40;
  static constexpr int FloodCallers = 60;
  static constexpr const char *PromptFields =
      "X-Limpetbridge-Model: a\r\nX-Limpetbridge-Token-Usage: 100,20\r\n";

  /// Many callers at once get endless answers. What the process holds for them
  /// stays below a quarter of its memory, and \p Other is served meanwhile.
  auto checkFlood(const std::string &Path, const std::string &Fields,
                  const std::function<void()> &Other) -> void {
    const auto Before = residentBytes();
    std::vector<std::thread> Callers;
    Callers.reserve(FloodCallers);
    for (int I = 0; I < FloodCallers; ++I)
      Callers.emplace_back([&, I] { sendFlood(Path, Fields, I); });
    std::size_t Largest = 0;
    std::string Failure;
    try {
      for (int Round = 0; Round < 20; ++Round) {
        Other();
        Largest = std::max(Largest, residentBytes());
        usleep(20'000);
      }
    } catch (const CppUnit::Exception &Error) {
      Failure = Error.what();
    }
    for (auto &Caller : Callers)
      Caller.join();
    CPPUNIT_ASSERT_EQUAL(std::string(), Failure);
    const auto Grown = Largest > Before ? Largest - Before : 0;
    CPPUNIT_ASSERT_MESSAGE("grown by " + std::to_string(Grown),
                           Grown < std::size_t{MemoryMb} << 20U);
  }

  /// Sends one request of a flood and reads what comes, without keeping it.
  auto sendFlood(const std::string &Path, const std::string &More, int Number)
      -> void {
    net::asio::io_context Context;
    net::tcp::socket Caller(Context);
    Caller.connect(
        *net::parseEndpoint<net::tcp>(Fleet->Gateway->callerAddress()));
    net::error_code Error;
    net::asio::write(
        Caller,
        net::asio::buffer("POST " + Path +
                          " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                          "X-Limpetbridge-Attempt-Id: f" +
                          std::to_string(Number) + "\r\n" + More +
                          "Connection: close\r\n\r\nx"),
        Error);
    std::array<char, 16384> Part{};
    while (!Error)
      Caller.read_some(net::asio::buffer(Part), Error);
  }

  /// Memory of this process, which is mostly the gateway's.
  static auto residentBytes() -> std::size_t {
    std::ifstream File("/proc/self/statm");
    std::size_t Total = 0;
    std::size_t Resident = 0;
    File >> Total >> Resident;
    return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }

  /// A request that must not run twice, to a target with an endless answer.
  auto checkPlain(behaviour Behaviour) -> void {
    behave(*Ledger, Behaviour);
    const auto Status = Fleet->send("/pay/x", "b").Head.Status;
    // Either says that it may have run.
    CPPUNIT_ASSERT(Status == 502 || Status == 504);
    checkBoundedAt(*Ledger);
    behave(*Ledger, behaviour::Answer);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                         Fleet->send("/read/x").Head.Status);
  }

  auto checkStream(behaviour Behaviour) -> void {
    behave(*Engine, Behaviour);
    const auto Answer = chat("/plan/x");
    CPPUNIT_ASSERT(Answer.Head.Status != 200 || !Answer.Whole);
    checkBoundedAt(*Engine);
    behave(*Engine, behaviour::Stream);
    CPPUNIT_ASSERT_EQUAL(wholeStream(), chat("/plan/x").Body);
  }

  /// The connection to the target was closed before much was written.
  auto checkBoundedAt(const worker_emulator &Worker) -> void {
    CPPUNIT_ASSERT(eventually([&] { return openAt(Worker) == 0; }, seconds(2)));
    const auto Written =
        Fleet->Outside.call([&] { return Worker.EndlessBytes; });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Written), Written < MaxWritten);
  }

  auto openAt(const worker_emulator &Worker) -> int {
    return Fleet->Outside.call([&] { return Worker.OpenRequests; });
  }

  auto behave(worker_emulator &Worker, behaviour Behaviour) -> void {
    Fleet->Outside.call([&] { return Worker.Behaviour = Behaviour; });
  }

  auto chat(const std::string &Path) -> client_answer {
    return Fleet->send(Path, "prompt",
                       {{"X-Limpetbridge-Model", "a"},
                        {"X-Limpetbridge-Token-Usage", "100,20"}});
  }

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Ledger = nullptr;
  worker_emulator *Engine = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answer_test);

} // namespace
