/// \file
/// A caller's request as the decisions see it.
#ifndef LIMPETBRIDGE_SERVING_CALL_H
#define LIMPETBRIDGE_SERVING_CALL_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace limpetbridge::serving {

/// One part of a prompt; requests share parts from the front.
struct prompt_part {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// What a request asks of an engine.
struct prompt {
  model_name Model;
  std::string Adapter; ///< Empty for the model itself.
  std::uint32_t InputTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  std::vector<prompt_part> Parts;
};

/// A request that was read whole.
struct call {
  std::string Id; ///< The caller's id of this attempt of its own.
  std::string Host;
  std::string Path;
  time_point Arrived;
  time_point CallerDeadline = NoDeadline;
  bool HasPrompt = false;
  prompt Prompt;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_CALL_H
