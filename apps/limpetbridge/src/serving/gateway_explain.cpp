/// The operators' page that explains where a request would go.
#include "explain_client.h"
#include "explain_page.h"
#include "gateway_node.h"

namespace limpetbridge {

auto gateway_node::handleExplainCall(net::http_request Request)
    -> net::http_response {
  const bool AsJson = Request.Target.starts_with(ExplainJsonPath);
  const auto Prefix = AsJson ? ExplainJsonPath : ExplainPath;
  Request.Target.erase(0, Prefix.size() - 1);
  const auto Now = process_clock::now();
  const auto Call = Hooks.ParseCall(Request, Now);
  net::http_response Response;
  Response.Head.Fields.push_back(
      {"Content-Type", AsJson ? "application/json" : "text/plain"});
  constexpr std::uint16_t StatusOk = 200;
  Response.Head.Status = StatusOk;
  if (!Call) {
    Response.Head.Status = describe(Call.error().Code).HttpStatus;
    Response.Body = toString(Call.error()) + "\n";
    return Response;
  }
  const auto Explanation = serving::explain(State, Call.value(), Now);
  Response.Body =
      AsJson ? explanationJson(Explanation) : explanationText(Explanation);
  return Response;
}

} // namespace limpetbridge
