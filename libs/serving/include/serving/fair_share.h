/// \file
/// Fair shares of workspaces and of kinds of requests while targets are short
/// of capacity: whose requests yield, whose go first, and the order of those
/// that wait. See docs/design/fair-shares.md.
#ifndef LIMPETBRIDGE_SERVING_FAIR_SHARE_H
#define LIMPETBRIDGE_SERVING_FAIR_SHARE_H

#include "base/ids.h"
#include "base/time.h"
#include "serving/configuration.h"
#include "serving/gateway_events.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetbridge::serving {

/// Tokens of the prompts of a workspace per second, over all gateways.
using fleet_rate = std::function<double(const workspace_name &, time_point)>;

/// Rate of a workspace, and how much of what is offered comes from it.
struct offered_rate {
  double PerSecond = 0;
  double Weight = 0;
};

/// The rate to which each workspace has to be limited so that the part \p Part
/// of what is offered is left (max-min fairness); the largest rate if that is
/// all.
[[nodiscard]] auto fairLevel(std::vector<offered_rate> Rates, double Part)
    -> double;

/// Sum whose parts decay exponentially.
class decaying_sum {
public:
  auto add(double Amount, double Seconds, time_point Now) -> void;
  [[nodiscard]] auto at(double Seconds, time_point Now) const -> double;

private:
  double Sum = 0;
  time_point At;
};

/// What a request belongs to for its fair share.
struct fair_group {
  workspace_name Workspace;
  std::string Route; ///< Its kind.
  service_name Service;
  std::int64_t ObjectiveMs = 0; ///< Of the route.
  std::size_t Rank = 0;         ///< Of its prefill at the targets.
};

/// How a request is treated while its target has no room for all.
enum class fair_standing : std::uint8_t {
  Within, ///< Its workspace uses at most its fair share.
  Above,  ///< Its workspace uses more, so its requests yield.
  Owed    ///< Its workspace or kind is served far less often than others.
};

/// What became of a request.
enum class fair_outcome : std::uint8_t {
  Served,     ///< Its first output came.
  NotServed,  ///< It ended without one.
  AboveShare, ///< Refused as its workspace is above its share, for which no
              ///< less urgent kind has to yield.
  Left ///< Its caller left, or its own key or prompt was the cause. Counts
       ///< as not served only if its objective had passed.
};

/// A kind of requests that less urgent ones may have to yield to.
struct urgent_kind {
  std::int64_t ObjectiveMs = 0;
  std::size_t Rank = 0; ///< Of the prefill of its last request.
};

struct fair_position {
  fair_standing Standing = fair_standing::Within;
  bool IsKindOwed = false; ///< Owed as its kind is.
  /// More urgent kinds of the service that are served less often. It yields to
  /// them where its targets have no room for them. None for one that is owed.
  std::vector<urgent_kind> Behind;
  double RatePerSecond = 0;  ///< Tokens of the workspace.
  double LevelPerSecond = 0; ///< Fair share of each workspace that wants more.
  /// Time until the workspace is back at its level if it sends nothing, and
  /// until none of Behind is served less often if all are served alike, s. 0 if
  /// that is so now; infinite if the level is 0.
  double ShareReturnSeconds = 0;
  double KindReturnSeconds = 0;
};

/// Rates of the workspaces, and how often requests are served.
class fair_share {
public:
  /// Takes the workspaces of the configuration in force.
  auto configure(const configuration &Configuration) -> void;
  /// The request \p Number arrived, which asks for \p Tokens. It counts in no
  /// part that is served until its outcome is known or it is far beyond
  /// \p Objective, the time at which its first output is due.
  auto recordArrival(request_number Number, const fair_group &Group,
                     double Tokens, time_point Objective, time_point Now)
      -> void;
  /// It was sent or refused. \param InTime sent so as to meet its objective.
  auto recordDecision(double Tokens, bool InTime, time_point Now) -> void;
  /// Only the first outcome of a request counts. Ignored for requests that were
  /// not recorded.
  auto recordOutcome(request_number Number, fair_outcome Outcome,
                     time_point Now) -> void;
  /// Whether the request yields. \param FleetRate may be empty: this gateway's
  /// own rates are used then. Looks at all workspaces at most twice a second.
  [[nodiscard]] auto positionOf(const fair_group &Group,
                                const fleet_rate &FleetRate, time_point Now)
      -> fair_position;
  /// Fair rate of each workspace that wants more, as of the last contention,
  /// tokens per second.
  [[nodiscard]] auto level() const -> double { return Level; }
  /// Tokens of the workspace in the time that rates are averaged over.
  [[nodiscard]] auto recentUse(const workspace_name &Workspace,
                               const fleet_rate &FleetRate,
                               time_point Now) const -> double;

private:
  struct outcomes {
    decaying_sum Known; ///< Requests whose outcome is known.
    decaying_sum Served;

