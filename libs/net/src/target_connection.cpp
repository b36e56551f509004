#include "net/target_connection.h"

#include "net/keep_alive.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <limits>

namespace limpetbridge::net {

namespace {

namespace http = boost::beast::http;

/// One read of a body, bytes.
constexpr std::size_t ChunkBytes = std::size_t{16} * 1024;
/// Largest head of an answer, bytes.
constexpr std::uint32_t MaxHeadBytes = std::uint32_t{64} * 1024;
/// Informational answers that may precede the final one.
constexpr int MaxInformational = 4;
/// Largest body that fetch takes, bytes.
constexpr std::size_t MaxFetchBytes = std::size_t{16} * 1024 * 1024;

} // namespace

target_connection::target_connection(const asio::any_io_executor &Executor)
    : Socket(Executor), Timer(Executor) {}

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
  error_code Error;
  co_await Socket.async_connect(*Endpoint, storeError(Error));
  Timer.cancel();
  if (Error || !Socket.is_open())
    co_return false;
  Socket.set_option(tcp::no_delay(true), Error);
  setKeepAlive(Socket);
  co_return true;
}

auto target_connection::startSend(std::string Bytes) -> void {
  Outgoing = std::move(Bytes);
  asio::async_write(Socket, asio::buffer(Outgoing),
                    [Self = shared_from_this()](error_code, std::size_t) {
                      // A failed write shows when the answer is read.
                    });
}

auto target_connection::readResponseHead()
    -> awaitable<std::optional<response_head>> {
  const auto Self = shared_from_this();
  constexpr unsigned FirstFinal = 200;
  for (int Each = 0; Each < MaxInformational; ++Each) {
    Parser.emplace();
    Parser->header_limit(MaxHeadBytes);
    // Answers are relayed as they come; their size does not matter here.
    Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code Error;
    co_await http::async_read_header(Socket, Buffer, *Parser,
                                     storeError(Error));
    if (Error)
      co_return std::nullopt;
    const auto &Message = Parser->get();
    if (Message.result_int() < FirstFinal)
      continue;
    response_head Head;
    Head.Status = static_cast<std::uint16_t>(Message.result_int());
    Head.Reason = std::string(Message.reason());
    for (const auto &Field : Message)
      Head.Fields.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    co_return Head;
  }
  co_return std::nullopt;
}

auto target_connection::endsWithConnection() const -> bool {
  return Parser && Parser->need_eof();
}

auto target_connection::readBody(std::string &Bytes) -> awaitable<body_read> {
  const auto Self = shared_from_this();
  Chunk.resize(ChunkBytes);
  while (!Parser->is_done()) {
    auto &Body = Parser->get().body();
    Body.data = Chunk.data();
    Body.size = Chunk.size();
    Body.more = true;
    error_code Error;
    co_await http::async_read_some(Socket, Buffer, *Parser, storeError(Error));
    const auto Count = Chunk.size() - Body.size;
    Bytes.append(Chunk.data(), Count);
    if (Error && Error != http::error::need_buffer)
      co_return Parser->is_done() ? body_read::End : body_read::Broken;
    if (Count > 0 && !Parser->is_done())
      co_return body_read::Data;
  }
  co_return body_read::End;
}

auto target_connection::close() -> void {
  error_code Ignored; // The exchange ends either way.
  Socket.close(Ignored);
}

auto target_connection::isReusable() const -> bool {
  return Socket.is_open() && Parser && Parser->is_done() &&
         Parser->keep_alive() && !Parser->need_eof() && Buffer.size() == 0;
}

namespace {

/// One exchange on a connected \p Connection.
auto exchange(std::shared_ptr<target_connection> Connection,
              const asio::any_io_executor &Executor,
              const http_request &Request, time_point Deadline)
    -> awaitable<std::optional<http_response>> {
  asio::steady_timer Timer(Executor, toSteadyTime(Deadline));
  Timer.async_wait([Weak = std::weak_ptr(Connection)](error_code Error) {
    if (const auto This = Weak.lock(); This && !Error)
      This->close();
  });
  Connection->startSend(serializeRequest(Request));
  const auto Head = co_await Connection->readResponseHead();
  if (!Head)
    co_return std::nullopt;
  http_response Answer{*Head, {}};
  auto Read = body_read::Data;
  while (Read == body_read::Data && Answer.Body.size() < MaxFetchBytes)
    Read = co_await Connection->readBody(Answer.Body);
  if (Read != body_read::End)
    co_return std::nullopt;
  co_return Answer;
}

} // namespace

auto fetch(const asio::any_io_executor &Executor, const std::string &Address,
           const http_request &Request, time_point Deadline)
    -> awaitable<std::optional<http_response>> {
  const auto Connection = std::make_shared<target_connection>(Executor);
  const bool Connected = co_await Connection->connect(Address, Deadline);
  if (!Connected)
    co_return std::nullopt;
  auto Answer = co_await exchange(Connection, Executor, Request, Deadline);
  Connection->close();
  co_return Answer;
}

auto kept_client::fetch(const http_request &Request, time_point Deadline)
    -> awaitable<std::optional<http_response>> {
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
  auto Answer = co_await exchange(Connection, Executor, Request, Deadline);
  if (!Answer) {
    Connection->close();
    Connection.reset();
  }
  co_return Answer;
}

} // namespace limpetbridge::net
