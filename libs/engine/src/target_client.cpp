#include "engine/target_client.h"

#include "base/json_text.h"
#include "base/thread.h"
#include "engine/snapshot_codec.h"

#include <httplib.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

constexpr const char *JsonType = "application/json";
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;
constexpr std::size_t OrderThreads = 6;
constexpr std::size_t QueueLimit = 4096;
constexpr auto ConnectTimeout = std::chrono::seconds(1);

/// Longest line of a generation, bytes.
constexpr std::size_t MaxLineBytes = std::size_t{1} << 20U;
/// Largest answer that is held until it is complete, bytes.
constexpr std::size_t MaxAnswerBytes = std::size_t{8} << 20U;
/// Most that the answers of one client hold together, bytes; each may hold
/// FreeAnswerBytes in any case.
constexpr std::size_t MaxHeldBytes = std::size_t{64} << 20U;
constexpr std::size_t FreeAnswerBytes = std::size_t{256} << 10U;

/// Splits a stream of bytes into lines.
class line_splitter {
public:
  /// Appends \p Data; calls \p Handle with each complete line.
  /// \returns false if a line is too long.
  template <typename handler>
  auto feed(const char *Data, std::size_t Length, handler Handle) -> bool {
    Partial.append(Data, Length);
    std::size_t Start = 0;
    for (;;) {
      const auto End = Partial.find('\n', Start);
      if (End == std::string::npos)
        break;
      Handle(std::string_view(Partial).substr(Start, End - Start));
      Start = End + 1;
    }
    Partial.erase(0, Start);
    return Partial.size() <= MaxLineBytes;
  }

private:
  std::string Partial;
};

/// An answer that is held until it is complete.
class held_answer {
public:
  /// \param SharedBytes what all answers of a client hold.
  explicit held_answer(std::atomic<std::size_t> &SharedBytes)
      : Shared(SharedBytes) {}
  ~held_answer() { Shared -= Bytes.size(); }
  held_answer(const held_answer &) = delete;
  auto operator=(const held_answer &) -> held_answer & = delete;

  /// Sends \p Request and holds the answer's body. The call fails if the body
  /// is too long, by itself or with the others.
  auto receive(httplib::Client &Client, httplib::Request &Request)
      -> httplib::Result {
    Request.content_receiver = [this](const char *Data, std::size_t Length,
                                      std::uint64_t, std::uint64_t) {
      return append(Data, Length);
    };
    return Client.send(Request);
  }
  [[nodiscard]] auto text() const -> const std::string & { return Bytes; }

private:
  auto append(const char *Data, std::size_t Length) -> bool {
    Bytes.append(Data, Length);
    const auto Sum = Shared += Length;
    return Bytes.size() <= FreeAnswerBytes ||
           (Bytes.size() <= MaxAnswerBytes && Sum <= MaxHeldBytes);
  }

  std::atomic<std::size_t> &Shared;
  std::string Bytes;
};

/// True if the status is that of a final answer. The HTTP library accepts any
/// three digits.
auto hasFinalStatus(const httplib::Response &Response) -> bool {
  constexpr int FirstFinalStatus = 200;
  constexpr int LastStatus = 599;
  return Response.status >= FirstFinalStatus && Response.status <= LastStatus;
}

/// A request whose call fails, as of unknown outcome, if the status of the
/// answer is not valid.
auto makeRequest(const char *Method, const std::string &Path,
                 const std::string &Body = "") -> httplib::Request {
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.body = Body;
  Request.response_handler = hasFinalStatus;
  if (!Body.empty())
    Request.set_header("Content-Type", JsonType);
  return Request;
}

auto encodeGenerate(const run_work &Effect) -> std::string {
  const auto &Work = Effect.Work;
  const json Body = {{"id", toString(Effect.Attempt)},
                     {"model", Work.Unit.Text},
                     {"adapter", Work.Adapter.Text},
                     {"prompt", Work.Body ? *Work.Body : ""},
                     {"prompt_tokens", Work.PromptTokens},
                     {"max_tokens", Work.MaxTokens},
                     {"priority", Work.Rank},
                     {"offset", Effect.ResumeOffset},
                     {"so_far", Effect.ResumeText}};
  return toJsonText(Body);
}

/// State of one generation, read from the lines of its response.
struct generation {
  attempt_id Attempt;
  bool Complete = false; ///< The line with the total has arrived.
  std::uint32_t Total = 0;
  std::string Failure;

