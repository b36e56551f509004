/// \file
/// A gateway process: the callers' connections, the reducer that decides, and
/// messages to and from the other gateways and the controllers.
#ifndef LIMPETBRIDGE_NODE_SERVING_GATEWAY_NODE_H
#define LIMPETBRIDGE_NODE_SERVING_GATEWAY_NODE_H

#include "base/metrics.h"
#include "base/settings.h"
#include "caller_intake.h"
#include "digest_inbox.h"
#include "gateway_hooks.h"
#include "gateway_request.h"
#include "loop_monitor.h"
#include "net/server.h"
#include "net/target_connection.h"
#include "serving/gateway.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge {

/// One gateway. Runs on the thread that calls run.
class gateway_node {
public:
  /// Page of what is charged with crashes of targets.
  static constexpr std::string_view QuarantinePath = "/quarantine";

  /// Handles SIGTERM, SIGINT and SIGHUP from then on; run acts on them.
  /// \throws std::exception if an address cannot be bound.
  gateway_node(const node_settings &NodeSettings, gateway_hooks NodeHooks);

  /// Serves until SIGTERM, SIGINT or requestStop, then drains; returns when
  /// all connections are closed or the grace period is over.
  auto run() -> void;
  /// Drains and ends run. May be called from any thread.
  auto requestStop() -> void;

  /// Addresses that are bound, with the actual port where 0 was set.
  [[nodiscard]] auto callerAddress() const -> std::string;
  [[nodiscard]] auto readinessAddress() const -> std::string;
  [[nodiscard]] auto metricsAddress() const -> std::string;
  /// Where other gateways query what this one has read of the platform.
  [[nodiscard]] auto peersAddress() const -> std::string;

private:
  using connection = std::shared_ptr<net::caller_connection>;

  /// Reduces \p Event and executes its effects; an event that arrives
  /// meanwhile is reduced afterwards.
  auto dispatch(serving::gateway_event Event) -> void;
  auto countAttempt(const serving::attempt_ended &Ended) -> void;
  auto execute(const serving::set_deadline &Effect) -> void;
  auto execute(const serving::send_attempt &Effect) -> void;
  auto execute(const serving::set_hedge_timer &Effect) -> void;
  auto execute(const serving::cancel_attempt &Effect) -> void;
  auto execute(const serving::record_hedge &Effect) -> void;
  auto execute(const serving::close_connections &Effect) -> void;
  auto execute(const serving::refuse_request &Effect) -> void;
  auto execute(const serving::relay_failure &Effect) -> void;
  auto execute(const serving::request_load &Effect) -> void;
  auto execute(const serving::query_peer &Effect) -> void;
  auto execute(const serving::read_configuration &Effect) -> void;
  auto execute(const serving::check_target &Effect) -> void;
  auto execute(const serving::send_crash_report &Effect) -> void;
  auto execute(const serving::store_crashes &Effect) -> void;
  auto execute(const serving::send_digest &Effect) -> void;
  auto execute(const serving::send_prefill_notice &Effect) -> void;
  auto execute(const serving::send_quota_reports &Effect) -> void;
  auto execute(const serving::subscribe_to_controllers &Effect) -> void;
  auto execute(const serving::record_attempt_times &Effect) -> void;
  auto execute(const serving::record_key_check &Effect) -> void;
  auto execute(const serving::record_pacing &Effect) -> void;
  auto execute(const serving::record_fair_share &Effect) -> void;
  auto execute(const serving::write_note &Effect) -> void;
  auto sendCommand(serving::request_number Number,
                   gateway_request::command Command) -> void;

