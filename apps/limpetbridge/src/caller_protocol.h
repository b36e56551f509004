/// \file
/// The JSON of requests and responses, in the format of common model clients.
#ifndef LIMPETBRIDGE_CALLER_PROTOCOL_H
#define LIMPETBRIDGE_CALLER_PROTOCOL_H

#include "base/result.h"
#include "core/effects.h"

#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// Endpoint that a generation was requested at; it decides the response format.
enum class generation_endpoint : std::uint8_t { Chat, Completion };

/// A parsed generation request.
struct generation_request {
  std::string Model;
  std::string Prompt;
  std::uint32_t PromptTokens = 0; ///< Estimated from the prompt's length.
  std::uint32_t MaxTokens = 0;
  std::uint64_t PrefixHash = 0;
  bool Stream = false;
};

/// Parses the body of a request. \returns MalformedRequest with a detail that
/// names the invalid field.
[[nodiscard]] auto parseGeneration(std::string_view Body,
                                   generation_endpoint Endpoint)
    -> result<generation_request>;

/// The error object of a response.
[[nodiscard]] auto encodeError(const error &Error, std::string_view RequestId)
    -> std::string;

/// One event of a streamed response, with the text of one or more pieces.
[[nodiscard]] auto encodeStreamChunk(generation_endpoint Endpoint,
                                     const std::string &Id,
                                     const std::string &Model,
                                     const std::string &Text) -> std::string;
/// The last two events of a streamed response: finish reason and [DONE].
[[nodiscard]] auto encodeStreamEnd(generation_endpoint Endpoint,
                                   const std::string &Id,
                                   const std::string &Model) -> std::string;
/// A response that is not streamed.
[[nodiscard]] auto
encodeFullResponse(generation_endpoint Endpoint, const std::string &Id,
                   const std::string &Model, const std::string &Text,
                   std::uint32_t PromptTokens, std::uint32_t Tokens)
    -> std::string;
/// The list of models that a caller may use.
[[nodiscard]] auto encodeModels(const std::vector<std::string> &Names)
    -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CALLER_PROTOCOL_H
