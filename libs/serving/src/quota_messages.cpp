#include "serving/quota_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpetbridge::serving {

namespace {

/// A share is planned anew after this time.
constexpr duration PlanInterval = milliseconds(50);
/// Part of its base that a gateway without demand keeps in any case.
constexpr double Floor = 0.05;
/// Smaller differences from the base, as a part of it, are not lent, so that
/// messages about evenly used workspaces hold no loans.
constexpr double LoanThreshold = 0.25;
/// A gateway that is asked for tokens keeps those that its own requests need
/// for so many seconds.
constexpr double KeptSeconds = 0.25;
/// Term of the share that comes with tokens that were asked for. Its end needs
/// no message, so that it does not stay lent until the next digests.
constexpr duration GiftTerm = milliseconds(500);
/// The lender's clock may be faster by so much in one term.
constexpr duration ClockMargin = milliseconds(50);
/// Others are asked again after this time: an answer takes about 10 ms, and one
/// of the many messages is often lost.
constexpr duration AskInterval = milliseconds(25);
/// The same if all that were asked have answered.
constexpr duration AnsweredInterval = milliseconds(10);
/// Questions at least so far apart are for other tokens.
constexpr duration AskPause = milliseconds(500);
/// From this round on all gateways are asked.
constexpr int AllRound = 3;
/// After so many rounds the others have no tokens.
constexpr int DryRound = 5;
/// The same if the fleet's demand is above the limit, since asking then only
/// moves tokens around.
constexpr int OverloadedDryRound = 2;
constexpr duration DryTime = milliseconds(250);
/// The same beyond the limit. With 250 ms, gateways with 0.09 core received up
/// to 1,100 datagrams a second while one workspace was over its limit.
constexpr duration OverloadedDryTime = seconds(1);
/// More is asked for than is missing, as some have less than expected: this
/// part of what requests wait for.
constexpr double AskedExcess = 0.1;
constexpr int MaxQuestionCount = 2;
/// Who lends a smaller part of what was asked is not asked again at once.
constexpr double FullAnswer = 0.95;
/// Part of a full bucket that the first round expects at others.
constexpr double ExpectedFill = 0.4;
constexpr duration SweepInterval = seconds(1);
/// Numbers beyond this are malformed.
constexpr double MaxAmount = 1e15;

auto isAmount(double Value) -> bool {
  return std::isfinite(Value) && Value >= 0 && Value <= MaxAmount;
}

} // namespace

auto quota_shares::plan(workspace &Workspace, time_point Now) const -> void {
  if (Now - Workspace.PlannedAt < PlanInterval)
    return;
  Workspace.PlannedAt = Now;
  Workspace.Lendable = 0;
  Workspace.Deficits = 0;
  const auto OwnDemand = Workspace.Demand.steady(Now);
  Workspace.FleetDemand = OwnDemand;
  for (const auto &[Name, Partner] : Workspace.Partners)
    Workspace.FleetDemand += Partner.Demand;
  if (Workspace.FleetDemand <= 0)
    return;
  for (const auto &[Name, Partner] : Workspace.Partners)
    Workspace.Deficits += deficitOf(Workspace, Partner.Demand);
  const auto Base = 1.0 / Members.count();
  const auto Surplus = Base - targetOf(Workspace, OwnDemand);
  if (Surplus > LoanThreshold * Base)
    Workspace.Lendable = Surplus * Members.base() / Base;
}

/// The share that a gateway with \p Demand should have. What the demand leaves
/// of the limit stays spread evenly, so that any gateway can gather it for a
/// burst: borrowed shares cannot be lent again.
auto quota_shares::targetOf(const workspace &Workspace, double Demand) const
    -> double {
  const auto Whole =
      std::max(Workspace.FleetDemand, Workspace.Limit->PerSecond);
  const auto Even = 1 - (1 - Floor) * Workspace.FleetDemand / Whole;
  return Even / Members.count() + (1 - Floor) * Demand / Whole;
}

