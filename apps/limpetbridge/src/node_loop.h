/// \file
/// The thread that owns the state of a node and runs the reducer on it.
#ifndef LIMPETBRIDGE_NODE_LOOP_H
#define LIMPETBRIDGE_NODE_LOOP_H

#include "base/thread.h"
#include "core/reducer.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <variant>
#include <vector>

namespace limpetbridge {

/// Executes one effect. Called on the loop's thread only.
using effect_executor = std::function<void(effect &)>;
/// Reads the state and the current time. Called on the loop's thread only.
using state_reader = std::function<void(const node_state &, time_point)>;

/// Passes events to the reducer in the order in which they were queued, and
/// each resulting effect to an executor. Applies tick events when they are due.
class node_loop {
public:
  /// \param AfterBatch called on the loop's thread after each batch of queued
  /// events and the tick, if one was due.
  node_loop(node_state State, effect_executor ExecuteEffect,
            state_reader AfterBatch);
  /// Stops the thread and drops the events that are still queued.
  ~node_loop();
  node_loop(const node_loop &) = delete;
  auto operator=(const node_loop &) -> node_loop & = delete;

  /// Starts the thread. Events that were queued earlier are applied first.
  auto start() -> void;
  /// Queues an event for the reducer. May be called from any thread.
  auto postEvent(event Event) -> void;
  /// Queues \p Reader to be called between two events. May be called from any
  /// thread.
  auto readState(state_reader Reader) -> void;
  /// Stops and joins the thread; queued events and readers are dropped.
  auto stop() -> void;

private:
  using queue_item = std::variant<event, state_reader>;

  auto runReducer() -> void;
  auto waitForBatch() -> std::vector<queue_item>;
  auto processItem(queue_item &Item) -> void;
  auto applyEvent(const event &Event) -> void;
  auto enqueue(queue_item Item) -> void;

  node_state State;
  effect_executor ExecuteEffect;
  state_reader AfterBatch;
  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::vector<queue_item> Queue;
  bool Stopping = false;
  time_point NextTickAt;
  std::unique_ptr<thread> Thread;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_LOOP_H
