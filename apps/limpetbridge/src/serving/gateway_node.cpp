#include "gateway_node.h"

#include "link_codec.h"
#include "net/target_connection.h"
#include "settings_watch.h"
#include "stop_signal.h"

#include <algorithm>
#include <sstream>

namespace limpetbridge {

namespace {

using namespace serving;
using net::awaitable;

/// Interval at which the reducer checks loads and deadlines.
constexpr duration TickInterval = milliseconds(100);
/// Has to cover a load from the weight store and the loads queued before it.
constexpr duration LoadCallTimeout = seconds(8);
/// Part of the stop grace period reserved for answering what is still open and
/// for ending the process.
constexpr duration AnswerMargin = milliseconds(400);
/// Longest time for writing these answers.
constexpr duration AnswerTime = milliseconds(200);
/// Interval between checks whether connections are still open.
constexpr duration DrainPollInterval = milliseconds(50);
/// Of a call to the store beyond its wait, and of the pause between two.
constexpr std::int64_t StoreReadSlackMs = 900;
/// Part of the process's memory for answers that are held.
constexpr std::int64_t BudgetDivisor = 4;
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnavailable = 503;

auto toOptions(const node_settings &Settings) -> gateway_options {
  gateway_options Options;
  Options.Self = instance_name(Settings.Name);
  Options.DataCentre = data_centre_name(Settings.DataCentre);
  Options.Retries.Ratio = Settings.RetryRatio;
  Options.Retries.Extra = Settings.RetryExtra;
  Options.Retries.Window = milliseconds(Settings.RetryWindowMs);
  Options.LostGrace = milliseconds(Settings.LostGraceMs);
  Options.MaxViewAge = maxViewAge(milliseconds(Settings.LeavingBoundMs));
  Options.Quarantine.Crashes =
      static_cast<std::uint32_t>(Settings.QuarantineCrashes);
  Options.Quarantine.Hold = milliseconds(Settings.QuarantineHoldMs);
  Options.MaxTargetsAge = milliseconds(Settings.StoreWaitMs + StoreReadSlackMs);
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
  constexpr std::size_t BytesPerMb = std::size_t{1} << 20U;
  Budget.setLimit(static_cast<std::size_t>(Settings.MemoryMb / BudgetDivisor) *
                  BytesPerMb);
  Environment.Hooks = &Hooks;
  Environment.Budget = &Budget;
  Environment.Dispatch = [this](gateway_event Event) {
    dispatch(std::move(Event));
  };
  Environment.IsDraining = [this] { return Draining; };
  Environment.AcceptsRequests = [this](const target_name &Target) {
    const auto *Entry = State.Book.find(Target);
    const auto Now = process_clock::now();
    return Entry != nullptr && Entry->acceptsRequests(Now) &&
           mayChooseTargets(State, Now);
  };
  const auto Executor = Context.get_executor();
  // Before the listeners: a signal must not end a process that has callers.
  onStopSignal(Context,
               [this, Executor] { net::spawn(Executor, drainAndStop()); });
  watchSettings(Context, Settings, [this](const node_settings &Changed) {
    applySettings(Changed);
  });
  CallerListener = std::make_unique<net::listener>(
      Context, Settings.GatewayCallers, [this, Executor](connection Accepted) {
        // Before the task starts, so that a stop does not miss it.
        Connections.insert(Accepted);
        net::spawn(Executor, serveCaller(std::move(Accepted)));
      });
  ReadinessListener = listenForCalls(
      Settings.GatewayReadiness, [this](net::http_request Request) {
        return handleReadinessCall(std::move(Request));
      });
  if (!Settings.MetricsAddress.empty())
    MetricsListener = listenForCalls(
        Settings.MetricsAddress, [this](net::http_request Request) {
          return handleMetricsCall(std::move(Request));
        });
  const auto HandlePeerCall = [this](net::http_request Request) {
    return handlePeerCall(std::move(Request));
  };
  if (!Settings.GatewayPeers.empty())
    SeedListener = listenForCalls(Settings.GatewayPeers, HandlePeerCall);
  // Calls and datagrams use the same port number.
  PeerListener = listenForCalls(Settings.LinkAddress, HandlePeerCall);
  Settings.LinkAddress = PeerListener->address();
  State.Options.Address = Settings.LinkAddress;
  LinkSocket = std::make_unique<net::datagram_socket>(
      Context, Settings.LinkAddress,
      [this](const std::string &From, std::string_view Bytes) {
        receiveDatagram(From, Bytes);
      });
}

auto gateway_node::listenForCalls(const std::string &Address,
                                  const net::call_handler &Handler)
    -> std::unique_ptr<net::listener> {
  return std::make_unique<net::listener>(
      Context, Address, [this, Handler](connection Accepted) {
        net::spawnServeCalls(Context, std::move(Accepted), Handler);
      });
}

auto gateway_node::requestStop() -> void {
  const auto Executor = Context.get_executor();
  net::asio::post(Executor,
                  [this, Executor] { net::spawn(Executor, drainAndStop()); });
}

auto gateway_node::callerAddress() const -> std::string {
  return CallerListener->address();
}

auto gateway_node::metricsAddress() const -> std::string {
  return MetricsListener ? MetricsListener->address() : "";
}

auto gateway_node::peersAddress() const -> std::string {
  return PeerListener->address();
}

auto gateway_node::readinessAddress() const -> std::string {
  return ReadinessListener->address();
}

auto gateway_node::run() -> void {
  log(log_level::Info, "started",
      {{"role", Settings.Role}, {"callers", Settings.GatewayCallers}});
  instance_record Self;
  Self.Name = instance_name(Settings.Name);
  Self.Address = Settings.LinkAddress;
  KnowledgeSync = Hooks.Watch(Context, Self, Environment.Dispatch,
                              [this] { return State.ReadsTargets; });
  net::spawn(Context.get_executor(), runTicks());
  Context.run();
  log(log_level::Info, "stopped", {});
}

auto gateway_node::dispatch(gateway_event Event) -> void {
  Events.push_back(std::move(Event));
  if (std::exchange(Reducing, true))
    return;
  while (!Events.empty()) {
    const auto NextEvent = std::move(Events.front());
    Events.pop_front();
    // An unexpected error costs at most the request that the event is about,
    // which its deadline ends.
    try {
      apply(NextEvent);
    } catch (const std::exception &Error) {
      Metrics.count("unexpected_errors", "event");
      log(log_level::Error, "event_failed", {{"error", Error.what()}});
    }
  }
  Reducing = false;
}

auto gateway_node::apply(const gateway_event &Event) -> void {
  const bool ReadTargets = State.ReadsTargets;
  if (const auto *Ended = std::get_if<attempt_ended>(&Event))
    countAttempt(*Ended);
  for (const auto &Effect : reduce(State, Event, process_clock::now()))
    std::visit([this](const auto &TypedEffect) { execute(TypedEffect); },
               Effect);
  // The queries that wait are checked once the changes of one call are applied.
  if (std::holds_alternative<targets_read>(Event) ||
      std::holds_alternative<targets_read_failed>(Event) ||
      std::holds_alternative<configuration_read>(Event) ||
      ReadTargets != State.ReadsTargets)
    for (const auto &Timer : std::exchange(WaitingQueries, {}))
      Timer->cancel();
}

auto gateway_node::countAttempt(const attempt_ended &Ended) -> void {
  Metrics.count("attempts", nameOf(Ended.End));
  if (Ended.Body.Framing == body_framing::None)
    return;
  Metrics.count("answer_bodies", nameOf(Ended.Body.Framing));
  if (Ended.Body.InsideEvent)
    Metrics.count("streams_ended_inside_event", nameOf(Ended.Body.Framing));
}

auto gateway_node::sendCommand(request_number Number,
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
  const auto TargetsAge = process_clock::now() - State.TargetsKnownAt;
  Metrics.observe("targets_age", "send",
                  static_cast<double>(toMilliseconds(TargetsAge)));
  sendCommand(Effect.Number, Effect);
}

auto gateway_node::execute(const refuse_request &Effect) -> void {
  Metrics.count("refusals", describe(Effect.Code).Name);
  sendCommand(Effect.Number, Effect);
}

auto gateway_node::execute(const relay_failure &Effect) -> void {
  sendCommand(Effect.Number, Effect);
}

auto gateway_node::execute(const request_load &Effect) -> void {
  net::spawn(Context.get_executor(), requestLoad(Effect));
}

auto gateway_node::execute(const send_digest &Effect) -> void {
  const auto Bytes = encodeLink(Effect.Digest);
  for (const auto &Address : Effect.Addresses)
    LinkSocket->send(Address, Bytes);
}

auto gateway_node::execute(const subscribe_to_controllers &Effect) -> void {
  const auto Bytes =
      encodeLink(greeting{instance_name(Settings.Name), Settings.LinkAddress});
  for (const auto &Address : Effect.Addresses)
    LinkSocket->send(Address, Bytes);
}

auto gateway_node::execute(const record_attempt_times &Effect) -> void {
  if (Effect.FirstOutputMs >= 0)
    Metrics.observe("first_output", Effect.Route,
                    static_cast<double>(Effect.FirstOutputMs));
  Metrics.observe("whole_answer", Effect.Route,
                  static_cast<double>(Effect.TotalMs));
  if (Effect.LongestGapMs > 0)
    Metrics.observe("longest_gap", Effect.Route,
                    static_cast<double>(Effect.LongestGapMs));
}

auto gateway_node::execute(const write_note &Effect) -> void {
  Metrics.count("decisions", Effect.Event);
  log(Effect.Level, Effect.Event, Effect.Fields);
}

auto gateway_node::requestLoad(request_load Effect) -> awaitable<void> {
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = "/load";
  Request.Fields.push_back({"Host", Effect.ControllerAddress});
  load_request Load{
      Effect.Model, Effect.Adapter, Effect.Victims, Effect.Target, {}};
  for (const auto &[Adapter, UsedAt] : Effect.AdapterUse)
    Load.AdapterAgesMs[Adapter] = toMilliseconds(process_clock::now() - UsedAt);
  Request.Body = encodeLoad(Load);
  const net::asio::any_io_executor Executor = Context.get_executor();
  const auto Response =
      co_await net::fetch(Executor, Effect.ControllerAddress, Request,
                          process_clock::now() + LoadCallTimeout);
  const bool Held = Response && Response->Head.Status == StatusOk;
  // The body lists what the target holds, also when the load failed.
  if (Response && !Response->Body.empty())
    handleLinkMessage(Response->Body);
  const bool Ordered =
      Response && net::hasField(Response->Head.Fields, LoadOrderedField);
  dispatch(load_answered{Effect.Target, Effect.Model, Effect.Adapter, Held,
                         Ordered});
}

auto gateway_node::runTicks() -> awaitable<void> {
  for (;;) {
    const auto Due = process_clock::now() + TickInterval;
    co_await net::sleepFor(TickInterval);
    if (const auto Report = Loop.recordTimer(Due, process_clock::now()))
      logLag(*Report);
    dispatch(tick{KnowledgeSync.TargetsVersion()});
  }
}

auto gateway_node::connectionLimits() const -> net::connection_limits {
  const auto &Limits = State.Configuration.Limits;
  return {Limits.HeaderBytes, Limits.BodyBytes, Limits.HeaderTimeoutMs,
          Limits.IdleTimeoutMs};
}

auto gateway_node::serveCaller(connection Connection) -> awaitable<void> {
  try {
    co_await serveRequests(Connection);
  } catch (const std::exception &Error) {
    Metrics.count("unexpected_errors", "connection");
    log(log_level::Error, "connection_failed", {{"error", Error.what()}});
    Connection->abort();
  }
  Connections.erase(Connection);
}

auto gateway_node::serveRequests(connection Connection) -> awaitable<void> {
  bool KeepOpen = true;
  while (KeepOpen) {
    const auto Limits = connectionLimits();
    auto Outcome = co_await Connection->readRequest(Limits);
    if (Outcome.End == net::read_end::Closed)
      break;
    if (Outcome.End == net::read_end::Rejected) {
      log(log_level::Warning, "request_rejected",
          {{"status", std::to_string(Outcome.Status)},
           {"why", std::string(Outcome.Reason)}});
      net::http_response Response;
      Response.Head.Status = Outcome.Status;
      Response.Body = std::string(Outcome.Reason) + "\n";
      auto Bytes = serializeResponse(Response, true);
      co_await Connection->write(std::move(Bytes));
      break;
    }
    KeepOpen = co_await serveRequest(Connection, std::move(Outcome));
  }
  if (Connection->isOpen())
    co_await Connection->closeGracefully();
  if (const auto Bytes = Connection->discardedBytes(); Bytes > 0) {
    Metrics.count("connections_closed", "bytes_discarded");
    log(log_level::Warning, "bytes_discarded",
        {{"bytes", std::to_string(Bytes)},
         {"draining", Draining ? "true" : "false"}});
  }
}

auto gateway_node::serveRequest(connection Connection,
                                net::read_outcome Outcome) -> awaitable<bool> {
  auto Call = Hooks.ParseCall(Outcome.Request, Outcome.FirstByte);
  if (!Call) {
    log(log_level::Warning, "request_rejected",
        {{"error", toString(Call.error())}});
    net::http_response Response;
    Response.Head.Status = describe(Call.error().Code).HttpStatus;
    auto Bytes = serializeResponse(Response, false);
    co_return co_await Connection->write(std::move(Bytes));
  }
  const auto Number = ++LastRequestNumber;
  const auto Request = std::make_shared<gateway_request>(
      Number, Connection, std::move(Outcome.Request), std::move(Call.value()),
      Environment, Context.get_executor());
  Requests[Number] = Request;
  bool KeepOpen = false;
  try {
    KeepOpen = co_await Request->run();
  } catch (const std::exception &Error) {
    Metrics.count("unexpected_errors", "request");
    log(log_level::Error, "request_failed",
        {{"number", std::to_string(Number)}, {"error", Error.what()}});
    Connection->abort();
    // The reducer forgets the request as if its caller had gone.
    dispatch(caller_left{Number});
  }
  Requests.erase(Number);
  co_return KeepOpen;
}

auto gateway_node::isReady() const -> bool {
  return !Draining && State.Configuration.Version > 0 &&
         !hasLostView(State, process_clock::now());
}

auto gateway_node::handleReadinessCall(net::http_request /*Request*/)
    -> awaitable<net::http_response> {
  net::http_response Response;
  Response.Head.Status = isReady() ? StatusOk : StatusUnavailable;
  co_return Response;
}

auto gateway_node::applySettings(const node_settings &Changed) -> void {
  Metrics.count("settings", "reloaded");
  const auto Options = toOptions(Changed);
  State.Options.Retries = Options.Retries;
  State.Options.LostGrace = Options.LostGrace;
  State.Options.MaxViewAge = Options.MaxViewAge;
  State.Options.Quarantine = Options.Quarantine;
  State.Options.Seeds = Options.Seeds;
  Settings.BalancerWaitMs = Changed.BalancerWaitMs;
  Settings.StopGraceMs = Changed.StopGraceMs;
}

auto gateway_node::drainAndStop() -> awaitable<void> {
  if (std::exchange(Draining, true))
    co_return;
  const auto BeganAt = process_clock::now();
  const auto Deadline =
      BeganAt + milliseconds(Settings.StopGraceMs) - AnswerMargin;
  const auto BalancerEnd =
      std::min(BeganAt + milliseconds(Settings.BalancerWaitMs), Deadline);
  dispatch(stop_began{Deadline, BalancerEnd});
  log(log_level::Info, "stopping",
      {{"requests", std::to_string(Requests.size())},
       {"connections", std::to_string(Connections.size())}});
  // Callers may send requests until the load balancer stops routing here.
  co_await net::sleepFor(BalancerEnd - process_clock::now());
  co_await serveUntilIdle(Deadline);
  co_await answerOpenRequests(Deadline + AnswerTime);
  logUnansweredRequests();
  Context.stop();
}

auto gateway_node::serveUntilIdle(time_point Deadline) -> awaitable<void> {
  // The listener stays open: a connection that the load balancer still opens
  // is served, and closing the listener would reset one that is being opened.
  bool Listening = true;
  while (process_clock::now() < Deadline) {
    const auto Now = process_clock::now();
    for (const auto &Connection : Connections)
      if (Connection->firstRequestDeadline() <= Now)
        Connection->closeIfIdle();
    const bool WasEmpty = Connections.empty();
    // Leaves the callers time to read the last responses.
    co_await net::sleepFor(DrainPollInterval);
    // A connection without a request may be reading one, so Requests being
    // empty is not enough.
    if (!WasEmpty || !Connections.empty())
      continue;
    if (std::exchange(Listening, false))
      CallerListener->stop(); // Accepts the connections of the backlog.
    if (Connections.empty())
      co_return;
  }
}

auto gateway_node::answerOpenRequests(time_point End) -> awaitable<void> {
  /// A held-up process answers as well, so the first turns have no deadline.
  constexpr int MinTurns = 2;
  CallerListener->stop();
  dispatch(stop_deadline_passed{});
  for (int Turn = 0; !Connections.empty(); ++Turn) {
    if (Turn >= MinTurns && (Requests.empty() || process_clock::now() >= End))
      co_return;
    for (const auto &Connection : Connections) {
      Connection->closeIfIdle();
      Connection->rejectPartialRequest();
    }
    co_await net::sleepFor(DrainPollInterval);
  }
}

auto gateway_node::logUnansweredRequests() -> void {
  const auto Now = process_clock::now();
  for (const auto &[Number, Request] : State.Requests)
    log(log_level::Error, "request_unanswered",
        {{"request", Request.Call.Id},
         {"route", Request.Route.Name},
         {"target", Request.CurrentTarget.Text},
         {"first_ms", std::to_string(Request.FirstOutputMs)},
         {"age_ms", std::to_string(toMilliseconds(Now - Request.Call.Arrived))},
         {"left_ms", std::to_string(toMilliseconds(Request.Deadline - Now))}});
  log(log_level::Info, "drained",
      {{"requests", std::to_string(Requests.size())},
       {"connections", std::to_string(Connections.size())},
       {"left_ms", std::to_string(toMilliseconds(State.StopDeadline - Now))}});
}

} // namespace limpetbridge
