/// \file
/// gRPC server for other instances and operators.
#ifndef LIMPETBRIDGE_WIRE_PEER_SERVER_H
#define LIMPETBRIDGE_WIRE_PEER_SERVER_H

#include "base/hybrid_clock.h"
#include "base/timeline.h"
#include "wire/peer_client.h"
#include "wire/report.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace limpetbridge {

/// Callbacks into the instance. The server calls them from any thread; a hook
/// with a callback argument may call it at once or later.
struct peer_hooks {
  event_sink Sink;
  /// Applies changes from a peer; replies with the current revision
  /// afterwards.
  std::function<void(changes_received, std::function<void(revision)>)> Push;
  /// Replies with the changes after a revision.
  std::function<void(revision, std::function<void(std::vector<change>)>)> Fetch;
  /// Applies a target's declared state; replies with the newest revision known
  /// afterwards.
  std::function<void(target_state_received, std::function<void(revision)>)>
      SetTargetState;
  /// Replies with the report on a subject, or with an error.
  std::function<void(report_request, std::function<void(result<report>)>)>
      Inspect;
  /// Returns the timeline notes that match a filter.
  std::function<std::vector<stamped_note>(const note_filter &)> Timeline;
  /// Executes an operator's change; null on agents.
  std::function<void(command_arrived, std::function<void(answer_command)>)>
      Change;
};

/// Options of a server.
struct peer_server_options {
  std::string Address;    ///< IP address to listen on.
  std::uint16_t Port = 0; ///< 0 picks a free port.
  std::string Token;      ///< Required of clients; empty requires none.
  bool Peers = true;      ///< Serves the calls of other instances.
  bool Operators = false; ///< Serves the calls of operators.
};

/// A gRPC server on one address and port.
class peer_server {
public:
  /// Starts listening. \throws std::runtime_error when that fails, for example
  /// because another process listens on the port.
  peer_server(peer_server_options Options, hybrid_clock &Clock,
              peer_hooks Hooks);
  /// Calls stop().
  ~peer_server();
  peer_server(const peer_server &) = delete;
  auto operator=(const peer_server &) -> peer_server & = delete;

  /// The port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t;

  /// Stops listening and ends open calls, which takes up to 200 ms before they
  /// are cancelled. Effects are ignored afterwards.
  auto stop() -> void;

  /// Sends a frame to the entry; ignored when the attempt's stream is closed.
  auto execute(const send_frame &Effect) -> void;
  /// Sends the end of an attempt; ignored when its stream is closed.
  auto execute(const send_end &Effect) -> void;

  struct details;

private:
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_PEER_SERVER_H
