#include "node_setup.h"

#include <sstream>

namespace limpetbridge {

namespace {

constexpr std::uint64_t BytesPerMb = 1'000'000;
constexpr double Percent = 100.0;

auto splitSeeds(const std::string &Text) -> std::vector<std::string> {
  std::vector<std::string> Seeds;
  std::istringstream Parts(Text);
  std::string Part;
  while (std::getline(Parts, Part, ','))
    if (!Part.empty())
      Seeds.push_back(Part);
  return Seeds;
}

auto toKind(const node_settings &Settings) -> target_kind {
  return Settings.TargetKind == "service" ? target_kind::Service
                                          : target_kind::Engine;
}

auto toRecord(const node_settings &Settings) -> instance_record {
  instance_record Self;
  Self.Name = instance_name(Settings.Name);
  Self.Role =
      Settings.Role == "agent" ? instance_role::Agent : instance_role::Entry;
  Self.DataCentre = data_centre_name(Settings.DataCentre);
  Self.Kind = toKind(Settings);
  Self.Service = service_name(Settings.TargetService);
  Self.Memory = {static_cast<std::uint64_t>(Settings.TargetMemoryMb) *
                 BytesPerMb};
  return Self;
}

auto toAgentOptions(const node_settings &Settings) -> agent_options {
  agent_options Agent;
  Agent.Kind = toKind(Settings);
  Agent.Memory = {static_cast<std::uint64_t>(Settings.TargetMemoryMb) *
                  BytesPerMb};
  Agent.ChecksFence = Settings.TargetChecksFence;
  Agent.Slots = static_cast<std::uint32_t>(Settings.TargetSlots);
  Agent.ShortSlots = static_cast<std::uint32_t>(Settings.TargetShortSlots);
  Agent.QueueLimit = static_cast<std::uint32_t>(Settings.TargetQueue);
  Agent.ReportInterval = milliseconds(Settings.ReportMs);
  Agent.OrderTimeout = milliseconds(Settings.OrderTimeoutMs);
  return Agent;
}

auto toEntryOptions(const node_settings &Settings) -> entry_options {
  entry_options Entry;
  Entry.MaxAttempts = static_cast<std::uint32_t>(Settings.MaxAttempts);
  Entry.RetryShare = static_cast<double>(Settings.RetryBudgetPercent) / Percent;
  Entry.HedgeShare = static_cast<double>(Settings.HedgeBudgetPercent) / Percent;
  Entry.ProgressTimeout = milliseconds(Settings.ProgressMs);
  Entry.BalancerWait = milliseconds(Settings.BalancerWaitMs);
  Entry.Seeds = splitSeeds(Settings.Seeds);
  return Entry;
}

} // namespace

auto toNodeOptions(const node_settings &Settings) -> node_options {
  node_options Options;
  Options.Self = toRecord(Settings);
  Options.Entry = toEntryOptions(Settings);
  Options.Agent = toAgentOptions(Settings);
  Options.PollInterval = milliseconds(Settings.PlatformPollMs);
  Options.DrainTimeout = milliseconds(Settings.DrainDeadlineMs);
  return Options;
}

auto checkSettings(const node_settings &Settings) -> result<void> {
  const bool Service =
      Settings.Role == "agent" && Settings.TargetKind == "service";
  if (Service && Settings.TargetService.empty())
    return failure(result_code::InvalidSetting,
                   "[target] service: a name is required when kind = service");
  if (Settings.Role == "agent" &&
      Settings.TargetShortSlots >= Settings.TargetSlots &&
      Settings.TargetSlots > 1)
    return failure(result_code::InvalidSetting,
                   "[target] short_slots must be less than slots, or long "
                   "work never runs");
  return boost::outcome_v2::success();
}

auto newIncarnation() -> incarnation {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return {static_cast<std::uint64_t>(
      std::chrono::duration_cast<microseconds>(Since).count())};
}

} // namespace limpetbridge