  auto readLine(std::string_view Line, const target_sink &Sink) -> void {
    const auto Body = json::parse(Line, nullptr, false);
    if (!Body.is_object())
      return;
    if (Body.contains("total")) {
      Complete = true;
      Total = Body["total"].get<std::uint32_t>();
      return;
    }
    if (Body.contains("error")) {
      Failure = Body["error"].get<std::string>();
      return;
    }
    frame Frame;
    Frame.Offset = Body.value("offset", 0U);
    for (const auto &Piece : Body["pieces"])
      Frame.Pieces.push_back(Piece.get<std::string>());
    Sink(target_progressed{Attempt, std::move(Frame)});
  }
};

auto toOrderStatus(const httplib::Result &Result) -> order_status {
  if (!Result)
    return Result.error() == httplib::Error::Connection
               ? order_status::Refused
               : order_status::NoAnswer;
  if (Result->status == StatusOk)
    return order_status::Done;
  if (Result->status == StatusConflict)
    return order_status::Stale;
  return Result->status < FirstServerError ? order_status::Refused
                                           : order_status::NoAnswer;
}

} // namespace

struct target_client::details {
  details(target_options Options, target_sink Sink)
      : Options(std::move(Options)), Sink(std::move(Sink)),
        Runs("run", this->Options.Slots, ConnectionStackBytes, QueueLimit),
        Orders("order", OrderThreads, ConnectionStackBytes, QueueLimit) {}

  target_options Options;
  target_sink Sink;
  std::atomic<std::size_t> HeldBytes{0}; ///< By all answers.
  std::mutex Mutex;
  std::set<attempt_id> Stopped;
  std::map<attempt_id, httplib::Client *> Running;
  thread_pool Runs;
  thread_pool Orders;

  auto makeClient(duration ReadTimeout) const
      -> std::unique_ptr<httplib::Client> {
    auto Client = std::make_unique<httplib::Client>(Options.Host, Options.Port);
    Client->set_tcp_nodelay(true);
    Client->set_connection_timeout(ConnectTimeout);
    Client->set_read_timeout(ReadTimeout);
    return Client;
  }

  auto isStopped(const attempt_id &Id) -> bool {
    const std::lock_guard Lock(Mutex);
    return Stopped.contains(Id);
  }

  auto runGeneration(const run_work &Effect) -> void {
    generation Generation{Effect.Attempt, false, 0, {}};
    line_splitter Lines;
    auto Request = makeRequest("POST", "/v1/generate", encodeGenerate(Effect));
    Request.content_receiver = [&](const char *Data, std::size_t Length,
                                   std::uint64_t, std::uint64_t) {
      const bool Sound = Lines.feed(Data, Length, [&](std::string_view Line) {
        Generation.readLine(Line, Sink);
      });
      return Sound && !isStopped(Effect.Attempt);
    };
    // A connection of its own: on a kept one, a late second copy of the answer
    // before would be taken for this one.
    const auto Client = makeClient(Options.ReadTimeout);
    addRunning(Effect.Attempt, *Client);
    const auto Result = Client->send(Request);
    removeRunning(Effect.Attempt);
    Sink(makeEnd(Generation, Result, Result ? Result->status : 0));
  }

  auto addRunning(const attempt_id &Id, httplib::Client &Client) -> void {
    const std::lock_guard Lock(Mutex);
    Running[Id] = &Client;
  }

  auto removeRunning(const attempt_id &Id) -> void {
    const std::lock_guard Lock(Mutex);
    Running.erase(Id);
    Stopped.erase(Id);
  }

  /// Stops an active generation, even one that still waits for its first byte.
  auto stopRun(const attempt_id &Id) -> void {
    const std::lock_guard Lock(Mutex);
    const auto Found = Running.find(Id);
    if (Found == Running.end())
      return;
    Stopped.insert(Id);
    Found->second->stop();
  }

  static auto makeEnd(const generation &Generation,
                      const httplib::Result &Result, int Status)
      -> target_ended {
    target_ended Ended;
    Ended.Attempt = Generation.Attempt;
    Ended.Total = Generation.Total;
    Ended.Detail = Generation.Failure;
    if (!Result && Result.error() == httplib::Error::Connection)
      Ended.End = target_end::Unsent;
    else if (Status >= FirstClientError && Status < FirstServerError)
      // A 4xx status proves that the work did not run; a 5xx status does not.
      Ended.End = target_end::Refused;
    else
      Ended.End = Generation.Complete ? target_end::Whole : target_end::Broken;
    return Ended;
  }

