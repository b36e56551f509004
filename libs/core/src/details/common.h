/// \file
/// Small helpers that every decision module uses.
#ifndef LIMPETBRIDGE_CORE_DETAILS_COMMON_H
#define LIMPETBRIDGE_CORE_DETAILS_COMMON_H

#include "core/effects.h"
#include "core/state.h"

#include <string>
#include <string_view>
#include <utility>

namespace limpetbridge::details {

/// Expected time of one prompt token before anything was observed, ms.
inline constexpr double PromptTokenMs = 0.1;

/// What every handler works with: state, time, and where effects go.
struct context {
  node_state &State;
  time_point Now;
  effects &Out;

  /// Appends an effect.
  template <typename kind> auto emit(kind Effect) const -> void {
    Out.emplace_back(std::move(Effect));
  }

  /// Appends a note on the time line.
  auto recordNote(note_kind Kind, std::string Request,
                  const target_name &Target, std::string Change,
                  std::string Detail) const -> void {
    emit(write_note{{Kind, std::move(Request), Target, std::move(Change),
                     std::move(Detail)}});
  }
};

/// The target beside the agent of that instance name, and back.
[[nodiscard]] inline auto targetOf(const instance_name &Agent) -> target_name {
  return target_name(Agent.Text);
}
[[nodiscard]] inline auto agentOf(const target_name &Target) -> instance_name {
  return instance_name(Target.Text);
}

/// Milliseconds as a duration.
[[nodiscard]] inline auto fromMilliseconds(double Ms) -> duration {
  return duration(static_cast<std::int64_t>(Ms * 1000.0));
}
/// A duration as milliseconds.
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
