#include "net/server.h"
#include "net/target_connection.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::net;

constexpr duration Patience = seconds(5);

/// A listener and a client on one io_context.
class exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(exchange_test);
  CPPUNIT_TEST(fetch_wholeAnswer_returnsIt);
  CPPUNIT_TEST(fetch_closedPort_returnsNone);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Context = std::make_unique<asio::io_context>();
    const auto Executor = Context->get_executor();
    Server = std::make_unique<listener>(
        *Context, "127.0.0.1:0",
        [Executor](std::shared_ptr<caller_connection> Accepted) {
          spawn(Executor, serveCalls(std::move(Accepted), echo));
        });
    Address = "127.0.0.1:" + std::to_string(Server->port());
  }

  auto tearDown() -> void override {
    Server.reset();
    Context.reset();
  }

  auto fetch_wholeAnswer_returnsIt() -> void {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/a?b=c";
    Request.Fields.push_back({"Host", Address});
    Request.Body = "some bytes";
    const auto Answer = run(Request);
    CPPUNIT_ASSERT(Answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a?b=c some bytes"), Answer->Body);
  }

  auto fetch_closedPort_returnsNone() -> void {
    Server->stop();
    Context->poll();
    Context->restart();
    CPPUNIT_ASSERT(!run({}).has_value());
  }

private:
  static auto echo(http_request Request) -> awaitable<http_answer> {
    http_answer Answer;
    Answer.Head.Status = 200;
    Answer.Body = Request.Method + " " + Request.Target + " " + Request.Body;
    co_return Answer;
  }

  auto run(const http_request &Request) -> std::optional<http_answer> {
    std::optional<http_answer> Answer;
    bool Done = false;
    const auto Task = [&]() -> awaitable<void> {
      Answer = co_await fetch(Context->get_executor(), Address, Request,
                              process_clock::now() + Patience);
      Done = true;
    };
    spawn(Context->get_executor(), Task());
    while (!Done)
      Context->run_one_for(std::chrono::seconds(5));
    return Answer;
  }

  std::unique_ptr<asio::io_context> Context;
  std::unique_ptr<listener> Server;
  std::string Address;
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_test);

} // namespace
