#include "policy_world.h"

#include "core/reducer.h"
#include "engine_stand_in.h"
#include "platform_stand_in.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace limpetbridge {

namespace {

constexpr auto OneWay = microseconds(3500);
constexpr auto StoreTime = milliseconds(4);
constexpr auto TickTime = milliseconds(20);
constexpr auto Drainage = seconds(60); ///< After the last request.
constexpr std::size_t Entries = 4;
constexpr std::uint64_t ModelBytes = 10'000'000'000;

auto toDuration(double Ms) -> duration {
  return duration(static_cast<std::int64_t>(Ms * 1000));
}

auto toMs(duration Span) -> double {
  return static_cast<double>(Span.count()) / 1000.0;
}

} // namespace

auto schedule::after(duration Span, std::function<void()> Action) -> void {
  Queue.push({Now + Span, ++LastOrder, std::move(Action)});
}

auto schedule::run(time_point End) -> void {
  while (!Queue.empty() && Queue.top().At <= End) {
    const auto Action = Queue.top().Action;
    Now = Queue.top().At;
    Queue.pop();
    Action();
  }
}

weight_store::weight_store(schedule &Schedule,
                           const limpetbridge::deployment &Deployment)
    : Schedule(Schedule), Deployment(Deployment) {}

auto weight_store::load(const std::function<void()> &Done) -> void {
  ++Loads;
  const auto Start = std::max(Schedule.now(), NextStart);
  NextStart = Start + toDuration(1000.0 / Deployment.LoadsASecond);
  Schedule.after(Start - Schedule.now(), [this, Done] {
    ++UnderWay;
    const double Crowd =
        std::max(1.0, static_cast<double>(UnderWay) /
                          static_cast<double>(Deployment.LoadsAtOnce));
    Schedule.after(toDuration(Deployment.LoadMs * Crowd), [this, Done] {
      --UnderWay;
      Done();
    });
  });
}

engine_model::engine_model(schedule &Schedule, double Slowness)
    : Schedule(Schedule), Slowness(Slowness) {}

auto engine_model::speed() const -> double {
  const double Crowd =
      std::max(1.0, static_cast<double>(Runs.size()) / FullSpeedRuns);
  return 1.0 / (Crowd * Slowness);
}

auto engine_model::advance() -> void {
  double Passed = toMs(Schedule.now() - At) * speed();
  At = Schedule.now();
  for (auto &[Id, Run] : Runs) {
    const double Prefill = std::min(Passed, Run.PrefillLeft);
    Run.PrefillLeft -= Prefill;
    Run.DecodeLeft -= std::min(Passed - Prefill, Run.DecodeLeft);
  }
}

auto engine_model::plan() -> void {
  constexpr double Least = 0.001;
  double Next = -1;
  for (const auto &[Id, Run] : Runs) {
    const double Left =
        Run.PrefillLeft > Least ? Run.PrefillLeft : Run.DecodeLeft;
    if (Next < 0 || Left < Next)
      Next = Left;
  }
  if (Next < 0)
    return;
  const auto Mine = ++Plan;
  Schedule.after(toDuration(Next / speed()) + microseconds(1), [this, Mine] {
    if (Mine != Plan)
      return;
    advance();
    std::vector<std::function<void()>> Calls;
    for (auto Each = Runs.begin(); Each != Runs.end();) {
      auto &Run = Each->second;
      if (Run.PrefillLeft <= Least && Run.Callbacks.First)
        Calls.push_back(std::exchange(Run.Callbacks.First, nullptr));
      if (Run.DecodeLeft > Least) {
        ++Each;
        continue;
      }
      Calls.push_back(Run.Callbacks.Done);
      Each = Runs.erase(Each);
    }
    plan();
    for (const auto &Call : Calls)
      Call();
  });
}

auto engine_model::start(const demand &Demand, callbacks Callbacks) -> void {
  advance();
  Runs[++LastRun] = {prefillMs(Demand), decodeMs(Demand), std::move(Callbacks)};
  plan();
}

auto slownessOf(const stragglers &Slow, std::size_t Index, std::size_t Targets)
    -> double {
  const auto Count = static_cast<std::size_t>(
      std::lround(Slow.Share * static_cast<double>(Targets)));
  return Index < Count ? Slow.Factor : 1.0;
}

