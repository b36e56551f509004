#include "net/caller_connection.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace limpetbridge::net {

namespace {

namespace http = boost::beast::http;

/// Bytes of following requests that are taken in while one is in progress.
constexpr std::size_t MaxReadAhead = std::size_t{64} * 1024;
/// One read, bytes.
constexpr std::size_t ReadBytes = std::size_t{8} * 1024;
/// Time in which a closed connection may still be read from.
constexpr duration LingerTime = milliseconds(500);
/// Time for a body after its header, per started megabyte.
constexpr duration BodyTimePerMb = seconds(4);
constexpr std::uint64_t BytesPerMb = 1'000'000;

template <typename message>
auto copyFields(const message &Message) -> header_fields {
  header_fields Fields;
  for (const auto &Field : Message)
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Fields;
}

auto rejected(std::uint16_t Status, std::string_view Why) -> read_outcome {
  read_outcome Outcome;
  Outcome.End = read_end::Rejected;
  Outcome.Status = Status;
  Outcome.Why = Why;
  return Outcome;
}

auto rejectError(const error_code &Error) -> read_outcome {
  if (Error == http::error::header_limit)
    return rejected(431, "header is too large");
  if (Error == http::error::body_limit)
    return rejected(413, "body is too large");
  if (Error.category() == make_error_code(http::error::bad_method).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return rejected(400, "not a request of HTTP/1.1");
  return {};
}

} // namespace

caller_connection::caller_connection(tcp::socket Accepted)
    : Socket(std::move(Accepted)), Timer(Socket.get_executor()) {
  error_code Ignored; // Options only tune; a failure shows at the next read.
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
}

auto caller_connection::armTimer(duration Span) -> void {
  Expired = false;
  const auto Generation = ++TimerGeneration;
  Timer.expires_after(Span);
  Timer.async_wait([Self = weak_from_this(), Generation](error_code Error) {
    const auto This = Self.lock();
    if (Error || !This || This->TimerGeneration != Generation)
      return;
    This->Expired = true;
    error_code Ignored; // Already closed is as good.
    This->Socket.cancel(Ignored);
  });
}

auto caller_connection::waitFirstByte(duration IdleSpan) -> awaitable<bool> {
  if (Buffer.size() > 0)
    co_return true;
  Idle = true;
  armTimer(IdleSpan);
  error_code Error;
  const auto Count = co_await Socket.async_read_some(Buffer.prepare(ReadBytes),
                                                     storeError(Error));
  Idle = false;
  Buffer.commit(Count);
  // Bytes that crossed the close belong to a request that could get no answer.
  co_return !Error && Count > 0 && !IdleClosed;
}

auto caller_connection::readRequest(connection_limits Limits)
    -> awaitable<read_outcome> {
  const auto Self = shared_from_this();
  if (!co_await waitFirstByte(milliseconds(Limits.IdleTimeoutMs)))
    co_return rejectError({});
  const auto FirstByte = process_clock::now();
  armTimer(milliseconds(Limits.HeaderTimeoutMs));
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(Limits.HeaderBytes);
  Parser.body_limit(Limits.BodyBytes);
  error_code Error;
  co_await http::async_read_header(Socket, Buffer, Parser, storeError(Error));
  if (Error) {
    ++TimerGeneration;
    co_return Expired ? rejected(408, "header came too slowly")
                      : rejectError(Error);
  }
  const auto &Message = Parser.get();
  read_outcome Outcome;
  Outcome.FirstByte = FirstByte;
  Outcome.Request.Method = std::string(Message.method_string());
  Outcome.Request.Target = std::string(Message.target());
  Outcome.Request.Fields = copyFields(Message);
  Outcome.Request.HasBody = Parser.chunked() || Message.has_content_length();
  constexpr unsigned Version11 = 11;
  if (Message.version() != Version11)
    co_return rejected(505, "only HTTP/1.1 is served");
  if (const auto Why = findAmbiguity(Outcome.Request); !Why.empty())
    co_return rejected(400, Why);
  if (Outcome.Request.HasBody && !Parser.is_done()) {
    if (equalsIgnoreCase(findField(Outcome.Request.Fields, "expect"),
                         "100-continue")) {
      std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
      const bool Written = co_await write(std::move(Continue));
      if (!Written)
        co_return rejectError({});
    }
    armTimer(milliseconds(Limits.HeaderTimeoutMs) +
             BodyTimePerMb * (1 + Limits.BodyBytes / BytesPerMb));
    co_await http::async_read(Socket, Buffer, Parser, storeError(Error));
    if (Error) {
      ++TimerGeneration;
      co_return Expired ? rejected(408, "body came too slowly")
                        : rejectError(Error);
    }
  }
  ++TimerGeneration;
  Outcome.Request.Body = std::move(Parser.get().body());
  Outcome.End = read_end::Request;
  co_return Outcome;
}

auto caller_connection::startDisconnectWatch(std::function<void()> Left)
    -> void {
  OnLeft = std::move(Left);
  watchOnce(++WatchGeneration);
}

auto caller_connection::stopDisconnectWatch() -> void {
  ++WatchGeneration;
  OnLeft = nullptr;
}

auto caller_connection::watchOnce(std::uint64_t Generation) -> void {
  Socket.async_wait(tcp::socket::wait_read, [Self = shared_from_this(),
                                             Generation](error_code Error) {
    if (Self->WatchGeneration != Generation)
      return;
    std::size_t Count = 0;
    if (!Error)
      Count = Self->Socket.read_some(Self->Buffer.prepare(ReadBytes), Error);
    Self->Buffer.commit(Count);
    const bool Again = !Error || Error == asio::error::would_block ||
                       Error == asio::error::try_again;
    if (!Again) {
      ++Self->WatchGeneration;
      if (auto Left = std::exchange(Self->OnLeft, nullptr))
        Left();
    } else if (Self->Buffer.size() < MaxReadAhead) {
      Self->watchOnce(Generation);
    }
  });
}

auto caller_connection::write(std::string Bytes) -> awaitable<bool> {
  const auto Self = shared_from_this();
  error_code Error;
  co_await asio::async_write(Socket, asio::buffer(Bytes), storeError(Error));
  co_return !Error;
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
  armTimer(LingerTime);
  while (!Error) {
    Buffer.consume(Buffer.size());
    co_await Socket.async_read_some(Buffer.prepare(ReadBytes),
                                    storeError(Error));
  }
  ++TimerGeneration;
  Timer.cancel();
  Socket.close(Error);
}

auto caller_connection::closeIfIdle() -> void {
  if (!Idle)
    return;
  // What has arrived but was not looked at yet is a request in progress.
  error_code Error;
  if (Socket.available(Error) > 0)
    return;
  IdleClosed = true;
  error_code Ignored; // Already closed is as good.
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
}

} // namespace limpetbridge::net
