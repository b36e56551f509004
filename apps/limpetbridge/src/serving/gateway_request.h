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
#include "target_connections.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace limpetbridge {

/// The parts of the gateway that a request uses.
struct request_environment {
  const gateway_hooks *Hooks = nullptr;
  body_budget *Budget = nullptr; ///< For answers that are held.
  std::function<void(serving::gateway_event)> Dispatch;
  target_connections *Connections = nullptr;
  std::function<bool()> IsDraining; ///< True: responses close the connection.
  /// True if connections to targets are kept.
  std::function<bool()> KeepsConnections;
  /// True if a request may be sent to the target now.
  std::function<bool(const target_name &)> AcceptsRequests;
  /// False if the key of the request was removed.
  std::function<bool(serving::request_number)> HasValidKey;
  /// Notes the time between two events of a stream, ms.
  std::function<void(const target_name &, double GapMs)> NotePace;
  /// True if slow requests get second attempts.
  std::function<bool()> Hedges;
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

  // gateway_hedge.cpp: a second attempt beside the one in progress.

  /// Dispatches hedge_due at the time of \p Timer.
  auto setHedgeTimer(const serving::set_hedge_timer &Timer) -> void;
  /// Starts a second attempt; the one in progress goes on.
  auto startHedge(const serving::send_attempt &Send) -> void;
  /// Cancels one of two attempts in progress; its end is not reported.
  auto cancelAttempt(serving::attempt_number Attempt) -> void;

private:
  /// Result of an attempt, as the reducer receives it.
  using attempt_result = serving::attempt_ended;

  /// \returns false if the caller has disconnected.
  auto waitForCommand() -> net::awaitable<bool>;
  auto handleDisconnect() -> void;
  auto runAttempt(const serving::send_attempt &Send)
      -> net::awaitable<attempt_result>;
  /// Sets Target to a connection that may be sent on: a kept one or a new one.
  /// \returns false if there is none.
  auto connectTarget(const serving::send_attempt &Send) -> net::awaitable<bool>;
  /// Hands the connection over if the answer was read to its end and another
  /// request may use the connection.
  auto restConnection() -> void;
  /// Result of an attempt whose connection ended or sent no valid head.
  /// \param IsFirst nothing was read before.
  auto makeResultWithoutHead(bool IsFirst) -> attempt_result;
  /// Result of an attempt that the target refused to run.
  auto refused(const serving::answer_metadata &Facts, std::uint16_t Status)
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
  /// True if nothing accepts connections at the target any more. Tells a stream
  /// that ends with its connection from one of a process that was killed
  /// between two events, whose connections end in the same way.
  auto hasTargetCrashed(const serving::send_attempt &Send)
      -> net::awaitable<bool>;
  /// Writes the head before the first chunk.
  /// \returns false if the caller has disconnected.
  auto relayChunk(std::string Bytes) -> net::awaitable<bool>;
  auto writeRefusal(const serving::refuse_request &Refusal)
      -> net::awaitable<bool>;
  /// Writes a whole response, of which HEAD gets the head.
  /// \returns false if the caller has disconnected.
  auto writeResponse(net::http_response Response) -> net::awaitable<bool>;
  auto makeResult(serving::attempt_end End, std::uint16_t Status = 0) const
      -> attempt_result;
  /// What the current attempt has received of its answer.
  [[nodiscard]] auto describeBody() const -> serving::received_body;
  /// True if the connection has to close after this response.
  [[nodiscard]] auto shouldClose() const -> bool;

  // gateway_hedge.cpp

  /// Runs the attempt of a hedge and hands its result to Owner.
  auto runHedge(serving::send_attempt Send) -> net::awaitable<void>;
  /// Takes over what the hedge has written to the caller, and reports its
  /// result unless it was cancelled.
  auto finishHedge(const attempt_result &Result) -> void;
  /// To be called before anything of an answer is relayed. \returns false if
  /// another attempt answers or the request was ended, so nothing may be.
  auto claimAnswer() -> bool;
  /// Ends the current attempt, whose result is not reported.
  auto cancel() -> void;
  /// True if the result of the current attempt is not wanted any more.
  [[nodiscard]] auto isCancelled() const -> bool {
    return CallerDisconnected || !Commands.empty() || Cancelled;
  }
  /// True while a hedge writes to the caller.
  [[nodiscard]] auto isHedgeRelaying() const -> bool {
    return Hedge && HedgeRunning && Hedge->Claimed;
  }

  serving::request_number Number;
  std::shared_ptr<net::caller_connection> Caller;
  net::http_request Request; ///< Its body is in Body.
  net::shared_body Body;     ///< Kept for another attempt.
  serving::call Call;
  request_environment Environment;
  net::asio::any_io_executor Executor;
  net::asio::steady_timer CommandTimer; ///< Cancelled when a command arrives.
  net::asio::steady_timer DeadlineTimer;
  std::deque<command> Commands;
  std::shared_ptr<net::target_connection> Target;
  serving::connection_use Use; ///< Of the current attempt's connection.
  bool MayRest = false;        ///< Once the current answer was read to its end.
  std::optional<std::int64_t> StatedMs; ///< Keep-Alive of the current answer.
  /// Of the current answer, once its connection was handed over.
  std::optional<serving::received_body> RestingBody;
  net::response_head ResponseHead;   ///< Of the current attempt.
  net::http_response FailedResponse; ///< For relay_failure.
  body_budget::share HeldBytes;      ///< Of the current answer.
  serving::event_stream Events;
  bool HasEvents = false;      ///< The current answer is an event stream.
  std::uint64_t BodyBytes = 0; ///< Of the current attempt.
  duration LongestGap = duration::zero(); ///< Of the current attempt.
  bool IsHead = false; ///< The method is HEAD: answers have no body.
  bool Resumable = false;
  bool ResponseStarted = false;    ///< A part of it was written to the caller.
  bool CloseAfterResponse = false; ///< The head has Connection: close.
  bool CallerDisconnected = false;
  serving::attempt_number Attempt = 0; ///< Number of the current attempt.
  bool Claimed = false;                ///< The current attempt answers.
  bool Cancelled = false;              ///< The current attempt was.
  std::optional<net::asio::steady_timer> HedgeTimer;
  /// The second attempt: an object of its own that shares caller and body. It
  /// is kept after its end for a failure that is relayed.
  std::shared_ptr<gateway_request> Hedge;
  bool HedgeRunning = false;
  bool HedgeAnswered = false;           ///< The caller has its whole answer.
  bool HedgeFailedLast = false;         ///< relay_failure relays its answer.
  std::weak_ptr<gateway_request> Owner; ///< Of a hedge: whose hedge it is.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_REQUEST_H
