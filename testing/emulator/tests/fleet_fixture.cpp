#include "fleet_fixture.h"

#include "base/log.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace limpetbridge::emulator {

namespace {

constexpr const char *Configuration = R"({"version":3,"routes":[
 {"name":"chat","host":"h","prefix":"/chat/","kind":"streaming",
  "timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"models",
  "attempts":1,"sticky":true},
 {"name":"plan","host":"h","prefix":"/plan/","kind":"streaming",
  "timeout_ms":3000,"target_latency_ms":600,"priority":1,"service":"models",
  "attempts":2,"sticky":true,"resumable":true},
 {"name":"pay","host":"h","prefix":"/pay/","kind":"non_idempotent",
  "timeout_ms":600,"priority":2,"service":"ledger","attempts":2},
 {"name":"slow","host":"h","prefix":"/slow/","kind":"non_idempotent",
  "timeout_ms":4000,"priority":2,"service":"ledger","attempts":2},
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent",
  "timeout_ms":600,"priority":2,"service":"ledger","attempts":2}],
 "services":[{"name":"ledger"},{"name":"models","inference_engine":{
  "slots":8,"kv_cache_tokens":100000,"weights_size_mb":230.0,
  "adapter_slot_count":8,"loads_per_s":2.0,"models":[
  {"name":"a","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0},
  {"name":"b","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0},
  {"name":"c","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0},
  {"name":"d","weights_size_mb":70.0,"load_time_s":0.05,"adapters":0}]}}],
 "limits":{"max_body_bytes":100000,"header_timeout_ms":500,
  "idle_timeout_ms":5000}})";

auto makeSettings(const std::string &StoreAddress, const char *Role)
    -> node_settings {
  auto Settings = defaultSettings();
  Settings.Role = Role;
  Settings.Name = std::string(Role) + "-1";
  Settings.DataCentre = "north";
  Settings.GatewayCallers = "127.0.0.1:0";
  Settings.GatewayReadiness = "127.0.0.1:0";
  Settings.GatewayPeers = "127.0.0.1:0";
  Settings.LinkAddress = "127.0.0.1:0";
  Settings.MetricsAddress = "127.0.0.1:0";
  Settings.StoreAddress = StoreAddress;
  Settings.StoreWaitMs = 300;
  Settings.BalancerWaitMs = 50;
  // The whole program is run once more with connections that are kept.
  Settings.KeepConnections = std::getenv("FLEET_KEEPS_CONNECTIONS") != nullptr;
  return Settings;
}

} // namespace

fleet::fleet() {
  SettingsFile = (std::filesystem::temp_directory_path() /
                  ("fleet-" + std::to_string(getpid()) + ".ini"))
                     .string();
  writeSettings("");
  Store = Outside.call(
      [this] { return std::make_unique<store_emulator>(Outside.Context); });
}

fleet::~fleet() {
  std::filesystem::remove(SettingsFile);
  if (Gateway)
    Gateway->requestStop();
  if (CutOff)
    CutOff->requestStop();
  if (Controller)
    Controller->requestStop();
  for (const auto &Added : MoreGateways)
    Added->requestStop();
  GatewayThread.reset();
  MoreGatewayThreads.clear();
  CutOffThread.reset();
  ControllerThread.reset();
  Outside.Context.stop();
}

auto fleet::addWorker(const char *Id, const char *Service)
    -> worker_emulator & {
  Workers[Id] = Outside.call([&] {
    return std::make_unique<worker_emulator>(Outside.Context, Id, Service);
  });
  publish(Id);
  return *Workers[Id];
}

auto fleet::addRawTarget(const char *Id, const char *Service,
                         decltype(raw_target::Serve) Serve) -> raw_target & {
  Outside.call([&] {
    auto Target = std::make_unique<raw_target>(Outside.Context);
    Target->Serve = std::move(Serve);
    Store->put("servers", Id, Target->row(Service));
    RawTargets[Id] = std::move(Target);
    return 0;
  });
  return *RawTargets[Id];
}

auto fleet::publish(const char *Id) -> void {
  Outside.call([&] {
    Store->put("servers", Id, Workers[Id]->row());
    return 0;
  });
}

