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

#include <atomic>
#include <future>
#include <map>

namespace limpetbridge {

namespace {

constexpr auto AnnounceRetry = std::chrono::milliseconds(500);
constexpr auto ListPollFactor = 2; ///< The list is read less often than head.

/// Notes that are worth a log line; the rest stay on the time line.
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

auto modelsOf(const node_state &State, const std::string &Token)
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
  details(const node_settings &Settings, stop_hook Stopped)
      : Settings(Settings), Stopped(std::move(Stopped)),
        Options(toNodeOptions(Settings)),
        Notes(Options.Self.Name,
              static_cast<std::size_t>(Settings.TimelineNotes)) {
    Options.Self.Incarnation = newIncarnation();
  }

  node_settings Settings;
  stop_hook Stopped;
  node_options Options;
  hybrid_clock Clock;
  timeline Notes;
  metrics Metrics;
  std::atomic<bool> Ready{false};
  std::atomic<bool> Closing{false};
  std::atomic<std::uint64_t> LastCommand{0};
  std::map<std::uint64_t, std::function<void(answer_command)>> Commands;
  std::mutex CommandMutex;

  std::unique_ptr<node_loop> Loop;
  std::unique_ptr<peer_server> Peers;
  std::unique_ptr<peer_server> Operators;
  std::unique_ptr<caller_server> Callers;
  std::unique_ptr<peer_client> Client;
  std::unique_ptr<platform_client> Platform;
  std::unique_ptr<target_client> Target;
  std::unique_ptr<thread> Announcer;
  time_point ListReadAt;

  auto sink() -> std::function<void(event)> {
    return [this](event Event) { Loop->post(std::move(Event)); };
  }

  // Effects, one executor each.
  auto execute(answer_frame &Effect) -> void {
    Metrics.count("tokens", "", Effect.Frame.Pieces.size());
    Callers->execute(Effect);
  }
  auto execute(answer_end &Effect) -> void {
    Callers->execute(std::move(Effect));
  }
  auto execute(answer_command &Effect) -> void {
    const std::lock_guard Lock(CommandMutex);
    const auto Found = Commands.find(Effect.Command);
    if (Found == Commands.end())
      return;
    Found->second(Effect);
    Commands.erase(Found);
  }
  auto execute(start_attempt &Effect) -> void { Client->execute(Effect); }
  auto execute(cancel_attempt &Effect) -> void { Client->execute(Effect); }
  auto execute(send_changes &Effect) -> void { Client->execute(Effect); }
  auto execute(fetch_changes &Effect) -> void { Client->execute(Effect); }
  auto execute(send_target_state &Effect) -> void { Client->execute(Effect); }
  auto execute(table_transact &Effect) -> void { Platform->execute(Effect); }
  auto execute(table_read &Effect) -> void { Platform->execute(Effect); }
  auto execute(table_range &Effect) -> void { Platform->execute(Effect); }
  auto execute(object_get &Effect) -> void { Platform->execute(Effect); }
  auto execute(object_put &Effect) -> void { Platform->execute(Effect); }
  auto execute(send_frame &Effect) -> void { Peers->execute(Effect); }
  auto execute(send_end &Effect) -> void { Peers->execute(Effect); }
  auto execute(run_work &Effect) -> void { Target->execute(Effect); }
  auto execute(stop_work &Effect) -> void { Target->execute(Effect); }
  auto execute(send_order &Effect) -> void { Target->execute(Effect); }
  auto execute(read_engine &Effect) -> void { Target->execute(Effect); }
  auto execute(write_note &Effect) -> void {
    auto &Note = Effect.Note;
    if (isLogged(Note.Kind))
      log(log_level::Info, nameOf(Note.Kind),
          {{"request", Note.Request},
           {"target", Note.Target.Text},
           {"change", Note.Change},
           {"detail", Note.Detail}});
    Notes.append(Clock.tick(), std::move(Note));
  }
  auto execute(observe_metric &Effect) -> void {
    Metrics.observe(Effect.Name, Effect.Label, Effect.Value);
  }
  auto execute(count_metric &Effect) -> void {
    Metrics.count(Effect.Name, Effect.Label);
  }
  auto execute(stop_process &Effect) -> void { Stopped(Effect.Code); }

