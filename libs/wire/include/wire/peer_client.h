/// \file
/// gRPC towards other instances: offers to agents, changes to entries.
#ifndef LIMPETBRIDGE_WIRE_PEER_CLIENT_H
#define LIMPETBRIDGE_WIRE_PEER_CLIENT_H

#include "base/hybrid_clock.h"
#include "core/effects.h"

#include <functional>
#include <memory>
#include <string>

namespace limpetbridge {

/// Takes events; may be called from any thread.
using event_sink = std::function<void(event)>;

/// Options of a peer client.
struct peer_client_options {
  instance_name Self;
  std::string Token; ///< Shared between instances; empty sends none.
};

/// Executes the effects that go to other instances. Replies come back as
/// events; every call is answered by exactly one final event.
class peer_client {
public:
  peer_client(peer_client_options Options, hybrid_clock &Clock,
              event_sink Sink);
  /// Cancels open calls and waits for them.
  ~peer_client();
  peer_client(const peer_client &) = delete;
  auto operator=(const peer_client &) -> peer_client & = delete;

  /// Offers work; attempt_progressed and one attempt_ended follow.
  auto execute(const start_attempt &Effect) -> void;
  /// Cancels an attempt; with Abandon its connection is dropped as well.
  auto execute(const cancel_attempt &Effect) -> void;
  /// Sends changes; changes_acknowledged follows on success.
  auto execute(const send_changes &Effect) -> void;
  /// Fetches changes; changes_received follows on success.
  auto execute(const fetch_changes &Effect) -> void;
  /// Tells an agent its target's declared state; revision_seen follows.
  auto execute(const send_target_state &Effect) -> void;

  struct details;

private:
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_PEER_CLIENT_H
