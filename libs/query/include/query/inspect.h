/// \file
/// What a node shows of itself, subject by subject.
#ifndef LIMPETBRIDGE_QUERY_INSPECT_H
#define LIMPETBRIDGE_QUERY_INSPECT_H

#include "base/result.h"
#include "core/state.h"
#include "wire/report.h"

namespace limpetbridge {

/// Rows of a subject. \returns UnknownName for a subject or argument that
/// the node does not know.
[[nodiscard]] auto inspect(const node_state &State,
                           const report_request &Request, time_point Now)
    -> result<report>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_QUERY_INSPECT_H
