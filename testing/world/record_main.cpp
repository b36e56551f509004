/// \file
/// Writes the golden sessions into a folder: `record_sessions FOLDER`. What it
/// changes is reviewed like code.

#include "scenarios.h"

#include <fstream>
#include <iostream>

auto main(int Count, char **Words) -> int {
  if (Count != 2)
    return 2;
  for (const auto &Scenario : limpetbridge::allScenarios()) {
    std::vector<std::string> Broken;
    std::ofstream(std::string(Words[1]) + "/" + Scenario.Name + ".jsonl")
        << limpetbridge::recordScenario(Scenario, Broken);
    for (const auto &Each : Broken)
      std::cout << Scenario.Name << ": " << Each << '\n';
  }
  return 0;
}