    /// Part that was served; 1 while too few outcomes are known.
    [[nodiscard]] auto servedPart(time_point Now) const -> double;
  };
  struct workspace_record {
    decaying_sum Tokens;
    outcomes Outcomes;
  };
  struct kind_record {
    service_name Service;
    urgent_kind Kind;
    outcomes Outcomes;
    /// The same without those refused for the share of their workspace.
    outcomes WithinShares;
  };
  struct awaited_request {
    fair_group Group;
    time_point Objective;
    bool IsCounted = false; ///< As not served yet.
  };

  [[nodiscard]] auto rateOf(const workspace_name &Workspace,
                            const fleet_rate &FleetRate, time_point Now) const
      -> double;
  /// Applies \p Update to the outcomes that the request counts in.
  template <typename update>
  auto forOutcomes(const fair_group &Group, bool IsAboveShare, update Update)
      -> void;
  /// Counts the requests that are far beyond their objective.
  auto countOverdue(time_point Now) -> void;
  auto updateLevel(const fleet_rate &FleetRate, time_point Now) -> void;
  /// Sets what \p Position says of more urgent kinds than \p Kind.
  auto compareKinds(const kind_record &Kind, fair_position &Position,
                    time_point Now) const -> void;

  std::map<workspace_name, workspace_record> Workspaces;
  std::map<std::string, kind_record> Kinds; ///< By route.
  outcomes All;
  std::map<request_number, awaited_request> Awaited; ///< Without an outcome.
  /// Those that do not count yet, by objective.
  std::set<std::pair<time_point, request_number>> Uncounted;
  decaying_sum Offered; ///< Tokens of all requests.
  decaying_sum InTime;  ///< Of those that were sent in time.
  double Level = 0;     ///< As of LevelAt.
  time_point LevelAt;
};

/// Requests that yield, in the order in which they are sent: the more urgent
/// kinds first, with every fourth turn for the others, and by start tags within
/// a kind. A workspace's first tag is its recent use, so that all gateways
/// order workspaces alike; each of its requests moves the next one back.
class fair_queue {
public:
  /// Most requests that wait: their bodies are held meanwhile, and each one is
  /// examined at each tick.
  static constexpr std::size_t MaxSize = 32;

  /// \param Use recent use of the workspace, tokens.
  /// \returns a request that has to be refused if there are too many: the one
  /// with the last tag, which may be the new one.
  auto hold(request_number Number, const fair_group &Group, double Tokens,
            double Use) -> std::optional<request_number>;
  auto erase(request_number Number) -> void;
  /// The next requests, at most \p Count.
  [[nodiscard]] auto next(std::size_t Count) -> std::vector<request_number>;
  [[nodiscard]] auto size() const -> std::size_t { return Entries.size(); }

private:
  struct entry {
    workspace_name Workspace;
    std::int64_t ObjectiveMs = 0;
    double Tag = 0;
  };
  struct chain {
    std::size_t Size = 0;
    double NextTag = 0;
  };
  std::map<request_number, entry> Entries;
  std::map<workspace_name, chain> Chains;
  /// By objective, then tag.
  std::map<std::int64_t, std::set<std::pair<double, request_number>>> Kinds;
  std::size_t Turn = 0;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_FAIR_SHARE_H
