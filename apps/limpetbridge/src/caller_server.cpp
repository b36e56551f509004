#include "caller_server.h"

#include "answer_queue.h"
#include "caller_listener.h"
#include "caller_protocol.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>

namespace limpetbridge {

namespace {

constexpr const char *JsonType = "application/json";
constexpr const char *StreamType = "text/event-stream";
constexpr const char *DeadlineHeader = "X-Request-Deadline-Ms";
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
/// Extra threads that refuse requests with an error when all others are busy.
constexpr std::size_t RefusalThreads = 16;
constexpr auto KeepAliveInterval = seconds(5);
/// Time after a request's deadline for the node to report the end.
constexpr auto EndGracePeriod = seconds(2);
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusNotFound = 404;
constexpr int StatusMalformed = 400;

auto bearerToken(const httplib::Request &Request) -> std::string {
  constexpr std::string_view Scheme = "Bearer ";
  const auto Header = Request.get_header_value("Authorization");
  return Header.starts_with(Scheme) ? Header.substr(Scheme.size()) : "";
}

auto hasNoControlCharacters(std::string_view Text) -> bool {
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return static_cast<unsigned char>(Character) >= ' ';
  });
}

} // namespace

struct caller_server::details {
  details(caller_server_options Options, caller_hooks Hooks)
      : Options(std::move(Options)), Hooks(std::move(Hooks)),
        Server(this->Options.Threads + RefusalThreads,
               this->Options.AcceptQueueLimit, this->Options.ReadTimeout) {}

  caller_server_options Options;
  caller_hooks Hooks;
  std::uint16_t Port = 0;
  std::atomic<std::uint64_t> LastRequestNumber{0};
  std::mutex Mutex;
  std::map<request_id, answer_handle> OpenAnswers;
  caller_listener Server; ///< Its threads use the members above.

  auto setRoutes() -> void;
  auto configureServer() -> void;
  auto serveGeneration(const httplib::Request &Request,
                       httplib::Response &Response,
                       generation_endpoint Endpoint) -> void;
  auto serveService(const httplib::Request &Request,
                    httplib::Response &Response) -> void;
  auto serveModels(const httplib::Request &Request, httplib::Response &Response)
      -> void;
  auto openAnswer(request_arrived &Event) -> answer_handle;
  auto closeAnswer(const request_id &Id) -> void;
  auto findAnswer(const request_id &Id) -> answer_handle;
  auto streamAnswer(const request_arrived &Event, answer_handle Answer,
                    generation_endpoint Endpoint, answer_queue::part First,
                    httplib::Response &Response) -> void;
  auto collectAnswer(const request_arrived &Event, answer_queue &Answer,
                     generation_endpoint Endpoint, answer_queue::part Collected,
                     httplib::Response &Response) -> void;
  [[nodiscard]] auto parseDeadline(const httplib::Request &Request) const
      -> result<time_point>;
  auto isFull() -> bool {
    const std::lock_guard Lock(Mutex);
    return OpenAnswers.size() >= Options.Threads;
  }
};

namespace {

auto setError(httplib::Response &Response, const error &Error,
              const std::string &Id, run_outcome Outcome,
              time_point RetryAt = NoDeadline) -> void {
  const auto &Description = describe(Error.Code);
  Response.status = Description.HttpStatus;
  Response.set_header("X-Outcome", std::string(nameOf(Outcome)));
  if (!Id.empty())
    Response.set_header("X-Request-Id", Id);
  constexpr int StatusTooManyRequests = 429;
  constexpr int StatusUnavailable = 503;
  if (Description.HttpStatus == StatusTooManyRequests ||
      Description.HttpStatus == StatusUnavailable) {
    const auto Wait = RetryAt == NoDeadline
                          ? duration(seconds(1))
                          : remaining(RetryAt, process_clock::now());
    const auto Seconds =
        std::max<std::int64_t>(1, (toMilliseconds(Wait) + 999) / 1000);
    Response.set_header("Retry-After", std::to_string(Seconds));
  }
  Response.set_content(encodeError(Error, Id), JsonType);
}

auto setErrorFromEnd(httplib::Response &Response, const answer_end &End)
    -> void {
  setError(Response, {End.Code, End.Detail}, toString(End.Request), End.Outcome,
           End.RetryAt);
}

/// The end that a connection reports when the node sends none in time.
auto makeTimeoutEnd(const request_id &Id) -> answer_end {
  answer_end End;
  End.Request = Id;
  End.Outcome = run_outcome::Unknown;
  End.Code = result_code::OutcomeUnknown;
  End.Detail = "the node reported no result by the deadline";
  return End;
}

/// Writes one streamed answer to its connection.
struct stream_writer {
  answer_handle Answer;
  generation_endpoint Endpoint;
  std::string Id;
  std::string Model;
  answer_queue::part Part;

