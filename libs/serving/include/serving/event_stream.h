/// \file
/// Splits a server-sent event stream into complete events, so that the stream
/// can resume at another target after the last one.
#ifndef LIMPETBRIDGE_SERVING_EVENT_STREAM_H
#define LIMPETBRIDGE_SERVING_EVENT_STREAM_H

#include <string>
#include <string_view>

namespace limpetbridge::serving {

/// The event stream of one answer, across all attempts.
class event_stream {
public:
  /// Adds bytes of the current attempt.
  /// \returns the events that are complete now, without those whose numeric id
  /// is not above that of the last event returned.
  auto feed(std::string_view Bytes) -> std::string;

  /// Bytes received of the event that is still incomplete.
  [[nodiscard]] auto incompleteEvent() const -> const std::string & {
    return Pending;
  }

  /// Discards the incomplete event before the next attempt.
  auto discardIncompleteEvent() -> void { Pending.clear(); }

  /// Id of the last event returned; empty before the first.
  [[nodiscard]] auto lastId() const -> const std::string & { return LastId; }

private:
  std::string Pending;
  std::string LastId;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_EVENT_STREAM_H