auto fleet::publishConfiguration() -> void {
  auto Changed = nlohmann::json::parse(Configuration);
  ChangeConfiguration(Changed);
  Outside.call([&] {
    Store->put("op", "config", Changed.dump());
    return 0;
  });
}

auto fleet::writeSettings(const std::string &Text) -> void {
  std::ofstream(SettingsFile) << Text;
}

auto fleet::startGateway() -> void {
  auto Settings = makeSettings(Store->address(), "gateway");
  Settings.File = SettingsFile;
  ChangeSettings(Settings);
  auto Hooks = adapter::makeGatewayHooks(Settings);
  ChangeHooks(Hooks);
  Gateway = std::make_unique<gateway_node>(Settings, std::move(Hooks));
  GatewayThread = std::make_unique<thread>("gateway", LoopStackBytes,
                                           [this] { Gateway->run(); });
}

auto fleet::stopGateway() -> void {
  Gateway->requestStop();
  GatewayThread.reset();
}

auto fleet::addGateway() -> gateway_node & {
  auto Settings = makeSettings(Store->address(), "gateway");
  Settings.Name = "gateway-" + std::to_string(MoreGateways.size() + 2);
  ChangeSettings(Settings);
  auto &Added = *MoreGateways.emplace_back(std::make_unique<gateway_node>(
      Settings, adapter::makeGatewayHooks(Settings)));
  MoreGatewayThreads.push_back(std::make_unique<thread>(
      "gateway", LoopStackBytes, [&Added] { Added.run(); }));
  return Added;
}

auto fleet::startCutOffGateway() -> void {
  // Nobody listens on the discard port.
  auto Settings = makeSettings("127.0.0.1:9", "gateway");
  Settings.Name = "gateway-2";
  Settings.GatewaySeeds = Gateway->peersAddress();
  CutOff = std::make_unique<gateway_node>(Settings,
                                          adapter::makeGatewayHooks(Settings));
  CutOffThread = std::make_unique<thread>("gateway", LoopStackBytes,
                                          [this] { CutOff->run(); });
}

auto fleet::isCutOffReady() -> bool {
  const auto Answer = get(CutOff->readinessAddress(), "/readiness");
  return Answer && Answer->Head.Status == 200;
}

auto fleet::startController(const char *WorkerId) -> void {
  auto Settings = makeSettings(Store->address(), "controller");
  Settings.ControllerTarget = Workers[WorkerId]->address();
  Settings.TargetService = "models";
  Settings.StopGraceMs = ControllerGraceMs;
  Settings.File = SettingsFile;
  stopController();
  auto Hooks = adapter::makeControllerHooks(Settings);
  ChangeControllerHooks(Hooks);
  Controller = std::make_unique<controller_node>(Settings, std::move(Hooks));
  ControllerThread = std::make_unique<thread>("controller", LoopStackBytes,
                                              [this] { Controller->run(); });
}

auto fleet::stopController() -> void {
  if (Controller)
    Controller->requestStop();
  ControllerThread.reset();
}

auto fleet::isReady() -> bool {
  const auto Answer = get(Gateway->readinessAddress(), "/readiness");
  return Answer && Answer->Head.Status == 200;
}

auto fleet::get(const std::string &Address, const std::string &Path)
    -> std::optional<net::http_response> {
  const net::asio::any_io_executor Executor = Outside.Context.get_executor();
  net::http_request Request;
  Request.Target = Path;
  Request.Fields.push_back({"Host", "h"});
  return Outside.await<std::optional<net::http_response>>([&] {
    return net::fetch(Executor, Address, Request,
                      process_clock::now() + seconds(1));
  });
}

auto fleet::awaitReady() -> bool {
  const auto Until = process_clock::now() + Patience;
  while (process_clock::now() < Until) {
    if (isReady())
      return true;
    usleep(5000);
  }
  return false;
}

auto fleet::metric(const std::string &Name) -> std::int64_t {
  const auto Page = get(Gateway->metricsAddress(), "/metrics");
  const auto Start =
      Page ? ("\n" + Page->Body).find("\n" + Name + " ") : std::string::npos;
  if (Start == std::string::npos)
    return -1;
  return std::atoll(Page->Body.c_str() + Start + Name.size());
}