  /// Starts \p Task, which serves one request or one other process. An error
  /// that leaves it is logged and counted as \p Kind, and \p OnError is called.
  auto spawnContained(const char *Kind, net::awaitable<void> Task,
                      std::function<void()> OnError) -> void;
  auto serveCaller(connection Connection) -> net::awaitable<void>;
  auto serveRequests(connection Connection) -> net::awaitable<void>;
  /// Executes the effects of \p Event.
  auto apply(const serving::gateway_event &Event) -> void;
  /// The answer to a request that is not handled, which is logged.
  auto reject(const net::rejection &Rejection) -> net::http_response;
  auto serveRequest(connection Connection, net::read_outcome Outcome)
      -> net::awaitable<bool>;
  /// True if load balancers should send requests here.
  [[nodiscard]] auto isReady() const -> bool;
  auto handleReadinessCall(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto handleMetricsCall(net::http_request Request)
      -> net::awaitable<net::http_response>;
  /// Lists what is charged with crashes of targets, or lifts a quarantine.
  auto handleQuarantineCall(const net::http_request &Request)
      -> net::http_response;
  /// Tells where a request would go, without sending it.
  auto handleExplainCall(net::http_request Request) -> net::http_response;
  auto handlePeerCall(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto requestLoad(serving::request_load Effect) -> net::awaitable<void>;
  /// Connects to a target and dispatches what came of it.
  auto checkTarget(serving::check_target Check) -> net::awaitable<void>;
  /// Reads what gateways have left in the store of crashes, until it answers.
  auto readCrashRows() -> net::awaitable<void>;
  /// Writes what is known of crashes until nothing new has come meanwhile.
  auto writeCrashRow() -> net::awaitable<void>;
  /// Sends a query to another gateway and dispatches the outcome.
  auto queryPeer(serving::query_peer Query) -> net::awaitable<void>;
  /// Reads what an answer says of the peer's view; the query was sent at
  /// \p AskedAt.
  auto readView(const net::header_fields &Fields, time_point AskedAt,
                serving::peer_answered &Event) -> void;
  /// Applies the answer to a query. \returns false if there is none.
  auto applyPeerAnswer(const std::string &PeerAddress,
                       const std::optional<net::http_response> &Response)
      -> bool;
  /// Waits until there are changes that \p Query does not know, the targets are
  /// not read any more, or \p Deadline has passed.
  auto awaitChanges(const std::string &Query, time_point Deadline)
      -> net::awaitable<void>;
  auto handleLinkMessage(std::string_view Bytes) -> void;
  /// Reads a datagram, or keeps it if it is a digest.
  auto receiveDatagram(const std::string &From, std::string_view Bytes) -> void;
  /// Reads one digest that was kept, and the others in later turns.
  auto readNextDigest() -> void;
  /// Digests of other gateways that have not arrived; may be off by those that
  /// are not read yet.
  [[nodiscard]] auto lostDigests() const -> std::int64_t;
  /// Records the age of the configuration that a decision rests on.
  auto observeConfigurationAge(const char *Decision) -> void;
  /// How long the machine was suspended since the last suspension that was
  /// taken; not set if it was not.
  auto takeSuspension() -> std::optional<duration>;
  /// Sets what the metrics tell of quotas.
  auto setQuotaMetrics(time_point Now) -> void;
  /// Logs \p Report if this process lags behind or has lost digests.
  auto logLag(const loop_report &Report) -> void;
  /// Dispatches a tick at a fixed interval.
  auto runTicks() -> net::awaitable<void>;
  /// Drains: fails the readiness check, waits for the load balancer, then
  /// closes the connections.
  auto drainAndStop() -> net::awaitable<void>;
  /// Serves until no connection is open or \p Deadline has passed, and closes
  /// the connections that wait for a request.
  auto serveUntilIdle(time_point Deadline) -> net::awaitable<void>;
  /// Accepts no more connections and answers every open request; an answer that
  /// is not written by \p End is cut.
  auto answerOpenRequests(time_point End) -> net::awaitable<void>;
  /// Logs the requests and connections that the end of the process cuts.
  auto logUnansweredRequests() -> void;
  /// Applies the settings that may change at run time; addresses and names
  /// need a restart.
  auto applySettings(const node_settings &Changed) -> void;
  [[nodiscard]] auto connectionLimits() const -> net::connection_limits;

  node_settings Settings;
  gateway_hooks Hooks;
  net::asio::io_context Context;
  serving::gateway_state State;
  std::deque<serving::gateway_event> Events;
  bool Reducing = false; ///< dispatch is running.
  bool Draining = false; ///< Not ready; responses close the connection.
  serving::request_number LastRequestNumber = 0;
  std::map<serving::request_number, std::shared_ptr<gateway_request>> Requests;
  std::set<connection> Connections;
  body_budget Budget{0};
  request_environment Environment;
  metrics Metrics;
  std::shared_ptr<caller_intake> Intake;
  std::unique_ptr<net::listener> CallerListener;
  std::unique_ptr<net::listener> ReadinessListener;
  std::unique_ptr<net::listener> MetricsListener;
  std::unique_ptr<net::listener> PeerListener; ///< At the link's address.
  std::unique_ptr<net::listener> SeedListener; ///< For starting gateways.
  knowledge_sync KnowledgeSync;
  /// Connection to the gateway that reads the targets for this one.
  std::shared_ptr<net::persistent_client> TargetReader;
  std::string TargetReaderAddress;
  /// Queries of other gateways that wait for changes; cancelled to check again.
  std::vector<std::shared_ptr<net::asio::steady_timer>> WaitingQueries;
  std::set<workspace_name> CountedWorkspaces; ///< With a counter of their own.
  target_connections TargetConnections;
  bool CrashesChanged = false; ///< Since the last write began.
  bool WritingCrashes = false; ///< writeCrashRow runs.
  /// Of the machine, since it started; as of the last call of takeSuspension.
  std::optional<duration> SuspendedTime;
  serving::target_paces Paces; ///< Of streams, since the last tick.
  loop_monitor Loop{process_clock::now()};
  std::int64_t LostDigestsLogged = 0;
  std::uint64_t ReplacedDigestsLogged = 0;
  digest_inbox Digests;
  bool ReadingDigests = false; ///< readNextDigest is posted.
  std::unique_ptr<net::datagram_socket> LinkSocket;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_NODE_H
