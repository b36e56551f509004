/// \file
/// One caller's request at a gateway: carries out the commands of the reducer
/// and tells it how they ended.
#ifndef LIMPETBRIDGE_NODE_SERVING_GATEWAY_REQUEST_H
#define LIMPETBRIDGE_NODE_SERVING_GATEWAY_REQUEST_H

#include "gateway_hooks.h"
#include "net/caller_connection.h"
#include "net/target_connection.h"
#include "serving/event_stream.h"
#include "serving/gateway_effects.h"

#include <deque>
#include <functional>
#include <memory>
#include <variant>

namespace limpetbridge {

/// What a request needs from its gateway.
struct request_environment {
  const gateway_hooks *Hooks = nullptr;
  std::function<void(serving::gateway_event)> Dispatch;
  std::function<bool()> Closing; ///< True when connections are to end.
};

/// A request in progress.
class gateway_request : public std::enable_shared_from_this<gateway_request> {
public:
  using command = std::variant<serving::send_attempt, serving::refuse_request,
                               serving::relay_failure>;

  gateway_request(serving::request_number RequestNumber,
                  std::shared_ptr<net::caller_connection> Connection,
                  net::http_request Message, serving::call CallFacts,
                  const request_environment &Surroundings,
                  const net::asio::any_io_executor &Executor);

  /// Serves the request to its end.
  /// \returns true if the connection may serve another one.
  auto run() -> net::awaitable<bool>;

  /// Takes a command of the reducer; a command during an attempt ends it.
  auto take(command Command) -> void;
  /// Tells the reducer when \p Deadline passes.
  auto setDeadline(time_point Deadline) -> void;

private:
  /// How an attempt ended, for the reducer.
  using ended = serving::attempt_ended;

  auto nextCommand() -> net::awaitable<bool>;
  auto leave() -> void;
  auto attempt(const serving::send_attempt &Send) -> net::awaitable<ended>;
  auto readAnswerHead(const serving::send_attempt &Send)
      -> net::awaitable<ended>;
  auto relayWhole(std::uint16_t Status) -> net::awaitable<ended>;
  auto relayStream(const serving::send_attempt &Send) -> net::awaitable<ended>;
  auto relayPart(std::string Bytes) -> net::awaitable<bool>;
  auto writeRefusal(const serving::refuse_request &Refusal)
      -> net::awaitable<bool>;
  auto makeEnd(serving::attempt_end End, std::uint16_t Status = 0) const
      -> ended;
  [[nodiscard]] auto closes() const -> bool;

  serving::request_number Number;
  std::shared_ptr<net::caller_connection> Caller;
  net::http_request Request;
  serving::call Call;
  request_environment Environment;
  net::asio::any_io_executor Executor;
  net::asio::steady_timer Wake;
  net::asio::steady_timer DeadlineTimer;
  std::deque<command> Commands;
  std::shared_ptr<net::target_connection> Target;
  net::response_head AnswerHead;          ///< Of the current attempt.
  net::http_response Failure;             ///< Kept for relay_failure.
  serving::event_stream Events;           ///< Of a resumable stream.
  duration LongestGap = duration::zero(); ///< Of the current attempt.
  bool Resumable = false;
  bool AnswerBegun = false; ///< The caller has got a part of the answer.
  bool ClosesAfter = false; ///< The head said that the connection ends.
  bool CallerLeft = false;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_REQUEST_H
