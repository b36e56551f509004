#include "caller_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

constexpr const char *JsonType = "application/json";
constexpr auto Patience = std::chrono::seconds(90);

auto msSince(std::chrono::steady_clock::time_point Start) -> double {
  const auto Span = std::chrono::steady_clock::now() - Start;
  return std::chrono::duration<double, std::milli>(Span).count();
}

auto makeClient(const std::string &Host, std::uint16_t Port)
    -> std::unique_ptr<httplib::Client> {
  auto Client = std::make_unique<httplib::Client>(Host, Port);
  Client->set_tcp_nodelay(true);
  Client->set_read_timeout(Patience);
  return Client;
}

/// Takes the events of a stream apart.
struct event_reader {
  std::string Rest;
  caller_answer &Answer;
  std::chrono::steady_clock::time_point Start;

  auto feed(const char *Data, std::size_t Length) -> void {
    Answer.Body.append(Data, Length);
    Rest.append(Data, Length);
    for (;;) {
      const auto End = Rest.find("\n\n");
      if (End == std::string::npos)
        return;
      take(Rest.substr(0, End));
      Rest.erase(0, End + 2);
    }
  }

  auto take(const std::string &Event) -> void {
    if (!Event.starts_with("data: "))
      return;
    const auto Data = Event.substr(6);
    if (Data == "[DONE]") {
      Answer.Done = true;
      return;
    }
    const auto Body = json::parse(Data, nullptr, false);
    if (!Body.is_object() || !Body.contains("choices"))
      return;
    const auto &Delta = Body["choices"][0]["delta"];
    if (!Delta.contains("content"))
      return;
    if (Answer.Text.empty())
      Answer.FirstTokenMs = msSince(Start);
    Answer.Text += Delta["content"].get<std::string>();
  }
};

auto toAnswer(const httplib::Result &Result) -> caller_answer {
  caller_answer Answer;
  if (!Result)
    return Answer;
  Answer.Status = Result->status;
  Answer.Outcome = Result->get_header_value("X-Outcome");
  Answer.Body = Result->body;
  Answer.Text = Result->body;
  return Answer;
}

} // namespace

caller_client::caller_client(std::string Host, std::uint16_t Port,
                             std::string Token)
    : Host(std::move(Host)), Port(Port), Token(std::move(Token)) {}

auto caller_client::chat(const std::string &Model, const std::string &Prompt,
                         std::uint32_t Tokens) const -> caller_answer {
  caller_answer Answer;
  event_reader Reader{"", Answer, std::chrono::steady_clock::now()};
  const json Body = {
      {"model", Model},
      {"stream", true},
      {"max_tokens", Tokens},
      {"messages", json::array({{{"role", "user"}, {"content", Prompt}}})}};
  httplib::Request Request;
  Request.method = "POST";
  Request.path = "/v1/chat/completions";
  Request.set_header("Authorization", "Bearer " + Token);
  Request.set_header("Content-Type", JsonType);
  Request.body = Body.dump();
  Request.content_receiver = [&](const char *Data, std::size_t Length,
                                 std::uint64_t, std::uint64_t) {
    Reader.feed(Data, Length);
    return true;
  };
  const auto Client = makeClient(Host, Port);
  const auto Result = Client->send(Request);
  Answer.TotalMs = msSince(Reader.Start);
  if (!Result) {
    Answer.Body += httplib::to_string(Result.error());
    return Answer;
  }
  Answer.Status = Result->status;
  Answer.Outcome = Result->get_header_value("X-Outcome");
  return Answer;
}

auto caller_client::call(const std::string &Service,
                         const std::string &Operation, const std::string &Body,
                         const std::string &Key) const -> caller_answer {
  httplib::Headers Headers = {{"Authorization", "Bearer " + Token}};
  if (!Key.empty())
    Headers.emplace("Idempotency-Key", Key);
  const auto Path = "/v1/services/" + Service + "/" + Operation;
  const auto Start = std::chrono::steady_clock::now();
  auto Answer = toAnswer(
      makeClient(Host, Port)->Post(Path.c_str(), Headers, Body, JsonType));
  Answer.TotalMs = msSince(Start);
  return Answer;
}

auto caller_client::get(const std::string &Path) const -> caller_answer {
  const httplib::Headers Headers = {{"Authorization", "Bearer " + Token}};
  return toAnswer(makeClient(Host, Port)->Get(Path.c_str(), Headers));
}

auto caller_client::post(const std::string &Path, const std::string &Body) const
    -> caller_answer {
  const httplib::Headers Headers = {{"Authorization", "Bearer " + Token}};
  return toAnswer(
      makeClient(Host, Port)->Post(Path.c_str(), Headers, Body, JsonType));
}

} // namespace limpetbridge
