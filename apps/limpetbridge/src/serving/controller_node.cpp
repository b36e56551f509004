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

/// Longest wait for a report; the target is on the same machine.
constexpr duration ReportTimeout = milliseconds(500);
/// Longest wait for the answer to an order.
constexpr duration OrderTimeout = milliseconds(1000);
/// Pauses between reports while an order is carried out: an adapter takes
/// some milliseconds, a model some hundred or more.
constexpr duration AdapterPause = milliseconds(6);
constexpr duration ModelPause = milliseconds(40);
/// Time after which a job is given up.
constexpr duration AdapterJobTime = milliseconds(1400);
constexpr duration ModelJobTime = seconds(7);
/// Pause before another try for a permit of the weight store.
constexpr duration PermitPause = milliseconds(250);
/// Time after a greeting in which a gateway is told of changes: it greets every
/// two seconds, and a datagram may be lost.
constexpr duration TellTime = seconds(7);
constexpr std::uint16_t Okay = 200;
constexpr std::uint16_t Unavailable = 503;

auto sameJob(const load_job &Left, const load_request &Right) -> bool {
  return Left.Model == Right.Model && Left.Adapter == Right.Adapter;
}

} // namespace

controller_node::controller_node(const node_settings &NodeSettings,
                                 controller_hooks NodeHooks)
    : Settings(NodeSettings), Hooks(std::move(NodeHooks)),
      Models(net::kept_client(Context.get_executor(),
                              NodeSettings.ControllerTarget)),
      Adapters(net::kept_client(Context.get_executor(),
                                NodeSettings.ControllerTarget)) {
  const auto Executor = Context.get_executor();
  const auto Listen = [&](const std::string &Address,
                          const net::call_handler &Handler) {
    return std::make_unique<net::listener>(
        Context, Address,
        [Handler, Executor](std::shared_ptr<net::caller_connection> Accepted) {
          net::spawn(Executor, net::serveCalls(std::move(Accepted), Handler));
        });
  };
  Calls = Listen(Settings.LinkAddress, [this](net::http_request Request) {
    return answerCall(std::move(Request));
  });
  if (!Settings.MetricsAddress.empty())
    MetricsPage =
        Listen(Settings.MetricsAddress, [this](net::http_request Request) {
          return answerMetrics(std::move(Request));
        });
  // Calls and datagrams come to the same port.
  Settings.LinkAddress = Calls->address();
  Link = std::make_unique<net::datagram_socket>(
      Context, Settings.LinkAddress,
      [this](const std::string & /*From*/, std::string_view Bytes) {
        takeDatagram(Bytes);
      });
}

auto controller_node::requestStop() -> void {
  net::asio::post(Context.get_executor(), [this] { Context.stop(); });
}

auto controller_node::run() -> void {
  log(log_level::Info, "started",
      {{"role", Settings.Role}, {"target", Settings.ControllerTarget}});
  net::spawn(Context.get_executor(), start());
  Hooks.WatchConfiguration(Context, [this](configuration Read) {
    if (Read.Version <= Configuration.Version)
      return;
    Configuration = std::move(Read);
    log(log_level::Info, "configuration_in_force",
        {{"version", std::to_string(Configuration.Version)}});
  });
  watchSettings(Context, Settings, [this](const node_settings &Changed) {
    Metrics.count("settings", "reloaded");
    Settings.LoadWindowMs = Changed.LoadWindowMs;
    Settings.LoadOverrun = Changed.LoadOverrun;
  });
  onStopSignal(Context, [this] {
    log(log_level::Info, "stopping",
        {{"jobs",
          std::to_string(Models.Queue.size() + Adapters.Queue.size())}});
    Context.stop();
  });
  Context.run();
  log(log_level::Info, "stopped", {});
}

auto controller_node::metricsAddress() const -> std::string {
  return MetricsPage ? MetricsPage->address() : "";
}

auto controller_node::answerMetrics(net::http_request /*Request*/)
    -> awaitable<net::http_response> {
  Metrics.set("ready", FencingToken > 0 && engine() != nullptr ? 1 : 0);
  Metrics.set("configuration_version",
              static_cast<std::int64_t>(Configuration.Version));
  Metrics.set("jobs_waiting", static_cast<std::int64_t>(Models.Queue.size() +
                                                        Adapters.Queue.size()));
  Metrics.set("target_sequence", static_cast<std::int64_t>(Told.Sequence));
  Metrics.set("target_models",
              static_cast<std::int64_t>(Told.Holds.Models.size()));
  net::http_response Answer;
  Answer.Head.Status = Okay;
  Answer.Head.Fields.push_back({"Content-Type", "text/plain"});
  Answer.Body = Metrics.print();
  co_return Answer;
}

