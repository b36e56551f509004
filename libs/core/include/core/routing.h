/// \file
/// An entry's picture of targets and the choice among them.
#ifndef LIMPETBRIDGE_CORE_ROUTING_H
#define LIMPETBRIDGE_CORE_ROUTING_H

#include "core/work.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace limpetbridge {

/// An entry's picture of one target; a hint, never the truth.
struct target_view {
  instance_record Record;
  std::uint32_t Outstanding = 0;   ///< Own attempts in flight.
  duration QueueDelay{};           ///< Wait that the agent last told.
  std::uint32_t FreeSlots = 0;     ///< Open slots that the agent last told.
  time_point HintReceivedAt;       ///< When it told.
  std::uint32_t SentSinceHint = 0; ///< Own attempts since then.
  double Slowness = 1.0;           ///< Own observed time over expected time.
  time_point AvoidUntil;           ///< Not chosen before, after failures.
  std::uint32_t Failures = 0;      ///< Consecutive failures.
};

/// An entry's picture of one loadable unit.
struct unit_view {
  std::uint64_t HomesEpoch = 0;      ///< Membership epoch of Homes.
  std::uint64_t ResidentEpoch = 0;   ///< Membership epoch of Resident.
  std::vector<target_name> Homes;    ///< Best targets by rendezvous hash.
  std::vector<target_name> Resident; ///< Targets known to hold it.
  target_name
      ColdStartTarget;       ///< Home that was sent work that it must load for.
  time_point ColdStartUntil; ///< When that load should have ended.
};

/// Moving averages over all targets, by which one is called slow.
struct service_estimate {
  double FirstTokenMs = 300; ///< Per attempt that did not queue.
  double TokenMs = 20;       ///< Between tokens.
  double LoadFactor = 1.0;   ///< Observed time of loads over the declared.
};

/// Routing state of an entry.
struct routing_state {
  std::map<target_name, target_view> Targets;
  std::map<model_name, unit_view> Units;
  std::map<service_name, std::vector<target_name>> Services;
  std::uint64_t TargetsEpoch = 0;
  std::uint64_t AllHomesEpoch = 0; ///< Membership epoch of all homes.
  service_estimate Estimate;
};

/// A target with its expected completion, as the picker sees it.
struct candidate {
  const target_view *View = nullptr;
  duration Expected{};         ///< Until the answer is whole.
  std::uint8_t HomeRank = 255; ///< Place in the home set; 255 for none.
  bool Resident = false;
  bool ExtraCopy = false; ///< A further copy: others hold the unit already.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_ROUTING_H
