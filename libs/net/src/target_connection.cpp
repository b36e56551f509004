#include "net/target_connection.h"

#include "net/keep_alive.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <limits>

namespace limpetbridge::net {

namespace {

namespace http = boost::beast::http;

/// Largest single read of a body that is relayed, bytes.
constexpr std::size_t ReadBytes = std::size_t{16} * 1024;
/// The same of a body that is read completely. In a busy loop each read takes a
/// turn, so the fewer the better.
constexpr std::size_t FetchReadBytes = std::size_t{64} * 1024;
/// Largest head of a response, bytes.
constexpr std::uint32_t MaxHeadBytes = std::uint32_t{64} * 1024;
/// Least room for bytes that are read and not parsed yet.
constexpr std::size_t MinBufferBytes = std::size_t{8} * 1024;
/// Heads read per response: informational ones and the final one.
constexpr int MaxHeadsRead = 4;
/// Largest body that fetch accepts, bytes.
constexpr std::size_t MaxFetchedBodyBytes = std::size_t{4} * 1024 * 1024;

} // namespace

auto nameOf(exchange_stage Stage) -> std::string_view {
  switch (Stage) {
  case exchange_stage::Connecting:
    return "connecting";
  case exchange_stage::AwaitingHead:
    return "awaiting_head";
  case exchange_stage::ReadingBody:
    return "reading_body";
  case exchange_stage::Complete:
    return "complete";
  }
  return "connecting";
}

target_connection::target_connection(const asio::any_io_executor &Executor)
    : Socket(Executor), Timer(Executor), SendTimer(Executor) {}

auto target_connection::connect(const std::string &Address, time_point Deadline)
    -> awaitable<bool> {
  const auto Self = shared_from_this();
  const auto Endpoint = parseEndpoint<tcp>(Address);
  if (!Endpoint)
    co_return false;
  Timer.expires_at(toSteadyTime(Deadline));
  Timer.async_wait([Weak = weak_from_this()](error_code Error) {
    if (const auto This = Weak.lock(); This && !Error)
      This->close();
  });
  co_await Socket.async_connect(*Endpoint, storeError(ConnectError));
  Timer.cancel();
  if (ConnectError || !Socket.is_open())
    co_return false;
  error_code Error;
  Socket.set_option(tcp::no_delay(true), Error);
  setKeepAlive(Socket);
  co_return true;
}

auto target_connection::isRefused() const -> bool {
  return ConnectError == asio::error::connection_refused;
}

auto target_connection::startSend(std::string Head, shared_body Body) -> void {
  RequestHead = std::move(Head);
  RequestBody = std::move(Body);
  std::array<asio::const_buffer, 2> Buffers = {asio::buffer(RequestHead), {}};
  if (RequestBody)
    Buffers[1] = asio::buffer(*RequestBody);
  Sending = true;
  Received = false;
  HeadError.clear();
  LastReadError.clear();
  asio::async_write(
      Socket, Buffers,
      [Self = shared_from_this()](error_code Error, std::size_t Count) {
        Self->Sending = false;
        Self->SendError = Error;
        Self->SentBytes = Count;
        Self->SendTimer.cancel();
      });
}

auto target_connection::readResponseHead()
    -> awaitable<std::optional<response_head>> {
  const auto Self = shared_from_this();
  constexpr unsigned FirstStatus = 100;
  constexpr unsigned FirstFinalStatus = 200;
  constexpr unsigned LastStatus = 599;
  // The parser reads as much at a time as the buffer has room for, and an empty
  // buffer has room for 512 bytes.
  Buffer.reserve(std::max(MinBufferBytes, ReadSize));
  for (int HeadCount = 0; HeadCount < MaxHeadsRead; ++HeadCount) {
    Parser.emplace();
    Parser->header_limit(MaxHeadBytes);
    Parser->skip(ExpectsNoBody);
    // Bodies are read in parts, so their total size does not matter here.
    Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read_header(Socket, Buffer, *Parser,
                                     storeError(HeadError));
    Received |= Parser->got_some() || Buffer.size() > 0;
    if (HeadError)
      co_return std::nullopt;
    const auto &Header = Parser->get();
    if (Header.result_int() < FirstStatus || Header.result_int() > LastStatus)
      co_return std::nullopt;
    if (Header.result_int() < FirstFinalStatus)
      continue;
    response_head Head;
    Head.Status = static_cast<std::uint16_t>(Header.result_int());
    Head.Reason = std::string(Header.reason());
    for (const auto &Field : Header)
      Head.Fields.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    co_return Head;
  }
  co_return std::nullopt;
}

auto target_connection::hasHead() const -> bool {
  return Parser && Parser->is_header_done();
}

auto target_connection::endedUnanswered() const -> bool {
  return !Received && (HeadError == http::error::end_of_stream ||
                       HeadError == asio::error::eof ||
                       HeadError == asio::error::connection_reset ||
                       HeadError == asio::error::connection_aborted ||
                       HeadError == asio::error::broken_pipe);
}

auto target_connection::isBodyBuffered() const -> bool {
  return Parser && !Parser->need_eof() && !Parser->chunked() &&
         (Parser->is_done() ||
          Buffer.size() >=
              Parser->content_length_remaining().value_or(Buffer.size() + 1));
}

auto target_connection::hasUnreadBytes() const -> bool {
  // The line end of a chunk is parsed with the next chunk.
  constexpr std::size_t ChunkEndBytes = 2;
  error_code Error;
  return Buffer.size() + Socket.available(Error) > ChunkEndBytes;
}

auto target_connection::endsWithConnection() const -> bool {
  return Parser && Parser->need_eof();
}

auto target_connection::bodyLength() const -> std::optional<std::uint64_t> {
  const auto Length = Parser ? Parser->content_length() : boost::none;
  return Length ? std::optional<std::uint64_t>(*Length) : std::nullopt;
}

auto target_connection::isChunked() const -> bool {
  return Parser && Parser->chunked();
}

auto target_connection::readBody(std::string &Bytes) -> awaitable<body_read> {
  const auto Self = shared_from_this();
  ReadBuffer.resize(std::max(ReadBytes, ReadSize));
  while (!Parser->is_done()) {
    auto &Body = Parser->get().body();
    Body.data = ReadBuffer.data();
    Body.size = ReadBuffer.size();
    Body.more = true;
    error_code Error;
    co_await http::async_read_some(Socket, Buffer, *Parser, storeError(Error));
    const auto Count = ReadBuffer.size() - Body.size;
    Bytes.append(ReadBuffer.data(), Count);
    if (Error && Error != http::error::need_buffer) {
      LastReadError = Error;
      if (!Parser->is_done())
        co_return body_read::Broken;
    }
    if (Count > 0 && !Parser->is_done())
      co_return body_read::Data;
  }
  co_return co_await checkEnd();
}

auto target_connection::checkEnd() -> awaitable<body_read> {
  if (!Parser->need_eof())
    co_return body_read::End;
  // The end of the connection was read, perhaps before the result of a write
  // that the same reset has ended. A peer that has only stopped sending may go
  // on reading; if it does not, TCP_USER_TIMEOUT or the deadline ends the
  // write.
  while (Sending) {
    SendTimer.expires_at(std::chrono::steady_clock::time_point::max());
    error_code Cancelled; // By the end of the write.
    co_await SendTimer.async_wait(storeError(Cancelled));
  }
  if (!SendError)
    co_return body_read::End;
  LastReadError = SendError;
  co_return body_read::Broken;
}

auto target_connection::close() -> void {
  error_code Ignored; // The connection is given up either way.
  Socket.close(Ignored);
}

auto target_connection::isReusable() -> bool {
  if (!Socket.is_open() || Sending || SendError || !Parser ||
      !Parser->is_done() || !Parser->keep_alive() || Parser->need_eof() ||
      Buffer.size() > 0)
    return false;
  // A peer may respond before it has received the whole request.
  int UnacknowledgedBytes = 0;
  if (ioctl(Socket.native_handle(), SIOCOUTQ, &UnacknowledgedBytes) != 0 ||
      UnacknowledgedBytes > 0)
    return false;
  // A second copy of the response, or the end of the connection, may have
  // arrived meanwhile.
  return !peek();
}

auto target_connection::peek() -> std::optional<idle_end> {
  std::array<char, 1> Byte{};
  error_code Error;
  Socket.non_blocking(true, Error);
  const auto Count =
      Socket.receive(asio::buffer(Byte), tcp::socket::message_peek, Error);
  if (Count > 0)
    return idle_end::StrayBytes;
  if (Error == asio::error::would_block)
    return std::nullopt;
  return idle_end::Closed;
}

auto target_connection::startIdle(std::function<void(idle_end)> OnEnd) -> void {
  // Idle connections are many; their buffers are allocated again when needed.
  Parser.reset();
  Buffer.clear();
  Buffer.shrink_to_fit();
  ReadBuffer = std::vector<char>();
  RequestHead = std::string();
  RequestBody.reset();
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this(), OnEnd = std::move(OnEnd),
                     Generation = ++IdleGeneration](error_code) {
                      if (Self->IdleGeneration != Generation)
                        return;
                      ++Self->IdleGeneration;
                      OnEnd(Self->peek().value_or(idle_end::Closed));
                    });
}

