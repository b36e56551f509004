/// How a connection reads a request: a head, and a body that grows with what
/// has arrived and waits for room where that is scarce.
#include "net/caller_connection.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <limits>

namespace limpetbridge::net {

namespace {

namespace http = boost::beast::http;

/// Largest single read of a head and of a body, bytes.
constexpr std::size_t HeadReadBytes = std::size_t{8} * 1024;
constexpr std::size_t BodyReadBytes = std::size_t{16} * 1024;
/// Bytes that may be read and not parsed besides the header: the parser has no
/// limit of its own on the extension of a chunk or on a trailer.
constexpr std::size_t MaxUnparsedBytes = std::size_t{64} * 1024;
/// Memory of a parsed head from which on it asks for room.
constexpr std::size_t UsualHeadBytes = std::size_t{16} * 1024;
/// Bodies up to this size are allocated at once.
constexpr std::size_t FirstBodyBytes = std::size_t{64} * 1024;
/// Factor by which the allocation of a longer body grows. A third of the body
/// is copied on the way; the old and the new allocation exist together only
/// within one call.
constexpr std::size_t BodyGrowth = 4;
/// Timeout of a body after its header, per started megabyte of the limit.
constexpr duration BodyTimeoutPerMb = seconds(4);
constexpr std::uint64_t BytesPerMb = 1'000'000;

/// A body that appends what arrives, also in the smallest chunks, and leaves
/// its allocation to the connection.
struct appended_body {
  using value_type = std::string;

  class reader {
  public:
    template <bool IsRequest, class fields>
    reader(http::header<IsRequest, fields> & /*Header*/, value_type &Body)
        : Bytes(Body) {}
    auto init(const boost::optional<std::uint64_t> & /*Length*/,
              error_code &Error) -> void {
      Error = {};
    }
    template <class buffers>
    auto put(const buffers &Buffers, error_code &Error) -> std::size_t {
      Error = {};
      const auto Size = Bytes.size();
      for (auto Buffer = asio::buffer_sequence_begin(Buffers);
           Buffer != asio::buffer_sequence_end(Buffers); ++Buffer) {
        const asio::const_buffer Part(*Buffer);
        Bytes.append(static_cast<const char *>(Part.data()), Part.size());
      }
      return Bytes.size() - Size;
    }
    auto finish(error_code &Error) -> void { Error = {}; }

  private:
    value_type &Bytes;
  };
};

template <typename message>
auto copyFields(const message &Header) -> header_fields {
  header_fields Fields;
  Fields.reserve(
      static_cast<std::size_t>(std::distance(Header.begin(), Header.end())));
  for (const auto &Field : Header)
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Fields;
}

/// Memory of a head: many short fields take several times their text.
auto memoryOf(const http_request &Request) -> std::size_t {
  /// The parser's, the request's, and the one for the attempt at a target.
  constexpr std::size_t Copies = 3;
  std::size_t Bytes = Request.Target.size();
  for (const auto &Field : Request.Fields)
    Bytes += sizeof(Field) + Field.Name.size() + Field.Value.size();
  return Copies * Bytes;
}

auto makeRejection(std::uint16_t Status, std::string_view Reason)
    -> read_outcome {
  read_outcome Outcome;
  Outcome.End = read_end::Rejected;
  Outcome.Rejection = {Status, Reason};
  return Outcome;
}

auto makeErrorOutcome(const error_code &Error) -> read_outcome {
  if (Error == http::error::header_limit)
    return makeRejection(431, "header is too large");
  if (Error == http::error::body_limit)
    return makeRejection(413, "body is too large");
  if (Error.category() == make_error_code(http::error::bad_method).category())
    return makeRejection(400, "not a request of HTTP/1.1");
  return {};
}

} // namespace

struct caller_connection::pending_request {
  explicit pending_request(const connection_limits &RequestLimits)
      : Limits(RequestLimits) {
    Parser.header_limit(Limits.HeaderBytes);
    Parser.body_limit(Limits.BodyBytes);
  }

  [[nodiscard]] auto body() -> std::string & { return Parser.get().body(); }

