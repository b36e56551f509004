/// \file
/// Stand-in of a model worker: reports, orders, event streams, and its row in
/// the store.
#ifndef LIMPETBRIDGE_REVIEW_ENGINE_H
#define LIMPETBRIDGE_REVIEW_ENGINE_H

#include "stand_ins.h"

#include <set>

namespace stand_ins {

/// What an engine holds, and the orders that it got. A restart clears all but
/// its id and address.
class engine {
public:
  struct seen_order {
    std::string Holder;
    std::uint64_t FencingToken = 0;
  };

  engine(store &EngineStore, record_file &EngineRecord, std::string EngineId,
         std::string EngineService, double EngineWeightsMb,
         double EngineModelMb)
      : Store(EngineStore), Record(EngineRecord), Id(std::move(EngineId)),
        Service(std::move(EngineService)), WeightsMb(EngineWeightsMb),
        ModelMb(EngineModelMb), Born(bornNow()),
        Listener([this](connection &Connection) { serve(Connection); }) {
    std::thread([this] {
      // Heartbeats of several workers don't fall together.
      sleepMs(static_cast<std::int64_t>(std::hash<std::string>()(Id) %
                                        HeartbeatMs));
      for (;;) {
        sleepMs(HeartbeatMs);
        const std::lock_guard Lock(Mutex);
        if (IsUp && Beats && describedJson() != Described)
          writeRow();
      }
    }).detach();
  }

  static constexpr std::int64_t HeartbeatMs = 1200;
  /// Of its streams.
  std::atomic<int> Events = 5;
  std::atomic<int> EventGapMs = 5;
  std::atomic<int> FirstEventMs = 0;
  std::atomic<int> Runs = 0; ///< Streams that it has begun.

  [[nodiscard]] auto address() const -> std::string {
    return Listener.address();
  }
  /// The models that it holds at its start.
  auto hold(const std::set<std::string> &Names) -> void {
    const std::lock_guard Lock(Mutex);
    for (const auto &Name : Names)
      Models[Name];
  }
  auto beat() -> void {
    const std::lock_guard Lock(Mutex);
    Beats = true;
    writeRow();
  }
  /// What it wrote is written again with its next heartbeat.
  auto writeAgain() -> void {
    const std::lock_guard Lock(Mutex);
    Described = json();
  }
  /// The next load order gets no answer and is carried out this much later.
  auto delayNextOrder(std::int64_t Milliseconds) -> void {
    const std::lock_guard Lock(Mutex);
    DelayMs = Milliseconds;
  }
  /// The machine has no power: nothing is held any more, calls are reset.
  auto powerOff() -> void {
    const std::lock_guard Lock(Mutex);
    IsUp = false;
    Models.clear();
    Sequence = 0;
    Busy = false;
    ++Incarnation;
  }
  /// It starts again under its id, empty.
  auto powerOn() -> void {
    const std::lock_guard Lock(Mutex);
    IsUp = true;
    Born = bornNow();
    writeRow();
  }
  [[nodiscard]] auto orders() -> std::vector<seen_order> {
    const std::lock_guard Lock(Mutex);
    return Orders;
  }
  [[nodiscard]] auto lateOrders() -> int {
    const std::lock_guard Lock(Mutex);
    return DelayedOrders;
  }
  /// Orders to load more than fits.
  [[nodiscard]] auto overloads() -> int {
    const std::lock_guard Lock(Mutex);
    return Overloads;
  }
  [[nodiscard]] auto holdings() -> std::string {
    const std::lock_guard Lock(Mutex);
    return holdingsText();
  }
  [[nodiscard]] auto sequence() -> std::uint64_t {
    const std::lock_guard Lock(Mutex);
    return Sequence;
  }

private:
  static constexpr std::int64_t LoadMs = 300;

  static auto bornNow() -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  [[nodiscard]] auto holdingsText() const -> std::string {
    std::string Text;
    for (const auto &[Name, Adapters] : Models) {
      Text += (Text.empty() ? "" : " ") + Name;
      for (const auto &Adapter : Adapters)
        Text += "/" + Adapter;
    }
    return "[" + Text + "]";
  }
  [[nodiscard]] auto reportJson() const -> json {
    json List = json::array();
    for (const auto &[Name, Adapters] : Models)
      List.push_back(
          {{"name", Name}, {"version", 1}, {"adapters", json(Adapters)}});
    return {{"stage", "colocated"},
            {"models", List},
            {"busy", Busy},
            {"sequence", Sequence},
            {"born", Born},
            {"queued_requests", 0},
            {"active_requests", 0},
            {"kv_cache_used", 0},
            {"kv_cache_total", 233436},
            {"handles", 0}};
  }
  [[nodiscard]] auto rowText() const -> std::string {
    auto Row = reportJson();
    Row["service"] = Service;
    Row["address"] = Listener.address();
    Row["zone"] = "nashua";
    Row["version"] = "v1";
    Row["slots"] = 64;
    Row["state"] = "ready";
    Row["cold_remaining_ms"] = 0;
    return Row.dump();
  }
  /// What the entry changes by: all but the sequence.
  [[nodiscard]] auto describedJson() const -> json {
    auto Json = reportJson();
    Json.erase("sequence");
    return Json;
  }
  auto writeRow() -> void {
    Described = describedJson();
    Store.put("servers", Id, rowText());
  }
  [[nodiscard]] auto usedMb() const -> double {
    return ModelMb * static_cast<double>(Models.size());
  }

