/// \file
/// gRPC client for other instances: offers work to agents and sends
/// configuration changes to entries.
#ifndef LIMPETBRIDGE_WIRE_PEER_CLIENT_H
#define LIMPETBRIDGE_WIRE_PEER_CLIENT_H

#include "base/hybrid_clock.h"
#include "core/effects.h"

#include <functional>
#include <memory>
#include <string>

namespace limpetbridge {

/// Receives events; called from any thread.
using event_sink = std::function<void(event)>;

/// Options of a peer client.
struct peer_client_options {
  instance_name Self;
  std::string Token; ///< The same on all instances; empty sends none.
};

/// Executes the effects that go to other instances and reports replies as
/// events. Each attempt ends with exactly one attempt_ended; the other calls
/// report nothing when they fail.
class peer_client {
public:
  peer_client(peer_client_options Options, hybrid_clock &Clock,
              event_sink Sink);
  /// Cancels open attempts and waits until all calls have finished.
  ~peer_client();
  peer_client(const peer_client &) = delete;
  auto operator=(const peer_client &) -> peer_client & = delete;

  /// Offers work; attempt_progressed and one attempt_ended follow.
  auto execute(const start_attempt &Effect) -> void;
  /// Cancels an attempt; Abandon also removes its connection from the pool.
  auto execute(const cancel_attempt &Effect) -> void;
  /// Sends changes; changes_acknowledged follows on success.
  auto execute(const send_changes &Effect) -> void;
  /// Fetches changes; changes_received follows on success.
  auto execute(const fetch_changes &Effect) -> void;
  /// Sends an agent the declared state of its target; revision_seen follows on
  /// success.
  auto execute(const send_target_state &Effect) -> void;

  struct details;

private:
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_PEER_CLIENT_H
