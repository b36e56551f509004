/// \file
/// The thread pool under the callers' listener.
#ifndef LIMPETBRIDGE_NODE_LISTENER_POOL_H
#define LIMPETBRIDGE_NODE_LISTENER_POOL_H

#include "base/thread.h"

#include <httplib.h>

#include <functional>
#include <utility>

namespace limpetbridge {

/// Threads of the listener: named, with bounded stacks.
class listener_pool : public httplib::TaskQueue {
public:
  /// \param Threads connections served at once.
  explicit listener_pool(std::size_t Threads)
      : Pool("caller", Threads, ConnectionStackBytes, AcceptQueue) {}

  void enqueue(std::function<void()> Job) override { // NOLINT
    // The queue takes every connection that the kernel can have accepted.
    (void)Pool.submit(std::move(Job));
  }
  auto shutdown() -> void override { Pool.stop(); } // NOLINT

private:
  /// Connections that wait for a thread; more than the kernel's backlog.
  static constexpr std::size_t AcceptQueue = 1024;

  thread_pool Pool;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_LISTENER_POOL_H
