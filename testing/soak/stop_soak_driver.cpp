/// \file
/// Store, workers and callers of the soak of planned stops, which follow
/// commands on standard input. Each begins with the time of the day in seconds:
///
///     gateway NAME ADDRESS   its process is about to start
///     controller NAME
///     stop NAME              SIGTERM is about to be sent
///     ended NAME STATUS
///     configure              write the next configuration to the store
///     drain WORKER, restore WORKER
///     finish                 print the verdict and end
///
/// `stop_soak_driver SEED GRACE_MS CALLERS`

#include "emulator/store_emulator.h"
#include "emulator/worker_emulator.h"
#include "stop_judge.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <random>
#include <system_error>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;
using namespace limpetbridge::soak;
using net::awaitable;
using random_source = std::mt19937_64;
namespace http = boost::beast::http;

constexpr duration PublishInterval = milliseconds(300);
constexpr duration ReadWatchInterval = milliseconds(20);
/// Time in which loopback has carried what was written.
constexpr duration TransferTime = milliseconds(5);
/// Time after its deadline at which a caller closes the connection.
constexpr duration Patience = milliseconds(1500);

/// A worker and what it does.
struct worker_plan {
  const char *Id;
  behaviour Behaviour;
  std::int64_t DelayMs; ///< Of the answer, or between events.
  std::set<std::string> Models;
};

const std::vector<worker_plan> WorkerPlans = {
    {"w1", behaviour::Answer, 0, {}},
    {"w2", behaviour::Answer, 60, {}},
    {"w3", behaviour::Answer, 350, {}},
    {"w4", behaviour::Hang, 0, {}},
    {"w5", behaviour::Refuse, 0, {}},
    {"e1", behaviour::Stream, 20, {"a"}},
    {"e2", behaviour::Stream, 100, {"a", "b"}},
    {"e3", behaviour::Stream, 300, {"b", "c"}},
    {"e4", behaviour::Stream, 40, {"a", "c"}},
};

/// Streams end with their connection at this engine.
constexpr const char *UnframedEngine = "e2";
/// This one also breaks off some of them, inside an event.
constexpr const char *BreakingEngine = "e4";

/// Requests of one route, or for one model.
struct request_plan {
  int Weight;
  request_kind Kind;
  const char *Path;
  int TimeoutMs; ///< Of the route.
  std::string Model;
};

const std::vector<request_plan> RequestPlans = {
    {30, request_kind::Idempotent, "/read/", 600, ""},
    {25, request_kind::NonIdempotent, "/pay/", 1300, ""},
    {4, request_kind::Idempotent, "/extra0/", 600, ""},
    {4, request_kind::Idempotent, "/extra1/", 600, ""},
    {10, request_kind::Stream, "/chat/", 8000, "a"},
    {8, request_kind::Stream, "/chat/", 8000, "b"},
    {6, request_kind::Stream, "/chat/", 8000, "c"},
    {2, request_kind::Stream, "/chat/", 8000, "d"},
    {6, request_kind::Stream, "/plan/", 8000, "a"},
    {5, request_kind::Stream, "/plan/", 8000, "c"},
};

