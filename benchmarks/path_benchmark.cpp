/// \file
/// Latency and throughput of requests through an entry and an agent. The
/// latency is compared with direct calls of the engine stand-in in the same
/// run.
///
/// `path_benchmark latency ENTRY_PORT ENGINE_PORT COUNT`
/// `path_benchmark relay ENTRY_PORT STREAMS TOKENS`
/// Any other mode, such as `hold`, runs `relay`.

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

/// Value at \p Fraction, 0 to 1, of the sorted values. Sorts \p Values; they
/// must not be empty.
auto quantile(std::vector<double> &Values, double Fraction) -> double {
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

auto printQuantiles(const char *Name, std::vector<double> Values) -> void {
  std::cout << Name << ": median " << quantile(Values, 0.5) << " ms, p95 "
            << quantile(Values, 0.95) << " ms, p99 " << quantile(Values, 0.99)
            << " ms\n";
}

/// Time to generate one token by calling the engine directly, milliseconds.
/// Uses a new connection, as callers do. Exits the process if the call fails.
auto measureDirectCallMs(std::uint16_t Port) -> double {
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

/// Compares \p Count calls through the entry with as many direct ones.
auto compareLatency(std::uint16_t Entry, std::uint16_t Engine, int Count)
    -> int {
  const caller_client Client(Host, Entry, Token);
  std::vector<double> Direct;
  std::vector<double> ThroughEntry;
  Direct.reserve(static_cast<std::size_t>(Count));
  ThroughEntry.reserve(static_cast<std::size_t>(Count));
  for (int Call = 0; Call < Count; ++Call) {
    Direct.push_back(measureDirectCallMs(Engine));
    const auto Answer = Client.chat("helper", "x", 1);
    if (!Answer.Done)
      return 1;
    ThroughEntry.push_back(Answer.TotalMs);
  }
  printQuantiles("direct", Direct);
  printQuantiles("through entry and agent", ThroughEntry);
  std::cout << "added at the median: "
            << quantile(ThroughEntry, 0.5) - quantile(Direct, 0.5) << " ms\n";
  return 0;
}

/// Runs \p Streams streams in parallel and waits for them. Returns the tokens
/// of those that completed.
auto runStreams(std::uint16_t Entry, int Streams, std::uint32_t Tokens)
    -> std::uint64_t {
  std::atomic<std::uint64_t> CompletedTokens{0};
  std::vector<std::unique_ptr<thread>> Threads;
  Threads.reserve(static_cast<std::size_t>(Streams));
  for (int Stream = 0; Stream < Streams; ++Stream)
    Threads.push_back(std::make_unique<thread>(
        "stream", LoopStackBytes, [&CompletedTokens, Entry, Tokens] {
          const auto Answer =
              caller_client(Host, Entry, Token).chat("helper", "x", Tokens);
          if (Answer.Done)
            CompletedTokens += Tokens;
          else
            std::cout << "failed: " << Answer.Body.substr(0, 300) << '\n';
        }));
  Threads.clear();
  return CompletedTokens;
}

/// Prints the throughput of parallel streams through the entry.
auto measureRelay(std::uint16_t Entry, int Streams, std::uint32_t Tokens)
    -> int {
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

auto main(int ArgumentCount, char **Arguments) -> int {
  if (ArgumentCount != 5)
    return 2;
  const std::string Mode = Arguments[1];
  const auto Entry = static_cast<std::uint16_t>(std::atoi(Arguments[2]));
  const int ThirdArgument = std::atoi(Arguments[3]);
  const int FourthArgument = std::atoi(Arguments[4]);
  if (Mode == "latency")
    return compareLatency(Entry, static_cast<std::uint16_t>(ThirdArgument),
                          FourthArgument);
  return measureRelay(Entry, ThirdArgument,
                      static_cast<std::uint32_t>(FourthArgument));
}
