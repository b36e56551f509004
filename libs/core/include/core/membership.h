/// \file
/// What a node knows of the other instances.
#ifndef LIMPETBRIDGE_CORE_MEMBERSHIP_H
#define LIMPETBRIDGE_CORE_MEMBERSHIP_H

#include "core/work.h"

#include <cstdint>
#include <map>

namespace limpetbridge {

/// An instance and what was learned besides the list.
struct member {
  instance_record Record;
  bool ReportedDraining = false; ///< Said itself that it is draining.
};

/// All instances known.
struct membership_state {
  std::map<instance_name, member> Members;
  std::uint64_t Epoch = 1; ///< Grows when the set of usable targets changes.
  time_point NextPoll;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_MEMBERSHIP_H
