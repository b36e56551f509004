#include "core/membership.h"

#include "details/handlers.h"

#include <algorithm>
#include <set>

namespace limpetbridge::details {

namespace {

/// Merges one record of the list into the known one; true if that changed.
auto mergeRecord(member &Known, const instance_record &Listed) -> bool {
  // The list lags: a record of an older incarnation is out of date.
  if (Listed.Incarnation < Known.Record.Incarnation)
    return false;
  if (Listed.Incarnation > Known.Record.Incarnation)
    Known.ReportedDraining = false;
  const bool Changed = Known.Record != Listed;
  Known.Record = Listed;
  return Changed;
}

auto isDeclaredDrained(const node_state &State, const target_name &Target)
    -> bool {
  const auto *Declared =
      State.Configuration.Current->find<target_declaration>(Target.Text);
  return Declared != nullptr && Declared->Drained;
}

auto removeUnlisted(membership_state &Membership,
                    const std::set<instance_name> &Listed) -> bool {
  return std::erase_if(Membership.Members, [&](const auto &Member) {
           return !Listed.contains(Member.first);
         }) > 0;
}

} // namespace

auto onInstances(const context &Ctx, const instances_listed &Event) -> void {
  auto &Membership = Ctx.State.Membership;
  std::set<instance_name> Listed;
  bool Changed = false;
  for (const auto &Record : Event.Instances) {
    Listed.insert(Record.Name);
    const auto [Found, Added] =
        Membership.Members.try_emplace(Record.Name, member{Record, false});
    const bool NewIncarnation =
        Added || Record.Incarnation > Found->second.Record.Incarnation;
    Changed = mergeRecord(Found->second, Record) || Added || Changed;
    if (NewIncarnation && Record.Role == instance_role::Agent)
      pushTargetState(Ctx, Record);
  }
  Changed = removeUnlisted(Membership, Listed) || Changed;
  if (Changed)
    ++Membership.Epoch;
}

auto markLeaving(const context &Ctx, const target_name &Target,
                 incarnation Reporter) -> void {
  auto &Membership = Ctx.State.Membership;
  const auto Found = Membership.Members.find(agentOf(Target));
  if (Found == Membership.Members.end() || Found->second.ReportedDraining)
    return;
  // A delayed report of an earlier incarnation does not apply to this one.
  if (Found->second.Record.Incarnation != Reporter)
    return;
  Found->second.ReportedDraining = true;
  ++Membership.Epoch;
  Ctx.recordNote(note_kind::TargetLeaving, "", Target, "", "said by its agent");
}

auto updateIncarnation(const context &Ctx, const target_name &Target,
                       incarnation Agent) -> void {
  auto &Membership = Ctx.State.Membership;
  const auto Found = Membership.Members.find(agentOf(Target));
  if (Found == Membership.Members.end() || Agent.Value == 0 ||
      Found->second.Record.Incarnation == Agent)
    return;
  Found->second.Record.Incarnation = Agent;
  Found->second.ReportedDraining = false;
  ++Membership.Epoch;
}

auto applyLoadHint(const context &Ctx, const target_name &Target,
                   const load_hint &Hint) -> void {
  if (Hint.Agent.Value == 0)
    return;
  onRevisionSeen(Ctx, {agentOf(Target), Hint.Revision});
  const auto &Members = Ctx.State.Membership.Members;
  const auto Found = Members.find(agentOf(Target));
  if (Found != Members.end() && Hint.Agent > Found->second.Record.Incarnation)
    updateIncarnation(Ctx, Target, Hint.Agent);
  auto *View = findTargetView(Ctx.State, Target);
  if (View == nullptr)
    return;
  View->QueueDelay = Hint.QueueDelay;
  View->FreeSlots = Hint.FreeSlots;
  View->HintReceivedAt = Ctx.Now;
  View->SentSinceHint = 0;
}

auto isUsable(const node_state &State, const target_view &View) -> bool {
  if (isMutated(State.Options, mutation::IgnoreLeaving))
    return true;
  const auto Found = State.Membership.Members.find(View.Record.Name);
  if (Found == State.Membership.Members.end())
    return false;
  return !Found->second.Record.Leaving && !Found->second.ReportedDraining &&
         !isDeclaredDrained(State, targetOf(View.Record.Name));
}

} // namespace limpetbridge::details
