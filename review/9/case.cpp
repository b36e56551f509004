/// One part of a prompt crashes each worker that begins to answer it. It stands
/// behind many other parts. It must not reach worker after worker.
///
/// PLACE=N puts the part at another place of the prompt, from 1.
#include "../stand_ins_2/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int WorkerCount = 12;
constexpr int GatewayCount = 2;
/// Parts of a prompt; they add up to the tokens of the site's long prompts.
constexpr int Parts = 100;
constexpr int TokensPerPart = 92;
constexpr int DefaultPlace = 70;
constexpr const char *CrashPart = "badc0de5";
constexpr std::int64_t LengthMs = 60'000;
constexpr std::int64_t CrashIntervalMs = 2500;
constexpr std::int64_t RestartMs = 2500;
constexpr std::int64_t ContactTimeoutMs = 3000;
constexpr int SoundIntervalMs = 150;
/// Crashes after which the rule counts, and the requests that it allows.
constexpr std::size_t CountedFrom = 5;
constexpr int Allowed = 3;

auto eventText(int Number) -> std::string {
  const auto Event = "id: " + std::to_string(Number) + "\ndata: piece " +
                     std::to_string(Number) + "\n\n";
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
  return Size + Event + "\r\n";
}

/// The worker. It ends on a prompt with the part if \p Crashes is set.
[[noreturn]] auto runWorker(std::uint16_t Port, bool Crashes) -> void {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const auto Serve = [Crashes](connection &Connection) {
    while (const auto Request = Connection.readMessage(60'000)) {
      const auto Id = Request->field("X-Limpetbridge-Attempt-Id");
      const auto Prefix = Request->field("X-Limpetbridge-Prompt-Prefix");
      const bool HasPart =
          Prefix.find(std::string(CrashPart) + ":") != std::string::npos;
      Connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "X-Limpetbridge-Attempt-Id: " +
                       Id +
                       "\r\nX-Limpetbridge-Response-Signature: 3e1b.07\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n" +
                       eventText(1));
      if (HasPart) {
        std::printf("run %s\n", Id.c_str());
        std::fflush(stdout);
        if (Crashes) {
          sleepMs(20);
          _exit(1);
        }
      }
      for (int Number = 2; Number <= 9; ++Number) {
        sleepMs(30);
        Connection.write(eventText(Number));
      }
      Connection.write("0\r\n\r\n");
    }
  };
  server Worker(Serve, Port);
  for (;;)
    pause();
}

/// Starts the worker again and again, and writes its row.
class worker {
public:
  worker(store &WorkerStore, record_file &WorkerRecord, int Number)
      : Store(WorkerStore), Record(WorkerRecord), Port(freePort()),
        Name("i-" + std::to_string(7000 + Number)) {
    std::thread([this] {
      for (;;)
        runOnce();
    }).detach();
  }

  /// When requests with the part reached workers, and when workers crashed.
  static inline std::mutex Mutex;
  static inline std::vector<std::int64_t> Reached;
  static inline std::vector<std::int64_t> Crashed;

private:
  auto runOnce() -> void {
    int Ends[2];
    if (pipe2(Ends, O_CLOEXEC) != 0)
      return;
    const auto PortText = std::to_string(Port);
    const pid_t Pid = fork();
    if (Pid == 0) {
      dup2(Ends[1], 1);
      execl("/proc/self/exe", "case", "worker", PortText.c_str(),
            hasTrouble() ? "1" : "0", nullptr);
      _exit(127);
    }
    ::close(Ends[1]);
    sleepMs(150);
    json Model = {{"name", "ma"}, {"version", 1}, {"adapters", json::array()}};
    Store.put("servers", Name,
              json{{"service", "wheelwise"},
                   {"address", addressOf(Port)},
                   {"zone", "nashua"},
                   {"version", "v1"},
                   {"slots", 64},
                   {"state", "ready"},
                   {"cold_remaining_ms", 0},
                   {"stage", "colocated"},
                   {"models", json::array({Model})},
                   {"born", 1'700'000'000'000 + nowMs()},
                   {"sequence", 0}}
                  .dump());
    FILE *Out = fdopen(Ends[0], "r");
    char Line[256];
    while (std::fgets(Line, sizeof(Line), Out) != nullptr) {
      std::string Text = Line;
      Text.pop_back();
      Record.note("reached  " + Name + ": " + Text);
      const std::lock_guard Lock(Mutex);
      Reached.push_back(nowMs());
    }
    std::fclose(Out);
    waitpid(Pid, nullptr, 0);
    {
      const std::lock_guard Lock(Mutex);
      Crashed.push_back(nowMs());
      Record.note("crash    " + Name + ", the " +
                  std::to_string(Crashed.size()) + ". one");
    }
    sleepMs(RestartMs);
  }

  store &Store;
  record_file &Record;
  std::uint16_t Port;
  std::string Name;
};

