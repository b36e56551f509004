#include "catalogue/catalogue.h"

#include <nlohmann/json.hpp>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

/// Encodes as `[verb, kind, name, [[field, value], ...]]`.
auto encodeOperation(const operation &Operation) -> json {
  json Fields = json::array();
  for (const auto &Field : Operation.Fields)
    Fields.push_back(json::array({Field.Name, Field.Value}));
  return json::array({nameOf(Operation.Verb), nameOf(Operation.Kind),
                      Operation.Name, std::move(Fields)});
}

auto malformedChange(const std::string &Reason) -> error {
  return failure(result_code::MalformedRequest, "change: " + Reason);
}

auto decodeOperation(const json &Encoded) -> result<operation> {
  const auto Verb = parseOperationVerb(Encoded.at(0).get<std::string>());
  const auto Kind = parseDeclarationKind(Encoded.at(1).get<std::string>());
  if (!Verb || !Kind)
    return malformedChange("operation has an unknown verb or kind");
  operation Operation{*Verb, *Kind, Encoded.at(2).get<std::string>(), {}};
  for (const auto &Field : Encoded.at(3))
    Operation.Fields.push_back(
        {Field.at(0).get<std::string>(), Field.at(1).get<std::string>()});
  return Operation;
}

/// Decodes a change. Throws json::exception if a key or type is wrong.
auto decodeChangeJson(const json &Body) -> result<change> {
  change Change;
  Change.Id = change_id(Body.at("id").get<std::string>());
  Change.Revision = {Body.at("revision").get<std::uint64_t>()};
  for (const auto &Encoded : Body.at("operations")) {
    auto Operation = decodeOperation(Encoded);
    if (!Operation)
      return Operation.error();
    Change.Operations.push_back(std::move(Operation.value()));
  }
  return Change;
}

} // namespace

auto encodeChange(const change &Change) -> std::string {
  json Operations = json::array();
  for (const auto &Operation : Change.Operations)
    Operations.push_back(encodeOperation(Operation));
  const json Body = {{"id", Change.Id.Text},
                     {"revision", Change.Revision.Value},
                     {"operations", std::move(Operations)}};
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto decodeChange(std::string_view Text) -> result<change> {
  const auto Body = json::parse(Text, nullptr, false);
  if (Body.is_discarded())
    return malformedChange("text is not valid JSON");
  try {
    return decodeChangeJson(Body);
  } catch (const json::exception &Error) {
    return malformedChange(Error.what());
  }
}

} // namespace limpetbridge
