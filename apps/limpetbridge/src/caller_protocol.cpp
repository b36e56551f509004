#include "caller_protocol.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetbridge {

namespace {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

constexpr std::uint32_t DefaultMaxTokens = 256;
constexpr std::uint32_t MostTokens = 1'000'000;
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PrefixBytes = 1024; ///< Start of a prompt that is hashed.

auto malformed(std::string Detail) -> error {
  return failure(result_code::MalformedRequest, std::move(Detail));
}

/// The text of a message's content: a string, or parts of type text.
auto contentText(const json &Content) -> result<std::string> {
  if (Content.is_string())
    return Content.get<std::string>();
  if (!Content.is_array())
    return malformed("messages: content must be a text or a list of parts");
  std::string Text;
  for (const auto &Part : Content) {
    if (!Part.is_object() || !Part.contains("text") ||
        !Part["text"].is_string())
      return malformed("messages: only parts with a text are served");
    Text += Part["text"].get<std::string>();
  }
  return Text;
}

auto chatPrompt(const json &Body) -> result<std::string> {
  if (!Body.contains("messages") || !Body["messages"].is_array() ||
      Body["messages"].empty())
    return malformed("messages: a list with at least one message is required");
  std::string Prompt;
  for (const auto &Message : Body["messages"]) {
    if (!Message.is_object() || !Message.contains("content"))
      return malformed("messages: each needs a role and a content");
    auto Text = contentText(Message["content"]);
    if (!Text)
      return Text.error();
    const auto Role = Message.value("role", json("user"));
    if (!Role.is_string())
      return malformed("messages: role must be a text");
    Prompt += Role.get<std::string>() + ": " + Text.value() + "\n";
  }
  return Prompt;
}

auto completionPrompt(const json &Body) -> result<std::string> {
  if (!Body.contains("prompt") || !Body["prompt"].is_string())
    return malformed("prompt: a text is required");
  return Body["prompt"].get<std::string>();
}

auto maxTokens(const json &Body) -> result<std::uint32_t> {
  if (!Body.contains("max_tokens"))
    return DefaultMaxTokens;
  const auto &Field = Body["max_tokens"];
  const bool Fits = Field.is_number_integer() &&
                    Field.get<std::int64_t>() >= 1 &&
                    Field.get<std::int64_t>() <= MostTokens;
  if (!Fits)
    return malformed("max_tokens: expected a whole number from 1 to " +
                     std::to_string(MostTokens));
  return Field.get<std::uint32_t>();
}

auto readFields(const json &Body, generation_shape Shape)
    -> result<generation_request> {
  generation_request Request;
  if (!Body.contains("model") || !Body["model"].is_string())
    return malformed("model: a name is required");
  Request.Model = Body["model"].get<std::string>();
  auto Prompt = Shape == generation_shape::Chat ? chatPrompt(Body)
                                                : completionPrompt(Body);
  if (!Prompt)
    return Prompt.error();
  auto Tokens = maxTokens(Body);
  if (!Tokens)
    return Tokens.error();
  const auto Stream = Body.value("stream", json(false));
  if (!Stream.is_boolean())
    return malformed("stream: expected true or false");
  Request.Stream = Stream.get<bool>();
  Request.MaxTokens = Tokens.value();
  Request.Prompt = std::move(Prompt.value());
  Request.PromptTokens =
      static_cast<std::uint32_t>(Request.Prompt.size() / BytesPerToken + 1);
  Request.PrefixHash =
      stableHash(std::string_view(Request.Prompt).substr(0, PrefixBytes));
  return Request;
}

auto objectName(generation_shape Shape, bool Chunk) -> const char * {
  if (Shape == generation_shape::Completion)
    return "text_completion";
  return Chunk ? "chat.completion.chunk" : "chat.completion";
}

auto dump(const ordered_json &Body) -> std::string {
  return Body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

auto chunkBody(generation_shape Shape, const std::string &Id,
               const std::string &Model, const std::string &Text,
               const ordered_json &Finish) -> ordered_json {
  ordered_json Choice = {{"index", 0}};
  if (Shape == generation_shape::Chat)
    Choice["delta"] =
        Text.empty() ? ordered_json::object() : ordered_json{{"content", Text}};
  else
    Choice["text"] = Text;
  Choice["finish_reason"] = Finish;
  return {{"id", Id},
          {"object", objectName(Shape, true)},
          {"model", Model},
          {"choices", ordered_json::array({std::move(Choice)})}};
}

} // namespace

auto parseGeneration(std::string_view Body, generation_shape Shape)
    -> result<generation_request> {
  const auto Parsed = json::parse(Body, nullptr, false);
  if (Parsed.is_discarded())
    return malformed("the body is not JSON in UTF-8");
  if (!Parsed.is_object())
    return malformed("the body must be a JSON object");
  return readFields(Parsed, Shape);
}

auto encodeError(const error &Error, std::string_view RequestId)
    -> std::string {
  const auto &Row = describe(Error.Code);
  const ordered_json Body = {
      {"error",
       {{"message",
         Error.Detail.empty() ? std::string(Row.Meaning) : Error.Detail},
        {"type", Row.Name},
        {"code", static_cast<unsigned>(Error.Code)},
        {"outcome", nameOf(Row.Outcome)},
        {"remedy", Row.Remedy},
        {"request_id", RequestId}}}};
  return dump(Body);
}

auto encodeChunk(generation_shape Shape, const std::string &Id,
                 const std::string &Model, const std::string &Text)
    -> std::string {
  return "data: " + dump(chunkBody(Shape, Id, Model, Text, nullptr)) + "\n\n";
}

auto encodeFinish(generation_shape Shape, const std::string &Id,
                  const std::string &Model) -> std::string {
  return "data: " + dump(chunkBody(Shape, Id, Model, "", "stop")) +
         "\n\ndata: [DONE]\n\n";
}

auto encodeWhole(generation_shape Shape, const std::string &Id,
                 const std::string &Model, const std::string &Text,
                 std::uint32_t PromptTokens, std::uint32_t Tokens)
    -> std::string {
  ordered_json Choice = {{"index", 0}};
  if (Shape == generation_shape::Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  Choice["finish_reason"] = "stop";
  const ordered_json Body = {
      {"id", Id},
      {"object", objectName(Shape, false)},
      {"model", Model},
      {"choices", ordered_json::array({std::move(Choice)})},
      {"usage",
       {{"prompt_tokens", PromptTokens},
        {"completion_tokens", Tokens},
        {"total_tokens", PromptTokens + Tokens}}}};
  return dump(Body);
}

auto encodeModels(const std::vector<std::string> &Names) -> std::string {
  ordered_json Rows = ordered_json::array();
  for (const auto &Name : Names)
    Rows.push_back({{"id", Name}, {"object", "model"}});
  return dump({{"object", "list"}, {"data", std::move(Rows)}});
}

} // namespace limpetbridge
