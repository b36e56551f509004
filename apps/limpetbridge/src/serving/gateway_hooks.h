/// \file
/// What a gateway needs from the adapter of the platform that it runs on.
#ifndef LIMPETBRIDGE_NODE_SERVING_GATEWAY_HOOKS_H
#define LIMPETBRIDGE_NODE_SERVING_GATEWAY_HOOKS_H

#include "base/result.h"
#include "net/asio.h"
#include "net/http_message.h"
#include "serving/call.h"
#include "serving/gateway_events.h"
#include "serving/protocol.h"

#include <functional>

namespace limpetbridge {

/// Hooks of the adapter.
struct gateway_hooks {
  std::function<result<serving::call>(const net::http_request &, time_point)>
      ReadCall;
  std::function<net::http_request(const net::http_request &,
                                  const serving::attempt_facts &)>
      WriteAttempt;
  std::function<serving::answer_facts(const net::answer_head &,
                                      const std::string &CallId)>
      ReadAnswer;
  /// Starts to watch configuration, targets and instances, after having
  /// written the record of this instance.
  std::function<void(net::asio::io_context &, serving::instance_record Self,
                     std::function<void(serving::gateway_event)>)>
      Watch;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_HOOKS_H
