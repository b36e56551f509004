/// \file
/// The time line: what each process noted, in causal order over all of them.
#ifndef LIMPETBRIDGE_BASE_TIMELINE_H
#define LIMPETBRIDGE_BASE_TIMELINE_H

#include "base/hybrid_clock.h"
#include "base/ids.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// What kind of thing was noted.
enum class note_kind : std::uint8_t {
  RequestArrived,
  AttemptStarted,
  AttemptRefused,
  AttemptEnded,
  RequestEnded,
  WorkQueued,
  WorkDispatched,
  WorkEnded,
  ClaimWritten,
  OrderSent,
  OrderSettled,
  ModelEvicted,
  ChangeAccepted,
  ChangeRefused,
  RevisionInForce,
  TargetSlow,
  TargetRecovered,
  TargetLeaving,
  DrainStarted,
  FenceRaised,
  StreamAbandoned,
};

/// Stable snake-case name of \p Kind.
[[nodiscard]] auto nameOf(note_kind Kind) -> std::string_view;

/// One entry of the time line.
struct note {
  note_kind Kind = note_kind::RequestArrived;
  std::string Request; ///< Request or attempt id, or empty.
  target_name Target;  ///< Target concerned, or empty.
  std::string Change;  ///< Change id or revision, or empty.
  std::string Detail;  ///< One line for people.
};

/// A note with its place in the order of all processes.
struct stamped_note {
  hybrid_stamp Stamp;
  instance_name Instance;
  note Note;
};

/// Which notes to show; an empty field matches all.
struct note_filter {
  std::string Request; ///< Prefix of the request id.
  target_name Target;
  std::string Change;
};

/// True when \p Note passes \p Filter.
[[nodiscard]] auto matches(const note_filter &Filter, const note &Note) -> bool;

/// Thread-safe ring of the latest notes of one process.
class timeline {
public:
  /// \param Limit notes kept, at least 1.
  timeline(instance_name Instance, std::size_t Limit);

  /// Appends \p Note under \p Stamp and drops the oldest over the limit.
  auto append(hybrid_stamp Stamp, note Note) -> void;

  /// Notes that pass \p Filter, oldest first.
  [[nodiscard]] auto select(const note_filter &Filter) const
      -> std::vector<stamped_note>;

private:
  instance_name Instance;
  std::size_t Limit;
  mutable std::mutex Mutex;
  std::deque<stamped_note> Notes;
};

/// Merges the notes of several processes into causal order.
[[nodiscard]] auto merge(std::vector<stamped_note> Notes)
    -> std::vector<stamped_note>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_TIMELINE_H
