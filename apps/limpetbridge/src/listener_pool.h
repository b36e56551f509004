/// \file
/// The thread pool of the HTTP listener for callers.
#ifndef LIMPETBRIDGE_NODE_LISTENER_POOL_H
#define LIMPETBRIDGE_NODE_LISTENER_POOL_H

#include "base/thread.h"

#include <httplib.h>

#include <functional>
#include <utility>

namespace limpetbridge {

/// Runs the listener's connections on named threads with bounded stacks.
class listener_pool : public httplib::TaskQueue {
public:
  /// \param Threads connections served concurrently.
  explicit listener_pool(std::size_t Threads)
      : Pool("caller", Threads, ConnectionStackBytes, AcceptQueueLimit) {}

  void enqueue(std::function<void()> Job) override { // NOLINT
    // The queue has room for a full backlog of the listener.
    (void)Pool.submit(std::move(Job));
  }
  auto shutdown() -> void override { Pool.stop(); } // NOLINT

private:
  /// Connections that may wait for a thread; no less than the listener's
  /// backlog.
  static constexpr std::size_t AcceptQueueLimit = 1024;

  thread_pool Pool;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_LISTENER_POOL_H