auto controller_node::start() -> awaitable<void> {
  instance_record Self;
  Self.Name = instance_name(Settings.Name);
  Self.Role = instance_role::Controller;
  Self.Address = Settings.LinkAddress;
  Self.TargetAddress = Settings.ControllerTarget;
  FencingToken = co_await Hooks.RegisterInstance(Self);
  log(log_level::Info, "holder_confirmed",
      {{"fencing_token", std::to_string(FencingToken)}});
}

auto controller_node::engine() const -> const engine_spec * {
  const auto Found =
      Configuration.Services.find(service_name(Settings.TargetService));
  return Found == Configuration.Services.end() || !Found->second.HasEngine
             ? nullptr
             : &Found->second.Engine;
}

auto controller_node::takeDatagram(std::string_view Bytes) -> void {
  auto Message = decodeLink(Bytes);
  if (!Message)
    log(log_level::Warning, "datagram_unreadable",
        {{"error", toString(Message.error())}});
  else if (const auto *Greeting = std::get_if<greeting>(&Message.value()))
    Gateways[Greeting->Address] = process_clock::now() + TellTime;
}

auto controller_node::findJob(const load_request &Request) -> job {
  for (const auto &[Adapter, AgeMs] : Request.AdapterAgesMs) {
    auto &Last = LastUsed[Adapter];
    Last = std::max(Last, process_clock::now() - milliseconds(AgeMs));
  }
  auto &Line = Request.Adapter.empty() ? Models : Adapters;
  auto &Queue = Line.Queue;
  const auto Found =
      std::find_if(Queue.begin(), Queue.end(), [&](const job &Each) {
        return Each->Target == Request.Target && sameJob(Each->Job, Request);
      });
  if (Found != Queue.end())
    return *Found;
  auto New = std::make_shared<job_state>();
  New->Job = {Request.Model, Request.Adapter, Request.Victims};
  New->Target = Request.Target;
  Queue.push_back(New);
  if (!std::exchange(Line.Running, true))
    net::spawn(Context.get_executor(), runJobs(Line));
  return New;
}

auto controller_node::answerCall(net::http_request Request)
    -> awaitable<net::http_response> {
  net::http_response Answer;
  Answer.Head.Status = Unavailable;
  const auto Load = decodeLoad(Request.Body);
  if (Request.Target != "/load" || !Load) {
    log(log_level::Warning, "call_unreadable", {{"path", Request.Target}});
    Answer.Head.Status = describe(result_code::MalformedRequest).HttpStatus;
    co_return Answer;
  }
  if (FencingToken == 0 || engine() == nullptr) {
    log(log_level::Warning, "load_refused",
        {{"model", Load.value().Model.Text},
         {"fencing_token", std::to_string(FencingToken)},
         {"configuration", std::to_string(Configuration.Version)}});
    co_return Answer;
  }
  const auto Job = findJob(Load.value());
  if (!Job->Done) {
    const auto Timer = std::make_shared<net::asio::steady_timer>(
        Context, std::chrono::steady_clock::time_point::max());
    Job->Waiters.push_back(Timer);
    net::error_code Cancelled; // How the end of the job wakes this up.
    co_await Timer->async_wait(net::storeError(Cancelled));
  }
  Answer.Head.Status = Job->Held ? Okay : Unavailable;
  if (Told.Sequence > 0)
    Answer.Body = encodeLink(Told);
  co_return Answer;
}

auto controller_node::runJobs(job_line &Line) -> awaitable<void> {
  while (!Line.Queue.empty()) {
    const auto Job = Line.Queue.front();
    const auto Began = process_clock::now();
    Job->Held = co_await runJob(Line, Job);
    Job->Done = true;
    Metrics.observe(
        Job->Job.Adapter.empty() ? "model_job" : "adapter_job",
        Job->Held ? "held" : "failed",
        static_cast<double>(toMilliseconds(process_clock::now() - Began)));
    if (Job->Job.Adapter.empty())
      Leaving.clear();
    Line.Queue.pop_front();
    for (const auto &Waiter : Job->Waiters)
      Waiter->cancel();
  }
  Line.Running = false;
}

auto controller_node::readReport(job_line &Line)
    -> awaitable<std::optional<engine_report>> {
  const auto Request = Hooks.BuildReportRequest();
  const auto Answer =
      co_await Line.Client.fetch(Request, process_clock::now() + ReportTimeout);
  if (!Answer || Answer->Head.Status != Okay)
    co_return std::nullopt;
  auto Report = Hooks.ParseReport(Answer->Body);
  if (!Report) {
    log(log_level::Warning, "report_unreadable",
        {{"error", toString(Report.error())}});
    co_return std::nullopt;
  }
  std::erase_if(LeavingAdapters, [&](const adapter_key &Adapter) {
    const auto Held = Report.value().Holds.Models.find(Adapter.first);
    return Report.value().Born != Told.Born ||
           Held == Report.value().Holds.Models.end() ||
           !Held->second.Adapters.contains(Adapter.second);
  });
  Report.value().LeavingAdapters = LeavingAdapters;
  tell(Report.value());
  co_return Report.value();
}

