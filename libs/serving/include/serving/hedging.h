/// \file
/// Hedging: when a second attempt at a slow request is sent to another target.
/// Holds the recent times to the answers of each class of requests, and the
/// limit on extra attempts. No clock and no connections.
#ifndef LIMPETBRIDGE_SERVING_HEDGING_H
#define LIMPETBRIDGE_SERVING_HEDGING_H

#include "base/ids.h"
#include "base/time.h"
#include "serving/picker.h"
#include "serving/target_book.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace limpetbridge::serving {

/// Settings of hedging at one gateway.
struct hedge_policy {
  /// Extra attempts per hundred requests of the gateway; 0: no hedges.
  double MaxExtraPercent = 0;

  [[nodiscard]] auto isEnabled() const -> bool { return MaxExtraPercent > 0; }
};

/// What became of a request whose first attempt was slow, for the metrics.
enum class hedge_verdict : std::uint8_t {
  Sent,
  Won,          ///< The hedge answered first.
  Lost,         ///< The first attempt answered after all.
  Over,         ///< The extra attempts have reached their limit.
  RetryBudget,  ///< The retry budget of the service is spent.
  FleetLoaded,  ///< The targets have little room, or requests wait or were
                ///< refused lately.
  NoFreeTarget, ///< No other target would answer soon.
  Deadline,     ///< Not enough time is left.
  Suspect,      ///< The prompt may crash targets.
  KeyInDoubt,   ///< The key was removed, or may have been.
  StaleView,    ///< The view of the targets is too old.
  GatewayStops
};

/// Name of the verdict in metrics.
[[nodiscard]] auto nameOf(hedge_verdict Verdict) -> std::string_view;

/// Requests whose times are comparable: name of the route, and service.
using hedge_class = std::pair<std::string, service_name>;

/// Times from a send to the beginning of the answer, by class. A first attempt
/// that was cancelled because its hedge won counts with the time that it had
/// taken until then, which is a lower bound: without it the slow attempts would
/// be missing and the delay would fall.
class answer_times {
public:
  /// Samples that a class needs before its requests are hedged.
  static constexpr std::size_t MinSamples = 20;

  auto record(const hedge_class &Class, duration Took, time_point Now) -> void;
  /// Time after which an attempt counts as slow. \returns none if the class has
  /// too few recent samples.
  [[nodiscard]] auto slowAfter(const hedge_class &Class, time_point Now)
      -> std::optional<duration>;
  /// Forgets old samples.
  auto expire(time_point Now) -> void;

private:
  struct samples {
    std::deque<std::pair<time_point, duration>> Times;
    std::optional<duration> SlowAfter; ///< As of ComputedAt.
    time_point ComputedAt;
  };
  std::map<hedge_class, samples> Classes;
};

/// Token bucket of the extra attempts of one gateway: each request adds a part
/// of a token, each hedge takes one.
class hedge_bucket {
public:
  auto recordRequest(const hedge_policy &Policy) -> void;
  [[nodiscard]] auto hasToken() const -> bool { return Tokens >= 1; }
  auto take() -> void { Tokens -= 1; }

private:
  double Tokens = 0;
};

/// The targets that could take a request besides those it was sent to.
struct fleet_view {
  std::uint32_t Targets = 0;
  std::uint32_t Queued = 0; ///< Targets at which a request would wait.
  std::uint32_t Active = 0; ///< Requests in progress at all of them.
  std::uint32_t Slots = 0;
};

/// True if a request would wait at \p Entry: all slots are in use, or prompts
/// are due there for half of \p SlowAfter.
[[nodiscard]] auto hasQueue(const target_entry &Entry,
                            const pick_request &Request, duration SlowAfter)
    -> bool;

[[nodiscard]] auto viewFleet(const target_book &Book,
                             const pick_request &Request, duration SlowAfter)
    -> fleet_view;

/// True if extra attempts would take capacity that other requests need.
[[nodiscard]] auto isLoaded(const fleet_view &Fleet) -> bool;

/// True if \p Pick is free enough to answer within the time after which a first
/// attempt counts as slow.
[[nodiscard]] auto answersSoon(const target_book &Book, const pick &Pick,
                               const pick_request &Request, duration SlowAfter)
    -> bool;

/// State of hedging at one gateway.
struct hedging {
  answer_times Times;
  hedge_bucket Bucket;
  /// Last refusal for want of capacity, by a target or by this gateway.
  std::map<service_name, time_point> LastRefusal;

  /// True if a request of \p Service was refused lately.
  [[nodiscard]] auto refusedLately(const service_name &Service,
                                   time_point Now) const -> bool;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_HEDGING_H
