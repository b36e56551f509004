/// \file
/// HTTP for callers: generations, services, health and metrics.
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

/// Limits of the listener.
struct caller_server_options {
  std::string Address;
  std::uint16_t Port = 0;    ///< 0 picks a free one.
  std::size_t Threads = 256; ///< Connections served at once.
  std::size_t BodyLimitBytes = std::size_t{4} * 1024 * 1024;
  duration ReadTimeout = seconds(5);
  duration DefaultDeadline = seconds(60);
  incarnation Self; ///< First part of request ids.
};

/// What the server asks of the node; called from any thread.
struct caller_hooks {
  std::function<void(event)> Post;
  /// Models that the bearer of a token may use, or why none.
  std::function<result<std::vector<std::string>>(const std::string &Token)>
      Models;
  std::function<bool()> Ready;
  std::function<std::string()> Metrics;
};

/// The callers' listener.
class caller_server {
public:
  /// Starts listening. \throws std::runtime_error when the port is taken.
  caller_server(caller_server_options Options, caller_hooks Hooks);
  /// Stops listening and ends open connections.
  ~caller_server();
  caller_server(const caller_server &) = delete;
  auto operator=(const caller_server &) -> caller_server & = delete;

  [[nodiscard]] auto port() const -> std::uint16_t;

  /// Stops listening and waits for open connections.
  auto stop() -> void;

  /// Hands a frame to the request's connection.
  auto execute(const answer_frame &Effect) -> void;
  /// Ends the request's answer.
  auto execute(answer_end Effect) -> void;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CALLER_SERVER_H
