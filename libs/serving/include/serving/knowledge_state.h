/// \file
/// How old is what a gateway knows of the store. Knowledge comes from calls to
/// the store or by way of other gateways; what counts is as of when it was
/// complete, not when it has arrived.
#ifndef LIMPETBRIDGE_SERVING_KNOWLEDGE_STATE_H
#define LIMPETBRIDGE_SERVING_KNOWLEDGE_STATE_H

#include "base/time.h"

#include <cstdint>

namespace limpetbridge::serving {

/// What requests are decided by.
enum class knowledge_kind : std::uint8_t {
  Targets,      ///< Their rows, for the choice of a target.
  Configuration ///< For routes, keys and quotas.
};

/// When one kind of knowledge was last complete, and what follows from its age.
struct knowledge_state {
  /// As of when all changes are known, whoever read them from the store; the
  /// epoch if that is not known.
  time_point KnownAt;
  /// Since when that has been too long ago to decide by; NoDeadline if it is
  /// not.
  time_point StaleSince = NoDeadline;
  /// Until then no other gateway is assumed to know better, as one that was
  /// asked did not.
  time_point PeersStaleUntil;

  /// Time since KnownAt, ms; -1 if that is not known.
  [[nodiscard]] auto ageMs(time_point Now) const -> std::int64_t;

  /// Records that all changes until \p AsOf are known.
  auto record(time_point AsOf) -> void;

  /// Makes what is known older by a time in which the process clock stood
  /// still and that of the store went on.
  auto addSuspension(duration Suspended) -> void;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_KNOWLEDGE_STATE_H
