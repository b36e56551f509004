/// \file
/// Handles SIGTERM and SIGINT in a process that runs on one io_context.
#ifndef LIMPETBRIDGE_NODE_SERVING_STOP_SIGNAL_H
#define LIMPETBRIDGE_NODE_SERVING_STOP_SIGNAL_H

#include "net/asio.h"

#include <functional>

namespace limpetbridge {

/// Logs that \p Signal arrived. \p Repeated tells whether the process was
/// stopping already.
auto logSignal(int Signal, bool Repeated) -> void;

/// Calls \p Stop on the first signal; the second one exits the process at once
/// with status 1.
auto onStopSignal(net::asio::io_context &Context, std::function<void()> Stop)
    -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_STOP_SIGNAL_H
