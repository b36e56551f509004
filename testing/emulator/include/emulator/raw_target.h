/// \file
/// Target whose answers are written byte by byte, for faults of connections
/// that a worker emulator, which reads whole requests, cannot have.
#ifndef LIMPETBRIDGE_EMULATOR_RAW_TARGET_H
#define LIMPETBRIDGE_EMULATOR_RAW_TARGET_H

#include "net/asio.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge::emulator {

/// One accepted connection.
class raw_connection {
public:
  /// \param SeenHeads receives the head of each request.
  raw_connection(net::tcp::socket Accepted,
                 std::vector<std::string> &SeenHeads);

  /// Reads the head of the next request. \returns false if the peer has closed.
  auto readHead() -> net::awaitable<bool>;
  /// Reads the body that the last head announces with Content-Length.
  auto readBody() -> net::awaitable<bool>;
  /// Id of the last request.
  [[nodiscard]] auto callId() const -> std::string;
  /// Writes \p Bytes; each $ID is replaced by the id of the last request.
  auto write(std::string Bytes) -> net::awaitable<bool>;
  /// Resets the connection.
  auto reset() -> void;
  auto close() -> void;

private:
  /// Value of a field of the last head; empty if absent.
  [[nodiscard]] auto field(std::string_view Name) const -> std::string;

  net::tcp::socket Socket;
  std::vector<std::string> &Heads;
  std::string Head; ///< Of the last request.
  std::string Unread;
};

/// Accepts connections and serves each one with Serve.
class raw_target {
public:
  /// Head of an answer that a gateway accepts, without its framing.
  static constexpr std::string_view SignedHead =
      "HTTP/1.1 200 OK\r\nX-Limpetbridge-Attempt-Id: $ID\r\n"
      "X-Limpetbridge-Response-Signature: p\r\n";

  explicit raw_target(net::asio::io_context &TargetContext);

  [[nodiscard]] auto address() const -> std::string;
  /// Row in the store of a target of \p Service at this address, which holds
  /// model `a`, as JSON.
  [[nodiscard]] auto row(const std::string &Service) const -> std::string;

  /// Serves one connection, which is closed when it returns. \p Number counts
  /// the connections from 1.
  std::function<net::awaitable<void>(raw_connection &Connection, int Number)>
      Serve;
  int ConnectionCount = 0;
  std::vector<std::string> Heads; ///< Of the requests on all connections.

private:
  auto acceptAll() -> net::awaitable<void>;
  auto serveOne(net::tcp::socket Accepted) -> net::awaitable<void>;

  net::asio::io_context &Context;
  net::tcp::acceptor Acceptor;
};

} // namespace limpetbridge::emulator

#endif // LIMPETBRIDGE_EMULATOR_RAW_TARGET_H
