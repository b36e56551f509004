#include "stand_in_server.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <thread>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

class named_queue : public httplib::TaskQueue {
public:
  explicit named_queue(std::size_t Threads)
      : Pool("stand-in", Threads, ConnectionStackBytes, 100'000) {}
  void enqueue(std::function<void()> Job) override { // NOLINT
    (void)Pool.submit(std::move(Job));
  }
  auto shutdown() -> void override { Pool.stop(); } // NOLINT

private:
  thread_pool Pool;
};

} // namespace

auto takeOne(std::atomic<std::int64_t> &Counter) -> bool {
  auto Value = Counter.load();
  while (Value > 0)
    if (Counter.compare_exchange_weak(Value, Value - 1))
      return true;
  return false;
}

auto answerJson(httplib::Response &Response, int Status, const json &Body)
    -> void {
  Response.status = Status;
  Response.set_content(
      Body.dump(-1, ' ', false, json::error_handler_t::replace),
      "application/json");
}

auto loseAnswer(httplib::Response &Response) -> void {
  constexpr std::size_t Promised = 10;
  Response.body.clear(); // An answer that was made already is lost as well.
  Response.set_content_provider(
      Promised, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

stand_in_server::stand_in_server(std::uint16_t Wanted, std::size_t Threads) {
  Server.new_task_queue = [Threads] { return new named_queue(Threads); };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1'000'000);
  Server.set_keep_alive_timeout(30);
  // As in the callers' listener: the library's backlog of five is too short.
  socket_t Socket = INVALID_SOCKET;
  Server.set_socket_options([&Socket](socket_t Opened) {
    constexpr int Yes = 1;
    ::setsockopt(Opened, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
    Socket = Opened;
  });
  const int Bound = Wanted == 0 ? Server.bind_to_any_port("127.0.0.1")
                    : Server.bind_to_port("127.0.0.1", Wanted) ? Wanted
                                                               : -1;
  if (Bound <= 0)
    throw std::runtime_error("stand-in: port " + std::to_string(Wanted) +
                             " is taken");
  constexpr int Backlog = 1024;
  ::listen(Socket, Backlog);
  Port = static_cast<std::uint16_t>(Bound);
  Server.Post("/faults", [this](const httplib::Request &Request,
                                httplib::Response &Response) {
    setFaults(json::parse(Request.body, nullptr, false));
    Response.set_content("ok\n", "text/plain");
  });
}

stand_in_server::~stand_in_server() { stop(); }

auto stand_in_server::stop() -> void {
  Server.stop();
  Listener.reset();
}

auto stand_in_server::setFaults(const json &Body) -> void {
  if (!Body.is_object())
    return;
  Faults.Down = Body.value("down", Faults.Down.load());
  Faults.DelayMs = Body.value("delay_ms", Faults.DelayMs.load());
  Faults.LoseAnswers = Body.value("lose_answers", Faults.LoseAnswers.load());
  Faults.LoseRequests = Body.value("lose_requests", Faults.LoseRequests.load());
  Faults.LateMs = Body.value("late_ms", Faults.LateMs.load());
  Faults.Silent = Body.value("silent", Faults.Silent.load());
}

auto stand_in_server::guarded(handler Handler) -> httplib::Server::Handler {
  constexpr int StatusUnavailable = 503;
  return [this, Handler = std::move(Handler)](const httplib::Request &Request,
                                              httplib::Response &Response) {
    if (const auto Delay = Faults.DelayMs.load(); Delay > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Delay));
    if (Faults.Down.load()) {
      answerJson(Response, StatusUnavailable, {{"error", "down"}});
      return;
    }
    if (takeOne(Faults.LoseRequests)) {
      loseAnswer(Response);
      return;
    }
    Handler(Request, Response);
    if (takeOne(Faults.LoseAnswers))
      loseAnswer(Response);
  };
}

auto stand_in_server::route(const char *Method, const std::string &Pattern,
                            handler Handler) -> void {
  const std::string Name(Method);
  if (Name == "GET")
    Server.Get(Pattern, guarded(std::move(Handler)));
  else if (Name == "PUT")
    Server.Put(Pattern, guarded(std::move(Handler)));
  else
    Server.Post(Pattern, guarded(std::move(Handler)));
}

auto stand_in_server::start() -> void {
  Listener = std::make_unique<thread>("stand-in-main", LoopStackBytes,
                                      [this] { Server.listen_after_bind(); });
  // A stop that comes before the listener runs would be lost.
  while (!Server.is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

} // namespace limpetbridge
