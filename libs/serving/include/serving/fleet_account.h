/// \file
/// How many tokens the prompts of each workspace ask for over all gateways,
/// with or without a limit. Each gateway counts the prompts that it is about to
/// send to a target, and tells the others its rates with the reports about
/// quotas.
///
/// For other parts, the state of a gateway has one:
///   State.Account.workspaceRate(Workspace, Step.Now)
///     -> workspace_rate{PerSecond, Age}
///   State.Account.workspaceCount(Step.Now) -> std::size_t
#ifndef LIMPETBRIDGE_SERVING_FLEET_ACCOUNT_H
#define LIMPETBRIDGE_SERVING_FLEET_ACCOUNT_H

#include "base/ids.h"
#include "base/time.h"
#include "serving/quota_shares.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace limpetbridge::serving {

/// Tokens of the prompts of a workspace for which a target was found, whether
/// they are sent then or yield to others (fair shares). Requests without a
/// prompt do not count, nor do those that were refused before: for their key or
/// quota, or as no target serves them.
struct workspace_rate {
  double PerSecond = 0; ///< Of all gateways, averaged over about 2 s.
  /// Of the oldest report that is part of it; 0 if only requests at this
  /// gateway are.
  duration Age = duration::zero();
};

/// Rates of the workspaces in use, over all gateways.
class fleet_account {
public:
  /// A prompt with \p Tokens, 0 or more, is about to be sent by this gateway.
  /// To be called once for each request.
  auto record(const workspace_name &Workspace, double Tokens, time_point Now)
      -> void;
  /// Adds this gateway's own rates to the demands of \p Message.
  auto addTo(quota_message &Message, time_point Now) const -> void;
  /// Replaces the rates of \p From by those of \p Message, unless a newer one
  /// of it was received. Rates that are negative or not finite are ignored.
  auto receive(const instance_name &From, const quota_message &Message,
               time_point Now) -> void;
  /// Forgets what is over. To be called about once a second.
  auto update(time_point Now) -> void;

  /// The rate of \p Workspace; 0 if nobody uses it.
  [[nodiscard]] auto workspaceRate(const workspace_name &Workspace,
                                   time_point Now) const -> workspace_rate;
  /// Workspaces with a request within about the last 10 s at any gateway.
  [[nodiscard]] auto workspaceCount(time_point Now) const -> std::size_t;

private:
  /// The rate falls exponentially without requests.
  struct own_use {
    double Tokens = 0; ///< At At.
    time_point At;     ///< Last request.

    [[nodiscard]] auto perSecond(time_point Now) const -> double;
  };
  struct sender {
    std::uint64_t Incarnation = 0;
    std::uint64_t Number = 0; ///< Of the newest message.
    time_point HeardAt;
    std::map<workspace_name, double> Rates; ///< Tokens per second.
  };

  [[nodiscard]] auto isHeard(const sender &Sender, time_point Now) const
      -> bool;

  std::map<workspace_name, own_use> Own;
  std::map<instance_name, sender> Senders;
  /// Senders that name the workspace.
  std::map<workspace_name, std::map<instance_name, double>> Others;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_FLEET_ACCOUNT_H
