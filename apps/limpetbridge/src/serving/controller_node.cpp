#include "controller_node.h"

#include "base/log.h"
#include "net/target_connection.h"
#include "settings_watch.h"
#include "stop_signal.h"

#include <algorithm>

namespace limpetbridge {

namespace {

using namespace serving;
using net::awaitable;

/// The target is on the same machine.
constexpr duration ReportTimeout = milliseconds(500);
constexpr duration OrderTimeout = milliseconds(1000);
/// Delay before another attempt to write the handover.
constexpr duration HandoverRetryDelay = milliseconds(300);
/// Time without a report after which a target that was loading is given up.
constexpr duration TargetLostTime = milliseconds(600);
/// Delays between reports while an order is executed: an adapter takes some
/// milliseconds, a model some hundred or more.
constexpr duration AdapterReportDelay = milliseconds(6);
constexpr duration ModelReportDelay = milliseconds(40);
/// A job that is not done after this time fails.
constexpr duration AdapterJobTimeout = milliseconds(1400);
constexpr duration ModelJobTimeout = seconds(7);
/// Delay before another attempt to get a permit of the weight store.
constexpr duration PermitRetryDelay = milliseconds(250);
/// Time after which a job fails if the store that counts permits is not
/// reached.
constexpr duration PermitPatience = milliseconds(600);
/// A greeting subscribes a gateway to changes for this time: it greets every
/// two seconds, and datagrams may be lost.
constexpr duration SubscriptionTtl = seconds(7);
/// Part of the stop grace period reserved for the last answers and the end.
constexpr duration ShutdownMargin = milliseconds(400);
/// Interval between checks whether calls are still open.
constexpr duration DrainPollInterval = milliseconds(10);
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnavailable = 503;

auto isSameJob(const load_job &Left, const load_request &Right) -> bool {
  return Left.Model == Right.Model && Left.Adapter == Right.Adapter;
}

} // namespace

controller_node::controller_node(const node_settings &NodeSettings,
                                 controller_hooks NodeHooks)
    : Settings(NodeSettings), Hooks(std::move(NodeHooks)),
      Models(net::persistent_client(Context.get_executor(),
                                    NodeSettings.ControllerTarget)),
      Adapters(net::persistent_client(Context.get_executor(),
                                      NodeSettings.ControllerTarget)),
      Intake(std::make_shared<caller_intake>(Context, Metrics,
                                             makeIntakeOptions(NodeSettings))) {
  // Before the listeners: a signal must not end a process that has callers.
  onStopSignal(Context,
               [this] { net::spawn(Context.get_executor(), drainAndStop()); });
  watchSettings(Context, Settings, [this](const node_settings &Changed) {
    Metrics.count("settings", "reloaded");
    Settings.LoadWindowMs = Changed.LoadWindowMs;
    Settings.StopGraceMs = Changed.StopGraceMs;
    Settings.LoadOverrun = Changed.LoadOverrun;
    Intake->setOptions(makeIntakeOptions(Changed));
  });
  CallListener = Intake->listen(
      Settings.LinkAddress, intake_group::Link, [this](connection Accepted) {
        Connections.insert(Accepted);
        net::spawn(Context.get_executor(), serveGateway(std::move(Accepted)));
      });
  if (!Settings.MetricsAddress.empty())
    MetricsListener =
        Intake->listenForCalls(Settings.MetricsAddress, intake_group::Metrics,
                               [this](net::http_request Request) {
                                 return handleMetricsCall(std::move(Request));
                               });
  // Calls and datagrams use the same port number.
  Settings.LinkAddress = CallListener->address();
  LinkSocket = std::make_unique<net::datagram_socket>(
      Context, Settings.LinkAddress,
      [this](const std::string & /*From*/, std::string_view Bytes) {
        handleDatagram(Bytes);
      });
}

auto controller_node::requestStop() -> void {
  net::asio::post(Context.get_executor(), [this] {
    net::spawn(Context.get_executor(), drainAndStop());
  });
}

auto controller_node::drainAndStop() -> awaitable<void> {
  if (std::exchange(Stopping, true))
    co_return;
  logOpenWork("stopping");
  const auto Deadline = process_clock::now() +
                        milliseconds(Settings.StopGraceMs) - ShutdownMargin;
  for (const auto *Queue : {&Models, &Adapters})
    for (const auto &Job : Queue->Jobs)
      if (!Job->OrderSent)
        endJob(*Job);
  co_await awaitAnswers(Deadline);
  for (const auto *Queue : {&Models, &Adapters})
    for (const auto &Job : Queue->Jobs)
      endJob(*Job);
  CallListener->stop(); // Takes the calls that wait in the backlog.
  co_await awaitAnswers(Deadline + ShutdownMargin / 2);
  Context.stop();
}

auto controller_node::endJob(job_state &Job) -> void {
  Job.Done = true;
  for (const auto &Waiter : std::exchange(Job.Waiters, {}))
    Waiter->cancel();
}

auto controller_node::awaitAnswers(time_point Deadline) -> awaitable<void> {
  while (!Connections.empty() && process_clock::now() < Deadline) {
    const auto Now = process_clock::now();
    for (const auto &Connection : Connections)
      if (Connection->firstRequestDeadline() <= Now)
        Connection->closeIfIdle();
    co_await net::sleepFor(DrainPollInterval);
  }
}

auto controller_node::serveGateway(connection Connection) -> awaitable<void> {
  const net::call_handler Handler = [this](net::http_request Request) {
    return handleLoadCall(std::move(Request));
  };
  try {
    co_await net::serveCalls(Connection, Handler);
  } catch (const std::exception &Error) {
    log(log_level::Error, "call_failed", {{"error", Error.what()}});
  }
  Connections.erase(Connection);
}

auto controller_node::run() -> void {
  log(log_level::Info, "started",
      {{"role", Settings.Role}, {"target", Settings.ControllerTarget}});
  net::spawn(Context.get_executor(), registerInstance());
  Hooks.WatchConfiguration(Context, [this](configuration NewConfiguration,
                                           const configuration_source &Source) {
    takeConfiguration(std::move(NewConfiguration), Source);
  });
  Context.run();
  logOpenWork("stopped");
}

auto controller_node::logOpenWork(const char *Event) const -> void {
  std::size_t LoadCalls = 0;
  std::size_t Ordered = 0;
  for (const auto *Queue : {&Models, &Adapters})
    for (const auto &Job : Queue->Jobs) {
      LoadCalls += Job->Waiters.size();
      Ordered += Job->OrderSent ? 1 : 0;
    }
  log(log_level::Info, Event,
      {{"jobs", std::to_string(Models.Jobs.size() + Adapters.Jobs.size())},
       {"load_calls", std::to_string(LoadCalls)},
       {"connections", std::to_string(Connections.size())},
       {"ordered", std::to_string(Ordered)}});
}

auto controller_node::metricsAddress() const -> std::string {
  return MetricsListener ? MetricsListener->address() : "";
}

auto controller_node::handleMetricsCall(net::http_request /*Request*/)
    -> awaitable<net::http_response> {
  Metrics.set("ready", FencingToken > 0 && findEngine() != nullptr ? 1 : 0);
  Intake->updateMetrics();
  Metrics.set("configuration_version",
              static_cast<std::int64_t>(Configuration.Version));
  Metrics.set("store_era", static_cast<std::int64_t>(StoreEra));
  Metrics.set("jobs_waiting", static_cast<std::int64_t>(Models.Jobs.size() +
                                                        Adapters.Jobs.size()));
  Metrics.set("target_sequence", static_cast<std::int64_t>(Published.Sequence));
  Metrics.set("target_models",
              static_cast<std::int64_t>(Published.Holdings.Models.size()));
  net::http_response Response;
  Response.Head.Status = StatusOk;
  Response.Head.Fields.push_back({"Content-Type", "text/plain"});
  Response.Body = Metrics.print();
  co_return Response;
}

auto controller_node::registerInstance() -> awaitable<void> {
  instance_record Self;
  Self.Name = instance_name(Settings.Name);
  Self.Role = instance_role::Controller;
  Self.Address = Settings.LinkAddress;
  Self.TargetAddress = Settings.ControllerTarget;
  std::optional<order_handover> Predecessor;
  std::optional<store_position> Registered;
  while (!Registered) {
    Predecessor = co_await Hooks.ReadHandover(Self.Name);
    OpenOrders.takeOver(Predecessor, StartedAt);
    // Not published: no gateway has subscribed yet.
    if (const auto Report = co_await fetchReport(Models))
      OpenOrders.observe(*Report);
    WrittenHandover = OpenOrders.handover(process_clock::now());
    Registered = co_await Hooks.RegisterInstance(Self, WrittenHandover);
  }
  const auto Position = *Registered;
  const auto Token = makeFencingToken(Position);
  FencingToken = Token.value_or(0);
  log(Token ? log_level::Info : log_level::Error,
      Token ? "holder_confirmed" : "fencing_token_out_of_range",
      {{"fencing_token", std::to_string(FencingToken)},
       {"era", std::to_string(Position.Era)},
       {"version", std::to_string(Position.Version)},
       {"predecessor", Predecessor ? "true" : "false"},
       {"open_orders", WrittenHandover.HasOpenOrders ? "true" : "false"},
       {"incarnation", std::to_string(WrittenHandover.Incarnation)}});
  if (!WrittenHandover.HasOpenOrders)
    co_return;
  co_await net::sleepFor(
      remaining(OpenOrders.predecessorsExpireAt(), process_clock::now()));
  updateHandover();
}

auto controller_node::findEngine() const -> const engine_spec * {
  const auto Found =
      Configuration.Services.find(service_name(Settings.TargetService));
  return Found == Configuration.Services.end() || !Found->second.HasEngine
             ? nullptr
             : &Found->second.Engine;
}

auto controller_node::handleDatagram(std::string_view Bytes) -> void {
  auto Message = decodeLink(Bytes);
  if (!Message)
    log(log_level::Warning, "datagram_unreadable",
        {{"error", toString(Message.error())}});
  else if (const auto *Greeting = std::get_if<greeting>(&Message.value())) {
    const auto Now = process_clock::now();
    auto &ExpiresAt = Subscribers[Greeting->Address];
    // Changes are told once, so a new subscriber needs the last one.
    if (Now >= ExpiresAt && Published.Incarnation > 0)
      LinkSocket->send(Greeting->Address, encodeLink(Published));
    ExpiresAt = Now + SubscriptionTtl;
    if (Greeting->StoreEra > StoreEra)
      checkEra(Greeting->StoreEra);
  }
}

auto controller_node::findOrCreateJob(const load_request &Request) -> job {
  for (const auto &[Adapter, AgeMs] : Request.AdapterAgesMs) {
    auto &UsedAt = LastUsed[Adapter];
    UsedAt = std::max(UsedAt, process_clock::now() - milliseconds(AgeMs));
  }
  auto &Queue = Request.Adapter.empty() ? Models : Adapters;
  auto &Jobs = Queue.Jobs;
  const auto Found =
      std::find_if(Jobs.begin(), Jobs.end(), [&](const job &Candidate) {
        return Candidate->Target == Request.Target &&
               isSameJob(Candidate->Job, Request);
      });
  if (Found != Jobs.end())
    return *Found;
  auto NewJob = std::make_shared<job_state>();
  NewJob->Job = {Request.Model, Request.Adapter, Request.Victims};
  NewJob->Target = Request.Target;
  Jobs.push_back(NewJob);
  if (!std::exchange(Queue.Running, true))
    net::spawn(Context.get_executor(), runJobs(Queue));
  return NewJob;
}

auto controller_node::handleLoadCall(net::http_request Request)
    -> awaitable<net::http_response> {
  net::http_response Response;
  Response.Head.Status = StatusUnavailable;
  const auto LoadRequest = decodeLoad(Request.Body);
  if (Request.Target != "/load" || !LoadRequest) {
    log(log_level::Warning, "call_unreadable", {{"path", Request.Target}});
    Response.Head.Status = describe(result_code::MalformedRequest).HttpStatus;
    co_return Response;
  }
  if (Stopping || FencingToken == 0 || findEngine() == nullptr) {
    log(log_level::Warning, "load_refused",
        {{"model", LoadRequest.value().Model.Text},
         {"stopping", Stopping ? "true" : "false"},
         {"fencing_token", std::to_string(FencingToken)},
         {"configuration", std::to_string(Configuration.Version)}});
    co_return Response;
  }
  const auto Job = findOrCreateJob(LoadRequest.value());
  if (!Job->Done) {
    const auto Timer = std::make_shared<net::asio::steady_timer>(
        Context, std::chrono::steady_clock::time_point::max());
    Job->Waiters.push_back(Timer);
    net::error_code Cancelled; // By endJob.
    co_await Timer->async_wait(net::storeError(Cancelled));
  }
  Response.Head.Status = Job->Held ? StatusOk : StatusUnavailable;
  if (Job->LoadOrdered)
    Response.Head.Fields.push_back({LoadOrderedField, "1"});
  if (Published.Sequence > 0)
    Response.Body = encodeLink(Published);
  co_return Response;
}

auto controller_node::runJobs(job_queue &Queue) -> awaitable<void> {
  while (!Queue.Jobs.empty()) {
    const auto Job = Queue.Jobs.front();
    const auto StartedAt = process_clock::now();
    try {
      Job->Held = co_await runJob(Queue, Job);
    } catch (const std::exception &Error) {
      Metrics.count("unexpected_errors", "job");
      log(log_level::Error, "job_failed", {{"error", Error.what()}});
    }
    Metrics.observe(
        Job->Job.Adapter.empty() ? "model_job" : "adapter_job",
        Job->Held ? "held" : "failed",
        static_cast<double>(toMilliseconds(process_clock::now() - StartedAt)));
    if (Job->Job.Adapter.empty())
      UnloadingModels.clear();
    Queue.Jobs.pop_front();
    endJob(*Job);
  }
  Queue.Running = false;
}

auto controller_node::fetchReport(job_queue &Queue)
    -> awaitable<std::optional<engine_report>> {
  const auto Request = Hooks.BuildReportRequest();
  const auto Response = co_await Queue.Client.fetch(
      Request, process_clock::now() + ReportTimeout);
  if (!Response || Response->Head.Status != StatusOk)
    co_return std::nullopt;
  auto Report = Hooks.ParseReport(*Response);
  if (!Report) {
    log(log_level::Warning, "report_unreadable",
        {{"error", toString(Report.error())}});
    co_return std::nullopt;
  }
  co_return std::move(Report.value());
}

auto controller_node::readReport(job_queue &Queue)
    -> awaitable<std::optional<engine_report>> {
  auto Report = co_await fetchReport(Queue);
  if (!Report)
    co_return std::nullopt;
  std::erase_if(UnloadingAdapters, [&](const adapter_key &Adapter) {
    const auto Held = Report->Holdings.Models.find(Adapter.first);
    return Report->Incarnation != Published.Incarnation ||
           Held == Report->Holdings.Models.end() ||
           !Held->second.Adapters.contains(Adapter.second);
  });
  Report->UnloadingAdapters = UnloadingAdapters;
  publishHoldings(*Report);
  co_return Report;
}

auto controller_node::publishHoldings(const engine_report &Report) -> void {
  holdings_report Current{Settings.ControllerTarget, Report.Incarnation,
                          Report.Sequence, Report.Holdings, Report.Leaves};
  std::erase_if(UnloadingModels, [&](const model_name &Model) {
    return Current.Incarnation != Published.Incarnation ||
           !Current.Holdings.Models.contains(Model);
  });
  for (const auto &Model : UnloadingModels)
    Current.Holdings.Models.erase(Model);
  for (const auto &[Model, Adapter] : UnloadingAdapters)
    if (const auto Held = Current.Holdings.Models.find(Model);
        Held != Current.Holdings.Models.end())
      Held->second.Adapters.erase(Adapter);
  if (Current.Incarnation == Published.Incarnation &&
      Current.Sequence == Published.Sequence &&
      Current.Leaves == Published.Leaves &&
      Current.Holdings == Published.Holdings)
    return;
  Published = std::move(Current);
  const auto Bytes = encodeLink(Published);
  for (const auto &[Address, ExpiresAt] : Subscribers)
    if (process_clock::now() < ExpiresAt)
      LinkSocket->send(Address, Bytes);
}

auto controller_node::acquireLoadPermit() -> awaitable<load_permit> {
  const double PermitsPerWindow = findEngine()->LoadsPerSecond *
                                  static_cast<double>(Settings.LoadWindowMs) /
                                  1000;
  co_return co_await Hooks.AcquireLoadPermit(
      Settings.LoadWindowMs,
      static_cast<std::size_t>(std::max(1.0, PermitsPerWindow)));
}

auto controller_node::updateHandover() -> void {
  if (WritingHandover ||
      OpenOrders.handover(process_clock::now()) == WrittenHandover)
    return;
  WritingHandover = true;
  net::spawn(Context.get_executor(), writeHandover());
}

auto controller_node::writeHandover() -> awaitable<void> {
  for (;;) {
    const auto Handover = OpenOrders.handover(process_clock::now());
    if (Handover == WrittenHandover)
      break;
    const bool Written = co_await Hooks.WriteHandover(Handover);
    Metrics.count("handovers", Written ? "written" : "write_failed");
    if (Written)
      WrittenHandover = Handover;
    else
      co_await net::sleepFor(HandoverRetryDelay);
  }
  WritingHandover = false;
}

auto controller_node::watchOrder(std::uint64_t Number) -> awaitable<void> {
  co_await net::sleepFor(AnswerTime);
  if (!OpenOrders.isOpen(Number))
    co_return;
  updateHandover();
  co_await net::sleepFor(OpenOrderTime);
  updateHandover();
}

auto controller_node::sendOrder(const job_state &Job, const order_step &Step,
                                const engine_report &Report)
    -> awaitable<order_end> {
  order_facts Facts;
  Facts.Kind = Step.Kind;
  Facts.Target = Job.Target;
  Facts.Model = Step.Model;
  Facts.Adapter = Step.Adapter;
  Facts.Sequence = Report.Sequence;
  Facts.Holder = instance_name(Settings.Name);
  Facts.FencingToken = FencingToken;
  const auto Request = Hooks.BuildOrderRequest(Facts);
  const net::asio::any_io_executor Executor = Context.get_executor();
  const auto SentAt = process_clock::now();
  // From now on: the other queue may plan an order before this call ends.
  const auto Number = OpenOrders.add(Job.Target, Report.Incarnation,
                                     {Step, Report.Sequence}, SentAt);
  net::spawn(Executor, watchOrder(Number));
  // A connection of its own: a late second copy of a report must not be taken
  // for the answer to an order.
  const auto Response = co_await net::fetch(Executor, Settings.ControllerTarget,
                                            Request, SentAt + OrderTimeout);
  const auto Outcome = Response ? Hooks.ParseOrderStatus(Response->Head.Status)
                                : order_end::Unknown;
  OpenOrders.settle(Number, Outcome != order_end::Unknown);
  updateHandover();
  Metrics.count("orders", nameOf(Step.Kind));
  if (Outcome != order_end::Accepted)
    Metrics.count("orders_not_accepted", nameOf(Step.Kind));
  log(log_level::Info, "order_ended",
      {{"order", std::string(nameOf(Step.Kind))},
       {"target", Job.Target.Text},
       {"model", Step.Model.Text},
       {"adapter", Step.Adapter},
       {"sequence", std::to_string(Facts.Sequence)},
       {"status", std::to_string(Response ? Response->Head.Status : 0)}});
  co_return Outcome;
}

auto controller_node::recordUnloadOrder(const order_step &Step,
                                        const engine_report &Report) -> void {
  if (Step.Kind == step_kind::Unload)
    UnloadingModels.insert(Step.Model);
  else if (Step.Kind == step_kind::UnloadAdapter)
    UnloadingAdapters.insert({Step.Model, Step.Adapter});
  else
    return;
  publishHoldings(Report);
}

auto controller_node::runJob(job_queue &Queue, job Job) -> awaitable<bool> {
  const bool ForAdapter = !Job->Job.Adapter.empty();
  const auto Deadline =
      process_clock::now() + (ForAdapter ? AdapterJobTimeout : ModelJobTimeout);
  const auto PermitDeadline = process_clock::now() + PermitPatience;
  const auto ReportDelay = ForAdapter ? AdapterReportDelay : ModelReportDelay;
  if (ForAdapter)
    LastUsed[{Job->Job.Model, Job->Job.Adapter}] = process_clock::now();
  auto LastReportAt = process_clock::now();
  while (!Job->Done && process_clock::now() < Deadline) {
    auto Report = co_await readReport(Queue);
    // It may have crashed on the load.
    if (!Report && Job->LoadOrdered &&
        process_clock::now() - LastReportAt >= TargetLostTime)
      co_return false;
    if (!Report || findEngine() == nullptr) {
      co_await net::sleepFor(ReportDelay);
      continue;
    }
    LastReportAt = process_clock::now();
    OpenOrders.observe(*Report);
    Report->OpenOrders = OpenOrders.list(Job->Target, LastReportAt);
    const auto Step = nextStep(*findEngine(), *Report, Job->Job, LastUsed);
    if (Step.Kind == step_kind::Held && !Report->Leaves)
      co_return true;
    if (isOrder(Step.Kind) &&
        !OpenOrders.mayOrder(*findEngine(), *Report, LastReportAt)) {
      Metrics.count("loads_held_back", ForAdapter ? "adapter" : "model");
      log(log_level::Info, "load_held_back",
          {{"model", Job->Job.Model.Text},
           {"adapter", Job->Job.Adapter},
           {"incarnation", std::to_string(Report->Incarnation)},
           {"sequence", std::to_string(Report->Sequence)},
           {"reason", "orders of the controller before may be open"}});
      co_return false;
    }
    if (Step.Kind == step_kind::Impossible || Report->Leaves) {
      log(log_level::Warning, "load_impossible",
          {{"model", Job->Job.Model.Text},
           {"adapter", Job->Job.Adapter},
           {"sequence", std::to_string(Report->Sequence)},
           {"leaves", Report->Leaves ? "true" : "false"},
           {"open_orders", std::to_string(Report->OpenOrders.size())},
           {"held", std::to_string(Report->Holdings.Models.size())}});
      co_return false;
    }
    if (Step.Kind == step_kind::Wait) {
      co_await net::sleepFor(ReportDelay);
      continue;
    }
    auto Permit = load_permit::Granted;
    if (Step.FromStore)
      Permit = co_await acquireLoadPermit();
    if (Permit == load_permit::Unavailable) {
      Metrics.count("load_permits", "unavailable");
      // The gateway finds another target; its controller may reach the store.
      if (process_clock::now() >= PermitDeadline)
        co_return false;
    } else if (Permit == load_permit::Exhausted) {
      Metrics.count("load_permits", "refused");
    }
    if (Permit != load_permit::Granted) {
      co_await net::sleepFor(PermitRetryDelay);
      continue;
    }
    if (Job->Done) // The process stops.
      co_return false;
    Job->OrderSent = true;
    const auto Outcome = co_await sendOrder(*Job, Step, *Report);
    if (Outcome == order_end::WrongTarget)
      co_return false;
    const bool IsLoad =
        Step.Kind == step_kind::Load || Step.Kind == step_kind::LoadAdapter;
    Job->LoadOrdered |= IsLoad && (Outcome == order_end::Accepted ||
                                   Outcome == order_end::Unknown);
    if (Outcome == order_end::Accepted)
      recordUnloadOrder(Step, *Report);
    co_await net::sleepFor(ReportDelay);
  }
  co_return false;
}

} // namespace limpetbridge
