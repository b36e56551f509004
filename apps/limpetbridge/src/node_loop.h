/// \file
/// The thread that owns the state of a node and runs the reducer.
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

/// Executes one effect; called on the loop's thread only.
using effect_hook = std::function<void(effect &)>;
/// A look at the state on the loop's thread.
using state_visit = std::function<void(const node_state &, time_point)>;

/// Feeds events to the reducer in the order of their arrival and hands out
/// the effects. Ticks by itself.
class node_loop {
public:
  /// \param AfterBatch called on the loop's thread after each batch of events.
  node_loop(node_state State, effect_hook Execute, state_visit AfterBatch);
  /// Stops the thread; events still queued are dropped.
  ~node_loop();
  node_loop(const node_loop &) = delete;
  auto operator=(const node_loop &) -> node_loop & = delete;

  /// Starts the thread. Events posted before are kept.
  auto start() -> void;
  /// Queues an event; any thread.
  auto post(event Event) -> void;
  /// Runs \p Visit between two events; any thread.
  auto visit(state_visit Visit) -> void;
  /// Ends the thread.
  auto stop() -> void;

private:
  using item = std::variant<event, state_visit>;

  auto run() -> void;
  auto takeBatch() -> std::vector<item>;
  auto handle(item &Item) -> void;
  auto apply(const event &Event) -> void;
  auto push(item Item) -> void;

  node_state State;
  effect_hook Execute;
  state_visit AfterBatch;
  std::mutex Mutex;
  std::condition_variable Ready;
  std::vector<item> Queue;
  bool Stopping = false;
  time_point TickAt;
  std::unique_ptr<thread> Thread;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_LOOP_H
