#include "net/server.h"

#include "base/log.h"

#include <stdexcept>

namespace limpetbridge::net {

namespace {

/// Delay after a failed accept, for instance when file descriptors ran out, and
/// between two questions whether to accept.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(20);
/// Connections that are accepted in one turn of the loop at most.
constexpr int MaxAccepted = 16;
/// Established connections that may wait to be accepted.
constexpr int Backlog = 512;

template <typename protocol>
auto parseEndpointOrThrow(const std::string &Address) ->
    typename protocol::endpoint {
  const auto Endpoint = parseEndpoint<protocol>(Address);
  if (!Endpoint)
    throw std::invalid_argument(Address + " is not an address");
  return *Endpoint;
}

auto makeRejectionHead(const rejection &Rejection) -> response_head {
  constexpr std::int64_t MsPerSecond = 1000;
  response_head Head;
  Head.Status = Rejection.Status;
  if (Rejection.RetryAfterMs > 0)
    Head.Fields.push_back(
        {"Retry-After",
         std::to_string((Rejection.RetryAfterMs + MsPerSecond - 1) /
                        MsPerSecond)});
  return Head;
}

} // namespace

listener::listener(asio::io_context &Context, const std::string &Address,
                   accept_handler AcceptHandler, accept_gate MayAccept)
    : Acceptor(Context), RetryTimer(Context),
      OnAccepted(std::move(AcceptHandler)), Gate(std::move(MayAccept)) {
  const auto Endpoint = parseEndpointOrThrow<tcp>(Address);
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Endpoint);
  Acceptor.listen(Backlog);
  Acceptor.non_blocking(true);
  acceptNext();
}

auto listener::acceptNext() -> void {
  if (Gate && !Gate()) {
    acceptLater();
    return;
  }
  Acceptor.async_accept([this](error_code Error, tcp::socket Socket) {
    // Accepted before stop, which may have run since.
    if (!Error)
      OnAccepted(std::make_shared<caller_connection>(std::move(Socket)));
    if (Error == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (Error) {
      acceptLater();
      return;
    }
    // A busy loop comes here once a turn. With one connection each time, the
    // others would wait in the backlog until their callers give up.
    acceptWaiting(MaxAccepted - 1);
    acceptNext();
  });
}

auto listener::acceptLater() -> void {
  RetryTimer.expires_after(AcceptRetryDelay);
  RetryTimer.async_wait([this](error_code Cancelled) {
    if (!Cancelled && Acceptor.is_open())
      acceptNext();
  });
}

auto listener::acceptWaiting(int Limit) -> void {
  error_code Error;
  for (int Count = 0; Count < Limit && !Error && (!Gate || Gate()); ++Count) {
    tcp::socket Socket(Acceptor.get_executor());
    Acceptor.accept(Socket, Error);
    if (!Error)
      OnAccepted(std::make_shared<caller_connection>(std::move(Socket)));
  }
}

auto listener::stop() -> void {
  // Connections in the backlog are established for their callers; closing the
  // listener would reset them.
  acceptWaiting(Backlog);
  error_code Ignored; // The socket may be closed already.
  Acceptor.close(Ignored);
  RetryTimer.cancel();
}

auto listener::port() const -> std::uint16_t {
  return Acceptor.local_endpoint().port();
}

auto listener::address() const -> std::string {
  return Acceptor.local_endpoint().address().to_string() + ":" +
         std::to_string(port());
}

auto serveCalls(std::shared_ptr<caller_connection> Connection,
                call_handler Handler) -> awaitable<void> {
  const connection_limits Limits;
  for (;;) {
    auto Outcome = co_await Connection->readRequest(Limits);
    if (Outcome.End == read_end::Closed)
      break;
    http_response Response;
    const bool Rejected = Outcome.End == read_end::Rejected;
    if (Rejected)
      Response.Head = makeRejectionHead(Outcome.Rejection);
    else
      Response = co_await Handler(std::move(Outcome.Request));
    auto Bytes = serializeResponse(Response, Rejected);
    const bool Written = co_await Connection->write(std::move(Bytes));
    if (!Written || Rejected)
      break;
  }
  co_await Connection->closeGracefully();
}

auto spawnServeCalls(asio::io_context &Context,
                     std::shared_ptr<caller_connection> Connection,
                     const call_handler &Handler) -> void {
  spawnContained(Context.get_executor(),
                 serveCalls(std::move(Connection), Handler),
                 [](const std::string &Error) {
                   log(log_level::Error, "call_failed", {{"error", Error}});
                 });
}

datagram_socket::datagram_socket(asio::io_context &Context,
                                 const std::string &Address,
                                 receive_handler DatagramHandler)
    : Socket(Context, parseEndpointOrThrow<udp>(Address)),
      OnDatagram(std::move(DatagramHandler)) {
  Socket.non_blocking(true);
  receiveNext();
}

auto datagram_socket::send(const std::string &Address, std::string_view Bytes)
    -> void {
  const auto Endpoint = parseEndpoint<udp>(Address);
  if (!Endpoint)
    return;
  error_code Ignored; // Delivery of datagrams is not guaranteed.
  Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()), *Endpoint, 0,
                 Ignored);
}

auto datagram_socket::receiveNext() -> void {
  Socket.async_wait(udp::socket::wait_read, [this](error_code Error) {
    if (Error == asio::error::operation_aborted || !Socket.is_open())
      return;
    receiveAll();
    if (Socket.is_open())
      receiveNext();
  });
}

auto datagram_socket::receiveAll() -> void {
  // A busy loop comes here once a turn. With one datagram each time, those that
  // arrive meanwhile grow old in the socket's buffer until it drops others.
  for (int Count = 0; Count < MaxReceived && Socket.is_open(); ++Count) {
    error_code Error;
    const auto Bytes =
        Socket.receive_from(asio::buffer(Buffer), Sender, 0, Error);
    if (Error == asio::error::would_block)
      return;
    if (Error)
      continue;
    // A copy: the handler may close the socket.
    const std::string From = textOf(Sender);
    OnDatagram(From, std::string_view(Buffer.data(), Bytes));
  }
}

auto datagram_socket::textOf(const udp::endpoint &Endpoint)
    -> const std::string & {
  // Anyone may send from any port.
  constexpr std::size_t MaxTexts = 1024;
  const auto Found = SenderTexts.find(Endpoint);
  if (Found != SenderTexts.end())
    return Found->second;
  if (SenderTexts.size() >= MaxTexts)
    SenderTexts.clear();
  return SenderTexts[Endpoint] = Endpoint.address().to_string() + ":" +
                                 std::to_string(Endpoint.port());
}

auto datagram_socket::address() const -> std::string {
  const auto Endpoint = Socket.local_endpoint();
  return Endpoint.address().to_string() + ":" + std::to_string(Endpoint.port());
}

auto datagram_socket::stop() -> void {
  error_code Ignored; // The socket may be closed already.
  Socket.close(Ignored);
}

} // namespace limpetbridge::net
