/// \file
/// Cost of the decisions against the number of targets and models, and the
/// bytes of an entry's state.

#include "core/reducer.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>

namespace {

using namespace limpetbridge;

constexpr time_point Start{seconds(1000)};
constexpr std::uint64_t ModelBytes = 10'000'000'000;

/// An entry that knows so many targets and models.
auto makeEntry(std::size_t Targets, std::size_t Models) -> node_state {
  node_options Options;
  Options.Self.Name = instance_name("entry");
  Options.Self.DataCentre = data_centre_name("d0");
  auto State = makeNode(Options, 1);
  change Change{change_id("c"), {1}, {}};
  for (std::size_t Model = 0; Model < Models; ++Model)
    Change.Operations.push_back(
        {operation_verb::Declare,
         declaration_kind::Model,
         "model-" + std::to_string(Model),
         {{"memory_mb", "10000"}, {"load_ms", "2000"}}});
  Change.Operations.push_back({operation_verb::Declare,
                               declaration_kind::Caller,
                               "caller",
                               {{"token", "caller-token"}, {"models", "*"}}});
  (void)reduce(State, changes_received{instance_name("p"), {Change}}, Start);
  instances_listed List;
  for (std::size_t Target = 0; Target < Targets; ++Target) {
    instance_record Record;
    Record.Name = instance_name("target-" + std::to_string(Target));
    Record.Role = instance_role::Agent;
    Record.DataCentre = data_centre_name("d" + std::to_string(Target % 3));
    Record.Address = "10.0.0.1:7000";
    Record.Incarnation = {1};
    Record.Memory = {8 * ModelBytes};
    List.Instances.push_back(Record);
  }
  (void)reduce(State, List, Start);
  return State;
}

auto makeRequest(std::uint64_t Number, std::size_t Models) -> request_arrived {
  request_arrived Event;
  Event.Request = {{1}, Number};
  Event.Token = "caller-token";
  Event.Model = "model-" + std::to_string(Number % Models);
  Event.Body = shareText("prompt");
  Event.PromptTokens = 100;
  Event.MaxTokens = 200;
  Event.Deadline = Start + seconds(60);
  return Event;
}

/// Answers a request whole, so that the next meets a known holder.
auto answer(node_state &State, const effects &Effects) -> void {
  for (const auto &Effect : Effects) {
    const auto *Attempt = std::get_if<start_attempt>(&Effect);
    if (Attempt == nullptr)
      continue;
    const auto Id = Attempt->Offer.Attempt;
    (void)reduce(State, attempt_progressed{Id, {0, {"piece"}}}, Start);
    attempt_ended End;
    End.Attempt = Id;
    End.Outcome = run_outcome::Done;
    End.Total = 1;
    End.Hint = {duration::zero(), 8, {1}, {1}};
    (void)reduce(State, End, Start);
  }
}

/// One whole request: authorisation, routing, one frame, the end.
auto wholeRequest(benchmark::State &Bench) -> void {
  const auto Targets = static_cast<std::size_t>(Bench.range(0));
  const auto Models = static_cast<std::size_t>(Bench.range(1));
  auto State = makeEntry(Targets, Models);
  std::uint64_t Number = 0;
  for (std::size_t Warm = 0; Warm < 2 * Models; ++Warm)
    answer(State, reduce(State, makeRequest(++Number, Models), Start));
  for (auto Each : Bench)
    answer(State, reduce(State, makeRequest(++Number, Models), Start));
}

/// Authorisation and routing alone.
auto routingDecision(benchmark::State &Bench) -> void {
  const auto Targets = static_cast<std::size_t>(Bench.range(0));
  const auto Models = static_cast<std::size_t>(Bench.range(1));
  auto State = makeEntry(Targets, Models);
  std::uint64_t Number = 0;
  for (std::size_t Warm = 0; Warm < 2 * Models; ++Warm)
    answer(State, reduce(State, makeRequest(++Number, Models), Start));
  for (auto Each : Bench) {
    const auto Event = makeRequest(++Number, Models);
    auto Effects = reduce(State, Event, Start);
    benchmark::DoNotOptimize(Effects);
    Bench.PauseTiming();
    (void)reduce(State, caller_left{Event.Request}, Start);
    Bench.ResumeTiming();
  }
}

/// One frame of a stream with so many streams open.
auto relayedFrame(benchmark::State &Bench) -> void {
  const auto Streams = static_cast<std::uint64_t>(Bench.range(0));
  auto State = makeEntry(18, 34);
  for (std::uint64_t Number = 1; Number <= Streams; ++Number)
    (void)reduce(State, makeRequest(Number, 34), Start);
  std::uint32_t Offset = 0;
  std::uint64_t Number = 0;
  for (auto Each : Bench) {
    Number = Number % Streams + 1;
    auto Effects = reduce(
        State, attempt_progressed{{{{1}, Number}, 1}, {Offset, {"piece"}}},
        Start);
    benchmark::DoNotOptimize(Effects);
    if (Number == Streams)
      ++Offset;
  }
}

/// A change of membership, after which homes are ranked again.
auto membershipChange(benchmark::State &Bench) -> void {
  const auto Targets = static_cast<std::size_t>(Bench.range(0));
  auto State = makeEntry(Targets, 340);
  std::uint64_t Number = 0;
  for (auto Each : Bench) {
    ++State.Membership.Epoch;
    answer(State, reduce(State, makeRequest(++Number, 340), Start));
  }
}

/// Bytes of an entry's state, as a counter.
auto entryState(benchmark::State &Bench) -> void {
  const auto Targets = static_cast<std::size_t>(Bench.range(0));
  const auto Models = static_cast<std::size_t>(Bench.range(1));
  for (auto Each : Bench) {
    const auto Before = mallinfo2().uordblks;
    auto State = makeEntry(Targets, Models);
    std::uint64_t Number = 0;
    for (std::size_t Warm = 0; Warm < 2 * Models; ++Warm)
      answer(State, reduce(State, makeRequest(++Number, Models), Start));
    Bench.counters["bytes"] =
        static_cast<double>(mallinfo2().uordblks - Before);
  }
}

} // namespace

BENCHMARK(routingDecision)
    ->Args({18, 34})
    ->Args({680, 34})
    ->Args({680, 340})
    ->Args({6800, 34})
    ->Args({6800, 340});
BENCHMARK(wholeRequest)->Args({18, 34})->Args({680, 340})->Args({6800, 340});
BENCHMARK(relayedFrame)->Arg(10)->Arg(100)->Arg(500)->Arg(2000);
BENCHMARK(membershipChange)->Arg(18)->Arg(680)->Arg(6800);
BENCHMARK(entryState)
    ->Args({18, 34})
    ->Args({680, 340})
    ->Args({6800, 34})
    ->Args({6800, 340})
    ->Iterations(1);
BENCHMARK_MAIN();
