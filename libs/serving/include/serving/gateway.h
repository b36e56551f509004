/// \file
/// The gateway's reducer: routing, waiting for models, refusing, retrying.
#ifndef LIMPETBRIDGE_SERVING_GATEWAY_H
#define LIMPETBRIDGE_SERVING_GATEWAY_H

#include "serving/gateway_effects.h"
#include "serving/gateway_events.h"
#include "serving/placement.h"
#include "serving/retry_budget.h"
#include "serving/target_book.h"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace limpetbridge::serving {

/// What a gateway is told at its start.
struct gateway_options {
  instance_name Self;
  std::string Address; ///< Where the others reach this one, ip:port.
  data_centre_name DataCentre;
  retry_limits Retries;
  /// Time in which a lost row may come back before its target counts as gone.
  duration LostGrace = seconds(0);
  duration DigestInterval = milliseconds(100);
  /// Gateways that may be asked at a start without the store, ip:port.
  std::vector<std::string> Seeds;
  std::uint64_t Seed = 1;
};

/// A request in progress.
struct request_state {
  call Call;
  route Route;
  service_name Service;
  std::vector<prefix_key> PrefixKeys;
  time_point Deadline;
  time_point
      FirstOutputDeadline; ///< The caller leaves without a first byte by then.
  std::uint32_t Attempts = 0;         ///< Sends that a target may have seen.
  std::set<target_name> TriedTargets; ///< Not tried again.
  target_name CurrentTarget;          ///< Running there; empty while waiting.
  double PrefillMs = 0;               ///< Still counted at Current.
  double ExpectedFirstOutputMs = 0; ///< To the first output, when it was sent.
  bool MayHaveRun = false; ///< An earlier attempt did not end for certain.
  time_point SentAt;
  std::int64_t FirstOutputMs = -1; ///< From the send to the first output.
  std::optional<std::pair<target_name, std::string>> AwaitedLoad; ///< Load.
  std::uint32_t LoadRequests = 0;
};

/// All that a gateway knows.
struct gateway_state {
  gateway_options Options;
  configuration Configuration;
  route_table Routes;
  target_book Book;
  demand Demand;
  /// Observed time to read a prompt token, by model, ms.
  std::map<model_name, double> PrefillMsPerToken;
  std::map<service_name, retry_budget> RetryBudgets;
  std::map<request_number, request_state> Requests;
  std::map<instance_name, instance_record> Instances;
  /// Addresses of controllers by those of their targets.
  std::map<std::string, std::string> ControllerAddresses;
  /// Loads that this gateway has asked for; the time is when it gives up.
  struct pending_load {
    model_name Model;
    std::string Adapter;
    std::vector<model_name> Victims; ///< Unloaded for it.
    time_point ExpectedEnd;          ///< When it should be done.
    time_point Deadline;             ///< When it is given up.
  };
  std::map<target_name, std::vector<pending_load>> PendingLoads;
  std::map<instance_name, std::map<target_name, model_change>> PeerPendingLoads;
  std::map<instance_name, time_point> PeerDigestTimes; ///< Last digest of each.
  std::vector<std::tuple<target_name, prefix_key, std::uint32_t>>
      UnsentPrefixes;
  std::set<std::pair<target_name, adapter_key>> UnsentAdapterUse;
  /// Rows that lapsed while the store was away may come back until then.
  time_point RowGraceUntil;
  bool StoreReachable = true;
  /// What the others last told of themselves.
  struct peer_status {
    std::uint64_t Configuration = 0;
    bool StoreReachable = false;
  };
  std::map<instance_name, peer_status> PeerStatuses;
  /// Since when another gateway has a newer configuration, or this one none.
  time_point ConfigurationStaleSince = NoDeadline;
  time_point NextPeerQuery;
  std::size_t PeerQueryCount = 0; ///< Asked so far; picks whom to ask next.
  time_point NextDigest;
  time_point NextSubscription;
  std::minstd_rand Random;
};

[[nodiscard]] auto makeGatewayState(const gateway_options &Options)
    -> gateway_state;

/// Takes one event into \p State.
/// \returns what is to be done, in order.
[[nodiscard]] auto reduce(gateway_state &State, const gateway_event &Event,
                          time_point Now) -> gateway_effects;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_GATEWAY_H
