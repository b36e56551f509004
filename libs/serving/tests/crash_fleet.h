/// \file
/// Gateways before engines that crash, in virtual time, with the messages
/// between the gateways.
#ifndef LIMPETBRIDGE_SERVING_TESTS_CRASH_FLEET_H
#define LIMPETBRIDGE_SERVING_TESTS_CRASH_FLEET_H

#include "gateway_fixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge::serving {

/// The deployment. Callbacks run in the order of their times.
class crash_fleet {
public:
  /// An attempt in progress at an engine.
  struct open_attempt {
    std::size_t Gateway = 0;
    request_number Number = 0;
    std::uint16_t Status = 0;
    std::uint64_t Events = 0;
  };
  struct engine {
    target Target;
    bool Alive = true;
    std::map<std::uint64_t, open_attempt> Attempts;
  };

  crash_fleet(std::size_t GatewayCount, std::size_t EngineCount,
              std::uint32_t Seed = 1)
      : Random(Seed) {
    std::vector<instance_record> Peers;
    for (std::size_t I = 0; I < GatewayCount; ++I) {
      instance_record Peer;
      Peer.Name = instance_name("g" + std::to_string(I));
      Peer.Address = std::to_string(I);
      Peers.push_back(Peer);
    }
    for (std::size_t I = 0; I < GatewayCount; ++I)
      Gateways.push_back(makeGateway(I));
    Instances = Peers;
    for (std::size_t I = 0; I < GatewayCount; ++I)
      dispatch(I, instances_listed{Instances});
    for (std::size_t I = 0; I < EngineCount; ++I)
      addEngine();
    for (std::size_t I = 0; I < GatewayCount; ++I)
      tickAt(I, Now + milliseconds(static_cast<int>(I)));
    run(milliseconds(2200));
  }

