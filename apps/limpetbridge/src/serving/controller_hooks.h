/// \file
/// What a controller needs from the adapter of the platform that it runs on.
#ifndef LIMPETBRIDGE_NODE_SERVING_CONTROLLER_HOOKS_H
#define LIMPETBRIDGE_NODE_SERVING_CONTROLLER_HOOKS_H

#include "base/result.h"
#include "net/asio.h"
#include "net/http_message.h"
#include "serving/configuration.h"
#include "serving/gateway_events.h"
#include "serving/order_plan.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace limpetbridge {

/// An order as it goes to the target.
struct order_facts {
  serving::step_kind Kind = serving::step_kind::Load;
  target_name Target;
  model_name Model;
  std::string Adapter;
  std::uint64_t Sequence = 0; ///< The target refuses if it has another one.
  instance_name Holder;
  std::uint64_t FencingToken = 0;
};

/// How an order ended.
enum class order_end : std::uint8_t {
  Accepted,    ///< It is being carried out, or it holds already.
  Refused,     ///< It was not accepted and never will be.
  WrongTarget, ///< Another target has the address.
  Unknown      ///< It may have been accepted, or may still be.
};

/// Hooks of the adapter.
struct controller_hooks {
  std::function<net::http_request()> BuildReportRequest;
  std::function<result<serving::engine_report>(const std::string &Body)>
      ParseReport;
  std::function<net::http_request(const order_facts &)> BuildOrderRequest;
  /// \p Status of the target's answer.
  std::function<order_end(std::uint16_t Status)> ParseOrderStatus;
  /// Writes the record of this instance. \returns its fencing token.
  std::function<net::awaitable<std::uint64_t>(serving::instance_record)>
      RegisterInstance;
  /// Watches the configuration.
  std::function<void(net::asio::io_context &,
                     std::function<void(serving::configuration)>)>
      WatchConfiguration;
  /// Takes one load from the weight store, of at most \p Limit in \p WindowMs
  /// over all controllers. \returns false if none is left or to be had.
  std::function<net::awaitable<bool>(std::int64_t WindowMs, std::size_t Limit)>
      AcquireLoadPermit;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_CONTROLLER_HOOKS_H
