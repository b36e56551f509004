/// \file
/// Keeps the quotas of workspaces over all gateways without a coordinator.
///
/// Each gateway owns an equal share of each workspace's token bucket and lends
/// what it does not need to gateways that need more. Shares and tokens are only
/// moved, never created, so that whatever messages are lost, late or
/// duplicated, all gateways together admit no more than the quota allows.
#ifndef LIMPETBRIDGE_SERVING_QUOTA_SHARES_H
#define LIMPETBRIDGE_SERVING_QUOTA_SHARES_H

#include "base/ids.h"
#include "base/time.h"
#include "serving/quota_demand.h"
#include "serving/quota_loans.h"
#include "serving/quota_members.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace limpetbridge::serving {

/// The bound on a workspace's tokens in any window, over all gateways:
/// (rate * window + burst) * (1 + overrun) + slack.
struct quota_policy {
  duration Window = duration::zero(); ///< Zero: there are no quotas.
  double Overrun = 0;                 ///< Fraction.
  double Slack = 0;                   ///< Tokens.
};

/// Limit of one workspace over all gateways.
struct quota_limit {
  double PerSecond = 0; ///< Tokens.
  double Burst = 0;     ///< Tokens.

  auto operator==(const quota_limit &) const -> bool = default;
};

/// What one gateway tells another about quotas.
struct quota_message {
  /// Of the sender's process; rises with each start of the same gateway.
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0; ///< Rises with each message of the sender.
  /// The newest message of the receiver that the sender has processed; 0: none.
  std::uint64_t HeardIncarnation = 0;
  std::uint64_t HeardNumber = 0;
  std::uint32_t Members = 0; ///< Gateways that the sender shares limits with.
  /// Hash of the names of these gateways if nothing that the receiver lent is
  /// in use at the sender; 0 otherwise, and from versions without the field.
  std::uint64_t Settled = 0;
  struct demand {
    workspace_name Workspace;
    double PerSecond = 0; ///< Tokens that its callers steadily ask for.
    double Missing = 0;   ///< Tokens that requests wait for now.
    /// Tokens per second, see fleet_account; also without a limit.
    double Rate = 0;
  };
  std::vector<demand> Demands;
  /// What the sender lends to the receiver, since both processes started.
  struct loan {
    workspace_name Workspace;
    double Share = 0;  ///< Of the limit, in force for the term of a loan.
    double Tokens = 0; ///< Moved to the receiver so far, in total.
    /// Tokens that were asked for, with a share for a short term that holds
    /// them. Counted apart from the other loan of the workspace.
    bool IsGift = false;
    /// Of Tokens; the rest was received before or is too old to be received.
    double Receivable = 0;
  };
  std::vector<loan> Loans;
};

/// Answer to a request for tokens.
struct quota_decision {
  enum class verdict : std::uint8_t {
    Admitted, ///< The tokens are taken.
    Wait,     ///< Other gateways may lend them; ask again when any did.
    Refused
  };
  verdict Verdict = verdict::Admitted;
  /// If refused: when the tokens are there, spread over the callers.
  duration RetryAfter = duration::zero();
};

/// One gateway's part of all quotas.
class quota_shares {
public:
  quota_shares(const quota_policy &Policy, instance_name Self,
               std::uint64_t Incarnation, std::uint64_t Seed);

  /// Sets the gateways that are listed, this one included. To be called with
  /// every reading of the list, also if it has not changed: a gateway that
  /// found itself in it is counted by the others.
  auto setMembers(const std::set<instance_name> &Members, time_point Now)
      -> void;
  /// Sets the limits in force. Workspaces without a limit are not in it.
  auto setLimits(const std::map<workspace_name, quota_limit> &Limits,
                 time_point Now) -> void;

  /// Takes \p Tokens of \p Workspace if they are there. A request that waits
  /// calls cancelWait before it asks again.
  /// \param MayWait false if the request can not wait for a loan any longer.
  [[nodiscard]] auto admit(const workspace_name &Workspace, double Tokens,
                           bool MayWait, time_point Now) -> quota_decision;
  /// Returns the tokens of a request that was refused without having run.
  auto giveBack(const workspace_name &Workspace, double Tokens, time_point Now)
      -> void;
  /// A request that had to wait no longer does: it asks again or has left.
  auto cancelWait(const workspace_name &Workspace, double Tokens) -> void;

  /// \returns the workspaces that got tokens or a larger share.
  [[nodiscard]] auto receive(const instance_name &From,
                             const quota_message &Message, time_point Now)
      -> std::vector<workspace_name>;
  /// The next message to \p To.
  [[nodiscard]] auto messageFor(const instance_name &To, time_point Now)
      -> quota_message;
  /// The gateways that should get a message now instead of with the next
  /// digest: those that may lend what requests wait for, and those that have
  /// asked for such a loan. To be called after admit and receive, and every
  /// 50 ms while a request waits. Each gateway is named once.
  [[nodiscard]] auto takeUrgentReceivers(time_point Now)
      -> std::set<instance_name>;

