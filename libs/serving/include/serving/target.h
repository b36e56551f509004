/// \file
/// State of one target: its address, the models that it holds, and whether it
/// accepts new work.
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

/// An adapter, identified by its model and its own name.
using adapter_key = std::pair<model_name, std::string>;

/// A model that is loaded into accelerator memory.
struct loaded_model {
  std::uint64_t Version = 0;
  std::set<std::string> Adapters;
  auto operator==(const loaded_model &) const -> bool = default;
};

/// The models of one target, by where it keeps them.
struct holdings {
  std::map<model_name, loaded_model> Models; ///< In accelerator memory.
  std::set<model_name> InMemory;             ///< Copies in host memory.
  std::set<model_name> OnDisk;               ///< Copies on the target's disk.
  auto operator==(const holdings &) const -> bool = default;
};

/// One incarnation of a target. A restart under the same name changes
/// Incarnation.
struct target {
  target_name Name;
  std::uint64_t Incarnation = 0; ///< Start time, Unix ms; 0 if unknown.
  service_name Service;
  std::string Address; ///< ip:port
  data_centre_name DataCentre;
  std::uint32_t Slots = 0;
  bool Draining = false;      ///< Accepts no new work.
  std::uint64_t Sequence = 0; ///< Orders accepted by this incarnation.
  holdings Holdings;
};

/// True if \p Target has loaded \p Model and, when not empty, \p Adapter.
[[nodiscard]] auto hasLoaded(const target &Target, const model_name &Model,
                             const std::string &Adapter) -> bool;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TARGET_H
