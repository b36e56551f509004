#include "core/membership.h"

#include "details/handlers.h"

#include <algorithm>
#include <set>

namespace limpetbridge::details {

namespace {

/// Takes one row of the list; true when it changed what is known.
auto mergeRecord(member &Known, const instance_record &Listed) -> bool {
  // The list lags: an older life than the one that spoke is news of the past.
  if (Listed.Incarnation < Known.Record.Incarnation)
    return false;
  if (Listed.Incarnation > Known.Record.Incarnation)
    Known.LeftByWord = false;
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

auto dropUnlisted(membership_state &Membership,
                  const std::set<instance_name> &Listed) -> bool {
  return std::erase_if(Membership.Members, [&](const auto &Each) {
           return !Listed.contains(Each.first);
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
    const bool NewLife =
        Added || Record.Incarnation > Found->second.Record.Incarnation;
    Changed = mergeRecord(Found->second, Record) || Added || Changed;
    if (NewLife && Record.Role == instance_role::Agent)
      pushTargetState(Ctx, Record);
  }
  Changed = dropUnlisted(Membership, Listed) || Changed;
  if (Changed)
    ++Membership.Epoch;
}

auto markLeaving(const context &Ctx, const target_name &Target,
                 incarnation Speaker) -> void {
  auto &Membership = Ctx.State.Membership;
  const auto Found = Membership.Members.find(agentOf(Target));
  if (Found == Membership.Members.end() || Found->second.LeftByWord)
    return;
  // A late word of an earlier life says nothing of the one that followed.
  if (Found->second.Record.Incarnation != Speaker)
    return;
  Found->second.LeftByWord = true;
  ++Membership.Epoch;
  Ctx.recordNote(note_kind::TargetLeaving, "", Target, "", "said by its agent");
}

auto adoptIncarnation(const context &Ctx, const target_name &Target,
                      incarnation Agent) -> void {
  auto &Membership = Ctx.State.Membership;
  const auto Found = Membership.Members.find(agentOf(Target));
  if (Found == Membership.Members.end() || Agent.Value == 0 ||
      Found->second.Record.Incarnation == Agent)
    return;
  Found->second.Record.Incarnation = Agent;
  Found->second.LeftByWord = false;
  ++Membership.Epoch;
}

auto learnHint(const context &Ctx, const target_name &Target,
               const load_hint &Hint) -> void {
  if (Hint.Agent.Value == 0)
    return;
  onRevisionSeen(Ctx, {agentOf(Target), Hint.Revision});
  const auto &Members = Ctx.State.Membership.Members;
  const auto Found = Members.find(agentOf(Target));
  if (Found != Members.end() && Hint.Agent > Found->second.Record.Incarnation)
    adoptIncarnation(Ctx, Target, Hint.Agent);
  auto *View = viewOf(Ctx.State, Target);
  if (View == nullptr)
    return;
  View->QueueDelay = Hint.QueueDelay;
  View->FreeSlots = Hint.FreeSlots;
  View->HintAt = Ctx.Now;
  View->SentSinceHint = 0;
}

auto isUsable(const node_state &State, const target_view &View) -> bool {
  if (isMutated(State.Options, mutation::IgnoreLeaving))
    return true;
  const auto Found = State.Membership.Members.find(View.Record.Name);
  if (Found == State.Membership.Members.end())
    return false;
  return !Found->second.Record.Leaving && !Found->second.LeftByWord &&
         !isDeclaredDrained(State, targetOf(View.Record.Name));
}

} // namespace limpetbridge::details
