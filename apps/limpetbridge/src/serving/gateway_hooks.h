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

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace limpetbridge {

/// What one gateway has read of the platform, for another that cannot read it
/// itself. Versions decide: what is older changes nothing.
struct knowledge_sync {
  /// How far this gateway knows the platform.
  std::function<std::string()> BuildQuery;
  /// What the sender of \p Question does not know.
  std::function<result<std::string>(std::string_view Question)> AnswerQuery;
  /// Takes in another gateway's answer. \returns how much of it was new.
  std::function<result<std::size_t>(std::string_view Answer)> MergeAnswer;
};

/// Hooks of the adapter.
struct gateway_hooks {
  std::function<result<serving::call>(const net::http_request &, time_point)>
      ParseCall;
  std::function<net::http_request(const net::http_request &,
                                  const serving::attempt_facts &)>
      BuildAttemptRequest;
  std::function<serving::answer_facts(const net::response_head &,
                                      const std::string &CallId)>
      ParseResponseHead;
  /// Starts to watch configuration, targets and instances, after having
  /// written the record of this instance.
  std::function<knowledge_sync(net::asio::io_context &,
                               serving::instance_record Self,
                               std::function<void(serving::gateway_event)>)>
      Watch;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_HOOKS_H
