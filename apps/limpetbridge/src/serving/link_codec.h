/// \file
/// Messages between gateways and controllers.
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

/// A gateway asks a controller to tell it of its target.
struct greeting {
  instance_name From;
  std::string Address; ///< Where to tell it.
};

/// What travels as a datagram.
using link_message =
    std::variant<serving::gateway_digest, greeting, serving::holdings_report>;

[[nodiscard]] auto encodeLink(const link_message &Message) -> std::string;
[[nodiscard]] auto decodeLink(std::string_view Bytes) -> result<link_message>;

/// A gateway's load request to a controller.
struct load_request {
  model_name Model;
  std::string Adapter;
  std::vector<model_name> Victims;
  target_name Target; ///< Whom it is meant for.
  /// Ages of the last use of the target's adapters, ms: clocks of two machines
  /// cannot be compared.
  std::map<serving::adapter_key, std::int64_t> AdapterAgesMs;
};

[[nodiscard]] auto encodeLoad(const load_request &Request) -> std::string;
[[nodiscard]] auto decodeLoad(std::string_view Bytes) -> result<load_request>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_LINK_CODEC_H