/// The version goes before and the number of an extra route into this text.
constexpr const char *Configuration = R"(,"routes":[
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent",
  "timeout_ms":600,"target_latency_ms":80,"service":"ledger","attempts":2},
 {"name":"pay","host":"h","prefix":"/pay/","kind":"non_idempotent",
  "timeout_ms":1300,"target_latency_ms":100,"service":"ledger","attempts":2},
 {"name":"chat","host":"h","prefix":"/chat/","kind":"streaming",
  "timeout_ms":8000,"target_latency_ms":150,"service":"models","attempts":1,
  "sticky":true},
 {"name":"plan","host":"h","prefix":"/plan/","kind":"streaming",
  "timeout_ms":8000,"target_latency_ms":150,"service":"models","attempts":2,
  "sticky":true,"resumable":true},
 {"name":"extra","host":"h","prefix":"/extra#/","kind":"idempotent",
  "timeout_ms":600,"target_latency_ms":80,"service":"ledger","attempts":2}],
 "services":[{"name":"ledger"},{"name":"models","inference_engine":{
  "slots":8,"kv_cache_tokens":100000,"weights_size_mb":230.0,
  "adapter_slot_count":8,"loads_per_s":2.0,"models":[
  {"name":"a","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0},
  {"name":"b","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0},
  {"name":"c","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0},
  {"name":"d","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0}]}}],
 "limits":{"max_body_bytes":100000,"header_timeout_ms":1000,
  "idle_timeout_ms":5000}})";

auto draw(random_source &Random, int From, int To) -> int {
  return std::uniform_int_distribution(From, To)(Random);
}

auto drawPlan(random_source &Random) -> const request_plan & {
  constexpr int WeightSum = 100;
  int Rest = draw(Random, 1, WeightSum);
  auto Plan = RequestPlans.begin();
  for (; Rest > Plan->Weight; ++Plan)
    Rest -= Plan->Weight;
  return *Plan;
}

/// Asks the kernel how much of what was sent on a connection of loopback is
/// still unread.
class queue_reader {
public:
  queue_reader() : Socket(socket(AF_NETLINK, SOCK_DGRAM, NETLINK_SOCK_DIAG)) {
    if (Socket < 0)
      throw std::system_error(errno, std::generic_category(), "sock_diag");
  }

  /// Whether the peer of \p Caller is open and has read every byte.
  [[nodiscard]] auto hasReadAll(net::tcp::socket &Caller) const -> bool {
    net::error_code Error;
    const auto Local = Caller.local_endpoint(Error);
    const auto Remote = Caller.remote_endpoint(Error);
    int Unacknowledged = 0;
    if (Error ||
        ioctl(Caller.native_handle(), SIOCOUTQ, &Unacknowledged) != 0 ||
        Unacknowledged > 0)
      return false;
    struct {
      nlmsghdr Head{};
      inet_diag_req_v2 Body{};
    } Query;
    Query.Head.nlmsg_len = sizeof(Query);
    Query.Head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    Query.Head.nlmsg_flags = NLM_F_REQUEST;
    Query.Body.sdiag_family = AF_INET;
    Query.Body.sdiag_protocol = IPPROTO_TCP;
    auto &Id = Query.Body.id;
    Id.idiag_sport = htons(Remote.port());
    Id.idiag_src[0] = htonl(Remote.address().to_v4().to_uint());
    Id.idiag_dport = htons(Local.port());
    Id.idiag_dst[0] = htonl(Local.address().to_v4().to_uint());
    Id.idiag_cookie[0] = Id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    struct {
      nlmsghdr Head{};
      inet_diag_msg Body{};
      std::array<char, 512> Rest{};
    } Answer;
    return send(Socket, &Query, sizeof(Query), 0) > 0 &&
           recv(Socket, &Answer, sizeof(Answer), 0) > 0 &&
           Answer.Head.nlmsg_type == SOCK_DIAG_BY_FAMILY &&
           Answer.Body.idiag_state == TCP_ESTABLISHED &&
           Answer.Body.idiag_rqueue == 0;
  }

private:
  int Socket;
};

/// The surroundings of the gateways, on one thread.
class soak_driver {
public:
  soak_driver(std::uint64_t CallerSeed, milliseconds Grace)
      : Store(Context), Input(Context, dup(STDIN_FILENO)), Seed(CallerSeed) {
    Record.Grace = Grace;
    for (const auto &Plan : WorkerPlans) {
      auto &Worker =
          *(Workers[Plan.Id] = std::make_unique<worker_emulator>(
                Context, Plan.Id, Plan.Models.empty() ? "ledger" : "models"));
      Worker.Behaviour = Plan.Behaviour;
      Worker.Models = Plan.Models;
      Worker.UnframedStreams = Plan.Id == std::string(UnframedEngine);
      std::cout << Plan.Id << ' ' << Worker.address() << '\n';
    }
    std::cout << "store " << Store.address() << std::endl;
  }

  /// \returns the exit status.
  auto run(int CallerCount) -> int {
    const auto Executor = Context.get_executor();
    net::spawn(Executor, publishWorkers());
    net::spawn(Executor, followCommands());
    net::spawn(Executor, watchReads());
    for (int Number = 0; Number < CallerCount; ++Number)
      net::spawn(Executor, runCaller(Number));
    Context.run();
    return ExitStatus;
  }

private:
  struct gateway {
    net::tcp::endpoint Address;
    std::size_t Process = 0; ///< The newest.
  };

  auto publishConfiguration() -> void {
    const auto Version = std::to_string(++ConfigurationVersion);
    std::string Text = "{\"version\":" + Version + Configuration;
    Text[Text.find('#')] = Version.back() % 2 == 0 ? '0' : '1';
    Store.put("op", "config", Text);
  }

  /// Keeps the workers' rows in the store up to date, and changes their speed:
  /// like requests differ in length.
  auto publishWorkers() -> awaitable<void> {
    publishConfiguration();
    random_source Random(Seed);
    std::map<std::string, std::string> Rows;
    for (;;) {
      for (const auto &Plan : WorkerPlans)
        Workers[Plan.Id]->EventGapMs = Workers[Plan.Id]->AnswerDelayMs =
            Plan.DelayMs * draw(Random, 1, 4);
      auto &Breaking = *Workers[BreakingEngine];
      Breaking.UnframedStreams = draw(Random, 0, 1) == 1;
      Breaking.CutBytes = static_cast<std::size_t>(draw(Random, 1, 20));
      Breaking.Behaviour =
          draw(Random, 0, 1) == 1 ? behaviour::CutStream : behaviour::Stream;
      for (const auto &[Id, Worker] : Workers)
        if (const auto Row = Worker->row(); Rows[Id] != Row)
          Store.put("servers", Id, Rows[Id] = Row);
      co_await net::sleepFor(PublishInterval);
    }
  }

  auto followCommands() -> awaitable<void> {
    net::asio::streambuf Buffer;
    std::istream Lines(&Buffer);
    std::string Line;
    do {
      co_await net::asio::async_read_until(Input, Buffer, '\n',
                                           net::asio::use_awaitable);
      std::getline(Lines, Line);
      std::cerr << toMilliseconds(process_clock::now() - Record.Began) << ' '
                << Line << std::endl;
    } while (follow(Line));
    finish();
  }

  /// \returns false after the last command.
  auto follow(const std::string &Line) -> bool {
    std::istringstream Words(Line);
    double Time = 0;
    std::string Command, Name, Detail;
    Words >> Time >> Command >> Name >> Detail;
    const std::chrono::duration<double> Age =
        std::chrono::system_clock::now().time_since_epoch() -
        std::chrono::duration<double>(Time);
    const auto At =
        process_clock::now() - std::chrono::duration_cast<duration>(Age);
    if (Command == "gateway")
      Gateways[Name] = {*net::parseEndpoint<net::tcp>(Detail),
                        Record.Processes.size()};
    if (Command == "gateway" || Command == "controller") {
      Newest[Name] = Record.Processes.size();
      Record.Processes.push_back({Name, {}, {}, 0});
    } else if (Command == "stop") {
      Record.Processes.at(Newest.at(Name)).StopAt = At;
    } else if (Command == "ended") {
      Record.Processes.at(Newest.at(Name)).EndedAt = At;
      Record.Processes.at(Newest.at(Name)).Status = std::stoi(Detail);
    } else if (Command == "configure") {
      publishConfiguration();
    } else if (Command == "drain" || Command == "restore") {
      Workers.at(Name)->Draining = Command == "drain";
    }
    return Command != "finish";
  }

  auto finish() -> void {
    for (const auto &[Id, Worker] : Workers)
      for (const auto &Seen : Worker->Requests)
        Record
            .Copies[std::string(net::findField(Seen->Request.Fields,
                                               "X-Limpetbridge-Attempt-Id"))]
            .push_back({Id, Worker->Behaviour != behaviour::Refuse,
                        Seen->BrokenOff, Seen->ArrivedAt, Seen->EndedAt});
    const auto Verdict = judge(Record);
    for (const auto &Broken : Verdict.Broken)
      std::cout << "BROKEN " << Broken << '\n';
    std::cout << "sent " << Record.Requests.size() << " answered "
              << Verdict.Answered << " refused " << Verdict.Refused
              << " unread " << Verdict.Unread << " cut " << Verdict.Cut
              << " seen read " << Verdict.Read << " broken "
              << Verdict.Broken.size() << std::endl;
    ExitStatus = Verdict.Broken.empty() ? 0 : 1;
    Context.stop();
  }

  /// Notes which of the open requests the gateways have read.
  auto watchReads() -> awaitable<void> {
    for (;;) {
      co_await net::sleepFor(ReadWatchInterval);
      const auto WrittenBefore = process_clock::now() - TransferTime;
      for (const auto &[Request, Socket] : Open)
        if (*Request->WrittenAt < WrittenBefore && Queues.hasReadAll(*Socket))
          Request->Read = true;
    }
  }

  /// Prefers gateways that do not drain, as a load balancer does that is slow
  /// to notice. \returns none if there is no process.
  auto drawGateway(random_source &Random) -> std::optional<gateway> {
    std::vector<gateway> Running;
    std::vector<gateway> Serving;
    for (const auto &[Name, Gateway] : Gateways) {
      const auto &Life = Record.Processes.at(Gateway.Process);
      if (!Life.EndedAt)
        Running.push_back(Gateway);
      if (!Life.EndedAt && !Life.StopAt)
        Serving.push_back(Gateway);
    }
    const auto &From =
        Serving.empty() || draw(Random, 1, 5) <= 2 ? Running : Serving;
    if (From.empty())
      return std::nullopt;
    return From.at(
        static_cast<std::size_t>(draw(Random, 1, int(From.size())) - 1));
  }

  auto runCaller(int Number) -> awaitable<void> {
    std::seed_seq Seeds{Seed, static_cast<std::uint64_t>(Number)};
    random_source Random(Seeds);
    for (;;) {
      const auto Gateway = drawGateway(Random);
      net::tcp::socket Socket(Context);
      net::error_code Error = net::asio::error::not_found;
      if (Gateway)
        co_await Socket.async_connect(Gateway->Address, net::storeError(Error));
      if (Error)
        co_await net::sleepFor(milliseconds(draw(Random, 5, 50)));
      else
        co_await useConnection(Socket, Gateway->Process, Random);
    }
  }

  /// Sends one request after the other until the connection is closed.
  auto useConnection(net::tcp::socket &Socket, std::size_t Process,
                     random_source &Random) -> awaitable<void> {
    net::error_code Ignored; // Only tuning.
    Socket.set_option(net::tcp::no_delay(true), Ignored);
    const auto Connection = ++LastConnection;
    boost::beast::flat_buffer Buffer;
    for (bool Usable = true; Usable;) {
      co_await net::sleepFor(milliseconds(draw(Random, 0, 120)));
      char Byte = 0;
      const auto Count =
          recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
      const bool Closed = Count == 0 || (Count < 0 && errno != EAGAIN);
      if (Closed && Buffer.size() == 0)
        break;
      auto &Request = Record.Requests.emplace_back();
      Request.Id = std::to_string(Record.Requests.size());
      Request.Process = Process;
      Request.Connection = Connection;
      if (Count > 0 || Buffer.size() > 0)
        Request.Fault = "bytes before the request";
      Usable = co_await sendOne(Socket, Buffer, Request, Random);
    }
  }

  /// \returns false if the connection is not to be used again.
  auto sendOne(net::tcp::socket &Socket, boost::beast::flat_buffer &Buffer,
               sent_request &Request, random_source &Random)
      -> awaitable<bool> {
    const auto &Plan = drawPlan(Random);
    const std::string Body(static_cast<std::size_t>(draw(Random, 1, 300)), 'x');
    const int DeadlineMs = draw(Random, Plan.TimeoutMs / 2, 2 * Plan.TimeoutMs);
    Request.Kind = Plan.Kind;
    std::ostringstream Text;
    Text << "POST " << Plan.Path << Request.Id << " HTTP/1.1\r\nHost: h\r\n"
         << "X-Limpetbridge-Attempt-Id: " << Request.Id << "\r\n"
         << "X-Limpetbridge-Deadline-Ms: " << DeadlineMs << "\r\n";
    if (!Plan.Model.empty())
      Text << "X-Limpetbridge-Model: " << Plan.Model << "\r\n"
           << "X-Limpetbridge-Token-Usage: 100,20\r\n";
    Text << "Content-Length: " << Body.size() << "\r\n\r\n" << Body;
    const auto Bytes = Text.str();
    // One request in five arrives in two parts.
    const auto First = draw(Random, 1, 5) == 1 ? Bytes.size() / 2 : 0;
    // The caller waits from its first byte on.
    Request.Deadline = process_clock::now() +
                       milliseconds(std::min(DeadlineMs, Plan.TimeoutMs));
    net::error_code Error;
    co_await net::asio::async_write(Socket, net::asio::buffer(Bytes, First),
                                    net::storeError(Error));
    if (First > 0)
      co_await net::sleepFor(milliseconds(draw(Random, 5, 200)));
    if (!Error)
      co_await net::asio::async_write(Socket, net::asio::buffer(Bytes) + First,
                                      net::storeError(Error));
    if (!Error) {
      Request.WrittenAt = process_clock::now();
      Open[&Request] = &Socket;
    }
    http::response_parser<http::string_body> Parser;
    const bool KeepOpen = co_await readAnswer(Socket, Buffer, Request, Parser);
    const auto &Answer = Parser.get();
    const auto Id = Answer["X-Limpetbridge-Attempt-Id"];
    const auto Expected = Plan.Kind == request_kind::Stream
                              ? wholeStream()
                              : "POST " + (Plan.Path + Request.Id) + " " + Body;
    if (!Id.empty() && Id != Request.Id)
      Request.Fault = "answer to request " + std::string(Id);
    else if (Request.Complete && Answer.result() == http::status::ok &&
             (Answer.body() != Expected ||
              Answer["X-Limpetbridge-Response-Signature"].empty()))
      Request.Fault = "success with another body";
    // As Retry-After asks for.
    if (Request.Complete && Request.Status != int(http::status::ok))
      co_await net::sleepFor(milliseconds(draw(Random, 50, 300)));
    co_return KeepOpen;
  }

  auto readAnswer(net::tcp::socket &Socket, boost::beast::flat_buffer &Buffer,
                  sent_request &Request,
                  http::response_parser<http::string_body> &Parser)
      -> awaitable<bool> {
    net::asio::steady_timer Timer(
        Context, net::toSteadyTime(Request.Deadline + Patience));
    Timer.async_wait([&Socket](net::error_code TimerError) {
      net::error_code Ignored; // The read reports it.
      if (!TimerError)
        Socket.cancel(Ignored);
    });
    net::error_code Error;
    co_await http::async_read(Socket, Buffer, Parser, net::storeError(Error));
    Timer.cancel();
    Open.erase(&Request);
    Request.EndedAt = process_clock::now();
    Request.Complete = !Error;
    Request.Outcome = Error.message() + ", " +
                      std::to_string(Parser.get().body().size()) + " bytes";
    if (Parser.is_header_done())
      Request.Status = static_cast<int>(Parser.get().result_int());
    co_return Request.Complete &&Parser.keep_alive();
  }

  net::asio::io_context Context;
  soak_record Record;
  store_emulator Store;
  std::map<std::string, std::unique_ptr<worker_emulator>> Workers;
  net::asio::posix::stream_descriptor Input;
  std::uint64_t Seed;
  std::map<std::string, gateway> Gateways;
  std::map<std::string, std::size_t> Newest; ///< Process of each name.
  queue_reader Queues;
  /// Requests that are written and not answered.
  std::map<sent_request *, net::tcp::socket *> Open;
  int LastConnection = 0;
  int ConfigurationVersion = 0;
  int ExitStatus = 0;
};

} // namespace

auto main(int Count, char **Words) -> int {
  constexpr int WordCount = 4;
  if (Count != WordCount)
    return 2;
  return soak_driver(std::stoull(Words[1]), milliseconds(std::stoi(Words[2])))
      .run(std::stoi(Words[3]));
}
