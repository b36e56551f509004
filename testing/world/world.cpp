#include "world.h"

#include "core/store_keys.h"
#include "core/transcript.h"

#include <algorithm>

namespace limpetbridge {

namespace {

constexpr std::uint64_t EngineBytes = 100'000'000;
constexpr std::uint32_t Tokens = 4;
constexpr const char *Token = "caller-token";
constexpr auto RequestTime = seconds(40);

/// Six models of 40 MB on two engines of 100 MB, so that they must be swapped.
constexpr const char *Declarations = R"(
[importance quick]
rank = 1
[model m0]
memory_mb = 40
load_ms = 50
importance = quick
[model m1]
memory_mb = 40
load_ms = 50
[model m2]
memory_mb = 40
load_ms = 50
[model m3]
memory_mb = 60
load_ms = 50
[adapter a4]
model = m1
memory_mb = 10
[adapter a5]
model = m2
memory_mb = 10
[service ledger]
operations = book
non_idempotent = book
[caller c]
token = caller-token
models = *
services = *
)";

auto modelName(std::size_t Model) -> std::string {
  const auto Index = Model % WorldModels;
  return (Index < 4 ? "m" : "a") + std::to_string(Index);
}

auto setFieldOf(const std::string &Model, const std::string &Value)
    -> operation {
  return {operation_verb::Set,
          declaration_kind::Model,
          Model,
          {{"load_ms", Value}}};
}

} // namespace

world::world(std::uint64_t Seed, mutation Mutation, bool Record)
    : Mutation(Mutation), Record(Record), Seed(Seed) {
  const change First{change_id("first"),
                     {1},
                     parseDeclarations(Declarations, "world").value()};
  Table.transact({}, {{std::string(store_keys::Head), "1"},
                      {store_keys::change({1}), encodeChange(First)},
                      {store_keys::changeId(First.Id), "1"}});
  addNode(instance_role::Entry, "e0", target_kind::Engine, false);
  addNode(instance_role::Entry, "e1", target_kind::Engine, false);
  addNode(instance_role::Agent, "g0", target_kind::Engine, true);
  addNode(instance_role::Agent, "g1", target_kind::Engine, false);
  addNode(instance_role::Agent, "s0", target_kind::Service, false);
  addNode(instance_role::Agent, "s1", target_kind::Service, false);
  refreshList();
  for (int Round = 0; Round < 60; ++Round)
    settleRound();
}

auto world::addNode(instance_role Role, const std::string &Name,
                    target_kind Kind, bool ChecksFence) -> node_index {
  node_options Options;
  Options.Self.Name = instance_name(Name);
  Options.Self.Role = Role;
  Options.Self.DataCentre = data_centre_name(Name.back() == '0' ? "d0" : "d1");
  Options.Self.Address = Name;
  Options.Self.Kind = Kind;
  if (Kind == target_kind::Service)
    Options.Self.Service = service_name("ledger");
  Options.Self.Memory = {EngineBytes};
  Options.Self.Incarnation = {++LastIncarnation};
  Options.Agent.Kind = Kind;
  Options.Agent.Memory = {EngineBytes};
  Options.Agent.ChecksFence = ChecksFence;
  Options.Agent.Slots = 3;
  Options.Agent.ShortSlots = 1;
  Options.Agent.QueueLimit = 4;
  Options.Agent.OrderTimeout = seconds(2);
  Options.Entry.BalancerWait = milliseconds(100);
  Options.DrainTimeout = DrainTimeout;
  Options.Mutation = Mutation;
  const auto Index = Nodes.size();
  Nodes.push_back({makeNode(Options, Seed + Index), true, false, {}, {}});
  if (Record)
    Nodes.back().Session = encodeStart(Options, Seed + Index) + "\n";
  if (Role == instance_role::Agent && Kind == target_kind::Engine)
    Engines.try_emplace(target_name(Name), EngineBytes, ChecksFence,
                        incarnation{1});
  Current[Options.Self.Name] = Index;
  Listed[Options.Self.Name] = Options.Self;
  return Index;
}

auto world::isEntryNode(node_index Index) const -> bool {
  return Nodes[Index].State.isEntry();
}

auto world::pickEntry(std::size_t Index) -> node_index {
  return Current.at(instance_name(Index % 2 == 0 ? "e0" : "e1"));
}

auto world::nodeNamed(const instance_name &Name) -> node_index {
  return Current.at(Name);
}

auto world::feed(node_index Index, const event &Event) -> void {
  auto &Node = Nodes[Index];
  if (!Node.Alive)
    return;
  if (Node.Paused) {
    Node.Inbox.push_back(Event);
    return;
  }
  const auto Effects = reduce(Node.State, Event, Now);
  if (Record) {
    Node.Session += encodeEvent(Event, Now) + "\n";
    for (const auto &Effect : Effects)
      Node.Session += encodeEffect(Effect) + "\n";
  }
  for (const auto &Effect : Effects) {
    watch(Index, Effect);
    std::visit([&](const auto &Each) { perform(Index, Each); }, Effect);
  }
  if (Node.State.isEntry())
    Oracle.inForce(Node.State.Options.Self.Name,
                   Node.State.Options.Self.Incarnation,
                   *Node.State.Configuration.Current);
}

