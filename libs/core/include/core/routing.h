/// \file
/// An entry's view of the targets, from which it chooses.
#ifndef LIMPETBRIDGE_CORE_ROUTING_H
#define LIMPETBRIDGE_CORE_ROUTING_H

#include "core/work.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace limpetbridge {

/// An entry's view of one target; may be out of date.
struct target_view {
  instance_record Record;
  std::uint32_t Outstanding = 0;   ///< Attempts of this entry in flight.
  duration QueueDelay{};           ///< From the last load hint.
  std::uint32_t FreeSlots = 0;     ///< From the last load hint.
  time_point HintReceivedAt;       ///< When the last load hint arrived.
  std::uint32_t SentSinceHint = 0; ///< Attempts of this entry since then.
  double Slowness = 1.0;           ///< Observed over expected first-token time.
  time_point AvoidUntil;           ///< End of the backoff after failures.
  std::uint32_t Failures = 0;      ///< Consecutive failures.
};

/// An entry's view of one loadable unit.
struct unit_view {
  std::uint64_t HomesEpoch = 0;      ///< Membership epoch of Homes.
  std::uint64_t ResidentEpoch = 0;   ///< Membership epoch of Resident.
  std::vector<target_name> Homes;    ///< Preferred targets by rendezvous hash.
  std::vector<target_name> Resident; ///< Targets known to hold the unit.
  target_name ColdStartTarget;       ///< Home that was sent work and must load.
  time_point ColdStartUntil;         ///< Expected end of that load.
};

/// Moving averages over all targets, the baseline for a target's slowness.
struct service_estimate {
  double FirstTokenMs = 300; ///< Without queueing and prompt processing.
  double TokenMs = 20;       ///< Between tokens.
  double LoadFactor = 1.0;   ///< Observed over declared load time.
};

/// Routing state of an entry.
struct routing_state {
  std::map<target_name, target_view> Targets;
  std::map<model_name, unit_view> Units;
  std::map<service_name, std::vector<target_name>> Services;
  std::uint64_t TargetsEpoch = 0;  ///< Membership epoch of Targets.
  std::uint64_t AllHomesEpoch = 0; ///< Membership epoch of all homes.
  service_estimate Estimate;
};

/// A target that an attempt can be sent to, as passed to the picker.
struct candidate {
  const target_view *View = nullptr;
  duration Expected{};         ///< Time until the answer is complete.
  std::uint8_t HomeRank = 255; ///< Position in Homes; 255: not a home.
  bool Resident = false;
  bool ExtraCopy = false; ///< Would load the unit while other targets hold it.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_ROUTING_H
