#include "node.h"

#include "base/log.h"
#include "base/metrics.h"
#include "base/timeline.h"
#include "caller_server.h"
#include "core/store_keys.h"
#include "engine/target_client.h"
#include "node_loop.h"
#include "node_setup.h"
#include "platform/platform_client.h"
#include "query/inspect.h"
#include "wire/peer_client.h"
#include "wire/peer_server.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>

namespace limpetbridge {

namespace {

constexpr auto AnnounceRetryInterval = std::chrono::milliseconds(500);
/// Poll intervals from one read of the instance list to the next; the head
/// revision is read more often.
constexpr auto InstanceListPollFactor = 2;

/// Whether notes of \p Kind are also written to the log. Those that a normal
/// request produces are kept on the time line only.
auto isLogged(note_kind Kind) -> bool {
  switch (Kind) {
  case note_kind::RequestArrived:
  case note_kind::AttemptStarted:
  case note_kind::AttemptEnded:
  case note_kind::RequestEnded:
  case note_kind::WorkQueued:
  case note_kind::WorkDispatched:
  case note_kind::WorkEnded:
  case note_kind::ClaimWritten:
    return false;
  default:
    return true;
  }
}

auto isEntryRole(const node_settings &Settings) -> bool {
  return Settings.Role != "agent";
}

auto modelNamesForToken(const node_state &State, const std::string &Token)
    -> result<std::vector<std::string>> {
  const auto &Catalogue = *State.Configuration.Current;
  const auto Caller = Catalogue.callerOf(Token);
  if (Caller.empty())
    return failure(result_code::Unauthenticated, "unknown bearer token");
  std::vector<std::string> Names;
  for (const auto Kind : {declaration_kind::Model, declaration_kind::Version,
                          declaration_kind::Adapter})
    for (const auto &[Name, Body] : Catalogue.all(Kind))
      if (Catalogue.mayUseModel(Caller, Name))
        Names.push_back(Name);
  return Names;
}

} // namespace

struct node::details {
  details(const node_settings &Settings, stop_hook OnStop)
      : Settings(Settings), OnStop(std::move(OnStop)),
        Options(toNodeOptions(Settings)),
        Timeline(Options.Self.Name,
                 static_cast<std::size_t>(Settings.TimelineNotes)) {
    Options.Self.Incarnation = newIncarnation();
  }

  node_settings Settings;
  stop_hook OnStop;
  node_options Options;
  hybrid_clock Clock;
  timeline Timeline;
  metrics Metrics;
  std::atomic<bool> Ready{false};
  std::atomic<bool> ShuttingDown{false};
  std::atomic<std::uint64_t> LastCommandId{0};
  std::map<std::uint64_t, std::function<void(answer_command)>> PendingCommands;
  std::mutex CommandMutex;

  std::unique_ptr<node_loop> Loop;
  std::unique_ptr<peer_server> PeerServer;
  std::unique_ptr<peer_server> OperatorServer;
  std::unique_ptr<caller_server> CallerServer;
  std::unique_ptr<peer_client> PeerClient;
  std::unique_ptr<platform_client> PlatformClient;
  std::unique_ptr<target_client> TargetClient;
  std::unique_ptr<thread> Announcer;
  time_point NextInstanceListRead;
  time_point CutCallersAt = NoDeadline; ///< Set when the drain begins.

  auto makeEventSink() -> std::function<void(event)> {
    return [this](event Event) { Loop->postEvent(std::move(Event)); };
  }

  // One overload for each kind of effect.
  auto execute(answer_frame &Effect) -> void {
    Metrics.count("tokens", "", Effect.Frame.Pieces.size());
    CallerServer->execute(Effect);
  }
  auto execute(answer_end &Effect) -> void {
    CallerServer->execute(std::move(Effect));
  }
  auto execute(answer_command &Effect) -> void {
    const std::lock_guard Lock(CommandMutex);
    const auto Found = PendingCommands.find(Effect.Command);
    if (Found == PendingCommands.end())
      return;
    Found->second(Effect);
    PendingCommands.erase(Found);
  }
  auto execute(start_attempt &Effect) -> void { PeerClient->execute(Effect); }
  auto execute(cancel_attempt &Effect) -> void { PeerClient->execute(Effect); }
  auto execute(send_changes &Effect) -> void { PeerClient->execute(Effect); }
  auto execute(fetch_changes &Effect) -> void { PeerClient->execute(Effect); }
  auto execute(send_target_state &Effect) -> void {
    PeerClient->execute(Effect);
  }
  auto execute(table_transact &Effect) -> void {
    PlatformClient->execute(Effect);
  }
  auto execute(table_read &Effect) -> void { PlatformClient->execute(Effect); }
  auto execute(table_range &Effect) -> void { PlatformClient->execute(Effect); }
  auto execute(object_get &Effect) -> void { PlatformClient->execute(Effect); }
  auto execute(object_put &Effect) -> void { PlatformClient->execute(Effect); }
  auto execute(send_frame &Effect) -> void { PeerServer->execute(Effect); }
  auto execute(send_end &Effect) -> void { PeerServer->execute(Effect); }
  auto execute(run_work &Effect) -> void { TargetClient->execute(Effect); }
  auto execute(stop_work &Effect) -> void { TargetClient->execute(Effect); }
  auto execute(send_order &Effect) -> void { TargetClient->execute(Effect); }
  auto execute(read_engine &Effect) -> void { TargetClient->execute(Effect); }
  auto execute(write_note &Effect) -> void {
    auto &Note = Effect.Note;
    if (isLogged(Note.Kind))
      log(log_level::Info, nameOf(Note.Kind),
          {{"request", Note.Request},
           {"target", Note.Target.Text},
           {"change", Note.Change},
           {"detail", Note.Detail}});
    Timeline.append(Clock.tick(), std::move(Note));
  }
  auto execute(observe_metric &Effect) -> void {
    Metrics.observe(Effect.Name, Effect.Label, Effect.Value);
  }
  auto execute(count_metric &Effect) -> void {
    Metrics.count(Effect.Name, Effect.Label);
  }
  auto execute(stop_process &Effect) -> void { OnStop(Effect.Code); }

