/// \file
/// A caller's request as the reducer sees it.
#ifndef LIMPETBRIDGE_SERVING_CALL_H
#define LIMPETBRIDGE_SERVING_CALL_H

#include "base/ids.h"
#include "base/time.h"
#include "serving/workspace_key.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetbridge::serving {

/// One part of a prompt. Requests with a common prefix begin with the same
/// parts.
struct prompt_part {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// Work that a request requires of an engine.
struct prompt {
  model_name Model;
  std::string Adapter; ///< Empty for the base model.
  std::uint32_t InputTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  std::vector<prompt_part> Parts;
};

/// Ids of \p Parts for logs: hexadecimal, separated by commas; the first ones
/// and the number of the others if there are many.
[[nodiscard]] auto describeParts(const std::vector<prompt_part> &Parts)
    -> std::string;

/// A request that was received completely.
struct call {
  std::string Id; ///< Chosen by the caller for each of its attempts.
  std::string Host;
  std::string Path;
  time_point Arrived; ///< First byte of the request.
  time_point CallerDeadline = NoDeadline;
  workspace_key Key; ///< Empty if the request has none, or more than one.
  bool HasPrompt = false;
  prompt Prompt;
  /// Tokens of prompt and answer together; not set if the request does not
  /// state them.
  std::optional<std::uint64_t> StatedTokens;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_CALL_H
