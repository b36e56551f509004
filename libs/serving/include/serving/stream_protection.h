/// \file
/// What a prompt costs the streams of a target: those in progress there that
/// its prefill would make late, and the prompt's own stream. Only for services
/// whose engines state how many tokens an event holds, and routes that bound
/// the gaps of their streams.
#ifndef LIMPETBRIDGE_SERVING_STREAM_PROTECTION_H
#define LIMPETBRIDGE_SERVING_STREAM_PROTECTION_H

#include "serving/configuration.h"
#include "serving/stream_pauses.h"
#include "serving/target_book.h"

#include <array>
#include <map>

namespace limpetbridge::serving {

/// Bounds of the streams of one service.
struct stream_bounds {
  std::uint32_t TokensPerEvent = 0;
  /// The least bound of the routes of each rank, ms; 0: none has one. Other
  /// gateways report their streams by rank.
  std::array<double, RankCount> GapMs{};
};

/// The services whose streams are protected.
[[nodiscard]] auto streamBounds(const configuration &Configuration)
    -> std::map<service_name, stream_bounds>;

/// When each of the other gateways last reported its loads.
using report_times = std::map<instance_name, time_point>;

/// A prompt that is to be sent beside protected streams.
struct prompt_beside_streams {
  const stream_bounds *Bounds = nullptr; ///< Of its service.
  const report_times *ReportTimes = nullptr;
  std::size_t Rank = 0;
  double GapMs = 0;       ///< Bound of its own stream; 0: none.
  double ObjectiveMs = 0; ///< For its first output.
  double MsPerToken = 0;  ///< Prefill time of its model.
  std::uint32_t InputTokens = 0;
  time_point Now;
  slow_spells Spells = AssumedSpells;     ///< Of the targets of the service.
  const instance_name *Gateway = nullptr; ///< That sends it; null: unknown.
};

/// Prefill that is due at \p Entry for prompts of \p Rank and of more urgent
/// ranks, ms. What other gateways reported is reduced by what the target has
/// done since.
[[nodiscard]] auto duePrefillMs(const target_entry &Entry,
                                const report_times &ReportTimes,
                                std::size_t Rank, time_point Now) -> double;

/// What a prompt causes at one target.
struct stream_effect {
  double DueMs = 0;       ///< Prefill due there before it.
  double PauseMs = 0;     ///< Longest pause of the streams there with it.
  double LateStreams = 0; ///< Streams in progress that it makes late.
  double OwnLateChance = 0;
  /// Delays of the streams in progress, and of its own, each weighted with the
  /// part of its bound that the pause uses, ms.
  double DelayMs = 0;
  double OwnDelayMs = 0;
};

/// The effect of \p Prompt, with \p PrefillMs to prefill, at \p Entry.
[[nodiscard]] auto streamEffect(const target_entry &Entry,
                                const prompt_beside_streams &Prompt,
                                double PrefillMs) -> stream_effect;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_STREAM_PROTECTION_H
