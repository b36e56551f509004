/// \file
/// The gateway's table of targets: the state of each one, its estimated load,
/// and the results of recent attempts.
#ifndef LIMPETBRIDGE_SERVING_TARGET_BOOK_H
#define LIMPETBRIDGE_SERVING_TARGET_BOOK_H

#include "base/time.h"
#include "serving/configuration.h"
#include "serving/prefix_cache.h"
#include "serving/target.h"
#include "serving/target_speed.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge::serving {

/// Number of priority ranks; rank 0 is served first.
inline constexpr std::size_t RankCount = 3;

/// Rank of a route's priority; the last rank takes all lower priorities.
[[nodiscard]] auto rankOf(std::uint32_t Priority) -> std::size_t;

/// Work in progress at one target.
struct target_load {
  /// Expected time of the outstanding prefills, by rank, ms.
  std::array<double, RankCount> PendingMs{};
  /// Requests in progress, by rank.
  std::array<std::uint32_t, RankCount> Active{};

  auto operator+=(const target_load &Other) -> target_load &;
  /// Subtracts a load that was added before; the result is never negative.
  auto operator-=(const target_load &Other) -> target_load &;
  /// Expected time of the outstanding prefills of \p Rank and of more urgent
  /// ranks, ms.
  [[nodiscard]] auto pendingMs(std::size_t Rank) const -> double;
  /// Requests in progress of \p Rank and of more urgent ranks.
  [[nodiscard]] auto activeCount(std::size_t Rank = RankCount - 1) const
      -> std::uint32_t;
};

/// A requested change of the models of a target.
struct model_change {
  model_name Model;                ///< Model to load.
  std::vector<model_name> Victims; ///< Models to unload first.
};

/// Prefill that another gateway has given notice of.
struct noticed_prefill {
  instance_name From;
  std::size_t Rank = 0;
  double PrefillMs = 0;
  time_point At;
};

/// One target and what this gateway knows about it.
struct target_entry {
  target Target;
  target_load OwnLoad;  ///< Requests of this gateway.
  target_load PeerLoad; ///< Of the other gateways: sum of LoadsByPeer.
  /// Load that each of the other gateways last reported.
  std::map<instance_name, target_load> LoadsByPeer;
  /// What other gateways have sent there since their last digests.
  std::vector<noticed_prefill> NoticedPrefill;
  prefix_cache Cache;
  std::string ControllerAddress; ///< ip:port; empty if none is known.
  double FailureShare = 0;       ///< Moving average of failed attempts, 0 to 1.
  /// Moving average of observed over expected time to the first output.
  double Slowness = 1;
  target_speed Speed; ///< Observed only with targets.measure_pace.
  /// Most prefill that was due in the last 700 ms, beside own streams, ms.
  double RecentDueMs = 0;
  time_point RecentDueAt;
  /// Moving average of the time that a request holds its slot after its first
  /// output, ms; 0 until one was observed.
  double DecodeMs = 0;
  /// When models were first seen loaded.
  std::map<model_name, time_point> LoadedAt;
  /// Last use of adapters by any gateway, as far as this one knows.
  std::map<adapter_key, time_point> AdapterUse;
  /// Backoff after an attempt was refused, the target was unreachable or an
  /// adapter could not be loaded.
  time_point AvoidUntil;
  /// Until then the target refuses requests of this gateway.
  time_point RefusesUntil;
  time_point LoadBackoffUntil; ///< Backoff after a model failed to load.
  time_point ReportedAt; ///< Last report of the holdings by the controller.
  /// When the row disappeared from the store; the entry is kept for a grace
  /// period.
  time_point RowMissingSince = NoDeadline;
  /// Model load in progress, as far as this gateway knows.
  std::optional<model_change> Change;
  /// Models of all loads in progress or queued there.
  std::set<model_name> ModelsLoading;

