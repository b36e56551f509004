/// \file
/// The gateway's reducer: routing, waiting for model loads, load shedding and
/// retries.
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

/// Settings of a gateway.
struct gateway_options {
  instance_name Self;
  std::string Address; ///< For messages from other instances, ip:port.
  data_centre_name DataCentre;
  retry_limits Retries;
  /// Grace period in which a missing row may return before its target is
  /// removed.
  duration LostGrace = seconds(0);
  /// Oldest read of the targets that another gateway may rely on: the longest
  /// call to the store, and the pause between two of them.
  duration MaxTargetsAge = milliseconds(1900);
  /// Oldest view of the targets on which requests are sent while another
  /// gateway may have a newer one.
  duration MaxViewAge = milliseconds(1600);
  /// Least interval of the digests; see digestInterval.
  duration DigestInterval = milliseconds(100);
  quarantine_policy Quarantine;
  /// Gateways to query when this one starts while the store is unreachable,
  /// ip:port.
  std::vector<std::string> Seeds;
  std::uint64_t Seed = 1; ///< Of the random numbers.
};

/// A request in progress.
struct request_state {
  call Call;
  route Route;
  service_name Service;
  std::vector<prefix_key> PrefixKeys;
  time_point Deadline;
  /// The caller disconnects if the first byte has not arrived by then.
  time_point FirstOutputDeadline;
  std::uint32_t Attempts = 0;         ///< Attempts that a target may have seen.
  std::set<target_name> TriedTargets; ///< Not tried again.
  target_name CurrentTarget;        ///< Runs it; empty while the request waits.
  double PrefillMs = 0;             ///< Still counted at CurrentTarget.
  double ExpectedFirstOutputMs = 0; ///< Estimated when it was sent.
  bool MayHaveRun = false;          ///< In an earlier attempt.
  time_point SentAt;
  std::int64_t FirstOutputMs = -1;   ///< Since SentAt; below 0: none yet.
  std::uint64_t SentIncarnation = 0; ///< Of CurrentTarget.
  bool OutputContinued = false;      ///< The current attempt's has.
  /// While it is tried, no other request that has this may be in progress here.
  std::optional<suspect> TriedSuspect;
  /// Load that the request waits for: target, and adapter or empty.
  std::optional<std::pair<target_name, std::string>> AwaitedLoad;
  std::uint32_t LoadRequests = 0; ///< Loads requested for this request.
  bool AwaitsView = false; ///< It waits for a current view of the targets.
};

