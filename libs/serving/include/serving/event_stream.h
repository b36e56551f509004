/// \file
/// The server-sent event stream of one answer across all attempts, so that it
/// can resume at another target after the last event, and whether it is whole.
#ifndef LIMPETBRIDGE_SERVING_EVENT_STREAM_H
#define LIMPETBRIDGE_SERVING_EVENT_STREAM_H

#include "serving/event_scanner.h"

#include <string>
#include <string_view>

namespace limpetbridge::serving {

/// The event stream of one answer, across all attempts.
class event_stream {
public:
  /// Begins another attempt; an incomplete event of the one before is
  /// discarded.
  auto beginAttempt() -> void;

  /// Adds bytes of the current attempt.
  /// \returns the events that are complete now, without those whose numeric id
  /// is not above that of the last event returned.
  auto feed(std::string_view Bytes) -> std::string;

  /// Follows bytes of the current attempt that are relayed as they are.
  auto follow(std::string_view Bytes) -> void { Scanner.scanAll(Bytes); }

  /// Whether the stream may be complete if its body ends here.
  /// \param EndsWithConnection Only the end of the connection ends the body,
  /// which shows nothing if no event came before it.
  [[nodiscard]] auto mayEnd(bool EndsWithConnection) const -> bool;

  /// Bytes fed of the event that is still incomplete.
  [[nodiscard]] auto incompleteEvent() const -> const std::string & {
    return Pending;
  }

  /// Position in the current attempt.
  [[nodiscard]] auto scanner() const -> const event_scanner & {
    return Scanner;
  }

  /// Id of the last event returned; empty before the first.
  [[nodiscard]] auto lastId() const -> const std::string & { return LastId; }

private:
  /// Appends the pending event to \p Complete unless it was returned before.
  auto takeEvent(std::string &Complete) -> void;

  event_scanner Scanner;
  std::string Pending;
  std::string LastId;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_EVENT_STREAM_H