/// What an entry or agent does against its own better knowledge.
auto world::watch(node_index Index, const effect &Effect) -> void {
  const auto &State = Nodes[Index].State;
  const auto *Attempt = std::get_if<start_attempt>(&Effect);
  if (Attempt == nullptr)
    return;
  const auto Member = State.Membership.Members.find(Attempt->Agent);
  const auto *Declared = State.Configuration.Current->find<target_declaration>(
      Attempt->Agent.Text);
  const bool Leaves =
      (Member != State.Membership.Members.end() &&
       (Member->second.Record.Leaving || Member->second.ReportedDraining)) ||
      (Declared != nullptr && Declared->Drained);
  if (Leaves)
    Oracle.offeredToLeaving(target_name(Attempt->Agent.Text));
}

auto world::takeMessage(std::size_t Index) -> message {
  const auto At = static_cast<std::ptrdiff_t>(Index % Queue.size());
  auto Message = std::move(Queue[static_cast<std::size_t>(At)]);
  Queue.erase(Queue.begin() + At);
  return Message;
}

auto world::deliver(std::size_t Index) -> void {
  if (!Queue.empty())
    takeMessage(Index).Deliver();
}

auto world::lose(std::size_t Index) -> void {
  if (Queue.empty())
    return;
  const auto Message = takeMessage(Index);
  if (Message.Lose)
    Message.Lose();
}

auto world::timeOut(std::size_t Index) -> void {
  if (Queue.empty())
    return;
  const auto &Message = Queue[Index % Queue.size()];
  if (!Message.TimeOut)
    return;
  const auto Taken = takeMessage(Index);
  Taken.TimeOut();
}

auto world::repeat(std::size_t Index) -> void {
  if (Queue.empty() || !Queue[Index % Queue.size()].MayRepeat)
    return;
  auto &Message = Queue[Index % Queue.size()];
  // What was delivered once was sent: the sender can no longer be told that
  // there was no connection.
  if (Message.TimeOut)
    Message.Lose = Message.TimeOut;
  const auto Deliver = Message.Deliver;
  Deliver();
}

auto world::deliverAll() -> void {
  constexpr std::size_t Most = 20'000;
  for (std::size_t Count = 0; !Queue.empty() && Count < Most; ++Count)
    deliver(0);
}

auto world::indexOf(const std::string &Label) const -> std::size_t {
  const auto Found =
      std::find_if(Queue.begin(), Queue.end(), [&](const message &Each) {
        return Each.Label.starts_with(Label);
      });
  return static_cast<std::size_t>(Found - Queue.begin());
}

auto world::loseFirst(const std::string &Label) -> bool {
  const auto Index = indexOf(Label);
  if (Index == Queue.size())
    return false;
  lose(Index);
  return true;
}

auto world::timeOutFirst(const std::string &Label) -> bool {
  const auto Index = indexOf(Label);
  if (Index == Queue.size())
    return false;
  timeOut(Index);
  return true;
}

auto world::sessionsOf(const std::string &Name) const
    -> std::vector<std::string> {
  std::vector<std::string> Sessions;
  for (const auto &Node : Nodes)
    if (Node.State.Options.Self.Name.Text == Name)
      Sessions.push_back(Node.Session);
  return Sessions;
}

auto world::advance(duration Span) -> void {
  Now += Span;
  for (node_index Index = 0; Index < Nodes.size(); ++Index)
    feed(Index, tick{});
}

/// A request that the caller has not filled in yet.
auto world::newRequest(node_index Entry) -> request_arrived {
  request_arrived Event;
  Event.Request = {Nodes[Entry].State.Options.Self.Incarnation, ++LastCounter};
  Event.Token = Token;
  Event.Deadline = Now + RequestTime;
  return Event;
}

auto world::ask(node_index Entry, const request_arrived &Event) -> request_id {
  if (!Nodes[Entry].Alive)
    return Event.Request;
  Oracle.asked(Event);
  feed(Entry, Event);
  return Event.Request;
}

auto world::requestModel(std::size_t Entry, std::size_t Model) -> request_id {
  const auto Index = pickEntry(Entry);
  auto Event = newRequest(Index);
  Event.Model = modelName(Model);
  Event.Body = shareText("prompt " + std::to_string(LastCounter));
  Event.PromptTokens = 10;
  Event.MaxTokens = Tokens;
  return ask(Index, Event);
}

auto world::requestBooking(std::size_t Entry, std::size_t Key) -> request_id {
  constexpr std::size_t Keys = 4;
  const auto Index = pickEntry(Entry);
  auto Event = newRequest(Index);
  Event.Kind = work_kind::Call;
  Event.Service = service_name("ledger");
  Event.Operation = "book";
  if (Key % Keys != 0)
    Event.Key = idempotency_key("key-" + std::to_string(Key));
  Event.Body = shareText("booking " + std::to_string(Key));
  return ask(Index, Event);
}

