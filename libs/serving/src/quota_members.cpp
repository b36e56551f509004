#include "serving/quota_members.h"

#include <algorithm>
#include <string>

namespace limpetbridge::serving {

namespace {

/// A gateway counts for so long after it was last listed or heard.
constexpr duration CountingTime = seconds(30);
/// For differences between the clocks' speeds and for the age of lists.
constexpr duration CountingMargin = seconds(3);
/// Shortest term of a loan.
constexpr duration MinTerm = seconds(2);
/// Messages are sent every 10 ms x gateways, so that a term of four such
/// intervals survives three lost messages.
constexpr duration TermPerMember = milliseconds(40);
/// More gateways than this are a malformed number.
constexpr std::uint32_t MaxMembers = 512;
/// Part of its base that a gateway uses which others may not count. At most
/// half of all gateways can be in this state beside others with full shares, so
/// the excess is at most 0.025 of a quota.
constexpr double ReducedPart = 0.05;
/// A starting gateway that does not get the reports of all others in contact
/// uses the reduced part after this many terms.
constexpr int StartTerms = 3;
constexpr std::size_t MaxForgotten = 10000;
constexpr duration UpdateInterval = milliseconds(20);
/// The time between two reports: one that has just been listed is heard by
/// then.
constexpr duration SettlingTime = milliseconds(500);

} // namespace

quota_members::quota_members(instance_name Self, std::uint64_t Incarnation)
    : Self(std::move(Self)), Incarnation(Incarnation) {}

auto quota_members::termFor(std::uint32_t Members) -> duration {
  return std::max(MinTerm, TermPerMember * std::min(Members, MaxMembers));
}

auto quota_members::setListed(const std::set<instance_name> &Listed,
                              time_point Now) -> void {
  for (auto &[Name, Member] : Members) {
    if (Member.Listed)
      Member.SeenAt = Now;
    Member.Listed = Listed.contains(Name);
  }
  for (const auto &Name : Listed)
    if (Name != Self && Members.size() < MaxMembers) {
      auto &Member = Members[Name];
      Member.Listed = true;
      Member.SeenAt = Now;
    }
  if (!StartedAt)
    StartedAt = Now;
  if (Listed.contains(Self))
    ListedAt = Now;
  UpdatedAt.reset();
  update(Now);
}

auto quota_members::receive(const instance_name &From,
                            const quota_message_head &Head, time_point Now)
    -> std::optional<heard> {
  if (From == Self || Head.Members == 0 || Head.Members > MaxMembers ||
      Head.Number == 0)
    return std::nullopt;
  if (!Members.contains(From) && Members.size() >= MaxMembers)
    return std::nullopt;
  auto &Member = Members[From];
  heard Heard;
  if (Head.Incarnation != Member.Incarnation) {
    // An old message of an earlier process may arrive after those of the new.
    if (Head.Incarnation < Member.Incarnation && Member.HeardAt &&
        Now - *Member.HeardAt < CountingTime)
      return std::nullopt;
    const auto Known = Forgotten.find(From);
    Member.Returned = Member.Incarnation == 0 && Known != Forgotten.end() &&
                      Known->second == Head.Incarnation;
    Heard.NewIncarnation = !Member.Returned;
    Member.Incarnation = Head.Incarnation;
    Member.Number = 0;
    Member.Confirmed = 0;
    Member.ConfirmedAt.reset();
    Member.Sent.clear();
  }
  if (Head.Number <= Member.Number)
    return std::nullopt;
  Member.Number = Head.Number;
  Member.HeardAt = Now;
  Member.SeenAt = Now;
  const bool MoreMembers = Head.Members > Count;
  Member.Members = Head.Members;
  Member.Settled = Head.HeardIncarnation == Incarnation ? Head.Settled : 0;
  if (Head.HeardIncarnation == Incarnation)
    for (const auto &[Number, SentAt] : Member.Sent)
      if (Number == Head.HeardNumber) {
        Heard.RepliesTo = SentAt;
        Member.Confirmed = std::max(Member.Confirmed, Number);
        if (!Member.ConfirmedAt || *Member.ConfirmedAt < SentAt)
          Member.ConfirmedAt = SentAt;
      }
  if (MoreMembers || Heard.NewIncarnation)
    UpdatedAt.reset();
  update(Now);
  return Heard;
}

auto quota_members::send(const instance_name &To, bool HoldsLoans,
                         time_point Now) -> quota_message_head {
  update(Now);
  quota_message_head Head{
      Incarnation, ++LastNumber, 0, 0, Reported, HoldsLoans ? 0 : NamesHash};
  auto *Member = find(To);
  if (Member == nullptr)
    return Head;
  Head.HeardIncarnation = Member->Incarnation;
  Head.HeardNumber = Member->Number;
  while (!Member->Sent.empty() &&
         Now - Member->Sent.front().second > termFor(MaxMembers))
    Member->Sent.pop_front();
  Member->Sent.emplace_back(LastNumber, Now);
  return Head;
}

auto quota_members::find(const instance_name &Name) -> quota_member * {
  const auto Found = Members.find(Name);
  return Found == Members.end() ? nullptr : &Found->second;
}

auto quota_members::isInContact(const quota_member &Member, duration Age,
                                time_point Now) const -> bool {
  return Member.HeardAt && Now - *Member.HeardAt < Age && Member.ConfirmedAt &&
         Now - *Member.ConfirmedAt < Age;
}

auto quota_members::counts(const quota_member &Member, time_point Now) const
    -> bool {
  return Member.Listed || Now - Member.SeenAt < CountingTime;
}

auto quota_members::base() const -> double {
  switch (Ownership) {
  case ownership::None:
    return 0;
  case ownership::Reduced:
    return ReducedPart / Count;
  case ownership::Full:
    return 1.0 / Count;
  }
  return 0;
}

auto quota_members::update(time_point Now) -> void {
  if (UpdatedAt && Now - *UpdatedAt < UpdateInterval)
    return;
  UpdatedAt = Now;
  const auto ContactAge =
      CountingTime - CountingMargin - termFor(std::max(Count, Reported));
  std::uint32_t Contacts = 1;
  for (const auto &[Name, Member] : Members)
    Contacts += isInContact(Member, ContactAge, Now) ? 1 : 0;
  // One that was heard and is gone may still be admitting behind a partition,
  // so a part of the gateways without a majority does not forget the others.
  const bool IsMajority = Contacts > (Members.size() + 1) / 2;
  std::uint32_t Highest = 0;
  for (auto Next = Members.begin(); Next != Members.end();) {
    const auto &Member = Next->second;
    if (!counts(Member, Now) && (IsMajority || !Member.HeardAt)) {
      if (Member.Incarnation != 0 && Forgotten.size() < MaxForgotten)
        Forgotten[Next->first] = Member.Incarnation;
      Next = Members.erase(Next);
      continue;
    }
    if (Member.HeardAt && Now - *Member.HeardAt < ContactAge)
      Highest = std::max(Highest, Member.Members);
    ++Next;
  }
  if (const auto Hash = hashNames(); Hash != NamesHash) {
    NamesHash = Hash;
    NamesSince = Now;
  }
  Own = static_cast<std::uint32_t>(Members.size()) + 1;
  Count = std::max(Own, Highest);
  updateReported(Own, Now);
  updateOwnership(Contacts, Now);
}

auto quota_members::updateReported(std::uint32_t Own, time_point Now) -> void {
  if (Own <= Reported || Ownership == ownership::None) {
    Reported = Own;
    PendingUntil.reset();
    return;
  }
  if (!PendingUntil) {
    Pending = Own;
    PendingUntil = Now + termFor(Own);
  }
  Pending = std::min(Pending, Own);
  if (Now < *PendingUntil)
    return;
  Reported = Pending;
  PendingUntil.reset();
  if (Own > Reported)
    updateReported(Own, Now);
}

auto quota_members::hashNames() const -> std::uint64_t {
  std::string Names;
  const auto Add = [&](const instance_name &Name) {
    Names += Name.Text;
    Names += '\n';
  };
  auto Next = Members.begin();
  for (; Next != Members.end() && Next->first < Self; ++Next)
    Add(Next->first);
  Add(Self);
  for (; Next != Members.end(); ++Next)
    Add(Next->first);
  return std::max<std::uint64_t>(1, stableHash(Names));
}

/// Whether nothing that an earlier process of this gateway lent is in use. All
/// others have to count the same gateways, so that a borrower that is unknown
/// here is noticed. The names have to be the same for a while: the first two of
/// a fleet that starts would begin alone, and count the others only one term
/// after the other.
auto quota_members::areLoansSettled(time_point Now) const -> bool {
  return !Members.empty() && Own == Count && Now - NamesSince >= SettlingTime &&
         std::all_of(Members.begin(), Members.end(), [&](const auto &Entry) {
           return Entry.second.Settled == NamesHash;
         });
}

auto quota_members::mayStart(time_point Now) const -> bool {
  // Loans of an earlier process of this gateway end within a term.
  const auto Term = termFor(Count);
  if (!StartedAt || !ListedAt ||
      (Now - *StartedAt <= Term && !areLoansSettled(Now)))
    return false;
  // One that is not in contact may not know this gateway.
  return std::all_of(Members.begin(), Members.end(), [&](const auto &Entry) {
    return isInContact(Entry.second, Term, Now) &&
           Entry.second.Members >= Count;
  });
}

auto quota_members::updateOwnership(std::uint32_t Contacts, time_point Now)
    -> void {
  const auto Term = termFor(std::max(Count, Reported));
  const auto Before = Ownership;
  switch (Ownership) {
  case ownership::None:
    if (mayStart(Now))
      Ownership = ownership::Full;
    else if (StartedAt && Now - *StartedAt > StartTerms * Term)
      Ownership = ownership::Reduced;
    break;
  case ownership::Reduced:
    if (mayStart(Now))
      Ownership = ownership::Full;
    break;
  case ownership::Full: {
    // Whoever reads the list finds this gateway in it, as it does itself.
    const bool IsListed =
        ListedAt && Now - *ListedAt < CountingTime - CountingMargin - Term;
    if (2 * Contacts <= Own && !IsListed)
      Ownership = ownership::Reduced;
    break;
  }
  }
  if (Ownership != Before)
    BaseSince = Now;
}

} // namespace limpetbridge::serving
