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
#include <vector>

namespace limpetbridge::serving {

/// What a workspace uses per second over all gateways, in the unit of its
/// quota.
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
};

/// How a request is treated while its target has no room for all.
enum class fair_standing : std::uint8_t {
  Within, ///< Its workspace uses at most its fair share.
  Above,  ///< Its workspace uses more, so its requests yield.
  Ahead,  ///< A more urgent kind of the service is served less often.
  Owed    ///< Its workspace or kind is served far less often than others.
};

struct fair_position {
  fair_standing Standing = fair_standing::Within;
  bool IsKindOwed = false;   ///< Owed as its kind is.
  double RatePerSecond = 0;  ///< Tokens of the workspace.
  double LevelPerSecond = 0; ///< Fair share of each workspace that wants more.
};

/// Rates of the workspaces, and how often requests are served.
class fair_share {
public:
  /// Takes the workspaces of the configuration in force.
  auto configure(const configuration &Configuration) -> void;
  /// A request arrived that asks for \p Tokens.
  auto recordArrival(const fair_group &Group, double Tokens, time_point Now)
      -> void;
  /// It was sent or refused. \param InTime sent so as to meet its objective.
  auto recordDecision(double Tokens, bool InTime, time_point Now) -> void;
  /// It got its first output.
  auto recordServed(const fair_group &Group, time_point Now) -> void;
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
    decaying_sum Arrived;
    decaying_sum Served;

    /// Part that was served; 1 while too few have arrived.
    [[nodiscard]] auto servedPart(time_point Now) const -> double;
  };
  struct workspace_record {
    bool IsInRequests = false; ///< Its unit is requests.
    decaying_sum Tokens;
    outcomes Outcomes;
  };
  struct kind_record {
    service_name Service;
    std::int64_t ObjectiveMs = 0;
    outcomes Outcomes;
  };

  [[nodiscard]] auto rateOf(const workspace_name &Workspace,
                            const fleet_rate &FleetRate, time_point Now) const
      -> double;
  [[nodiscard]] auto isAhead(const kind_record &Kind, time_point Now) const
      -> bool;

  std::map<workspace_name, workspace_record> Workspaces;
  std::map<std::string, kind_record> Kinds; ///< By route.
  outcomes All;
  decaying_sum Arrived;       ///< Requests.
  decaying_sum ArrivedTokens; ///< Of them.
  decaying_sum Offered;       ///< Tokens of all requests.
  decaying_sum InTime;        ///< Of those that were sent in time.
  double Level = 0;           ///< As of LevelAt.
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
