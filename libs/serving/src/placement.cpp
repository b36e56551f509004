#include "serving/placement.h"

#include <algorithm>
#include <cmath>

namespace limpetbridge::serving {

namespace {

/// Time constant of the moving average; demand changes within seconds.
constexpr double DemandSeconds = 3;
/// Share of a target's time for the prefills of one model; the rest is reserved
/// for bursts and for the other models of the target.
constexpr double CopyUtilization = 0.3;
/// Lowest demand that requires a copy, requests per second.
constexpr double MinRate = 0.02;
/// Time after its load in which a model is not evicted.
constexpr duration MinResidency = milliseconds(2500);
/// Cost factor for evicting a copy that the demand does not require.
constexpr double SurplusCopyFactor = 0.1;
/// Cost factor for evicting the last copy of a model.
constexpr double LastCopyFactor = 3;
/// Cost of delaying each request in progress at the loading target, ms.
constexpr double ActiveRequestCostMs = 10;
/// Cost of waiting for another load at the same target, ms.
constexpr double QueuedLoadCostMs = 1500;
/// Time over which the demand for a victim is counted, seconds.
constexpr double HorizonSeconds = 4;

auto secondsBetween(time_point From, time_point To) -> double {
  return std::chrono::duration<double>(To - From).count();
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

auto weightsMb(const engine_spec &Engine, const model_name &Model,
               const loaded_model &Loaded) -> double {
  const auto Found = Engine.Models.find(Model);
  if (Found == Engine.Models.end())
    return 0;
  return Found->second.WeightsMb +
         Found->second.AdapterMb * static_cast<double>(Loaded.Adapters.size());
}

/// Accelerator memory that is free once the loads in progress have ended.
auto freeMb(const engine_spec &Engine, const target_entry &Entry) -> double {
  double FreeMb = Engine.WeightsMb;
  for (const auto &[Name, Loaded] : Entry.Target.Holdings.Models)
    if (Entry.serves(Name))
      FreeMb -= weightsMb(Engine, Name, Loaded);
  for (const auto &Model : Entry.ModelsLoading)
    if (!Entry.Target.Holdings.Models.contains(Model))
      FreeMb -= weightsMb(Engine, Model, {});
  return FreeMb;
}

using copy_counts = std::map<model_name, std::size_t>;

/// Number of targets that serve each model and accept work.
auto countCopies(const target_book &Book) -> copy_counts {
  copy_counts Counts;
  for (const auto &[Name, Entry] : Book.all())
    for (const auto &[Model, Loaded] : Entry.Target.Holdings.Models)
      if (Entry.acceptsWork() && Entry.serves(Model))
        ++Counts[Model];
  return Counts;
}

auto evictionCandidates(const target_entry &Entry,
                        const copy_counts &CopyCounts,
                        const engine_spec &Engine, const demand &Demand,
                        time_point Now) -> std::vector<victim> {
  std::vector<victim> Candidates;
  for (const auto &[Model, Loaded] : Entry.Target.Holdings.Models) {
    if (!Entry.serves(Model))
      continue;
    const auto Count = CopyCounts.find(Model);
    const auto Copies = static_cast<double>(
        Count == CopyCounts.end() ? std::size_t{0} : Count->second);
    const auto Spec = Engine.Models.find(Model);
    const double ReloadMs = Spec == Engine.Models.end()
                                ? 0
                                : loadMs(Spec->second, Entry.Target.Holdings);
    const auto Rate = Demand.rate(Model, Now);
    const auto LoadedAt = Entry.LoadedAt.find(Model);
    if (LoadedAt != Entry.LoadedAt.end() &&
        Now - LoadedAt->second < MinResidency)
      continue;
    // Until a copy is reloaded, its share of the demand is delayed.
    double Cost =
        Rate.PerSecond * HorizonSeconds * ReloadMs / std::max(Copies, 1.0);
    if (Copies <= 1)
      Cost = LastCopyFactor * (Cost + ReloadMs);
    else if (Copies > static_cast<double>(desiredCopies(Rate)))
      Cost *= SurplusCopyFactor;
    Candidates.push_back({Model, Cost, weightsMb(Engine, Model, Loaded)});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const victim &Left, const victim &Right) {
              return Left.Cost < Right.Cost;
            });
  return Candidates;
}

} // namespace

auto demand::recordRequest(const model_name &Model, double WorkMs,
                           time_point Now) -> void {
  auto &Counter = OwnCounters[Model];
  const double Decay =
      std::exp(-secondsBetween(Counter.UpdatedAt, Now) / DemandSeconds);
  Counter.Requests = Counter.Requests * Decay + 1;
  Counter.WorkMs = Counter.WorkMs * Decay + WorkMs;
  Counter.UpdatedAt = Now;
}

auto demand::setPeerRates(const instance_name &Peer, const model_rates &Rates)
    -> void {
  auto &Known = PeerRates[Peer];
  subtractRates(Known);
  for (const auto &[Model, Rate] : Rates) {
    auto &Total = PeerTotals[Model];
    Total.Sum.PerSecond += Rate.PerSecond;
    Total.Sum.WorkMsPerSecond += Rate.WorkMsPerSecond;
    ++Total.Peers;
  }
  Known = Rates;
}

auto demand::removePeer(const instance_name &Peer) -> void {
  const auto Found = PeerRates.find(Peer);
  if (Found == PeerRates.end())
    return;
  subtractRates(Found->second);
  PeerRates.erase(Found);
}

auto demand::subtractRates(const model_rates &Rates) -> void {
  for (const auto &[Model, Rate] : Rates) {
    const auto Found = PeerTotals.find(Model);
    auto &Total = Found->second;
    // Rounding errors go with the last peer, and never leave a sum below 0.
    if (--Total.Peers == 0) {
      PeerTotals.erase(Found);
      continue;
    }
    Total.Sum.PerSecond = std::max(0.0, Total.Sum.PerSecond - Rate.PerSecond);
    Total.Sum.WorkMsPerSecond =
        std::max(0.0, Total.Sum.WorkMsPerSecond - Rate.WorkMsPerSecond);
  }
}

auto demand::rateOf(const counter &Counter, time_point Now) -> model_rate {
  const double Decay =
      std::exp(-secondsBetween(Counter.UpdatedAt, Now) / DemandSeconds);
  return {Counter.Requests * Decay / DemandSeconds,
          Counter.WorkMs * Decay / DemandSeconds};
}

auto demand::rate(const model_name &Model, time_point Now) const -> model_rate {
  model_rate Sum;
  if (const auto Found = OwnCounters.find(Model); Found != OwnCounters.end())
    Sum = rateOf(Found->second, Now);
  if (const auto Found = PeerTotals.find(Model); Found != PeerTotals.end()) {
    Sum.PerSecond += Found->second.Sum.PerSecond;
    Sum.WorkMsPerSecond += Found->second.Sum.WorkMsPerSecond;
  }
  return Sum;
}

auto demand::ownRates(time_point Now) const -> model_rates {
  model_rates Rates;
  for (const auto &[Model, Counter] : OwnCounters)
    if (const auto Rate = rateOf(Counter, Now); Rate.PerSecond >= MinRate)
      Rates[Model] = Rate;
  return Rates;
}

auto demand::models() const -> std::set<model_name> {
  std::set<model_name> Models;
  for (const auto &[Model, Counter] : OwnCounters)
    Models.insert(Model);
  for (const auto &[Model, Total] : PeerTotals)
    Models.insert(Model);
  return Models;
}

auto desiredCopies(const model_rate &Rate) -> std::size_t {
  constexpr double MsPerSecond = 1000;
  if (Rate.PerSecond < MinRate)
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
  const auto CopyCounts = countCopies(Book);
  std::optional<load_plan> Best;
  for (const auto &[Name, Entry] : Book.all()) {
    const auto &Target = Entry.Target;
    if (Target.Service != Service.Name || !Entry.acceptsRequests(Now) ||
        Entry.ControllerAddress.empty() || Now < Entry.LoadBackoffUntil ||
        Target.Holdings.Models.contains(Model))
      continue;
    load_plan Plan;
    Plan.Target = Name;
    Plan.LoadMs = loadMs(Spec->second, Target.Holdings);
    double FreeMb = freeMb(Engine, Entry);
    double Cost =
        Plan.LoadMs + ActiveRequestCostMs * Entry.load().activeCount();
    for (const auto &Victim :
         evictionCandidates(Entry, CopyCounts, Engine, Demand, Now)) {
      if (FreeMb >= Spec->second.WeightsMb)
        break;
      FreeMb += Victim.FreedMb;
      Cost += Victim.Cost;
      Plan.Victims.push_back(Victim.Model);
    }
    if (FreeMb < Spec->second.WeightsMb)
      continue;
    if (Entry.Change)
      Cost += QueuedLoadCostMs;
    Plan.CostMs = Cost;
    if (!Best || Cost < Best->CostMs)
      Best = Plan;
  }
  return Best;
}

} // namespace limpetbridge::serving
