/// \file
/// The gateway's reducer: routing, waiting for model loads, load shedding and
/// retries.
#ifndef LIMPETBRIDGE_SERVING_GATEWAY_H
#define LIMPETBRIDGE_SERVING_GATEWAY_H

#include "serving/configuration_history.h"
#include "serving/fair_share.h"
#include "serving/fleet_account.h"
#include "serving/gateway_effects.h"
#include "serving/gateway_events.h"
#include "serving/hedging.h"
#include "serving/knowledge_state.h"
#include "serving/placement.h"
#include "serving/priority_order.h"
#include "serving/quota_shares.h"
#include "serving/retry_budget.h"
#include "serving/self_limit.h"
#include "serving/stream_protection.h"
#include "serving/target_book.h"
#include "serving/workspaces.h"

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
  /// Oldest configuration by which requests are decided while another gateway
  /// may have a newer one.
  duration MaxConfigurationAge = milliseconds(2700);
  /// Least interval of the digests; see digestInterval.
  duration DigestInterval = milliseconds(100);
  quarantine_policy Quarantine;
  /// Time after which a key that was removed must be refused at every gateway
  /// that can reach another one.
  duration RevocationBound = seconds(5);
  /// No key is accepted on a configuration that may be older than the bound.
  bool RevocationIsStrict = false;
  hash_secret KeySecret; ///< Of the index of keys.
  keep_policy Connections;
  quota_policy Quota;
  std::uint64_t Incarnation = 0; ///< Of the process, for quotas.
  hedge_policy Hedging;
  self_limit_policy SelfLimit;
  bool HasFairShares = false;
  /// Whether the speed of targets is learned from the pace of streams.
  bool MeasuresPace = false;
  /// Gateways to query when this one starts while the store is unreachable,
  /// ip:port.
  std::vector<std::string> Seeds;
  std::uint64_t Seed = 1; ///< Of the random numbers.
};

/// One of two attempts at a request that are in progress.
struct parallel_attempt {
  attempt_number Number = 0;
  bool IsHedge = false;
  target_name Target;
  double PrefillMs = 0;
  double ExpectedFirstOutputMs = 0;
  time_point SentAt;
  std::int64_t FirstOutputMs = -1;
  std::uint64_t SentIncarnation = 0;
  bool OutputContinued = false;
  kept_connection Connection;
};

/// A request in progress.
struct request_state {
  call Call;
  route Route;
  /// Whose key the request carries, as of the last check; not set if it needs
  /// none. A key may move to another workspace between two attempts.
  std::optional<workspace_name> Workspace;
  key_digest KeyDigest;             ///< Of the key of Call.
  std::uint32_t TargetPriority = 0; ///< Sent to targets; 0 is served first.
  service_name Service;
  std::vector<prefix_key> PrefixKeys;
  time_point Deadline;
  /// The caller disconnects if the first byte has not arrived by then.
  time_point FirstOutputDeadline;
  std::uint32_t Attempts = 0;       ///< Attempts that a target may have seen.
  attempt_number AttemptNumber = 0; ///< Of the current attempt.
  bool IsHedge = false;             ///< The current attempt.
  /// The other attempt in progress; see gateway_hedging.cpp.
  std::optional<parallel_attempt> Other;
  bool WasHedged = false;   ///< No further hedge is sent.
  bool AnswerBegun = false; ///< Of any attempt; set only if hedging is on.
  std::set<target_name> TriedTargets; ///< Not tried again.
  target_name CurrentTarget;        ///< Runs it; empty while the request waits.
  double PrefillMs = 0;             ///< Still counted at CurrentTarget.
  double ExpectedFirstOutputMs = 0; ///< Estimated when it was sent.
  bool MayHaveRun = false;          ///< In an earlier attempt.
  time_point SentAt;
  std::int64_t FirstOutputMs = -1;   ///< Since SentAt; below 0: none yet.
  std::uint64_t SentIncarnation = 0; ///< Of CurrentTarget.
  bool OutputContinued = false;      ///< The current attempt's has.
  kept_connection Connection; ///< Of the last attempt; Number 0: a new one.
  bool NeedsNewConnection = false; ///< For the next attempt.
  /// While it is tried, no other request that has this may be in progress here.
  std::optional<suspect> TriedSuspect;
  /// Load that the request waits for: target, and adapter or empty.
  std::optional<std::pair<target_name, std::string>> AwaitedLoad;
  std::uint32_t LoadRequests = 0; ///< Loads requested for this request.
  /// Since when it has waited for a target without prefill; the epoch if it
  /// never did.
  time_point PacedSince;
  std::int64_t PacedMs = -1; ///< How long it waited; below 0: not at all.
  /// Fair shares: counts in the rate of its workspace; waits as others are
  /// served less.
  bool IsShared = false;
  bool IsHeld = false;
  bool IsHeldForKind = false;   ///< Only for a more urgent kind.
  time_point HeldSince;         ///< Of the first such wait; the epoch: none.
  bool AwaitsCrashRows = false; ///< It waits for what the store has of crashes.
  bool IsRouted = false;        ///< Route and service are decided.
  /// It waits until this is known to be recent; not set if it does not.
  std::optional<knowledge_kind> Awaited;
  /// What the request was charged with in a quota, or waits for; not set if
  /// there is no limit.
  struct quota_charge {
    workspace_name Workspace; ///< The key may move to another one later.
    double Tokens = 0;
  };
  std::optional<quota_charge> Charge;
  /// When a wait for the quota ends or has ended; not set without one.
  std::optional<time_point> QuotaWaitEnd;
};