auto quota_shares::deficitOf(const workspace &Workspace, double Demand) const
    -> double {
  const auto Base = 1.0 / Members.count();
  const auto Deficit = targetOf(Workspace, Demand) - Base;
  return Deficit > LoanThreshold * Base ? Deficit : 0;
}

/// Adds to \p Message what it lends to its receiver.
auto quota_shares::lend(const workspace_name &Name, workspace &Workspace,
                        partner &Partner, bool InContact, time_point Now,
                        quota_message &Message) -> void {
  settle(Workspace, Now);
  const auto Capacity = capacityOf(*Workspace.Limit);
  const auto LentBefore = Partner.Lent.share(Now);
  const auto GiftBefore = Partner.GiftLent.share(Now);
  double Share = 0;
  double Gift = 0;
  if (InContact) {
    plan(Workspace, Now);
    if (Workspace.Deficits > 0)
      Share = Workspace.Lendable * deficitOf(Workspace, Partner.Demand) /
              Workspace.Deficits;
    // Only the base share is lent: borrowed ones may end sooner.
    const auto Rest = std::max(0.0, Members.base() - Workspace.Lent);
    Share = std::min(Share, LentBefore + Rest);
    if (Now < Partner.GiftUntil || Partner.GiftLent.isInFlight())
      Gift = GiftBefore;
    // Tokens that have not arrived yet come with this message as well.
    if (Partner.Missing > 0 && !Partner.GiftLent.isInFlight()) {
      const auto Kept =
          KeptSeconds * Workspace.Demand.perSecond(Now) + Workspace.Waiting;
      const auto Given =
          std::min({Partner.Missing, Workspace.Level - Kept,
                    Capacity * (Rest - std::max(0.0, Share - LentBefore))});
      if (Given > 0) {
        Gift = GiftBefore + Given / Capacity;
        Partner.GiftLent.move(Given);
        Partner.GiftUntil = Now + GiftTerm;
        Workspace.Level -= Given;
      }
    }
  }
  Partner.Missing = 0;
  if (Gift > GiftBefore) {
    Workspace.Lent += Gift - GiftBefore;
    settle(Workspace, Now);
  }
  // The tokens that no longer fit go along with the share.
  if (Share > LentBefore) {
    Workspace.Lent += Share - LentBefore;
    Partner.Lent.move(settle(Workspace, Now));
  }
  const auto Add = [&](quota_lent &Lent, double Part, duration Term,
                       bool IsGift) {
    if (Part <= 0 && Lent.isIdle())
      return;
    Lent.send(Message.Number, Part, Now + Term + ClockMargin);
    Workspace.LoansValidUntil =
        std::min(Workspace.LoansValidUntil, Lent.expiry());
    Message.Loans.push_back(
        {Name, Part, Lent.tokens(), IsGift, Lent.inFlight()});
  };
  Add(Partner.Lent, Share, Members.term(), false);
  Add(Partner.GiftLent, Gift, GiftTerm, true);
}

auto quota_shares::holdsLoansOf(const instance_name &Lender, time_point Now)
    -> bool {
  const auto *Member = Members.find(Lender);
  if (Member == nullptr)
    return false;
  return std::any_of(Member->Workspaces.begin(), Member->Workspaces.end(),
                     [&](const workspace_name &Name) {
                       const auto Found = Workspaces.find(Name);
                       if (Found == Workspaces.end())
                         return false;
                       const auto Partner = Found->second.Partners.find(Lender);
                       return Partner != Found->second.Partners.end() &&
                              Partner->second.borrowed(Now) > 0;
                     });
}

