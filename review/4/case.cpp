/// \file
/// An order to load gets no answer and is carried out 11.5 s later. Meanwhile
/// its worker crashes and starts again under its id, and its counts start anew.
#include "../stand_ins/platform.h"

namespace {

using namespace review;

constexpr double WeightsMb = 230'000; ///< Memory of the worker.
constexpr double ModelMb = 72'700;    ///< Each model; three fit.
constexpr std::int64_t LoadMs = 2800;
constexpr std::int64_t DiskLoadMs = 560;
constexpr std::int64_t WarmLoadMs = 320;
constexpr std::int64_t AdapterMs = 5;
/// The pages allow 2 to 12 s.
constexpr std::int64_t LateMs = 11'500;
constexpr std::int64_t CrashAfterMs = 4400;
constexpr std::int64_t DownMs = 2000;
constexpr std::int64_t DeadlineMs = 4000;
constexpr std::int64_t LimitMs = 60'000;

const char *Configuration = R"({"version":3,"routes":[
 {"name":"draft","host":"shea.example","prefix":"/draft/","kind":"streaming",
  "timeout_ms":4000,"target_latency_ms":600,"priority":1,"service":"models",
  "attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":300}],
 "services":[{"name":"models","health_path":"/health","connection_limit":360,
  "inference_engine":{"slots":64,"kv_cache_tokens":270589,
  "weights_size_mb":230000.0,"adapter_slot_count":8,"loads_per_s":2.1,
  "models":[
  {"name":"m0","weights_size_mb":72700.0,"load_time_s":2.8,"warm_up_s":0.32,
   "disk_load_s":0.56,"adapters":9,"adapter_size_mb":66.0},
  {"name":"m1","weights_size_mb":72700.0,"load_time_s":2.8,"warm_up_s":0.32,
   "disk_load_s":0.56,"adapters":0,"adapter_size_mb":66.0},
  {"name":"m2","weights_size_mb":72700.0,"load_time_s":2.8,"warm_up_s":0.32,
   "disk_load_s":0.56,"adapters":0,"adapter_size_mb":66.0},
  {"name":"m3","weights_size_mb":72700.0,"load_time_s":2.8,"warm_up_s":0.32,
   "disk_load_s":0.56,"adapters":0,"adapter_size_mb":66.0}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// A model worker that carries out orders.
class engine {
public:
  engine(store &PlatformStore, record_file &RecordFile, bool WithTrouble)
      : Store(PlatformStore), Record(RecordFile), Trouble(WithTrouble),
        Server([this](channel &Channel, http_message &Request) {
          return serve(Channel, Request);
        }) {
    Models["m0"];
    Models["m1"];
    OnDisk = {"m0", "m1"};
    InMemory = OnDisk;
    publish();
  }

  /// Ends the lifetime; a new one, empty, has the same id and disk.
  auto crash() -> void {
    Server.stop();
    const std::lock_guard Lock(Mutex);
    ++Lifetime;
    Models.clear();
    InMemory.clear();
    Busy = false;
    Sequence = 0;
    Born += 60'000;
  }
  auto startAgain() -> void {
    Server.start();
    publish();
  }
  [[nodiscard]] auto address() const -> std::string { return Server.address(); }
  /// Orders without an answer so far.
  std::atomic<int> LateOrders = 0;
  std::atomic<int> LateOrdersCarriedOut = 0;
  /// Orders that were to load more than the memory holds.
  std::atomic<int> Overloads = 0;
  std::atomic<int> LoadsDone = 0;

private:
  auto report() -> json {
    const std::lock_guard Lock(Mutex);
    return reportLocked();
  }
  auto reportLocked() const -> json {
    auto List = json::array();
    for (const auto &[Model, Adapters] : Models)
      List.push_back({{"name", Model}, {"version", 1}, {"adapters", Adapters}});
    return {{"stage", "colocated"},
            {"models", List},
            {"busy", Busy},
            {"sequence", Sequence},
            {"born", Born},
            {"queued_requests", 0},
            {"active_requests", 0},
            {"pending", json::array()},
            {"available", {{"resident", InMemory}, {"on_disk", OnDisk}}}};
  }
  auto publish() -> void {
    auto Row = report();
    Row["service"] = "models";
    Row["address"] = Server.address();
    Row["zone"] = "north";
    Row["version"] = "v1";
    Row["slots"] = 64;
    Row["state"] = "ready";
    Row["cold_remaining_ms"] = 0;
    Store.put("servers", "i-w1", Row.dump());
  }
  auto serve(channel &Channel, http_message &Request) -> bool {
    const auto Deadline = steady::now() + std::chrono::seconds(20);
    if (!Channel.readBody(Request, false, Deadline))
      return false;
    if (Request.target() == "/report")
      return Channel.send(answerText(
          200, {{"Content-Type", "application/json"}}, report().dump()));
    const auto Expected = Request.field("X-Limpetbridge-Expected-Instance");
    if (!Expected.empty() && Expected != "i-w1")
      return Channel.send(
          answerText(421, {{"X-Limpetbridge-Not-Executed", "1"}}, ""));
    if (Request.target() == "/order")
      return takeOrder(Channel, Request.Body);
    return runRequest(Channel, Request);
  }
  auto takeOrder(channel &Channel, const std::string &Body) -> bool {
    const auto Order = json::parse(Body);
    // The first load of m3 is left unanswered and carried out late.
    if (Trouble && Order.at("model") == "m3" &&
        Order.at("operation") == "model_loading" &&
        LateOrders.fetch_add(1) == 0) {
      Record.write("order, no answer: " + Body);
      std::thread([this, Order] {
        sleepMs(LateMs);
        const int Status = carryOut(Order);
        Record.write("the late order is carried out: " +
                     std::to_string(Status));
        ++LateOrdersCarriedOut;
      }).detach();
      while (Channel.fill(steady::now() + std::chrono::seconds(30))) {
      }
      return false;
    }
    const int Status = carryOut(Order);
    Record.write("order, answer " + std::to_string(Status) + ": " + Body);
    return Channel.send(answerText(Status, {}, ""));
  }
  auto carryOut(const json &Order) -> int {
    const auto Model = Order.at("model").get<std::string>();
    const auto Adapter = Order.value("adapter", "");
    const bool Load = Order.at("operation") == "model_loading";
    std::unique_lock Lock(Mutex);
    if (Busy || Order.value("precondition", Sequence) != Sequence)
      return 409;
    const bool Held = Models.contains(Model) &&
                      (Adapter.empty() || Models[Model].contains(Adapter));
    if (Held == Load)
      return 200;
    ++Sequence;
    if (!Adapter.empty()) {
      if (Load)
        Models[Model].insert(Adapter);
      else
        Models[Model].erase(Adapter);
      Lock.unlock();
      publish();
      return Load ? 202 : 200;
    }
    std::int64_t TakesMs = 50;
    if (Load) {
      const double Needed = (static_cast<double>(Models.size()) + 1) * ModelMb;
      Record.write("load of " + Model + " begins, sequence " +
                   std::to_string(Sequence) + ", lifetime " +
                   std::to_string(Lifetime) + ", memory needed " +
                   std::to_string(static_cast<int>(Needed)) + " of " +
                   std::to_string(static_cast<int>(WeightsMb)) + " MB");
      if (Needed > WeightsMb) {
        ++Overloads;
        Record.write("the worker is ordered to load more than it holds, and "
                     "crashes");
        Server.end();
        return 202;
      }
      TakesMs = InMemory.contains(Model) ? WarmLoadMs
                : OnDisk.contains(Model) ? DiskLoadMs
                                         : LoadMs;
    }
    Busy = true;
    std::thread([this, Model, Load, TakesMs, Began = Lifetime] {
      sleepMs(TakesMs);
      {
        const std::lock_guard Again(Mutex);
        if (Lifetime != Began)
          return;
        Busy = false;
        if (Load)
          Models[Model];
        else
          Models.erase(Model);
        OnDisk.insert(Model);
        InMemory.insert(Model);
        LoadsDone += Load ? 1 : 0;
      }
      publish();
    }).detach();
    return 202;
  }
  auto runRequest(channel &Channel, const http_message &Request) -> bool {
    const auto Id = Request.field("X-Limpetbridge-Attempt-Id");
    const auto Name = Request.field("X-Limpetbridge-Model");
    const auto Slash = Name.find('/');
    bool Held = false;
    {
      const std::lock_guard Lock(Mutex);
      const auto Found = Models.find(Name.substr(0, Slash));
      Held = Found != Models.end() &&
             (Slash == std::string::npos ||
              Found->second.contains(Name.substr(Slash + 1)));
    }
    if (!Held)
      return Channel.send(answerText(421,
                                     {{"X-Limpetbridge-Attempt-Id", Id},
                                      {"X-Limpetbridge-Not-Executed", "1"}},
                                     ""));
    Record.write("run " + Id);
    sleepMs(200);
    const auto Event = chunkText("id: 1\ndata: text\n\n");
    return Channel.send("HTTP/1.1 200 OK\r\nX-Limpetbridge-Attempt-Id: " + Id +
                        "\r\nX-Limpetbridge-Response-Signature: proof\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n" +
                        Event + "0\r\n\r\n");
  }

  store &Store;
  record_file &Record;
  const bool Trouble;
  std::mutex Mutex;
  std::map<std::string, std::set<std::string>> Models;
  std::set<std::string> OnDisk;
  std::set<std::string> InMemory;
  bool Busy = false;
  std::uint64_t Sequence = 0;
  int Lifetime = 1;
  std::int64_t Born = 1'700'000'000'000;
  http_server Server;
};

auto callOnce(std::uint16_t Port, const std::string &Id,
              const std::string &Model, record_file &Record) -> int {
  const auto Channel = channel::open(Port);
  Record.write("send " + Id + " for " + Model);
  exchange Result;
  if (Channel)
    Result = exchangeOn(*Channel,
                        requestHead("POST", "/draft/note", Id, DeadlineMs, 4,
                                    {{"X-Limpetbridge-Model", Model},
                                     {"X-Limpetbridge-Token-Usage", "828,54"},
                                     {"X-Limpetbridge-Prompt-Prefix",
                                      "a1:198," + Id + ":630"}}),
                        "text", DeadlineMs + 1000);
  Record.write("seen " + Id + ": " + std::to_string(Result.Status));
  return Result.Status;
}

/// Waits until \p Condition holds. \returns false if the time is up.
auto await(const std::function<bool()> &Condition) -> bool {
  for (; elapsedMs() < LimitMs; sleepMs(20))
    if (Condition())
      return true;
  return false;
}

auto run() -> int {
  const bool Trouble = wantsTrouble();
  record_file Record("review/4/record.txt");
  const temporary_folder Folder;
  store Store;
  Store.put("op", "config", Configuration);
  // Its threads may outlive this function by some ms.
  static engine Engine(Store, Record, Trouble);
  const gateway_ports Ports;
  process Controller(
      "controller-1",
      controllerSettings(Store, "controller-1", Engine.address(), "models"),
      Folder);
  process Gateway("gateway-1", gatewaySettings(Store, "gateway-1", Ports, ""),
                  Folder);
  if (!awaitReady(Ports.Ready)) {
    Record.say("the gateway is not ready");
    return CouldNotRun;
  }
  // The system fills the free third place by itself.
  if (!await([] { return Engine.LoadsDone >= 1; })) {
    Record.say("no model was loaded at the start");
    return CouldNotRun;
  }
  sleepMs(3000);
  const int Adapter = callOnce(Ports.Callers, "11", "m0/a1", Record);
  int Last = 0;
  for (int Count = 0; Count < 10 && Last != 200 && Engine.LateOrders == 0;
       ++Count) {
    Last = callOnce(Ports.Callers, "2" + std::to_string(Count), "m3", Record);
    sleepMs(500);
  }
  if (Trouble) {
    if (Engine.LateOrders == 0) {
      Record.say("no order to load m3 came");
      return CouldNotRun;
    }
    sleepMs(CrashAfterMs);
    Record.write("the worker crashes");
    Engine.crash();
    sleepMs(DownMs);
    Engine.startAgain();
    Record.write("the worker is back under its id");
    await([] { return Engine.LateOrdersCarriedOut > 0; });
    sleepMs(1000);
  } else {
    sleepMs(LateMs + CrashAfterMs);
  }
  const int Served = callOnce(Ports.Callers, "31", "m0", Record);
  Record.say("answers: adapter " + std::to_string(Adapter) + ", m3 " +
             std::to_string(Last) + ", m0 at the end " +
             std::to_string(Served));
  Record.say("orders to load more than the worker's memory holds: " +
             std::to_string(Engine.Overloads));
  const int Status = Engine.Overloads > 0 ? RuleBroken
                     : Adapter == 200     ? RuleHeld
                                          : CouldNotRun;
  Gateway.end();
  Controller.end();
  std::_Exit(Status);
}

} // namespace

auto main() -> int {
  try {
    return run();
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return CouldNotRun;
  }
}
