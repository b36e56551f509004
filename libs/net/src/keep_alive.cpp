#include "net/keep_alive.h"

#include <netinet/tcp.h>

namespace limpetbridge::net {

namespace {

/// Idle time before the first probe and between probes, s.
constexpr int ProbeSeconds = 1;
/// Probes without an answer before the connection breaks.
constexpr int Probes = 2;
/// Time that sent bytes may stay unacknowledged, ms.
constexpr int UnacknowledgedMs = 3000;

template <int Name> auto setInteger(tcp::socket &Socket, int Value) -> void {
  error_code Ignored; // Without the option, time-outs still apply.
  Socket.set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, Name>(Value), Ignored);
}

} // namespace

auto setKeepAlive(tcp::socket &Socket) -> void {
  error_code Ignored; // Without the option, time-outs still apply.
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  setInteger<TCP_KEEPIDLE>(Socket, ProbeSeconds);
  setInteger<TCP_KEEPINTVL>(Socket, ProbeSeconds);
  setInteger<TCP_KEEPCNT>(Socket, Probes);
  setInteger<TCP_USER_TIMEOUT>(Socket, UnacknowledgedMs);
}

} // namespace limpetbridge::net
