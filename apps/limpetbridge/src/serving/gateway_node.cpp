#include "gateway_node.h"

#include "gateway_settings.h"
#include "link_codec.h"
#include "net/target_connection.h"
#include "settings_watch.h"
#include "stop_signal.h"

#include <algorithm>

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
/// Part of the process's memory for answers that are held.
constexpr std::int64_t BudgetDivisor = 4;
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnavailable = 503;

} // namespace

gateway_node::gateway_node(const node_settings &NodeSettings,
                           gateway_hooks NodeHooks)
    : Settings(NodeSettings), Hooks(std::move(NodeHooks)),
      State(makeGatewayState(gatewayOptions(NodeSettings))),
      Intake(std::make_shared<caller_intake>(Context, Metrics,
                                             makeIntakeOptions(NodeSettings))),
      TargetConnections(
          Context.get_executor(), Metrics,
          [this](gateway_event Event) { dispatch(std::move(Event)); }) {
  State.Options.Connections =
      makeKeepPolicy(Settings, Hooks.TargetsKeepConnections);
  State.Options.KeySecret = hash_secret::random();
  constexpr std::size_t BytesPerMb = std::size_t{1} << 20U;
  Budget.setLimit(static_cast<std::size_t>(Settings.MemoryMb / BudgetDivisor) *
                  BytesPerMb);
  Environment.Hooks = &Hooks;
  Environment.Budget = &Budget;
  Environment.Connections = &TargetConnections;
  Environment.KeepsConnections = [this] {
    return State.Options.Connections.Enabled && !Draining;
  };
  Environment.Dispatch = [this](gateway_event Event) {
    dispatch(std::move(Event));
  };
  Environment.IsDraining = [this] { return Draining; };
  Environment.AcceptsRequests = [this](const target_name &Target) {
    const auto *Entry = State.Book.find(Target);
    const auto Now = process_clock::now();
    return Entry != nullptr && Entry->acceptsRequests(Now) &&
           mayDecide(State, knowledge_kind::Targets, Now);
  };
  Environment.HasValidKey = [this](request_number Number) {
    return hasValidKey(State, Number);
  };
  Environment.NotePace = [this](const target_name &Target, double GapMs) {
    addPace(Paces, Target, GapMs);
  };
  Environment.Hedges = [this] { return State.Options.Hedging.isEnabled(); };
  const auto Executor = Context.get_executor();
  // Before the listeners: a signal must not end a process that has callers.
  onStopSignal(Context,
               [this, Executor] { net::spawn(Executor, drainAndStop()); });
  watchSettings(Context, Settings, [this](const node_settings &Changed) {
    applySettings(Changed);
  });
  CallerListener =
      Intake->listen(Settings.GatewayCallers, intake_group::Callers,
                     [this, Executor](connection Accepted) {
                       // Before the task starts, so that a stop does not miss
                       // it.
                       Connections.insert(Accepted);
                       net::spawn(Executor, serveCaller(std::move(Accepted)));
                     });
  ReadinessListener =
      Intake->listenForCalls(Settings.GatewayReadiness, intake_group::Readiness,
                             [this](net::http_request Request) {
                               return handleReadinessCall(std::move(Request));
                             });
  if (!Settings.MetricsAddress.empty())
    MetricsListener =
        Intake->listenForCalls(Settings.MetricsAddress, intake_group::Metrics,
                               [this](net::http_request Request) {
                                 return handleMetricsCall(std::move(Request));
                               });
  const auto HandlePeerCall = [this](net::http_request Request) {
    return handlePeerCall(std::move(Request));
  };
  if (!Settings.GatewayPeers.empty())
    SeedListener = Intake->listenForCalls(Settings.GatewayPeers,
                                          intake_group::Peers, HandlePeerCall);
  // Calls and datagrams use the same port number.
  PeerListener = Intake->listenForCalls(Settings.LinkAddress,
                                        intake_group::Link, HandlePeerCall);
  Settings.LinkAddress = PeerListener->address();
  State.Options.Address = Settings.LinkAddress;
  LinkSocket = std::make_unique<net::datagram_socket>(
      Context, Settings.LinkAddress,
      [this](const std::string &From, std::string_view Bytes) {
        receiveDatagram(From, Bytes);
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
  if (const auto Suspension = takeSuspension())
    apply(machine_resumed{gatewayIncarnation(), *Suspension});
  const bool ReadTargets = State.ReadsTargets;
  if (const auto *Ended = std::get_if<attempt_ended>(&Event))
    countAttempt(*Ended);
  for (const auto &Effect : reduce(State, Event, process_clock::now()))
    std::visit([this](const auto &TypedEffect) { execute(TypedEffect); },
               Effect);
  if (std::holds_alternative<configuration_read>(Event))
    Intake->setLargestBody(State.Configuration.Limits.BodyBytes);
  // The queries that wait are checked once the changes of one call are applied.
  if (std::holds_alternative<targets_read>(Event) ||
      std::holds_alternative<targets_read_failed>(Event) ||
      std::holds_alternative<configuration_read>(Event) ||
      ReadTargets != State.ReadsTargets)
    for (const auto &Timer : std::exchange(WaitingQueries, {}))
      Timer->cancel();
}

auto gateway_node::execute(const set_deadline &Effect) -> void {
  const auto Found = Requests.find(Effect.Number);
  if (Found != Requests.end())
    Found->second->setDeadline(Effect.Deadline);
}

auto gateway_node::execute(const close_connections &Effect) -> void {
  TargetConnections.execute(Effect);
}

auto gateway_node::execute(const refuse_request &Effect) -> void {
  Metrics.count("refusals", describe(Effect.Code).Name);
  observeConfigurationAge("refuse");
  sendCommand(Effect.Number, Effect);
}

auto gateway_node::execute(const relay_failure &Effect) -> void {
  sendCommand(Effect.Number, Effect);
}

auto gateway_node::execute(const request_load &Effect) -> void {
  spawnContained("load", requestLoad(Effect), [this, Effect] {
    dispatch(load_answered{Effect.Target, Effect.Model, Effect.Adapter, false,
                           false});
  });
}

auto gateway_node::spawnContained(const char *Kind, awaitable<void> Task,
                                  std::function<void()> OnError) -> void {
  net::spawnContained(
      Context.get_executor(), std::move(Task),
      [this, Kind, OnError = std::move(OnError)](const std::string &Error) {
        Metrics.count("unexpected_errors", Kind);
        log(log_level::Error, "task_failed",
            {{"task", Kind}, {"error", Error}});
        OnError();
      });
}

auto gateway_node::execute(const send_digest &Effect) -> void {
  const auto Bytes = encodeLink(Effect.Digest);
  for (const auto &Address : Effect.Addresses)
    LinkSocket->send(Address, Bytes);
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
    const auto Now = process_clock::now();
    if (const auto Report = Loop.recordTimer(Due, Now))
      logLag(*Report);
    dispatch(tick{KnowledgeSync.TargetsVersion(),
                  {Now - Due, Loop.usedCores()},
                  std::exchange(Paces, {})});
  }
}

auto gateway_node::isReady() const -> bool {
  const auto Now = process_clock::now();
  return !Draining && State.Configuration.Version > 0 &&
         !mustLeaveToOthers(State, knowledge_kind::Targets, Now) &&
         !mustLeaveToOthers(State, knowledge_kind::Configuration, Now) &&
         !signalsOverload(State);
}

auto gateway_node::handleReadinessCall(net::http_request /*Request*/)
    -> awaitable<net::http_response> {
  net::http_response Response;
  Response.Head.Status = isReady() ? StatusOk : StatusUnavailable;
  co_return Response;
}

auto gateway_node::applySettings(const node_settings &Changed) -> void {
  Metrics.count("settings", "reloaded");
  const auto Options = gatewayOptions(Changed);
  State.Options.Retries = Options.Retries;
  State.Options.LostGrace = Options.LostGrace;
  State.Options.MaxViewAge = Options.MaxViewAge;
  State.Options.MaxConfigurationAge = Options.MaxConfigurationAge;
  State.Options.Quarantine = Options.Quarantine;
  State.Options.RevocationBound = Options.RevocationBound;
  State.Options.Hedging = Options.Hedging;
  State.Options.SelfLimit = Options.SelfLimit;
  State.Options.RevocationIsStrict = Options.RevocationIsStrict;
  State.Options.Connections =
      makeKeepPolicy(Changed, Hooks.TargetsKeepConnections);
  State.Options.Seeds = Options.Seeds;
  Intake->setOptions(makeIntakeOptions(Changed));
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
      Connection->rejectPartialRequest({StatusUnavailable, "the server stops"});
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
         {"workspace", Request.Workspace.value_or(workspace_name()).Text},
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