  /// Makes a call on a new connection. The call may have to run at most once,
  /// and the HTTP library must not retry it because a reused connection failed.
  auto runCall(const run_work &Effect, time_point Now) -> void {
    const auto &Work = Effect.Work;
    const auto Client = makeClient(
        std::max<duration>(remaining(Work.Deadline, Now), milliseconds(1)));
    auto Request = makeRequest("POST", "/v1/" + Work.Operation,
                               Work.Body ? *Work.Body : "");
    Request.set_header("Content-Type", JsonType);
    if (!Work.Key.empty())
      Request.set_header("Idempotency-Key", Work.Key.Text);
    Request.set_header("X-Request-Id", toString(Effect.Attempt.Request));
    held_answer Answer(HeldBytes);
    const auto Result = Answer.receive(*Client, Request);
    target_ended Ended;
    Ended.Attempt = Effect.Attempt;
    if (Result) {
      Ended.End = target_end::Whole;
      Ended.Status = static_cast<std::uint32_t>(Result->status);
      Ended.Body = shareText(Answer.text());
    } else if (Result.error() == httplib::Error::Connection) {
      Ended.End = target_end::Unsent;
      Ended.Detail = "could not connect to the service; the call was not sent";
    } else {
      Ended.End = target_end::Broken;
      Ended.Detail =
          "the service did not reply; the call may have been executed";
    }
    Sink(std::move(Ended));
  }

  auto postOrder(const send_order &Effect) -> void {
    const auto Client = makeClient(Options.OrderTimeout);
    auto Request =
        makeRequest("POST", "/v1/orders", toJsonText(encodeOrder(Effect)));
    held_answer Answer(HeldBytes);
    const auto Result = Answer.receive(*Client, Request);
    order_replied Reply;
    Reply.Token = Effect.Token;
    Reply.Status = toOrderStatus(Result);
    if (Result)
      decodeReply(Answer.text(), Reply);
    Sink(std::move(Reply));
  }

  static auto decodeReply(const std::string &Text, order_replied &Reply)
      -> void {
    const auto Body = json::parse(Text, nullptr, false);
    if (!Body.is_object())
      return;
    Reply.Highest = {Body.value("highest", std::uint64_t{0})};
    try {
      if (Body.contains("state"))
        Reply.Snapshot = decodeSnapshot(Body["state"]);
    } catch (const json::exception &) {
      // The order may have been executed, as if no reply had arrived.
      Reply.Status = order_status::NoAnswer;
    }
  }

  auto readState() -> void {
    const auto Client = makeClient(Options.ReadTimeout);
    auto Request = makeRequest("GET", "/v1/state");
    held_answer Answer(HeldBytes);
    const auto Result = Answer.receive(*Client, Request);
    if (!Result || Result->status != StatusOk)
      return;
    const auto Body = json::parse(Answer.text(), nullptr, false);
    try {
      Sink(engine_reported{decodeSnapshot(Body)});
    } catch (const json::exception &) {
      // Ignores a state that cannot be decoded; a later reading replaces it.
      return;
    }
  }
};

target_client::target_client(target_options Options, target_sink Sink)
    : Details(std::make_unique<details>(std::move(Options), std::move(Sink))) {}

target_client::~target_client() {
  Details->Runs.stop();
  Details->Orders.stop();
}

auto target_client::execute(const run_work &Effect) -> void {
  const bool Queued = Details->Runs.submit([this, Effect] {
    if (Effect.Work.Kind == work_kind::Generate)
      Details->runGeneration(Effect);
    else
      Details->runCall(Effect, process_clock::now());
  });
  if (Queued)
    return;
  target_ended Ended;
  Ended.Attempt = Effect.Attempt;
  Ended.End = target_end::Unsent;
  Ended.Detail =
      "the agent's run queue is full or stopping; the work was not sent";
  Details->Sink(std::move(Ended));
}

auto target_client::execute(const stop_work &Effect) -> void {
  Details->stopRun(Effect.Attempt);
}

auto target_client::execute(const send_order &Effect) -> void {
  const bool Queued =
      Details->Orders.submit([this, Effect] { Details->postOrder(Effect); });
  if (!Queued)
    Details->Sink(
        order_replied{Effect.Token, order_status::Refused, {}, std::nullopt});
}

auto target_client::execute(const read_engine & /*Effect*/) -> void {
  // Skips the reading when the queue is full; a later one replaces it.
  (void)Details->Orders.submit([this] { Details->readState(); });
}

} // namespace limpetbridge
