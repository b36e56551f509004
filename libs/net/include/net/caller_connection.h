/// \file
/// Server side of one HTTP/1.1 connection: reads requests, writes answers and
/// streams, and notices when the other side leaves.
#ifndef LIMPETBRIDGE_NET_CALLER_CONNECTION_H
#define LIMPETBRIDGE_NET_CALLER_CONNECTION_H

#include "net/asio.h"
#include "net/http_message.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace limpetbridge::net {

/// Limits of one connection.
struct connection_limits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 4U << 20U;
  std::int64_t HeaderTimeoutMs = 3000; ///< From the first byte to the last.
  std::int64_t IdleTimeoutMs = 15000;  ///< Between requests.
};

/// What reading a request came to.
enum class read_end : std::uint8_t {
  Request, ///< A whole request.
  Closed,  ///< The other side closed, or stayed idle too long.
  Rejected ///< An error to answer with Status; the connection then ends.
};

/// Result of readRequest.
struct read_outcome {
  read_end End = read_end::Closed;
  http_request Request;
  std::uint16_t Status = 0;
  std::string_view Why;
  time_point FirstByte; ///< When the request began to arrive.
};

/// One connection. All calls from its io_context's thread.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  explicit caller_connection(tcp::socket Accepted);

  /// Reads the next request; one call at a time.
  auto readRequest(connection_limits Limits) -> awaitable<read_outcome>;

  /// Calls \p Left once if the other side closes before stopDisconnectWatch.
  auto startDisconnectWatch(std::function<void()> Left) -> void;
  auto stopDisconnectWatch() -> void;

  /// Writes \p Bytes.
  /// \returns false if the other side is gone.
  auto write(std::string Bytes) -> awaitable<bool>;

  /// Closes so that the other side cannot take the answer for complete.
  auto abort() -> void;
  /// Closes after what was written has been read.
  auto closeGracefully() -> awaitable<void>;
  /// Closes the connection if it waits for a request.
  auto closeIfIdle() -> void;

  [[nodiscard]] auto isOpen() const -> bool { return Socket.is_open(); }

private:
  auto armTimer(duration Span) -> void;
  auto watchOnce(std::uint64_t Generation) -> void;
  auto waitFirstByte(duration Idle) -> awaitable<bool>;

  tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::function<void()> OnLeft;
  std::uint64_t WatchGeneration = 0;
  std::uint64_t TimerGeneration = 0;
  bool Expired = false;
  bool Idle = false;
  bool IdleClosed = false; ///< Closed while idle; takes no request any more.
};

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_CALLER_CONNECTION_H
