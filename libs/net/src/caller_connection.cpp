#include "net/caller_connection.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace limpetbridge::net {

namespace {

namespace http = boost::beast::http;

/// Limit of bytes that are read ahead while a request is in progress.
constexpr std::size_t MaxReadAhead = std::size_t{64} * 1024;
/// Limit of bytes that are read and not parsed yet, besides the header: the
/// read-ahead and one read of the parser.
constexpr std::size_t MaxUnparsedBytes = 3 * MaxReadAhead;
/// Largest single read, bytes.
constexpr std::size_t ReadBytes = std::size_t{8} * 1024;
/// Time without progress after which a peer that does not read is given up.
constexpr duration WriteStallTimeout = seconds(5);
/// Time in which a new connection is expected to carry its first request.
constexpr duration FirstRequestTime = seconds(1);
/// Longest wait for the peer to close after sending was shut down.
constexpr duration LingerTimeout = milliseconds(500);
/// Timeout of a body after its header, per started megabyte of the limit.
constexpr duration BodyTimeoutPerMb = seconds(4);
constexpr std::uint64_t BytesPerMb = 1'000'000;

template <typename message>
auto copyFields(const message &Header) -> header_fields {
  header_fields Fields;
  for (const auto &Field : Header)
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Fields;
}

auto makeRejection(std::uint16_t Status, std::string_view Reason)
    -> read_outcome {
  read_outcome Outcome;
  Outcome.End = read_end::Rejected;
  Outcome.Status = Status;
  Outcome.Reason = Reason;
  return Outcome;
}

auto makeErrorOutcome(const error_code &Error) -> read_outcome {
  if (Error == http::error::header_limit)
    return makeRejection(431, "header is too large");
  if (Error == http::error::body_limit)
    return makeRejection(413, "body is too large");
  if (Error.category() == make_error_code(http::error::bad_method).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return makeRejection(400, "not a request of HTTP/1.1");
  return {};
}

} // namespace

caller_connection::caller_connection(tcp::socket Accepted)
    : Socket(std::move(Accepted)), Timer(Socket.get_executor()),
      WriteTimer(Socket.get_executor()),
      FirstRequestDeadline(process_clock::now() + FirstRequestTime) {
  error_code Ignored; // Only tuning; a broken socket fails at a read.
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
}

auto caller_connection::startTimer(duration Timeout) -> void {
  TimedOut = false;
  const auto Generation = ++TimerGeneration;
  Timer.expires_after(Timeout);
  Timer.async_wait([Self = weak_from_this(), Generation](error_code Error) {
    const auto This = Self.lock();
    if (Error || !This || This->TimerGeneration != Generation)
      return;
    This->TimedOut = true;
    error_code Ignored; // The socket may be closed already.
    This->Socket.cancel(Ignored);
  });
}

auto caller_connection::waitForFirstByte(duration IdleTimeout)
    -> awaitable<bool> {
  if (Buffer.size() > 0)
    co_return true;
  Phase = read_phase::FirstByte;
  error_code Error;
  std::size_t Count = 0;
  for (;;) {
    startTimer(IdleTimeout);
    Count = co_await Socket.async_read_some(Buffer.prepare(ReadBytes),
                                            storeError(Error));
    if (Error != asio::error::operation_aborted)
      break;
    // The timer or closeIfIdle ended the wait; a request that has arrived by
    // now is served.
    error_code Ignored; // A broken socket has nothing to read.
    if (Socket.available(Ignored) > 0)
      continue;
    Socket.close(Ignored);
    break;
  }
  Phase = read_phase::None;
  Buffer.commit(Count);
  FirstRequestDeadline = {};
  co_return !Error && Count > 0;
}

auto caller_connection::readRequest(connection_limits Limits)
    -> awaitable<read_outcome> {
  const auto Self = shared_from_this();
  if (!co_await waitForFirstByte(milliseconds(Limits.IdleTimeoutMs)))
    co_return makeErrorOutcome({});
  Phase = read_phase::Rest;
  auto Outcome = co_await readRest(Limits);
  Phase = read_phase::None;
  ++TimerGeneration;
  co_return Outcome;
}

auto caller_connection::describeError(const error_code &Error,
                                      std::string_view TimeoutReason) const
    -> read_outcome {
  if (RejectsPartialRequest)
    return makeRejection(503, "the server stops");
  return TimedOut ? makeRejection(408, TimeoutReason) : makeErrorOutcome(Error);
}

auto caller_connection::readRest(connection_limits Limits)
    -> awaitable<read_outcome> {
  const auto FirstByte = process_clock::now();
  // The parser has no limit of its own on the extension of a chunk.
  Buffer.max_size(MaxUnparsedBytes + Limits.HeaderBytes);
  startTimer(milliseconds(Limits.HeaderTimeoutMs));
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(Limits.HeaderBytes);
  Parser.body_limit(Limits.BodyBytes);
  error_code Error;
  co_await http::async_read_header(Socket, Buffer, Parser, storeError(Error));
  if (Error)
    co_return describeError(Error, "header came too slowly");
  const auto &Header = Parser.get();
  read_outcome Outcome;
  Outcome.FirstByte = FirstByte;
  Outcome.Request.Method = std::string(Header.method_string());
  Outcome.Request.Target = std::string(Header.target());
  Outcome.Request.Fields = copyFields(Header);
  Outcome.Request.HasBody = Parser.chunked() || Header.has_content_length();
  constexpr unsigned Version11 = 11;
  if (Header.version() != Version11)
    co_return makeRejection(505, "only HTTP/1.1 is served");
  if (const auto Reason = findAmbiguity(Outcome.Request); !Reason.empty())
    co_return makeRejection(400, Reason);
  if (Outcome.Request.HasBody && !Parser.is_done()) {
    if (equalsIgnoreCase(findField(Outcome.Request.Fields, "expect"),
                         "100-continue")) {
      std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
      const bool Written = co_await write(std::move(Continue));
      if (!Written)
        co_return makeErrorOutcome({});
    }
    startTimer(milliseconds(Limits.HeaderTimeoutMs) +
               BodyTimeoutPerMb * (1 + Limits.BodyBytes / BytesPerMb));
    co_await http::async_read(Socket, Buffer, Parser, storeError(Error));
    if (Error)
      co_return describeError(Error, "body came too slowly");
  }
  Outcome.Request.Body = std::move(Parser.get().body());
  Outcome.End = read_end::Request;
  co_return Outcome;
}

auto caller_connection::startDisconnectWatch(std::function<void()> Callback)
    -> void {
  OnDisconnect = std::move(Callback);
  watchNextRead(++WatchGeneration);
}

auto caller_connection::stopDisconnectWatch() -> void {
  ++WatchGeneration;
  OnDisconnect = nullptr;
}

auto caller_connection::watchNextRead(std::uint64_t Generation) -> void {
  Socket.async_wait(tcp::socket::wait_read, [Self = shared_from_this(),
                                             Generation](error_code Error) {
    if (Self->WatchGeneration != Generation)
      return;
    std::size_t Count = 0;
    if (!Error)
      Count = Self->Socket.read_some(Self->Buffer.prepare(ReadBytes), Error);
    Self->Buffer.commit(Count);
    const bool KeepWatching = !Error || Error == asio::error::would_block ||
                              Error == asio::error::try_again;
    if (!KeepWatching) {
      ++Self->WatchGeneration;
      if (auto Callback = std::exchange(Self->OnDisconnect, nullptr))
        Callback();
    } else if (Self->Buffer.size() < MaxReadAhead) {
      Self->watchNextRead(Generation);
    }
  });
}

auto caller_connection::write(std::string Bytes) -> awaitable<bool> {
  const auto Self = shared_from_this();
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    error_code Error;
    Sent += Socket.write_some(asio::buffer(Bytes) + Sent, Error);
    bool Writable = !Error;
    if (Error == asio::error::would_block || Error == asio::error::try_again)
      Writable = co_await waitForWritable();
    if (!Writable)
      co_return false;
  }
  co_return true;
}

