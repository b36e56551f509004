/// \file
/// HTTP towards the target beside an agent: a model engine or a plain service.
/// docs/protocols.md describes what a target must speak.
#ifndef LIMPETBRIDGE_ENGINE_TARGET_CLIENT_H
#define LIMPETBRIDGE_ENGINE_TARGET_CLIENT_H

#include "core/effects.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace limpetbridge {

/// Where the target is, and how long to wait for it.
struct target_options {
  std::string Host;
  std::uint16_t Port = 0;
  std::size_t Slots = 16;                ///< Runs at once.
  duration OrderTimeout = seconds(30);   ///< Wait for the reply to an order.
  duration SilenceTimeout = seconds(30); ///< Wait for the next byte of a run.
};

/// Takes the target's replies as events; called from any thread.
using target_sink = std::function<void(event)>;

/// Executes the effects that go to the target. Each run gets exactly one
/// target_ended, each order one order_replied.
class target_client {
public:
  target_client(target_options Options, target_sink Sink);
  /// Waits for runs and orders under way.
  ~target_client();
  target_client(const target_client &) = delete;
  auto operator=(const target_client &) -> target_client & = delete;

  auto execute(const run_work &Effect) -> void;
  /// Closes the run's connection, by which the engine stops it.
  auto execute(const stop_work &Effect) -> void;
  auto execute(const send_order &Effect) -> void;
  /// engine_reported follows when the engine answers.
  auto execute(const read_engine &Effect) -> void;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_ENGINE_TARGET_CLIENT_H
