/// \file
/// What all stand-ins share: an HTTP listener with fault switches.
#ifndef LIMPETBRIDGE_TESTING_STAND_IN_SERVER_H
#define LIMPETBRIDGE_TESTING_STAND_IN_SERVER_H

#include "base/thread.h"

#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace limpetbridge {

/// Fault switches, set by `POST /faults` with a JSON object of these names.
struct fault_switches {
  std::atomic<bool> Down{false};             ///< Answers 503 to everything.
  std::atomic<std::int64_t> DelayMs{0};      ///< Before each answer.
  std::atomic<std::int64_t> LoseAnswers{0};  ///< So many answers are lost after
                                             ///< the request took effect.
  std::atomic<std::int64_t> LoseRequests{0}; ///< So many requests are lost
                                             ///< before they take effect.
  std::atomic<std::int64_t> LateMs{0}; ///< Orders answer nothing and act late.
  std::atomic<std::int64_t> Silent{0}; ///< So many streams stop mid-way.
};

/// Takes one from a counter; false when it is at zero.
[[nodiscard]] auto takeOne(std::atomic<std::int64_t> &Counter) -> bool;

/// An HTTP listener of its own thread.
class stand_in_server {
public:
  using handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;

  /// \param Port 0 picks a free one. \param Threads connections at once.
  stand_in_server(std::uint16_t Port, std::size_t Threads);
  ~stand_in_server();

  /// Serves a page under the fault switches.
  auto route(const char *Method, const std::string &Pattern, handler Handler)
      -> void;
  /// Starts listening; routes are set before.
  auto start() -> void;
  /// Stops listening and waits for open connections. The owner calls it
  /// before anything that its pages use is destroyed.
  auto stop() -> void;

  [[nodiscard]] auto port() const -> std::uint16_t { return Port; }
  auto faults() -> fault_switches & { return Faults; }

private:
  auto guarded(handler Handler) -> httplib::Server::Handler;
  auto setFaults(const nlohmann::json &Body) -> void;

  httplib::Server Server;
  fault_switches Faults;
  std::uint16_t Port = 0;
  std::unique_ptr<thread> Listener;
};

/// Answers with a JSON body.
auto answerJson(httplib::Response &Response, int Status,
                const nlohmann::json &Body) -> void;
/// Closes the connection without an answer.
auto loseAnswer(httplib::Response &Response) -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_STAND_IN_SERVER_H
