/// \file
/// Scripted failures, one a golden session at least.
#ifndef LIMPETBRIDGE_TESTING_SCENARIOS_H
#define LIMPETBRIDGE_TESTING_SCENARIOS_H

#include "world.h"

#include <functional>
#include <string>
#include <vector>

namespace limpetbridge {

/// A scripted failure, and the node whose session tells it.
struct scenario {
  std::string Name;
  std::string Node;
  std::size_t Life = 0; ///< Which life of the node, from 0.
  std::function<void(world &)> Run;
};

/// All of them.
[[nodiscard]] auto allScenarios() -> std::vector<scenario>;

/// Runs one and returns the session. \param Broken gets what it broke.
[[nodiscard]] auto recordScenario(const scenario &Scenario,
                                  std::vector<std::string> &Broken)
    -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_SCENARIOS_H
