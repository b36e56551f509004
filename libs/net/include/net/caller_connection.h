/// \file
/// Server side of one HTTP/1.1 connection: reads requests, writes responses and
/// streams, and detects a disconnect of the peer.
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
  std::int64_t HeaderTimeoutMs = 3000; ///< From first to last header byte.
  std::int64_t IdleTimeoutMs = 15000;  ///< Between requests.
};

/// Result of reading a request.
enum class read_end : std::uint8_t {
  Request, ///< A complete request.
  Closed,  ///< The peer closed the connection, or it was idle too long.
  Rejected ///< To be answered with Status; the connection then closes.
};

/// A request, or why there is none.
struct read_outcome {
  read_end End = read_end::Closed;
  http_request Request;
  std::uint16_t Status = 0;
  std::string_view Reason;
  time_point FirstByte; ///< When the first byte of the request arrived.
};

/// One connection. To be used on its io_context's thread only.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  explicit caller_connection(tcp::socket Accepted);

  /// Reads the next request. Only one call may be in progress.
  auto readRequest(connection_limits Limits) -> awaitable<read_outcome>;

  /// Calls \p Callback once if the peer disconnects before stopDisconnectWatch.
  auto startDisconnectWatch(std::function<void()> Callback) -> void;
  auto stopDisconnectWatch() -> void;

  /// Writes \p Bytes.
  /// \returns false if the peer has disconnected or reads nothing for a while.
  auto write(std::string Bytes) -> awaitable<bool>;

  /// Resets the connection, so that the peer cannot take a partial response for
  /// complete.
  auto abort() -> void;
  /// Shuts down sending and closes once the peer has closed, or after a
  /// timeout, so that the peer can read what was written.
  auto closeGracefully() -> awaitable<void>;
  /// Closes the connection if it waits for a request and none has arrived. No
  /// byte is read after that, so a caller whose request crosses the close can
  /// tell that it was not read.
  auto closeIfIdle() -> void;
  /// Ends the read of a request that has arrived in part: readRequest rejects
  /// it with 503, as it has not been handled.
  auto rejectPartialRequest() -> void;
  /// When the first request of a connection that has carried none is given up
  /// at the latest; in the past once a byte of a request was read.
  [[nodiscard]] auto firstRequestDeadline() const -> time_point {
    return FirstRequestDeadline;
  }

  /// Bytes of the peer that no request was parsed from.
  [[nodiscard]] auto discardedBytes() const -> std::size_t {
    return DiscardedBytes;
  }

  [[nodiscard]] auto isOpen() const -> bool { return Socket.is_open(); }

private:
  auto startTimer(duration Timeout) -> void;
  auto watchNextRead(std::uint64_t Generation) -> void;
  auto waitForFirstByte(duration IdleTimeout) -> awaitable<bool>;
  /// Reads the header and the body of a request that has begun to arrive.
  auto readRest(connection_limits Limits) -> awaitable<read_outcome>;
  /// Outcome of a read that ended with \p Error.
  [[nodiscard]] auto describeError(const error_code &Error,
                                   std::string_view TimeoutReason) const
      -> read_outcome;
  /// Waits until the peer has read something.
  auto waitForWritable() -> awaitable<bool>;

  tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer WriteTimer;
  boost::beast::flat_buffer Buffer;
  std::function<void()> OnDisconnect;
  std::uint64_t WatchGeneration = 0;
  std::uint64_t TimerGeneration = 0;
  std::size_t DiscardedBytes = 0;
  bool TimedOut = false;
  time_point FirstRequestDeadline;
  /// What readRequest waits for.
  enum class read_phase : std::uint8_t {
    None,      ///< It is not called.
    FirstByte, ///< The first byte of a request.
    Rest       ///< The rest of a request.
  };
  read_phase Phase = read_phase::None;
  bool RejectsPartialRequest = false;
};

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_CALLER_CONNECTION_H
