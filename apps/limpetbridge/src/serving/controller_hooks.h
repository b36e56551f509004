/// \file
/// Hooks that a platform adapter implements for a controller.
#ifndef LIMPETBRIDGE_NODE_SERVING_CONTROLLER_HOOKS_H
#define LIMPETBRIDGE_NODE_SERVING_CONTROLLER_HOOKS_H

#include "base/result.h"
#include "net/asio.h"
#include "net/http_message.h"
#include "serving/configuration.h"
#include "serving/fencing_token.h"
#include "serving/gateway_events.h"
#include "serving/open_orders.h"
#include "serving/order_plan.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace limpetbridge {

/// Content of an order to the target.
struct order_facts {
  serving::step_kind Kind = serving::step_kind::Load;
  target_name Target;
  model_name Model;
  std::string Adapter;
  std::uint64_t Sequence = 0; ///< Refused if the target's one differs.
  instance_name Holder;
  std::uint64_t FencingToken = 0;
};

/// Result of an order.
enum class order_end : std::uint8_t {
  Accepted,    ///< Being executed, or its effect is already in place.
  Refused,     ///< Not accepted, and will not be accepted later.
  WrongTarget, ///< The address belongs to another target.
  Unknown      ///< It may have been accepted or may be accepted later.
};

/// Answer to a request for a permit to load from the weight store.
enum class load_permit : std::uint8_t {
  Granted,
  Exhausted,  ///< None is left in this window.
  Unavailable ///< The store that counts them was not reached.
};

/// Hooks of the adapter.
struct controller_hooks {
  std::function<net::http_request()> BuildReportRequest;
  std::function<result<serving::engine_report>(const net::http_response &)>
      ParseReport;
  std::function<net::http_request(const order_facts &)> BuildOrderRequest;
  /// \p Status is that of the target's response.
  std::function<order_end(std::uint16_t Status)> ParseOrderStatus;
  /// Reads what a process of the same name has left in the store; waits until
  /// the store answers. \returns none if there was no such process.
  std::function<net::awaitable<std::optional<serving::order_handover>>(
      instance_name)>
      ReadHandover;
  /// Writes what this controller leaves to its successor. \returns true if the
  /// store has confirmed it.
  std::function<net::awaitable<bool>(serving::order_handover)> WriteHandover;
  /// Writes the record of this instance and its handover to the store.
  /// \returns the position of the record in the history of the store; none if
  /// the handover has changed since it was read.
  std::function<net::awaitable<std::optional<serving::store_position>>(
      serving::instance_record, serving::order_handover)>
      RegisterInstance;
  /// Watches the configuration and calls the function with each version that is
  /// read, and where it was read.
  std::function<void(
      net::asio::io_context &,
      std::function<void(serving::configuration,
                         const serving::configuration_source &)>)>
      WatchConfiguration;
  /// Looks at once whether the store is in a later era, if \p Named is one.
  std::function<void(std::uint64_t Named)> CheckEra = [](std::uint64_t) {};
  /// Acquires a permit for one load from the weight store; all controllers
  /// together get at most \p Limit in \p WindowMs.
  std::function<net::awaitable<load_permit>(std::int64_t WindowMs,
                                            std::size_t Limit)>
      AcquireLoadPermit;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_CONTROLLER_HOOKS_H
