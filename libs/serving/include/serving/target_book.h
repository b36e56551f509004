/// \file
/// The gateway's book of targets: what each one is, the work that is believed
/// to be under way there, and how its recent answers went.
#ifndef LIMPETBRIDGE_SERVING_TARGET_BOOK_H
#define LIMPETBRIDGE_SERVING_TARGET_BOOK_H

#include "base/time.h"
#include "serving/configuration.h"
#include "serving/prefix_memory.h"
#include "serving/target.h"

#include <map>
#include <string>

namespace limpetbridge::serving {

/// Work under way at one target.
struct target_load {
  std::uint64_t PendingTokens = 0; ///< Prompt tokens not yet read.
  std::uint32_t Active = 0;        ///< Requests sent and not ended.
};

/// One target and the beliefs about it.
struct target_entry {
  target Target;
  target_load Own;                           ///< Sent by this gateway.
  std::map<instance_name, target_load> Peer; ///< Told by other gateways.
  prefix_memory Cache;
  std::string ControllerAddress; ///< ip:port; empty if none is known.
  double FailureShare = 0;       ///< Moving average of failed attempts, 0 to 1.
  double MsPerToken = 0;         ///< Observed reading time; 0: not yet known.
  time_point AvoidUntil;         ///< Refused or unreachable a moment ago.
  time_point LostSince = NoDeadline; ///< Row missing; kept for a grace period.

  /// Load of this gateway and of the others together.
  [[nodiscard]] auto load() const -> target_load;
  /// True if new work may be sent.
  [[nodiscard]] auto takesWork() const -> bool { return !Target.Leaving; }
};

/// All targets by name.
class target_book {
public:
  /// Takes in a newer description; a new life clears the beliefs.
  /// \returns true when anything but the order count changed.
  auto update(const target &Target, std::uint64_t CacheTokens) -> bool;
  auto remove(const target_name &Name) -> void;

  [[nodiscard]] auto find(const target_name &Name) -> target_entry *;
  [[nodiscard]] auto find(const target_name &Name) const
      -> const target_entry *;
  [[nodiscard]] auto findAddress(const std::string &Address) -> target_entry *;
  [[nodiscard]] auto all() -> std::map<target_name, target_entry> & {
    return Entries;
  }
  [[nodiscard]] auto all() const
      -> const std::map<target_name, target_entry> & {
    return Entries;
  }

  /// Number of targets that hold \p Model and take work.
  [[nodiscard]] auto holders(const model_name &Model) const -> std::size_t;

  /// An attempt left for \p Name, with \p Tokens of its prompt to be read.
  auto noteSent(const target_name &Name, std::uint32_t Tokens) -> void;
  /// Its first byte of output came.
  auto noteFirstOutput(const target_name &Name, std::uint32_t Tokens) -> void;
  /// It ended. \param PendingTokens those not yet taken off.
  auto noteEnded(const target_name &Name, std::uint32_t PendingTokens,
                 bool Failed) -> void;

private:
  std::map<target_name, target_entry> Entries;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TARGET_BOOK_H
