/// \file
/// Splits a server-sent event stream into whole events, so that a stream can
/// go on at another target after the last one.
#ifndef LIMPETBRIDGE_SERVING_EVENT_STREAM_H
#define LIMPETBRIDGE_SERVING_EVENT_STREAM_H

#include <string>
#include <string_view>

namespace limpetbridge::serving {

/// One answer's stream, over all attempts at it.
class event_stream {
public:
  /// Takes in bytes of the current attempt.
  /// \returns the whole events that are complete now and were not passed on by
  /// an earlier attempt.
  auto feed(std::string_view Bytes) -> std::string;

  /// Bytes of an event that has not ended.
  [[nodiscard]] auto incompleteEvent() const -> const std::string & {
    return Pending;
  }

  /// Drops the unfinished event; the next attempt begins.
  auto discardIncompleteEvent() -> void { Pending.clear(); }

  /// Id of the last event that was returned; empty before the first.
  [[nodiscard]] auto lastId() const -> const std::string & { return LastId; }

private:
  std::string Pending;
  std::string LastId;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_EVENT_STREAM_H
