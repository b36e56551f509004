/// \file
/// A node's view of the other instances.
#ifndef LIMPETBRIDGE_CORE_MEMBERSHIP_H
#define LIMPETBRIDGE_CORE_MEMBERSHIP_H

#include "core/work.h"

#include <cstdint>
#include <map>

namespace limpetbridge {

/// A listed instance and what it reported itself.
struct member {
  instance_record Record;
  bool ReportedDraining = false; ///< Its own report, ahead of the list.
};

/// All known instances.
struct membership_state {
  std::map<instance_name, member> Members;
  std::uint64_t Epoch = 1; ///< Grows with every change that can affect routing.
  time_point NextPoll;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_MEMBERSHIP_H
