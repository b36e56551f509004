/// \file
/// A node of role entry or agent: its listeners, its clients and the loop of
/// its reducer.
#ifndef LIMPETBRIDGE_NODE_H
#define LIMPETBRIDGE_NODE_H

#include "base/result.h"
#include "base/settings.h"

#include <functional>
#include <memory>

namespace limpetbridge {

/// A running node. The constructor starts it and the destructor stops it.
/// \code
///   node Node(Settings, [](result_code Code) { … });
///   Node.drain();
/// \endcode
class node {
public:
  /// Called once, from the loop's thread, when the drain has ended; the code
  /// is Interrupted if the drain timeout passed first. Must not destroy the
  /// node.
  using stop_hook = std::function<void(result_code)>;

  /// Starts the listeners and the loop, and announces the instance to the
  /// platform in the background.
  /// \throws std::runtime_error when a port is taken.
  node(const node_settings &Settings, stop_hook OnStop);
  ~node();
  node(const node &) = delete;
  auto operator=(const node &) -> node & = delete;

  /// Begins a graceful shutdown. The stop hook is called when it has finished.
  auto drain() -> void;

  /// Ports that the listeners use; 0 for a listener that the role does not
  /// have.
  [[nodiscard]] auto callerPort() const -> std::uint16_t;
  [[nodiscard]] auto peerPort() const -> std::uint16_t;
  [[nodiscard]] auto operatorPort() const -> std::uint16_t;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_H
