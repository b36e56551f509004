/// \file
/// Reloads the settings file of a running process, on SIGHUP and when the file
/// has changed.
#ifndef LIMPETBRIDGE_NODE_SERVING_SETTINGS_WATCH_H
#define LIMPETBRIDGE_NODE_SERVING_SETTINGS_WATCH_H

#include "base/settings.h"
#include "net/asio.h"

#include <functional>

namespace limpetbridge {

/// Calls \p Apply with the settings of \p Current's file whenever they have
/// changed. If the file cannot be read or has an invalid key, the current
/// settings stay and the error is logged.
auto watchSettings(net::asio::io_context &Context, node_settings Current,
                   std::function<void(const node_settings &)> Apply) -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_SETTINGS_WATCH_H
