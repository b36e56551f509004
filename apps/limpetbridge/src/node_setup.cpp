#include "node_setup.h"

#include <algorithm>
#include <sstream>

namespace limpetbridge {

namespace {

constexpr std::uint64_t BytesPerMb = 1'000'000;
constexpr double Percent = 100.0;

auto splitSeeds(const std::string &Text) -> std::vector<std::string> {
  std::vector<std::string> Seeds;
  std::istringstream Stream(Text);
  std::string Seed;
  while (std::getline(Stream, Seed, ','))
    if (!Seed.empty())
      Seeds.push_back(Seed);
  return Seeds;
}

/// Time from the request to stop until open requests are answered with an
/// error. A quarter of the time before the supervisor kills the process is left
/// for writing these answers.
auto drainTimeout(const node_settings &Settings) -> duration {
  return std::min<duration>(milliseconds(Settings.DrainDeadlineMs),
                            milliseconds(Settings.StopGraceMs) * 3 / 4);
}

auto toTargetKind(const node_settings &Settings) -> target_kind {
  return Settings.TargetKind == "service" ? target_kind::Service
                                          : target_kind::Engine;
}

auto toInstanceRecord(const node_settings &Settings) -> instance_record {
  instance_record Record;
  Record.Name = instance_name(Settings.Name);
  Record.Role =
      Settings.Role == "agent" ? instance_role::Agent : instance_role::Entry;
  Record.DataCentre = data_centre_name(Settings.DataCentre);
  Record.Kind = toTargetKind(Settings);
  Record.Service = service_name(Settings.TargetService);
  Record.Memory = {static_cast<std::uint64_t>(Settings.TargetMemoryMb) *
                   BytesPerMb};
  return Record;
}

auto toAgentOptions(const node_settings &Settings) -> agent_options {
  agent_options Agent;
  Agent.Kind = toTargetKind(Settings);
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
  Options.Self = toInstanceRecord(Settings);
  Options.Entry = toEntryOptions(Settings);
  Options.Agent = toAgentOptions(Settings);
  Options.PollInterval = milliseconds(Settings.PlatformPollMs);
  Options.DrainTimeout = drainTimeout(Settings);
  return Options;
}

auto callerCutTimeout(const node_settings &Settings) -> duration {
  return milliseconds(Settings.StopGraceMs) * 7 / 8;
}

auto checkSettings(const node_settings &Settings) -> result<void> {
  const bool IsServiceAgent =
      Settings.Role == "agent" && Settings.TargetKind == "service";
  if (IsServiceAgent && Settings.TargetService.empty())
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
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return {static_cast<std::uint64_t>(
      std::chrono::duration_cast<microseconds>(SinceEpoch).count())};
}

} // namespace limpetbridge
