/// \file
/// Predicts the pauses that prefill causes in the streams of an engine: the
/// longest one, and the chance that it exceeds a bound. Plain functions of what
/// is known about the engine; see docs/design/stream-pauses.md.
#ifndef LIMPETBRIDGE_SERVING_STREAM_PAUSES_H
#define LIMPETBRIDGE_SERVING_STREAM_PAUSES_H

#include <cstdint>

namespace limpetbridge::serving {

/// Times in which an engine is slower than usual.
struct slow_spells {
  double Share = 0;      ///< Of the engine's time, 0 to 1.
  double Factor = 1;     ///< By which its work takes longer.
  double LengthMs = 600; ///< Of one spell; says how soon the next one follows.
};

/// The spells that are assumed where none were observed. A small share keeps a
/// reserve: runs of prefill that no spell could make too long are preferred.
inline constexpr slow_spells AssumedSpells{0.05, 2.5, 600};

/// How an engine works. Each step produces one token of every stream and
/// carries one chunk of a prompt while there is prefill.
struct engine_pace {
  double StepMs = 5.5; ///< Of a step without prefill.
  std::uint32_t TokensPerEvent = 1;
  double ChunkMs = 0;  ///< Of the longest chunk.
  double Slowness = 1; ///< Observed over expected time, apart from spells.
  slow_spells Spells = AssumedSpells;
};

/// Time of the last chunk of a prompt, which is the longest one because it
/// attends to all tokens before it, ms.
/// \param MsPerToken prefill time of the prompt's model.
[[nodiscard]] auto lastChunkMs(double MsPerToken, std::uint32_t PromptTokens)
    -> double;

/// Longest time between two events of a stream beside \p RunMs of uninterrupted
/// prefill, outside slow spells, ms.
[[nodiscard]] auto longestPauseMs(const engine_pace &Pace, double RunMs)
    -> double;

/// Chance that a stream beside \p RunMs of uninterrupted prefill has a pause
/// over \p BoundMs, which is above 0.
[[nodiscard]] auto lateChance(const engine_pace &Pace, double RunMs,
                              double BoundMs) -> double;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_STREAM_PAUSES_H