  auto writeText(httplib::DataSink &Sink) -> bool {
    if (Part.Pieces == 0)
      return true;
    const auto Chunk = encodeStreamChunk(Endpoint, Id, Model, Part.Text);
    return Sink.write(Chunk.data(), Chunk.size());
  }

  auto writeEnd(httplib::DataSink &Sink) -> bool {
    const auto &End = *Part.End;
    const bool Whole = End.Outcome == run_outcome::Done;
    const auto Text =
        Whole ? encodeStreamEnd(Endpoint, Id, Model)
              : "data: " + encodeError({End.Code, End.Detail}, Id) + "\n\n";
    const bool Written = Sink.write(Text.data(), Text.size());
    // Without the last chunk, which callers would take for a complete answer,
    // the connection has to close.
    if (Whole)
      Sink.done();
    return Whole && Written;
  }

  auto writeKeepAlive(httplib::DataSink &Sink) -> bool {
    constexpr std::string_view Comment = ": waiting\n\n";
    return Sink.write(Comment.data(), Comment.size());
  }

  /// Writes the current part, then waits for the next or sends a keep-alive.
  /// \returns false when the connection is broken.
  auto writeNext(httplib::DataSink &Sink) -> bool {
    if (!writeText(Sink))
      return false;
    if (Part.End)
      return writeEnd(Sink);
    Part = Answer->waitForPart(process_clock::now() + KeepAliveInterval);
    if (Part.Pieces == 0 && !Part.End)
      return writeKeepAlive(Sink);
    return true;
  }
};

} // namespace

auto caller_server::details::parseDeadline(
    const httplib::Request &Request) const -> result<time_point> {
  const auto Now = process_clock::now();
  if (!Request.has_header(DeadlineHeader))
    return Now + Options.DefaultDeadline;
  const auto Text = Request.get_header_value(DeadlineHeader);
  std::int64_t Ms = 0;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Ms);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Ms < 1 ||
      Ms > MaxDeadlineMs)
    return failure(result_code::InvalidDeadline,
                   std::string(DeadlineHeader) + ": expected 1 to 3600000");
  return Now + milliseconds(Ms);
}

auto caller_server::details::openAnswer(request_arrived &Event)
    -> answer_handle {
  Event.Request = {Options.Incarnation, ++LastRequestNumber};
  auto Answer = std::make_shared<answer_queue>();
  const std::lock_guard Lock(Mutex);
  OpenAnswers[Event.Request] = Answer;
  return Answer;
}

auto caller_server::details::closeAnswer(const request_id &Id) -> void {
  const std::lock_guard Lock(Mutex);
  OpenAnswers.erase(Id);
}

auto caller_server::details::findAnswer(const request_id &Id) -> answer_handle {
  const std::lock_guard Lock(Mutex);
  const auto Found = OpenAnswers.find(Id);
  return Found == OpenAnswers.end() ? nullptr : Found->second;
}

