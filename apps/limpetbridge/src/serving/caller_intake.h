/// \file
/// Bounds what a gateway or a controller holds for callers on all its
/// listeners: carries out what serving::intake_budget decides, at the
/// connections.
#ifndef LIMPETBRIDGE_NODE_SERVING_CALLER_INTAKE_H
#define LIMPETBRIDGE_NODE_SERVING_CALLER_INTAKE_H

#include "base/metrics.h"
#include "base/settings.h"
#include "net/server.h"
#include "serving/intake_budget.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace limpetbridge {

/// Limits from the settings and the descriptors of the process.
[[nodiscard]] auto makeIntakeOptions(const node_settings &Settings)
    -> serving::intake_options;

/// To be used on the thread of its io_context only. Outlives its listeners; its
/// connections may outlive it.
class caller_intake : public std::enable_shared_from_this<caller_intake> {
public:
  caller_intake(net::asio::io_context &NodeContext, metrics &NodeMetrics,
                const serving::intake_options &BudgetOptions);

  /// Listens at \p Address. Connections beyond the limit of \p Group wait
  /// until others have ended.
  auto listen(const std::string &Address, serving::intake_group Group,
              net::listener::accept_handler OnAccepted)
      -> std::unique_ptr<net::listener>;
  /// The same for calls that \p Handler answers.
  auto listenForCalls(const std::string &Address, serving::intake_group Group,
                      const net::call_handler &Handler)
      -> std::unique_ptr<net::listener>;

  /// Takes over changed settings. What is held stays.
  auto setOptions(const serving::intake_options &Changed) -> void;
  /// Makes the limit large enough for one request with a body of \p Bytes.
  auto setLargestBody(std::uint64_t Bytes) -> void;

  /// Writes what is held now to the metrics.
  auto updateMetrics() -> void;

private:
  class account;

  auto applyOptions() -> void;
  auto attach(const std::shared_ptr<net::caller_connection> &Connection,
              serving::intake_group Group) -> void;
  auto detach(serving::intake_id Id) -> void;
  auto mayAccept(serving::intake_group Group) -> bool;
  auto end(const std::vector<serving::intake_ending> &Endings) -> void;
  /// Lets those that wait for room go on, or ends others for them, again and
  /// again until nobody waits.
  auto serveWaiting() -> void;
  /// Logs how many connections were ended since the last time, at most once a
  /// second.
  auto logEndings() -> void;

  net::asio::steady_timer WaitTimer;
  net::asio::steady_timer LogTimer;
  metrics &Metrics;
  serving::intake_options Options;
  std::uint64_t LargestBody = 0;
  serving::intake_budget Budget;
  std::map<serving::intake_id, std::weak_ptr<net::caller_connection>>
      Connections;
  std::array<std::size_t, serving::IntakeEndCount> Ended = {}; ///< Not logged.
  bool Serving = false;   ///< serveWaiting will run.
  bool LogsLater = false; ///< logEndings will run.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_CALLER_INTAKE_H