  auto serve(connection &Connection) -> void {
    while (const auto Request = Connection.readMessage(60'000)) {
      bool IsOff = false;
      {
        const std::lock_guard Lock(Mutex);
        IsOff = !IsUp;
      }
      if (IsOff)
        return;
      if (const auto Expected =
              Request->field("X-Limpetbridge-Expected-Instance");
          !Expected.empty() && Expected != Id) {
        Connection.write(
            answerText(421, "", "X-Limpetbridge-Instance-Id: " + Id + "\r\n"));
        continue;
      }
      if (Request->target() == "/report") {
        const std::lock_guard Lock(Mutex);
        Connection.write(answerText(200, reportJson().dump()));
      } else if (Request->target() == "/order") {
        if (!takeOrder(Connection, *Request))
          return;
      } else if (!stream(Connection, *Request)) {
        return;
      }
    }
  }

  /// Carries out an order under the lock. \returns its status.
  auto carryOut(const json &Order) -> int {
    if (Busy || Order.at("precondition").get<std::uint64_t>() != Sequence)
      return 409;
    const auto Model = Order.at("model").get<std::string>();
    const auto Adapter = Order.value("adapter", "");
    const bool IsLoad = Order.at("operation") == "model_loading";
    if (!Adapter.empty()) {
      if (!Models.contains(Model))
        return 400;
      ++Sequence;
      if (IsLoad)
        Models[Model].insert(Adapter);
      else
        Models[Model].erase(Adapter);
      return IsLoad ? 202 : 200;
    }
    if (Models.contains(Model) == IsLoad)
      return 200;
    ++Sequence;
    if (!IsLoad) {
      Models.erase(Model);
      return 202;
    }
    if (usedMb() + ModelMb > WeightsMb) {
      ++Overloads;
      Record.note("worker   " + Id + " is ordered to load " + Model +
                  " beside " + holdingsText() + ": more than fits, it crashes");
      IsUp = false;
      return 202;
    }
    Busy = true;
    const auto Started = Incarnation;
    std::thread([this, Model, Started] {
      sleepMs(LoadMs);
      const std::lock_guard Lock(Mutex);
      if (Incarnation != Started)
        return;
      Models[Model];
      Busy = false;
      writeRow();
    }).detach();
    return 202;
  }

  auto takeOrder(connection &Connection, const message &Request) -> bool {
    const auto Order = json::parse(Request.Body);
    std::int64_t Delay = 0;
    int Status = 0;
    {
      const std::lock_guard Lock(Mutex);
      const auto Text =
          Order.value("operation", "") + " " + Order.value("model", "") + " " +
          Order.value("adapter", "") + " at sequence " +
          std::to_string(Order.value("precondition", 0)) + ", holder " +
          Order.value("holder", "") + ", fencing token " +
          std::to_string(Order.value("fencing_token", 0));
      Orders.push_back({Order.value("holder", ""),
                        Order.value("fencing_token", std::uint64_t{0})});
      const bool IsModelLoad =
          Order.value("operation", "") == "model_loading" &&
          Order.value("adapter", "").empty();
      if (IsModelLoad)
        Delay = std::exchange(DelayMs, 0);
      if (Delay == 0)
        Status = carryOut(Order);
      else
        ++DelayedOrders;
      Record.note("order    to " + Id + ": " + Text + ": " +
                  (Delay > 0 ? "no answer, carried out " +
                                   std::to_string(Delay) + " ms later"
                             : std::to_string(Status)));
    }
    if (Delay == 0)
      return Connection.write(answerText(Status, ""));
    std::thread([this, Order, Delay] {
      sleepMs(Delay);
      const std::lock_guard Lock(Mutex);
      if (!IsUp)
        return;
      const auto Before = holdingsText();
      const auto At = Sequence;
      const auto Result = carryOut(Order);
      Record.note("late     the order " + Order.value("operation", "") + " " +
                  Order.value("model", "") + " meets sequence " +
                  std::to_string(At) + " and " + Before + ": " +
                  std::to_string(Result));
    }).detach();
    sleepMs(3000); // No answer; the caller gives up.
    return false;
  }

  auto stream(connection &Connection, const message &Request) -> bool {
    const auto RequestId = Request.field("X-Limpetbridge-Attempt-Id");
    const auto Name = Request.field("X-Limpetbridge-Model");
    const auto Slash = Name.find('/');
    const auto Model = Name.substr(0, Slash);
    bool IsHeld = false;
    {
      const std::lock_guard Lock(Mutex);
      const auto Found = Models.find(Model);
      IsHeld = Found != Models.end() &&
               (Slash == std::string::npos ||
                Found->second.contains(Name.substr(Slash + 1)));
    }
    if (!IsHeld)
      return Connection.write(
          answerText(421, "",
                     "X-Limpetbridge-Attempt-Id: " + RequestId +
                         "\r\nX-Limpetbridge-Instance-Id: " + Id + "\r\n"));
    std::string Text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "X-Limpetbridge-Attempt-Id: " +
                       RequestId +
                       "\r\nX-Limpetbridge-Response-Signature: 3e1b.07\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    ++Runs;
    sleepMs(FirstEventMs);
    for (int Number = 1; Number <= Events; ++Number) {
      const auto Event = "id: " + std::to_string(Number) + "\ndata: " + Name +
                         " " + std::to_string(Number) + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (!Connection.write(Text + Size + Event + "\r\n"))
        return false;
      Text.clear();
      sleepMs(EventGapMs);
    }
    return Connection.write("0\r\n\r\n");
  }

  std::mutex Mutex;
  store &Store;
  record_file &Record;
  std::string Id;
  std::string Service;
  double WeightsMb;
  double ModelMb;
  std::int64_t Born;
  std::uint64_t Sequence = 0;
  std::uint64_t Incarnation = 0;
  bool Busy = false;
  bool IsUp = true;
  bool Beats = false;
  json Described; ///< As it was written last.
  std::int64_t DelayMs = 0;
  int DelayedOrders = 0;
  int Overloads = 0;
  std::map<std::string, std::set<std::string>> Models;
  std::vector<seen_order> Orders;
  server Listener;
};

/// The configuration of the cases with engines.
inline auto engineConfiguration(std::uint64_t Version, int CacheTokens = 233436)
    -> std::string {
  json Models = json::array();
  for (const char *Name : {"ma", "mb", "mc", "md"})
    Models.push_back({{"name", Name},
                      {"weights_size_mb", 70000.0},
                      {"load_time_s", 0.3},
                      {"adapters", 31},
                      {"adapter_size_mb", 12.0}});
  return json{{"version", Version},
              {"routes",
               {{{"name", "dock-ask"},
                 {"host", "models.example"},
                 {"prefix", "/ask/"},
                 {"kind", "streaming"},
                 {"timeout_ms", 15000},
                 {"target_latency_ms", 3000},
                 {"priority", 0},
                 {"service", "wheelwise"},
                 {"attempts", 2},
                 {"sticky", true},
                 {"resumable", true},
                 {"gap_aim_ms", 300}}}},
              {"services",
               {{{"name", "wheelwise"},
                 {"health_path", "/health"},
                 {"connection_limit", 360},
                 {"inference_engine",
                  {{"slots", 64},
                   {"kv_cache_tokens", CacheTokens},
                   {"weights_size_mb", 220000.0},
                   {"adapter_slot_count", 5},
                   {"loads_per_s", 1.4},
                   {"stride", 5},
                   {"models", Models}}}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

/// Sends a prompt for \p Model and reads its whole stream; repeats a refusal
/// after its Retry-After. \returns the last status; 0 without an answer.
inline auto ask(record_file &Record, std::uint16_t Port,
                const std::string &Model, int Times = 8) -> int {
  static std::atomic<int> LastId = 0;
  int Status = 0;
  for (int Try = 0; Try < Times; ++Try) {
    char Id[32];
    std::snprintf(Id, sizeof(Id), "9c41d07b%08x", ++LastId);
    connection Caller;
    if (!Caller.connect(Port))
      return 0;
    Caller.write("POST /ask/2f HTTP/1.1\r\nHost: models.example\r\n"
                 "X-Limpetbridge-Attempt-Id: " +
                 std::string(Id) + "\r\nX-Limpetbridge-Model: " + Model +
                 "\r\nX-Limpetbridge-Token-Usage: 800,25\r\n"
                 "X-Limpetbridge-Prompt-Prefix: 5c1e07a2:600,e4402b7d:200\r\n"
                 "X-Limpetbridge-Deadline-Ms: 12000\r\n"
                 "Content-Length: 2\r\n\r\n{}");
    Record.note("sent     " + std::string(Id) + " for " + Model);
    const auto Answer = Caller.readMessage(13'000);
    Status = Answer ? Answer->status() : 0;
    Record.note("answered " + std::string(Id) + ": " + std::to_string(Status));
    if (Status == 200)
      return Status;
    const auto Wait =
        Answer ? std::atof(Answer->field("Retry-After").c_str()) : 0.0;
    sleepMs(
        std::max<std::int64_t>(200, static_cast<std::int64_t>(1000 * Wait)));
  }
  return Status;
}

} // namespace stand_ins

#endif // LIMPETBRIDGE_REVIEW_ENGINE_H
