#include "gateway_settings.h"

#include <algorithm>
#include <sstream>
#include <string>

namespace limpetbridge {

using namespace serving;

namespace {

/// Of a call to the store beyond its wait, and of the pause between two.
constexpr std::int64_t StoreReadSlackMs = 900;

} // namespace

auto gatewayOptions(const node_settings &Settings) -> gateway_options {
  gateway_options Options;
  Options.Self = instance_name(Settings.Name);
  Options.DataCentre = data_centre_name(Settings.DataCentre);
  Options.Retries.Ratio = Settings.RetryRatio;
  Options.Retries.Extra = Settings.RetryExtra;
  Options.Retries.Window = milliseconds(Settings.RetryWindowMs);
  Options.LostGrace = milliseconds(Settings.LostGraceMs);
  Options.MaxViewAge = maxViewAge(milliseconds(Settings.LeavingBoundMs));
  Options.MaxConfigurationAge =
      std::min(maxConfigurationAge(milliseconds(Settings.ConfigurationBoundMs)),
               maxViewAge(milliseconds(Settings.RevocationMs)));
  Options.Quarantine.Crashes =
      static_cast<std::uint32_t>(Settings.QuarantineCrashes);
  Options.Quarantine.Hold = milliseconds(Settings.QuarantineHoldMs);
  Options.RevocationBound = milliseconds(Settings.RevocationMs);
  Options.Hedging.MaxExtraPercent = Settings.MaxExtraPercent;
  Options.SelfLimit.CpuShare = Settings.CpuShare;
  Options.SelfLimit.ForwardBound = milliseconds(Settings.ForwardMs);
  Options.MeasuresPace = Settings.MeasurePace;
  Options.HasFairShares = Settings.FairSharesEnabled;
  Options.RevocationIsStrict = Settings.RevocationStrict;
  Options.Quota.Window = milliseconds(Settings.QuotaWindowMs);
  Options.Quota.Overrun = Settings.QuotaOverrun;
  Options.Quota.Slack = Settings.QuotaSlack;
  Options.Incarnation = gatewayIncarnation();
  Options.MaxTargetsAge = milliseconds(Settings.StoreWaitMs + StoreReadSlackMs);
  Options.Seed = stableHash(Settings.Name);
  std::istringstream Seeds(Settings.GatewaySeeds);
  for (std::string Seed; std::getline(Seeds, Seed, ',');)
    if (Seed != Settings.GatewayPeers)
      Options.Seeds.push_back(Seed);
  return Options;
}

} // namespace limpetbridge