auto fleet::makeRequest(const std::string &Path, const std::string &Body,
                        net::header_fields More) -> net::http_request {
  net::http_request Request;
  Request.Method = Body.empty() ? "GET" : "POST";
  Request.Target = Path;
  Request.Body = Body;
  Request.Fields = {{"Host", "h"},
                    {"X-Limpetbridge-Attempt-Id", std::to_string(++LastId)},
                    {"X-Limpetbridge-Deadline-Ms", "5000"}};
  for (auto &Field : More)
    Request.Fields.push_back(std::move(Field));
  return Request;
}

auto fleet::send(const std::string &Path, const std::string &Body,
                 net::header_fields More) -> client_answer {
  return exchange(Gateway->callerAddress(),
                  serializeRequest(makeRequest(Path, Body, std::move(More))));
}

auto fleet::sendTo(const gateway_node &Receiver, const std::string &Path,
                   net::header_fields More) -> client_answer {
  return exchange(Receiver.callerAddress(),
                  serializeRequest(makeRequest(Path, "", std::move(More))));
}

auto fleet::sendToCutOff(const std::string &Path) -> client_answer {
  return exchange(CutOff->callerAddress(),
                  serializeRequest(makeRequest(Path, "", {})));
}

auto fleet::exchange(const std::string &Address, const std::string &Bytes)
    -> client_answer {
  return Outside.await<client_answer>([&]() -> net::awaitable<client_answer> {
    client_answer Answer;
    const auto Connection = std::make_shared<net::target_connection>(
        Outside.Context.get_executor());
    const auto Deadline = process_clock::now() + Patience;
    const bool Connected = co_await Connection->connect(Address, Deadline);
    if (!Connected)
      co_return Answer;
    Connection->startSend(Bytes);
    const auto Head = co_await Connection->readResponseHead();
    if (!Head)
      co_return Answer;
    Answer.HasHead = true;
    Answer.Head = *Head;
    auto Read = net::body_read::Data;
    while (Read == net::body_read::Data)
      Read = co_await Connection->readBody(Answer.Body);
    Answer.Whole = Read == net::body_read::End;
    Connection->close();
    co_return Answer;
  });
}

auto fleet::sendRaw(const std::string &Bytes) -> std::string {
  return sendInParts(
      Bytes, [] {}, duration::zero(), "");
}

auto fleet::sendInParts(const std::string &First,
                        const std::function<void()> &Meanwhile, duration Wait,
                        const std::string &Rest) -> std::string {
  const auto Endpoint = *net::parseEndpoint<net::tcp>(Gateway->callerAddress());
  net::asio::io_context Context;
  net::tcp::socket Socket(Context);
  Socket.connect(Endpoint);
  net::error_code Error;
  net::asio::write(Socket, net::asio::buffer(First), Error);
  Meanwhile();
  std::this_thread::sleep_for(Wait);
  if (!Error && !Rest.empty())
    net::asio::write(Socket, net::asio::buffer(Rest), Error);
  // A connection that is left open without an answer must not hang the test.
  const timeval Limit{toMilliseconds(Patience) / 1000, 0};
  setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
             sizeof(Limit));
  std::string Answer;
  std::array<char, 4096> Part{};
  for (;;) {
    const auto Count =
        recv(Socket.native_handle(), Part.data(), Part.size(), 0);
    if (Count <= 0)
      return Answer;
    Answer.append(Part.data(), static_cast<std::size_t>(Count));
  }
}

auto fleet::sendAndLeave(const std::string &Path, duration Wait) -> void {
  const auto Endpoint = *net::parseEndpoint<net::tcp>(Gateway->callerAddress());
  net::asio::io_context Context;
  net::tcp::socket Socket(Context);
  Socket.connect(Endpoint);
  net::asio::write(
      Socket, net::asio::buffer(serializeRequest(makeRequest(Path, "", {}))));
  usleep(static_cast<useconds_t>(Wait / microseconds(1)));
  Socket.close();
}

} // namespace limpetbridge::emulator
