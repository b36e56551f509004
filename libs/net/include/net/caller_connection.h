/// \file
/// Server side of one HTTP/1.1 connection: reads requests, writes responses and
/// streams, and detects a disconnect of the peer.
#ifndef LIMPETBRIDGE_NET_CALLER_CONNECTION_H
#define LIMPETBRIDGE_NET_CALLER_CONNECTION_H

#include "net/asio.h"
#include "net/connection_account.h"
#include "net/http_message.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

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

/// Why a request is not handled. It has not run and never will.
struct rejection {
  std::uint16_t Status = 0;
  std::string_view Reason;
  std::int64_t RetryAfterMs = 0; ///< 0: not known.
  /// The connection does not wait for the peer to close it.
  bool ClosesAtOnce = false;
};

/// A request, or why there is none.
struct read_outcome {
  read_end End = read_end::Closed;
  http_request Request;
  rejection Rejection;  ///< If End is Rejected.
  time_point FirstByte; ///< When the first byte of the request arrived.
};

/// One connection. To be used on its io_context's thread only.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  explicit caller_connection(tcp::socket Accepted);

  /// Sets the account that what is held is reported to. Without one, nothing
  /// waits for room. To be called before the first request is read.
  auto setAccount(std::unique_ptr<connection_account> ConnectionAccount)
      -> void;
  /// Continues a read that waits for room.
  auto grantRoom() -> void;

  /// Reads the next request. Only one call may be in progress.
  auto readRequest(connection_limits Limits) -> awaitable<read_outcome>;

  /// Calls \p Callback once if the peer disconnects before stopDisconnectWatch.
  auto startDisconnectWatch(std::function<void()> Callback) -> void;
  auto stopDisconnectWatch() -> void;
  /// Looks now whether the peer has disconnected, instead of at the next turn
  /// of the loop. If it has, the callback of the watch is called at once.
  auto checkDisconnect() -> void;

  /// Writes \p Bytes.
  /// \returns false if the peer has disconnected or reads nothing for a while.
  auto write(std::string Bytes) -> awaitable<bool>;

  /// Resets the connection, so that the peer cannot take a partial response for
  /// complete.
  auto abort() -> void;
  /// Shuts down sending and closes once the peer has closed, or after a
  /// timeout, so that the peer can read what was written. Of what it still
  /// sends, only a small part is read.
  auto closeGracefully() -> awaitable<void>;
  /// Closes the connection if it waits for a request and none has arrived. No
  /// byte is read after that, so a caller whose request crosses the close can
  /// tell that it was not read.
  auto closeIfIdle() -> void;
  /// Ends the read of a request that has arrived in part: readRequest rejects
  /// it as \p Rejection says, as it has not been handled.
  auto rejectPartialRequest(const rejection &Rejection) -> void;
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
  struct pending_request;

  auto startTimer(duration Timeout) -> void;
  auto watchNextRead(std::uint64_t Generation) -> void;
  auto waitForFirstByte(duration IdleTimeout) -> awaitable<bool>;
  /// Reads what has arrived, at least one byte and at most \p MaxBytes.
  auto receive(std::size_t MaxBytes) -> awaitable<error_code>;
  /// Reads the header and the body of a request that has begun to arrive.
  auto readRest(connection_limits Limits) -> awaitable<read_outcome>;
  auto receiveHead(pending_request &Pending) -> awaitable<error_code>;
  /// Receives the head and takes it over into \p Request.
  auto readHead(pending_request &Pending, http_request &Request)
      -> awaitable<error_code>;
  /// Reads the body, as far as there is room for it.
  auto readBody(pending_request &Pending) -> awaitable<error_code>;
  /// The allocation that the body needs for the bytes that are not parsed yet;
  /// 0 if it has it.
  [[nodiscard]] auto nextBodyBytes(pending_request &Pending) const
      -> std::size_t;
  /// Lets the body grow to an allocation of \p Bytes, once there is room.
  /// \returns false if the read was ended meanwhile.
  auto growBody(pending_request &Pending, std::size_t Bytes) -> awaitable<bool>;
  /// Asks for room for \p Bytes in all and waits for it.
  /// \returns false if the read was ended meanwhile.
  auto awaitRoom(std::size_t Bytes) -> awaitable<bool>;
  /// Ends the reads and waits of readRequest.
  auto cancelRead() -> void;
  /// Outcome of a read that ended with \p Error.
  [[nodiscard]] auto describeError(const error_code &Error,
                                   std::string_view TimeoutReason) const
      -> read_outcome;
  /// Waits until the peer has read something.
  auto waitForWritable() -> awaitable<bool>;
  /// Reports what is held now.
  auto report(connection_phase NewPhase) -> void;
  [[nodiscard]] auto heldBytes() const -> std::size_t;
  /// Frees the buffer of received bytes if it is empty.
  auto releaseBuffer() -> void;

  tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer WriteTimer;
  asio::steady_timer RoomTimer; ///< Cancelled when a wait for room ends.
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
  std::optional<rejection> PartialRejection; ///< Of rejectPartialRequest.
  std::unique_ptr<connection_account> Account;
  connection_phase Reported = connection_phase::New; ///< Last one.
  std::size_t RequestBytes = 0;   ///< Held for the current request.
  std::size_t LargestRequest = 0; ///< RequestBytes in the end, at most.
  std::size_t WritingBytes = 0;   ///< Of an answer that waits for the peer.
  std::uint64_t MovedBytes = 0;   ///< Received and sent.
  bool HasRoom = true;            ///< No wait for room is in progress.
  bool Blocked = false;           ///< The peer does not read what is written.
  bool WatchPaused = false;       ///< The watch goes on once it does.
  bool HasCarriedRequest = false; ///< A whole request was read.
};

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_CALLER_CONNECTION_H
