/// \file
/// The answer to a request that was not sent to any target, with its numbered
/// code.
#ifndef LIMPETBRIDGE_NODE_SERVING_REFUSAL_RESPONSE_H
#define LIMPETBRIDGE_NODE_SERVING_REFUSAL_RESPONSE_H

#include "base/result_code.h"
#include "net/http_message.h"

#include <cstdint>

namespace limpetbridge {

/// \param RetryAfterMs time after which the request may be served; 0: not
/// known.
[[nodiscard]] auto makeRefusal(result_code Code, std::int64_t RetryAfterMs)
    -> net::http_response;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_REFUSAL_RESPONSE_H