const char *Configuration = R"({"version":3,"routes":[
 {"name":"repair-plan","host":"models.example","prefix":"/plan/",
  "kind":"streaming","timeout_ms":5000,"target_latency_ms":800,
  "priority":1,"service":"wheelwise","attempts":1,"sticky":true,
  "resumable":false,"gap_aim_ms":300}],
 "services":[{"name":"wheelwise","health_path":"/health",
  "connection_limit":360,"inference_engine":{"slots":64,
  "kv_cache_tokens":233436,"weights_size_mb":220000.0,
  "adapter_slot_count":5,"loads_per_s":1.4,"stride":5,"models":[
  {"name":"ma","weights_size_mb":70000.0,"load_time_s":1.2,"adapters":0}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Parts that all prompts share, but for the one at \p Place if it crashes
/// workers, and the last one, which belongs to the request.
auto prefixText(bool Crashes, int Place, std::uint32_t Last) -> std::string {
  std::string Text;
  char Part[32];
  for (int I = 1; I < Parts; ++I) {
    std::snprintf(Part, sizeof(Part), "%x:%d,", 0x5c1e0000U + I, TokensPerPart);
    Text += Crashes && I == Place ? std::string(CrashPart) + ":" +
                                        std::to_string(TokensPerPart) + ","
                                  : std::string(Part);
  }
  std::snprintf(Part, sizeof(Part), "%x:%d", 0x10000000U + Last, TokensPerPart);
  return Text + Part;
}

auto play(const std::string &CaseFolder) -> int {
  record_file Record(CaseFolder + "/record.txt");
  temporary_folder Folder;
  auto &Store = *new store;
  Store.put("op", "config", Configuration);
  for (int I = 1; I <= WorkerCount; ++I)
    new worker(Store, Record, I);
  gateway_place Places[GatewayCount];
  std::vector<std::unique_ptr<process>> Gateways;
  for (int I = 0; I < GatewayCount; ++I) {
    Places[I].Name = "frontend-nashua-" + std::to_string(I + 1);
    Gateways.push_back(std::make_unique<process>(
        "gateway-" + std::to_string(I + 1), Folder.Path,
        Places[I].settings(Store.address(), addressOf(Places[0].Peers) + "," +
                                                addressOf(Places[1].Peers))));
    Gateways.back()->start();
  }
  for (const auto &Place : Places)
    if (!Place.awaitReady())
      return NotRun;
  sleepMs(1500);
  const char *PlaceText = std::getenv("PLACE");
  const int Place = PlaceText == nullptr ? DefaultPlace : std::atoi(PlaceText);
  std::atomic<std::uint32_t> LastId = 0;
  std::atomic<bool> Ends = false;
  std::atomic<int> Sound = 0;
  std::atomic<int> Served = 0;
  const auto Send = [&](const gateway_place &At, bool Crashes) {
    const auto Number = ++LastId;
    char Id[32];
    std::snprintf(Id, sizeof(Id), "9c41d07b%08x", Number);
    connection Caller;
    if (!Caller.connect(At.Callers))
      return;
    Caller.write("POST /plan/2f HTTP/1.1\r\nHost: models.example\r\n"
                 "X-Limpetbridge-Attempt-Id: " +
                 std::string(Id) +
                 "\r\nX-Limpetbridge-Model: ma\r\n"
                 "X-Limpetbridge-Token-Usage: " +
                 std::to_string(Parts * TokensPerPart) +
                 ",50\r\nX-Limpetbridge-Prompt-Prefix: " +
                 prefixText(Crashes, Place, Number) +
                 "\r\nX-Limpetbridge-Deadline-Ms: 5000\r\n"
                 "Content-Length: 2\r\n\r\n{}");
    auto Answer = Caller.readHead(6000);
    const bool Whole = Answer && Caller.readBody(*Answer, 6000);
    if (Crashes)
      Record.note("sent     " + std::string(Id) + " with the part, at " +
                  At.Name + ": " + (Answer ? Answer->First : "no answer") +
                  (Answer && !Whole ? ", broken off" : ""));
    else if (Answer && Answer->status() == 200 && Whole)
      ++Served;
  };
  std::vector<std::thread> Threads;
  for (int Caller = 0; Caller < 6; ++Caller)
    Threads.emplace_back([&, Caller] {
      while (!Ends) {
        ++Sound;
        Send(Places[Caller % GatewayCount], false);
        sleepMs(6 * SoundIntervalMs);
      }
    });
  sleepMs(1000);
  const auto Start = nowMs();
  for (int Number = 0; nowMs() - Start < LengthMs; ++Number) {
    const auto Next = Start + (Number + 1) * CrashIntervalMs;
    Send(Places[Number % GatewayCount], true);
    sleepMs(std::max<std::int64_t>(0, Next - nowMs()));
  }
  Ends = true;
  for (auto &Thread : Threads)
    Thread.join();
  const std::lock_guard Lock(worker::Mutex);
  int Late = 0;
  if (worker::Crashed.size() >= CountedFrom)
    for (const auto At : worker::Reached)
      Late += At > worker::Crashed[CountedFrom - 1] + ContactTimeoutMs ? 1 : 0;
  Record.note("requests with the part that reached workers: " +
              std::to_string(worker::Reached.size()) +
              "; crashes: " + std::to_string(worker::Crashed.size()) +
              "; requests later than " + std::to_string(ContactTimeoutMs) +
              " ms after the fifth crash: " + std::to_string(Late) +
              " (allowed: 3); sound ones served: " + std::to_string(Served) +
              " of " + std::to_string(Sound));
  if (Served == 0 || worker::Reached.empty())
    return NotRun;
  return Late > Allowed ? Broken : Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  if (Count < 2)
    return NotRun;
  if (Count > 3 && std::string(Arguments[1]) == "worker")
    runWorker(static_cast<std::uint16_t>(std::atoi(Arguments[2])),
              std::string(Arguments[3]) == "1");
  finish(play(Arguments[1]));
}
