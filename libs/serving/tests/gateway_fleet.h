/// \file
/// Gateways that exchange digests and read the targets from a store or from
/// each other, in virtual time.
#ifndef LIMPETBRIDGE_SERVING_TESTS_GATEWAY_FLEET_H
#define LIMPETBRIDGE_SERVING_TESTS_GATEWAY_FLEET_H

#include "gateway_fixture.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge::serving {

/// The least time of any deployment in which a target that drains must stop
/// getting work, less the time of a request on its way.
inline constexpr duration DrainBound = seconds(2) - milliseconds(200);
inline constexpr duration Step = milliseconds(50);
/// Interval of the reads of a gateway that reads the targets.
inline constexpr duration ReadInterval = milliseconds(300);
/// Longest time until a call to a store that does not answer fails.
inline constexpr duration StoreCallTime = milliseconds(1500);

/// A query that is answered at once.
struct open_query {
  query_peer Query;
  time_point AskedAt;
  bool Answered = false;
  std::uint64_t Version = 0;       ///< Of the peer.
  time_point TargetsKnownAt;       ///< The same, or the epoch.
  std::uint64_t Configuration = 0; ///< The same.
  time_point ConfigurationKnownAt; ///< The same, or the epoch.
};

/// One gateway with its connection to the store and to the others.
struct gateway_process {
  gateway_state State;
  std::uint64_t Version = 0; ///< Newest row that it has read or received.
  time_point NextRead;
  time_point ReadFailsAt = NoDeadline; ///< Of a call without an answer.
  bool Alive = true;
  bool ReachesStore = true;
  bool AnswersQueries = true;
  /// Query that has not been answered.
  std::optional<query_peer> Query;
  time_point AskedAt;
  bool AnswerLost = false; ///< Of the query.
  int AnswersToLose = 0;   ///< Of those with news for this gateway.
  /// Time between two turns of a process that lacks processor time: only then
  /// it sees what has arrived and which time-outs have passed.
  duration TurnInterval = duration::zero();
  time_point NextTurn;
  bool HearsDigests = true;
  /// Its call for changes of the configuration gets no answers.
  bool MissesConfiguration = false;
  /// Nor do its further calls for the configuration.
  bool LosesConfigurationReads = false;
  int StoreFailures = 0; ///< Calls without an answer, one after the other.
  /// Immediate queries, and their answers as they were written.
  std::vector<open_query> Immediate;
  int Queries = 0;  ///< Sent, of any kind.
  int Attempts = 0; ///< Requests sent to a target.
};

/// Gateways in four data centres, and the version of the store's rows.
class gateway_fleet {
public:
  auto startGateways(int Count) -> void {
    Now = time_point(seconds(1000));
    Processes.clear();
    Reads = 0;
    Digests = 0;
    ConfigurationReads = 0;
    NextConfigurationReads.clear();
    StoreVersion = 1;
    ChangedAt = {time_point(), time_point()};
    LosesDigests = false;
    LastRequest = 0;
    Configurations.clear();
    IsCut = [](int, int) { return false; };
    for (int I = 0; I < Count; ++I) {
      const auto Name = "g" + std::to_string(I);
      gateway_options Options;
      Options.Self = instance_name(Name);
      Options.Address = Name;
      Options.DataCentre = data_centre_name("dc" + std::to_string(I % 4));
      Processes[Name].State = makeGatewayState(Options);
      apply(Processes[Name], configuration_read{makeConfiguration(1)}, Now);
      apply(Processes[Name], configuration_confirmed{Now}, Now);
    }
    instances_listed Listed;
    for (const auto &[Name, Process] : Processes)
      Listed.Instances.push_back(
          {instance_name(Name), instance_role::Gateway, Name, ""});
    for (auto &[Name, Process] : Processes)
      apply(Process, Listed, Now);
  }

  static constexpr int GatewayCount = 22;
  static constexpr std::array TurnIntervals = {
      milliseconds(200), milliseconds(500), milliseconds(1000),
      milliseconds(2000)};

