/// \file
/// Sessions as text: the events of a node and the effects of each, one JSON
/// object a line. Golden files and recordings from production are sessions.
#ifndef LIMPETBRIDGE_CORE_TRANSCRIPT_H
#define LIMPETBRIDGE_CORE_TRANSCRIPT_H

#include "base/result.h"
#include "core/reducer.h"

#include <string>
#include <string_view>

namespace limpetbridge {

/// The first line of a session: the node's options and seed.
[[nodiscard]] auto encodeStart(const node_options &Options, std::uint64_t Seed)
    -> std::string;
/// The line of an event, with its time.
[[nodiscard]] auto encodeEvent(const event &Event, time_point Now)
    -> std::string;
/// The line of an effect.
[[nodiscard]] auto encodeEffect(const effect &Effect) -> std::string;

/// Number of lines that a replay checked.
struct replay_result {
  std::size_t Events = 0;
  std::size_t Effects = 0;
};

/// Feeds the events of a session to the reducer and compares the effects.
/// \returns MalformedRequest with the line number, the expected and the actual
/// effect at the first difference, or with the reason if a line is unreadable.
[[nodiscard]] auto replaySession(std::string_view Text)
    -> result<replay_result>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_TRANSCRIPT_H
