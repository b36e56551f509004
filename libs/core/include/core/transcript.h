/// \file
/// Sessions as text: the events of a node and the effects that followed, one
/// JSON object a line. Golden files and recordings of the field are sessions.
#ifndef LIMPETBRIDGE_CORE_TRANSCRIPT_H
#define LIMPETBRIDGE_CORE_TRANSCRIPT_H

#include "base/result.h"
#include "core/reducer.h"

#include <string>
#include <string_view>

namespace limpetbridge {

/// The first line of a session: what kind of node it is, and its seed.
[[nodiscard]] auto encodeStart(const node_options &Options, std::uint64_t Seed)
    -> std::string;
/// An event and its moment.
[[nodiscard]] auto encodeEvent(const event &Event, time_point Now)
    -> std::string;
/// An effect.
[[nodiscard]] auto encodeEffect(const effect &Effect) -> std::string;

/// What a replay found.
struct replay_result {
  std::size_t Events = 0;
  std::size_t Effects = 0;
};

/// Replays a session. \returns MalformedRequest with the line, and what was
/// expected and found there, at the first difference.
[[nodiscard]] auto replaySession(std::string_view Text)
    -> result<replay_result>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_TRANSCRIPT_H