auto target_connection::stopIdle() -> std::optional<idle_end> {
  ++IdleGeneration;
  const auto End = peek();
  error_code Ignored; // A broken socket fails at its next use.
  Socket.cancel(Ignored);
  return End;
}

namespace {

/// Sends \p Request on an open \p Connection and reads the response.
auto sendAndReceive(std::shared_ptr<target_connection> Connection,
                    const asio::any_io_executor &Executor,
                    const http_request &Request, time_point Deadline,
                    exchange_stage &Stage)
    -> awaitable<std::optional<http_response>> {
  Stage = exchange_stage::AwaitingHead;
  asio::steady_timer Timer(Executor, toSteadyTime(Deadline));
  Timer.async_wait([Weak = std::weak_ptr(Connection)](error_code Error) {
    if (const auto This = Weak.lock(); This && !Error)
      This->close();
  });
  Connection->setReadSize(FetchReadBytes);
  Connection->startSend(serializeRequest(Request));
  const auto Head = co_await Connection->readResponseHead();
  if (!Head)
    co_return std::nullopt;
  Stage = exchange_stage::ReadingBody;
  http_response Response{*Head, {}};
  auto ReadResult = body_read::Data;
  while (ReadResult == body_read::Data &&
         Response.Body.size() < MaxFetchedBodyBytes)
    ReadResult = co_await Connection->readBody(Response.Body);
  if (ReadResult != body_read::End)
    co_return std::nullopt;
  Stage = exchange_stage::Complete;
  co_return Response;
}

} // namespace