  /// Sends a request with \p Parts and a last part of its own.
  auto send(std::size_t Gateway, const std::vector<std::uint64_t> &Parts,
            const char *Path = "/chat/", const char *Model = "a")
      -> request_number {
    auto AllParts = Parts;
    AllParts.push_back(0xFFFF'0000 + LastNumber + 1);
    return sendWhole(Gateway, AllParts, Path, Model);
  }

  /// Sends a request that has no part but \p Parts.
  auto sendWhole(std::size_t Gateway, const std::vector<std::uint64_t> &Parts,
                 const char *Path = "/chat/", const char *Model = "a",
                 const char *Adapter = "") -> request_number {
    request_arrived Event;
    Event.Number = ++LastNumber;
    Event.Call.Id = std::to_string(LastNumber);
    Event.Call.Host = "h";
    Event.Call.Path = Path;
    Event.Call.Arrived = Now;
    Event.Call.HasPrompt = true;
    Event.Call.Prompt.Model = model_name(Model);
    Event.Call.Prompt.Adapter = Adapter;
    Event.Call.Prompt.InputTokens = 1000;
    for (const auto Part : Parts)
      Event.Call.Prompt.Parts.push_back({Part, 100});
    Calls[LastNumber] = Event.Call;
    dispatch(Gateway, Event);
    return LastNumber;
  }

  /// Runs for \p Span.
  auto run(duration Span) -> void {
    const auto End = Now + Span;
    while (!Queue.empty() && Queue.top().At <= End) {
      const auto Next = Queue.top();
      Queue.pop();
      Now = Next.At;
      Next.Action();
    }
    Now = End;
  }

  auto after(duration Delay, std::function<void()> Action) -> void {
    Queue.push({Now + Delay, ++LastEntry, std::move(Action)});
  }

  /// Ends an engine; another one comes in its place after some seconds.
  auto crash(const target_name &Name) -> void {
    auto &Engine = *Engines.at(Name);
    if (!Engine.Alive)
      return;
    Engine.Alive = false;
    ++CrashCount;
    for (const auto &[Id, Attempt] : std::exchange(Engine.Attempts, {}))
      after(milliseconds(2), [this, Attempt = Attempt] {
        attempt_ended Ended;
        Ended.Number = Attempt.Number;
        Ended.Status = Attempt.Status;
        Ended.End =
            Attempt.Events > 0 ? attempt_end::CutShort : attempt_end::Unknown;
        Ended.Body.Events = Attempt.Events;
        dispatch(Attempt.Gateway, Ended);
      });
    after(seconds(3), [this, Name] {
      for (std::size_t I = 0; I < Gateways.size(); ++I)
        dispatch(I, target_lost{Name});
    });
    after(seconds(4), [this] { addEngine(); });
  }

  /// Replaces a gateway by one that knows nothing but the rows of the store.
  auto restartGateway(std::size_t Index) -> void {
    Gateways[Index] = makeGateway(Index);
    if (KeepsRows) {
      Gateways[Index]->State.CrashRowsAwaitedUntil = Now + RowsPatience;
      readRows(Index);
    }
    dispatch(Index, instances_listed{Instances});
    for (const auto &[Name, Engine] : Engines)
      if (Engine->Alive)
        dispatch(Index, target_updated{Engine->Target});
  }

  /// The store returns from a copy that has none of the rows.
  auto forgetRows() -> void { Rows.clear(); }

  /// The same for all of them at one moment.
  auto restartAllGateways() -> void {
    for (std::size_t I = 0; I < Gateways.size(); ++I)
      restartGateway(I);
  }

  auto dispatch(std::size_t Gateway, const gateway_event &Event) -> void {
    auto &Harness = *Gateways[Gateway];
    Harness.Now = Now;
    Harness.dispatch(Event);
    for (const auto &Effect : Harness.Effects)
      std::visit([&](const auto &Typed) { execute(Gateway, Typed); }, Effect);
  }

  [[nodiscard]] auto aliveEngines() const -> std::vector<target_name> {
    std::vector<target_name> Names;
    for (const auto &[Name, Engine] : Engines)
      if (Engine->Alive)
        Names.push_back(Name);
    return Names;
  }
  [[nodiscard]] auto quarantined(std::size_t Gateway) const
      -> std::vector<suspect> {
    const auto &State = Gateways[Gateway]->State;
    return State.Crashes.quarantined(State.Options.Quarantine);
  }

  std::set<std::uint64_t> CrashParts;     ///< On which engines crash.
  std::vector<std::uint64_t> CrashPrompt; ///< The same, of a whole prompt.
  std::set<std::string> CrashLoads;       ///< Models or adapters, the same.
  std::uint64_t EventsBeforeCrash = 0;
  /// Gateways have a store for what they know of crashes.
  bool KeepsRows = false;
  bool StoreIsAway = false;
  double LossShare = 0; ///< Of the messages between gateways.
  time_point Now{seconds(1000)};
  std::vector<std::unique_ptr<gateway_harness>> Gateways;
  std::size_t CrashCount = 0;
  std::size_t Reached = 0; ///< Requests with such a part that reached engines.
  std::set<request_number> Served;
  std::map<request_number, refuse_request> Refused;

private:
  static constexpr duration RowsPatience = milliseconds(1500);
  static constexpr duration StoreCall = milliseconds(8);
  static constexpr duration StoreRetry = milliseconds(300);

  struct entry {
    time_point At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    auto operator<(const entry &Other) const -> bool {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  static auto makeGateway(std::size_t Index)
      -> std::unique_ptr<gateway_harness> {
    auto Harness = std::make_unique<gateway_harness>();
    Harness->State.Options.Self = instance_name("g" + std::to_string(Index));
    Harness->State.Options.Address = std::to_string(Index);
    return Harness;
  }

  auto tickAt(std::size_t Gateway, time_point At) -> void {
    after(At - Now, [this, Gateway] {
      dispatch(Gateway, tick{});
      tickAt(Gateway, Now + milliseconds(100));
    });
  }

  auto addEngine() -> void {
    auto Engine = std::make_unique<engine>();
    const auto Name = "e" + std::to_string(++LastEngine);
    Engine->Target.Name = target_name(Name);
    Engine->Target.Incarnation = 1;
    Engine->Target.Service = service_name("models");
    Engine->Target.Address = Name + ":1";
    Engine->Target.DataCentre = data_centre_name("north");
    Engine->Target.Holdings.Models[model_name("a")];
    Engine->Target.Holdings.Models[model_name("b")];
    instance_record Controller;
    Controller.Name = instance_name("c-" + Name);
    Controller.Role = instance_role::Controller;
    Controller.Address = "c-" + Name;
    Controller.TargetAddress = Engine->Target.Address;
    Instances.push_back(Controller);
    for (std::size_t I = 0; I < Gateways.size(); ++I) {
      dispatch(I, target_updated{Engine->Target});
      dispatch(I, instances_listed{{Controller}});
    }
    Engines[Engine->Target.Name] = std::move(Engine);
  }

  [[nodiscard]] auto crashes(request_number Number) const -> bool {
    const auto &Parts = Calls.at(Number).Prompt.Parts;
    const bool IsCrashPrompt = std::equal(
        Parts.begin(), Parts.end(), CrashPrompt.begin(), CrashPrompt.end(),
        [](const auto &Part, auto Id) { return Part.Id == Id; });
    return IsCrashPrompt ||
           std::any_of(Parts.begin(), Parts.end(), [&](const auto &Part) {
             return CrashParts.contains(Part.Id);
           });
  }

  auto execute(std::size_t Gateway, const send_attempt &Effect) -> void {
    auto &Engine = *Engines.at(Effect.Target);
    if (!Engine.Alive) {
      after(milliseconds(5), [this, Gateway, Number = Effect.Number] {
        attempt_ended Ended;
        Ended.Number = Number;
        Ended.End = attempt_end::NotSent;
        dispatch(Gateway, Ended);
      });
      return;
    }
    Reached += crashes(Effect.Number) ? 1 : 0;
    const auto Id = ++LastAttempt;
    Engine.Attempts[Id] = {Gateway, Effect.Number};
    const milliseconds Prefill(
        std::uniform_int_distribution<int>(20, 90)(Random));
    after(Prefill, [this, Id, Name = Effect.Target] { begin(Id, Name); });
  }

  auto begin(std::uint64_t Id, const target_name &Name) -> void {
    auto *Attempt = find(Id, Name);
    if (Attempt == nullptr)
      return;
    Attempt->Status = 200;
    if (crashes(Attempt->Number)) {
      Attempt->Events = EventsBeforeCrash;
      crash(Name);
      return;
    }
    after(milliseconds(40), [this, Id, Name] {
      if (auto *Going = find(Id, Name)) {
        Going->Events = 2;
        dispatch(Going->Gateway, first_output{Going->Number});
        if (const auto *Still = find(Id, Name))
          dispatch(Still->Gateway, output_continued{Still->Number});
      }
    });
    after(milliseconds(400), [this, Id, Name] {
      const auto *Going = find(Id, Name);
      if (Going == nullptr)
        return;
      const auto Done = *Going;
      Engines.at(Name)->Attempts.erase(Id);
      Served.insert(Done.Number);
      attempt_ended Ended;
      Ended.Number = Done.Number;
      Ended.End = attempt_end::Answered;
      Ended.Status = 200;
      Ended.Body.Events = 9;
      dispatch(Done.Gateway, Ended);
    });
  }

  auto find(std::uint64_t Id, const target_name &Name) -> open_attempt * {
    auto &Attempts = Engines.at(Name)->Attempts;
    const auto Found = Attempts.find(Id);
    return Found == Attempts.end() ? nullptr : &Found->second;
  }

  auto execute(std::size_t /*Gateway*/, const refuse_request &Effect) -> void {
    Refused[Effect.Number] = Effect;
    for (const auto &[Name, Engine] : Engines)
      std::erase_if(Engine->Attempts, [&](const auto &Attempt) {
        return Attempt.second.Number == Effect.Number;
      });
  }

  auto execute(std::size_t Gateway, const check_target &Effect) -> void {
    after(milliseconds(5), [this, Gateway, Effect] {
      const bool Alive = Engines.at(Effect.Target)->Alive;
      dispatch(Gateway,
               target_checked{Effect.Target, Effect.Incarnation,
                              Alive ? port_state::Open : port_state::Closed});
    });
  }

  /// Its controller answers once the target holds it or has crashed.
  auto execute(std::size_t Gateway, const request_load &Effect) -> void {
    const bool IsModel = Effect.Adapter.empty();
    const auto LoadTime = milliseconds(IsModel ? 800 : 20);
    const bool Ordered = Engines.at(Effect.Target)->Alive;
    after(LoadTime, [this, Gateway, Effect, IsModel, Ordered] {
      auto &Engine = *Engines.at(Effect.Target);
      const auto &Name = IsModel ? Effect.Model.Text : Effect.Adapter;
      if (CrashLoads.contains(Name))
        crash(Effect.Target);
      else if (Engine.Alive && !IsModel)
        Engine.Target.Holdings.Models[Effect.Model].Adapters.insert(Name);
      else if (Engine.Alive)
        Engine.Target.Holdings.Models[Effect.Model];
      dispatch(Gateway, load_answered{Effect.Target, Effect.Model,
                                      Effect.Adapter, Engine.Alive, Ordered});
    });
  }

  template <typename message>
  auto deliver(const std::vector<std::string> &Addresses,
               const message &Message) -> void {
    for (const auto &Address : Addresses)
      if (std::uniform_real_distribution<>(0, 1)(Random) >= LossShare)
        after(milliseconds(4), [this, Address, Message] {
          dispatch(std::stoul(Address), Message);
        });
  }
  auto execute(std::size_t /*Gateway*/, const send_crash_report &Effect)
      -> void {
    deliver(Effect.Addresses, Effect.Report);
  }
  auto execute(std::size_t /*Gateway*/, const send_digest &Effect) -> void {
    deliver(Effect.Addresses, Effect.Digest);
  }
  auto execute(std::size_t Gateway, const store_crashes & /*Effect*/) -> void {
    crash_report Row;
    Row.Suspects = Gateways[Gateway]->State.Crashes.snapshot(700, Now);
    if (KeepsRows)
      writeRow(Gateway, Row, Now);
  }

  auto writeRow(std::size_t Gateway, const crash_report &Row,
                time_point WrittenAt) -> void {
    after(StoreIsAway ? StoreRetry : StoreCall,
          [this, Gateway, Row, WrittenAt] {
            if (StoreIsAway)
              return writeRow(Gateway, Row, WrittenAt);
            if (!Rows.contains(Gateway) || Rows[Gateway].second <= WrittenAt)
              Rows[Gateway] = {Row, WrittenAt};
          });
  }

  auto readRows(std::size_t Gateway) -> void {
    after(StoreIsAway ? StoreRetry : StoreCall, [this, Gateway] {
      if (StoreIsAway)
        return readRows(Gateway);
      crash_rows_read Event;
      for (const auto &[Writer, Row] : Rows) {
        Event.Rows.push_back(Row.first);
        addAge(Event.Rows.back(), toMilliseconds(Now - Row.second));
      }
      dispatch(Gateway, Event);
    });
  }

  template <typename effect>
  auto execute(std::size_t /*Gateway*/, const effect & /*Effect*/) -> void {}

  std::mt19937 Random;
  std::priority_queue<entry> Queue;
  std::vector<instance_record> Instances;
  std::map<target_name, std::unique_ptr<engine>> Engines;
  std::map<request_number, call> Calls;
  /// By gateway, with the times of their writes.
  std::map<std::size_t, std::pair<crash_report, time_point>> Rows;
  std::uint64_t LastEntry = 0;
  std::uint64_t LastAttempt = 0;
  request_number LastNumber = 0;
  int LastEngine = 0;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TESTS_CRASH_FLEET_H
