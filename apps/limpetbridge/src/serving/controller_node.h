/// \file
/// A controller process: the one that gives orders to the target beside it.
#ifndef LIMPETBRIDGE_NODE_SERVING_CONTROLLER_NODE_H
#define LIMPETBRIDGE_NODE_SERVING_CONTROLLER_NODE_H

#include "base/metrics.h"
#include "base/settings.h"
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
  /// \throws std::exception if an address cannot be listened on.
  controller_node(const node_settings &NodeSettings,
                  controller_hooks NodeHooks);

  /// Serves until SIGTERM or requestStop.
  auto run() -> void;
  /// Ends run; from any thread.
  auto requestStop() -> void;

  /// Address of the metrics, with the port that was picked.
  [[nodiscard]] auto metricsAddress() const -> std::string;

private:
  /// A load request in progress; requests for the same thing share it.
  struct job_state {
    serving::load_job Job;
    target_name Target;
    bool Done = false;
    bool Held = false;
    std::vector<std::shared_ptr<net::asio::steady_timer>> Waiters;
  };
  using job = std::shared_ptr<job_state>;

  auto start() -> net::awaitable<void>;
  auto answerCall(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto findJob(const load_request &Request) -> job;
  /// Jobs of one kind, and the connection that serves them.
  struct job_line {
    explicit job_line(net::kept_client LineClient)
        : Client(std::move(LineClient)) {}
    std::deque<job> Queue;
    bool Running = false;
    net::kept_client Client;
  };

  auto runJobs(job_line &Line) -> net::awaitable<void>;
  auto runJob(job_line &Line, job Job) -> net::awaitable<bool>;
  auto readReport(job_line &Line)
      -> net::awaitable<std::optional<serving::engine_report>>;
  auto carryOut(job_line &Line, const job_state &Job,
                const serving::order_step &Step, std::uint64_t Sequence)
      -> net::awaitable<order_end>;
  auto noteOrdered(const serving::order_step &Step,
                   const serving::engine_report &Report) -> void;
  /// Tells the gateways if anything has changed.
  auto tell(const serving::engine_report &Report) -> void;
  auto permitLoad() -> net::awaitable<bool>;
  auto answerMetrics(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto takeDatagram(std::string_view Bytes) -> void;
  [[nodiscard]] auto engine() const -> const serving::engine_spec *;

  node_settings Settings;
  controller_hooks Hooks;
  net::asio::io_context Context;
  serving::configuration Configuration;
  std::uint64_t FencingToken = 0; ///< 0: not known yet, no orders.
  job_line Models;
  job_line Adapters;
  serving::holdings_told Told;
  std::set<model_name> Leaving; ///< Being unloaded; takes no requests.
  std::set<serving::adapter_key> LeavingAdapters; ///< The same.
  std::map<std::string, time_point> Gateways;     ///< Until when they are told.
  std::map<serving::adapter_key, time_point> LastUsed;
  metrics Metrics;
  std::unique_ptr<net::listener> Calls;
  std::unique_ptr<net::listener> MetricsPage;
  std::unique_ptr<net::datagram_socket> Link;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_CONTROLLER_NODE_H
