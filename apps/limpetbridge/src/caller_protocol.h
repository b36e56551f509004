/// \file
/// The JSON that callers speak, in the shape that model clients know.
#ifndef LIMPETBRIDGE_CALLER_PROTOCOL_H
#define LIMPETBRIDGE_CALLER_PROTOCOL_H

#include "base/result.h"
#include "core/effects.h"

#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// Which page a generation came by; the shape of the answer follows.
enum class generation_shape : std::uint8_t { Chat, Completion };

/// A parsed request for a generation.
struct generation_request {
  std::string Model;
  std::string Prompt;
  std::uint32_t PromptTokens = 0; ///< Estimated from the prompt's length.
  std::uint32_t MaxTokens = 0;
  std::uint64_t PrefixHash = 0;
  bool Stream = false;
};

/// Reads the body of a request. \returns MalformedRequest with the field.
[[nodiscard]] auto parseGeneration(std::string_view Body,
                                   generation_shape Shape)
    -> result<generation_request>;

/// The error object that callers get.
[[nodiscard]] auto encodeError(const error &Error, std::string_view RequestId)
    -> std::string;

/// One event of a streamed answer with some pieces.
[[nodiscard]] auto encodeChunk(generation_shape Shape, const std::string &Id,
                               const std::string &Model,
                               const std::string &Text) -> std::string;
/// The last events of a streamed answer.
[[nodiscard]] auto encodeFinish(generation_shape Shape, const std::string &Id,
                                const std::string &Model) -> std::string;
/// An answer in one piece.
[[nodiscard]] auto encodeWhole(generation_shape Shape, const std::string &Id,
                               const std::string &Model,
                               const std::string &Text,
                               std::uint32_t PromptTokens, std::uint32_t Tokens)
    -> std::string;
/// The list of models that a caller may use.
[[nodiscard]] auto encodeModels(const std::vector<std::string> &Names)
    -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CALLER_PROTOCOL_H
