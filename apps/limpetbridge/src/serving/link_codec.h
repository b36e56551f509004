/// \file
/// Encoding of the messages between gateways and controllers.
#ifndef LIMPETBRIDGE_NODE_SERVING_LINK_CODEC_H
#define LIMPETBRIDGE_NODE_SERVING_LINK_CODEC_H

#include "base/result.h"
#include "serving/gateway_events.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpetbridge {

/// Subscribes a gateway to what a controller's target holds; sent periodically,
/// since the subscription expires.
struct greeting {
  instance_name From;
  std::string Address;        ///< Receives the updates, ip:port.
  std::uint64_t StoreEra = 0; ///< That the gateway has seen; 0: unknown.
};

/// Content of a datagram.
using link_message =
    std::variant<serving::gateway_digest, greeting, serving::holdings_report,
                 serving::crash_report, serving::prefill_notice,
                 serving::quota_report>;

[[nodiscard]] auto encodeLink(const link_message &Message) -> std::string;
/// True if \p Bytes look like an encoded digest. Reads only what tells the
/// kind.
[[nodiscard]] auto isDigest(std::string_view Bytes) -> bool;
[[nodiscard]] auto decodeLink(std::string_view Bytes) -> result<link_message>;

/// A gateway's load request to a controller.
struct load_request {
  model_name Model;
  std::string Adapter;
  std::vector<model_name> Victims;
  target_name Target; ///< The target that the request is meant for.
  /// Time since the last use of the target's adapters, ms. An age, because the
  /// clocks of two machines are not comparable.
  std::map<serving::adapter_key, std::int64_t> AdapterAgesMs;
};

/// In the answer to a load request: the target was ordered to load it.
inline constexpr const char *LoadOrderedField = "Load-Ordered";

[[nodiscard]] auto encodeLoad(const load_request &Request) -> std::string;
[[nodiscard]] auto decodeLoad(std::string_view Bytes) -> result<load_request>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_LINK_CODEC_H
