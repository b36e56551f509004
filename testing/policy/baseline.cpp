// The baselines: every model goes to a target that holds it, chosen at random
// or by reported load; first in, first out; least recently used is evicted.
#include "core/state.h"
#include "policy_world.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace limpetbridge {

namespace {

constexpr auto OneWay = microseconds(3500);
constexpr auto ReportInterval = seconds(1);
constexpr auto Deadline = seconds(30);
constexpr auto Drainage = seconds(60);

auto toMs(duration Span) -> double {
  return static_cast<double>(Span.count()) / 1000.0;
}

/// One target of a baseline.
struct simple_target {
  std::unique_ptr<engine_model> Engine;
  std::deque<std::size_t> Queue;
  std::map<std::size_t, time_point> Held; ///< Models and their last use.
  std::map<std::size_t, std::size_t> RunningOf;
  std::set<std::size_t> Loading;
  std::set<std::size_t> Assigned; ///< Models that requests were sent for.
  std::size_t Running = 0;
  std::size_t Reported = 0;
};

class baseline_run {
public:
  baseline_run(const deployment &Deployment, const std::vector<demand> &Trace,
               const stragglers &Slow, baseline_kind Kind, std::uint64_t Seed)
      : Deployment(Deployment), Trace(Trace), Kind(Kind), Random{Seed},
        Store(Schedule, Deployment), Targets(Deployment.Targets) {
    for (std::size_t Index = 0; Index < Targets.size(); ++Index)
      Targets[Index].Engine = std::make_unique<engine_model>(
          Schedule, slownessOf(Slow, Index, Targets.size()));
  }

  auto run() -> policy_result {
    constexpr auto WarmUp = seconds(2);
    Result.Fates.resize(Trace.size());
    Arrived.resize(Trace.size());
    for (std::size_t Index = 0; Index < Trace.size(); ++Index) {
      Result.Fates[Index].Demand = Trace[Index];
      Schedule.after(WarmUp + Trace[Index].At, [this, Index] {
        Arrived[Index] = Schedule.now();
        const auto Target = choose(Trace[Index].Model);
        Targets[Target].Assigned.insert(Trace[Index].Model);
        Schedule.after(OneWay, [this, Index, Target] {
          Targets[Target].Queue.push_back(Index);
          pump(Target);
        });
      });
    }
    report();
    Schedule.run(time_point{} + WarmUp + TraceLength + Drainage);
    Result.Loads = Store.loads();
    return std::move(Result);
  }

private:
  auto report() -> void {
    for (auto &Target : Targets)
      Target.Reported = Target.Running + Target.Queue.size();
    if (Schedule.now() < time_point{} + TraceLength + Drainage)
      Schedule.after(ReportInterval, [this] { report(); });
  }

  auto choose(std::size_t Model) -> std::size_t {
    std::vector<std::size_t> Holders;
    for (std::size_t Index = 0; Index < Targets.size(); ++Index)
      if (Targets[Index].Assigned.contains(Model))
        Holders.push_back(Index);
    if (Holders.empty())
      Holders = leastAssigned();
    if (Kind == baseline_kind::Random)
      return Holders[Random.next() % Holders.size()];
    return leastReported(Holders);
  }

  /// Targets with the fewest models, for one that nobody holds.
  auto leastAssigned() -> std::vector<std::size_t> {
    std::size_t Fewest = Deployment.Models;
    for (const auto &Target : Targets)
      Fewest = std::min(Fewest, Target.Assigned.size());
    std::vector<std::size_t> Chosen;
    for (std::size_t Index = 0; Index < Targets.size(); ++Index)
      if (Targets[Index].Assigned.size() == Fewest)
        Chosen.push_back(Index);
    return Chosen;
  }

  auto leastReported(const std::vector<std::size_t> &Among) -> std::size_t {
    return *std::min_element(Among.begin(), Among.end(),
                             [this](std::size_t Left, std::size_t Right) {
                               return Targets[Left].Reported <
                                      Targets[Right].Reported;
                             });
  }

  auto makeRoom(simple_target &Target) -> bool {
    if (Target.Held.size() + Target.Loading.size() < Deployment.ModelsATarget)
      return true;
    auto Oldest = Target.Held.end();
    for (auto Each = Target.Held.begin(); Each != Target.Held.end(); ++Each)
      if (Target.RunningOf[Each->first] == 0 &&
          (Oldest == Target.Held.end() || Each->second < Oldest->second))
        Oldest = Each;
    if (Oldest == Target.Held.end())
      return false;
    Target.Assigned.erase(Oldest->first);
    Target.Held.erase(Oldest);
    return true;
  }

  auto pump(std::size_t Index) -> void {
    auto &Target = Targets[Index];
    while (!Target.Queue.empty() && Target.Running < EngineSlots) {
      const auto Next = Target.Queue.front();
      const auto Model = Trace[Next].Model;
      if (Schedule.now() - Arrived[Next] > Deadline) {
        Target.Queue.pop_front();
        continue;
      }
      if (!Target.Held.contains(Model)) {
        if (Target.Loading.empty() && makeRoom(Target)) {
          Target.Loading.insert(Model);
          Store.load([this, Index, Model] {
            Targets[Index].Loading.erase(Model);
            Targets[Index].Held[Model] = Schedule.now();
            pump(Index);
          });
        }
        return;
      }
      Target.Queue.pop_front();
      start(Index, Next);
    }
  }

  auto start(std::size_t Index, std::size_t Request) -> void {
    auto &Target = Targets[Index];
    const auto Model = Trace[Request].Model;
    Target.Held[Model] = Schedule.now();
    ++Target.Running;
    ++Target.RunningOf[Model];
    Target.Engine->start(
        Trace[Request], {[this, Request] {
                           Result.Fates[Request].FirstMs =
                               toMs(Schedule.now() + OneWay - Arrived[Request]);
                         },
                         [this, Index, Request, Model] {
                           auto &Fate = Result.Fates[Request];
                           Fate.Done = true;
                           Fate.TotalMs =
                               toMs(Schedule.now() + OneWay - Arrived[Request]);
                           --Targets[Index].Running;
                           --Targets[Index].RunningOf[Model];
                           pump(Index);
                         }});
  }

  const deployment &Deployment;
  const std::vector<demand> &Trace;
  baseline_kind Kind;
  random_state Random;
  schedule Schedule;
  weight_store Store;
  std::vector<simple_target> Targets;
  std::vector<time_point> Arrived;
  policy_result Result;
};

} // namespace

auto runBaseline(const deployment &Deployment, const std::vector<demand> &Trace,
                 const stragglers &Slow, baseline_kind Kind, std::uint64_t Seed)
    -> policy_result {
  return baseline_run(Deployment, Trace, Slow, Kind, Seed).run();
}

} // namespace limpetbridge
