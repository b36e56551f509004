/// \file
/// Time that an entry's reducer takes for its decisions, by number of targets
/// and models, and the memory that an entry's state takes.

#include "core/reducer.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>

namespace {

using namespace limpetbridge;

constexpr time_point Start{seconds(1000)};
constexpr std::uint64_t ModelBytes = 10'000'000'000;

/// State of an entry that knows \p Targets targets and \p Models models.
auto makeEntryState(std::size_t Targets, std::size_t Models) -> node_state {
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
  instances_listed Listed;
  for (std::size_t Target = 0; Target < Targets; ++Target) {
    instance_record Record;
    Record.Name = instance_name("target-" + std::to_string(Target));
    Record.Role = instance_role::Agent;
    Record.DataCentre = data_centre_name("d" + std::to_string(Target % 3));
    Record.Address = "10.0.0.1:7000";
    Record.Incarnation = {1};
    Record.Memory = {8 * ModelBytes};
    Listed.Instances.push_back(Record);
  }
  (void)reduce(State, Listed, Start);
  return State;
}

auto makeRequest(std::uint64_t RequestNumber, std::size_t Models)
    -> request_arrived {
  request_arrived Event;
  Event.Request = {{1}, RequestNumber};
  Event.Token = "caller-token";
  Event.Model = "model-" + std::to_string(RequestNumber % Models);
  Event.Body = shareText("prompt");
  Event.PromptTokens = 100;
  Event.MaxTokens = 200;
  Event.Deadline = Start + seconds(60);
  return Event;
}

/// Completes every attempt that \p Effects start, so that later requests find a
/// target known to hold the model.
auto completeAttempts(node_state &State, const effects &Effects) -> void {
  for (const auto &Effect : Effects) {
    const auto *Attempt = std::get_if<start_attempt>(&Effect);
    if (Attempt == nullptr)
      continue;
    const auto Id = Attempt->Offer.Attempt;
    (void)reduce(State, attempt_progressed{Id, {0, {"piece"}}}, Start);
    attempt_ended Ended;
    Ended.Attempt = Id;
    Ended.Outcome = run_outcome::Done;
    Ended.Total = 1;
    Ended.Hint = {duration::zero(), 8, {1}, {1}};
    (void)reduce(State, Ended, Start);
  }
}

/// One complete request: authorisation, routing, one frame and its end.
auto wholeRequest(benchmark::State &Run) -> void {
  const auto Targets = static_cast<std::size_t>(Run.range(0));
  const auto Models = static_cast<std::size_t>(Run.range(1));
  auto State = makeEntryState(Targets, Models);
  std::uint64_t RequestNumber = 0;
  for (std::size_t WarmUp = 0; WarmUp < 2 * Models; ++WarmUp)
    completeAttempts(
        State, reduce(State, makeRequest(++RequestNumber, Models), Start));
  for (auto Iteration : Run)
    completeAttempts(
        State, reduce(State, makeRequest(++RequestNumber, Models), Start));
}

/// Authorisation and routing of one request; its end is not timed.
auto routingDecision(benchmark::State &Run) -> void {
  const auto Targets = static_cast<std::size_t>(Run.range(0));
  const auto Models = static_cast<std::size_t>(Run.range(1));
  auto State = makeEntryState(Targets, Models);
  std::uint64_t RequestNumber = 0;
  for (std::size_t WarmUp = 0; WarmUp < 2 * Models; ++WarmUp)
    completeAttempts(
        State, reduce(State, makeRequest(++RequestNumber, Models), Start));
  for (auto Iteration : Run) {
    const auto Event = makeRequest(++RequestNumber, Models);
    auto Effects = reduce(State, Event, Start);
    benchmark::DoNotOptimize(Effects);
    Run.PauseTiming();
    (void)reduce(State, caller_left{Event.Request}, Start);
    Run.ResumeTiming();
  }
}

/// Relaying one frame while a given number of streams is open.
auto relayedFrame(benchmark::State &Run) -> void {
  const auto Streams = static_cast<std::uint64_t>(Run.range(0));
  auto State = makeEntryState(18, 34);
  for (std::uint64_t RequestNumber = 1; RequestNumber <= Streams;
       ++RequestNumber)
    (void)reduce(State, makeRequest(RequestNumber, 34), Start);
  std::uint32_t Offset = 0;
  std::uint64_t RequestNumber = 0;
  for (auto Iteration : Run) {
    RequestNumber = RequestNumber % Streams + 1;
    auto Effects = reduce(
        State,
        attempt_progressed{{{{1}, RequestNumber}, 1}, {Offset, {"piece"}}},
        Start);
    benchmark::DoNotOptimize(Effects);
    if (RequestNumber == Streams)
      ++Offset;
  }
}

/// One complete request after a membership change, which makes the entry rank
/// the home targets of a model again.
auto membershipChange(benchmark::State &Run) -> void {
  const auto Targets = static_cast<std::size_t>(Run.range(0));
  auto State = makeEntryState(Targets, 340);
  std::uint64_t RequestNumber = 0;
  for (auto Iteration : Run) {
    ++State.Membership.Epoch;
    completeAttempts(State,
                     reduce(State, makeRequest(++RequestNumber, 340), Start));
  }
}

/// Heap memory of an entry's state, reported as the counter `bytes`.
auto entryState(benchmark::State &Run) -> void {
  const auto Targets = static_cast<std::size_t>(Run.range(0));
  const auto Models = static_cast<std::size_t>(Run.range(1));
  for (auto Iteration : Run) {
    const auto Before = mallinfo2().uordblks;
    auto State = makeEntryState(Targets, Models);
    std::uint64_t RequestNumber = 0;
    for (std::size_t WarmUp = 0; WarmUp < 2 * Models; ++WarmUp)
      completeAttempts(
          State, reduce(State, makeRequest(++RequestNumber, Models), Start));
    Run.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - Before);
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
