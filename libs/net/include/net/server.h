/// \file
/// A TCP listener, a server for small calls whose messages are read completely,
/// and a UDP socket.
#ifndef LIMPETBRIDGE_NET_SERVER_H
#define LIMPETBRIDGE_NET_SERVER_H

#include "net/asio.h"
#include "net/caller_connection.h"
#include "net/http_message.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace limpetbridge::net {

/// Accepts connections until stopped.
class listener {
public:
  using accept_handler =
      std::function<void(std::shared_ptr<caller_connection>)>;

  /// True if one more connection may be accepted now.
  using accept_gate = std::function<bool()>;

  /// Connections wait in the backlog while \p MayAccept, if there is one, is
  /// false; it is asked again every few milliseconds.
  /// \throws boost::system::system_error if \p Address cannot be bound.
  listener(asio::io_context &Context, const std::string &Address,
           accept_handler AcceptHandler, accept_gate MayAccept = {});
  /// Accepts the connections that wait in the backlog and no more; open ones
  /// stay.
  auto stop() -> void;
  /// The port that is listened on.
  [[nodiscard]] auto port() const -> std::uint16_t;
  /// The same with the IP address, `ip:port`.
  [[nodiscard]] auto address() const -> std::string;

private:
  auto acceptNext() -> void;
  /// Accepts at most \p Limit connections that wait in the backlog.
  auto acceptWaiting(int Limit) -> void;
  /// Calls acceptNext after a moment.
  auto acceptLater() -> void;

  tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  accept_handler OnAccepted;
  accept_gate Gate;
};

/// Handles a complete request.
using call_handler = std::function<awaitable<http_response>(http_request)>;

/// Serves calls on one connection until it closes; each request is read
/// completely before \p Handler runs.
auto serveCalls(std::shared_ptr<caller_connection> Connection,
                call_handler Handler) -> awaitable<void>;

/// Starts serveCalls on \p Connection. An exception that leaves \p Handler is
/// logged and ends only this connection.
auto spawnServeCalls(asio::io_context &Context,
                     std::shared_ptr<caller_connection> Connection,
                     const call_handler &Handler) -> void;

/// Sends datagrams, and receives them up to 60,000 bytes. The handler should do
/// little: it runs for all that have arrived before anything else does.
class datagram_socket {
public:
  using receive_handler =
      std::function<void(const std::string &From, std::string_view Bytes)>;

  /// \throws boost::system::system_error if \p Address cannot be bound.
  datagram_socket(asio::io_context &Context, const std::string &Address,
                  receive_handler OnDatagram);
  /// Sends \p Bytes to `ip:port`; a lost datagram is not reported.
  auto send(const std::string &Address, std::string_view Bytes) -> void;
  /// The address that datagrams are received on, `ip:port`.
  [[nodiscard]] auto address() const -> std::string;
  auto stop() -> void;

private:
  auto receiveNext() -> void;
  /// Passes on the datagrams that have arrived, at most \c MaxReceived.
  auto receiveAll() -> void;

  /// `ip:port` of \p Endpoint.
  auto textOf(const udp::endpoint &Endpoint) -> const std::string &;

  static constexpr int MaxReceived = 256;
  static constexpr std::size_t MaxBytes = 60'000;
  udp::socket Socket;
  /// Kept, as formatting them took a third of the time to receive a datagram.
  std::map<udp::endpoint, std::string> SenderTexts;
  udp::endpoint Sender;
  std::array<char, MaxBytes> Buffer{};
  receive_handler OnDatagram;
};

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_SERVER_H
