/// \file
/// Client side of one HTTP/1.1 exchange on a connection of its own: a target
/// may send late or surplus responses, which a new connection never receives.
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

/// Result of reading a part of a body.
enum class body_read : std::uint8_t {
  Data,  ///< Some bytes were read; more may follow.
  End,   ///< The body is complete.
  Broken ///< The connection ended early or the message is malformed.
};

/// What an exchange was waiting for when it ended.
enum class exchange_stage : std::uint8_t {
  Connecting,
  AwaitingHead,
  ReadingBody,
  Complete ///< The whole response was read.
};

/// Name of the stage in logs.
[[nodiscard]] auto nameOf(exchange_stage Stage) -> std::string_view;

/// One exchange, or several in sequence with a peer that is trusted to respond
/// in order. To be used on its io_context's thread only.
class target_connection
    : public std::enable_shared_from_this<target_connection> {
public:
  explicit target_connection(const asio::any_io_executor &Executor);

  /// Connects to `ip:port`.
  /// \returns false if there is no connection by \p Deadline; nothing was sent
  /// then.
  auto connect(const std::string &Address, time_point Deadline)
      -> awaitable<bool>;

  /// True if the peer refused the connection that connect tried to open: its
  /// machine is there, and nothing listens.
  [[nodiscard]] auto isRefused() const -> bool;

  /// Starts to send \p Bytes. The response may be read meanwhile, since a
  /// target may respond before it has read the complete request.
  auto startSend(std::string Bytes) -> void;

  /// Reads the head of the response; informational ones are skipped.
  /// \returns none if the connection ended or the head is not valid.
  auto readResponseHead() -> awaitable<std::optional<response_head>>;

  /// Reads up to \p Bytes of the next responses at a time.
  auto setReadSize(std::size_t Bytes) -> void { ReadSize = Bytes; }

  /// Reads a part of the body and appends it to \p Bytes.
  auto readBody(std::string &Bytes) -> awaitable<body_read>;

  /// True if the head of a response was read.
  [[nodiscard]] auto hasHead() const -> bool;

  /// True if the response has neither length nor chunks, so that it ends when
  /// the connection does.
  [[nodiscard]] auto endsWithConnection() const -> bool;

  /// Length of the body according to the head; none if it does not say.
  [[nodiscard]] auto bodyLength() const -> std::optional<std::uint64_t>;

  /// True if the response is chunked.
  [[nodiscard]] auto isChunked() const -> bool;

  /// Why the last read of a body failed; not set if it did not. The end of the
  /// connection is an error for bodies that have to end otherwise.
  [[nodiscard]] auto readError() const -> const error_code & {
    return LastReadError;
  }

  /// True if the last response was read completely, nothing has arrived since
  /// and the peer has not closed the connection.
  [[nodiscard]] auto isReusable() -> bool;

  /// Closes the connection; pending calls fail.
  auto close() -> void;

private:
  using parser_type =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Bytes that are read and not parsed yet: the largest head, and what was
  /// read with it. The parser has no limit of its own on the extension of a
  /// chunk or on a trailer.
  static constexpr std::size_t MaxUnparsedBytes = std::size_t{192} * 1024;

  tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::optional<parser_type> Parser;
  std::string RequestBytes;
  std::vector<char> ReadBuffer;
  std::size_t ReadSize = 0; ///< 0: the default.
  error_code ConnectError;
  error_code LastReadError;
};

/// Sends requests to one peer over a persistent connection, one at a time. Only
/// for requests whose responses are interchangeable: a second copy of a
/// response that arrives while the next request is under way is taken for its
/// response.
class persistent_client {
public:
  persistent_client(asio::any_io_executor ClientExecutor,
                    std::string PeerAddress)
      : Executor(std::move(ClientExecutor)), Address(std::move(PeerAddress)) {}

  /// Sends \p Request and reads the complete response. If the peer has closed
  /// the connection meanwhile, this call fails and the next one reconnects.
  /// \param Stage set to the last stage of the exchange.
  /// \returns none if there was no complete response before \p Deadline.
  auto fetch(const http_request &Request, time_point Deadline,
             exchange_stage &Stage) -> awaitable<std::optional<http_response>>;
  auto fetch(const http_request &Request, time_point Deadline)
      -> awaitable<std::optional<http_response>>;

private:
  asio::any_io_executor Executor;
  std::string Address;
  std::shared_ptr<target_connection> Connection;
};

/// Sends \p Request to \p Address on a new connection and reads the complete
/// response. \param Stage set to the last stage of the exchange.
/// \returns none if there was none before \p Deadline.
auto fetch(const asio::any_io_executor &Executor, const std::string &Address,
           const http_request &Request, time_point Deadline,
           exchange_stage &Stage) -> awaitable<std::optional<http_response>>;
auto fetch(const asio::any_io_executor &Executor, const std::string &Address,
           const http_request &Request, time_point Deadline)
    -> awaitable<std::optional<http_response>>;

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_TARGET_CONNECTION_H
