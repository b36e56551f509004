/// \file
/// A controller process: sends load and unload orders to the target that runs
/// on the same machine.
#ifndef LIMPETBRIDGE_NODE_SERVING_CONTROLLER_NODE_H
#define LIMPETBRIDGE_NODE_SERVING_CONTROLLER_NODE_H

#include "base/metrics.h"
#include "base/settings.h"
#include "caller_intake.h"
#include "controller_hooks.h"
#include "link_codec.h"
#include "net/server.h"
#include "net/target_connection.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace limpetbridge {

/// One controller. Runs on the thread that calls run.
class controller_node {
public:
  /// Handles SIGTERM, SIGINT and SIGHUP from then on; run acts on them.
  /// \throws std::exception if an address cannot be bound.
  controller_node(const node_settings &NodeSettings,
                  controller_hooks NodeHooks);

  /// Serves until SIGTERM, SIGINT or requestStop, then answers the load calls
  /// that are open; returns at the latest when the grace period is over.
  auto run() -> void;
  /// Drains and ends run. May be called from any thread.
  auto requestStop() -> void;

  /// Address of the metrics with its actual port; empty without metrics.
  [[nodiscard]] auto metricsAddress() const -> std::string;
  /// Address of load calls and datagrams with its actual port.
  [[nodiscard]] auto linkAddress() const -> std::string {
    return Settings.LinkAddress;
  }

private:
  /// A load job; load requests for the same model or adapter share it.
  struct job_state {
    serving::load_job Job;
    target_name Target;
    bool Done = false;
    bool OrderSent = false;
    bool LoadOrdered = false; ///< The target may have begun to load it.
    bool Held = false;        ///< The target holds the model or adapter.
    /// Cancelled when the job is done.
    std::vector<std::shared_ptr<net::asio::steady_timer>> Waiters;
  };
  using job = std::shared_ptr<job_state>;

  using connection = std::shared_ptr<net::caller_connection>;

  auto registerInstance() -> net::awaitable<void>;
  auto handleLoadCall(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto findOrCreateJob(const load_request &Request) -> job;
  /// Jobs for models or for adapters, with the connection on which the target's
  /// report is read.
  struct job_queue {
    explicit job_queue(net::persistent_client QueueClient)
        : Client(std::move(QueueClient)) {}
    std::deque<job> Jobs;
    bool Running = false;
    net::persistent_client Client;
  };

  /// Logs \p Event with the open connections, the calls that wait and the jobs
  /// whose order was sent.
  auto logOpenWork(const char *Event) const -> void;
  /// Begins no more jobs, finishes those whose order was sent, and ends run
  /// when all calls are answered.
  auto drainAndStop() -> net::awaitable<void>;
  /// Answers the calls that wait for \p Job: as not done unless it is held.
  auto endJob(job_state &Job) -> void;
  /// Waits until every call is answered or \p Deadline has passed.
  auto awaitAnswers(time_point Deadline) -> net::awaitable<void>;
  auto serveGateway(connection Connection) -> net::awaitable<void>;
  auto runJobs(job_queue &Queue) -> net::awaitable<void>;
  auto runJob(job_queue &Queue, job Job) -> net::awaitable<bool>;
  /// Reads the target's report; none if there is no answer in time.
  auto fetchReport(job_queue &Queue)
      -> net::awaitable<std::optional<serving::engine_report>>;
  /// The same, and tells the gateways what the target holds.
  auto readReport(job_queue &Queue)
      -> net::awaitable<std::optional<serving::engine_report>>;
  /// Writes what to leave to a successor to the store if that has changed.
  auto updateHandover() -> void;
  auto writeHandover() -> net::awaitable<void>;
  /// Updates the handover if order \p Number has no answer in time, and when it
  /// is not carried out any more.
  auto watchOrder(std::uint64_t Number) -> net::awaitable<void>;
  /// Sends the order of \p Step; the target refuses it if its sequence is not
  /// that of \p Report.
  auto sendOrder(const job_state &Job, const serving::order_step &Step,
                 const serving::engine_report &Report)
      -> net::awaitable<order_end>;
  /// Removes what \p Step unloads from the holdings that gateways receive, so
  /// that no more requests for it arrive.
  auto recordUnloadOrder(const serving::order_step &Step,
                         const serving::engine_report &Report) -> void;
  /// Sends the target's holdings to the subscribed gateways if they changed.
  auto publishHoldings(const serving::engine_report &Report) -> void;
  /// Acquires a permit of the weight store's rate limit.
  auto acquireLoadPermit() -> net::awaitable<load_permit>;
  auto handleMetricsCall(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto handleDatagram(std::string_view Bytes) -> void;
  /// Takes a configuration that was read, if it is newer.
  auto takeConfiguration(serving::configuration NewConfiguration,
                         const serving::configuration_source &Source) -> void;
  /// A gateway has seen the era \p Named of the store, which is a later one.
  auto checkEra(std::uint64_t Named) -> void;
  /// Null if the configuration has no engine for the target's service.
  [[nodiscard]] auto findEngine() const -> const serving::engine_spec *;

  node_settings Settings;
  controller_hooks Hooks;
  net::asio::io_context Context;
  serving::configuration Configuration;
  serving::configuration_history History;
  std::uint64_t StoreEra = 0; ///< Of the last configuration that was read.
  time_point NextEraCheck;
  bool Stopping = false;            ///< No job begins.
  std::set<connection> Connections; ///< Of load calls.
  std::uint64_t FencingToken = 0;   ///< 0: not registered, sends no orders.
  job_queue Models;
  job_queue Adapters;
  const time_point StartedAt = process_clock::now();
  serving::open_orders OpenOrders;
  serving::order_handover WrittenHandover; ///< As the store has it.
  bool WritingHandover = false;            ///< writeHandover runs.
  serving::holdings_report Published;      ///< Last sent to the gateways.
  std::set<model_name> UnloadingModels;    ///< Hidden from the gateways.
  std::set<serving::adapter_key> UnloadingAdapters; ///< The same.
  std::map<std::string, time_point> Subscribers;    ///< Address, expiry.
  std::map<serving::adapter_key, time_point> LastUsed;
  metrics Metrics;
  std::shared_ptr<caller_intake> Intake;
  std::unique_ptr<net::listener> CallListener;
  std::unique_ptr<net::listener> MetricsListener;
  std::unique_ptr<net::datagram_socket> LinkSocket;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_CONTROLLER_NODE_H
