#include "link_codec.h"

#include <nlohmann/json.hpp>

namespace limpetbridge {

namespace {

using json = nlohmann::json;
using namespace serving;

constexpr const char *Kind = "k";

template <typename names> auto namesOf(const names &Names) -> json {
  json Array = json::array();
  for (const auto &Name : Names)
    Array.push_back(Name.Text);
  return Array;
}

auto toJson(const gateway_digest &Digest) -> json {
  json Loads = json::array();
  for (const auto &[Target, Load] : Digest.Loads)
    Loads.push_back({Target.Text, Load.PendingMs, Load.Active});
  json Demand = json::array();
  for (const auto &[Model, Rate] : Digest.Demand)
    Demand.push_back({Model.Text, static_cast<float>(Rate.PerSecond),
                      static_cast<float>(Rate.WorkMsPerSecond)});
  json Prefixes = json::array();
  for (const auto &[Target, Key, Tokens] : Digest.Prefixes)
    Prefixes.push_back({Target.Text, Key, Tokens});
  json Loading = json::array();
  for (const auto &[Target, Change] : Digest.Loading)
    Loading.push_back(
        {Target.Text, Change.Model.Text, namesOf(Change.Victims)});
  json Adapters = json::array();
  for (const auto &[Target, Adapter] : Digest.AdapterUse)
    Adapters.push_back({Target.Text, Adapter.first.Text, Adapter.second});
  return {{Kind, "digest"},
          {"f", Digest.From.Text},
          {"a", Digest.Address},
          {"l", Loads},
          {"d", Demand},
          {"p", Prefixes},
          {"m", Loading},
          {"u", Adapters},
          {"c", Digest.Configuration},
          {"s", Digest.StoreReachable}};
}

auto toJson(const greeting &Greeting) -> json {
  return {
      {Kind, "greeting"}, {"f", Greeting.From.Text}, {"a", Greeting.Address}};
}

auto toJson(const holdings_report &Event) -> json {
  json Models = json::array();
  for (const auto &[Model, Held] : Event.Holdings.Models)
    Models.push_back({Model.Text, Held.Version, Held.Adapters});
  return {{Kind, "holds"},
          {"a", Event.Address},
          {"b", Event.Incarnation},
          {"q", Event.Sequence},
          {"m", Models},
          {"r", namesOf(Event.Holdings.InMemory)},
          {"o", namesOf(Event.Holdings.OnDisk)}};
}

auto toDigest(const json &From) -> gateway_digest {
  gateway_digest Digest;
  Digest.From = instance_name(From.at("f").get<std::string>());
  Digest.Address = From.at("a").get<std::string>();
  for (const auto &Each : From.at("l"))
    Digest.Loads[target_name(Each.at(0).get<std::string>())] = {
        Each.at(1).get<std::array<double, RankCount>>(),
        Each.at(2).get<std::uint32_t>()};
  for (const auto &Each : From.at("d"))
    Digest.Demand[model_name(Each.at(0).get<std::string>())] = {
        Each.at(1).get<double>(), Each.at(2).get<double>()};
  for (const auto &Each : From.at("p"))
    Digest.Prefixes.emplace_back(target_name(Each.at(0).get<std::string>()),
                                 Each.at(1).get<prefix_key>(),
                                 Each.at(2).get<std::uint32_t>());
  for (const auto &Each : From.at("m")) {
    auto &Change = Digest.Loading[target_name(Each.at(0).get<std::string>())];
    Change.Model = model_name(Each.at(1).get<std::string>());
    for (const auto &Victim : Each.at(2))
      Change.Victims.emplace_back(Victim.get<std::string>());
  }
  Digest.Configuration = From.at("c").get<std::uint64_t>();
  Digest.StoreReachable = From.at("s").get<bool>();
  for (const auto &Each : From.at("u"))
    Digest.AdapterUse.emplace(
        target_name(Each.at(0).get<std::string>()),
        adapter_key(model_name(Each.at(1).get<std::string>()),
                    Each.at(2).get<std::string>()));
  return Digest;
}

auto toNames(const json &From) -> std::set<model_name> {
  std::set<model_name> Names;
  for (const auto &Each : From)
    Names.insert(model_name(Each.get<std::string>()));
  return Names;
}

auto toHoldings(const json &From) -> holdings_report {
  holdings_report Event;
  Event.Address = From.at("a").get<std::string>();
  Event.Incarnation = From.at("b").get<std::uint64_t>();
  Event.Sequence = From.at("q").get<std::uint64_t>();
  for (const auto &Each : From.at("m"))
    Event.Holdings.Models[model_name(Each.at(0).get<std::string>())] = {
        Each.at(1).get<std::uint64_t>(),
        Each.at(2).get<std::set<std::string>>()};
  Event.Holdings.InMemory = toNames(From.at("r"));
  Event.Holdings.OnDisk = toNames(From.at("o"));
  return Event;
}

} // namespace

auto encodeLink(const link_message &Message) -> std::string {
  const auto Json =
      std::visit([](const auto &Each) { return toJson(Each); }, Message);
  std::string Bytes;
  json::to_msgpack(Json, Bytes);
  return Bytes;
}

auto decodeLink(std::string_view Bytes) -> result<link_message> {
  try {
    const auto From = json::from_msgpack(Bytes.begin(), Bytes.end());
    const auto Word = From.at(Kind).get<std::string>();
    if (Word == "digest")
      return link_message(toDigest(From));
    if (Word == "greeting")
      return link_message(
          greeting{instance_name(From.at("f").get<std::string>()),
                   From.at("a").get<std::string>()});
    if (Word == "holds")
      return link_message(toHoldings(From));
    return failure(result_code::MalformedRequest, "message kind " + Word);
  } catch (const json::exception &Error) {
    return failure(result_code::MalformedRequest, Error.what());
  }
}

auto encodeLoad(const load_request &Request) -> std::string {
  json Victims = json::array();
  for (const auto &Victim : Request.Victims)
    Victims.push_back(Victim.Text);
  json Ages = json::array();
  for (const auto &[Adapter, Age] : Request.AdapterAgesMs)
    Ages.push_back({Adapter.first.Text, Adapter.second, Age});
  return json{{"target", Request.Target.Text},
              {"model", Request.Model.Text},
              {"adapter", Request.Adapter},
              {"victims", Victims},
              {"adapter_ages_ms", Ages}}
      .dump();
}

auto decodeLoad(std::string_view Bytes) -> result<load_request> {
  try {
    const auto From = json::parse(Bytes);
    load_request Request;
    Request.Target = target_name(From.at("target").get<std::string>());
    Request.Model = model_name(From.at("model").get<std::string>());
    Request.Adapter = From.at("adapter").get<std::string>();
    for (const auto &Each : From.at("victims"))
      Request.Victims.emplace_back(Each.get<std::string>());
    for (const auto &Each : From.at("adapter_ages_ms"))
      Request.AdapterAgesMs[{model_name(Each.at(0).get<std::string>()),
                             Each.at(1).get<std::string>()}] =
          Each.at(2).get<std::int64_t>();
    return Request;
  } catch (const json::exception &Error) {
    return failure(result_code::MalformedRequest, Error.what());
  }
}

} // namespace limpetbridge
