#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// Answers that targets send before they have read a long request, through a
/// real gateway.
class early_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(early_answer_test);
  CPPUNIT_TEST(plain_partThenReset_isNotASuccess);
  CPPUNIT_TEST(stream_partThenReset_doesNotLookComplete);
  CPPUNIT_TEST(plain_wholeThenReset_isServed);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeConfiguration = [](nlohmann::json &Configuration) {
      Configuration["limits"]["max_body_bytes"] = 2 * LongBodyBytes;
    };
    Fleet->publishConfiguration();
  }

  auto tearDown() -> void override { Fleet.reset(); }

  auto plain_partThenReset_isNotASuccess() -> void {
    // A write that fails must not hide the reset from the read.
    start("ledger", "\r\npart");
    const auto Answer = sendLong("/slow/x");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{502}, Answer.Head.Status);
  }

  auto stream_partThenReset_doesNotLookComplete() -> void {
    // The part is a whole event, so only the reset shows that more was to come.
    start("models",
          "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n");
    const auto Answer = sendLong("/chat/x");
    CPPUNIT_ASSERT(Answer.Head.Status != 200 || !Answer.Whole);
  }

  auto plain_wholeThenReset_isServed() -> void {
    for (const auto *Rest :
         {"Content-Length: 5\r\n\r\nwhole",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
      tearDown();
      setUp();
      start("ledger", Rest);
      const auto Answer = sendLong("/slow/x");
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, Answer.Head.Status);
      CPPUNIT_ASSERT_EQUAL(std::string("whole"), Answer.Body);
      CPPUNIT_ASSERT(Answer.Whole);
    }
  }

private:
  /// More than the kernel buffers for a connection.
  static constexpr std::size_t LongBodyBytes = std::size_t{24} << 20U;

  /// Starts a gateway and a target that answers with \p Rest when it has read
  /// the head of a request, and resets the connection.
  auto start(const char *Service, const std::string &Rest) -> void {
    Fleet->addRawTarget(
        "r1", Service,
        [Rest](raw_connection &Connection, int) -> net::awaitable<void> {
          if (!co_await Connection.readHead())
            co_return;
          // The write of the request has filled the buffers.
          co_await net::sleepFor(milliseconds(50));
          auto Bytes = std::string(raw_target::SignedHead) + Rest;
          co_await Connection.write(std::move(Bytes));
          // The part is read by now, so that a write and a read are pending.
          co_await net::sleepFor(milliseconds(20));
          Connection.reset();
        });
    Fleet->startGateway();
    CPPUNIT_ASSERT(Fleet->awaitReady());
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet->metric("target_active{target=\"r1\"}") == 0; }));
  }

  auto sendLong(const std::string &Path) -> client_answer {
    return Fleet->send(Path, std::string(LongBodyBytes, 'x'),
                       {{"X-Limpetbridge-Model", "a"},
                        {"X-Limpetbridge-Token-Usage", "100,20"},
                        {"X-Limpetbridge-Prompt-Prefix", "1:50,2:50"}});
  }

  std::unique_ptr<fleet> Fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_answer_test);

} // namespace