  auto makePeerHooks() -> peer_hooks;
  auto startListeners() -> void;
  auto startClients() -> void;
  auto startAnnouncer() -> void;
  auto updateAfterBatch(const node_state &State, time_point Now) -> void;
  auto pollInstanceList(time_point Now) -> void;
};

auto node::details::makePeerHooks() -> peer_hooks {
  peer_hooks Hooks;
  Hooks.Sink = makeEventSink();
  Hooks.Push = [this](changes_received Event, auto Reply) {
    Loop->postEvent(std::move(Event));
    Loop->readState([Reply](const node_state &State, time_point) {
      Reply(State.Configuration.Current->currentRevision());
    });
  };
  Hooks.Fetch = [this](revision From, auto Reply) {
    Loop->readState([From, Reply](const node_state &State, time_point) {
      Reply(changesAfter(State.Configuration, From));
    });
  };
  Hooks.SetTargetState = [this](target_state_received Event, auto Reply) {
    Loop->postEvent(Event);
    Loop->readState([Reply](const node_state &State, time_point) {
      Reply(State.Admission.DrainRevision);
    });
  };
  Hooks.Inspect = [this](const report_request &Request, auto Reply) {
    Loop->readState([Request, Reply](const node_state &State, time_point Now) {
      Reply(inspect(State, Request, Now));
    });
  };
  Hooks.Timeline = [this](const note_filter &Filter) {
    return Timeline.select(Filter);
  };
  Hooks.Change = [this](command_arrived Event, auto Reply) {
    Event.Command = ++LastCommandId;
    {
      const std::lock_guard Lock(CommandMutex);
      PendingCommands[Event.Command] = Reply;
    }
    Loop->postEvent(std::move(Event));
  };
  return Hooks;
}

auto node::details::startListeners() -> void {
  const auto &Address = Settings.Address;
  PeerServer = std::make_unique<peer_server>(
      peer_server_options{Address,
                          static_cast<std::uint16_t>(Settings.PeerPort),
                          Settings.PeerToken, true, false},
      Clock, makePeerHooks());
  Options.Self.Address = Address + ":" + std::to_string(PeerServer->port());
  if (!isEntryRole(Settings))
    return;
  OperatorServer = std::make_unique<peer_server>(
      peer_server_options{Address,
                          static_cast<std::uint16_t>(Settings.OperatorPort),
                          Settings.OperatorToken, false, true},
      Clock, makePeerHooks());
  caller_server_options ServerOptions;
  ServerOptions.Address = Address;
  ServerOptions.Port = static_cast<std::uint16_t>(Settings.CallerPort);
  ServerOptions.Threads = static_cast<std::size_t>(Settings.CallerThreads);
  ServerOptions.BodyLimitBytes =
      static_cast<std::size_t>(Settings.BodyLimitKb) * 1024;
  ServerOptions.ReadTimeout = milliseconds(Settings.ReadTimeoutMs);
  ServerOptions.DefaultDeadline = milliseconds(Settings.DefaultDeadlineMs);
  ServerOptions.Incarnation = Options.Self.Incarnation;
  caller_hooks Hooks;
  Hooks.PostEvent = makeEventSink();
  Hooks.IsReady = [this] { return Ready.load(); };
  Hooks.PrintMetrics = [this] { return Metrics.print(); };
  Hooks.ListModels = [this](const std::string &Token) {
    std::promise<result<std::vector<std::string>>> Names;
    Loop->readState([&](const node_state &State, time_point) {
      Names.set_value(modelNamesForToken(State, Token));
    });
    return Names.get_future().get();
  };
  CallerServer =
      std::make_unique<caller_server>(ServerOptions, std::move(Hooks));
}

auto node::details::startClients() -> void {
  PeerClient = std::make_unique<peer_client>(
      peer_client_options{Options.Self.Name, Settings.PeerToken}, Clock,
      makeEventSink());
  platform_options PlatformOptions;
  PlatformOptions.Host = Settings.PlatformHost;
  PlatformOptions.Port = static_cast<std::uint16_t>(Settings.PlatformPort);
  PlatformOptions.Timeout = milliseconds(Settings.PlatformTimeoutMs);
  PlatformClient =
      std::make_unique<platform_client>(PlatformOptions, makeEventSink());
  if (isEntryRole(Settings))
    return;
  target_options TargetOptions;
  TargetOptions.Host = Settings.TargetHost;
  TargetOptions.Port = static_cast<std::uint16_t>(Settings.TargetPort);
  TargetOptions.Slots = static_cast<std::size_t>(Settings.TargetSlots);
  TargetOptions.OrderTimeout = milliseconds(Settings.OrderTimeoutMs);
  TargetClient =
      std::make_unique<target_client>(TargetOptions, makeEventSink());
}

auto node::details::startAnnouncer() -> void {
  Announcer =
      std::make_unique<thread>("announce", ConnectionStackBytes, [this] {
        while (!ShuttingDown.load() &&
               !PlatformClient->registerInstance(Options.Self))
          std::this_thread::sleep_for(AnnounceRetryInterval);
      });
}

auto node::details::updateAfterBatch(const node_state &State, time_point Now)
    -> void {
  Ready = isReady(State) && !ShuttingDown.load();
  const auto &Configuration = State.Configuration;
  Metrics.set("config_revision",
              static_cast<std::int64_t>(
                  Configuration.Current->currentRevision().Value));
  Metrics.set("config_age_ms",
              toMilliseconds(Now - Configuration.InForceSince));
  Metrics.set("open_requests",
              static_cast<std::int64_t>(State.Requests.Open.size()));
  pollInstanceList(Now);
}

auto node::details::pollInstanceList(time_point Now) -> void {
  if (Now < NextInstanceListRead || !isEntryRole(Settings))
    return;
  NextInstanceListRead =
      Now + milliseconds(Settings.PlatformPollMs) * InstanceListPollFactor;
  PlatformClient->readInstances();
}

node::node(const node_settings &Settings, stop_hook OnStop)
    : Details(std::make_unique<details>(Settings, std::move(OnStop))) {
  auto &Node = *Details;
  // Listeners post events to the loop, and executing its effects needs the
  // listeners and clients. So the loop is created first and started last.
  Node.Loop = std::make_unique<node_loop>(
      makeNode(Node.Options, Node.Options.Self.Incarnation.Value),
      [this](effect &Effect) {
        std::visit([this](auto &TypedEffect) { Details->execute(TypedEffect); },
                   Effect);
      },
      [this](const node_state &State, time_point Now) {
        Details->updateAfterBatch(State, Now);
      });
  Node.startListeners();
  Node.startClients();
  Node.Loop->start();
  Node.startAnnouncer();
  log(log_level::Info, "started",
      {{"role", Settings.Role},
       {"peer", Node.Options.Self.Address},
       {"caller_port", std::to_string(callerPort())},
       {"operator_port", std::to_string(operatorPort())}});
}

node::~node() {
  auto &Node = *Details;
  Node.ShuttingDown = true;
  Node.Announcer.reset();
  // The loop answers open calls, so it is stopped after the listeners. Its
  // effects use listeners and clients, so those are destroyed after the stop.
  if (Node.CallerServer)
    Node.CallerServer->stopBy(
        std::min(Node.CutCallersAt,
                 process_clock::now() + callerCutTimeout(Node.Settings)));
  if (Node.OperatorServer)
    Node.OperatorServer->stop();
  Node.PeerServer->stop();
  Node.Loop->stop();
}

auto node::drain() -> void {
  auto &Node = *Details;
  Node.CutCallersAt =
      std::min(Node.CutCallersAt,
               process_clock::now() + callerCutTimeout(Node.Settings));
  // The announcement may wait for the platform's store, so it comes last.
  Node.Loop->postEvent(drain_requested{});
  if (Node.CallerServer)
    Node.CallerServer->beginDrain();
  auto Record = Node.Options.Self;
  Record.Leaving = true;
  // The instance list is the slowest way for others to learn of the drain, so a
  // failed announcement is ignored.
  (void)Node.PlatformClient->registerInstance(Record);
}

auto node::callerPort() const -> std::uint16_t {
  return Details->CallerServer ? Details->CallerServer->port() : 0;
}

auto node::peerPort() const -> std::uint16_t {
  return Details->PeerServer->port();
}

auto node::operatorPort() const -> std::uint16_t {
  return Details->OperatorServer ? Details->OperatorServer->port() : 0;
}

} // namespace limpetbridge