  /// State of one workspace, for metrics and logs.
  struct workspace_status {
    double Share = 0;    ///< Of the limit, as lent and borrowed.
    double Tokens = 0;   ///< That may be admitted at once.
    double Demand = 0;   ///< Tokens per second, here.
    double Admitted = 0; ///< Tokens since the start.
    double Refused = 0;  ///< Tokens since the start.
  };
  [[nodiscard]] auto status(time_point Now) const
      -> std::map<workspace_name, workspace_status>;

private:
  /// One other gateway's part in a workspace.
  struct partner {
    double Demand = 0;              ///< Tokens per second, there.
    std::uint64_t DemandNumber = 0; ///< Message that told it.
    double Missing = 0; ///< Asked of this gateway, not yet answered.
    quota_lent Lent;
    quota_borrowed Borrowed;
    quota_lent GiftLent; ///< Of a shorter term, for tokens that were missing.
    quota_borrowed GiftBorrowed;
    time_point GiftUntil; ///< Messages repeat the gift until then.

    [[nodiscard]] auto lent(time_point Now) const -> double {
      return Lent.share(Now) + GiftLent.share(Now);
    }
    [[nodiscard]] auto borrowed(time_point Now) const -> double {
      return Borrowed.share(Now) + GiftBorrowed.share(Now);
    }
  };
  /// What this gateway asks of another one.
  struct question {
    double Tokens = 0;
    std::uint64_t Number = 0; ///< Of the first message; 0: not sent yet.
    int SentCount = 0;
  };
  struct workspace {
    std::optional<quota_limit> Limit;
    double Level = 0; ///< Tokens in the bucket at SettledAt.
    double Share = 0; ///< Of the limit at SettledAt, with loans.
    time_point SettledAt;
    double Lent = 0;     ///< Sum over Partners.
    double Borrowed = 0; ///< Sum over Partners.
    time_point LoansValidUntil;
    quota_demand Demand;
    double Backlog = 0; ///< Tokens that were told to come back, at SettledAt.
    double Admitted = 0;
    double Refused = 0;
    double Waiting = 0; ///< Tokens.
    std::uint32_t WaitingCount = 0;
    int Round = 0; ///< Of questions for the same tokens.
    time_point AskedAt;
    time_point DryUntil; ///< The others have no tokens either.
    std::map<instance_name, question> Questions;
    std::set<instance_name> Empty; ///< They had less than was asked of them.
    std::map<instance_name, partner> Partners;
    double Lendable = 0; ///< Of the base share, as planned at PlannedAt.
    double Deficits = 0; ///< Sum of the shares that others miss.
    double FleetDemand = 0;
    time_point PlannedAt;
  };

  [[nodiscard]] auto capacityOf(const quota_limit &Limit) const -> double;
  [[nodiscard]] auto find(const workspace_name &Name, time_point Now)
      -> workspace *;
  auto recountLoans(workspace &Workspace, time_point Now) const -> void;
  auto settle(workspace &Workspace, time_point Now) const -> double;
  auto fill(workspace &Workspace, double Share, time_point Now) const -> void;
  auto adjustShare(workspace &Workspace, time_point Now) const -> double;
  [[nodiscard]] auto mayGather(const workspace &Workspace, time_point Now) const
      -> bool;
  auto refuse(workspace &Workspace, double Tokens) -> quota_decision;
  [[nodiscard]] auto random() -> double;

  auto plan(workspace &Workspace, time_point Now) const -> void;
  [[nodiscard]] auto deficitOf(const workspace &Workspace, double Demand) const
      -> double;
  [[nodiscard]] auto targetOf(const workspace &Workspace, double Demand) const
      -> double;
  auto lend(const workspace_name &Name, workspace &Workspace, partner &Partner,
            bool InContact, time_point Now, quota_message &Message) -> void;
  auto receiveDemands(const instance_name &From, quota_member &Member,
                      const quota_message &Message, time_point Now) -> void;
  [[nodiscard]] auto holdsLoansOf(const instance_name &Lender, time_point Now)
      -> bool;
  auto ask(workspace &Workspace, time_point Now) -> void;
  auto sweep(time_point Now) -> void;

  quota_policy Policy;
  quota_members Members;
  std::uint64_t RandomState = 0;
  std::map<workspace_name, quota_limit> Limits;
  std::map<workspace_name, workspace> Workspaces;
  std::set<workspace_name> WaitingWorkspaces;
  std::set<instance_name> Replies; ///< To be sent at once.
  time_point SweptAt;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_QUOTA_SHARES_H