namespace {

/// The real reducers in virtual time.
class reducer_run {
public:
  reducer_run(const deployment &Deployment, const std::vector<demand> &Trace,
              const stragglers &Slow, std::uint64_t Seed)
      : Deployment(Deployment), Trace(Trace), Store(Schedule, Deployment) {
    declareModels();
    for (std::size_t Index = 0; Index < Entries; ++Index)
      addNode(instance_role::Entry, "entry-" + std::to_string(Index), Seed);
    for (std::size_t Index = 0; Index < Deployment.Targets; ++Index) {
      addNode(instance_role::Agent, "gpu-" + std::to_string(Index), Seed);
      Engines.push_back(std::make_unique<engine_model>(
          Schedule, slownessOf(Slow, Index, Deployment.Targets)));
      Memories.emplace_back(ModelBytes * Deployment.ModelsATarget, true,
                            incarnation{1});
    }
    for (std::size_t Index = 0; Index < Entries; ++Index)
      feed(Index, List);
    tickAll();
  }

  auto run() -> policy_result {
    constexpr auto WarmUp = seconds(2);
    for (std::size_t Index = 0; Index < Trace.size(); ++Index)
      Schedule.after(WarmUp + Trace[Index].At,
                     [this, Index] { arrive(Index); });
    Result.Fates.resize(Trace.size());
    for (std::size_t Index = 0; Index < Trace.size(); ++Index)
      Result.Fates[Index].Demand = Trace[Index];
    Schedule.run(time_point{} + WarmUp + TraceLength + Drainage);
    Result.Loads = Store.loads();
    return std::move(Result);
  }

private:
  auto declareModels() -> void {
    change Change{change_id("c"), {1}, {}};
    Change.Operations = {
        {operation_verb::Declare,
         declaration_kind::Importance,
         "dock",
         {{"rank", "1"}, {"first_token_ms", "1300"}, {"short_tokens", "2048"}}},
        {operation_verb::Declare,
         declaration_kind::Caller,
         "c",
         {{"token", "caller-token"}, {"models", "*"}}}};
    for (std::size_t Model = 0; Model < Deployment.Models; ++Model)
      Change.Operations.push_back(
          {operation_verb::Declare,
           declaration_kind::Model,
           nameOf(Model),
           {{"memory_mb", "10000"},
            {"load_ms", std::to_string(static_cast<int>(Deployment.LoadMs))},
            {"importance", "dock"}}});
    Table.transact({}, {{"config/head", "1"},
                        {"config/change/000000000001", encodeChange(Change)}});
  }

  static auto nameOf(std::size_t Model) -> std::string {
    return "m" + std::to_string(Model);
  }

  auto addNode(instance_role Role, const std::string &Name, std::uint64_t Seed)
      -> void {
    node_options Options;
    Options.Self.Name = instance_name(Name);
    Options.Self.Role = Role;
    Options.Self.DataCentre =
        data_centre_name("d" + std::to_string(Nodes.size() % 4));
    Options.Self.Address = Name;
    Options.Self.Incarnation = {Nodes.size() + 1};
    Options.Agent.Memory = {ModelBytes * Deployment.ModelsATarget};
    Options.Self.Memory = Options.Agent.Memory;
    Options.Agent.ChecksFence = true;
    Options.Agent.Slots = EngineSlots;
    Options.Agent.ShortSlots = EngineSlots / 2;
    ByName[Options.Self.Name] = Nodes.size();
    List.Instances.push_back(Options.Self);
    Nodes.push_back(makeNode(Options, Seed * 1000 + Nodes.size()));
  }

  auto tickAll() -> void {
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
      feed(Index, tick{});
    if (Schedule.now() < time_point{} + TraceLength + Drainage)
      Schedule.after(TickTime, [this] { tickAll(); });
  }

  auto feed(std::size_t Index, const event &Event) -> void {
    for (const auto &Effect : reduce(Nodes[Index], Event, Schedule.now()))
      std::visit([&](const auto &Each) { perform(Index, Each); }, Effect);
  }

  auto later(duration Span, std::size_t Index, event Event) -> void {
    Schedule.after(
        Span, [this, Index, Event = std::move(Event)] { feed(Index, Event); });
  }

  auto arrive(std::size_t Index) -> void {
    const auto &Demand = Trace[Index];
    request_arrived Event;
    Event.Request = {{Index % Entries + 1}, Index + 1};
    Event.Token = "caller-token";
    Event.Model = nameOf(Demand.Model);
    Event.Body = shareText("");
    Event.PromptTokens = Demand.PromptTokens;
    Event.MaxTokens = Demand.OutputTokens;
    Event.Deadline = Schedule.now() + seconds(30);
    Arrived[Index] = Schedule.now();
    feed(Index % Entries, Event);
  }

  auto fateOf(const request_id &Id) -> fate & {
    return Result.Fates[Id.Counter - 1];
  }
  auto sinceArrival(const request_id &Id) -> double {
    return toMs(Schedule.now() - Arrived[Id.Counter - 1]);
  }

