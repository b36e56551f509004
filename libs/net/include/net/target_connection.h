/// \file
/// Client side of HTTP/1.1 exchanges on one connection. A target may send late
/// or surplus responses, which a new connection never receives; whoever uses a
/// connection again has to tell them from its own.
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

/// What ended the time in which a connection was idle.
enum class idle_end : std::uint8_t {
  Closed,    ///< The peer has closed or reset it, or is unreachable.
  StrayBytes ///< Bytes have arrived that belong to no request.
};

/// One exchange, or several in sequence. To be used on its io_context's thread
/// only.
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

  /// Starts to send \p Head and then \p Body, which is shared, so that it is
  /// held once and can be sent again. The response may be read meanwhile, since
  /// a target may respond before it has read the complete request. What was
  /// sent before must have been sent completely.
  auto startSend(std::string Head, shared_body Body = nullptr) -> void;

  /// Whether the next responses are to a HEAD request: they have no body,
  /// whatever their heads say.
  auto expectNoBody(bool Expected) -> void { ExpectsNoBody = Expected; }

  /// Reads the head of the response; informational ones are skipped.
  /// \returns none if the connection ended or the head is not valid, for
  /// example because its status is outside 100 to 599.
  auto readResponseHead() -> awaitable<std::optional<response_head>>;

  /// Reads up to \p Bytes of the next responses at a time.
  auto setReadSize(std::size_t Bytes) -> void { ReadSize = Bytes; }

  /// Reads a part of the body and appends it to \p Bytes. A body that ends with
  /// the connection is complete only if the request was sent completely: a
  /// reset is reported once, to the write or to the read.
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

  /// True if nothing of the last request was sent: its first write failed.
  [[nodiscard]] auto nothingWasSent() const -> bool {
    return !Sending && SendError && SentBytes == 0;
  }

  /// True if the peer ended the connection before any byte of a response to the
  /// last request.
  [[nodiscard]] auto endedUnanswered() const -> bool;

  /// True if a byte of a response to the last request was received.
  [[nodiscard]] auto hasReceived() const -> bool { return Received; }

  /// True if the rest of the response has arrived, so that readBody does not
  /// wait. Only for responses with a length.
  [[nodiscard]] auto isBodyBuffered() const -> bool;

  /// True if more of the response than the end of a chunk has arrived and was
  /// not read yet, so that the next read does not show when it arrived.
  [[nodiscard]] auto hasUnreadBytes() const -> bool;

  /// True if the last request was sent and its response read completely,
  /// nothing has arrived since and neither side has closed the connection or
  /// said that it will. The peer has received the whole request.
  [[nodiscard]] auto isReusable() -> bool;

  /// Watches a reusable connection and releases its buffers. \p OnEnd is called
  /// at most once, unless stopIdle is called before.
  auto startIdle(std::function<void(idle_end)> OnEnd) -> void;
  /// Ends the watch. \returns what has ended the idle time meanwhile, if
  /// anything.
  [[nodiscard]] auto stopIdle() -> std::optional<idle_end>;

  /// Closes the connection; pending calls fail.
  auto close() -> void;

private:
  using parser_type =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Bytes that are read and not parsed yet: the largest head, and what was
  /// read with it. The parser has no limit of its own on the extension of a
  /// chunk or on a trailer.
  static constexpr std::size_t MaxUnparsedBytes = std::size_t{192} * 1024;

  /// What can be read of an idle connection; none while nothing can.
  auto peek() -> std::optional<idle_end>;
  /// Result of a read that found the response complete.
  auto checkEnd() -> awaitable<body_read>;

  tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer SendTimer; ///< Cancelled when the request is sent.
  bool Sending = false;
  error_code SendError;      ///< Of the last request.
  std::size_t SentBytes = 0; ///< Of the last request, once it is not sent on.
  bool Received = false;     ///< Anything of a response to the last request.
  error_code HeadError;      ///< Of the last read of a head.
  std::uint64_t IdleGeneration = 0; ///< Of the watch; changes when it ends.
  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::optional<parser_type> Parser;
  std::string RequestHead;
  shared_body RequestBody;
  std::vector<char> ReadBuffer;
  std::size_t ReadSize = 0; ///< 0: the default.
  bool ExpectsNoBody = false;
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