auto fetch(const asio::any_io_executor &Executor, const std::string &Address,
           const http_request &Request, time_point Deadline)
    -> awaitable<std::optional<http_response>> {
  exchange_stage Ignored{};
  co_return co_await fetch(Executor, Address, Request, Deadline, Ignored);
}

auto fetch(const asio::any_io_executor &Executor, const std::string &Address,
           const http_request &Request, time_point Deadline,
           exchange_stage &Stage) -> awaitable<std::optional<http_response>> {
  Stage = exchange_stage::Connecting;
  const auto Connection = std::make_shared<target_connection>(Executor);
  const bool Connected = co_await Connection->connect(Address, Deadline);
  if (!Connected)
    co_return std::nullopt;
  auto Response =
      co_await sendAndReceive(Connection, Executor, Request, Deadline, Stage);
  Connection->close();
  co_return Response;
}

auto persistent_client::fetch(const http_request &Request, time_point Deadline)
    -> awaitable<std::optional<http_response>> {
  exchange_stage Ignored{};
  co_return co_await fetch(Request, Deadline, Ignored);
}

auto persistent_client::fetch(const http_request &Request, time_point Deadline,
                              exchange_stage &Stage)
    -> awaitable<std::optional<http_response>> {
  Stage = exchange_stage::Connecting;
  if (!Connection || !Connection->isReusable()) {
    if (Connection)
      Connection->close();
    Connection = std::make_shared<target_connection>(Executor);
    const bool Connected = co_await Connection->connect(Address, Deadline);
    if (!Connected) {
      Connection.reset();
      co_return std::nullopt;
    }
  }
  auto Response =
      co_await sendAndReceive(Connection, Executor, Request, Deadline, Stage);
  if (!Response) {
    Connection->close();
    Connection.reset();
  }
  co_return Response;
}

} // namespace limpetbridge::net
