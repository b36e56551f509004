#include "caller_socket.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// The worker answers with the body; a quarter holds answers.
constexpr std::int64_t MemoryMb = 32;
/// The least that is held for callers: one request of the largest body.
constexpr std::int64_t IntakeMemoryMb = 1;
constexpr std::size_t LongestBody = std::size_t{4} << 20U;

/// Requests within the limits at a gateway with little memory, alone and beside
/// a crowd.
class caller_limits_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_limits_test);
  CPPUNIT_TEST(longestBody_alone_isServed);
  CPPUNIT_TEST(longestBody_noRoom_isOverloadedAndNotRun);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeConfiguration = [](nlohmann::json &Configuration) {
      Configuration["limits"] = {{"max_body_bytes", LongestBody}};
      for (auto &Route : Configuration["routes"])
        Route["timeout_ms"] = 20'000;
    };
    Fleet->ChangeSettings = [](node_settings &Settings) {
      Settings.MemoryMb = MemoryMb;
      Settings.IntakeMemoryMb = IntakeMemoryMb;
    };
    Fleet->publishConfiguration();
    Ledger = &Fleet->addWorker("w1", "ledger");
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto longestBody_alone_isServed() -> void {
    const auto Answer = Fleet->send("/read/x", std::string(LongestBody, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Answer.Head.Status);
    std::string Text = Head + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t Bytes = 0; Bytes < LongestBody; Bytes += 1024)
      Text += net::serializeChunk(std::string(1024, 'x'));
    caller_socket Caller(Fleet->Gateway->callerAddress());
    Caller.write(Text + "0\r\n\r\n");
    CPPUNIT_ASSERT(Caller.readUntil("\r\n").starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Fleet->metric("intake_waiting"));
  }

  auto longestBody_noRoom_isOverloadedAndNotRun() -> void {
    // One that moves on all the time leaves no room for a second.
    caller_socket First(Fleet->Gateway->callerAddress());
    const auto Announced =
        Head + "Content-Length: " + std::to_string(LongestBody) + "\r\n\r\n";
    First.write(Announced + std::string(LongestBody / 2, 'x'));
    caller_socket Second(Fleet->Gateway->callerAddress());
    Second.write(Announced + std::string(LongestBody / 2, 'x'));
    for (int I = 0; I < 25; ++I) {
      First.write(std::string(std::size_t{32} * 1024, 'x'));
      usleep(100'000);
    }
    const auto Answer = Second.readUntil("overloaded");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: 1.000") != std::string::npos);
    CPPUNIT_ASSERT(Answer.find("\"code\":2016") != std::string::npos);
    // Small requests have room meanwhile, and the first one is served.
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                         Fleet->send("/read/x").Head.Status);
    First.write(
        std::string(LongestBody / 2 - 25 * std::size_t{32} * 1024, 'x'));
    CPPUNIT_ASSERT(First.readUntil("\r\n").starts_with("HTTP/1.1 200"));
  }

private:
  const std::string Head = "POST /read/x HTTP/1.1\r\nHost: h\r\n"
                           "X-Limpetbridge-Attempt-Id: c\r\n";

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Ledger = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_limits_test);

} // namespace
