/// \file
/// TCP keep-alive options that detect an unreachable peer.
#ifndef LIMPETBRIDGE_NET_KEEP_ALIVE_H
#define LIMPETBRIDGE_NET_KEEP_ALIVE_H

#include "net/asio.h"

namespace limpetbridge::net {

/// Makes the kernel probe an idle connection, so that a connection to an
/// unreachable peer fails after about three seconds.
auto setKeepAlive(tcp::socket &Socket) -> void;

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_KEEP_ALIVE_H
