/// A gateway's side of its callers' connections: reads requests, rejects those
/// that cannot be handled, and serves the others.
#include "gateway_node.h"

#include "base/log.h"
#include "refusal_response.h"

#include <utility>

namespace limpetbridge {

using namespace serving;
using net::awaitable;

auto gateway_node::reject(const net::rejection &Rejection)
    -> net::http_response {
  // Those that caller_intake ends are counted there.
  if (Rejection.RetryAfterMs > 0)
    return makeRefusal(result_code::Overloaded, Rejection.RetryAfterMs);
  if (!Rejection.ClosesAtOnce)
    log(log_level::Warning, "request_rejected",
        {{"status", std::to_string(Rejection.Status)},
         {"why", std::string(Rejection.Reason)}});
  net::http_response Response;
  Response.Head.Status = Rejection.Status;
  Response.Body = std::string(Rejection.Reason) + "\n";
  return Response;
}

auto gateway_node::connectionLimits() const -> net::connection_limits {
  const auto &Limits = State.Configuration.Limits;
  return {Limits.HeaderBytes, Limits.BodyBytes, Limits.HeaderTimeoutMs,
          Limits.IdleTimeoutMs};
}

auto gateway_node::serveCaller(connection Connection) -> awaitable<void> {
  try {
    co_await serveRequests(Connection);
  } catch (const std::exception &Error) {
    Metrics.count("unexpected_errors", "connection");
    log(log_level::Error, "connection_failed", {{"error", Error.what()}});
    Connection->abort();
  }
  Connections.erase(Connection);
}

auto gateway_node::serveRequests(connection Connection) -> awaitable<void> {
  bool KeepOpen = true;
  while (KeepOpen) {
    const auto Limits = connectionLimits();
    auto Outcome = co_await Connection->readRequest(Limits);
    if (Outcome.End == net::read_end::Closed)
      break;
    if (Outcome.End == net::read_end::Rejected) {
      auto Bytes = serializeResponse(reject(Outcome.Rejection), true);
      co_await Connection->write(std::move(Bytes));
      break;
    }
    KeepOpen = co_await serveRequest(Connection, std::move(Outcome));
  }
  if (Connection->isOpen())
    co_await Connection->closeGracefully();
  if (const auto Bytes = Connection->discardedBytes(); Bytes > 0) {
    Metrics.count("connections_closed", "bytes_discarded");
    log(log_level::Warning, "bytes_discarded",
        {{"bytes", std::to_string(Bytes)},
         {"draining", Draining ? "true" : "false"}});
  }
}

auto gateway_node::serveRequest(connection Connection,
                                net::read_outcome Outcome) -> awaitable<bool> {
  auto Call = Hooks.ParseCall(Outcome.Request, Outcome.FirstByte);
  if (!Call) {
    log(log_level::Warning, "request_rejected",
        {{"error", toString(Call.error())}});
    net::http_response Response;
    Response.Head.Status = describe(Call.error().Code).HttpStatus;
    auto Bytes = serializeResponse(Response, false);
    co_return co_await Connection->write(std::move(Bytes));
  }
  const auto Number = ++LastRequestNumber;
  const auto Request = std::make_shared<gateway_request>(
      Number, Connection, std::move(Outcome.Request), std::move(Call.value()),
      Environment, Context.get_executor());
  Requests[Number] = Request;
  bool KeepOpen = false;
  try {
    KeepOpen = co_await Request->run();
  } catch (const std::exception &Error) {
    Metrics.count("unexpected_errors", "request");
    log(log_level::Error, "request_failed",
        {{"number", std::to_string(Number)}, {"error", Error.what()}});
    Connection->abort();
    // The reducer forgets the request as if its caller had gone.
    dispatch(caller_left{Number});
  }
  Requests.erase(Number);
  co_return KeepOpen;
}

} // namespace limpetbridge
