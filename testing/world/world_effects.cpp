// What the world does with the effects of its nodes.
#include "core/store_keys.h"
#include "world.h"

#include <algorithm>
#include <optional>

namespace limpetbridge {

namespace {

constexpr std::uint32_t PiecesAFrame = 2;
constexpr std::uint32_t StatusOk = 200;

auto targetEnded(const attempt_id &Id, target_end End) -> target_ended {
  target_ended Ended;
  Ended.Attempt = Id;
  Ended.End = End;
  return Ended;
}

} // namespace

auto connectionEnded(const attempt_id &Id, run_outcome Outcome,
                     result_code Code) -> attempt_ended {
  attempt_ended End;
  End.Attempt = Id;
  End.Outcome = Outcome;
  End.Code = Code;
  End.Detail = "connection";
  return End;
}

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
    const auto Before = Nodes[Agent].State.Admission.WorkItems.contains(Id);
    feed(Agent, Offer);
    const auto &WorkItems = Nodes[Agent].State.Admission.WorkItems;
    if (Leaving && !Before && WorkItems.contains(Id))
      Oracle.ranAfterLeaving(target_name(Name.Text));
  };
  const auto Unreachable =
      connectionEnded(Id, run_outcome::NotRun, result_code::TargetUnreachable);
  const auto Broken =
      connectionEnded(Id, run_outcome::Unknown, result_code::OutcomeUnknown);
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
                       const std::function<table_replied()> &Execute) -> void {
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
  const auto Broken = connectionEnded(End.Attempt, run_outcome::Unknown,
                                      result_code::OutcomeUnknown);
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
  const auto Open =
      State.Requests.Open.size() + State.Admission.WorkItems.size();
  // Entries see the streams of an interrupted agent end.
  if (Effect.Code != result_code::Interrupted || State.isEntry())
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

} // namespace limpetbridge