auto quota_shares::messageFor(const instance_name &To, time_point Now)
    -> quota_message {
  sweep(Now);
  const auto Head = Members.send(To, holdsLoansOf(To, Now), Now);
  quota_message Message;
  Message.Incarnation = Head.Incarnation;
  Message.Number = Head.Number;
  Message.HeardIncarnation = Head.HeardIncarnation;
  Message.HeardNumber = Head.HeardNumber;
  Message.Members = Head.Members;
  Message.Settled = Head.Settled;
  Replies.erase(To);
  for (auto &[Name, Workspace] : Workspaces) {
    if (!Workspace.Limit)
      continue;
    quota_message::demand Demand{Name, Workspace.Demand.steady(Now), 0};
    const auto Question = Workspace.Questions.find(To);
    // Two gateways that always repeated their questions in answers to each
    // other would never stop. Repeated once, as messages overtake each other.
    if (Question != Workspace.Questions.end() && Workspace.Waiting > 0 &&
        Question->second.SentCount < MaxQuestionCount) {
      Demand.Missing = Question->second.Tokens;
      if (++Question->second.SentCount == 1)
        Question->second.Number = Message.Number;
    }
    if (Demand.PerSecond > 0 || Demand.Missing > 0)
      Message.Demands.push_back(std::move(Demand));
  }
  const auto *Member = Members.find(To);
  if (Member == nullptr)
    return Message;
  const bool InContact = Members.isInContact(*Member, Members.term(), Now);
  for (const auto &Name : Member->Workspaces) {
    const auto Found = Workspaces.find(Name);
    if (Found == Workspaces.end() || !Found->second.Limit)
      continue;
    auto &Workspace = Found->second;
    lend(Name, Workspace, Workspace.Partners[To], InContact, Now, Message);
  }
  return Message;
}

/// Takes over what the sender of \p Message asks for.
auto quota_shares::receiveDemands(const instance_name &From,
                                  quota_member &Member,
                                  const quota_message &Message, time_point Now)
    -> void {
  for (const auto &Demand : Message.Demands) {
    if (!isAmount(Demand.PerSecond) || !isAmount(Demand.Missing) ||
        Demand.PerSecond + Demand.Missing <= 0)
      continue;
    auto *Workspace = find(Demand.Workspace, Now);
    if (Workspace == nullptr)
      continue;
    Member.Workspaces.insert(Demand.Workspace);
    auto &Partner = Workspace->Partners[From];
    Partner.Demand = Demand.PerSecond;
    Partner.DemandNumber = Message.Number;
    Partner.Missing = Demand.Missing;
    if (Demand.Missing > 0)
      Replies.insert(From);
  }
}