  /// Slowness of its protected streams, at least 1.
  [[nodiscard]] auto streamSlowness(time_point Now) const -> double {
    return Speed.wasObserved() ? Speed.slowness(Now) : std::max(Slowness, 1.0);
  }
  /// Load from all gateways.
  [[nodiscard]] auto load() const -> target_load;
  /// A newer incarnation uses the address, so this one has ended even if the
  /// store still lists it.
  bool Superseded = false;
  /// True if the target has not ended and is not about to.
  [[nodiscard]] auto acceptsWork() const -> bool {
    return !Target.Draining && !Superseded;
  }
  /// True if a request may be sent at \p Now.
  [[nodiscard]] auto acceptsRequests(time_point Now) const -> bool {
    return acceptsWork() && Now >= RefusesUntil;
  }
  /// True if \p Model is loaded and not about to be unloaded.
  [[nodiscard]] auto serves(const model_name &Model) const -> bool;
};

/// All targets by name.
class target_book {
public:
  /// Applies a newer description; a new incarnation resets what was learned
  /// about the old one.
  /// \returns true if the incarnation, the draining state, the address or the
  /// holdings differ from what was known.
  auto update(const target &Target, std::uint64_t CacheTokens, time_point Now)
      -> bool;
  /// Applies the holdings that a target's controller reported. For a while they
  /// take precedence over the holdings in the store.
  /// \returns true if the holdings changed.
  auto updateHoldings(target_entry &Entry, std::uint64_t Sequence,
                      const holdings &Holdings, time_point Now) -> bool;
  /// Removes a target whose row has gone. What the target has said of itself is
  /// kept, should the row of the same incarnation come back.
  auto remove(const target_name &Name) -> void;
  /// Records what \p Incarnation of a target has said of itself: that it
  /// leaves, and until when it refuses requests. It holds for that incarnation
  /// only. \returns true if that was not known.
  auto recordNotice(const target_name &Name, std::uint64_t Incarnation,
                    bool Leaves, time_point RefusesUntil) -> bool;

  [[nodiscard]] auto find(const target_name &Name) -> target_entry *;
  [[nodiscard]] auto find(const target_name &Name) const
      -> const target_entry *;
  /// The latest incarnation at \p Address; null if none is known.
  [[nodiscard]] auto findByAddress(const std::string &Address)
      -> target_entry *;
  [[nodiscard]] auto all() -> std::map<target_name, target_entry> & {
    return Entries;
  }
  [[nodiscard]] auto all() const
      -> const std::map<target_name, target_entry> & {
    return Entries;
  }

  /// Number of targets that serve \p Model and accept work.
  [[nodiscard]] auto copyCount(const model_name &Model) const -> std::size_t;

  /// Replaces the load that \p Peer reported before. Visits only the targets of
  /// the old and of the new report.
  auto setPeerLoads(const instance_name &Peer,
                    const std::map<target_name, target_load> &Loads) -> void;

  /// Records an attempt sent to \p Name.
  /// \param PrefillMs expected prefill time of its prompt.
  auto recordAttemptSent(const target_name &Name, std::size_t Rank,
                         double PrefillMs) -> void;
  /// Records the first byte of an attempt's output, which ends its prefill.
  /// \param PrefillMs prefill time that is still counted.
  auto recordFirstOutput(const target_name &Name, std::size_t Rank,
                         double PrefillMs) -> void;
  /// Records the end of an attempt.
  /// \param PrefillMs prefill time that is still counted.
  auto recordAttemptEnded(const target_name &Name, std::size_t Rank,
                          double PrefillMs, bool Failed) -> void;
  /// Records that an attempt was cancelled, which says nothing about the
  /// target.
  auto recordAttemptCancelled(const target_name &Name, std::size_t Rank,
                              double PrefillMs) -> void;

private:
  /// What a target has said of itself.
  struct notice {
    std::uint64_t Incarnation = 0;
    bool Leaves = false;
    time_point RefusesUntil;
  };
  /// Keeps a notice of a target that is not in the table.
  auto keepNotice(const target_name &Name, const notice &Notice) -> void;
  /// Applies what is kept about the incarnation of \p Entry.
  auto restoreNotice(target_entry &Entry) -> void;
  /// Updates which incarnations at \p Address are superseded.
  auto updateSuperseded(const std::string &Address) -> void;

  std::map<target_name, target_entry> Entries;
  std::map<target_name, notice> Notices; ///< Of targets that are not there.
  std::map<std::string, std::set<target_name>> NamesByAddress;
  std::map<instance_name, std::vector<target_name>> TargetsByPeer;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TARGET_BOOK_H
