#include "serving/placement.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Time constant of the moving average: demand moves within seconds.
constexpr double DemandSeconds = 4;
/// Cost of evicting the last copy of a model, ms of load a request.
constexpr double LastCopyWeight = 3;
/// Cost of work that the loading target has under way, ms a request.
constexpr double ActiveMs = 10;
/// Cost of a load that another one waits for, ms.
constexpr double BusyMs = 1500;
/// Horizon over which the demand of a victim counts, seconds.
constexpr double HorizonSeconds = 4;

auto secondsBetween(time_point From, time_point Till) -> double {
  return std::chrono::duration<double>(Till - From).count();
}

auto loadMs(const model_spec &Spec, const holdings &Holds) -> double {
  if (Holds.InMemory.contains(Spec.Name))
    return Spec.MemoryLoadMs;
  if (Holds.OnDisk.contains(Spec.Name))
    return Spec.DiskLoadMs;
  return Spec.LoadMs;
}

struct victim {
  model_name Model;
  double Cost = 0;
  double FreedMb = 0;
};

auto weightsOf(const engine_spec &Engine, const model_name &Model,
               const held_model &Held) -> double {
  const auto Found = Engine.Models.find(Model);
  if (Found == Engine.Models.end())
    return 0;
  return Found->second.WeightsMb +
         Found->second.AdapterMb * static_cast<double>(Held.Adapters.size());
}

auto victimsOf(const target_entry &Entry, const target_book &Book,
               const engine_spec &Engine, const demand &Demand, time_point Now)
    -> std::vector<victim> {
  std::vector<victim> Victims;
  for (const auto &[Model, Held] : Entry.Target.Holds.Models) {
    const auto Copies = static_cast<double>(Book.holders(Model));
    const auto Spec = Engine.Models.find(Model);
    const double Reload = Spec == Engine.Models.end()
                              ? 0
                              : loadMs(Spec->second, Entry.Target.Holds);
    const double Rate = Demand.rate(Model, Now);
    // Reloading one of few copies delays its share of the demand.
    double Cost = Rate * HorizonSeconds * Reload / std::max(Copies, 1.0);
    if (Copies <= 1)
      Cost = LastCopyWeight * (Cost + Reload);
    Victims.push_back({Model, Cost, weightsOf(Engine, Model, Held)});
  }
  std::sort(Victims.begin(), Victims.end(),
            [](const victim &Left, const victim &Right) {
              return Left.Cost < Right.Cost;
            });
  return Victims;
}

} // namespace

auto demand::note(const model_name &Model, time_point Now) -> void {
  auto &Counter = Own[Model];
  Counter.Count *=
      std::exp(-secondsBetween(Counter.Since, Now) / DemandSeconds);
  Counter.Count += 1;
  Counter.Since = Now;
}

auto demand::setPeer(const instance_name &Peer,
                     const std::map<model_name, double> &Rates) -> void {
  Peers[Peer] = Rates;
}

auto demand::removePeer(const instance_name &Peer) -> void {
  Peers.erase(Peer);
}

auto demand::ownRate(const model_name &Model, time_point Now) const -> double {
  const auto Found = Own.find(Model);
  if (Found == Own.end())
    return 0;
  const auto Age = secondsBetween(Found->second.Since, Now);
  return Found->second.Count * std::exp(-Age / DemandSeconds) / DemandSeconds;
}

auto demand::rate(const model_name &Model, time_point Now) const -> double {
  double Sum = ownRate(Model, Now);
  for (const auto &[Name, Rates] : Peers) {
    const auto Found = Rates.find(Model);
    Sum += Found == Rates.end() ? 0 : Found->second;
  }
  return Sum;
}

auto demand::ownRates(time_point Now) const -> std::map<model_name, double> {
  /// Rates below this are not worth telling, requests a second.
  constexpr double LeastRate = 0.02;
  std::map<model_name, double> Rates;
  for (const auto &[Model, Counter] : Own)
    if (const double Rate = ownRate(Model, Now); Rate >= LeastRate)
      Rates[Model] = Rate;
  return Rates;
}

auto planLoad(const target_book &Book, const service_spec &Service,
              const model_name &Model, const demand &Demand,
              const std::map<target_name, model_name> &Busy, time_point Now)
    -> std::optional<load_plan> {
  const auto &Engine = Service.Engine;
  const auto Spec = Engine.Models.find(Model);
  if (Spec == Engine.Models.end())
    return std::nullopt;
  std::optional<load_plan> Best;
  for (const auto &[Name, Entry] : Book.all()) {
    const auto &Target = Entry.Target;
    if (Target.Service != Service.Name || !Entry.takesWork() ||
        Entry.ControllerAddress.empty() || Target.Holds.Models.contains(Model))
      continue;
    load_plan Plan;
    Plan.Target = Name;
    Plan.LoadMs = loadMs(Spec->second, Target.Holds);
    double Free = Engine.WeightsMb;
    for (const auto &[Held, What] : Target.Holds.Models)
      Free -= weightsOf(Engine, Held, What);
    double Cost = Plan.LoadMs + ActiveMs * Entry.load().Active;
    for (const auto &Victim : victimsOf(Entry, Book, Engine, Demand, Now)) {
      if (Free >= Spec->second.WeightsMb)
        break;
      Free += Victim.FreedMb;
      Cost += Victim.Cost;
      Plan.Victims.push_back(Victim.Model);
    }
    if (Free < Spec->second.WeightsMb)
      continue;
    if (Busy.contains(Name))
      Cost += BusyMs;
    Plan.CostMs = Cost;
    if (!Best || Cost < Best->CostMs)
      Best = Plan;
  }
  return Best;
}

} // namespace limpetbridge::serving