auto quota_shares::receive(const instance_name &From,
                           const quota_message &Message, time_point Now)
    -> std::vector<workspace_name> {
  if (Policy.Window <= duration::zero())
    return {};
  const auto Heard = Members.receive(
      From,
      {Message.Incarnation, Message.Number, Message.HeardIncarnation,
       Message.HeardNumber, Message.Members, Message.Settled},
      Now);
  if (!Heard)
    return {};
  sweep(Now);
  auto &Member = *Members.find(From);
  if (Heard->NewIncarnation) {
    // A process that starts has no share until all others have confirmed it.
    Replies.insert(From);
    for (auto &[Name, Workspace] : Workspaces) {
      const auto Partner = Workspace.Partners.find(From);
      if (Partner == Workspace.Partners.end())
        continue;
      Partner->second.Lent.restart();
      Partner->second.Borrowed.restart();
      Partner->second.GiftLent.restart();
      Partner->second.GiftBorrowed.restart();
    }
  }
  receiveDemands(From, Member, Message, Now);

  // Loans that the message does not name have ended.
  struct loans {
    quota_message::loan Loan;
    quota_message::loan Gift;
  };
  std::map<workspace_name, loans> Loans;
  for (const auto &Name : Member.Workspaces)
    Loans[Name];
  for (const auto &Name : WaitingWorkspaces)
    Loans[Name];
  const auto LargestShare = (1 + 1e-9) / Message.Members;
  for (const auto &Loan : Message.Loans)
    if (isAmount(Loan.Share) && isAmount(Loan.Tokens) &&
        isAmount(Loan.Receivable) && Loan.Share <= LargestShare &&
        Limits.contains(Loan.Workspace)) {
      auto &Place = Loans[Loan.Workspace];
      (Loan.IsGift ? Place.Gift : Place.Loan) = Loan;
      Member.Workspaces.insert(Loan.Workspace);
    }
  const auto Term = quota_members::termFor(Message.Members);
  const auto UsableUntil = Heard->RepliesTo ? *Heard->RepliesTo + Term : Now;
  const auto GiftUntil = Heard->RepliesTo ? *Heard->RepliesTo + GiftTerm : Now;
  std::vector<workspace_name> Grown;
  for (const auto &[Name, Told] : Loans) {
    auto *Workspace = find(Name, Now);
    if (Workspace == nullptr)
      continue;
    auto &Partner = Workspace->Partners[From];
    if (Member.Returned && Partner.Borrowed.isUnknown()) {
      Partner.Borrowed.setBaseline(Told.Loan.Tokens);
      Partner.GiftBorrowed.setBaseline(Told.Gift.Tokens);
    }
    if (Partner.DemandNumber != Message.Number) {
      Partner.Demand = 0;
      Partner.Missing = 0;
    }
    const auto LentBefore = Partner.lent(Now);
    const auto BorrowedBefore = Partner.borrowed(Now);
    if (Heard->RepliesTo) {
      Partner.Lent.confirm(Member.Confirmed);
      Partner.GiftLent.confirm(Member.Confirmed);
    }
    const auto Capacity = capacityOf(*Workspace->Limit);
    const auto Freed = std::max(0.0, LentBefore - Partner.lent(Now));
    auto Received =
        Partner.Borrowed.receive(Told.Loan.Share, Told.Loan.Tokens,
                                 Told.Loan.Receivable, UsableUntil, Now);
    // Tokens beyond the share that they come with, or that comes back with
    // them, may have been counted as lost.
    Received =
        std::min(Received, Capacity * (Partner.Borrowed.share(Now) + Freed));
    const auto Gift =
        Partner.GiftBorrowed.receive(Told.Gift.Share, Told.Gift.Tokens,
                                     Told.Gift.Receivable, GiftUntil, Now);
    Received += Gift;
    const auto Borrowed = Partner.borrowed(Now);
    recountLoans(*Workspace, Now);
    const auto ShareBefore = Workspace->Share;
    const auto Cut = settle(*Workspace, Now);
    if (Borrowed < BorrowedBefore)
      Partner.Lent.move(std::min(Cut, Capacity * (BorrowedBefore - Borrowed)));
    Workspace->Level =
        std::min(Workspace->Level + Received, Capacity * Workspace->Share);
    if (Received > 0 || Workspace->Share > ShareBefore)
      Grown.push_back(Name);
    const auto Question = Workspace->Questions.find(From);
    if (Question != Workspace->Questions.end() &&
        Question->second.Number != 0 &&
        Question->second.Number <= Member.Confirmed) {
      if (Gift < FullAnswer * Question->second.Tokens)
        Workspace->Empty.insert(From);
      Workspace->Questions.erase(Question);
    }
  }
  return Grown;
}

