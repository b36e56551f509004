/// \file
/// Hooks that a platform adapter implements for a gateway.
#ifndef LIMPETBRIDGE_NODE_SERVING_GATEWAY_HOOKS_H
#define LIMPETBRIDGE_NODE_SERVING_GATEWAY_HOOKS_H

#include "base/result.h"
#include "net/asio.h"
#include "net/http_message.h"
#include "serving/call.h"
#include "serving/gateway_events.h"
#include "serving/protocol.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// Synchronises what gateways have read of the platform, for one that does not
/// read it itself. Rows have versions; an older version changes nothing.
struct knowledge_sync {
  /// Builds a query with the versions that this gateway has.
  std::function<std::string()> BuildQuery;
  /// True if the answer to \p Query has changes of configuration or targets.
  std::function<bool(std::string_view Query)> HasChanges;
  /// Builds the answer: the rows that the sender of \p Query does not have.
  std::function<result<std::string>(std::string_view Query)> AnswerQuery;
  /// Merges another gateway's answer. \returns the number of newer rows.
  std::function<result<std::size_t>(std::string_view Answer)> MergeAnswer;
  /// False if the last answer of another gateway has shown that rows of targets
  /// are missing here or there.
  std::function<bool()> TargetsAgree;
  /// False if the last answer of another gateway was of an earlier era of the
  /// store. It has changed nothing, and what it says of that gateway's view has
  /// no meaning here.
  std::function<bool()> AnswerIsCurrent;
  /// The same for the configuration.
  std::function<bool()> ConfigurationAgrees;
  /// Reads the configuration from the store at once, beside the call that waits
  /// for its changes.
  std::function<void()> ReadConfiguration;
  /// Version of the newest row of a target that is known.
  std::function<std::uint64_t()> TargetsVersion;
};

/// What a gateway has left in the store of crashes of targets.
struct stored_crashes {
  std::string Bytes;      ///< As WriteCrashes received them.
  std::int64_t AgeMs = 0; ///< Since they were written.
};

/// Hooks of the adapter.
struct gateway_hooks {
  std::function<result<serving::call>(const net::http_request &, time_point)>
      ParseCall;
  std::function<net::http_request(const net::http_request &,
                                  const serving::attempt_metadata &)>
      BuildAttemptRequest;
  std::function<serving::answer_metadata(const net::response_head &,
                                         const std::string &CallId)>
      ParseResponseHead;
  /// Writes the record of this instance, then watches configuration, targets
  /// and instances; the targets only while \p ReadsTargets returns true. \p
  /// ReadHistory returns what is known of the configuration in force.
  std::function<knowledge_sync(
      net::asio::io_context &, serving::instance_record Self,
      std::function<void(serving::gateway_event)>,
      std::function<bool()> ReadsTargets,
      std::function<const serving::configuration_history *()> ReadHistory)>
      Watch;
  /// Reads what all gateways have left of crashes. \returns none if the store
  /// did not answer. Empty: nothing is kept in a store.
  std::function<net::awaitable<std::optional<std::vector<stored_crashes>>>()>
      ReadCrashes;
  /// Replaces what this gateway has left of them; \p Bytes must fit into a row
  /// of the store, 64 KB. \returns true if the store has confirmed it.
  std::function<net::awaitable<bool>(std::string Bytes)> WriteCrashes;
  /// The platform says that targets serve several requests on one connection,
  /// so that connections are kept whatever the setting says.
  bool TargetsKeepConnections = false;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_GATEWAY_HOOKS_H