auto world::command(std::size_t Entry, std::size_t Kind) -> void {
  constexpr std::size_t Kinds = 5;
  const auto Index = pickEntry(Entry);
  command_arrived Event;
  Event.Command = ++LastCommand;
  Event.Id = change_id("change-" + std::to_string(++LastChange));
  Event.Deadline = Now + CommandTime;
  const bool Drain = Kind % Kinds < 2;
  if (Drain)
    Event.Operations = {{operation_verb::Declare,
                         declaration_kind::Target,
                         Kind % 3 == 0 ? "g0" : "s0",
                         {{"drained", Kind % Kinds == 0 ? "true" : "false"}}}};
  else
    Event.Operations = {setFieldOf("m" + std::to_string(Kind % 4),
                                   std::to_string(Kind % 50 + 1))};
  if (Kind % 7 == 0)
    Event.IfRevision =
        Nodes[Index].State.Configuration.Current->currentRevision();
  if (!Nodes[Index].Alive)
    return;
  Commands[Event.Command] = Event.Id;
  feed(Index, Event);
}

auto world::breakStreams(node_index Agent) -> void {
  for (const auto &[Id, Stream] : Streams) {
    if (Stream.Agent != Agent)
      continue;
    const auto Entry = Stream.Entry;
    const auto Broken =
        connectionEnded(Id, run_outcome::Unknown, result_code::OutcomeUnknown);
    send({"stream broke " + toString(Id),
          [this, Entry, Broken] { feed(Entry, Broken); }, nullptr, nullptr,
          false});
  }
  std::erase_if(Streams,
                [&](const auto &Each) { return Each.second.Agent == Agent; });
}

auto world::crash(std::size_t Node) -> void {
  const auto Names =
      std::vector<std::string>{"e0", "e1", "g0", "g1", "s0", "s1"};
  const instance_name Name(Names[Node % Names.size()]);
  const auto Index = Current.at(Name);
  auto &Dying = Nodes[Index];
  const auto Options = Dying.State.Options;
  Dying.Alive = false;
  Dying.Inbox.clear();
  if (Options.Self.Role == instance_role::Entry) {
    Oracle.entryDied(Options.Self.Incarnation);
    for (auto Each = Streams.begin(); Each != Streams.end();) {
      if (Each->second.Entry != Index) {
        ++Each;
        continue;
      }
      const auto Agent = Each->second.Agent;
      const work_cancelled Gone{Each->first};
      send({"entry gone", [this, Agent, Gone] { feed(Agent, Gone); }, nullptr,
            nullptr, false});
      Each = Streams.erase(Each);
    }
  }
  breakStreams(Index);
  addNode(Options.Self.Role, Name.Text, Options.Self.Kind,
          Options.Agent.ChecksFence);
}

auto world::replacePaused(std::size_t Agent) -> void {
  const auto Names = std::vector<std::string>{"g0", "g1", "s0", "s1"};
  const instance_name Name(Names[Agent % Names.size()]);
  const auto Index = Current.at(Name);
  if (!Nodes[Index].Alive || Nodes[Index].Paused)
    return;
  Nodes[Index].Paused = true;
  PausedAgents.push_back(Index);
  const auto Options = Nodes[Index].State.Options;
  addNode(Options.Self.Role, Name.Text, Options.Self.Kind,
          Options.Agent.ChecksFence);
}

auto world::resumePaused() -> void {
  if (PausedAgents.empty())
    return;
  const auto Index = PausedAgents.back();
  PausedAgents.pop_back();
  Nodes[Index].Paused = false;
  const auto Inbox = std::exchange(Nodes[Index].Inbox, {});
  for (const auto &Event : Inbox)
    feed(Index, Event);
}

auto world::drain(std::size_t Node) -> void {
  const auto Names = std::vector<std::string>{"e0", "g0", "g1", "s0"};
  const instance_name Name(Names[Node % Names.size()]);
  const auto Index = Current.at(Name);
  if (!Nodes[Index].Alive)
    return;
  Listed[Name].Leaving = true;
  feed(Index, drain_requested{});
}

auto world::setDrainTimeout(duration Timeout) -> void {
  DrainTimeout = Timeout;
  for (auto &Node : Nodes)
    Node.State.Options.DrainTimeout = Timeout;
}

auto world::refreshList() -> void {
  instances_listed Event;
  for (const auto &[Name, Record] : Listed)
    Event.Instances.push_back(Record);
  for (const char *Entry : {"e0", "e1"}) {
    const auto Index = Current.at(instance_name(Entry));
    send({"list", [this, Index, Event] { feed(Index, Event); }, nullptr,
          nullptr, true});
  }
}

} // namespace limpetbridge
