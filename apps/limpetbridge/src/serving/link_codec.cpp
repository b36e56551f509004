#include "link_codec.h"

#include "base/message_pack.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetbridge {

namespace {

using json = nlohmann::json;
using namespace serving;

constexpr const char *KindKey = "k";

template <typename names> auto encodeNames(const names &Names) -> json {
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
        {Target.Text, Change.Model.Text, encodeNames(Change.Victims)});
  json Adapters = json::array();
  for (const auto &[Target, Adapter] : Digest.AdapterUse)
    Adapters.push_back({Target.Text, Adapter.first.Text, Adapter.second});
  json Leaving = json::array();
  for (const auto &[Target, Incarnation] : Digest.Leaving)
    Leaving.push_back({Target.Text, Incarnation});
  return {{KindKey, "digest"},
          {"f", Digest.From.Text},
          {"a", Digest.Address},
          {"n", Digest.Sequence},
          {"l", Loads},
          {"d", Demand},
          {"p", Prefixes},
          {"m", Loading},
          {"u", Adapters},
          {"c", Digest.Configuration},
          {"s", Digest.StoreReachable},
          {"z", Digest.DataCentre.Text},
          // Gateways of an older version must not follow this one, as they
          // can't read its answers.
          {"ta", -1},
          {"tr", Digest.TargetsReadAgeMs},
          {"tk", Digest.TargetsKnownAgeMs},
          {"tv", Digest.TargetsVersion},
          {"r", Digest.ReadyInMs},
          {"lv", Leaving}};
}

auto toJson(const greeting &Greeting) -> json {
  return {{KindKey, "greeting"},
          {"f", Greeting.From.Text},
          {"a", Greeting.Address}};
}

auto toJson(const holdings_report &Event) -> json {
  json Models = json::array();
  for (const auto &[Model, Held] : Event.Holdings.Models)
    Models.push_back({Model.Text, Held.Version, Held.Adapters});
  return {{KindKey, "holds"},
          {"a", Event.Address},
          {"b", Event.Incarnation},
          {"q", Event.Sequence},
          {"m", Models},
          {"r", encodeNames(Event.Holdings.InMemory)},
          {"o", encodeNames(Event.Holdings.OnDisk)},
          {"lv", Event.Leaves}};
}

auto toJson(const crash_report &Report) -> json {
  json Suspects = json::array();
  for (const auto &Item : Report.Suspects) {
    json Charges = json::array();
    for (const auto &Charge : Item.Charges)
      Charges.push_back({Charge.Run.Target.Text, Charge.Run.Incarnation,
                         Charge.AgeMs, Charge.AnswerBegun});
    Suspects.push_back({toString(Item.Suspect), Item.ServedAgeMs,
                        Item.RefusedAgeMs, std::move(Charges)});
  }
  return {{KindKey, "crashes"}, {"f", Report.From.Text}, {"s", Suspects}};
}

/// Reads an age. \throws json::exception if it is no whole number.
auto decodeAge(const json &Item) -> std::int64_t {
  constexpr std::int64_t MaxAgeMs = std::int64_t{7} * 24 * 3600 * 1000;
  return std::clamp(Item.get<std::int64_t>(), std::int64_t{-1}, MaxAgeMs);
}

auto decodeCrashes(const json &Object) -> crash_report {
  crash_report Report;
  Report.From = instance_name(Object.at("f").get<std::string>());
  for (const auto &Item : Object.at("s")) {
    const auto Suspect = parseSuspect(Item.at(0).get<std::string>());
    if (!Suspect) // Of a newer version.
      continue;
    suspect_report Known;
    Known.Suspect = *Suspect;
    Known.ServedAgeMs = decodeAge(Item.at(1));
    Known.RefusedAgeMs = decodeAge(Item.at(2));
    for (const auto &Charge : Item.at(3))
      Known.Charges.push_back(
          {{target_name(Charge.at(0).get<std::string>()),
            Charge.at(1).get<std::uint64_t>()},
           std::max(std::int64_t{0}, decodeAge(Charge.at(2))),
           Charge.at(3).get<bool>()});
    Report.Suspects.push_back(std::move(Known));
  }
  return Report;
}

