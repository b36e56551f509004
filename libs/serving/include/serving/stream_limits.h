/// \file
/// Limits that follow from the bound of the pauses of streams: which prompts
/// other gateways have to know of at once, and how gateways that do not know of
/// each other's prompts yet spread them. See docs/design/target-speed.md.
#ifndef LIMPETBRIDGE_SERVING_STREAM_LIMITS_H
#define LIMPETBRIDGE_SERVING_STREAM_LIMITS_H

#include "serving/stream_protection.h"

namespace limpetbridge::serving {

/// Least prefill that other gateways have to know of at once, ms: half of the
/// shortest run that makes a stream late in a slow spell as assumed. Two
/// shorter prompts beside each other make none late.
[[nodiscard]] auto minNoticeMs(const stream_bounds &Bounds) -> double;

/// Cost by which a gateway prefers one of several targets that cost about the
/// same, ms. Gateways differ in which one, so that those that do not know of
/// each other's prompts yet spread them.
[[nodiscard]] auto preferenceMs(const target_name &Target,
                                const instance_name &Gateway) -> double;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_STREAM_LIMITS_H
