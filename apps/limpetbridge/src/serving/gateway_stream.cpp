/// Writes the pieces of a stream to its caller, and finds out whether a stream
/// that ends with its connection was ended by a crash.
#include "gateway_request.h"

#include "net/target_connection.h"

#include <algorithm>

namespace limpetbridge {

using namespace serving;
using net::awaitable;

namespace {

/// Time for the check, which delays the end of the answer. A target whose
/// process has ended refuses within a round trip.
constexpr duration CheckTime = milliseconds(300);
/// A process that is ending may still accept the connection, and resets it when
/// its listening socket is closed.
constexpr duration ResetTime = milliseconds(20);

} // namespace

auto gateway_request::relayChunk(std::string Bytes) -> awaitable<bool> {
  std::string Output;
  if (!ResponseStarted) {
    ResponseStarted = true;
    CloseAfterResponse = shouldClose();
    auto Head = ResponseHead;
    Head.Fields.push_back({"Transfer-Encoding", "chunked"});
    if (CloseAfterResponse)
      Head.Fields.push_back({"Connection", "close"});
    Output = net::serializeResponseHead(Head) + "\r\n";
  }
  if (!Bytes.empty())
    Output += net::serializeChunk(Bytes);
  if (Output.empty())
    co_return true;
  const bool Written = co_await Caller->write(std::move(Output));
  if (Written)
    co_return true;
  if (!CallerDisconnected)
    handleDisconnect();
  co_return false;
}

auto gateway_request::hasTargetCrashed(const send_attempt &Send)
    -> awaitable<bool> {
  const auto Executor = co_await net::asio::this_coro::executor;
  const auto Connection = std::make_shared<net::target_connection>(Executor);
  const bool Connected = co_await Connection->connect(
      Send.Address, std::min(Send.Deadline, process_clock::now() + CheckTime));
  bool Crashed = !Connected && Connection->isRefused();
  if (Connected) {
    Connection->startIdle([](net::idle_end) {});
    co_await net::sleepFor(ResetTime);
    Crashed = Connection->stopIdle().has_value();
  }
  Connection->close();
  co_return Crashed;
}

} // namespace limpetbridge
