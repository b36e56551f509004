#include "world.h"

#include "core/store_keys.h"
#include "core/transcript.h"

#include <algorithm>

namespace limpetbridge {

namespace {

constexpr std::uint64_t EngineBytes = 100'000'000;
constexpr std::uint32_t Tokens = 4;
constexpr std::uint32_t PiecesAFrame = 2;
constexpr const char *Token = "caller-token";
constexpr std::size_t ModelCount = 6;
constexpr auto RequestTime = seconds(40);
constexpr auto CommandTime = seconds(20);
constexpr std::uint32_t StatusOk = 200;

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
  const auto Index = Model % ModelCount;
  return (Index < 4 ? "m" : "a") + std::to_string(Index);
}

auto ended(const attempt_id &Id, run_outcome Outcome, result_code Code)
    -> attempt_ended {
  attempt_ended End;
  End.Attempt = Id;
  End.Outcome = Outcome;
  End.Code = Code;
  End.Detail = "connection";
  return End;
}

auto targetEnded(const attempt_id &Id, target_end End) -> target_ended {
  target_ended Ended;
  Ended.Attempt = Id;
  Ended.End = End;
  return Ended;
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
       (Member->second.Record.Leaving || Member->second.LeftByWord)) ||
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

auto world::requestModel(std::size_t Entry, std::size_t Model) -> request_id {
  const auto Index = pickEntry(Entry);
  request_arrived Event;
  Event.Request = {Nodes[Index].State.Options.Self.Incarnation, ++LastCounter};
  Event.Token = Token;
  Event.Model = modelName(Model);
  Event.Body = shareText("prompt " + std::to_string(LastCounter));
  Event.PromptTokens = 10;
  Event.MaxTokens = Tokens;
  Event.Deadline = Now + RequestTime;
  if (!Nodes[Index].Alive)
    return Event.Request;
  Oracle.asked(Event);
  feed(Index, Event);
  return Event.Request;
}

auto world::requestBooking(std::size_t Entry, std::size_t Key) -> request_id {
  constexpr std::size_t Keys = 4;
  const auto Index = pickEntry(Entry);
  request_arrived Event;
  Event.Request = {Nodes[Index].State.Options.Self.Incarnation, ++LastCounter};
  Event.Token = Token;
  Event.Kind = work_kind::Call;
  Event.Service = service_name("ledger");
  Event.Operation = "book";
  if (Key % Keys != 0)
    Event.Key = idempotency_key("key-" + std::to_string(Key));
  Event.Body = shareText("booking " + std::to_string(Key));
  Event.Deadline = Now + RequestTime;
  if (!Nodes[Index].Alive)
    return Event.Request;
  Oracle.asked(Event);
  feed(Index, Event);
  return Event.Request;
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
        ended(Id, run_outcome::Unknown, result_code::OutcomeUnknown);
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

// Effects.

auto world::perform(node_index /*From*/, const answer_frame &Effect) -> void {
  Oracle.delivered(Effect);
}

auto world::perform(node_index /*From*/, const answer_end &Effect) -> void {
  Oracle.ended(Effect);
}

auto world::perform(node_index From, const start_attempt &Effect) -> void {
  const auto Id = Effect.Offer.Attempt;
  const auto Name = Effect.Agent;
  const auto Offer = Effect.Offer;
  // A connection leads to one process: a repeat goes where the first went.
  const auto Bound = std::make_shared<std::optional<node_index>>();
  const auto Deliver = [this, From, Name, Id, Offer, Bound] {
    const auto Agent = Bound->value_or(nodeNamed(Name));
    *Bound = Agent;
    Streams[Id] = {From, Agent};
    const bool Leaving = Nodes[Agent].State.Drain.Draining;
    const auto Before = Nodes[Agent].State.Admission.Works.contains(Id);
    feed(Agent, Offer);
    const auto &Works = Nodes[Agent].State.Admission.Works;
    if (Leaving && !Before && Works.contains(Id))
      Oracle.ranAfterLeaving(target_name(Name.Text));
  };
  const auto Unreachable =
      ended(Id, run_outcome::NotRun, result_code::TargetUnreachable);
  const auto Broken =
      ended(Id, run_outcome::Unknown, result_code::OutcomeUnknown);
  send({"offer " + toString(Id) + " to " + Name.Text, Deliver,
        [this, From, Unreachable] { feed(From, Unreachable); },
        [this, From, Broken, Deliver] {
          feed(From, Broken);
          send({"late offer", Deliver, nullptr, nullptr, false});
        },
        // A stream of gRPC never repeats its request; agents guard against it
        // for work that must not run twice, and only for that.
        Offer.Work.runsAtMostOnce()});
}

auto world::perform(node_index From, const cancel_attempt &Effect) -> void {
  const auto Stream = Streams.find(Effect.Attempt);
  if (Stream == Streams.end() || Stream->second.Entry != From)
    return;
  const auto Agent = Stream->second.Agent;
  const work_cancelled Cancel{Effect.Attempt};
  Streams.erase(Stream);
  send({"cancel " + toString(Effect.Attempt),
        [this, Agent, Cancel] { feed(Agent, Cancel); }, nullptr, nullptr,
        true});
}

auto world::applyStore(node_index From, ticket Ticket,
                       std::function<table_replied()> Execute) -> void {
  const auto Reply = [this, From, Ticket](table_replied Event) {
    Event.Ticket = Ticket;
    feed(From, Event);
  };
  const auto NoAnswer = [Reply] { Reply({{}, store_status::NoAnswer, {}}); };
  send({"store request",
        [this, Reply, Execute, NoAnswer] {
          if (StoreDown) {
            Reply({{}, store_status::Refused, {}});
            return;
          }
          const auto Event = Execute();
          send({"store reply", [Reply, Event] { Reply(Event); }, NoAnswer,
                nullptr, false});
        },
        NoAnswer,
        [this, NoAnswer, Execute] {
          NoAnswer();
          send({"late store request", [Execute] { Execute(); }, nullptr,
                nullptr, false});
        },
        false});
}

auto world::perform(node_index From, const table_transact &Effect) -> void {
  applyStore(From, Effect.Ticket, [this, Effect] {
    return Table.transact(Effect.Conditions, Effect.Writes);
  });
}

auto world::perform(node_index From, const table_read &Effect) -> void {
  applyStore(From, Effect.Ticket, [this, Effect] {
    return table_replied{{}, store_status::Applied, Table.read(Effect.Keys)};
  });
}

auto world::perform(node_index From, const table_range &Effect) -> void {
  applyStore(From, Effect.Ticket, [this, Effect] {
    return table_replied{{},
                         store_status::Applied,
                         Table.range(Effect.Prefix, Effect.From, Effect.Limit)};
  });
}

auto world::perform(node_index From, const object_get &Effect) -> void {
  const auto Reply = [this, From, Effect](store_status Status) {
    const auto Found = Objects.find(Effect.Key);
    const bool Has = Status == store_status::Applied && Found != Objects.end();
    feed(From, object_replied{Effect.Ticket, Status, Has,
                              Has ? Found->second : std::string()});
  };
  send({"object get",
        [this, Reply] {
          Reply(StoreDown ? store_status::Refused : store_status::Applied);
        },
        [Reply] { Reply(store_status::NoAnswer); }, nullptr, false});
}

auto world::perform(node_index From, const object_put &Effect) -> void {
  send({"object put",
        [this, Effect] {
          if (!StoreDown)
            Objects[Effect.Key] = Effect.Value;
        },
        nullptr, nullptr, false});
  (void)From;
}

auto world::perform(node_index From, const send_changes &Effect) -> void {
  const auto Name = Nodes[From].State.Options.Self.Name;
  send({"changes to " + Effect.To.Text,
        [this, From, Name, Effect] {
          const auto To = nodeNamed(Effect.To);
          feed(To, changes_received{Name, Effect.Changes});
          if (!Nodes[To].Alive || Nodes[To].Paused)
            return;
          const changes_acknowledged Ack{
              Effect.To,
              Nodes[To].State.Configuration.Current->currentRevision()};
          send({"ack", [this, From, Ack] { feed(From, Ack); }, nullptr, nullptr,
                true});
        },
        nullptr, nullptr, true});
}

auto world::perform(node_index From, const fetch_changes &Effect) -> void {
  send({"fetch from " + Effect.To.Text,
        [this, From, Effect] {
          const auto Found = Current.find(Effect.To);
          if (Found == Current.end() || !Nodes[Found->second].Alive)
            return;
          const changes_received Event{
              Effect.To, changesAfter(Nodes[Found->second].State.Configuration,
                                      Effect.From)};
          send({"fetched", [this, From, Event] { feed(From, Event); }, nullptr,
                nullptr, true});
        },
        nullptr, nullptr, true});
}

auto world::perform(node_index From, const send_target_state &Effect) -> void {
  send({"target state",
        [this, Effect] { feed(nodeNamed(Effect.To), Effect.State); }, nullptr,
        nullptr, true});
  (void)From;
}

auto world::perform(node_index /*From*/, const answer_command &Effect) -> void {
  const auto Id = Commands.at(Effect.Command);
  if (Effect.Code == result_code::Ok)
    Oracle.accepted(Id, Effect.Revision);
  else if (Effect.Code != result_code::ChangeOutcomeUnknown)
    Oracle.refused(Id);
}

auto world::perform(node_index From, const send_frame &Effect) -> void {
  const auto Stream = Streams.find(Effect.Attempt);
  if (Stream == Streams.end() || Stream->second.Agent != From)
    return;
  const auto Entry = Stream->second.Entry;
  const attempt_progressed Event{Effect.Attempt, Effect.Frame};
  send({"frame " + toString(Effect.Attempt),
        [this, Entry, Event] { feed(Entry, Event); }, nullptr, nullptr, true});
}

auto world::perform(node_index From, const send_end &Effect) -> void {
  const auto Stream = Streams.find(Effect.End.Attempt);
  if (Stream == Streams.end() || Stream->second.Agent != From)
    return;
  const auto Entry = Stream->second.Entry;
  const auto End = Effect.End;
  const auto Broken =
      ended(End.Attempt, run_outcome::Unknown, result_code::OutcomeUnknown);
  Streams.erase(Stream);
  send({"end " + toString(End.Attempt),
        [this, Entry, End] { feed(Entry, End); },
        [this, Entry, Broken] { feed(Entry, Broken); }, nullptr, true});
}

auto world::runAtEngine(node_index Agent, const run_work &Effect) -> void {
  const auto Id = Effect.Attempt;
  const auto Name = Nodes[Agent].State.Options.Self.Name;
  const auto &Engine = Engines.at(target_name(Name.Text));
  const loadable Unit{Effect.Work.Unit, {}};
  const loadable Adapter{Effect.Work.Unit, Effect.Work.Adapter};
  if (!Engine.isResident(Unit) || !Engine.isResident(Adapter)) {
    feed(Agent, targetEnded(Id, target_end::Refused));
    return;
  }
  Oracle.ran(Id, Effect.Work);
  const auto Model = Effect.Work.Adapter.empty() ? Effect.Work.Unit.Text
                                                 : Effect.Work.Adapter.Text;
  for (auto Next = Effect.ResumeOffset; Next < Effect.Work.MaxTokens;) {
    frame Frame{Next, {}};
    while (Frame.Pieces.size() < PiecesAFrame && Next < Effect.Work.MaxTokens)
      Frame.Pieces.push_back(expectedPiece(Model, *Effect.Work.Body, Next++));
    const target_progressed Event{Id, Frame};
    send({"engine frame", [this, Agent, Event] { feed(Agent, Event); }, nullptr,
          nullptr, false});
  }
  auto End = targetEnded(Id, target_end::Whole);
  End.Total = Effect.Work.MaxTokens;
  const auto Broken = targetEnded(Id, target_end::Broken);
  send({"engine end", [this, Agent, End] { feed(Agent, End); },
        [this, Agent, Broken] { feed(Agent, Broken); }, nullptr, false});
}

auto world::runAtService(node_index Agent, const run_work &Effect) -> void {
  const auto Id = Effect.Attempt;
  Oracle.ran(Id, Effect.Work);
  auto End = targetEnded(Id, target_end::Whole);
  End.Status = StatusOk;
  End.Body = shareText("receipt of " + *Effect.Work.Body);
  const auto Broken = targetEnded(Id, target_end::Broken);
  send({"service reply", [this, Agent, End] { feed(Agent, End); },
        [this, Agent, Broken] { feed(Agent, Broken); }, nullptr, false});
}

auto world::perform(node_index From, const run_work &Effect) -> void {
  const auto Id = Effect.Attempt;
  const bool Call = Effect.Work.Kind == work_kind::Call;
  const auto Run = [this, From, Effect, Call] {
    if (Call)
      runAtService(From, Effect);
    else
      runAtEngine(From, Effect);
  };
  const auto Unsent = targetEnded(Id, target_end::Unsent);
  const auto Broken = targetEnded(Id, target_end::Broken);
  send({"run " + toString(Id), Run,
        [this, From, Unsent] { feed(From, Unsent); },
        [this, From, Broken, Run] {
          feed(From, Broken);
          send({"late run", Run, nullptr, nullptr, false});
        },
        false});
}

auto world::perform(node_index /*From*/, const stop_work & /*Effect*/) -> void {
}

auto world::perform(node_index From, const send_order &Effect) -> void {
  const auto Name = Nodes[From].State.Options.Self.Name;
  const auto Execute = [this, Name, Effect] {
    const target_name Target(Name.Text);
    auto &Engine = Engines.at(Target);
    const auto Before = Engine.overcommits();
    auto Reply = Engine.execute(Effect);
    if (Engine.overcommits() != Before)
      Oracle.overcommitted(Target);
    return Reply;
  };
  const order_replied NoAnswer{
      Effect.Token, order_status::NoAnswer, {}, std::nullopt};
  const auto Give = [this, From](const order_replied &Reply) {
    feed(From, Reply);
  };
  send({"order",
        [this, Execute, Give, NoAnswer] {
          const auto Reply = Execute();
          send({"order reply", [Give, Reply] { Give(Reply); },
                [Give, NoAnswer] { Give(NoAnswer); }, nullptr, false});
        },
        [Give, NoAnswer] { Give(NoAnswer); },
        [this, Give, NoAnswer, Execute] {
          Give(NoAnswer);
          send({"late order", [Execute] { Execute(); }, nullptr, nullptr,
                false});
        },
        false});
}

auto world::perform(node_index From, const read_engine & /*Effect*/) -> void {
  const auto Name = Nodes[From].State.Options.Self.Name;
  // The reading is made now and may arrive much later.
  const engine_reported Event{Engines.at(target_name(Name.Text)).snapshot()};
  send({"engine state", [this, From, Event] { feed(From, Event); }, nullptr,
        nullptr, true});
}

auto world::perform(node_index From, const stop_process &Effect) -> void {
  auto &Node = Nodes[From];
  const auto &State = Node.State;
  const auto Open = State.Requests.Open.size() + State.Admission.Works.size();
  if (Effect.Code != result_code::Interrupted)
    Oracle.stopped(State.Options.Self.Name, Open);
  const auto Options = State.Options;
  Node.Alive = false;
  if (Options.Self.Role == instance_role::Entry)
    Oracle.entryDied(Options.Self.Incarnation);
  breakStreams(From);
  const bool IsCurrent = Current.at(Options.Self.Name) == From;
  if (IsCurrent)
    addNode(Options.Self.Role, Options.Self.Name.Text, Options.Self.Kind,
            Options.Agent.ChecksFence);
}

// The end.

auto world::settleRound() -> void {
  constexpr auto Step = milliseconds(50);
  deliverAll();
  advance(Step);
}

auto world::checkReachable() -> void {
  std::vector<request_id> Last;
  for (std::size_t Entry = 0; Entry < 2; ++Entry) {
    for (std::size_t Model = 0; Model < ModelCount; ++Model) {
      const auto Id = requestModel(Entry, Model);
      for (int Round = 0; Round < 200; ++Round) {
        if (Round % 20 == 0)
          refreshList();
        settleRound();
        const auto *Request = Oracle.find(Id);
        if (Request != nullptr && Request->Ended)
          break;
      }
      Oracle.mustBeDone(Id);
    }
    const auto Booking = requestBooking(Entry, 4 * (1000 + LastCounter));
    for (int Round = 0; Round < 200; ++Round)
      settleRound();
    Oracle.mustBeDone(Booking);
  }
}

auto world::checkStored() -> void {
  std::set<change_id> Stored;
  constexpr std::uint32_t All = 100'000;
  for (const auto &Row :
       Table.range(std::string(store_keys::ChangePrefix), "", All))
    Stored.insert(decodeChange(Row.Value).value().Id);
  for (const char *Entry : {"e0", "e1"})
    Oracle.settled(
        *Nodes[Current.at(instance_name(Entry))].State.Configuration.Current,
        Stored);
}

auto world::settle() -> void {
  constexpr int Rounds = 1000;
  setStoreDown(false);
  while (!PausedAgents.empty())
    resumePaused();
  // Declared drains are lifted, so that everything is reachable again.
  for (int Round = 0; Round < Rounds; ++Round) {
    if (Round % 40 == 0)
      refreshList();
    settleRound();
  }
  for (const char *Target : {"g0", "s0"}) {
    command_arrived Event;
    Event.Command = ++LastCommand;
    Event.Id = change_id("restore-" + std::to_string(++LastChange));
    Event.Deadline = Now + CommandTime;
    Event.Operations = {{operation_verb::Declare,
                         declaration_kind::Target,
                         Target,
                         {{"drained", "false"}}}};
    Commands[Event.Command] = Event.Id;
    feed(Current.at(instance_name("e0")), Event);
    for (int Round = 0; Round < 100; ++Round)
      settleRound();
  }
  checkReachable();
  checkStored();
}

} // namespace limpetbridge