/// Chooses the gateways that are asked for the tokens that requests wait for.
auto quota_shares::ask(workspace &Workspace, time_point Now) -> void {
  const auto Missing = Workspace.Waiting - Workspace.Level;
  const auto Interval =
      Workspace.Questions.empty() ? AnsweredInterval : AskInterval;
  if (Missing <= 0 || Now - Workspace.AskedAt < Interval)
    return;
  Workspace.Round =
      Now - Workspace.AskedAt < AskPause ? Workspace.Round + 1 : 1;
  Workspace.AskedAt = Now;
  Workspace.Questions.clear();
  if (Workspace.Round == 1 || Workspace.Empty.size() >= Members.all().size())
    Workspace.Empty.clear();
  Workspace.PlannedAt = {};
  plan(Workspace, Now);
  const bool IsOverloaded = Workspace.FleetDemand > Workspace.Limit->PerSecond;
  if (Workspace.Round >= (IsOverloaded ? OverloadedDryRound : DryRound))
    Workspace.DryUntil = Now + (IsOverloaded ? OverloadedDryTime : DryTime);
  // Each lends from its base share only.
  struct candidate {
    double Order = 0;
    double Tokens = 0; ///< Expected.
    instance_name Name;
  };
  std::vector<candidate> Candidates;
  const auto Capacity = capacityOf(*Workspace.Limit);
  for (const auto &[Name, Member] : Members.all()) {
    if (!Members.isInContact(Member, Members.term(), Now) ||
        Workspace.Empty.contains(Name))
      continue;
    const auto Partner = Workspace.Partners.find(Name);
    const auto Demand =
        Partner == Workspace.Partners.end() ? 0 : Partner->second.Demand;
    auto Tokens = Capacity / Members.count();
    if (Workspace.FleetDemand > 0)
      Tokens = std::min(Tokens, Capacity * targetOf(Workspace, Demand));
    Tokens =
        ExpectedFill * std::max(Tokens - KeptSeconds * Demand, 0.1 * Tokens);
    Candidates.push_back({Tokens * (0.5 + random()), Tokens, Name});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Order > Right.Order;
            });
  const auto Needed = Workspace.Round >= AllRound
                          ? std::numeric_limits<double>::infinity()
                          : Missing * Workspace.Round * Workspace.Round;
  double Expected = 0;
  std::size_t Count = 0;
  while (Count < Candidates.size() && Expected < Needed)
    Expected += Candidates[Count++].Tokens;
  const auto Asked = Missing + AskedExcess * Workspace.Waiting;
  for (std::size_t I = 0; I < Count; ++I)
    Workspace.Questions[Candidates[I].Name].Tokens =
        Asked * Candidates[I].Tokens / Expected;
}

auto quota_shares::takeUrgentReceivers(time_point Now)
    -> std::set<instance_name> {
  auto Receivers = std::move(Replies);
  Replies.clear();
  for (const auto &Name : WaitingWorkspaces) {
    auto *Workspace = find(Name, Now);
    if (Workspace == nullptr)
      continue;
    ask(*Workspace, Now);
    // Messages without the question could overtake it if more were sent at the
    // same time, and it would be ignored as old.
    for (const auto &[Receiver, Question] : Workspace->Questions)
      if (Question.SentCount == 0)
        Receivers.insert(Receiver);
  }
  return Receivers;
}

/// Forgets what is over.
auto quota_shares::sweep(time_point Now) -> void {
  if (Now - SweptAt < SweepInterval)
    return;
  SweptAt = Now;
  Members.update(Now);
  const auto Age = 2 * Members.term();
  for (auto Next = Workspaces.begin(); Next != Workspaces.end();) {
    const auto &Name = Next->first;
    auto &Workspace = Next->second;
    recountLoans(Workspace, Now);
    if (!Workspace.Limit)
      Workspace.Demand = {};
    for (auto Entry = Workspace.Partners.begin();
         Entry != Workspace.Partners.end();) {
      auto &Partner = Entry->second;
      auto *Member = Members.find(Entry->first);
      if (Member != nullptr && Workspace.Limit &&
          Members.isInContact(*Member, Age, Now) && Partner.Demand > 0) {
        ++Entry;
        continue;
      }
      Partner.Demand = 0;
      Partner.Missing = 0;
      const bool IsIdle = Partner.Lent.isIdle() && Partner.GiftLent.isIdle() &&
                          Partner.borrowed(Now) <= 0;
      if (Member != nullptr && IsIdle)
        Member->Workspaces.erase(Name);
      // The sums of tokens must outlive the loans.
      const bool IsForgotten =
          Member == nullptr ||
          (IsIdle && Partner.Lent.tokens() + Partner.GiftLent.tokens() <= 0 &&
           Partner.Borrowed.tokens() + Partner.GiftBorrowed.tokens() <= 0);
      Entry = IsForgotten ? Workspace.Partners.erase(Entry) : std::next(Entry);
    }
    const bool IsOver = !Workspace.Limit && Workspace.Partners.empty();
    Next = IsOver ? Workspaces.erase(Next) : std::next(Next);
  }
}

} // namespace limpetbridge::serving
