/// \file
/// Timeline: events recorded by each process, which can be merged into one
/// causal order.
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

/// Kind of event that a note records.
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

/// One entry of the timeline.
struct note {
  note_kind Kind = note_kind::RequestArrived;
  std::string Request; ///< Request or attempt id; may be empty.
  target_name Target;  ///< Affected target; may be empty.
  std::string Change;  ///< Change id or revision; may be empty.
  std::string Detail;  ///< Readable description in one line.
};

/// A note with its instance and its timestamp in the order of all processes.
struct stamped_note {
  hybrid_stamp Stamp;
  instance_name Instance;
  note Note;
};

/// Selects notes; an empty field matches every note.
struct note_filter {
  std::string Request; ///< Prefix of the request id.
  target_name Target;
  std::string Change;
};

/// True if \p Note matches \p Filter.
[[nodiscard]] auto matches(const note_filter &Filter, const note &Note) -> bool;

/// Thread-safe buffer of the latest notes of one process.
class timeline {
public:
  /// \param Limit number of notes to keep, at least 1.
  timeline(instance_name Instance, std::size_t Limit);

  /// Appends \p Note with \p Stamp; drops the oldest note if over the limit.
  auto append(hybrid_stamp Stamp, note Note) -> void;

  /// Notes that match \p Filter, in the order in which they were appended.
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
