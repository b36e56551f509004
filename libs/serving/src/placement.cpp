#include "serving/placement.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Time constant of the moving average: demand moves within seconds.
constexpr double DemandSeconds = 3;
/// Part of a target's time that reading the prompts of one model may take; the
/// rest is for bursts and for the other models there.
constexpr double CopyUtilization = 0.3;
/// Least demand that keeps one copy, requests a second.
constexpr double LeastRate = 0.02;
/// A model that was loaded less than this ago makes no way.
constexpr duration LeastStay = milliseconds(2500);
/// Factor on the cost of a copy that the demand does not call for.
constexpr double SurplusWeight = 0.1;
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

auto loadMs(const model_spec &Spec, const holdings &Holdings) -> double {
  if (Holdings.InMemory.contains(Spec.Name))
    return Spec.MemoryLoadMs;
  if (Holdings.OnDisk.contains(Spec.Name))
    return Spec.DiskLoadMs;
  return Spec.LoadMs;
}

struct victim {
  model_name Model;
  double Cost = 0;
  double FreedMb = 0;
};

auto weightsOf(const engine_spec &Engine, const model_name &Model,
               const loaded_model &Held) -> double {
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
  for (const auto &[Model, Held] : Entry.Target.Holdings.Models) {
    if (!Entry.serves(Model))
      continue;
    const auto Copies = static_cast<double>(Book.copyCount(Model));
    const auto Spec = Engine.Models.find(Model);
    const double Reload = Spec == Engine.Models.end()
                              ? 0
                              : loadMs(Spec->second, Entry.Target.Holdings);
    const auto Rate = Demand.rate(Model, Now);
    const auto Loaded = Entry.LoadedAt.find(Model);
    if (Loaded != Entry.LoadedAt.end() && Now - Loaded->second < LeastStay)
      continue;
    // Reloading one of few copies delays its share of the demand.
    double Cost =
        Rate.PerSecond * HorizonSeconds * Reload / std::max(Copies, 1.0);
    if (Copies <= 1)
      Cost = LastCopyWeight * (Cost + Reload);
    else if (Copies > static_cast<double>(desiredCopies(Rate)))
      Cost *= SurplusWeight;
    Victims.push_back({Model, Cost, weightsOf(Engine, Model, Held)});
  }
  std::sort(Victims.begin(), Victims.end(),
            [](const victim &Left, const victim &Right) {
              return Left.Cost < Right.Cost;
            });
  return Victims;
}

} // namespace

auto demand::recordRequest(const model_name &Model, double WorkMs,
                           time_point Now) -> void {
  auto &Counter = Own[Model];
  const double Kept =
      std::exp(-secondsBetween(Counter.Since, Now) / DemandSeconds);
  Counter.Requests = Counter.Requests * Kept + 1;
  Counter.WorkMs = Counter.WorkMs * Kept + WorkMs;
  Counter.Since = Now;
}

auto demand::setPeerRates(const instance_name &Peer, const model_rates &Rates)
    -> void {
  Peers[Peer] = Rates;
}

auto demand::removePeer(const instance_name &Peer) -> void {
  Peers.erase(Peer);
}

auto demand::rateOf(const counter &Counter, time_point Now) -> model_rate {
  const double Kept =
      std::exp(-secondsBetween(Counter.Since, Now) / DemandSeconds);
  return {Counter.Requests * Kept / DemandSeconds,
          Counter.WorkMs * Kept / DemandSeconds};
}

auto demand::rate(const model_name &Model, time_point Now) const -> model_rate {
  model_rate Sum;
  if (const auto Found = Own.find(Model); Found != Own.end())
    Sum = rateOf(Found->second, Now);
  for (const auto &[Name, Rates] : Peers) {
    const auto Found = Rates.find(Model);
    if (Found == Rates.end())
      continue;
    Sum.PerSecond += Found->second.PerSecond;
    Sum.WorkMsPerSecond += Found->second.WorkMsPerSecond;
  }
  return Sum;
}

auto demand::ownRates(time_point Now) const -> model_rates {
  model_rates Rates;
  for (const auto &[Model, Counter] : Own)
    if (const auto Rate = rateOf(Counter, Now); Rate.PerSecond >= LeastRate)
      Rates[Model] = Rate;
  return Rates;
}

auto demand::models() const -> std::set<model_name> {
  std::set<model_name> Models;
  for (const auto &[Model, Counter] : Own)
    Models.insert(Model);
  for (const auto &[Name, Rates] : Peers)
    for (const auto &[Model, Rate] : Rates)
      Models.insert(Model);
  return Models;
}

auto desiredCopies(const model_rate &Rate) -> std::size_t {
  constexpr double MsPerSecond = 1000;
  if (Rate.PerSecond < LeastRate)
    return 0;
  return static_cast<std::size_t>(
      std::ceil(Rate.WorkMsPerSecond / (MsPerSecond * CopyUtilization)));
}

auto planLoad(const target_book &Book, const service_spec &Service,
              const model_name &Model, const demand &Demand, time_point Now)
    -> std::optional<load_plan> {
  const auto &Engine = Service.Engine;
  const auto Spec = Engine.Models.find(Model);
  if (Spec == Engine.Models.end())
    return std::nullopt;
  std::optional<load_plan> Best;
  for (const auto &[Name, Entry] : Book.all()) {
    const auto &Target = Entry.Target;
    if (Target.Service != Service.Name || !Entry.acceptsWork() ||
        Entry.ControllerAddress.empty() || Now < Entry.LoadBackoffUntil ||
        Target.Holdings.Models.contains(Model))
      continue;
    load_plan Plan;
    Plan.Target = Name;
    Plan.LoadMs = loadMs(Spec->second, Target.Holdings);
    double Free = Engine.WeightsMb;
    for (const auto &[Held, What] : Target.Holdings.Models)
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
    if (Entry.Change)
      Cost += BusyMs;
    Plan.CostMs = Cost;
    if (!Best || Cost < Best->CostMs)
      Best = Plan;
  }
  return Best;
}

} // namespace limpetbridge::serving
