/// \file
/// Reports on a node's own state, by subject.
#ifndef LIMPETBRIDGE_QUERY_INSPECT_H
#define LIMPETBRIDGE_QUERY_INSPECT_H

#include "base/result.h"
#include "core/state.h"
#include "wire/report.h"

namespace limpetbridge {

/// Builds the report on a subject. \returns UnknownName if the node does not
/// know the subject or its argument.
[[nodiscard]] auto inspect(const node_state &State,
                           const report_request &Request, time_point Now)
    -> result<report>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_QUERY_INSPECT_H