/// Complete state of a gateway.
struct gateway_state {
  gateway_options Options;
  configuration Configuration;
  route_table Routes;
  target_book Book;
  demand Demand;
  /// Moving average of the observed prefill time per token, by model, ms.
  std::map<model_name, double> PrefillMsPerToken;
  /// Moving average of the observed time in a slot per requested output token,
  /// by model, ms.
  std::map<model_name, double> DecodeMsPerToken;
  /// When open requests are answered because of a stop; NoDeadline without one.
  time_point StopDeadline = NoDeadline;
  /// From then on only callers that keep a connection send requests, because of
  /// the stop; NoDeadline without one.
  time_point BalancerEnd = NoDeadline;
  std::map<service_name, retry_budget> RetryBudgets;
  std::map<request_number, request_state> Requests;
  std::map<instance_name, instance_record> Instances;
  /// Addresses of controllers by the addresses of their targets.
  std::map<std::string, std::string> ControllerAddresses;
  /// A load that this gateway requested and that has not been answered.
  struct pending_load {
    model_name Model;
    std::string Adapter;
    std::vector<model_name> Victims; ///< Models that are evicted for it.
    time_point ExpectedEnd;
    time_point Deadline; ///< When it counts as failed.
  };
  std::map<target_name, std::vector<pending_load>> PendingLoads;
  std::map<instance_name, std::map<target_name, model_change>> PeerPendingLoads;
  std::map<instance_name, time_point> PeerDigestTimes; ///< Of the last one.
  std::map<instance_name, std::uint64_t> PeerDigestSequences;
  std::uint64_t MissingDigests = 0; ///< Whose numbers were skipped.
  std::uint64_t DigestSequence = 0; ///< Of the last own one.
  /// Prompt parts and adapter uses that are not in a digest yet.
  std::map<std::pair<target_name, prefix_key>, std::uint32_t> UnsentPrefixes;
  std::set<std::pair<target_name, adapter_key>> UnsentAdapterUse;
  /// A target that said to this gateway that it leaves.
  struct leaving_target {
    std::uint64_t Incarnation = 0;
    int DigestsLeft = 0; ///< That will name it, as one may be lost.
  };
  std::map<target_name, leaving_target> UnsentLeaving;
  /// Rows that expired while the store was unreachable may return until then;
  /// NoDeadline while it does not answer.
  time_point RowGraceUntil;
  bool StoreReachable = true;
  crash_ledger Crashes;
  /// Attempts that ended together at one target, with little or no answer. They
  /// count once the target is known to have ended.
  struct possible_crash {
    struct attempt {
      std::vector<suspect> Suspects;
      bool AnswerBegun = false;
    };
    std::uint64_t Incarnation = 0;
    time_point LastEndAt;
    std::vector<attempt> Attempts;
    bool IsChecked = false; ///< A check of the target is in progress.
  };
  std::map<target_name, possible_crash> PossibleCrashes;
  suspect LastReportedSuspect; ///< The next periodic report begins after it.
  /// State of another gateway according to its last digest.
  struct peer_status {
    std::uint64_t Configuration = 0; ///< Version in force.
    bool StoreReachable = false;
    data_centre_name DataCentre;
    /// When it last read the targets from the store; the epoch if it does not
    /// read them.
    time_point TargetsReadAt;
    /// As of when its rows of the targets were complete; the epoch if it has
    /// not said.
    time_point TargetsKnownAt;
    std::uint64_t TargetsVersion = 0; ///< Newest row that it knows.
    time_point ReadyAt; ///< When it takes any request; the past if it does.
  };
  std::map<instance_name, peer_status> PeerStatuses;
  /// Start of the time in which this gateway has no configuration or a peer
  /// has a newer one; NoDeadline if neither is so.
  time_point ConfigurationStaleSince = NoDeadline;
  /// This gateway reads the targets from the store; the others of its data
  /// centre get them from it.
  bool ReadsTargets = true;
  /// Last read of the targets from the store; the epoch if the last call
  /// failed or none was answered yet.
  time_point TargetsReadAt;
  /// As of when the rows of the targets are known to be complete, whoever read
  /// them; the epoch before the first read.
  time_point TargetsKnownAt;
  time_point FirstViewAt; ///< When the first read or answer arrived.
  /// Start of the time in which the view of the targets has been too old to
  /// send requests; NoDeadline if it is not.
  time_point ViewStaleSince = NoDeadline;
  time_point LastPeerMessageAt; ///< Digest or answer of any gateway.
  /// Until then no other gateway is assumed to have newer rows, as one that was
  /// asked had none.
  time_point PeersStaleUntil;
  time_point NextViewQuery;
  duration ViewAskInterval = duration::zero();
  /// Address of the gateway that was asked for the targets and has not answered
  /// yet; empty if none was asked.
  std::string AskedReader;
  time_point NextReaderQuery;
  /// Until when the rows of the gateway that reads the targets count as current
  /// without another answer of it.
  time_point TargetsCurrentUntil;
  /// Gateways that left a query without an answer, and until when they are not
  /// asked for the targets.
  std::map<std::string, time_point> UnansweredUntil;
  std::uint64_t TargetsVersion = 0; ///< Newest row of a target that is known.
  time_point NextPeerQuery;
  std::size_t PeerQueryCount = 0; ///< Selects the next peer, round-robin.
  /// Since when no target serves a model.
  std::map<model_name, time_point> UnservedSince;
  time_point NextRestore; ///< Next check for models without a copy.
  time_point NextDigest;
  time_point NextSubscription;
  std::minstd_rand Random;
};

/// The oldest view on which requests may be sent, if targets that leave must
/// get none after \p LeavingBound.
[[nodiscard]] auto maxViewAge(duration LeavingBound) -> duration;

/// Longest wait of a read of the targets for changes. A view of another gateway
/// that reads them this way is current as well.
[[nodiscard]] auto maxTargetsWait(duration MaxViewAge) -> duration;

[[nodiscard]] auto makeGatewayState(const gateway_options &Options)
    -> gateway_state;

/// Time since this gateway last read the targets from the store, ms; below 0 if
/// it does not read them or its last call failed.
[[nodiscard]] auto targetsReadAgeMs(const gateway_state &State, time_point Now)
    -> std::int64_t;

/// False while the view of the targets is too old to send requests and another
/// gateway may have a newer one. If no other one has, old rows are used.
[[nodiscard]] auto mayChooseTargets(const gateway_state &State, time_point Now)
    -> bool;

/// True if requests are refused because the view is too old.
[[nodiscard]] auto hasLostView(const gateway_state &State, time_point Now)
    -> bool;

/// True if a row that is missing here was deleted: it is not one of those that
/// lapse while the store is unreachable and may come back.
[[nodiscard]] auto rowsAreSettled(const gateway_state &State, time_point Now)
    -> bool;

/// Applies one event to \p State.
/// \returns the effects to execute, in order.
[[nodiscard]] auto reduce(gateway_state &State, const gateway_event &Event,
                          time_point Now) -> gateway_effects;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_GATEWAY_H
