/// \file
/// A gateway process: callers' connections, the reducer, links to the others.
#ifndef LIMPETBRIDGE_NODE_SERVING_GATEWAY_NODE_H
#define LIMPETBRIDGE_NODE_SERVING_GATEWAY_NODE_H

#include "base/metrics.h"
#include "base/settings.h"
#include "gateway_hooks.h"
#include "gateway_request.h"
#include "net/server.h"
#include "serving/gateway.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace limpetbridge {

/// One gateway. Runs on the thread that calls run.
class gateway_node {
public:
  /// \throws std::exception if an address cannot be listened on.
  gateway_node(const node_settings &NodeSettings, gateway_hooks NodeHooks);

  /// Serves until SIGTERM, or requestStop, and the end of work in progress.
  auto run() -> void;
  /// Drains and ends run; from any thread.
  auto requestStop() -> void;

  /// Addresses that are listened on, with the ports that were picked.
  [[nodiscard]] auto callerAddress() const -> std::string;
  [[nodiscard]] auto readinessAddress() const -> std::string;
  [[nodiscard]] auto metricsAddress() const -> std::string;
  /// Where other gateways ask for what this one knows.
  [[nodiscard]] auto peersAddress() const -> std::string;

private:
  using connection = std::shared_ptr<net::caller_connection>;

  auto dispatch(serving::gateway_event Event) -> void;
  auto execute(const serving::set_deadline &Effect) -> void;
  auto execute(const serving::send_attempt &Effect) -> void;
  auto execute(const serving::refuse_request &Effect) -> void;
  auto execute(const serving::relay_failure &Effect) -> void;
  auto execute(const serving::ask_load &Effect) -> void;
  auto execute(const serving::ask_peer &Effect) -> void;
  auto execute(const serving::send_digest &Effect) -> void;
  auto execute(const serving::greet_controllers &Effect) -> void;
  auto execute(const serving::record_times &Effect) -> void;
  auto execute(const serving::write_note &Effect) -> void;
  auto command(serving::request_number Number, gateway_request::command Command)
      -> void;

  auto serveCaller(connection Connection) -> net::awaitable<void>;
  auto serveRequest(connection Connection, net::read_outcome Outcome)
      -> net::awaitable<bool>;
  auto answerReadiness(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto answerMetrics(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto answerPeer(net::http_request Request)
      -> net::awaitable<net::http_response>;
  auto askController(serving::ask_load Effect) -> net::awaitable<void>;
  auto askPeer(std::string PeerAddress) -> net::awaitable<void>;
  /// Serves whole-message calls at \p Address.
  auto listenForCalls(const std::string &Address,
                      const net::call_handler &Handler)
      -> std::unique_ptr<net::listener>;
  auto takeMessage(std::string_view Bytes) -> void;
  auto keepTime() -> net::awaitable<void>;
  auto stop() -> net::awaitable<void>;
  /// Takes over what may change while the process runs; addresses and names
  /// need a restart.
  auto apply(const node_settings &Changed) -> void;
  [[nodiscard]] auto limits() const -> net::connection_limits;

  node_settings Settings;
  gateway_hooks Hooks;
  net::asio::io_context Context;
  serving::gateway_state State;
  std::deque<serving::gateway_event> Events;
  bool Reducing = false;
  bool Draining = false;
  bool Closing = false;
  serving::request_number LastNumber = 0;
  std::map<serving::request_number, std::shared_ptr<gateway_request>> Requests;
  std::set<connection> Connections;
  request_environment Environment;
  std::unique_ptr<net::listener> Callers;
  std::unique_ptr<net::listener> Readiness;
  std::unique_ptr<net::listener> MetricsPage;
  std::unique_ptr<net::listener> PeerCalls; ///< At the link's address.
  std::unique_ptr<net::listener> SeedCalls; ///< Where starting gateways ask.
  knowledge_sync KnowledgeSync;
  metrics Metrics;
  std::unique_ptr<net::datagram_socket> Link;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_NODE_H