auto decodeDigest(const json &Object) -> gateway_digest {
  gateway_digest Digest;
  Digest.From = instance_name(Object.at("f").get<std::string>());
  Digest.Address = Object.at("a").get<std::string>();
  Digest.Sequence = Object.value("n", std::uint64_t{0});
  for (const auto &Item : Object.at("l"))
    Digest.Loads[target_name(Item.at(0).get<std::string>())] = {
        Item.at(1).get<std::array<double, RankCount>>(),
        Item.at(2).get<std::array<std::uint32_t, RankCount>>()};
  for (const auto &Item : Object.at("d"))
    Digest.Demand[model_name(Item.at(0).get<std::string>())] = {
        Item.at(1).get<double>(), Item.at(2).get<double>()};
  for (const auto &Item : Object.at("p"))
    Digest.Prefixes.emplace_back(target_name(Item.at(0).get<std::string>()),
                                 Item.at(1).get<prefix_key>(),
                                 Item.at(2).get<std::uint32_t>());
  for (const auto &Item : Object.at("m")) {
    auto &Change = Digest.Loading[target_name(Item.at(0).get<std::string>())];
    Change.Model = model_name(Item.at(1).get<std::string>());
    for (const auto &Victim : Item.at(2))
      Change.Victims.emplace_back(Victim.get<std::string>());
  }
  Digest.Configuration = Object.at("c").get<std::uint64_t>();
  Digest.StoreReachable = Object.at("s").get<bool>();
  Digest.DataCentre = data_centre_name(Object.at("z").get<std::string>());
  Digest.TargetsReadAgeMs = Object.value("tr", std::int64_t{-1});
  Digest.TargetsVersion = Object.at("tv").get<std::uint64_t>();
  // Gateways of an older version do not send these.
  Digest.TargetsKnownAgeMs = Object.value("tk", std::int64_t{-1});
  Digest.ReadyInMs = Object.value("r", std::int64_t{0});
  if (const auto Leaving = Object.find("lv"); Leaving != Object.end())
    for (const auto &Item : *Leaving)
      Digest.Leaving[target_name(Item.at(0).get<std::string>())] =
          Item.at(1).get<std::uint64_t>();
  for (const auto &Item : Object.at("u"))
    Digest.AdapterUse.emplace(
        target_name(Item.at(0).get<std::string>()),
        adapter_key(model_name(Item.at(1).get<std::string>()),
                    Item.at(2).get<std::string>()));
  return Digest;
}

auto decodeNames(const json &Object) -> std::set<model_name> {
  std::set<model_name> Names;
  for (const auto &Item : Object)
    Names.insert(model_name(Item.get<std::string>()));
  return Names;
}

auto decodeHoldings(const json &Object) -> holdings_report {
  holdings_report Event;
  Event.Address = Object.at("a").get<std::string>();
  Event.Incarnation = Object.at("b").get<std::uint64_t>();
  Event.Sequence = Object.at("q").get<std::uint64_t>();
  for (const auto &Item : Object.at("m"))
    Event.Holdings.Models[model_name(Item.at(0).get<std::string>())] = {
        Item.at(1).get<std::uint64_t>(),
        Item.at(2).get<std::set<std::string>>()};
  Event.Holdings.InMemory = decodeNames(Object.at("r"));
  Event.Holdings.OnDisk = decodeNames(Object.at("o"));
  // Controllers of an older version do not send it.
  Event.Leaves = Object.value("lv", false);
  return Event;
}

} // namespace

auto encodeLink(const link_message &Message) -> std::string {
  const auto Json =
      std::visit([](const auto &Item) { return toJson(Item); }, Message);
  return toMessagePack(Json);
}

auto isDigest(std::string_view Bytes) -> bool {
  // The kind's key and value as MessagePack writes short texts.
  constexpr std::string_view Kind = "\xa1k\xa6"
                                    "digest";
  return Bytes.find(Kind) != std::string_view::npos;
}

auto decodeLink(std::string_view Bytes) -> result<link_message> {
  const auto Parsed = parseMessagePack(Bytes);
  if (!Parsed)
    return Parsed.error();
  const auto &Object = Parsed.value();
  try {
    const auto Kind = Object.at(KindKey).get<std::string>();
    if (Kind == "digest")
      return link_message(decodeDigest(Object));
    if (Kind == "greeting")
      return link_message(
          greeting{instance_name(Object.at("f").get<std::string>()),
                   Object.at("a").get<std::string>()});
    if (Kind == "holds")
      return link_message(decodeHoldings(Object));
    if (Kind == "crashes")
      return link_message(decodeCrashes(Object));
    return failure(result_code::MalformedRequest, "message kind " + Kind);
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
    const auto Object = json::parse(Bytes);
    load_request Request;
    Request.Target = target_name(Object.at("target").get<std::string>());
    Request.Model = model_name(Object.at("model").get<std::string>());
    Request.Adapter = Object.at("adapter").get<std::string>();
    for (const auto &Item : Object.at("victims"))
      Request.Victims.emplace_back(Item.get<std::string>());
    for (const auto &Item : Object.at("adapter_ages_ms"))
      Request.AdapterAgesMs[{model_name(Item.at(0).get<std::string>()),
                             Item.at(1).get<std::string>()}] =
          Item.at(2).get<std::int64_t>();
    return Request;
  } catch (const json::exception &Error) {
    return failure(result_code::MalformedRequest, Error.what());
  }
}

} // namespace limpetbridge
