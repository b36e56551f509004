/// What a gateway does when the store was restored from an older copy. Versions
/// of the old era say nothing of the new one, so nothing that depends on them
/// is kept; what is known of targets and callers is.
#include "details/gateway_parts.h"

namespace limpetbridge::serving {

namespace {

/// Least interval of the reads because another gateway names a later era.
constexpr duration EraCheckInterval = milliseconds(300);

/// Forgets the versions that the last digest of a gateway has named. It is not
/// followed until it names the new era.
auto forgetVersions(gateway_state::peer_status &Status) -> void {
  Status.Configuration = {};
  Status.TargetsReadAt = time_point();
  Status.TargetsKnownAt = time_point();
  Status.ConfigurationKnownAt = time_point();
  Status.TargetsVersion = 0;
}

} // namespace

auto handle(const gateway_step &Step, const configuration_missing &Event)
    -> void {
  Step.State.ConfigurationHistory.noteMissing(Event.FirstVersion);
}

auto handle(const gateway_step &Step, const store_era_changed &Event) -> void {
  auto &State = Step.State;
  if (Event.Era <= State.StoreEra)
    return;
  const auto Before = std::exchange(State.StoreEra, Event.Era);
  if (!Event.IsRise)
    return;
  addLogEntry(Step, log_level::Warning, "store_era_rose",
              {{"era", std::to_string(State.StoreEra)},
               {"before", std::to_string(Before)},
               {"configuration", std::to_string(State.Configuration.Version)},
               {"targets", std::to_string(State.Book.all().size())},
               {"targets_version", std::to_string(State.TargetsVersion)}});
  State.ConfigurationHistory.startEra();
  State.TargetsVersion = 0;
  // Nobody relies on this gateway's reads, nor this one on another's, until
  // the targets were listed in the new era.
  State.TargetsReadAt = time_point();
  State.ViewIsOfOldEra = true;
  State.TargetsCurrentUntil = time_point();
  for (auto &[Peer, Status] : State.PeerStatuses)
    if (Status.StoreEra < State.StoreEra)
      forgetVersions(Status);
  if (!State.Crashes.empty())
    storeCrashes(Step);
  // Targets that were added since the copy are missing in it until they have
  // written their rows again.
  if (State.RowGraceUntil != NoDeadline)
    State.RowGraceUntil = Step.Now + State.Options.LostGrace;
  for (auto &[Name, Entry] : State.Book.all())
    if (Entry.RowMissingSince != NoDeadline)
      Entry.RowMissingSince = Step.Now;
  chooseTargetReader(Step);
}

auto recordPeerEra(const gateway_step &Step, gateway_state::peer_status &Status)
    -> void {
  auto &State = Step.State;
  if (Status.StoreEra < State.StoreEra)
    forgetVersions(Status);
  // Only an answer of the store, or rows of a gateway that has read it, show
  // an era; the digest is a reason to look.
  if (Status.StoreEra <= State.StoreEra || Step.Now < State.NextEraCheck)
    return;
  State.NextEraCheck = Step.Now + EraCheckInterval;
  Step.Effects.push_back(read_configuration{});
}

auto targetsKnownAgeMs(const gateway_state &State, time_point Now)
    -> std::int64_t {
  return State.Targets.KnownAt == time_point() || State.ViewIsOfOldEra
             ? -1
             : toMilliseconds(Now - State.Targets.KnownAt);
}

auto isAhead(const gateway_state &State,
             const gateway_state::peer_status &Status) -> bool {
  return Status.StoreEra > State.StoreEra ||
         Status.Configuration.isNewerThan(State.ConfigurationHistory.inForce());
}

} // namespace limpetbridge::serving
