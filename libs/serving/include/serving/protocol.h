/// \file
/// Metadata of requests and answers, independent of the wire format. The
/// platform adapter maps it to header fields.
#ifndef LIMPETBRIDGE_SERVING_PROTOCOL_H
#define LIMPETBRIDGE_SERVING_PROTOCOL_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace limpetbridge::serving {

/// Metadata that a gateway adds to a caller's request for one attempt.
struct attempt_metadata {
  target_name Target;
  std::int64_t RemainingMs = 0; ///< Time left for the target to answer.
  std::uint32_t Priority = 0;   ///< 0 is the most urgent.
  /// Id of the last stream event that the caller received; empty if none.
  std::string ResumeAfter;
  workspace_name Workspace; ///< Whose request it is; empty if nobody's.
};

/// What the head of a target's answer says about the attempt.
struct answer_metadata {
  bool HasSignature = false;  ///< The answer carries a target's signature.
  bool CallIdMatches = false; ///< The answer names the id of this call.
  bool CallIdDiffers = false; ///< The answer names the id of another call.
  bool NotRun = false;        ///< The target states that it did not run it.
  bool WrongTarget = false; ///< Another target answered, or it lacks the model.
  /// The status implies that the request did not run, but the target does not
  /// state it.
  bool UnconfirmedNotRun = false;
  /// The body is not what the target produced.
  bool HasContentEncoding = false;
  bool TargetLeaves = false; ///< It takes no new work until it ends.
  /// Time for which a target that refused the request wants no others from
  /// this gateway, ms; 0 if it names none.
  std::int64_t RefusesForMs = 0;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PROTOCOL_H