auto caller_server::details::serveGeneration(const httplib::Request &Request,
                                             httplib::Response &Response,
                                             generation_endpoint Endpoint)
    -> void {
  if (isFull()) {
    setError(Response, failure(result_code::TooManyRequests, ""), "",
             run_outcome::NotRun);
    return;
  }
  auto Parsed = parseGeneration(Request.body, Endpoint);
  auto Deadline = parseDeadline(Request);
  if (!Parsed || !Deadline) {
    setError(Response, Parsed ? Deadline.error() : Parsed.error(), "",
             run_outcome::NotRun);
    return;
  }
  auto &Generation = Parsed.value();
  request_arrived Event;
  Event.Token = bearerToken(Request);
  Event.Kind = work_kind::Generate;
  Event.Model = Generation.Model;
  Event.Body = shareText(std::move(Generation.Prompt));
  Event.PromptTokens = Generation.PromptTokens;
  Event.MaxTokens = Generation.MaxTokens;
  Event.PrefixHash = Generation.PrefixHash;
  Event.Deadline = Deadline.value();
  const auto Answer = openAnswer(Event);
  Hooks.PostEvent(Event);
  auto First = Answer->waitForPart(Event.Deadline + EndGracePeriod);
  if (First.Pieces == 0 && !First.End)
    First.End = makeTimeoutEnd(Event.Request);
  const bool Failed =
      First.Pieces == 0 && First.End && First.End->Outcome != run_outcome::Done;
  if (Failed) {
    closeAnswer(Event.Request);
    setErrorFromEnd(Response, *First.End);
    return;
  }
  if (Generation.Stream)
    streamAnswer(Event, Answer, Endpoint, std::move(First), Response);
  else
    collectAnswer(Event, *Answer, Endpoint, std::move(First), Response);
}

auto caller_server::details::streamAnswer(const request_arrived &Event,
                                          answer_handle Answer,
                                          generation_endpoint Endpoint,
                                          answer_queue::part First,
                                          httplib::Response &Response) -> void {
  auto Writer = std::make_shared<stream_writer>(
      stream_writer{std::move(Answer), Endpoint, toString(Event.Request),
                    Event.Model, std::move(First)});
  Response.set_header("X-Request-Id", Writer->Id);
  Response.set_header("Cache-Control", "no-store");
  Response.set_chunked_content_provider(
      StreamType,
      [Writer](std::size_t, httplib::DataSink &Sink) {
        return Writer->writeNext(Sink);
      },
      [this, Id = Event.Request](bool Completed) {
        closeAnswer(Id);
        if (!Completed)
          Hooks.PostEvent(caller_left{Id});
      });
}

auto caller_server::details::collectAnswer(const request_arrived &Event,
                                           answer_queue &Answer,
                                           generation_endpoint Endpoint,
                                           answer_queue::part Collected,
                                           httplib::Response &Response)
    -> void {
  while (!Collected.End) {
    auto Part = Answer.waitForPart(Event.Deadline + EndGracePeriod);
    Collected.Text += Part.Text;
    Collected.Pieces += Part.Pieces;
    Collected.End = std::move(Part.End);
    if (Part.Pieces == 0 && !Collected.End)
      Collected.End = makeTimeoutEnd(Event.Request);
  }
  closeAnswer(Event.Request);
  const auto Id = toString(Event.Request);
  if (Collected.End->Outcome != run_outcome::Done) {
    setErrorFromEnd(Response, *Collected.End);
    return;
  }
  Response.set_header("X-Request-Id", Id);
  Response.set_header("X-Outcome", "done");
  Response.set_content(encodeFullResponse(Endpoint, Id, Event.Model,
                                          Collected.Text, Event.PromptTokens,
                                          Collected.Pieces),
                       JsonType);
}

auto caller_server::details::serveService(const httplib::Request &Request,
                                          httplib::Response &Response) -> void {
  constexpr std::size_t MaxKeyLength = 128;
  if (isFull()) {
    setError(Response, failure(result_code::TooManyRequests, ""), "",
             run_outcome::NotRun);
    return;
  }
  const auto Key = Request.get_header_value("Idempotency-Key");
  if (Key.size() > MaxKeyLength || !hasNoControlCharacters(Key)) {
    setError(
        Response,
        failure(result_code::MalformedRequest,
                "Idempotency-Key: expected at most 128 characters, none of "
                "them control characters"),
        "", run_outcome::NotRun);
    return;
  }
  auto Deadline = parseDeadline(Request);
  if (!Deadline) {
    setError(Response, Deadline.error(), "", run_outcome::NotRun);
    return;
  }
  request_arrived Event;
  Event.Token = bearerToken(Request);
  Event.Kind = work_kind::Call;
  Event.Service = service_name(Request.matches[1].str());
  Event.Operation = Request.matches[2].str();
  Event.Key = idempotency_key(Key);
  Event.Body = shareText(Request.body);
  Event.Deadline = Deadline.value();
  const auto Answer = openAnswer(Event);
  Hooks.PostEvent(Event);
  auto Part = Answer->waitForPart(Event.Deadline + EndGracePeriod);
  closeAnswer(Event.Request);
  const auto End = Part.End.value_or(makeTimeoutEnd(Event.Request));
  if (End.Outcome != run_outcome::Done) {
    setErrorFromEnd(Response, End);
    return;
  }
  Response.status = static_cast<int>(End.Status);
  Response.set_header("X-Request-Id", toString(Event.Request));
  Response.set_header("X-Outcome", "done");
  Response.set_content(End.Body ? *End.Body : "", JsonType);
}

