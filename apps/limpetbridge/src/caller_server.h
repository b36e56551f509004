/// \file
/// The HTTP server for callers: generations, services, health checks and
/// metrics.
#ifndef LIMPETBRIDGE_CALLER_SERVER_H
#define LIMPETBRIDGE_CALLER_SERVER_H

#include "base/ids.h"
#include "base/result.h"
#include "core/effects.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetbridge {

/// Options of the server.
struct caller_server_options {
  std::string Address;
  std::uint16_t Port = 0;    ///< 0 picks a free port.
  std::size_t Threads = 256; ///< Connections served concurrently.
  /// Accepted connections that may wait for a thread.
  std::size_t AcceptQueueLimit = 1024;
  std::size_t BodyLimitBytes = std::size_t{4} * 1024 * 1024;
  duration ReadTimeout = seconds(5);
  duration DefaultDeadline = seconds(60);
  incarnation Incarnation; ///< Of this process; the first part of request ids.
};

/// What the server needs from the node. Hooks are called from any thread.
struct caller_hooks {
  std::function<void(event)> PostEvent;
  /// Names of the models that the token gives access to, or an error.
  std::function<result<std::vector<std::string>>(const std::string &Token)>
      ListModels;
  std::function<bool()> IsReady;
  std::function<std::string()> PrintMetrics;
};

/// The HTTP listener for callers.
class caller_server {
public:
  /// Starts listening. \throws std::runtime_error when the port is taken.
  caller_server(caller_server_options Options, caller_hooks Hooks);
  /// Cuts open connections; see stopBy().
  ~caller_server();
  caller_server(const caller_server &) = delete;
  auto operator=(const caller_server &) -> caller_server & = delete;

  [[nodiscard]] auto port() const -> std::uint16_t;

  /// Has every answer from now on tell the caller that the connection closes.
  auto beginDrain() -> void;

  /// Stops listening, answers what has been accepted, and closes connections as
  /// they become idle. Those that are open at \p Deadline are cut.
  auto stopBy(time_point Deadline) -> void;

  /// Passes a frame to the request's connection; ignored when that is closed.
  auto execute(const answer_frame &Effect) -> void;
  /// Ends the request's answer; ignored when its connection is closed.
  auto execute(answer_end Effect) -> void;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CALLER_SERVER_H
