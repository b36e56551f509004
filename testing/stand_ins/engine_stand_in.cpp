#include "engine_stand_in.h"

#include "engine/snapshot_codec.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNotLoaded = 404;
constexpr int StatusStale = 409;
constexpr int StatusNoMemory = 422;
constexpr std::size_t Threads = 1024;
constexpr std::size_t ExecutedKept = 64;

auto sleepMs(std::int64_t Ms) -> void {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

auto refusal(order_status Status, fencing_token Token, fencing_token Highest)
    -> order_replied {
  return {Token, Status, Highest, std::nullopt};
}

auto encodeReply(const order_replied &Reply) -> json {
  json Body = {{"highest", Reply.Highest.Value}};
  if (Reply.Snapshot)
    Body["state"] = encodeSnapshot(*Reply.Snapshot);
  return Body;
}

auto statusOf(order_status Status) -> int {
  if (Status == order_status::Done)
    return StatusOk;
  return Status == order_status::Stale ? StatusStale : StatusNoMemory;
}

} // namespace

auto expectedPiece(const std::string &Model, const std::string &Prompt,
                   std::uint32_t Index) -> std::string {
  constexpr std::uint64_t Words = 10'000;
  const auto Hash = stableHash(Prompt, stableHash(Model, Index));
  return " w" + std::to_string(Hash % Words);
}

auto expectedAnswer(const std::string &Model, const std::string &Prompt,
                    std::uint32_t Tokens) -> std::string {
  std::string Text;
  for (std::uint32_t Index = 0; Index < Tokens; ++Index)
    Text += expectedPiece(Model, Prompt, Index);
  return Text;
}

engine_fake::engine_fake(std::uint64_t Capacity, bool ChecksFence,
                         incarnation Self)
    : Capacity(Capacity), ChecksFence(ChecksFence), Self(Self) {}

auto engine_fake::committed() const -> std::uint64_t {
  std::uint64_t Sum = 0;
  for (const auto &[What, Bytes] : Resident)
    Sum += Bytes;
  for (const auto &[What, Bytes] : Loading)
    Sum += Bytes;
  return Sum;
}

auto engine_fake::admit(const send_order &Order) -> bool {
  if (ChecksFence && Order.Token < Highest)
    return false;
  Highest = std::max(Highest, Order.Token);
  return true;
}

auto engine_fake::noteExecuted(const send_order &Order) -> order_replied {
  ++Sequence;
  Executed.push_back(Order.Token);
  if (Executed.size() > ExecutedKept)
    Executed.erase(Executed.begin());
  return {Order.Token, order_status::Done, Highest, snapshot()};
}

auto engine_fake::execute(const send_order &Order) -> order_replied {
  if (Order.Kind == order_kind::Load) {
    const auto Begun = beginLoad(Order);
    return Begun.Status == order_status::Done ? finishLoad(Order) : Begun;
  }
  if (!admit(Order))
    return refusal(order_status::Stale, Order.Token, Highest);
  if (Order.Kind == order_kind::Unload)
    Resident.erase(Order.What);
  return noteExecuted(Order);
}

auto engine_fake::beginLoad(const send_order &Order) -> order_replied {
  if (!admit(Order))
    return refusal(order_status::Stale, Order.Token, Highest);
  if (!Resident.contains(Order.What))
    Loading[Order.What] = Order.Bytes.Value;
  ++Sequence;
  if (committed() > Capacity)
    ++Overcommits;
  return {Order.Token, order_status::Done, Highest, std::nullopt};
}

auto engine_fake::finishLoad(const send_order &Order) -> order_replied {
  Loading.erase(Order.What);
  Resident[Order.What] = Order.Bytes.Value;
  return noteExecuted(Order);
}

auto engine_fake::isResident(const loadable &What) const -> bool {
  return Resident.contains(What);
}

auto engine_fake::snapshot() const -> engine_snapshot {
  engine_snapshot Snapshot;
  Snapshot.Engine = Self;
  Snapshot.Sequence = Sequence;
  for (const auto &[What, Bytes] : Resident)
    Snapshot.Resident.push_back({What, {Bytes}});
  for (const auto &[What, Bytes] : Loading)
    Snapshot.Loading.push_back({What, {Bytes}});
  Snapshot.Executed = Executed;
  return Snapshot;
}

engine_stand_in::engine_stand_in(engine_stand_in_options Options)
    : Options(Options), Server(Options.Port, Threads),
      Engine(Options.MemoryBytes, Options.ChecksFence, {1}) {
  setRoutes();
  Server.start();
}

engine_stand_in::~engine_stand_in() { Server.stop(); }