/// Complete state of a gateway.
struct gateway_state {
  gateway_options Options;
  configuration Configuration;
  configuration_history ConfigurationHistory;
  std::uint64_t StoreEra = 0; ///< 0: unknown, or the store counts none.
  route_table Routes;
  std::map<service_name, stream_bounds> StreamBounds; ///< Of protected ones.
  std::map<service_name, service_pace> ServicePaces;  ///< The same.
  priority_order Priorities;
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
  kept_connections KeptConnections;
  connection_trust ConnectionTrust;
  hedging Hedging;
  self_limit SelfLimit;
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
    std::uint64_t Incarnation = 0;
    time_point LastEndAt;
    std::size_t Attempts = 0;
    std::set<suspect> Begun;   ///< Of attempts whose answer had begun.
    std::set<suspect> Waiting; ///< Of the others.
    bool IsChecked = false;    ///< A check of the target is in progress.
  };
  std::map<target_name, possible_crash> PossibleCrashes;
  /// Prompts are not sent before, unless the rows are read; the epoch if they
  /// need not be awaited.
  time_point CrashRowsAwaitedUntil;
  /// The own row is to be written then, as another gateway has cleared what it
  /// may name; NoDeadline if it need not be.
  time_point CrashRowDueAt = NoDeadline;
  time_point CrashesStoredAt;  ///< When the own row was last to be written.
  suspect LastReportedSuspect; ///< The next periodic report begins after it.
  /// State of another gateway according to its last digest.
  struct peer_status {
    configuration_mark Configuration; ///< In force; the hash is not known.
    std::uint64_t StoreEra = 0;       ///< That it has seen.
    bool StoreReachable = false;
    data_centre_name DataCentre;
    /// When it last read the targets from the store; the epoch if it does not
    /// read them.
    time_point TargetsReadAt;
    /// As of when its rows of the targets were complete; the epoch if it has
    /// not said.
    time_point TargetsKnownAt;
    time_point ConfigurationKnownAt;  ///< The same for its configuration.
    std::uint64_t TargetsVersion = 0; ///< Newest row that it knows.
    time_point ReadyAt; ///< When it takes any request; the past if it does.
    bool Overloaded = false; ///< For some seconds.
  };
  std::map<instance_name, peer_status> PeerStatuses;
  /// Start of the time in which this gateway has no configuration or a peer
  /// has a newer one; NoDeadline if neither is so.
  time_point ConfigurationStaleSince = NoDeadline;
  key_index Keys;                     ///< Of the configuration in force.
  knowledge_state ConfigurationAge;   ///< Of the configuration in force.
  std::optional<quota_shares> Quotas; ///< Set if there are quotas.
  fleet_account Account; ///< Rates of all workspaces, also without quotas.
  std::uint64_t RateReports = 0; ///< Sent without quotas.
  /// When gateways were last listed, this one included.
  std::map<instance_name, time_point> GatewaysListedAt;
  bool HasQuotaLimits = false; ///< Of any workspace.
  time_point NextQuotaReport;
  /// Gateways may have to be told at once what has changed about quotas.
  bool QuotasChanged = false;
  std::set<request_number> QuotaWaits; ///< Requests that wait for tokens.
  time_point NextEraCheck; ///< Next read because a peer has seen a later era.
  /// This gateway reads the targets from the store; the others of its data
  /// centre get them from it.
  bool ReadsTargets = true;
  /// Last read of the targets from the store; the epoch if the last call
  /// failed or none was answered yet.
  time_point TargetsReadAt;
  knowledge_state Targets; ///< Of the rows of the targets.
  /// That was before the last rise of the store's era.
  bool ViewIsOfOldEra = false;
  time_point FirstViewAt;       ///< When the first read or answer arrived.
  time_point LastPeerMessageAt; ///< Digest or answer of any gateway.
  time_point LastTurnAt;        ///< Of the last event.
  time_point LastTickAt;
  /// End of the last time in which this process had too few turns to hear of
  /// others; the epoch if there was none.
  time_point RunningSince;
  time_point NextKnowledgeQuery;
  duration KnowledgeAskInterval = duration::zero();
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
  /// Prompts that wait for a target without prefill, by the time at which they
  /// are sent at the latest.
  std::set<std::pair<time_point, request_number>> Paced;
  time_point PacedExaminedAt; ///< Time of their last examination.
  fair_share Fairness;
  fair_queue HeldRequests;
  /// When a request of a service could last not be in time for others.
  std::map<service_name, time_point> ContendedAt;
  /// Notices of prefill that may be sent now, and as of when.
  double NoticeCredit = 0;
  time_point NoticeCreditAt;
  std::uint64_t NoticesHeldBack = 0; ///< For their rate.
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

