#include "net/keep_alive.h"

#include <netinet/tcp.h>

namespace limpetbridge::net {

namespace {

/// Idle time before the first probe and between probes, s.
constexpr int ProbeIntervalSeconds = 1;
/// Unanswered probes after which the connection fails.
constexpr int MaxUnansweredProbes = 2;
/// Time that sent bytes may stay unacknowledged, ms.
constexpr int UnacknowledgedTimeoutMs = 3000;

template <int Name> auto setTcpOption(tcp::socket &Socket, int Value) -> void {
  error_code Ignored; // Without the option, timeouts still apply.
  Socket.set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, Name>(Value), Ignored);
}

} // namespace

auto setKeepAlive(tcp::socket &Socket) -> void {
  error_code Ignored; // Without the option, timeouts still apply.
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  setTcpOption<TCP_KEEPIDLE>(Socket, ProbeIntervalSeconds);
  setTcpOption<TCP_KEEPINTVL>(Socket, ProbeIntervalSeconds);
  setTcpOption<TCP_KEEPCNT>(Socket, MaxUnansweredProbes);
  setTcpOption<TCP_USER_TIMEOUT>(Socket, UnacknowledgedTimeoutMs);
}

} // namespace limpetbridge::net
