/// \file
/// Asks a gateway where a request would go now.
#ifndef LIMPETBRIDGE_NODE_SERVING_EXPLAIN_CLIENT_H
#define LIMPETBRIDGE_NODE_SERVING_EXPLAIN_CLIENT_H

#include "base/result.h"
#include "net/http_message.h"

#include <string>
#include <string_view>

namespace limpetbridge {

/// Pages of a gateway's metrics address that explain a request: the path of the
/// request follows, and its fields are those of the call.
inline constexpr std::string_view ExplainPath = "/explain/";
inline constexpr std::string_view ExplainJsonPath = "/explain.json/";

/// Reads a request as it is sent over HTTP: the request line, header fields,
/// and an empty line. Lines may end with LF. A body is ignored, as no decision
/// depends on it.
[[nodiscard]] auto parseRequestText(std::string_view Text)
    -> result<net::http_request>;

/// Asks the gateway whose metrics are at \p Address.
/// \param AsJson the answer in JSON instead of text.
/// \returns the explanation.
[[nodiscard]] auto fetchExplanation(const std::string &Address,
                                    const net::http_request &Request,
                                    bool AsJson) -> result<std::string>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_EXPLAIN_CLIENT_H
