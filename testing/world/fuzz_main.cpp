/// \file
/// A long fuzzing run: `limpet_fuzz [--runs N] [--seed N] [--steps N]
/// [--mutation N] [--no-shrink]`. Shrinks the first failure and prints its
/// steps.

#include "script.h"

#include <getopt.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace limpetbridge;

/// The command line, parsed.
struct options {
  std::uint64_t Runs = 1000;
  std::uint64_t Seed = 1;
  std::size_t Steps = 200;
  mutation Mutation = mutation::None;
  bool Shrink = true;
};

auto parse(int Count, char **Words) -> options {
  static const option Table[] = {{"runs", required_argument, nullptr, 'r'},
                                 {"seed", required_argument, nullptr, 's'},
                                 {"steps", required_argument, nullptr, 'n'},
                                 {"mutation", required_argument, nullptr, 'm'},
                                 {"no-shrink", no_argument, nullptr, 'k'},
                                 {nullptr, 0, nullptr, 0}};
  options Options;
  int Option = 0;
  while ((Option = getopt_long(Count, Words, "", Table, nullptr)) != -1) {
    const auto Number =
        optarg == nullptr ? 0 : std::strtoull(optarg, nullptr, 10);
    if (Option == 'r')
      Options.Runs = Number;
    else if (Option == 's')
      Options.Seed = Number;
    else if (Option == 'n')
      Options.Steps = Number;
    else if (Option == 'm')
      Options.Mutation = static_cast<mutation>(Number);
    else if (Option == 'k')
      Options.Shrink = false;
    else
      std::exit(2); // NOLINT: before any thread
  }
  return Options;
}

auto scriptOf(std::uint64_t Seed, std::size_t Length) -> std::vector<step> {
  random_state Random{Seed};
  std::vector<step> Steps;
  for (std::size_t Index = 0; Index < Length; ++Index)
    Steps.push_back(makeStep(Random.next()));
  return Steps;
}

/// Removes ever smaller runs of steps while the script still fails.
auto shrink(std::vector<step> Steps, mutation Mutation) -> std::vector<step> {
  for (std::size_t Size = Steps.size() / 2; Size > 0; Size /= 2) {
    for (std::size_t From = 0; From + Size <= Steps.size();) {
      auto Fewer = Steps;
      const auto At = Fewer.begin() + static_cast<std::ptrdiff_t>(From);
      Fewer.erase(At, At + static_cast<std::ptrdiff_t>(Size));
      if (runScript(Fewer, Mutation).empty())
        From += Size;
      else
        Steps = std::move(Fewer);
    }
  }
  return Steps;
}

auto reportFailure(const std::vector<step> &Steps, const options &Options)
    -> void {
  const auto Fewer = Options.Shrink ? shrink(Steps, Options.Mutation) : Steps;
  if (Options.Shrink)
    for (const auto &Step : Fewer)
      std::cout << "  " << Step << '\n';
  for (const auto &Each : runScript(Fewer, Options.Mutation))
    std::cout << "broken: " << Each << '\n';
}

/// How requests of all runs ended.
struct tally {
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Open = 0;

  auto add(const oracle &Oracle) -> void {
    for (const auto &[Id, Request] : Oracle.requests()) {
      if (!Request.Ended)
        ++Open;
      else if (Request.End.Outcome == run_outcome::Done)
        ++Done;
      else if (Request.End.Outcome == run_outcome::NotRun)
        ++NotRun;
      else
        ++Unknown;
    }
  }
};

} // namespace

auto main(int Count, char **Words) -> int {
  const auto Options = parse(Count, Words);
  tally Tally;
  for (std::uint64_t Run = 0; Run < Options.Runs; ++Run) {
    const auto Seed = Options.Seed + Run;
    const auto Steps = scriptOf(Seed, Options.Steps);
    world World(1, Options.Mutation);
    for (const auto &Step : Steps)
      apply(World, Step);
    World.settle();
    Tally.add(World.oracleOf());
    if (World.oracleOf().violations().empty())
      continue;
    std::cout << "seed " << Seed << " fails:\n";
    reportFailure(Steps, Options);
    return 1;
  }
  std::cout << Options.Runs << " runs of " << Options.Steps
            << " steps held; requests: " << Tally.Done << " done, "
            << Tally.NotRun << " not run, " << Tally.Unknown << " unknown, "
            << Tally.Open << " open\n";
  return 0;
}
