/// \file
/// Helpers that the decision modules share.
#ifndef LIMPETBRIDGE_CORE_DETAILS_COMMON_H
#define LIMPETBRIDGE_CORE_DETAILS_COMMON_H

#include "core/effects.h"
#include "core/state.h"

#include <string>
#include <string_view>
#include <utility>

namespace limpetbridge::details {

/// Time per prompt token that entries assume, ms.
inline constexpr double PromptTokenMs = 0.1;

/// Context of an event handler: the node's state, the time and the effects.
struct context {
  node_state &State;
  time_point Now;
  effects &Out;

  /// Appends an effect.
  template <typename kind> auto emit(kind Effect) const -> void {
    Out.emplace_back(std::move(Effect));
  }

  /// Appends the effect that adds a note to the timeline.
  auto recordNote(note_kind Kind, std::string Request,
                  const target_name &Target, std::string Change,
                  std::string Detail) const -> void {
    emit(write_note{{Kind, std::move(Request), Target, std::move(Change),
                     std::move(Detail)}});
  }
};

/// Converts between an agent's instance name and its target's name: they are
/// the same text.
[[nodiscard]] inline auto targetOf(const instance_name &Agent) -> target_name {
  return target_name(Agent.Text);
}
[[nodiscard]] inline auto agentOf(const target_name &Target) -> instance_name {
  return instance_name(Target.Text);
}

/// Converts milliseconds to a duration.
[[nodiscard]] inline auto fromMilliseconds(double Ms) -> duration {
  return duration(static_cast<std::int64_t>(Ms * 1000.0));
}
/// Converts a duration to milliseconds.
[[nodiscard]] inline auto asMilliseconds(duration Span) -> double {
  return static_cast<double>(Span.count()) / 1000.0;
}

/// Weight of \p Member for \p Key in a rendezvous hash; the greatest wins.
[[nodiscard]] inline auto rendezvousWeight(std::string_view Key,
                                           std::string_view Member)
    -> std::uint64_t {
  return stableHash(Member, stableHash(Key));
}

} // namespace limpetbridge::details

#endif // LIMPETBRIDGE_CORE_DETAILS_COMMON_H
