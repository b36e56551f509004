/// \file
/// What is known of the targets: where they are, what they hold, and whether
/// they take new work.
#ifndef LIMPETBRIDGE_SERVING_TARGET_H
#define LIMPETBRIDGE_SERVING_TARGET_H

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetbridge::serving {

/// Name of an adapter with its model's.
using adapter_key = std::pair<model_name, std::string>;

/// A model in accelerator memory.
struct held_model {
  std::uint64_t Version = 0;
  std::set<std::string> Adapters;
  auto operator==(const held_model &) const -> bool = default;
};

/// Contents of one target.
struct holdings {
  std::map<model_name, held_model> Models;
  std::set<model_name> InMemory; ///< Copies in host memory.
  std::set<model_name> OnDisk;   ///< Copies on the target's disk.
  auto operator==(const holdings &) const -> bool = default;
};

/// One target in one life. A restart under the same name has another
/// Incarnation.
struct target {
  target_name Name;
  std::uint64_t Incarnation =
      0; ///< Start of this life, Unix ms; 0 if not told.
  service_name Service;
  std::string Address; ///< ip:port
  data_centre_name DataCentre;
  std::uint32_t Slots = 0;
  bool Draining = false;      ///< Takes no new work.
  std::uint64_t Sequence = 0; ///< Orders accepted in this life.
  holdings Holds;
};

/// True if \p Target holds \p Model and, when not empty, \p Adapter.
[[nodiscard]] auto holdsAll(const target &Target, const model_name &Model,
                            const std::string &Adapter) -> bool;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TARGET_H
