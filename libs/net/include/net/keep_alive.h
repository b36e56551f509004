/// \file
/// Socket options that find a connection whose other side is silent for good.
#ifndef LIMPETBRIDGE_NET_KEEP_ALIVE_H
#define LIMPETBRIDGE_NET_KEEP_ALIVE_H

#include "net/asio.h"

namespace limpetbridge::net {

/// Makes the kernel probe an idle connection, so that one which went silent
/// breaks after about three seconds.
auto setKeepAlive(tcp::socket &Socket) -> void;

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_KEEP_ALIVE_H
