/// \file
/// One node: the reducer's loop between its listeners and its clients.
#ifndef LIMPETBRIDGE_NODE_H
#define LIMPETBRIDGE_NODE_H

#include "base/result.h"
#include "base/settings.h"

#include <functional>
#include <memory>

namespace limpetbridge {

/// A running node.
/// \code
///   node Node(Settings, [](result_code Code) { … });
///   Node.drain();
/// \endcode
class node {
public:
  /// Called once when the node has drained, from a thread of its own.
  using stop_hook = std::function<void(result_code)>;

  /// Starts listeners and loop, and announces the instance.
  /// \throws std::runtime_error when a port is taken.
  node(const node_settings &Settings, stop_hook Stopped);
  ~node();
  node(const node &) = delete;
  auto operator=(const node &) -> node & = delete;

  /// Begins a graceful shutdown; the hook is called at its end.
  auto drain() -> void;

  /// Ports in use; 0 for listeners that the role does not have.
  [[nodiscard]] auto callerPort() const -> std::uint16_t;
  [[nodiscard]] auto peerPort() const -> std::uint16_t;
  [[nodiscard]] auto operatorPort() const -> std::uint16_t;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_H
