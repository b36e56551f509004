#include "explain_client.h"

#include "net/target_connection.h"

#include <sstream>

namespace limpetbridge {

namespace {

constexpr duration AnswerTimeout = seconds(5);

auto trim(std::string_view Text) -> std::string {
  constexpr std::string_view Blanks = " \t\r";
  const auto First = Text.find_first_not_of(Blanks);
  return First == std::string_view::npos
             ? std::string()
             : std::string(Text.substr(First, Text.find_last_not_of(Blanks) -
                                                  First + 1));
}

} // namespace

auto parseRequestText(std::string_view Text) -> result<net::http_request> {
  std::istringstream Lines{std::string(Text)};
  std::string Line;
  std::getline(Lines, Line);
  net::http_request Request;
  std::istringstream RequestLine(Line);
  RequestLine >> Request.Method >> Request.Target;
  if (!Request.Target.starts_with('/'))
    return failure(result_code::MalformedRequest,
                   "the request line has no path that begins with /");
  while (std::getline(Lines, Line) && !trim(Line).empty()) {
    const auto Colon = Line.find(':');
    // The line may hold a key, so the message does not quote it.
    if (Colon == 0 || Colon == std::string::npos)
      return failure(result_code::MalformedRequest,
                     "header field " +
                         std::to_string(Request.Fields.size() + 1) +
                         " has no name");
    Request.Fields.push_back(
        {trim(Line.substr(0, Colon)), trim(Line.substr(Colon + 1))});
  }
  return Request;
}

auto fetchExplanation(const std::string &Address,
                      const net::http_request &Request, bool AsJson)
    -> result<std::string> {
  net::http_request Question;
  Question.Fields = net::endToEndFields(Request.Fields);
  Question.Target = std::string(AsJson ? ExplainJsonPath : ExplainPath) +
                    Request.Target.substr(1);
  net::asio::io_context Context;
  std::optional<net::http_response> Answer;
  const auto Ask = [&]() -> net::awaitable<void> {
    Answer = co_await net::fetch(Context.get_executor(), Address, Question,
                                 process_clock::now() + AnswerTimeout);
  };
  net::spawn(Context.get_executor(), Ask());
  Context.run();
  constexpr std::uint16_t StatusOk = 200;
  if (!Answer)
    return failure(result_code::TargetUnreachable,
                   "no answer of the gateway at " + Address);
  if (Answer->Head.Status != StatusOk)
    return failure(result_code::MalformedRequest,
                   "the gateway cannot read the request: " + Answer->Body);
  return std::move(Answer->Body);
}

} // namespace limpetbridge
