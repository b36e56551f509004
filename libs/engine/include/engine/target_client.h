/// \file
/// HTTP client for the target of an agent, a model engine or a plain service.
/// docs/protocols.md describes the HTTP interface of a target.
#ifndef LIMPETBRIDGE_ENGINE_TARGET_CLIENT_H
#define LIMPETBRIDGE_ENGINE_TARGET_CLIENT_H

#include "core/effects.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace limpetbridge {

/// Address and limits of a target_client.
struct target_options {
  std::string Host;
  std::uint16_t Port = 0;
  std::size_t Slots = 16;              ///< Concurrent runs.
  duration OrderTimeout = seconds(30); ///< Wait for the reply to an order.
  duration ReadTimeout = seconds(30);  ///< Wait for data of a run or the state.
};

/// Receives the target's replies as events; called from any thread.
using target_sink = std::function<void(event)>;

/// Executes the effects that go to the target and reports its replies as
/// events: exactly one target_ended per run, one order_replied per order.
class target_client {
public:
  target_client(target_options Options, target_sink Sink);
  /// Waits for all queued and active runs and orders.
  ~target_client();
  target_client(const target_client &) = delete;
  auto operator=(const target_client &) -> target_client & = delete;

  /// Runs work; target_progressed events and one target_ended follow.
  auto execute(const run_work &Effect) -> void;
  /// Closes the connection of an active generation, so that the engine stops
  /// it.
  auto execute(const stop_work &Effect) -> void;
  /// Sends an order to the engine; order_replied follows.
  auto execute(const send_order &Effect) -> void;
  /// Reads the engine's state; engine_reported follows on success.
  auto execute(const read_engine &Effect) -> void;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_ENGINE_TARGET_CLIENT_H
