/// \file
/// One caller's request at a gateway: executes the commands of the reducer and
/// reports their results to it.
#ifndef LIMPETBRIDGE_NODE_SERVING_GATEWAY_REQUEST_H
#define LIMPETBRIDGE_NODE_SERVING_GATEWAY_REQUEST_H

#include "body_budget.h"
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

/// The parts of the gateway that a request uses.
struct request_environment {
  const gateway_hooks *Hooks = nullptr;
  body_budget *Budget = nullptr; ///< For answers that are held.
  std::function<void(serving::gateway_event)> Dispatch;
  std::function<bool()> IsDraining; ///< True: responses close the connection.
  /// True if a request may be sent to the target now.
  std::function<bool(const target_name &)> AcceptsRequests;
};

/// A request in progress.
class gateway_request : public std::enable_shared_from_this<gateway_request> {
public:
  using command = std::variant<serving::send_attempt, serving::refuse_request,
                               serving::relay_failure>;

  gateway_request(serving::request_number RequestNumber,
                  std::shared_ptr<net::caller_connection> Connection,
                  net::http_request CallerRequest, serving::call ParsedCall,
                  const request_environment &RequestEnvironment,
                  const net::asio::any_io_executor &Executor);

  /// Serves the request until it is answered or the caller disconnects.
  /// \returns true if the connection may serve another request.
  auto run() -> net::awaitable<bool>;

  /// Queues a command of the reducer and cancels the attempt in progress.
  auto enqueueCommand(command Command) -> void;
  /// Dispatches deadline_passed at \p Deadline.
  auto setDeadline(time_point Deadline) -> void;

private:
  /// Result of an attempt, as the reducer receives it.
  using attempt_result = serving::attempt_ended;

  /// \returns false if the caller has disconnected.
  auto waitForCommand() -> net::awaitable<bool>;
  auto handleDisconnect() -> void;
  auto runAttempt(const serving::send_attempt &Send)
      -> net::awaitable<attempt_result>;
  auto receiveResponse(const serving::send_attempt &Send)
      -> net::awaitable<attempt_result>;
  /// Reports what the head of an answer says about the target itself.
  auto reportNotice(const serving::send_attempt &Send,
                    const serving::answer_metadata &Facts) -> void;
  /// Relays a response after its body was read completely; a server error is
  /// stored in FailedResponse instead.
  auto relayBuffered(std::uint16_t Status) -> net::awaitable<attempt_result>;
  auto relayStream(const serving::send_attempt &Send)
      -> net::awaitable<attempt_result>;
  /// Writes the head before the first chunk.
  /// \returns false if the caller has disconnected.
  auto relayChunk(std::string Bytes) -> net::awaitable<bool>;
  auto writeRefusal(const serving::refuse_request &Refusal)
      -> net::awaitable<bool>;
  auto makeResult(serving::attempt_end End, std::uint16_t Status = 0) const
      -> attempt_result;
  /// What the current attempt has received of its answer.
  [[nodiscard]] auto describeBody() const -> serving::received_body;
  /// True if the connection has to close after this response.
  [[nodiscard]] auto shouldClose() const -> bool;

  serving::request_number Number;
  std::shared_ptr<net::caller_connection> Caller;
  net::http_request Request;
  serving::call Call;
  request_environment Environment;
  net::asio::any_io_executor Executor;
  net::asio::steady_timer CommandTimer; ///< Cancelled when a command arrives.
  net::asio::steady_timer DeadlineTimer;
  std::deque<command> Commands;
  std::shared_ptr<net::target_connection> Target;
  net::response_head ResponseHead;   ///< Of the current attempt.
  net::http_response FailedResponse; ///< For relay_failure.
  body_budget::share HeldBytes;      ///< Of the current answer.
  serving::event_stream Events;
  bool HasEvents = false;      ///< The current answer is an event stream.
  std::uint64_t BodyBytes = 0; ///< Of the current attempt.
  duration LongestGap = duration::zero(); ///< Of the current attempt.
  bool Resumable = false;
  bool ResponseStarted = false;    ///< A part of it was written to the caller.
  bool CloseAfterResponse = false; ///< The head has Connection: close.
  bool CallerDisconnected = false;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_REQUEST_H