auto caller_server::details::serveModels(const httplib::Request &Request,
                                         httplib::Response &Response) -> void {
  auto Names = Hooks.ListModels(bearerToken(Request));
  if (!Names) {
    setError(Response, Names.error(), "", run_outcome::NotRun);
    return;
  }
  Response.set_content(encodeModels(Names.value()), JsonType);
}

auto caller_server::details::configureServer() -> void {
  Server.set_payload_max_length(Options.BodyLimitBytes);
  // Requests that the HTTP library itself rejects get a numbered error as well.
  Server.set_error_handler(
      [](const httplib::Request &Request, httplib::Response &Response) {
        if (!Response.body.empty())
          return;
        const auto Code =
            Response.status == StatusBodyTooLarge ? result_code::BodyTooLarge
            : Response.status == StatusNotFound   ? result_code::NotFound
                                                : result_code::MalformedRequest;
        const auto Detail =
            Code == result_code::NotFound
                ? "no endpoint " + Request.method + " " + Request.path
                : "";
        setError(Response, failure(Code, Detail), "", run_outcome::NotRun);
      });
  Server.set_exception_handler([](const httplib::Request &,
                                  httplib::Response &Response,
                                  const std::exception_ptr &) {
    Response.status = StatusMalformed;
    setError(Response, failure(result_code::MalformedRequest, ""), "",
             run_outcome::NotRun);
  });
}

auto caller_server::details::setRoutes() -> void {
  Server.Post("/v1/chat/completions",
              [this](const auto &Request, auto &Response) {
                serveGeneration(Request, Response, generation_endpoint::Chat);
              });
  Server.Post("/v1/completions", [this](const auto &Request, auto &Response) {
    serveGeneration(Request, Response, generation_endpoint::Completion);
  });
  Server.Post(R"(/v1/services/([^/]+)/([^/]+))",
              [this](const auto &Request, auto &Response) {
                serveService(Request, Response);
              });
  Server.Get("/v1/models", [this](const auto &Request, auto &Response) {
    serveModels(Request, Response);
  });
  Server.Get("/healthz", [](const auto &, auto &Response) {
    Response.set_content("ok\n", "text/plain");
  });
  Server.Get("/readyz", [this](const auto &, auto &Response) {
    if (Hooks.IsReady())
      Response.set_content("ready\n", "text/plain");
    else
      setError(Response,
               failure(result_code::NotReady, "the node is draining or has no "
                                              "configuration yet"),
               "", run_outcome::NotRun);
  });
  Server.Get("/metrics", [this](const auto &, auto &Response) {
    Response.set_content(Hooks.PrintMetrics(), "text/plain");
  });
}

caller_server::caller_server(caller_server_options Options, caller_hooks Hooks)
    : Details(std::make_unique<details>(std::move(Options), std::move(Hooks))) {
  Details->configureServer();
  Details->setRoutes();
  Details->Port =
      Details->Server.start(Details->Options.Address, Details->Options.Port);
}

caller_server::~caller_server() = default;

auto caller_server::beginDrain() -> void { Details->Server.beginDrain(); }

auto caller_server::stopBy(time_point Deadline) -> void {
  Details->Server.stopBy(Deadline);
}

auto caller_server::port() const -> std::uint16_t { return Details->Port; }

auto caller_server::execute(const answer_frame &Effect) -> void {
  if (const auto Answer = Details->findAnswer(Effect.Request))
    Answer->push(Effect);
}

auto caller_server::execute(answer_end Effect) -> void {
  if (const auto Answer = Details->findAnswer(Effect.Request))
    Answer->push(std::move(Effect));
}

} // namespace limpetbridge