/// The oldest configuration by which requests may be decided, if one that the
/// store has acknowledged must be in force after \p ApplyBound.
[[nodiscard]] auto maxConfigurationAge(duration ApplyBound) -> duration;

/// Longest wait of a read of the targets for changes. A view of another gateway
/// that reads them this way is current as well.
[[nodiscard]] auto maxTargetsWait(duration MaxViewAge) -> duration;

/// The same for the configuration, which may be as old as \p MaxAge.
[[nodiscard]] auto maxConfigurationWait(duration MaxAge) -> duration;

[[nodiscard]] auto makeGatewayState(const gateway_options &Options)
    -> gateway_state;

/// Time since this gateway last read the targets from the store, ms; below 0 if
/// it does not read them or its last call failed.
[[nodiscard]] auto targetsReadAgeMs(const gateway_state &State, time_point Now)
    -> std::int64_t;

/// Age of the view of the targets that other gateways may rely on, ms; below 0
/// if there is none in this era of the store.
[[nodiscard]] auto targetsKnownAgeMs(const gateway_state &State, time_point Now)
    -> std::int64_t;

/// False while this kind of knowledge is too old to decide requests by, and
/// another gateway may know better. If no other one does, old knowledge is
/// used.
[[nodiscard]] auto mayDecide(const gateway_state &State, knowledge_kind Kind,
                             time_point Now) -> bool;

/// True if requests are refused because that has been so for some time.
[[nodiscard]] auto mustLeaveToOthers(const gateway_state &State,
                                     knowledge_kind Kind, time_point Now)
    -> bool;

/// True if load balancers should send requests elsewhere, as this gateway has
/// been overloaded for some seconds: in each data centre at most a quarter of
/// the gateways at once, as far as their digests tell.
[[nodiscard]] auto signalsOverload(const gateway_state &State) -> bool;

/// False if the key of the request was removed while its attempt connected to
/// the target, so that it must not be sent.
[[nodiscard]] auto hasValidKey(const gateway_state &State,
                               request_number Number) -> bool;

/// Age of the configuration in force, ms; below 0 if it is not known.
[[nodiscard]] auto configurationAgeMs(const gateway_state &State,
                                      time_point Now) -> std::int64_t;

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
