#include "details/gateway_parts.h"

#include <algorithm>
#include <utility>

namespace limpetbridge::serving {

namespace {

/// Interval between two queries. A gateway that cannot read the store receives
/// changes about this much later than the others.
constexpr duration PeerQueryInterval = milliseconds(300);
/// Time for which an older configuration is tolerated before peers are queried:
/// this gateway's own read of the store may still be in progress.
constexpr duration StaleConfigurationGrace = milliseconds(300);

/// Time in which another gateway has to answer a query, besides its wait.
constexpr duration PeerAnswerTime = milliseconds(600);
/// Longest wait of the gateway that reads the targets before it answers that
/// nothing has changed. A change is answered at once.
constexpr duration ReaderWait = milliseconds(400);
/// Time in which it has to answer besides: a lost packet is sent again within
/// it. With ReaderWait it bounds the time until a reader's failure is noticed.
constexpr duration ReaderAnswerTime = milliseconds(300);
/// Least interval of these queries, should each one be answered at once.
constexpr duration MinReaderQueryInterval = milliseconds(50);
/// Time from an answer until the next one has arrived or failed.
constexpr duration AnswerValidity =
    ReaderWait + ReaderAnswerTime + milliseconds(200);
/// Time for which a gateway that did not answer is not asked for the targets.
constexpr duration UnansweredAvoidTime = seconds(10);

/// True if the last digest of the gateway has a recent read of the targets, and
/// the gateway is ready and has answered recent queries.
auto mayRead(const gateway_step &Step, const instance_name &Peer,
             const gateway_state::peer_status &Status) -> bool {
  const auto &State = Step.State;
  // Digests of many gateways are rare; a reader that is gone does not answer.
  const auto Oldest =
      Step.Now - State.Options.MaxTargetsAge - digestInterval(State);
  if (Status.DataCentre != State.Options.DataCentre ||
      Status.TargetsReadAt < Oldest || Status.ReadyAt > Step.Now)
    return false;
  const auto Instance = State.Instances.find(Peer);
  if (Instance == State.Instances.end())
    return false;
  const auto Unanswered = State.UnansweredUntil.find(Instance->second.Address);
  return Unanswered == State.UnansweredUntil.end() ||
         Step.Now >= Unanswered->second;
}

/// The gateway of this data centre that reads the targets: among those whose
/// reads are recent, this one included, the one with the highest hash. Null if
/// it is this one or if there is none.
auto findTargetReader(const gateway_step &Step) -> const instance_name * {
  const auto &State = Step.State;
  const auto Oldest = Step.Now - State.Options.MaxTargetsAge;
  const instance_name *Reader = nullptr;
  auto Highest = !State.ReadsTargets || State.TargetsReadAt < Oldest
                     ? std::uint64_t{0}
                     : stableHash(State.Options.Self.Text);
  for (const auto &[Peer, Status] : State.PeerStatuses) {
    if (!mayRead(Step, Peer, Status))
      continue;
    if (const auto Hash = stableHash(Peer.Text); Hash > Highest) {
      Highest = Hash;
      Reader = &Peer;
    }
  }
  return Reader;
}

/// Addresses of the peers that have a newer configuration or, without any, of
/// those that can read the store.
auto informedPeers(const gateway_state &State) -> std::vector<std::string> {
  std::vector<std::string> Ahead;
  std::vector<std::string> AtStore;
  for (const auto &[Name, Instance] : State.Instances) {
    const auto Status = State.PeerStatuses.find(Name);
    if (Status == State.PeerStatuses.end())
      continue;
    if (isAhead(State, Status->second))
      Ahead.push_back(Instance.Address);
    if (Status->second.StoreReachable)
      AtStore.push_back(Instance.Address);
  }
  return Ahead.empty() ? AtStore : Ahead;
}

} // namespace

auto targetsReadAgeMs(const gateway_state &State, time_point Now)
    -> std::int64_t {
  return State.ReadsTargets && State.TargetsReadAt != time_point()
             ? toMilliseconds(Now - State.TargetsReadAt)
             : -1;
}

auto isConfigurationStale(const gateway_state &State) -> bool {
  return State.Configuration.Version == 0 ||
         std::any_of(State.PeerStatuses.begin(), State.PeerStatuses.end(),
                     [&](const auto &PeerStatus) {
                       return isAhead(State, PeerStatus.second);
                     });
}

auto chooseTargetReader(const gateway_step &Step) -> void {
  auto &State = Step.State;
  const auto *Reader = findTargetReader(Step);
  const bool Reads = Reader == nullptr || State.Configuration.Version == 0 ||
                     Step.Now >= State.TargetsCurrentUntil;
  if (std::exchange(State.ReadsTargets, Reads) != Reads)
    addLogEntry(Step, log_level::Info, "target_reader_changed",
                {{"reader", Reads ? State.Options.Self.Text : Reader->Text}});
  // The reader stands for the store, also if a call of this gateway that was
  // still open has failed since.
  if (!Reads && State.RowGraceUntil == NoDeadline)
    handle(Step, store_reachability_changed{true});
  // A gateway that still reads for itself asks as well: it stops only once the
  // reader has answered.
  if (Reader == nullptr || !State.AskedReader.empty() ||
      Step.Now < State.NextReaderQuery)
    return;
  State.NextReaderQuery = Step.Now + MinReaderQueryInterval;
  State.AskedReader = State.Instances.at(*Reader).Address;
  Step.Effects.push_back(query_peer{State.AskedReader,
                                    Step.Now + ReaderWait + ReaderAnswerTime,
                                    toMilliseconds(ReaderWait)});
}

auto handle(const gateway_step &Step, const peer_answered &Event) -> void {
  auto &State = Step.State;
  recordPeerKnowledge(Step, Event);
  if (!Event.Waited || Event.Address != State.AskedReader)
    return;
  State.AskedReader.clear();
  const bool Current =
      Event.Answered && Event.TargetsReadAgeMs >= 0 &&
      milliseconds(Event.TargetsReadAgeMs) <= State.Options.MaxTargetsAge;
  State.TargetsCurrentUntil =
      Current ? Step.Now + AnswerValidity : time_point();
  if (!Event.Answered) {
    State.UnansweredUntil[Event.Address] = Step.Now + UnansweredAvoidTime;
    addLogEntry(Step, log_level::Warning, "target_reader_silent",
                {{"address", Event.Address}});
  }
  for (auto &[Peer, Status] : State.PeerStatuses)
    if (const auto Instance = State.Instances.find(Peer);
        Instance != State.Instances.end() &&
        Instance->second.Address == Event.Address)
      Status.TargetsReadAt =
          Current ? Step.Now - milliseconds(Event.TargetsReadAgeMs)
                  : time_point();
  std::erase_if(State.UnansweredUntil, [&](const auto &Unanswered) {
    return Step.Now >= Unanswered.second;
  });
  chooseTargetReader(Step);
}

auto queryPeers(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (!isConfigurationStale(State))
    State.ConfigurationStaleSince = NoDeadline;
  else if (State.ConfigurationStaleSince == NoDeadline)
    State.ConfigurationStaleSince = Step.Now;
  const bool Stale =
      State.ConfigurationStaleSince != NoDeadline &&
      Step.Now - State.ConfigurationStaleSince >= StaleConfigurationGrace;
  if ((State.StoreReachable && !Stale) || Step.Now < State.NextPeerQuery)
    return;
  auto Addresses = informedPeers(State);
  if (Addresses.empty() && State.Configuration.Version == 0)
    Addresses = State.Options.Seeds;
  // Without an informed peer there is probably nothing to learn.
  if (Addresses.empty())
    return;
  State.NextPeerQuery = Step.Now + PeerQueryInterval;
  Step.Effects.push_back(
      query_peer{Addresses[State.PeerQueryCount++ % Addresses.size()],
                 Step.Now + PeerAnswerTime});
}

} // namespace limpetbridge::serving
