/// \file
/// gRPC from other instances and from operators.
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

/// What the server asks of the node. Hooks may be called from any thread and
/// answer at once or call back later.
struct peer_hooks {
  event_sink Sink;
  /// Applies changes of a peer; answers the revision in force afterwards.
  std::function<void(changes_received, std::function<void(revision)>)> Push;
  /// Changes after a revision.
  std::function<void(revision, std::function<void(std::vector<change>)>)> Fetch;
  /// Takes a target's state; answers the revision known afterwards.
  std::function<void(target_state_received, std::function<void(revision)>)>
      SetTargetState;
  /// Rows of a subject.
  std::function<void(report_request, std::function<void(result<report>)>)>
      Inspect;
  /// Notes of the time line.
  std::function<std::vector<stamped_note>(const note_filter &)> Timeline;
  /// An operator's change; null on agents.
  std::function<void(command_arrived, std::function<void(answer_command)>)>
      Change;
};

/// Options of a server.
struct peer_server_options {
  std::string Address;    ///< IP number to listen on.
  std::uint16_t Port = 0; ///< 0 picks a free one.
  std::string Token;      ///< Callers must send it; empty: anyone.
  bool Peers = true;      ///< Serves other instances.
  bool Operators = false; ///< Serves operators.
};

/// A gRPC listener.
class peer_server {
public:
  /// Starts listening. \throws std::runtime_error when the port is taken.
  peer_server(peer_server_options Options, hybrid_clock &Clock,
              peer_hooks Hooks);
  /// Ends open calls and stops listening.
  ~peer_server();
  peer_server(const peer_server &) = delete;
  auto operator=(const peer_server &) -> peer_server & = delete;

  /// Port in use.
  [[nodiscard]] auto port() const -> std::uint16_t;

  /// Ends open calls and stops listening; effects are ignored from then on.
  auto stop() -> void;

  /// Sends a frame of an open offer; ignored when the offer is gone.
  auto execute(const send_frame &Effect) -> void;
  /// Ends an open offer; ignored when the offer is gone.
  auto execute(const send_end &Effect) -> void;

  struct details;

private:
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_PEER_SERVER_H
