#include "gateway_request.h"

#include "refusal_response.h"

namespace limpetbridge {

namespace {

using namespace serving;
using net::awaitable;

/// Connecting within a data centre takes about a millisecond; a lost packet is
/// retransmitted after a second.
constexpr duration ConnectTimeout = milliseconds(1200);
/// Responses read per attempt, late ones to other requests included.
constexpr int MaxResponsesRead = 4;
/// Largest response that is buffered before it is relayed, bytes.
constexpr std::size_t MaxBufferedBytes = std::size_t{8} * 1024 * 1024;
/// Size from which on an answer counts in the budget of the process, bytes.
constexpr std::size_t FreeBytes = std::size_t{64} * 1024;
/// Largest response to another request that is skipped, bytes.
constexpr std::size_t MaxSkippedBytes = std::size_t{256} * 1024;
/// Largest single event of a stream, bytes.
constexpr std::size_t MaxEventBytes = std::size_t{1} * 1024 * 1024;
constexpr std::uint16_t FirstRedirectStatus = 300;
constexpr std::uint16_t FirstServerErrorStatus = 500;

auto isSuccess(std::uint16_t Status) -> bool {
  constexpr std::uint16_t FirstSuccessStatus = 200;
  return Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
}

/// True if the body is an event stream, or \p Head does not say what it is.
auto isEventStream(const net::response_head &Head) -> bool {
  const auto Type = net::mediaType(Head.Fields);
  return Type.empty() || net::equalsIgnoreCase(Type, "text/event-stream");
}

} // namespace

gateway_request::gateway_request(
    request_number RequestNumber,
    std::shared_ptr<net::caller_connection> Connection,
    net::http_request CallerRequest, call ParsedCall,
    const request_environment &RequestEnvironment,
    const net::asio::any_io_executor &TaskExecutor)
    : Number(RequestNumber), Caller(std::move(Connection)),
      Request(std::move(CallerRequest)),
      Body(std::make_shared<const std::string>(
          std::exchange(Request.Body, std::string()))),
      Call(std::move(ParsedCall)), Environment(RequestEnvironment),
      Executor(TaskExecutor), CommandTimer(TaskExecutor),
      DeadlineTimer(TaskExecutor), HeldBytes(*RequestEnvironment.Budget,
                                             [this] {
                                               if (Target)
                                                 Target->close();
                                             }),
      IsHead(Request.Method == "HEAD") {}

auto gateway_request::enqueueCommand(command Command) -> void {
  Commands.push_back(std::move(Command));
  CommandTimer.cancel();
  if (Target)
    Target->close();
  if (Hedge)
    Hedge->cancel();
}

auto gateway_request::setDeadline(time_point Deadline) -> void {
  DeadlineTimer.expires_at(net::toSteadyTime(Deadline));
  DeadlineTimer.async_wait([Weak = weak_from_this()](net::error_code Error) {
    if (const auto This = Weak.lock(); This && !Error)
      This->Environment.Dispatch(deadline_passed{This->Number});
  });
}

auto gateway_request::handleDisconnect() -> void {
  CallerDisconnected = true;
  if (const auto Main = Owner.lock())
    return Main->handleDisconnect();
  CommandTimer.cancel();
  if (Target)
    Target->close();
  if (Hedge) {
    Hedge->CallerDisconnected = true;
    Hedge->cancel();
  }
  Environment.Dispatch(caller_left{Number});
}

auto gateway_request::waitForCommand() -> awaitable<bool> {
  while ((Commands.empty() || isHedgeRelaying()) && !CallerDisconnected &&
         !HedgeAnswered) {
    CommandTimer.expires_at(std::chrono::steady_clock::time_point::max());
    // Cancelled by enqueueCommand, handleDisconnect or finishHedge.
    net::error_code Error;
    co_await CommandTimer.async_wait(net::storeError(Error));
  }
  co_return !CallerDisconnected && !HedgeAnswered;
}

auto gateway_request::run() -> awaitable<bool> {
  const auto Self = shared_from_this();
  Caller->startDisconnectWatch([Weak = weak_from_this()] {
    if (const auto This = Weak.lock())
      This->handleDisconnect();
  });
  Environment.Dispatch(request_arrived{Number, Call});
  bool Complete = false;
  while (co_await waitForCommand()) {
    const auto Command = std::move(Commands.front());
    Commands.pop_front();
    if (const auto *Send = std::get_if<send_attempt>(&Command)) {
      Cancelled = false;
      const auto Result = co_await runAttempt(*Send);
      if (Target && Result.End != attempt_end::Answered)
        Target->close();
      Target.reset();
      if (CallerDisconnected)
        break;
      // The caller has the whole answer, whatever was decided meanwhile.
      Complete = Result.End == attempt_end::Answered;
      if (!Complete && isCancelled())
        continue;
      HedgeFailedLast = false;
      Environment.Dispatch(Result);
      if (Complete)
        break;
    } else if (const auto *Refusal = std::get_if<refuse_request>(&Command)) {
      Complete = co_await writeRefusal(*Refusal);
      break;
    } else {
      Complete = co_await writeResponse(HedgeFailedLast
                                            ? std::move(Hedge->FailedResponse)
                                            : std::move(FailedResponse));
      break;
    }
  }
  Complete |= HedgeAnswered && !CallerDisconnected;
  DeadlineTimer.cancel();
  HedgeTimer.reset();
  if (Hedge)
    Hedge->cancel();
  Caller->stopDisconnectWatch();
  if (!Complete)
    Caller->abort();
  // A head that was sent before the gateway began to stop has promised the
  // caller that the connection stays open.
  co_return Complete && !CloseAfterResponse;
}

auto gateway_request::writeResponse(net::http_response Response)
    -> awaitable<bool> {
  CloseAfterResponse = shouldClose();
  // A long answer is held once.
  if (!IsHead && Response.Body.size() > FreeBytes) {
    Response.Head.Fields.push_back(
        {"Content-Length", std::to_string(Response.Body.size())});
    auto Head = serializeHeadOnly(Response.Head, CloseAfterResponse);
    const bool Written = co_await Caller->write(std::move(Head));
    if (!Written)
      co_return false;
    co_return co_await Caller->write(std::move(Response.Body));
  }
  auto Bytes = IsHead ? serializeHeadOnly(Response.Head, CloseAfterResponse)
                      : serializeResponse(Response, CloseAfterResponse);
  co_return co_await Caller->write(std::move(Bytes));
}

auto gateway_request::shouldClose() const -> bool {
  return Environment.IsDraining() ||
         net::equalsIgnoreCase(net::findField(Request.Fields, "connection"),
                               "close");
}

auto gateway_request::makeResult(attempt_end End, std::uint16_t Status) const
    -> attempt_result {
  attempt_result Result;
  Result.Number = Number;
  Result.End = End;
  Result.Status = Status;
  Result.LongestGapMs = toMilliseconds(LongestGap);
  Result.Body = describeBody();
  Result.Connection = Use;
  Result.Attempt = Attempt;
  return Result;
}

auto gateway_request::describeBody() const -> received_body {
  if (RestingBody)
    return *RestingBody;
  received_body Body;
  if (!Target || !Target->hasHead())
    return Body;
  Body.Framing = Target->endsWithConnection() ? body_framing::Connection
                 : Target->isChunked()        ? body_framing::Chunked
                                              : body_framing::Length;
  Body.Bytes = BodyBytes;
  Body.Events = Events.scanner().eventCount();
  Body.InsideEvent = !Events.scanner().isBetweenEvents();
  if (Target->readError())
    Body.ReadError = Target->readError().message();
  return Body;
}

auto gateway_request::connectTarget(const send_attempt &Send)
    -> awaitable<bool> {
  Use = connection_use();
  MayRest = false;
  RestingBody.reset();
  if (Send.Connection != 0)
    Target = Environment.Connections->take(Send.Connection);
  Use.Kept = Target != nullptr;
  if (Use.Kept)
    co_return true;
  Target = Environment.Connections->create();
  const auto Connection = Target;
  const auto Deadline =
      std::min(Send.Deadline, process_clock::now() + ConnectTimeout);
  const bool Connected = co_await Connection->connect(Send.Address, Deadline);
  if (Connected)
    Environment.Connections->countOpened();
  co_return Connected;
}

auto gateway_request::restConnection() -> void {
  if (!MayRest || !Target || isCancelled())
    return;
  RestingBody = describeBody();
  Environment.Connections->keep(std::exchange(Target, nullptr), Number, Attempt,
                                StatedMs);
}

auto gateway_request::runAttempt(const send_attempt &Send)
    -> awaitable<attempt_result> {
  Attempt = Send.Attempt;
  Claimed = false;
  Resumable = Send.Resumable;
  Events.beginAttempt();
  FailedResponse = net::http_response();
  HeldBytes.reset();
  BodyBytes = 0;
  const bool Connected = co_await connectTarget(Send);
  if (!Connected)
    co_return makeResult(attempt_end::NotSent);
  const auto Connection = Target;
  Connection->expectNoBody(IsHead);
  // In a busy loop the watch notices late that the caller has left.
  Caller->checkDisconnect();
  // Connecting may take a second, in which the target may have begun to drain
  // or the key may have been removed.
  if (isCancelled() || !Environment.AcceptsRequests(Send.Target) ||
      !Environment.HasValidKey(Number))
    co_return makeResult(attempt_end::NotSent);
  attempt_metadata Facts;
  Facts.Target = Send.Target;
  Facts.RemainingMs =
      toMilliseconds(remaining(Send.Deadline, process_clock::now()));
  Facts.Priority = Send.Priority;
  Facts.ResumeAfter = Events.lastId();
  Facts.Workspace = Send.Workspace;
  const auto Attempt = Environment.Hooks->BuildAttemptRequest(Request, Facts);
  Connection->startSend(serializeRequestHead(Attempt, Body->size()), Body);
  co_return co_await receiveResponse(Send);
}

auto gateway_request::receiveResponse(const send_attempt &Send)
    -> awaitable<attempt_result> {
  const auto Connection = Target;
  for (int Count = 0; Count < MaxResponsesRead; ++Count) {
    const auto Head = co_await Connection->readResponseHead();
    if (!Head)
      co_return makeResultWithoutHead(Count == 0);
    const auto Facts = Environment.Hooks->ParseResponseHead(*Head, Call.Id);
    reportNotice(Send, Facts);
    if (Facts.CallIdDiffers) {
      Use.StrayBytes = true;
      std::size_t SkippedBytes = 0;
      auto ReadResult = net::body_read::Data;
      while (ReadResult == net::body_read::Data &&
             SkippedBytes < MaxSkippedBytes) {
        std::string Part;
        ReadResult = co_await Connection->readBody(Part);
        SkippedBytes += Part.size();
      }
      if (ReadResult != net::body_read::End || Connection->endsWithConnection())
        co_return makeResult(attempt_end::Unknown);
      continue;
    }
    Use.UnnamedAnswer = !Facts.CallIdMatches && !Call.Id.empty();
    // On a kept connection an answer without an id may be a late one to an
    // earlier request.
    const bool IsOwn = Facts.CallIdMatches || !Use.Kept;
    MayRest = Environment.KeepsConnections() && Facts.CallIdMatches &&
              !Use.StrayBytes && !Facts.TargetLeaves && !Facts.WrongTarget;
    StatedMs = net::keepAliveMs(Head->Fields);
    if (Facts.NotRun && IsOwn)
      co_return co_await refused(Facts, Head->Status);
    const bool Trusted = IsOwn && !Facts.HasContentEncoding &&
                         !Facts.UnconfirmedNotRun &&
                         (!isSuccess(Head->Status) ||
                          (Facts.HasSignature && Facts.CallIdMatches));
    if (!Trusted)
      co_return makeResult(attempt_end::Unknown, Head->Status);
    ResponseHead = *Head;
    ResponseHead.Fields = net::endToEndFields(Head->Fields);
    const auto Length = Connection->bodyLength();
    if (IsHead && Length)
      ResponseHead.Fields.push_back(
          {"Content-Length", std::to_string(*Length)});
    const bool IsStream =
        Send.Kind == request_kind::Stream && isSuccess(Head->Status) && !IsHead;
    HasEvents = IsStream && isEventStream(*Head);
    // Only an event stream can resume, so any other body has to be whole.
    if (IsStream && (HasEvents || !Send.Resumable))
      co_return co_await relayStream(Send);
    co_return co_await relayBuffered(Head->Status);
  }
  co_return makeResult(attempt_end::Unknown);
}

auto gateway_request::makeResultWithoutHead(bool IsFirst) -> attempt_result {
  Use.Lost = Use.Kept && IsFirst && Target->endedUnanswered();
  Use.StrayBytes |= Use.Kept && Target->hasReceived();
  return makeResult(Use.Lost && Target->nothingWasSent()
                        ? attempt_end::NotSent
                        : attempt_end::Unknown);
}

auto gateway_request::refused(const answer_metadata &Facts,
                              std::uint16_t Status)
    -> awaitable<attempt_result> {
  const auto Connection = Target;
  // The decision what follows does not wait for the rest of the body.
  if (MayRest && Connection->isBodyBuffered()) {
    auto ReadResult = net::body_read::Data;
    while (ReadResult == net::body_read::Data) {
      std::string Part;
      ReadResult = co_await Connection->readBody(Part);
    }
    if (ReadResult == net::body_read::End)
      restConnection();
  }
  auto Result = makeResult(attempt_end::NotRun, Status);
  Result.WrongTarget = Facts.WrongTarget;
  co_return Result;
}

auto gateway_request::reportNotice(const send_attempt &Send,
                                   const answer_metadata &Facts) -> void {
  if (!Facts.TargetLeaves && Facts.RefusesForMs == 0)
    return;
  target_notice Notice{Send.Target, Send.Incarnation, Facts.TargetLeaves, {}};
  if (Facts.RefusesForMs > 0)
    Notice.RefusesUntil =
        process_clock::now() + milliseconds(Facts.RefusesForMs);
  Environment.Dispatch(std::move(Notice));
}

auto gateway_request::relayBuffered(std::uint16_t Status)
    -> awaitable<attempt_result> {
  const auto Connection = Target;
  // A server error does not end another attempt, whose answer may be better.
  if (Status < FirstServerErrorStatus && !claimAnswer())
    co_return makeResult(attempt_end::Unknown, Status);
  net::http_response Response{ResponseHead, {}};
  const auto Length = IsHead ? 0 : Connection->bodyLength().value_or(0);
  bool Held = Length <= MaxBufferedBytes;
  if (Held && Length > FreeBytes) {
    Held = HeldBytes.resize(Length, true);
    if (Held)
      Response.Body.reserve(Length);
  }
  auto ReadResult = net::body_read::Data;
  while (Held && ReadResult == net::body_read::Data &&
         Response.Body.size() < MaxBufferedBytes) {
    ReadResult = co_await Connection->readBody(Response.Body);
    // Strings grow in steps.
    if (Length == 0 && Response.Body.capacity() > FreeBytes)
      Held = HeldBytes.resize(Response.Body.capacity());
  }
  BodyBytes = Response.Body.size();
  if (!Held || ReadResult != net::body_read::End || isCancelled())
    co_return makeResult(attempt_end::Unknown, Status);
  restConnection();
  // The caller already has the head and events of the resumed stream.
  if (ResponseStarted)
    co_return makeResult(attempt_end::CutShort, Status);
  if (Status >= FirstServerErrorStatus) {
    FailedResponse = std::move(Response);
    co_return makeResult(attempt_end::Failed, Status);
  }
  ResponseStarted = true;
  const bool Written = co_await writeResponse(std::move(Response));
  if (!Written) {
    handleDisconnect();
    co_return makeResult(attempt_end::CutShort, Status);
  }
  co_return makeResult(attempt_end::Answered, Status);
}

auto gateway_request::relayStream(const send_attempt &Send)
    -> awaitable<attempt_result> {
  const auto Connection = Target;
  const auto Status = ResponseHead.Status;
  /// From this event on the target has begun its answer without harm.
  constexpr std::uint64_t ContinuingEvent = 2;
  bool AwaitingFirstOutput = true;
  bool Continued = false;
  pace_meter Pace;
  auto LastReadAt = process_clock::now();
  LongestGap = duration::zero();
  for (;;) {
    std::string Bytes;
    const bool Queued = Send.MeasuresPace && Connection->hasUnreadBytes();
    auto ReadResult = co_await Connection->readBody(Bytes);
    BodyBytes += Bytes.size();
    const auto Now = process_clock::now();
    if (!AwaitingFirstOutput)
      LongestGap = std::max(LongestGap, Now - LastReadAt);
    LastReadAt = Now;
    if (isCancelled())
      co_return makeResult(attempt_end::CutShort, Status);
    if (!Bytes.empty() && std::exchange(AwaitingFirstOutput, false))
      Environment.Dispatch(first_output{Number, Attempt});
    if (HasEvents && Send.Resumable) {
      Bytes = Events.feed(Bytes);
      const auto EventBytes = Events.incompleteEvent().size();
      const bool Held = EventBytes <= FreeBytes ? HeldBytes.resize(0)
                                                : HeldBytes.resize(EventBytes);
      if (!Held || EventBytes > MaxEventBytes)
        ReadResult = net::body_read::Broken;
    } else if (HasEvents) {
      Events.follow(Bytes);
    }
    if (HasEvents && Send.MeasuresPace)
      if (const auto GapMs =
              Pace.read(Events.scanner().eventCount(), Now, Queued))
        Environment.NotePace(Send.Target, *GapMs);
    if (HasEvents && Events.scanner().eventCount() >= ContinuingEvent &&
        !std::exchange(Continued, true))
      Environment.Dispatch(output_continued{Number, Attempt});
    if (HasEvents && ReadResult == net::body_read::End &&
        !Events.mayEnd(Connection->endsWithConnection()))
      ReadResult = net::body_read::Broken;
    bool Written = true;
    if (!Bytes.empty() && !claimAnswer())
      co_return makeResult(attempt_end::CutShort, Status);
    if (!Bytes.empty())
      Written = co_await relayChunk(std::move(Bytes));
    if (!Written)
      co_return makeResult(attempt_end::CutShort, Status);
    if (HasEvents && ReadResult == net::body_read::End &&
        Connection->endsWithConnection() && co_await hasTargetCrashed(Send))
      ReadResult = net::body_read::Broken;
    if (ReadResult == net::body_read::Broken)
      co_return makeResult(ResponseStarted ? attempt_end::CutShort
                                           : attempt_end::Unknown,
                           Status);
    if (ReadResult == net::body_read::End)
      break;
  }
  if (!claimAnswer())
    co_return makeResult(attempt_end::CutShort, Status);
  restConnection();
  std::string NoBytes;
  bool Written = co_await relayChunk(std::move(NoBytes));
  std::string LastChunk = "0\r\n\r\n";
  if (Written)
    Written = co_await Caller->write(std::move(LastChunk));
  if (!Written) {
    if (!CallerDisconnected)
      handleDisconnect();
    co_return makeResult(attempt_end::CutShort, Status);
  }
  co_return makeResult(attempt_end::Answered, Status);
}

} // namespace limpetbridge
