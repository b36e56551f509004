/// \file
/// Holds idle connections to targets by number and watches them. Which ones are
/// kept, used and closed is decided elsewhere.
#ifndef LIMPETBRIDGE_NET_CONNECTION_POOL_H
#define LIMPETBRIDGE_NET_CONNECTION_POOL_H

#include "net/target_connection.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace limpetbridge::net {

/// Idle connections of one io_context, to be used on its thread only.
class connection_pool {
public:
  using lost_handler = std::function<void(std::uint64_t Number, idle_end End)>;

  /// \param LostHandler called when the peer of an idle connection has closed
  /// it or sent bytes; the connection is closed and no longer held.
  explicit connection_pool(lost_handler LostHandler)
      : OnLost(std::move(LostHandler)) {}
  ~connection_pool() { closeAll(); }
  connection_pool(const connection_pool &) = delete;
  auto operator=(const connection_pool &) -> connection_pool & = delete;

  /// Holds a reusable connection. \returns its number, which is higher than all
  /// before.
  auto put(std::shared_ptr<target_connection> Connection) -> std::uint64_t;

  /// Gives a connection out. \returns null if it is not held, or if its peer
  /// has closed it or sent bytes, which is reported.
  auto take(std::uint64_t Number) -> std::shared_ptr<target_connection>;

  /// Closes a connection. \returns false if it is not held.
  auto close(std::uint64_t Number) -> bool;
  auto closeAll() -> void;

  [[nodiscard]] auto size() const -> std::size_t { return Idle.size(); }

private:
  lost_handler OnLost;
  std::map<std::uint64_t, std::shared_ptr<target_connection>> Idle;
  std::uint64_t LastNumber = 0;
};

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_CONNECTION_POOL_H
