/// \file
/// Listeners: one for callers' connections, one for small whole-message calls,
/// and a socket for datagrams.
#ifndef LIMPETBRIDGE_NET_SERVER_H
#define LIMPETBRIDGE_NET_SERVER_H

#include "net/asio.h"
#include "net/caller_connection.h"
#include "net/http_message.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace limpetbridge::net {

/// Accepts connections until stopped.
class listener {
public:
  using accepted = std::function<void(std::shared_ptr<caller_connection>)>;

  /// \throws boost::system::system_error if \p Address cannot be bound.
  listener(asio::io_context &Context, const std::string &Address,
           accepted OnAccepted);
  /// Takes no more connections.
  auto stop() -> void;
  /// Port that is listened on.
  [[nodiscard]] auto port() const -> std::uint16_t;
  /// The same with the IP number, `ip:port`.
  [[nodiscard]] auto address() const -> std::string;

private:
  auto acceptNext() -> void;

  tcp::acceptor Acceptor;
  asio::steady_timer Pause;
  accepted OnAccepted;
};

/// Answers a request that was read whole.
using call_handler = std::function<awaitable<http_response>(http_request)>;

/// Serves whole-message calls on one connection until it closes.
auto serveCalls(std::shared_ptr<caller_connection> Connection,
                call_handler Handler) -> awaitable<void>;

/// Sends and receives datagrams of at most 60,000 bytes.
class datagram_socket {
public:
  using received =
      std::function<void(const std::string &From, std::string_view Bytes)>;

  /// \throws boost::system::system_error if \p Address cannot be bound.
  datagram_socket(asio::io_context &Context, const std::string &Address,
                  received OnReceived);
  /// Sends \p Bytes to `ip:port`; a lost datagram is not reported.
  auto send(const std::string &Address, std::string_view Bytes) -> void;
  /// `ip:port` that is received on.
  [[nodiscard]] auto address() const -> std::string;
  auto stop() -> void;

private:
  auto receiveNext() -> void;

  static constexpr std::size_t MaxBytes = 60'000;
  udp::socket Socket;
  udp::endpoint Sender;
  std::array<char, MaxBytes> Buffer{};
  received OnReceived;
};

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_SERVER_H