  http::request_parser<appended_body> Parser;
  connection_limits Limits;
  std::size_t HeadBytes = 0; ///< Memory of the head that was read.
};

auto caller_connection::waitForFirstByte(duration IdleTimeout)
    -> awaitable<bool> {
  RequestBytes = 0;
  if (Buffer.size() > 0)
    co_return true;
  // Idle connections are many, so none of them has a buffer.
  releaseBuffer();
  Phase = read_phase::FirstByte;
  report(HasCarriedRequest ? connection_phase::Idle : connection_phase::New);
  error_code Error;
  std::size_t Count = 0;
  startTimer(IdleTimeout);
  for (;;) {
    co_await Socket.async_wait(tcp::socket::wait_read, storeError(Error));
    if (!Error)
      Count = Socket.read_some(Buffer.prepare(HeadReadBytes), Error);
    if (Error == asio::error::would_block || Error == asio::error::try_again)
      continue;
    if (Error != asio::error::operation_aborted)
      break;
    // The timer or closeIfIdle ended the wait; a request that has arrived by
    // now is served.
    error_code Ignored; // A broken socket has nothing to read.
    if (Socket.available(Ignored) > 0) {
      startTimer(IdleTimeout);
      continue;
    }
    Socket.close(Ignored);
    break;
  }
  Phase = read_phase::None;
  Buffer.commit(Count);
  MovedBytes += Count;
  FirstRequestDeadline = {};
  co_return !Error && Count > 0;
}

auto caller_connection::readRequest(connection_limits Limits)
    -> awaitable<read_outcome> {
  const auto Self = shared_from_this();
  const bool Begun =
      co_await waitForFirstByte(milliseconds(Limits.IdleTimeoutMs));
  if (!Begun)
    co_return makeErrorOutcome({});
  Phase = read_phase::Rest;
  PartialRejection.reset();
  report(connection_phase::Head);
  auto Outcome = co_await readRest(Limits);
  Phase = read_phase::None;
  ++TimerGeneration;
  releaseBuffer();
  if (Outcome.End == read_end::Request) {
    HasCarriedRequest = true;
    report(connection_phase::Serving);
  } else {
    // It waits for nothing any more.
    RequestBytes = 0;
    report(connection_phase::Writing);
  }
  co_return Outcome;
}

auto caller_connection::describeError(const error_code &Error,
                                      std::string_view TimeoutReason) const
    -> read_outcome {
  if (PartialRejection) {
    read_outcome Outcome;
    Outcome.End = read_end::Rejected;
    Outcome.Rejection = *PartialRejection;
    return Outcome;
  }
  return TimedOut ? makeRejection(408, TimeoutReason) : makeErrorOutcome(Error);
}

auto caller_connection::receive(std::size_t MaxBytes) -> awaitable<error_code> {
  error_code Error;
  // A read that was ended while it waited for room must not begin again.
  if (TimedOut || PartialRejection)
    co_return asio::error::operation_aborted;
  const auto Count = co_await Socket.async_read_some(Buffer.prepare(MaxBytes),
                                                     storeError(Error));
  Buffer.commit(Count);
  MovedBytes += Count;
  co_return Error;
}

auto caller_connection::receiveHead(pending_request &Pending)
    -> awaitable<error_code> {
  auto &Parser = Pending.Parser;
  error_code Error;
  for (;;) {
    Buffer.consume(Parser.put(Buffer.data(), Error));
    if (Parser.is_header_done() || Error != http::error::need_more)
      co_return Error;
    report(connection_phase::Head);
    // The first read of every head has room, so that ordinary requests do not
    // ask for it.
    if (Buffer.size() >= HeadReadBytes) {
      const bool HasGot = co_await awaitRoom(heldBytes() + HeadReadBytes);
      if (!HasGot)
        co_return asio::error::operation_aborted;
    }
    Error = co_await receive(HeadReadBytes);
    if (Error)
      co_return Error;
  }
}

auto caller_connection::readHead(pending_request &Pending,
                                 http_request &Request)
    -> awaitable<error_code> {
  const auto Error = co_await receiveHead(Pending);
  if (Error)
    co_return Error;
  const auto &Header = Pending.Parser.get();
  Request.Method = std::string(Header.method_string());
  Request.Target = std::string(Header.target());
  Request.Fields = copyFields(Header);
  Request.HasBody = Pending.Parser.chunked() || Header.has_content_length();
  Pending.HeadBytes = memoryOf(Request);
  RequestBytes = Pending.HeadBytes;
  if (RequestBytes > UsualHeadBytes) {
    const bool HasGot = co_await awaitRoom(heldBytes());
    if (!HasGot)
      co_return asio::error::operation_aborted;
  }
  co_return error_code();
}

auto caller_connection::nextBodyBytes(pending_request &Pending) const
    -> std::size_t {
  const auto &Body = Pending.body();
  const auto Length = Pending.Parser.content_length();
  const auto Largest = static_cast<std::size_t>(
      Length ? *Length : std::max<std::uint64_t>(Pending.Limits.BodyBytes, 1));
  const auto Needed = std::min(Largest, Body.size() + Buffer.size());
  if (Needed <= Body.capacity())
    return 0;
  const auto Next = std::max({Needed, Length ? FirstBodyBytes : Buffer.size(),
                              BodyGrowth * Body.capacity()});
  // A string at least doubles its allocation when it grows.
  return Next > Largest / 2 ? Largest : Next;
}

auto caller_connection::growBody(pending_request &Pending, std::size_t Bytes)
    -> awaitable<bool> {
  auto &Body = Pending.body();
  const auto Length = Pending.Parser.content_length();
  LargestRequest =
      Pending.HeadBytes +
      static_cast<std::size_t>(Length.value_or(Pending.Limits.BodyBytes));
  report(connection_phase::Body);
  const bool HasGot = co_await awaitRoom(heldBytes() + Bytes - Body.capacity());
  if (!HasGot)
    co_return false;
  Body.reserve(Bytes);
  RequestBytes = Pending.HeadBytes + Body.capacity();
  co_return true;
}

auto caller_connection::readBody(pending_request &Pending)
    -> awaitable<error_code> {
  auto &Parser = Pending.Parser;
  Parser.eager(true);
  error_code Error;
  for (;;) {
    if (Buffer.size() > 0) {
      if (const auto Bytes = nextBodyBytes(Pending); Bytes > 0) {
        const bool Grown = co_await growBody(Pending, Bytes);
        if (!Grown)
          co_return asio::error::operation_aborted;
      }
      Buffer.consume(Parser.put(Buffer.data(), Error));
      if (Parser.is_done())
        co_return error_code();
      if (Error && Error != http::error::need_more)
        co_return Error;
      if (Buffer.size() >= MaxUnparsedBytes)
        co_return http::error::buffer_overflow;
    }
    report(connection_phase::Body);
    Error = co_await receive(BodyReadBytes);
    if (Error)
      co_return Error;
  }
}

auto caller_connection::readRest(connection_limits Limits)
    -> awaitable<read_outcome> {
  const auto FirstByte = process_clock::now();
  startTimer(milliseconds(Limits.HeaderTimeoutMs));
  pending_request Pending(Limits);
  read_outcome Outcome;
  auto Error = co_await readHead(Pending, Outcome.Request);
  if (Error)
    co_return describeError(Error, "header came too slowly");
  Outcome.FirstByte = FirstByte;
  constexpr unsigned Version11 = 11;
  if (Pending.Parser.get().version() != Version11)
    co_return makeRejection(505, "only HTTP/1.1 is served");
  if (const auto Reason = findAmbiguity(Outcome.Request); !Reason.empty())
    co_return makeRejection(400, Reason);
  if (Outcome.Request.HasBody && !Pending.Parser.is_done()) {
    if (equalsIgnoreCase(findField(Outcome.Request.Fields, "expect"),
                         "100-continue")) {
      std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
      const bool Written = co_await write(std::move(Continue));
      if (!Written)
        co_return makeErrorOutcome({});
    }
    startTimer(milliseconds(Limits.HeaderTimeoutMs) +
               BodyTimeoutPerMb * (1 + Limits.BodyBytes / BytesPerMb));
    Error = co_await readBody(Pending);
    if (Error)
      co_return describeError(Error, "body came too slowly");
  }
  Outcome.Request.Body = std::move(Pending.body());
  Outcome.End = read_end::Request;
  co_return Outcome;
}

} // namespace limpetbridge::net
