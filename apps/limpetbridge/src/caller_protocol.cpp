#include "caller_protocol.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetbridge {

namespace {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

constexpr std::uint32_t DefaultMaxTokens = 256;
constexpr std::uint32_t MaxTokensLimit = 1'000'000;
constexpr std::size_t EstimatedBytesPerToken = 4;
constexpr std::size_t PrefixBytes = 1024; ///< Prompt prefix that is hashed.

auto malformedRequest(std::string Detail) -> error {
  return failure(result_code::MalformedRequest, std::move(Detail));
}

/// Text of a message's content, which is a string or a list of text parts.
auto parseContent(const json &Content) -> result<std::string> {
  if (Content.is_string())
    return Content.get<std::string>();
  if (!Content.is_array())
    return malformedRequest(
        "messages: content must be a string or a list of parts");
  std::string Text;
  for (const auto &Part : Content) {
    if (!Part.is_object() || !Part.contains("text") ||
        !Part["text"].is_string())
      return malformedRequest(
          "messages: each content part needs a string text; "
          "other parts are not supported");
    Text += Part["text"].get<std::string>();
  }
  return Text;
}

auto parseChatPrompt(const json &Body) -> result<std::string> {
  if (!Body.contains("messages") || !Body["messages"].is_array() ||
      Body["messages"].empty())
    return malformedRequest(
        "messages: a list with at least one message is required");
  std::string Prompt;
  for (const auto &Message : Body["messages"]) {
    if (!Message.is_object() || !Message.contains("content"))
      return malformedRequest(
          "messages: each must be an object with a content");
    auto Text = parseContent(Message["content"]);
    if (!Text)
      return Text.error();
    const auto Role = Message.value("role", json("user"));
    if (!Role.is_string())
      return malformedRequest("messages: role must be a string");
    Prompt += Role.get<std::string>() + ": " + Text.value() + "\n";
  }
  return Prompt;
}

auto parseCompletionPrompt(const json &Body) -> result<std::string> {
  if (!Body.contains("prompt") || !Body["prompt"].is_string())
    return malformedRequest("prompt: a string is required");
  return Body["prompt"].get<std::string>();
}

auto parseMaxTokens(const json &Body) -> result<std::uint32_t> {
  if (!Body.contains("max_tokens"))
    return DefaultMaxTokens;
  const auto &Field = Body["max_tokens"];
  const bool IsInRange = Field.is_number_integer() &&
                         Field.get<std::int64_t>() >= 1 &&
                         Field.get<std::int64_t>() <= MaxTokensLimit;
  if (!IsInRange)
    return malformedRequest("max_tokens: expected a whole number from 1 to " +
                            std::to_string(MaxTokensLimit));
  return Field.get<std::uint32_t>();
}

auto parseFields(const json &Body, generation_endpoint Endpoint)
    -> result<generation_request> {
  generation_request Request;
  if (!Body.contains("model") || !Body["model"].is_string())
    return malformedRequest("model: a string is required");
  Request.Model = Body["model"].get<std::string>();
  auto Prompt = Endpoint == generation_endpoint::Chat
                    ? parseChatPrompt(Body)
                    : parseCompletionPrompt(Body);
  if (!Prompt)
    return Prompt.error();
  auto Tokens = parseMaxTokens(Body);
  if (!Tokens)
    return Tokens.error();
  const auto Stream = Body.value("stream", json(false));
  if (!Stream.is_boolean())
    return malformedRequest("stream: expected true or false");
  Request.Stream = Stream.get<bool>();
  Request.MaxTokens = Tokens.value();
  Request.Prompt = std::move(Prompt.value());
  Request.PromptTokens = static_cast<std::uint32_t>(
      Request.Prompt.size() / EstimatedBytesPerToken + 1);
  Request.PrefixHash =
      stableHash(std::string_view(Request.Prompt).substr(0, PrefixBytes));
  return Request;
}

auto objectType(generation_endpoint Endpoint, bool IsChunk) -> const char * {
  if (Endpoint == generation_endpoint::Completion)
    return "text_completion";
  return IsChunk ? "chat.completion.chunk" : "chat.completion";
}

auto serialize(const ordered_json &Body) -> std::string {
  return Body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

auto makeChunk(generation_endpoint Endpoint, const std::string &Id,
               const std::string &Model, const std::string &Text,
               const ordered_json &FinishReason) -> ordered_json {
  ordered_json Choice = {{"index", 0}};
  if (Endpoint == generation_endpoint::Chat)
    Choice["delta"] =
        Text.empty() ? ordered_json::object() : ordered_json{{"content", Text}};
  else
    Choice["text"] = Text;
  Choice["finish_reason"] = FinishReason;
  return {{"id", Id},
          {"object", objectType(Endpoint, true)},
          {"model", Model},
          {"choices", ordered_json::array({std::move(Choice)})}};
}

} // namespace

auto parseGeneration(std::string_view Body, generation_endpoint Endpoint)
    -> result<generation_request> {
  const auto Parsed = json::parse(Body, nullptr, false);
  if (Parsed.is_discarded())
    return malformedRequest("the body is not valid JSON in UTF-8");
  if (!Parsed.is_object())
    return malformedRequest("the body must be a JSON object");
  return parseFields(Parsed, Endpoint);
}

auto encodeError(const error &Error, std::string_view RequestId)
    -> std::string {
  const auto &Description = describe(Error.Code);
  const ordered_json Body = {
      {"error",
       {{"message", Error.Detail.empty() ? std::string(Description.Meaning)
                                         : Error.Detail},
        {"type", Description.Name},
        {"code", static_cast<unsigned>(Error.Code)},
        {"outcome", nameOf(Description.Outcome)},
        {"remedy", Description.Remedy},
        {"request_id", RequestId}}}};
  return serialize(Body);
}

auto encodeStreamChunk(generation_endpoint Endpoint, const std::string &Id,
                       const std::string &Model, const std::string &Text)
    -> std::string {
  return "data: " + serialize(makeChunk(Endpoint, Id, Model, Text, nullptr)) +
         "\n\n";
}

auto encodeStreamEnd(generation_endpoint Endpoint, const std::string &Id,
                     const std::string &Model) -> std::string {
  return "data: " + serialize(makeChunk(Endpoint, Id, Model, "", "stop")) +
         "\n\ndata: [DONE]\n\n";
}

auto encodeFullResponse(generation_endpoint Endpoint, const std::string &Id,
                        const std::string &Model, const std::string &Text,
                        std::uint32_t PromptTokens, std::uint32_t Tokens)
    -> std::string {
  ordered_json Choice = {{"index", 0}};
  if (Endpoint == generation_endpoint::Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  Choice["finish_reason"] = "stop";
  const ordered_json Body = {
      {"id", Id},
      {"object", objectType(Endpoint, false)},
      {"model", Model},
      {"choices", ordered_json::array({std::move(Choice)})},
      {"usage",
       {{"prompt_tokens", PromptTokens},
        {"completion_tokens", Tokens},
        {"total_tokens", PromptTokens + Tokens}}}};
  return serialize(Body);
}

auto encodeModels(const std::vector<std::string> &Names) -> std::string {
  ordered_json Rows = ordered_json::array();
  for (const auto &Name : Names)
    Rows.push_back({{"id", Name}, {"object", "model"}});
  return serialize({{"object", "list"}, {"data", std::move(Rows)}});
}

} // namespace limpetbridge
