/// \file
/// The settings file of a process that runs: read again on SIGHUP, and when it
/// has changed without one.
#ifndef LIMPETBRIDGE_NODE_SERVING_SETTINGS_WATCH_H
#define LIMPETBRIDGE_NODE_SERVING_SETTINGS_WATCH_H

#include "base/settings.h"
#include "net/asio.h"

#include <functional>

namespace limpetbridge {

/// Calls \p Apply with the settings of \p Current's file whenever they have
/// changed. A file that cannot be read or has an invalid key changes nothing
/// and is logged.
auto watchSettings(net::asio::io_context &Context, node_settings Current,
                   std::function<void(const node_settings &)> Apply) -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_SETTINGS_WATCH_H
