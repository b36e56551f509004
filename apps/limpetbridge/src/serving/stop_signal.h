/// \file
/// What SIGTERM and SIGINT ask of a process, and a watch for them.
#ifndef LIMPETBRIDGE_NODE_SERVING_STOP_SIGNAL_H
#define LIMPETBRIDGE_NODE_SERVING_STOP_SIGNAL_H

#include "net/asio.h"

#include <cstdint>
#include <functional>

namespace limpetbridge {

/// What a signal asks of a process.
enum class stop_action : std::uint8_t {
  Begin, ///< Begin the stop.
  None,  ///< The stop goes on: supervisors repeat SIGTERM.
  EndNow ///< An operator at a terminal does not want to wait.
};

/// Decides what each SIGTERM and SIGINT asks for, and logs it.
class stop_policy {
public:
  auto receive(int Signal) -> stop_action;

private:
  bool Stopping = false;
  bool Interrupted = false; ///< By SIGINT.
};

/// Calls \p Stop on the first signal; a repeated SIGINT exits the process at
/// once with status 1.
auto onStopSignal(net::asio::io_context &Context, std::function<void()> Stop)
    -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_STOP_SIGNAL_H
