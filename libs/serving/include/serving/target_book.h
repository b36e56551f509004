/// \file
/// The gateway's book of targets: what each one is, the work that is believed
/// to be under way there, and how its recent answers went.
#ifndef LIMPETBRIDGE_SERVING_TARGET_BOOK_H
#define LIMPETBRIDGE_SERVING_TARGET_BOOK_H

#include "base/time.h"
#include "serving/configuration.h"
#include "serving/prefix_memory.h"
#include "serving/target.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge::serving {

/// Classes of urgency that queueing distinguishes; rank 0 goes first.
inline constexpr std::size_t Ranks = 3;

/// Rank of a route's priority.
[[nodiscard]] auto rankOf(std::uint32_t Priority) -> std::size_t;

/// Work under way at one target.
struct target_load {
  /// Expected time to read the prompts that are not read yet, by rank, ms.
  std::array<double, Ranks> PendingMs{};
  std::uint32_t Active = 0; ///< Requests sent and not ended.

  auto operator+=(const target_load &Other) -> target_load &;
  /// Takes off what was added before; never below nothing.
  auto operator-=(const target_load &Other) -> target_load &;
  /// What a request of \p Rank waits for, ms.
  [[nodiscard]] auto pendingMs(std::size_t Rank) const -> double;
};

/// A change of the models of a target that has been asked for.
struct model_change {
  model_name Model;                ///< To be loaded.
  std::vector<model_name> Victims; ///< To be unloaded first.
};

/// One target and the beliefs about it.
struct target_entry {
  target Target;
  target_load Own;    ///< Sent by this gateway.
  target_load Others; ///< Sent by the other gateways: the sum of Peers.
  std::map<instance_name, target_load> Peers; ///< Told by each of them.
  prefix_memory Cache;
  std::string ControllerAddress; ///< ip:port; empty if none is known.
  double FailureShare = 0;       ///< Moving average of failed attempts, 0 to 1.
  double Slowness = 1;           ///< Observed against expected time.
  std::map<model_name, time_point> LoadedAt; ///< When models appeared.
  /// Last use of adapters by any gateway, as far as this one was told.
  std::map<adapter_key, time_point> AdapterUse;
  time_point AvoidUntil;  ///< Refused or unreachable a moment ago.
  time_point NoLoadUntil; ///< A load has failed there a moment ago.
  time_point ToldAt;      ///< When its controller last told of its contents.
  time_point LostSince = NoDeadline; ///< Row missing; kept for a grace period.
  /// The load that is under way as far as this gateway knows.
  std::optional<model_change> Change;

  /// Load of this gateway and of the others together.
  [[nodiscard]] auto load() const -> target_load;
  /// A later life has its address: whatever the store still lists, it is gone.
  bool Superseded = false;
  /// True if new work may be sent.
  [[nodiscard]] auto takesWork() const -> bool {
    return !Target.Draining && !Superseded;
  }
  /// True if \p Model is held and not about to be unloaded.
  [[nodiscard]] auto serves(const model_name &Model) const -> bool;
};

/// All targets by name.
class target_book {
public:
  /// Takes in a newer description; a new life clears the beliefs.
  /// \returns true when anything but the order count changed.
  auto update(const target &Target, std::uint64_t CacheTokens, time_point Now)
      -> bool;
  /// Takes in what a target's controller told of its contents; newer than what
  /// the store tells for a while.
  /// \returns true when anything changed.
  auto updateHoldings(target_entry &Entry, std::uint64_t Sequence,
                      const holdings &Holds, time_point Now) -> bool;
  auto remove(const target_name &Name) -> void;

  [[nodiscard]] auto find(const target_name &Name) -> target_entry *;
  [[nodiscard]] auto find(const target_name &Name) const
      -> const target_entry *;
  /// The latest life at \p Address.
  [[nodiscard]] auto findAddress(const std::string &Address) -> target_entry *;
  [[nodiscard]] auto all() -> std::map<target_name, target_entry> & {
    return Entries;
  }
  [[nodiscard]] auto all() const
      -> const std::map<target_name, target_entry> & {
    return Entries;
  }

  /// Number of targets that serve \p Model and take work.
  [[nodiscard]] auto holders(const model_name &Model) const -> std::size_t;

  /// What \p Peer has under way, in place of what it told before. Touches
  /// only the targets of the two.
  auto setPeerLoads(const instance_name &Peer,
                    const std::map<target_name, target_load> &Loads) -> void;

  /// An attempt left for \p Name; reading its prompt takes \p ReadMs.
  auto noteSent(const target_name &Name, std::size_t Rank, double ReadMs)
      -> void;
  /// Its first byte of output came.
  auto noteFirstOutput(const target_name &Name, std::size_t Rank, double ReadMs)
      -> void;
  /// It ended. \param ReadMs what was not yet taken off.
  auto noteEnded(const target_name &Name, std::size_t Rank, double ReadMs,
                 bool Failed) -> void;

private:
  /// Finds out anew which life at \p Address is the latest.
  auto markLatest(const std::string &Address) -> void;

  std::map<target_name, target_entry> Entries;
  std::map<std::string, std::set<target_name>> AtAddress;
  std::map<instance_name, std::vector<target_name>> ToldByPeer;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TARGET_BOOK_H
