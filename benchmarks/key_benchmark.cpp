/// \file
/// Time to read a configuration with many keys, to build the index of its keys,
/// and to find one, by number of keys.

#include "adapter/codec.h"
#include "serving/workspaces.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr int MaxWorkspaces = 2000;

auto keyText(int Number) -> std::string {
  return "key-0123456789abcdef0123456789-" + std::to_string(Number);
}

auto document(int Keys) -> std::string {
  const auto Workspaces = std::min(Keys, MaxWorkspaces);
  nlohmann::json Document = {{"version", 1},
                             {"routes", nlohmann::json::array()},
                             {"services", nlohmann::json::array()}};
  for (int I = 0; I < Workspaces; ++I) {
    nlohmann::json Tenant = {{"name", "workspace-" + std::to_string(I)},
                             {"priority", 1},
                             {"unit", "token_metering"},
                             {"uncached_tokens", 100},
                             {"rate_per_s", 29000.0},
                             {"burst", 57000.0},
                             {"keys", nlohmann::json::array()}};
    for (int Key = I; Key < Keys; Key += Workspaces)
      Tenant["keys"].push_back(keyText(Key));
    Document["tenants"].push_back(std::move(Tenant));
  }
  return Document.dump();
}

auto readConfiguration(benchmark::State &Run) -> void {
  const auto Text = document(static_cast<int>(Run.range(0)));
  for (auto Step : Run)
    benchmark::DoNotOptimize(adapter::readConfiguration(Text));
  Run.counters["bytes"] = static_cast<double>(Text.size());
}

auto buildIndex(benchmark::State &Run) -> void {
  const auto Text = document(static_cast<int>(Run.range(0)));
  const auto Configuration = adapter::readConfiguration(Text).value();
  const auto Secret = hash_secret::random();
  std::size_t HeldBytes = 0;
  for (auto Step : Run) {
    const auto Before = mallinfo2().uordblks;
    const key_index Index(Configuration.Keys, Secret);
    HeldBytes = mallinfo2().uordblks - Before;
  }
  Run.counters["held_bytes"] = static_cast<double>(HeldBytes);
}

auto findKey(benchmark::State &Run) -> void {
  const auto Count = static_cast<int>(Run.range(0));
  const auto Secret = hash_secret::random();
  const key_index Index(
      adapter::readConfiguration(document(Count)).value().Keys, Secret);
  // The time of the same key, as others differ in what the caches hold.
  const workspace_key Key(keyText(Count / 2));
  for (auto Step : Run)
    benchmark::DoNotOptimize(Index.find(Key, Key.digest(Secret)));
}

BENCHMARK(readConfiguration)->Arg(16)->Arg(1600)->Arg(16000);
BENCHMARK(buildIndex)->Arg(16)->Arg(1600)->Arg(16000);
BENCHMARK(findKey)->Arg(16)->Arg(1600)->Arg(16000);

} // namespace

BENCHMARK_MAIN();
