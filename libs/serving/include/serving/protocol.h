/// \file
/// Hooks through which the serving processes speak to callers and targets;
/// what stands on the wire is the adapter's.
#ifndef LIMPETBRIDGE_SERVING_PROTOCOL_H
#define LIMPETBRIDGE_SERVING_PROTOCOL_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace limpetbridge::serving {

/// What the system adds to a caller's request for one attempt.
struct attempt_metadata {
  target_name Target;
  std::int64_t RemainingMs = 0; ///< Until the target has to stop.
  std::uint32_t Priority = 0;   ///< 0 is the most urgent.
  /// Id of the last event that the caller has; empty if it has none.
  std::string ResumeAfter;
};

/// What a target's answer says about the attempt.
struct answer_metadata {
  bool HasSignature = false;  ///< Vouched for by a target.
  bool CallIdMatches = false; ///< It names this call.
  bool CallIdDiffers = false; ///< It names another call.
  bool NotRun = false;        ///< The target did not run it.
  bool WrongTarget = false;   ///< Another target, or the model is not there.
  /// The status promises "not run", but the target does not say so.
  bool UnconfirmedNotRun = false;
  bool HasContentEncoding = false; ///< The body is not what the target made.
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PROTOCOL_H