auto engine_stand_in::overcommits() -> int {
  const std::lock_guard Lock(Mutex);
  return Engine.overcommits();
}

auto engine_stand_in::setRoutes() -> void {
  Server.route("POST", "/v1/generate",
               [this](const auto &Request, auto &Response) {
                 generate(Request, Response);
               });
  Server.route("POST", "/v1/orders",
               [this](const auto &Request, auto &Response) {
                 takeOrder(Request, Response);
               });
  Server.route("GET", "/v1/state", [this](const auto &, auto &Response) {
    const std::lock_guard Lock(Mutex);
    auto Snapshot = Engine.snapshot();
    Snapshot.Running = Running.load();
    answerJson(Response, StatusOk, encodeSnapshot(Snapshot));
  });
  Server.route("GET", "/overcommits", [this](const auto &, auto &Response) {
    answerJson(Response, StatusOk, {{"overcommits", overcommits()}});
  });
}

auto engine_stand_in::runOrder(const send_order &Order) -> order_replied {
  if (Order.Kind != order_kind::Load) {
    const std::lock_guard Lock(Mutex);
    return Engine.execute(Order);
  }
  {
    const std::lock_guard Lock(Mutex);
    auto Begun = Engine.beginLoad(Order);
    if (Begun.Status != order_status::Done)
      return Begun;
  }
  sleepMs(Order.What.Adapter.empty() ? Options.LoadMs : 5);
  const std::lock_guard Lock(Mutex);
  return Engine.finishLoad(Order);
}

auto engine_stand_in::takeOrder(const httplib::Request &Request,
                                httplib::Response &Response) -> void {
  const auto Order = decodeOrder(json::parse(Request.body));
  if (const auto LateMs = Server.faults().LateMs.load(); LateMs > 0) {
    const std::lock_guard Lock(Mutex);
    Late.push_back(std::make_unique<thread>("late-order", ConnectionStackBytes,
                                            [this, Order, LateMs] {
                                              sleepMs(LateMs);
                                              runOrder(Order);
                                            }));
    loseAnswer(Response);
    return;
  }
  const auto Reply = runOrder(Order);
  answerJson(Response, statusOf(Reply.Status), encodeReply(Reply));
}

auto engine_stand_in::generate(const httplib::Request &Request,
                               httplib::Response &Response) -> void {
  /// One generation on its connection.
  struct run {
    std::string Model;
    std::string Prompt;
    std::uint32_t Next = 0;
    std::uint32_t Total = 0;
    bool Silent = false;
  };
  const auto Body = json::parse(Request.body);
  const loadable Unit{model_name(Body.at("model").get<std::string>()), {}};
  const loadable Adapter{Unit.Unit,
                         adapter_name(Body.at("adapter").get<std::string>())};
  {
    const std::lock_guard Lock(Mutex);
    if (!Engine.isResident(Unit) || !Engine.isResident(Adapter)) {
      answerJson(Response, StatusNotLoaded, {{"error", "not loaded"}});
      return;
    }
  }
  auto Run = std::make_shared<run>();
  Run->Model = Adapter.Adapter.empty() ? Unit.Unit.Text : Adapter.Adapter.Text;
  Run->Prompt = Body.at("prompt").get<std::string>();
  Run->Next = Body.at("offset").get<std::uint32_t>();
  Run->Total = Body.at("max_tokens").get<std::uint32_t>();
  Run->Silent = takeOne(Server.faults().Silent);
  ++Running;
  Response.set_chunked_content_provider(
      "application/x-ndjson",
      [this, Run](std::size_t, httplib::DataSink &Sink) {
        constexpr std::int64_t SilenceMs = 60'000;
        if (Run->Silent && Run->Next > Run->Total / 2)
          sleepMs(SilenceMs);
        json Pieces = json::array();
        const auto Offset = Run->Next;
        while (Run->Next < Run->Total && Pieces.size() < Options.PiecesALine)
          Pieces.push_back(expectedPiece(Run->Model, Run->Prompt, Run->Next++));
        if (Options.TokenUs > 0)
          std::this_thread::sleep_for(std::chrono::microseconds(
              Options.TokenUs * static_cast<std::int64_t>(Pieces.size())));
        json Line = {{"offset", Offset}, {"pieces", std::move(Pieces)}};
        auto Text = Line.dump() + "\n";
        if (Run->Next >= Run->Total)
          Text += json{{"total", Run->Total}}.dump() + "\n";
        const bool Written = Sink.write(Text.data(), Text.size());
        if (Run->Next >= Run->Total)
          Sink.done();
        return Written;
      },
      [this](bool) { --Running; });
}

} // namespace limpetbridge
