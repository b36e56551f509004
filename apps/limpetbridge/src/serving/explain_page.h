/// \file
/// Formats the explanation of a gateway's decision for operators.
#ifndef LIMPETBRIDGE_NODE_SERVING_EXPLAIN_PAGE_H
#define LIMPETBRIDGE_NODE_SERVING_EXPLAIN_PAGE_H

#include "serving/explain.h"

#include <string>

namespace limpetbridge {

/// Times in ms, as JSON in one line.
[[nodiscard]] auto explanationJson(const serving::explanation &Explanation)
    -> std::string;
/// The same as lines of text: a name and its value, then a line each target.
[[nodiscard]] auto explanationText(const serving::explanation &Explanation)
    -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_EXPLAIN_PAGE_H
