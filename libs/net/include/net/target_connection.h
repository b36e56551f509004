/// \file
/// Client side of one HTTP/1.1 exchange on a connection of its own: a target
/// may send late or surplus answers, which a fresh connection never sees.
#ifndef LIMPETBRIDGE_NET_TARGET_CONNECTION_H
#define LIMPETBRIDGE_NET_TARGET_CONNECTION_H

#include "net/asio.h"
#include "net/http_message.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace limpetbridge::net {

/// How reading a part of a body went.
enum class body_read : std::uint8_t {
  Data,  ///< Some bytes; more may follow.
  End,   ///< The body is complete.
  Broken ///< The connection ended or broke the protocol before that.
};

/// One exchange, or several one after the other with a peer that is trusted to
/// answer in order. All calls from its io_context's thread.
class target_connection
    : public std::enable_shared_from_this<target_connection> {
public:
  explicit target_connection(const asio::any_io_executor &Executor);

  /// Connects to `ip:port`.
  /// \returns false if that fails before \p Deadline; nothing was sent then.
  auto connect(const std::string &Address, time_point Deadline)
      -> awaitable<bool>;

  /// Starts to send \p Bytes; the answer may be read meanwhile, since a target
  /// may answer before it has read all of a request.
  auto startSend(std::string Bytes) -> void;

  /// Reads the head of the answer. \returns none when it is no valid answer.
  auto readResponseHead() -> awaitable<std::optional<response_head>>;

  /// Reads a part of the body and appends it to \p Bytes.
  auto readBody(std::string &Bytes) -> awaitable<body_read>;

  /// True if the answer has neither length nor chunks: its end is the
  /// connection's end.
  [[nodiscard]] auto endsWithConnection() const -> bool;

  /// True if the last answer was read to its end and another request may
  /// follow.
  [[nodiscard]] auto isReusable() const -> bool;

  /// Ends the exchange; pending calls return as broken.
  auto close() -> void;

private:
  using parser_type =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<parser_type> Parser;
  std::string Outgoing;
  std::vector<char> Chunk;
};

/// Calls to one peer, one at a time, over a connection that is kept.
class kept_client {
public:
  kept_client(asio::any_io_executor CallExecutor, std::string PeerAddress)
      : Executor(std::move(CallExecutor)), Address(std::move(PeerAddress)) {}

  /// Sends \p Request and reads the whole answer. A kept connection that the
  /// peer has closed meanwhile gives no answer; the next call opens a new one.
  /// \returns none when there was no complete answer before \p Deadline.
  auto fetch(const http_request &Request, time_point Deadline)
      -> awaitable<std::optional<http_response>>;

private:
  asio::any_io_executor Executor;
  std::string Address;
  std::shared_ptr<target_connection> Connection;
};

/// Sends \p Request to \p Address on a new connection and reads the whole
/// answer. \returns none when there was no complete answer before \p Deadline.
auto fetch(const asio::any_io_executor &Executor, const std::string &Address,
           const http_request &Request, time_point Deadline)
    -> awaitable<std::optional<http_response>>;

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_TARGET_CONNECTION_H