auto controller_node::tell(const engine_report &Report) -> void {
  holdings_told Now{Settings.ControllerTarget, Report.Born, Report.Sequence,
                    Report.Holds};
  std::erase_if(Leaving, [&](const model_name &Model) {
    return Now.Born != Told.Born || !Now.Holds.Models.contains(Model);
  });
  for (const auto &Model : Leaving)
    Now.Holds.Models.erase(Model);
  for (const auto &[Model, Adapter] : LeavingAdapters)
    if (const auto Held = Now.Holds.Models.find(Model);
        Held != Now.Holds.Models.end())
      Held->second.Adapters.erase(Adapter);
  if (Now.Born == Told.Born && Now.Sequence == Told.Sequence &&
      Now.Holds == Told.Holds)
    return;
  Told = std::move(Now);
  const auto Bytes = encodeLink(Told);
  for (const auto &[Address, Until] : Gateways)
    if (process_clock::now() < Until)
      Link->send(Address, Bytes);
}

auto controller_node::permitLoad() -> awaitable<bool> {
  const double PerWindow = engine()->LoadsPerSecond *
                           static_cast<double>(Settings.LoadWindowMs) / 1000;
  co_return co_await Hooks.AcquireLoadPermit(
      Settings.LoadWindowMs,
      static_cast<std::size_t>(std::max(1.0, PerWindow)));
}

auto controller_node::carryOut(job_line &Line, const job_state &Job,
                               const order_step &Step, std::uint64_t Sequence)
    -> awaitable<order_end> {
  order_facts Facts;
  Facts.Kind = Step.Kind;
  Facts.Target = Job.Target;
  Facts.Model = Step.Model;
  Facts.Adapter = Step.Adapter;
  Facts.Sequence = Sequence;
  Facts.Holder = instance_name(Settings.Name);
  Facts.FencingToken = FencingToken;
  const auto Request = Hooks.BuildOrderRequest(Facts);
  const auto Answer =
      co_await Line.Client.fetch(Request, process_clock::now() + OrderTimeout);
  const auto End =
      Answer ? Hooks.ParseOrderStatus(Answer->Head.Status) : order_end::Unknown;
  Metrics.count("orders", nameOf(Step.Kind));
  if (End != order_end::Accepted)
    Metrics.count("orders_not_accepted", nameOf(Step.Kind));
  log(log_level::Info, "order_ended",
      {{"order", std::string(nameOf(Step.Kind))},
       {"target", Job.Target.Text},
       {"model", Step.Model.Text},
       {"adapter", Step.Adapter},
       {"sequence", std::to_string(Sequence)},
       {"status", std::to_string(Answer ? Answer->Head.Status : 0)}});
  co_return End;
}

auto controller_node::noteOrdered(const order_step &Step,
                                  const engine_report &Report) -> void {
  // No more requests may come for what is being unloaded.
  if (Step.Kind == step_kind::Unload)
    Leaving.insert(Step.Model);
  else if (Step.Kind == step_kind::UnloadAdapter)
    LeavingAdapters.insert({Step.Model, Step.Adapter});
  else
    return;
  tell(Report);
}

auto controller_node::runJob(job_line &Line, job Job) -> awaitable<bool> {
  const bool ForAdapter = !Job->Job.Adapter.empty();
  const auto Deadline =
      process_clock::now() + (ForAdapter ? AdapterJobTime : ModelJobTime);
  const auto Pause = ForAdapter ? AdapterPause : ModelPause;
  if (ForAdapter)
    LastUsed[{Job->Job.Model, Job->Job.Adapter}] = process_clock::now();
  while (process_clock::now() < Deadline) {
    const auto Report = co_await readReport(Line);
    if (!Report || engine() == nullptr) {
      co_await net::sleepFor(Pause);
      continue;
    }
    const auto Step = nextStep(*engine(), *Report, Job->Job, LastUsed);
    if (Step.Kind == step_kind::Held)
      co_return true;
    if (Step.Kind == step_kind::Impossible) {
      log(log_level::Warning, "load_impossible",
          {{"model", Job->Job.Model.Text},
           {"adapter", Job->Job.Adapter},
           {"sequence", std::to_string(Report->Sequence)},
           {"held", std::to_string(Report->Holds.Models.size())}});
      co_return false;
    }
    if (Step.Kind == step_kind::Wait) {
      co_await net::sleepFor(Pause);
      continue;
    }
    bool Permitted = true;
    if (Step.FromStore)
      Permitted = co_await permitLoad();
    if (!Permitted) {
      Metrics.count("load_permits", "refused");
      co_await net::sleepFor(PermitPause);
      continue;
    }
    const auto End = co_await carryOut(Line, *Job, Step, Report->Sequence);
    if (End == order_end::WrongTarget)
      co_return false;
    if (End == order_end::Accepted)
      noteOrdered(Step, *Report);
    co_await net::sleepFor(Pause);
  }
  co_return false;
}

} // namespace limpetbridge
