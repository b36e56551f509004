#include "gateway_node.h"

#include "link_codec.h"
#include "net/target_connection.h"
#include "settings_watch.h"
#include "stop_signal.h"

#include <sstream>

namespace limpetbridge {

namespace {

using namespace serving;
using net::awaitable;

/// Time between ticks; loads and deadlines are looked at this often.
constexpr duration TickInterval = milliseconds(100);
/// Longest wait for a controller's answer to a load request: a load from the
/// weight store, with those before it.
constexpr duration LoadCallTimeout = seconds(8);
/// Left of the grace period for the end of the process.
constexpr duration EndSlack = milliseconds(400);
/// Time between looks at what is still in progress.
constexpr duration DrainLook = milliseconds(50);
/// Longest wait for what another gateway knows; the next one is asked then.
constexpr duration PeerCallTimeout = milliseconds(600);
/// Where gateways ask one another for what they have read of the platform.
constexpr const char *KnowledgePath = "/knowledge";
constexpr std::uint16_t Okay = 200;
constexpr std::uint16_t Unavailable = 503;

auto toOptions(const node_settings &Settings) -> gateway_options {
  gateway_options Options;
  Options.Self = instance_name(Settings.Name);
  Options.DataCentre = data_centre_name(Settings.DataCentre);
  Options.Retries.Ratio = Settings.RetryRatio;
  Options.Retries.Extra = static_cast<double>(Settings.RetryExtra);
  Options.Retries.Window = milliseconds(Settings.RetryWindowMs);
  Options.LostGrace = milliseconds(Settings.LostGraceMs);
  Options.Seed = stableHash(Settings.Name);
  std::istringstream Seeds(Settings.GatewaySeeds);
  for (std::string Seed; std::getline(Seeds, Seed, ',');)
    if (Seed != Settings.GatewayPeers)
      Options.Seeds.push_back(Seed);
  return Options;
}

} // namespace

gateway_node::gateway_node(const node_settings &NodeSettings,
                           gateway_hooks NodeHooks)
    : Settings(NodeSettings), Hooks(std::move(NodeHooks)),
      State(makeGatewayState(toOptions(NodeSettings))) {
  Environment.Hooks = &Hooks;
  Environment.Dispatch = [this](gateway_event Event) {
    dispatch(std::move(Event));
  };
  Environment.IsDraining = [this] { return Draining; };
  const auto Executor = Context.get_executor();
  Callers = std::make_unique<net::listener>(
      Context, Settings.GatewayCallers, [this, Executor](connection Accepted) {
        net::spawn(Executor, serveCaller(std::move(Accepted)));
      });
  Readiness = listenForCalls(Settings.GatewayReadiness,
                             [this](net::http_request Request) {
                               return answerReadiness(std::move(Request));
                             });
  if (!Settings.MetricsAddress.empty())
    MetricsPage = listenForCalls(Settings.MetricsAddress,
                                 [this](net::http_request Request) {
                                   return answerMetrics(std::move(Request));
                                 });
  const auto FromPeers = [this](net::http_request Request) {
    return answerPeer(std::move(Request));
  };
  if (!Settings.GatewayPeers.empty())
    SeedCalls = listenForCalls(Settings.GatewayPeers, FromPeers);
  // Calls and datagrams come to the same port.
  PeerCalls = listenForCalls(Settings.LinkAddress, FromPeers);
  Settings.LinkAddress = PeerCalls->address();
  State.Options.Address = Settings.LinkAddress;
  Link = std::make_unique<net::datagram_socket>(
      Context, Settings.LinkAddress,
      [this](const std::string & /*From*/, std::string_view Bytes) {
        takeMessage(Bytes);
      });
}

auto gateway_node::listenForCalls(const std::string &Address,
                                  const net::call_handler &Handler)
    -> std::unique_ptr<net::listener> {
  const auto Executor = Context.get_executor();
  return std::make_unique<net::listener>(
      Context, Address, [Handler, Executor](connection Accepted) {
        net::spawn(Executor, net::serveCalls(std::move(Accepted), Handler));
      });
}

auto gateway_node::requestStop() -> void {
  const auto Executor = Context.get_executor();
  net::asio::post(Executor, [this, Executor] { net::spawn(Executor, stop()); });
}

auto gateway_node::callerAddress() const -> std::string {
  return Callers->address();
}

auto gateway_node::metricsAddress() const -> std::string {
  return MetricsPage ? MetricsPage->address() : "";
}

auto gateway_node::peersAddress() const -> std::string {
  return PeerCalls->address();
}

auto gateway_node::readinessAddress() const -> std::string {
  return Readiness->address();
}

auto gateway_node::run() -> void {
  log(log_level::Info, "started",
      {{"role", Settings.Role}, {"callers", Settings.GatewayCallers}});
  instance_record Self;
  Self.Name = instance_name(Settings.Name);
  Self.Address = Settings.LinkAddress;
  KnowledgeSync = Hooks.Watch(Context, Self, Environment.Dispatch);
  const auto Executor = Context.get_executor();
  net::spawn(Executor, keepTime());
  watchSettings(Context, Settings,
                [this](const node_settings &Changed) { apply(Changed); });
  onStopSignal(Context, [this, Executor] { net::spawn(Executor, stop()); });
  Context.run();
  log(log_level::Info, "stopped", {});
}

auto gateway_node::dispatch(gateway_event Event) -> void {
  Events.push_back(std::move(Event));
  if (std::exchange(Reducing, true))
    return;
  while (!Events.empty()) {
    const auto Next = std::move(Events.front());
    Events.pop_front();
    if (const auto *Ended = std::get_if<attempt_ended>(&Next))
      Metrics.count("attempts", nameOf(Ended->End));
    for (const auto &Effect : reduce(State, Next, process_clock::now()))
      std::visit([this](const auto &Each) { execute(Each); }, Effect);
  }
  Reducing = false;
}

auto gateway_node::command(request_number Number,
                           gateway_request::command Command) -> void {
  const auto Found = Requests.find(Number);
  if (Found != Requests.end())
    Found->second->enqueueCommand(std::move(Command));
}

auto gateway_node::execute(const set_deadline &Effect) -> void {
  const auto Found = Requests.find(Effect.Number);
  if (Found != Requests.end())
    Found->second->setDeadline(Effect.Deadline);
}

auto gateway_node::execute(const send_attempt &Effect) -> void {
  command(Effect.Number, Effect);
}

auto gateway_node::execute(const refuse_request &Effect) -> void {
  Metrics.count("refusals", describe(Effect.Code).Name);
  command(Effect.Number, Effect);
}

auto gateway_node::execute(const relay_failure &Effect) -> void {
  command(Effect.Number, Effect);
}

auto gateway_node::execute(const ask_load &Effect) -> void {
  net::spawn(Context.get_executor(), askController(Effect));
}

auto gateway_node::execute(const ask_peer &Effect) -> void {
  net::spawn(Context.get_executor(), askPeer(Effect.Address));
}

auto gateway_node::execute(const send_digest &Effect) -> void {
  const auto Bytes = encodeLink(Effect.Digest);
  for (const auto &Address : Effect.Addresses)
    Link->send(Address, Bytes);
}

auto gateway_node::execute(const greet_controllers &Effect) -> void {
  const auto Bytes =
      encodeLink(greeting{instance_name(Settings.Name), Settings.LinkAddress});
  for (const auto &Address : Effect.Addresses)
    Link->send(Address, Bytes);
}

auto gateway_node::execute(const record_times &Effect) -> void {
  if (Effect.FirstMs >= 0)
    Metrics.observe("first_output", Effect.Route,
                    static_cast<double>(Effect.FirstMs));
  Metrics.observe("whole_answer", Effect.Route,
                  static_cast<double>(Effect.WholeMs));
  if (Effect.LongestGapMs > 0)
    Metrics.observe("longest_gap", Effect.Route,
                    static_cast<double>(Effect.LongestGapMs));
}

auto gateway_node::answerMetrics(net::http_request /*Request*/)
    -> awaitable<net::http_response> {
  const auto Now = process_clock::now();
  Metrics.set("ready", !Draining && State.Configuration.Version > 0 ? 1 : 0);
  Metrics.set("requests_in_progress",
              static_cast<std::int64_t>(State.Requests.size()));
  Metrics.set("configuration_version",
              static_cast<std::int64_t>(State.Configuration.Version));
  Metrics.set("gateways_heard",
              static_cast<std::int64_t>(State.PeerHeard.size()));
  for (const auto &[Name, Entry] : State.Book.all()) {
    const auto Label = "{target=\"" + Name.Text + "\"}";
    const auto Load = Entry.load();
    Metrics.set("target_active" + Label, Load.Active);
    Metrics.set("target_pending_ms" + Label,
                static_cast<std::int64_t>(Load.pendingMs(Ranks - 1)));
    if (Entry.ToldAt != time_point())
      Metrics.set("target_told_age_ms" + Label,
                  toMilliseconds(Now - Entry.ToldAt));
  }
  net::http_response Answer;
  Answer.Head.Status = Okay;
  Answer.Head.Fields.push_back({"Content-Type", "text/plain"});
  Answer.Body = Metrics.print();
  co_return Answer;
}

auto gateway_node::execute(const write_note &Effect) -> void {
  Metrics.count("decisions", Effect.Event);
  log(Effect.Level, Effect.Event, Effect.Fields);
}

auto gateway_node::askController(ask_load Effect) -> awaitable<void> {
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = "/load";
  Request.Fields.push_back({"Host", Effect.ControllerAddress});
  load_request Load{
      Effect.Model, Effect.Adapter, Effect.Victims, Effect.Target, {}};
  for (const auto &[Adapter, Used] : Effect.AdapterUse)
    Load.AdapterAgesMs[Adapter] = toMilliseconds(process_clock::now() - Used);
  Request.Body = encodeLoad(Load);
  const net::asio::any_io_executor Executor = Context.get_executor();
  const auto Answer =
      co_await net::fetch(Executor, Effect.ControllerAddress, Request,
                          process_clock::now() + LoadCallTimeout);
  const bool Held = Answer && Answer->Head.Status == Okay;
  // The answer tells what the target holds, also when the load failed.
  if (Answer && !Answer->Body.empty())
    takeMessage(Answer->Body);
  dispatch(load_answered{Effect.Target, Effect.Model, Effect.Adapter, Held});
}

auto gateway_node::askPeer(std::string PeerAddress) -> awaitable<void> {
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = KnowledgePath;
  Request.Fields.push_back({"Host", PeerAddress});
  Request.Body = KnowledgeSync.BuildQuery();
  const net::asio::any_io_executor Executor = Context.get_executor();
  const auto Answer = co_await net::fetch(
      Executor, PeerAddress, Request, process_clock::now() + PeerCallTimeout);
  if (!Answer || Answer->Head.Status != Okay) {
    log(log_level::Warning, "peer_without_answer",
        {{"peer", PeerAddress},
         {"status", std::to_string(Answer ? Answer->Head.Status : 0)}});
    co_return;
  }
  const auto Newer = KnowledgeSync.MergeAnswer(Answer->Body);
  if (!Newer)
    log(log_level::Warning, "peer_answer_unreadable",
        {{"peer", PeerAddress}, {"error", toString(Newer.error())}});
  else if (Newer.value() > 0)
    log(log_level::Info, "learned_from_peer",
        {{"peer", PeerAddress},
         {"rows", std::to_string(Newer.value())},
         {"configuration", std::to_string(State.Configuration.Version)}});
}

auto gateway_node::answerPeer(net::http_request Request)
    -> awaitable<net::http_response> {
  net::http_response Answer;
  if (Request.Target != KnowledgePath) {
    Answer.Head.Status = describe(result_code::NotFound).HttpStatus;
    co_return Answer;
  }
  const auto Told = KnowledgeSync.AnswerQuery(Request.Body);
  if (!Told) {
    log(log_level::Warning, "peer_question_unreadable",
        {{"error", toString(Told.error())}});
    Answer.Head.Status = describe(Told.error().Code).HttpStatus;
    co_return Answer;
  }
  Answer.Head.Status = Okay;
  Answer.Body = Told.value();
  co_return Answer;
}

auto gateway_node::takeMessage(std::string_view Bytes) -> void {
  auto Message = decodeLink(Bytes);
  if (!Message) {
    log(log_level::Warning, "datagram_unreadable",
        {{"error", toString(Message.error())}});
    return;
  }
  if (auto *Digest = std::get_if<gateway_digest>(&Message.value()))
    dispatch(std::move(*Digest));
  else if (auto *Told = std::get_if<holdings_told>(&Message.value()))
    dispatch(std::move(*Told));
}

auto gateway_node::keepTime() -> awaitable<void> {
  for (;;) {
    co_await net::sleepFor(TickInterval);
    dispatch(tick{});
  }
}

auto gateway_node::limits() const -> net::connection_limits {
  const auto &From = State.Configuration.Limits;
  return {From.HeaderBytes, From.BodyBytes, From.HeaderTimeoutMs,
          From.IdleTimeoutMs};
}

auto gateway_node::serveCaller(connection Connection) -> awaitable<void> {
  Connections.insert(Connection);
  bool Open = true;
  while (Open && !Closing) {
    const auto Limits = limits();
    auto Outcome = co_await Connection->readRequest(Limits);
    if (Outcome.End == net::read_end::Closed)
      break;
    if (Outcome.End == net::read_end::Rejected) {
      log(log_level::Warning, "request_rejected",
          {{"status", std::to_string(Outcome.Status)},
           {"why", std::string(Outcome.Why)}});
      net::http_response Answer;
      Answer.Head.Status = Outcome.Status;
      Answer.Body = std::string(Outcome.Why) + "\n";
      auto Bytes = serializeResponse(Answer, true);
      co_await Connection->write(std::move(Bytes));
      break;
    }
    Open = co_await serveRequest(Connection, std::move(Outcome));
  }
  if (Connection->isOpen())
    co_await Connection->closeGracefully();
  Connections.erase(Connection);
}

auto gateway_node::serveRequest(connection Connection,
                                net::read_outcome Outcome) -> awaitable<bool> {
  auto Call = Hooks.ParseCall(Outcome.Request, Outcome.FirstByte);
  if (!Call) {
    log(log_level::Warning, "request_rejected",
        {{"error", toString(Call.error())}});
    net::http_response Answer;
    Answer.Head.Status = describe(Call.error().Code).HttpStatus;
    auto Bytes = serializeResponse(Answer, false);
    co_return co_await Connection->write(std::move(Bytes));
  }
  const auto Number = ++LastNumber;
  const auto Request = std::make_shared<gateway_request>(
      Number, Connection, std::move(Outcome.Request), std::move(Call.value()),
      Environment, Context.get_executor());
  Requests[Number] = Request;
  const bool Open = co_await Request->run();
  Requests.erase(Number);
  co_return Open;
}

auto gateway_node::answerReadiness(net::http_request /*Request*/)
    -> awaitable<net::http_response> {
  net::http_response Answer;
  const bool Ready = !Draining && State.Configuration.Version > 0;
  Answer.Head.Status = Ready ? Okay : Unavailable;
  co_return Answer;
}

auto gateway_node::apply(const node_settings &Changed) -> void {
  Metrics.count("settings", "reloaded");
  const auto Options = toOptions(Changed);
  State.Options.Retries = Options.Retries;
  State.Options.LostGrace = Options.LostGrace;
  State.Options.Seeds = Options.Seeds;
  Settings.BalancerWaitMs = Changed.BalancerWaitMs;
  Settings.StopGraceMs = Changed.StopGraceMs;
}

auto gateway_node::stop() -> awaitable<void> {
  if (std::exchange(Draining, true))
    co_return;
  const auto Began = process_clock::now();
  log(log_level::Info, "stopping",
      {{"requests", std::to_string(Requests.size())},
       {"connections", std::to_string(Connections.size())}});
  // Callers may still send requests until the balancer has turned away.
  co_await net::sleepFor(milliseconds(Settings.BalancerWaitMs));
  Closing = true;
  Callers->stop();
  const auto Last = Began + milliseconds(Settings.StopGraceMs) - EndSlack;
  while (process_clock::now() < Last) {
    for (const auto &Connection : Connections)
      Connection->closeIfIdle();
    // A connection without a request may be in the middle of reading one.
    if (Connections.empty())
      break;
    co_await net::sleepFor(DrainLook);
  }
  // The last answers are read before the process ends.
  co_await net::sleepFor(DrainLook);
  Context.stop();
}

} // namespace limpetbridge
