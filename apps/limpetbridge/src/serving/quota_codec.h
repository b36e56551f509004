/// \file
/// Encoding of what gateways tell each other about quotas.
#ifndef LIMPETBRIDGE_NODE_SERVING_QUOTA_CODEC_H
#define LIMPETBRIDGE_NODE_SERVING_QUOTA_CODEC_H

#include "base/message_pack_stream.h"
#include "serving/gateway_events.h"

namespace limpetbridge {

auto writeQuotaReport(message_pack_writer &Writer,
                      const serving::quota_report &Report) -> void;

/// \throws std::exception if \p Fields are no such message. Amounts are finite
/// and not negative, and lists are not longer than workspaces are many.
[[nodiscard]] auto readQuotaReport(const message_pack_fields &Fields)
    -> serving::quota_report;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_QUOTA_CODEC_H
