/// \file
/// A gateway's connections to targets: opens new ones, holds those that are
/// kept, and counts both.
#ifndef LIMPETBRIDGE_NODE_SERVING_TARGET_CONNECTIONS_H
#define LIMPETBRIDGE_NODE_SERVING_TARGET_CONNECTIONS_H

#include "base/metrics.h"
#include "base/settings.h"
#include "net/connection_pool.h"
#include "serving/gateway_effects.h"
#include "serving/gateway_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace limpetbridge {

/// Settings of kept connections. \p TargetsKeep: the platform says that targets
/// serve several requests on a connection.
[[nodiscard]] auto makeKeepPolicy(const node_settings &Settings,
                                  bool TargetsKeep) -> serving::keep_policy;

/// To be used on the thread of its io_context only.
class target_connections {
public:
  target_connections(net::asio::any_io_executor ConnectionExecutor,
                     metrics &NodeMetrics,
                     std::function<void(serving::gateway_event)> Dispatch);

  /// A new connection, which is not open yet.
  auto create() -> std::shared_ptr<net::target_connection>;
  /// Counts a new connection that was opened.
  auto countOpened() -> void;
  /// Gives out a kept connection. \returns null if it was lost.
  auto take(serving::connection_number Number)
      -> std::shared_ptr<net::target_connection>;
  /// Holds a connection whose request was answered, and reports that it rests;
  /// the reducer may close it at once. Closes it if it cannot be used again.
  /// \param StatedMs time after which the target closes it, ms, if it named
  /// one.
  auto keep(std::shared_ptr<net::target_connection> Connection,
            serving::request_number Number, serving::attempt_number Attempt,
            std::optional<std::int64_t> StatedMs) -> void;
  auto execute(const serving::close_connections &Effect) -> void;

  [[nodiscard]] auto idleCount() const -> std::size_t { return Pool.size(); }

private:
  net::asio::any_io_executor Executor;
  metrics &Metrics;
  std::function<void(serving::gateway_event)> Report;
  net::connection_pool Pool;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_TARGET_CONNECTIONS_H