  auto makePeerHooks() -> peer_hooks;
  auto startListeners() -> void;
  auto startClients() -> void;
  auto startAnnouncer() -> void;
  auto afterBatch(const node_state &State, time_point Now) -> void;
  auto pollList(time_point Now) -> void;
};

auto node::details::makePeerHooks() -> peer_hooks {
  peer_hooks Hooks;
  Hooks.Sink = sink();
  Hooks.Push = [this](changes_received Event, auto Reply) {
    Loop->post(std::move(Event));
    Loop->visit([Reply](const node_state &State, time_point) {
      Reply(State.Configuration.Current->currentRevision());
    });
  };
  Hooks.Fetch = [this](revision From, auto Reply) {
    Loop->visit([From, Reply](const node_state &State, time_point) {
      Reply(changesAfter(State.Configuration, From));
    });
  };
  Hooks.SetTargetState = [this](target_state_received Event, auto Reply) {
    Loop->post(Event);
    Loop->visit([Reply](const node_state &State, time_point) {
      Reply(State.Admission.DrainRevision);
    });
  };
  Hooks.Inspect = [this](const report_request &Request, auto Reply) {
    Loop->visit([Request, Reply](const node_state &State, time_point Now) {
      Reply(inspect(State, Request, Now));
    });
  };
  Hooks.Timeline = [this](const note_filter &Filter) {
    return Notes.select(Filter);
  };
  Hooks.Change = [this](command_arrived Event, auto Reply) {
    Event.Command = ++LastCommand;
    {
      const std::lock_guard Lock(CommandMutex);
      Commands[Event.Command] = Reply;
    }
    Loop->post(std::move(Event));
  };
  return Hooks;
}

auto node::details::startListeners() -> void {
  const auto &Address = Settings.Address;
  Peers = std::make_unique<peer_server>(
      peer_server_options{Address,
                          static_cast<std::uint16_t>(Settings.PeerPort),
                          Settings.PeerToken, true, false},
      Clock, makePeerHooks());
  Options.Self.Address = Address + ":" + std::to_string(Peers->port());
  if (!isEntryRole(Settings))
    return;
  Operators = std::make_unique<peer_server>(
      peer_server_options{Address,
                          static_cast<std::uint16_t>(Settings.OperatorPort),
                          Settings.OperatorToken, false, true},
      Clock, makePeerHooks());
  caller_server_options Callers;
  Callers.Address = Address;
  Callers.Port = static_cast<std::uint16_t>(Settings.CallerPort);
  Callers.Threads = static_cast<std::size_t>(Settings.CallerThreads);
  Callers.BodyLimitBytes =
      static_cast<std::size_t>(Settings.BodyLimitKb) * 1024;
  Callers.ReadTimeout = milliseconds(Settings.ReadTimeoutMs);
  Callers.DefaultDeadline = milliseconds(Settings.DefaultDeadlineMs);
  Callers.Self = Options.Self.Incarnation;
  caller_hooks Hooks;
  Hooks.Post = sink();
  Hooks.Ready = [this] { return Ready.load(); };
  Hooks.Metrics = [this] { return Metrics.print(); };
  Hooks.Models = [this](const std::string &Token) {
    std::promise<result<std::vector<std::string>>> Names;
    Loop->visit([&](const node_state &State, time_point) {
      Names.set_value(modelsOf(State, Token));
    });
    return Names.get_future().get();
  };
  this->Callers = std::make_unique<caller_server>(Callers, std::move(Hooks));
}

auto node::details::startClients() -> void {
  Client = std::make_unique<peer_client>(
      peer_client_options{Options.Self.Name, Settings.PeerToken}, Clock,
      sink());
  platform_options Chosen;
  Chosen.Host = Settings.PlatformHost;
  Chosen.Port = static_cast<std::uint16_t>(Settings.PlatformPort);
  Chosen.Timeout = milliseconds(Settings.PlatformTimeoutMs);
  Platform = std::make_unique<platform_client>(Chosen, sink());
  if (isEntryRole(Settings))
    return;
  target_options Beside;
  Beside.Host = Settings.TargetHost;
  Beside.Port = static_cast<std::uint16_t>(Settings.TargetPort);
  Beside.Slots = static_cast<std::size_t>(Settings.TargetSlots);
  Beside.OrderTimeout = milliseconds(Settings.OrderTimeoutMs);
  Target = std::make_unique<target_client>(Beside, sink());
}

auto node::details::startAnnouncer() -> void {
  Announcer =
      std::make_unique<thread>("announce", ConnectionStackBytes, [this] {
        while (!Closing.load() && !Platform->registerInstance(Options.Self))
          std::this_thread::sleep_for(AnnounceRetry);
      });
}

auto node::details::afterBatch(const node_state &State, time_point Now)
    -> void {
  Ready = isReady(State) && !Closing.load();
  const auto &Configuration = State.Configuration;
  Metrics.set("config_revision",
              static_cast<std::int64_t>(
                  Configuration.Current->currentRevision().Value));
  Metrics.set("config_age_ms",
              toMilliseconds(Now - Configuration.InForceSince));
  Metrics.set("open_requests",
              static_cast<std::int64_t>(State.Requests.Open.size()));
  pollList(Now);
}

auto node::details::pollList(time_point Now) -> void {
  if (Now < ListReadAt || !isEntryRole(Settings))
    return;
  ListReadAt = Now + milliseconds(Settings.PlatformPollMs) * ListPollFactor;
  Platform->readInstances();
}

node::node(const node_settings &Settings, stop_hook Stopped)
    : Details(std::make_unique<details>(Settings, std::move(Stopped))) {
  auto &Of = *Details;
  // The listeners post to the loop, and its effects need the clients: the
  // loop is made first and started last.
  Of.Loop = std::make_unique<node_loop>(
      makeNode(Of.Options, Of.Options.Self.Incarnation.Value),
      [this](effect &Effect) {
        std::visit([this](auto &Each) { Details->execute(Each); }, Effect);
      },
      [this](const node_state &State, time_point Now) {
        Details->afterBatch(State, Now);
      });
  Of.startListeners();
  Of.startClients();
  Of.Loop->start();
  Of.startAnnouncer();
  log(log_level::Info, "started",
      {{"role", Settings.Role},
       {"peer", Of.Options.Self.Address},
       {"caller_port", std::to_string(callerPort())},
       {"operator_port", std::to_string(operatorPort())}});
}

node::~node() {
  auto &Of = *Details;
  Of.Closing = true;
  Of.Announcer.reset();
  // Open calls are answered by the loop, so it ends after the listeners; its
  // effects need listeners and clients, so those are destroyed after it.
  if (Of.Callers)
    Of.Callers->stop();
  if (Of.Operators)
    Of.Operators->stop();
  Of.Peers->stop();
  Of.Loop->stop();
}

auto node::drain() -> void {
  Details->Ready = false;
  auto Leaving = Details->Options.Self;
  Leaving.Leaving = true;
  // The list is only the slowest way to learn of it; an error changes nothing.
  (void)Details->Platform->registerInstance(Leaving);
  Details->Loop->post(drain_requested{});
}

auto node::callerPort() const -> std::uint16_t {
  return Details->Callers ? Details->Callers->port() : 0;
}

auto node::peerPort() const -> std::uint16_t { return Details->Peers->port(); }

auto node::operatorPort() const -> std::uint16_t {
  return Details->Operators ? Details->Operators->port() : 0;
}

} // namespace limpetbridge