  auto perform(std::size_t, const answer_frame &Effect) -> void {
    auto &Fate = fateOf(Effect.Request);
    if (Fate.FirstMs < 0)
      Fate.FirstMs = sinceArrival(Effect.Request);
  }
  auto perform(std::size_t, const answer_end &Effect) -> void {
    auto &Fate = fateOf(Effect.Request);
    Fate.Done = Effect.Outcome == run_outcome::Done;
    Fate.TotalMs = sinceArrival(Effect.Request);
  }
  auto perform(std::size_t, const start_attempt &Effect) -> void {
    Result.Retries += Effect.Offer.Attempt.Attempt > 1 ? 1 : 0;
    later(OneWay, ByName.at(Effect.Agent), Effect.Offer);
    AgentOf[Effect.Offer.Attempt] = ByName.at(Effect.Agent);
  }
  auto perform(std::size_t, const cancel_attempt &Effect) -> void {
    later(OneWay, AgentOf.at(Effect.Attempt), work_cancelled{Effect.Attempt});
  }
  auto perform(std::size_t, const send_frame &Effect) -> void {
    later(OneWay, Effect.Attempt.Request.Entry.Value - 1,
          attempt_progressed{Effect.Attempt, Effect.Frame});
  }
  auto perform(std::size_t, const send_end &Effect) -> void {
    const auto &End = Effect.End;
    Result.Refusals += End.Outcome == run_outcome::NotRun ? 1 : 0;
    later(OneWay, End.Attempt.Request.Entry.Value - 1, End);
  }
  auto perform(std::size_t Index, const run_work &Effect) -> void {
    const auto Id = Effect.Attempt;
    const auto Total = Effect.Work.MaxTokens;
    auto &Engine = *Engines[Index - Entries];
    Engine.start(Trace[Id.Request.Counter - 1],
                 {[this, Index, Id] {
                    feed(Index, target_progressed{Id, {0, {"x"}}});
                  },
                  [this, Index, Id, Total] {
                    frame Rest{1, std::vector<std::string>(Total - 1, "x")};
                    feed(Index, target_progressed{Id, std::move(Rest)});
                    target_ended Ended;
                    Ended.Attempt = Id;
                    Ended.End = target_end::Whole;
                    Ended.Total = Total;
                    feed(Index, Ended);
                  }});
  }
  auto perform(std::size_t Index, const send_order &Effect) -> void {
    auto &Memory = Memories[Index - Entries];
    if (Effect.Kind != order_kind::Load) {
      later(milliseconds(2), Index, Memory.execute(Effect));
      return;
    }
    const auto Begun = Memory.beginLoad(Effect);
    if (Begun.Status != order_status::Done) {
      later(milliseconds(2), Index, Begun);
      return;
    }
    Store.load([this, Index, Effect, &Memory] {
      feed(Index, Memory.finishLoad(Effect));
    });
  }
  auto perform(std::size_t Index, const read_engine &) -> void {
    later(milliseconds(500), Index,
          engine_reported{Memories[Index - Entries].snapshot()});
  }
  auto perform(std::size_t Index, const table_transact &Effect) -> void {
    auto Reply = Table.transact(Effect.Conditions, Effect.Writes);
    Reply.Ticket = Effect.Ticket;
    later(StoreTime, Index, Reply);
  }
  auto perform(std::size_t Index, const table_read &Effect) -> void {
    later(StoreTime, Index,
          table_replied{Effect.Ticket, store_status::Applied,
                        Table.read(Effect.Keys)});
  }
  auto perform(std::size_t Index, const table_range &Effect) -> void {
    later(StoreTime, Index,
          table_replied{Effect.Ticket, store_status::Applied,
                        Table.range(Effect.Prefix, Effect.From, Effect.Limit)});
  }
  auto perform(std::size_t Index, const object_get &Effect) -> void {
    later(StoreTime, Index,
          object_replied{Effect.Ticket, store_status::Applied, false, {}});
  }
  template <typename other> auto perform(std::size_t, const other &) -> void {}

  const deployment &Deployment;
  const std::vector<demand> &Trace;
  schedule Schedule;
  weight_store Store;
  table_fake Table;
  instances_listed List;
  std::vector<node_state> Nodes;
  std::map<instance_name, std::size_t> ByName;
  std::vector<std::unique_ptr<engine_model>> Engines;
  std::deque<engine_fake> Memories;
  std::map<std::size_t, time_point> Arrived;
  std::map<attempt_id, std::size_t> AgentOf;
  policy_result Result;
};

} // namespace

auto runReducers(const deployment &Deployment, const std::vector<demand> &Trace,
                 const stragglers &Slow, std::uint64_t Seed) -> policy_result {
  return reducer_run(Deployment, Trace, Slow, Seed).run();
}

} // namespace limpetbridge
