/// \file
/// Seeded demand at the sizes of the two users.
#ifndef LIMPETBRIDGE_TESTING_TRACE_H
#define LIMPETBRIDGE_TESTING_TRACE_H

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace limpetbridge {

/// One user's deployment.
struct deployment {
  std::string Name;
  std::size_t Targets = 0;
  std::size_t Models = 0;
  std::size_t ModelsATarget = 0; ///< Copies that fit one accelerator.
  double LoadMs = 0;             ///< One load at full speed.
  double LoadsASecond = 0;       ///< The weight store's rate.
  std::size_t LoadsAtOnce = 0;   ///< At full speed.
  double ShortASecond = 0;
  double LongASecond = 0;
  double Crest = 10; ///< Factor of the swing on the models that swing.
};

/// The two users.
[[nodiscard]] auto caledon() -> deployment;
[[nodiscard]] auto graniteCaster() -> deployment;

/// One request of the trace.
struct demand {
  duration At{};
  std::size_t Model = 0;
  bool Short = true;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
};

inline constexpr duration TraceLength = seconds(240);
inline constexpr duration CrestFrom = seconds(100);
inline constexpr duration CrestTo = seconds(150);

/// The same demand for the same seed.
[[nodiscard]] auto makeTrace(const deployment &Deployment, std::uint64_t Seed)
    -> std::vector<demand>;

/// Work that a request brings, milliseconds at an unshared engine.
[[nodiscard]] auto prefillMs(const demand &Demand) -> double;
[[nodiscard]] auto decodeMs(const demand &Demand) -> double;
/// Aim for its first token, milliseconds.
[[nodiscard]] auto aimMs(const demand &Demand) -> double;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_TRACE_H
