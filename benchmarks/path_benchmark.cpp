/// \file
/// Latency and throughput of the path through an entry and an agent, against
/// the engine stand-in called directly in the same run.
///
/// `path_benchmark latency ENTRY_PORT ENGINE_PORT COUNT`
/// `path_benchmark relay ENTRY_PORT STREAMS TOKENS`
/// `path_benchmark hold ENTRY_PORT STREAMS TOKENS` (open streams, then waits)

#include "caller_client.h"
#include "engine_stand_in.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <vector>

namespace {

using namespace limpetbridge;
using steady = std::chrono::steady_clock;

constexpr const char *Host = "127.0.0.1";
constexpr const char *Token = "clerk-token-1";

auto msSince(steady::time_point Start) -> double {
  return std::chrono::duration<double, std::milli>(steady::now() - Start)
      .count();
}

auto quantile(std::vector<double> &Values, double Share) -> double {
  std::sort(Values.begin(), Values.end());
  const auto At =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[At];
}

auto print(const char *Name, std::vector<double> Values) -> void {
  std::cout << Name << ": median " << quantile(Values, 0.5) << " ms, p95 "
            << quantile(Values, 0.95) << " ms, p99 " << quantile(Values, 0.99)
            << " ms\n";
}

/// One generation of one token at the engine itself, on a fresh connection as
/// callers use.
auto direct(std::uint16_t Port) -> double {
  httplib::Client Client(Host, Port);
  Client.set_tcp_nodelay(true);
  const nlohmann::json Body = {{"id", "x"},       {"model", "helper"},
                               {"adapter", ""},   {"prompt", "user: x\n"},
                               {"max_tokens", 1}, {"offset", 0}};
  const auto Start = steady::now();
  const auto Result =
      Client.Post("/v1/generate", Body.dump(), "application/json");
  if (!Result || Result->status != 200)
    std::exit(1); // NOLINT: one thread
  return msSince(Start);
}

auto latency(std::uint16_t Entry, std::uint16_t Engine, int Count) -> int {
  const caller_client Client(Host, Entry, Token);
  std::vector<double> Direct;
  std::vector<double> Through;
  Direct.reserve(static_cast<std::size_t>(Count));
  Through.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number) {
    Direct.push_back(direct(Engine));
    const auto Answer = Client.chat("helper", "x", 1);
    if (!Answer.Done)
      return 1;
    Through.push_back(Answer.TotalMs);
  }
  print("direct", Direct);
  print("through entry and agent", Through);
  std::cout << "added at the median: "
            << quantile(Through, 0.5) - quantile(Direct, 0.5) << " ms\n";
  return 0;
}

auto runStreams(std::uint16_t Entry, int Streams, std::uint32_t Tokens)
    -> std::uint64_t {
  std::atomic<std::uint64_t> Whole{0};
  std::vector<std::unique_ptr<thread>> Threads;
  Threads.reserve(static_cast<std::size_t>(Streams));
  for (int Number = 0; Number < Streams; ++Number)
    Threads.push_back(std::make_unique<thread>(
        "stream", LoopStackBytes, [&Whole, Entry, Tokens] {
          const auto Answer =
              caller_client(Host, Entry, Token).chat("helper", "x", Tokens);
          if (Answer.Done)
            Whole += Tokens;
          else
            std::cout << "failed: " << Answer.Body.substr(0, 300) << '\n';
        }));
  Threads.clear();
  return Whole;
}

auto relay(std::uint16_t Entry, int Streams, std::uint32_t Tokens) -> int {
  const auto Start = steady::now();
  const auto Relayed = runStreams(Entry, Streams, Tokens);
  const double Seconds = msSince(Start) / 1000;
  std::cout << Streams << " streams, " << Relayed << " tokens in " << Seconds
            << " s: "
            << static_cast<std::uint64_t>(static_cast<double>(Relayed) /
                                          Seconds)
            << " tokens/s\n";
  return Relayed == static_cast<std::uint64_t>(Streams) * Tokens ? 0 : 1;
}

} // namespace

auto main(int Count, char **Words) -> int {
  if (Count != 5)
    return 2;
  const std::string Mode = Words[1];
  const auto Entry = static_cast<std::uint16_t>(std::atoi(Words[2]));
  const int Third = std::atoi(Words[3]);
  const int Fourth = std::atoi(Words[4]);
  if (Mode == "latency")
    return latency(Entry, static_cast<std::uint16_t>(Third), Fourth);
  return relay(Entry, Third, static_cast<std::uint32_t>(Fourth));
}