  /// Starts gateways that know one target, and lets them settle.
  auto startWithTargets(int Count) -> void {
    startGateways(Count);
    target Target;
    Target.Name = target_name("t");
    Target.Incarnation = 1;
    Target.Service = service_name("ledger");
    Target.Address = "t:1";
    for (auto &[Name, Process] : Processes)
      apply(Process, target_updated{Target}, Now);
    run(seconds(5));
  }

  /// A gateway that gets the targets from another one.
  auto findFollower() -> gateway_process * {
    for (auto &[Name, Process] : Processes)
      if (!Process.State.ReadsTargets && !Process.State.AskedReader.empty())
        return &Process;
    CPPUNIT_FAIL("every gateway reads the targets");
    return nullptr;
  }

  auto change() -> void {
    ++StoreVersion;
    ChangedAt.push_back(Now);
  }

  /// Changes come in series, and each gateway gets requests. None of them may
  /// be sent on rows that miss a change for longer than the bound.
  auto runWithChanges(duration Span) -> void {
    for (const auto End = Now + Span; Now < End;) {
      change();
      run(milliseconds(300));
      for (auto &[Name, Process] : Processes)
        request(Process);
    }
  }

  auto request(gateway_process &Process) -> void {
    request_arrived Event;
    Event.Number = ++LastRequest;
    Event.Call.Id = std::to_string(LastRequest);
    Event.Call.Host = "h";
    Event.Call.Path = "/read/";
    Event.Call.Arrived = Now;
    Event.Call.CallerDeadline = Now + seconds(3);
    Event.Call.Key = workspace_key(Key);
    perform(Process, Event);
  }

  /// A request is sent on the rows that \p Process has now.
  auto checkSend(gateway_process &Process, const send_attempt &Send) -> void {
    ++Process.Attempts;
    if (Process.Version < StoreVersion)
      CPPUNIT_ASSERT_MESSAGE(Process.State.Options.Self.Text + " of " +
                                 std::to_string(Processes.size()),
                             Now - ChangedAt.at(Process.Version + 1) <=
                                 DrainBound);
    attempt_ended Ended;
    Ended.Number = Send.Number;
    Ended.End = attempt_end::Answered;
    apply(Process, Ended, Now);
  }

  auto readers() -> std::set<std::string> {
    std::set<std::string> Names;
    for (const auto &[Name, Process] : Processes)
      if (Process.Alive && Process.State.ReadsTargets)
        Names.insert(Name);
    return Names;
  }