auto caller_connection::waitForWritable() -> awaitable<bool> {
  WriteTimer.expires_after(WriteStallTimeout);
  WriteTimer.async_wait([Weak = weak_from_this()](error_code Error) {
    if (const auto This = Weak.lock(); This && !Error)
      This->abort();
  });
  error_code Error;
  co_await Socket.async_wait(tcp::socket::wait_write, storeError(Error));
  WriteTimer.cancel();
  co_return !Error && Socket.is_open();
}

auto caller_connection::abort() -> void {
  stopDisconnectWatch();
  error_code Ignored; // The connection ends either way.
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

auto caller_connection::closeGracefully() -> awaitable<void> {
  const auto Self = shared_from_this();
  error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  startTimer(LingerTimeout);
  while (!Error && !TimedOut) {
    DiscardedBytes += Buffer.size();
    Buffer.consume(Buffer.size());
    const auto Count = co_await Socket.async_read_some(
        Buffer.prepare(ReadBytes), storeError(Error));
    Buffer.commit(Count);
  }
  DiscardedBytes += Buffer.size();
  ++TimerGeneration;
  Timer.cancel();
  Socket.close(Error);
}

auto caller_connection::closeIfIdle() -> void {
  if (Phase != read_phase::FirstByte)
    return;
  // Unread bytes belong to a request that has to be served.
  error_code Error;
  if (Socket.available(Error) > 0)
    return;
  Socket.cancel(Error); // waitForFirstByte closes the connection.
}

auto caller_connection::rejectPartialRequest() -> void {
  if (Phase != read_phase::Rest)
    return;
  RejectsPartialRequest = true;
  error_code Ignored; // A broken socket fails at its read.
  Socket.cancel(Ignored);
}

} // namespace limpetbridge::net
