#include "gateway_request.h"

#include "base/result_code.h"

#include <array>
#include <cstdio>

namespace limpetbridge {

namespace {

using namespace serving;
using net::awaitable;

/// Longest wait for a connection to a target; within a data centre it takes
/// about a millisecond, and a lost packet is sent again after a second.
constexpr duration ConnectTimeout = milliseconds(1200);
/// Late answers to other requests that may precede the one waited for.
constexpr int MaxForeignAnswers = 4;
/// Largest answer that is relayed whole, bytes.
constexpr std::size_t MaxWholeBytes = std::size_t{8} * 1024 * 1024;
constexpr std::uint16_t FirstError = 300;
constexpr std::uint16_t FirstServerError = 500;

auto isSuccess(std::uint16_t Status) -> bool {
  constexpr std::uint16_t FirstSuccess = 200;
  return Status >= FirstSuccess && Status < FirstError;
}

/// Seconds with milliseconds, as Retry-After takes them here.
auto printSeconds(std::int64_t Milliseconds) -> std::string {
  constexpr double PerSecond = 1000;
  std::array<char, 32> Text{};
  const int Length =
      std::snprintf(Text.data(), Text.size(), "%.3f",
                    static_cast<double>(Milliseconds) / PerSecond);
  return {Text.data(), static_cast<std::size_t>(Length)};
}

} // namespace

gateway_request::gateway_request(
    request_number RequestNumber,
    std::shared_ptr<net::caller_connection> Connection,
    net::http_request Message, call CallFacts,
    const request_environment &Surroundings,
    const net::asio::any_io_executor &TaskExecutor)
    : Number(RequestNumber), Caller(std::move(Connection)),
      Request(std::move(Message)), Call(std::move(CallFacts)),
      Environment(Surroundings), Executor(TaskExecutor), Wake(TaskExecutor),
      DeadlineTimer(TaskExecutor) {}

auto gateway_request::take(command Command) -> void {
  Commands.push_back(std::move(Command));
  Wake.cancel();
  if (Target)
    Target->close();
}

auto gateway_request::setDeadline(time_point Deadline) -> void {
  DeadlineTimer.expires_at(net::toSteadyTime(Deadline));
  DeadlineTimer.async_wait([Weak = weak_from_this()](net::error_code Error) {
    if (const auto This = Weak.lock(); This && !Error)
      This->Environment.Dispatch(deadline_passed{This->Number});
  });
}

auto gateway_request::leave() -> void {
  CallerLeft = true;
  Wake.cancel();
  if (Target)
    Target->close();
  Environment.Dispatch(caller_left{Number});
}

auto gateway_request::nextCommand() -> awaitable<bool> {
  while (Commands.empty() && !CallerLeft) {
    Wake.expires_at(std::chrono::steady_clock::time_point::max());
    net::error_code Cancelled; // How take and leave wake this up.
    co_await Wake.async_wait(net::storeError(Cancelled));
  }
  co_return !CallerLeft;
}

auto gateway_request::run() -> awaitable<bool> {
  const auto Self = shared_from_this();
  Caller->startDisconnectWatch([Weak = weak_from_this()] {
    if (const auto This = Weak.lock())
      This->leave();
  });
  Environment.Dispatch(request_arrived{Number, Call});
  bool Complete = false;
  while (co_await nextCommand()) {
    const auto Command = std::move(Commands.front());
    Commands.pop_front();
    if (const auto *Send = std::get_if<send_attempt>(&Command)) {
      const auto End = co_await attempt(*Send);
      Target.reset();
      if (CallerLeft)
        break;
      if (!Commands.empty())
        continue;
      Environment.Dispatch(End);
      if (End.End == attempt_end::Answered) {
        Complete = true;
        break;
      }
    } else if (const auto *Refusal = std::get_if<refuse_request>(&Command)) {
      Complete = co_await writeRefusal(*Refusal);
      break;
    } else {
      ClosesAfter = closes();
      auto Bytes = serializeResponse(Failure, ClosesAfter);
      Complete = co_await Caller->write(std::move(Bytes));
      break;
    }
  }
  DeadlineTimer.cancel();
  Caller->stopDisconnectWatch();
  if (!Complete)
    Caller->abort();
  co_return Complete && !ClosesAfter && !closes();
}

auto gateway_request::closes() const -> bool {
  return Environment.Closing() ||
         net::equalsIgnoreCase(net::findField(Request.Fields, "connection"),
                               "close");
}

auto gateway_request::makeEnd(attempt_end End, std::uint16_t Status) const
    -> ended {
  return {Number, End, Status, false, toMilliseconds(LongestGap)};
}

auto gateway_request::attempt(const send_attempt &Send) -> awaitable<ended> {
  Resumable = Send.Resumable;
  Target = std::make_shared<net::target_connection>(Executor);
  const auto Connecting = Target;
  if (!co_await Connecting->connect(
          Send.Address,
          std::min(Send.Deadline, process_clock::now() + ConnectTimeout)))
    co_return makeEnd(attempt_end::NotSent);
  if (CallerLeft || !Commands.empty())
    co_return makeEnd(attempt_end::NotSent);
  attempt_facts Facts;
  Facts.Target = Send.Target;
  Facts.RemainingMs =
      toMilliseconds(remaining(Send.Deadline, process_clock::now()));
  Facts.Priority = Send.Priority;
  Facts.ResumeAfter = Events.lastId();
  Connecting->startSend(
      serializeRequest(Environment.Hooks->BuildAttemptRequest(Request, Facts)));
  co_return co_await readAnswerHead(Send);
}

auto gateway_request::readAnswerHead(const send_attempt &Send)
    -> awaitable<ended> {
  const auto Connection = Target;
  for (int Each = 0; Each < MaxForeignAnswers; ++Each) {
    const auto Head = co_await Connection->readResponseHead();
    if (!Head)
      co_return makeEnd(attempt_end::Unknown);
    const auto Facts = Environment.Hooks->ParseResponseHead(*Head, Call.Id);
    if (Facts.OtherCall) {
      std::string Dropped;
      auto Read = net::body_read::Data;
      while (Read == net::body_read::Data)
        Read = co_await Connection->readBody(Dropped);
      if (Read == net::body_read::Broken || Connection->endsWithConnection())
        co_return makeEnd(attempt_end::Unknown);
      continue;
    }
    if (Facts.NotRun) {
      auto End = makeEnd(attempt_end::NotRun, Head->Status);
      End.WrongTarget = Facts.WrongTarget;
      co_return End;
    }
    const bool Trusted =
        !Facts.Encoded && !Facts.FalsePromise &&
        (!isSuccess(Head->Status) || (Facts.Signed && Facts.SameCall));
    if (!Trusted)
      co_return makeEnd(attempt_end::Unknown, Head->Status);
    AnswerHead = *Head;
    AnswerHead.Fields = net::endToEndFields(Head->Fields);
    if (Send.Kind == request_kind::Stream && isSuccess(Head->Status))
      co_return co_await relayStream(Send);
    co_return co_await relayWhole(Head->Status);
  }
  co_return makeEnd(attempt_end::Unknown);
}

auto gateway_request::relayWhole(std::uint16_t Status) -> awaitable<ended> {
  const auto Connection = Target;
  net::http_response Answer{AnswerHead, {}};
  auto Read = net::body_read::Data;
  while (Read == net::body_read::Data && Answer.Body.size() < MaxWholeBytes)
    Read = co_await Connection->readBody(Answer.Body);
  if (Read != net::body_read::End || CallerLeft || !Commands.empty())
    co_return makeEnd(attempt_end::Unknown, Status);
  if (Status >= FirstServerError) {
    Failure = std::move(Answer);
    co_return makeEnd(attempt_end::Failed, Status);
  }
  // A resumed stream that fails now has begun already.
  if (AnswerBegun)
    co_return makeEnd(attempt_end::CutShort, Status);
  ClosesAfter = closes();
  AnswerBegun = true;
  auto Bytes = serializeResponse(Answer, ClosesAfter);
  const bool Written = co_await Caller->write(std::move(Bytes));
  if (!Written) {
    leave();
    co_return makeEnd(attempt_end::CutShort, Status);
  }
  co_return makeEnd(attempt_end::Answered, Status);
}

auto gateway_request::relayPart(std::string Bytes) -> awaitable<bool> {
  std::string Out;
  if (!AnswerBegun) {
    AnswerBegun = true;
    ClosesAfter = closes();
    auto Head = AnswerHead;
    Head.Fields.push_back({"Transfer-Encoding", "chunked"});
    if (ClosesAfter)
      Head.Fields.push_back({"Connection", "close"});
    Out = net::serializeResponseHead(Head) + "\r\n";
  }
  if (!Bytes.empty())
    Out += net::serializeChunk(Bytes);
  if (Out.empty())
    co_return true;
  const bool Written = co_await Caller->write(std::move(Out));
  if (Written)
    co_return true;
  if (!CallerLeft)
    leave();
  co_return false;
}

auto gateway_request::relayStream(const send_attempt &Send)
    -> awaitable<ended> {
  const auto Connection = Target;
  const auto Status = AnswerHead.Status;
  Events.restart();
  bool First = true;
  auto LastPart = process_clock::now();
  LongestGap = duration::zero();
  for (;;) {
    std::string Bytes;
    const auto Read = co_await Connection->readBody(Bytes);
    const auto Now = process_clock::now();
    if (!First)
      LongestGap = std::max(LongestGap, Now - LastPart);
    LastPart = Now;
    if (CallerLeft || !Commands.empty())
      co_return makeEnd(attempt_end::CutShort, Status);
    if (!Bytes.empty() && std::exchange(First, false))
      Environment.Dispatch(first_output{Number});
    if (Send.Resumable) {
      Bytes = Events.feed(Bytes);
      // Trailing bytes without an empty line are part of the whole body.
      if (Read == net::body_read::End)
        Bytes += Events.rest();
    }
    bool Written = true;
    if (!Bytes.empty())
      Written = co_await relayPart(std::move(Bytes));
    if (!Written)
      co_return makeEnd(attempt_end::CutShort, Status);
    if (Read == net::body_read::Broken)
      co_return makeEnd(
          AnswerBegun ? attempt_end::CutShort : attempt_end::Unknown, Status);
    if (Read == net::body_read::End)
      break;
  }
  std::string Nothing;
  bool Written = co_await relayPart(std::move(Nothing));
  std::string LastChunk = "0\r\n\r\n";
  if (Written)
    Written = co_await Caller->write(std::move(LastChunk));
  if (!Written) {
    if (!CallerLeft)
      leave();
    co_return makeEnd(attempt_end::CutShort, Status);
  }
  co_return makeEnd(attempt_end::Answered, Status);
}

auto gateway_request::writeRefusal(const refuse_request &Refusal)
    -> awaitable<bool> {
  if (AnswerBegun)
    co_return false;
  const auto &Row = describe(Refusal.Code);
  net::http_response Answer;
  Answer.Head.Status = Row.HttpStatus;
  Answer.Head.Fields.push_back({"Content-Type", "application/json"});
  if (Refusal.RetryAfterMs > 0)
    Answer.Head.Fields.push_back(
        {"Retry-After", printSeconds(Refusal.RetryAfterMs)});
  Answer.Body = "{\"code\":" + std::to_string(static_cast<int>(Refusal.Code)) +
                ",\"name\":\"" + std::string(Row.Name) + "\",\"meaning\":\"" +
                std::string(Row.Meaning) + "\"}\n";
  ClosesAfter = closes();
  auto Bytes = serializeResponse(Answer, ClosesAfter);
  co_return co_await Caller->write(std::move(Bytes));
}

} // namespace limpetbridge