  /// A row changes; the gateways that live and reach the store know it by then.
  auto checkChangeIsHeard(duration Bound) -> void {
    change();
    run(Bound);
    for (const auto &[Name, Process] : Processes)
      if (Process.Alive && Process.ReachesStore)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, StoreVersion, Process.Version);
  }

  auto run(duration Span) -> void {
    const auto End = Now + Span;
    for (int Count = 0; Now < End; ++Count, Now += Step)
      for (auto &[Name, Process] : Processes)
        if (Process.Alive)
          advance(Process, Count % 2 == 0);
  }

  static auto apply(gateway_process &Process, const gateway_event &Event,
                    time_point Now) -> void {
    static_cast<void>(reduce(Process.State, Event, Now));
  }

  auto perform(gateway_process &Process, const gateway_event &Event) -> void {
    for (const auto &Effect : reduce(Process.State, Event, Now)) {
      if (const auto *Query = std::get_if<query_peer>(&Effect))
        ask(Process, *Query);
      else if (const auto *Digest = std::get_if<send_digest>(&Effect))
        send(Process, *Digest);
      else if (std::holds_alternative<read_configuration>(Effect) &&
               Process.ReachesStore && !Process.LosesConfigurationReads)
        NextConfigurationReads.insert(&Process);
      else if (const auto *Attempt = std::get_if<send_attempt>(&Effect))
        checkSend(Process, *Attempt);
    }
  }

  auto ask(gateway_process &Process, const query_peer &Query) -> void {
    ++Process.Queries;
    if (Query.WaitMs > 0) {
      CPPUNIT_ASSERT(!Process.Query);
      Process.Query = Query;
      Process.AskedAt = Now;
      Process.AnswerLost = false;
      return;
    }
    const auto &Peer = Processes.at(Query.Address);
    open_query Open{Query,
                    Now,
                    reaches(Process, Query.Address) && Peer.AnswersQueries,
                    Peer.Version,
                    Peer.State.Targets.KnownAt,
                    Peer.State.Configuration.Version,
                    Peer.State.ConfigurationAge.KnownAt};
    Process.Immediate.push_back(Open);
  }

  /// Passes on the answers of immediate queries that have arrived.
  auto answerImmediate(gateway_process &Process) -> void {
    std::vector<open_query> Open;
    std::vector<open_query> Ended;
    for (auto &Query : Process.Immediate) {
      const bool Late = Now >= Query.Query.Deadline;
      const bool Arrived = Query.Answered && Now > Query.AskedAt;
      Query.Answered &= !Late;
      (Late || Arrived ? Ended : Open).push_back(Query);
    }
    Process.Immediate = Open;
    for (const auto &Query : Ended) {
      if (Query.Answered)
        Process.Version = std::max(Process.Version, Query.Version);
      peer_answered Event;
      Event.Address = Query.Query.Address;
      Event.Answered = Query.Answered;
      if (Query.Answered) {
        Event.TargetsKnownAt = Query.TargetsKnownAt;
        Event.TargetsKnownAgeMs =
            toMilliseconds(Query.AskedAt - Query.TargetsKnownAt);
        learn(Process, Query.Configuration);
        Event.ConfigurationKnownAgeMs = -1;
        if (Query.ConfigurationKnownAt != time_point()) {
          Event.ConfigurationKnownAgeMs =
              toMilliseconds(Query.AskedAt - Query.ConfigurationKnownAt);
          Event.ConfigurationKnownAt = Query.ConfigurationKnownAt;
        }
      }
      perform(Process, Event);
    }
  }

  /// True if a message of \p Process arrives at \p Address.
  auto reaches(const gateway_process &Process, const std::string &Address)
      -> bool {
    return Processes.at(Address).Alive &&
           !IsCut(numberOf(Process.State.Options.Self.Text), numberOf(Address));
  }

  static auto numberOf(const std::string &Name) -> int {
    return std::stoi(Name.substr(1));
  }

  /// \p Process gets a version of the configuration, if it is a newer one.
  auto learn(gateway_process &Process, std::uint64_t Newest) -> void {
    const auto Found = Configurations.find(Newest);
    if (Found != Configurations.end() &&
        Newest > Process.State.Configuration.Version)
      perform(Process, configuration_read{Found->second});
  }

  /// \p Process reads the configuration from the store.
  auto readConfiguration(gateway_process &Process) -> void {
    if (!Configurations.empty())
      learn(Process, Configurations.rbegin()->first);
    perform(Process, configuration_confirmed{Now});
  }

  auto send(const gateway_process &Process, const send_digest &Digest) -> void {
    for (const auto &Address : Digest.Addresses)
      if (reaches(Process, Address) && !LosesDigests &&
          Processes.at(Address).HearsDigests) {
        ++Digests;
        apply(Processes.at(Address), Digest.Digest, Now);
      }
  }

  /// Answers the open query of \p Process, or lets it fail at its deadline.
  auto answer(gateway_process &Process) -> void {
    const auto Query = *Process.Query;
    const auto &Peer = Processes.at(Query.Address);
    const auto AgeMs = targetsReadAgeMs(Peer.State, Now);
    const bool News =
        Peer.Version > Process.Version ||
        Peer.State.Configuration.Version > Process.State.Configuration.Version;
    if (reaches(Process, Query.Address) && Peer.AnswersQueries &&
        !Process.AnswerLost &&
        (News || AgeMs < 0 ||
         Now >= Process.AskedAt + milliseconds(Query.WaitMs))) {
      Process.AnswerLost = News && Process.AnswersToLose-- > 0;
      if (!Process.AnswerLost) {
        Process.Query.reset();
        Process.Version = std::max(Process.Version, Peer.Version);
        peer_answered Event{Query.Address, true, true, AgeMs};
        Event.TargetsKnownAt = Peer.State.Targets.KnownAt;
        Event.TargetsKnownAgeMs =
            toMilliseconds(Now - Peer.State.Targets.KnownAt);
        learn(Process, Peer.State.Configuration.Version);
        Event.ConfigurationKnownAgeMs = Peer.State.ConfigurationAge.ageMs(Now);
        if (Peer.State.ConfigurationAge.KnownAt != time_point())
          Event.ConfigurationKnownAt = Peer.State.ConfigurationAge.KnownAt;
        perform(Process, Event);
        return;
      }
    }
    if (Now < Query.Deadline)
      return;
    Process.Query.reset();
    perform(Process, peer_answered{Query.Address, true, false, -1});
  }

  auto readStore(gateway_process &Process) -> void {
    if (Process.ReachesStore) {
      ++Reads;
      Process.NextRead = Now + ReadInterval;
      Process.ReadFailsAt = NoDeadline;
      Process.Version = StoreVersion;
      noteStoreCall(Process, true);
      perform(Process, targets_read{});
      if (!Process.MissesConfiguration)
        readConfiguration(Process);
      return;
    }
    if (Process.ReadFailsAt == NoDeadline)
      Process.ReadFailsAt = Now + StoreCallTime;
    if (Now < Process.ReadFailsAt)
      return;
    Process.ReadFailsAt = NoDeadline;
    perform(Process, targets_read_failed{});
    noteStoreCall(Process, false);
  }

  /// The store counts as unreachable after two calls without an answer.
  auto noteStoreCall(gateway_process &Process, bool Answered) -> void {
    Process.StoreFailures = Answered ? 0 : Process.StoreFailures + 1;
    const bool Reachable = Process.StoreFailures < 2;
    if (!Configurations.empty() && Reachable != Process.State.StoreReachable)
      perform(Process, store_reachability_changed{Reachable});
  }

  auto advance(gateway_process &Process, bool Ticks) -> void {
    if (Process.TurnInterval > duration::zero()) {
      if (Now < Process.NextTurn)
        return;
      Process.NextTurn = Now + Process.TurnInterval;
      Ticks = true;
      // Its time-outs passed while it waited for its turn.
      Process.AnswerLost = Process.Query && Now >= Process.Query->Deadline;
    }
    if (NextConfigurationReads.erase(&Process) > 0) {
      ++ConfigurationReads;
      readConfiguration(Process);
    }
    if (Process.State.ReadsTargets && Now >= Process.NextRead)
      readStore(Process);
    if (Process.Query)
      answer(Process);
    answerImmediate(Process);
    if (Ticks)
      perform(Process, tick{Process.Version, {}});
  }

  time_point Now;
  std::map<std::string, gateway_process> Processes;
  std::uint64_t StoreVersion = 1;
  /// Versions of the configuration that the store has had; without any, all
  /// gateways have the same one.
  std::map<std::uint64_t, configuration> Configurations;
  std::set<gateway_process *> NextConfigurationReads;
  int ConfigurationReads = 0; ///< Beside the calls that wait for changes.
  /// True if messages from one gateway to the other are lost.
  std::function<bool(int From, int To)> IsCut;
  std::vector<time_point> ChangedAt; ///< When each version was written.
  request_number LastRequest = 0;
  std::string Key; ///< Of the requests; empty for none.
  int Reads = 0;
  int Digests = 0;
  bool LosesDigests = false;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TESTS_GATEWAY_FLEET_H
