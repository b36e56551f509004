#include "link_codec.h"

#include "base/json_text.h"
#include "base/message_pack_stream.h"
#include "quota_codec.h"
#include "serving/crash_messages.h"

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>

namespace limpetbridge {

namespace {

using json = nlohmann::json;
using namespace serving;

constexpr const char *KindKey = "k";

using writer = message_pack_writer;
using reader = message_pack_reader;
using fields = message_pack_fields;

/// Reads a name of any kind.
template <typename name> auto readName(reader &Reader) -> name {
  return name(std::string(Reader.readText()));
}

template <typename name> auto readName(const fields &Fields, const char *Key) {
  return name(Fields.text(Key));
}

template <typename names>
auto writeNames(writer &Writer, const names &Names) -> void {
  Writer.beginArray(Names.size());
  for (const auto &Name : Names)
    Writer.write(Name.Text);
}

template <typename number, std::size_t Size>
auto writeNumbers(writer &Writer, const std::array<number, Size> &Numbers)
    -> void {
  Writer.beginArray(Size);
  for (const auto Number : Numbers)
    Writer.write(Number);
}

auto readCount32(reader &Reader) -> std::uint32_t {
  const auto Value = Reader.readUnsigned();
  if (Value > UINT32_MAX)
    throw std::invalid_argument("a count is too large");
  return static_cast<std::uint32_t>(Value);
}

/// Reads a number that is not sent if it is 0: gateways of an older version do
/// not send it, and most deployments do not have it.
auto readOrZero(const fields &Fields, const char *Key) -> std::uint64_t {
  return Fields.contains(Key) ? Fields.at(Key).readUnsigned() : 0;
}

auto readOr(const fields &Fields, const char *Key, std::int64_t Default)
    -> std::int64_t {
  return Fields.contains(Key) ? Fields.at(Key).readInteger() : Default;
}

auto writeLoads(writer &Writer, const gateway_digest &Digest) -> void {
  Writer.write("l");
  Writer.beginArray(Digest.Loads.size());
  for (const auto &[Target, Load] : Digest.Loads) {
    Writer.beginArray(3);
    Writer.write(Target.Text);
    writeNumbers(Writer, Load.PendingMs);
    writeNumbers(Writer, Load.Active);
  }
}

auto writeDemand(writer &Writer, const gateway_digest &Digest) -> void {
  Writer.write("d");
  Writer.beginArray(Digest.Demand.size());
  for (const auto &[Model, Rate] : Digest.Demand) {
    Writer.beginArray(3);
    Writer.write(Model.Text);
    Writer.write(static_cast<double>(static_cast<float>(Rate.PerSecond)));
    Writer.write(static_cast<double>(static_cast<float>(Rate.WorkMsPerSecond)));
  }
}

auto writePrefixes(writer &Writer, const gateway_digest &Digest) -> void {
  Writer.write("p");
  Writer.beginArray(Digest.Prefixes.size());
  for (const auto &[Target, Key, Tokens] : Digest.Prefixes) {
    Writer.beginArray(3);
    Writer.write(Target.Text);
    Writer.write(Key);
    Writer.write(Tokens);
  }
}

auto writeModels(writer &Writer, const gateway_digest &Digest) -> void {
  Writer.write("m");
  Writer.beginArray(Digest.Loading.size());
  for (const auto &[Target, Change] : Digest.Loading) {
    Writer.beginArray(3);
    Writer.write(Target.Text);
    Writer.write(Change.Model.Text);
    writeNames(Writer, Change.Victims);
  }
}

auto writeAdapters(writer &Writer, const gateway_digest &Digest) -> void {
  Writer.write("u");
  Writer.beginArray(Digest.AdapterUse.size());
  for (const auto &[Target, Adapter] : Digest.AdapterUse) {
    Writer.beginArray(3);
    Writer.write(Target.Text);
    Writer.write(Adapter.first.Text);
    Writer.write(Adapter.second);
  }
}

auto writeLeaving(writer &Writer, const gateway_digest &Digest) -> void {
  Writer.write("lv");
  Writer.beginArray(Digest.Leaving.size());
  for (const auto &[Target, Incarnation] : Digest.Leaving) {
    Writer.beginArray(2);
    Writer.write(Target.Text);
    Writer.write(Incarnation);
  }
}

auto write(writer &Writer, const gateway_digest &Digest) -> void {
  constexpr std::size_t FieldCount = 19;
  const bool HasEra = Digest.StoreEra > 0;
  const bool HasGeneration = Digest.ConfigurationGeneration > 0;
  Writer.beginMap(FieldCount + (HasEra ? 1 : 0) + (HasGeneration ? 1 : 0) +
                  (Digest.Overloaded ? 1 : 0));
  Writer.writeField("a", Digest.Address);
  Writer.writeField("c", Digest.Configuration);
  Writer.writeField("ck", Digest.ConfigurationKnownAgeMs);
  writeDemand(Writer, Digest);
  if (HasEra)
    Writer.writeField("e", Digest.StoreEra);
  Writer.writeField("f", Digest.From.Text);
  if (HasGeneration)
    Writer.writeField("g", Digest.ConfigurationGeneration);
  Writer.writeField(KindKey, "digest");
  writeLoads(Writer, Digest);
  writeLeaving(Writer, Digest);
  writeModels(Writer, Digest);
  Writer.writeField("n", Digest.Sequence);
  if (Digest.Overloaded)
    Writer.writeField("ov", true);
  writePrefixes(Writer, Digest);
  Writer.writeField("r", Digest.ReadyInMs);
  Writer.writeField("s", Digest.StoreReachable);
  // Gateways of an older version must not follow this one, as they can't read
  // its answers.
  Writer.writeField("ta", std::int64_t{-1});
  Writer.writeField("tk", Digest.TargetsKnownAgeMs);
  Writer.writeField("tr", Digest.TargetsReadAgeMs);
  Writer.writeField("tv", Digest.TargetsVersion);
  writeAdapters(Writer, Digest);
  Writer.writeField("z", Digest.DataCentre.Text);
}

auto write(writer &Writer, const greeting &Greeting) -> void {
  const bool HasEra = Greeting.StoreEra > 0;
  Writer.beginMap(HasEra ? 4 : 3);
  Writer.writeField("a", Greeting.Address);
  if (HasEra)
    Writer.writeField("e", Greeting.StoreEra);
  Writer.writeField("f", Greeting.From.Text);
  Writer.writeField(KindKey, "greeting");
}

auto write(writer &Writer, const holdings_report &Event) -> void {
  Writer.beginMap(8);
  Writer.writeField("a", Event.Address);
  Writer.writeField("b", Event.Incarnation);
  Writer.writeField(KindKey, "holds");
  Writer.writeField("lv", Event.Leaves);
  Writer.write("m");
  Writer.beginArray(Event.Holdings.Models.size());
  for (const auto &[Model, Held] : Event.Holdings.Models) {
    Writer.beginArray(3);
    Writer.write(Model.Text);
    Writer.write(Held.Version);
    Writer.beginArray(Held.Adapters.size());
    for (const auto &Adapter : Held.Adapters)
      Writer.write(Adapter);
  }
  Writer.write("o");
  writeNames(Writer, Event.Holdings.OnDisk);
  Writer.writeField("q", Event.Sequence);
  Writer.write("r");
  writeNames(Writer, Event.Holdings.InMemory);
}

auto write(writer &Writer, const prefill_notice &Notice) -> void {
  Writer.beginMap(5);
  Writer.writeField("f", Notice.From.Text);
  Writer.writeField(KindKey, "prefill");
  Writer.writeField("p", Notice.PrefillMs);
  Writer.writeField("r", Notice.Rank);
  Writer.writeField("t", Notice.Target.Text);
}

auto writeCharges(writer &Writer,
                  const std::vector<suspect_report::charge> &Charges) -> void {
  Writer.beginArray(Charges.size());
  for (const auto &Charge : Charges) {
    Writer.beginArray(4);
    Writer.write(Charge.Run.Target.Text);
    Writer.write(Charge.Run.Incarnation);
    Writer.write(Charge.AgeMs);
    Writer.write(Charge.AnswerBegun);
  }
}

/// Suspects of which the same is known are written as one group, without which
/// a crash under a long prompt would take hundreds of messages.
auto write(writer &Writer, const crash_report &Report) -> void {
  const auto Groups = groupSuspects(Report.Suspects);
  const auto GroupCount = static_cast<std::size_t>(
      std::count_if(Groups.begin(), Groups.end(),
                    [](const auto &Group) { return Group.Ids.size() > 1; }));
  Writer.beginMap(GroupCount > 0 ? 4 : 3);
  Writer.writeField("f", Report.From.Text);
  if (GroupCount > 0) {
    Writer.write("g");
    Writer.beginArray(GroupCount);
    for (const auto &Group : Groups) {
      if (Group.Ids.size() == 1)
        continue;
      Writer.beginArray(5);
      Writer.write(static_cast<std::uint32_t>(Group.Known.Suspect.Kind));
      Writer.write(Group.Known.ServedAgeMs);
      Writer.write(Group.Known.RefusedAgeMs);
      writeCharges(Writer, Group.Known.Charges);
      Writer.beginArray(Group.Ids.size());
      for (const auto Id : Group.Ids)
        Writer.write(Id);
    }
  }
  Writer.writeField(KindKey, "crashes");
  Writer.write("s");
  Writer.beginArray(Groups.size() - GroupCount);
  for (const auto &Group : Groups) {
    if (Group.Ids.size() > 1)
      continue;
    Writer.beginArray(4);
    Writer.write(toString(Group.Known.Suspect));
    Writer.write(Group.Known.ServedAgeMs);
    Writer.write(Group.Known.RefusedAgeMs);
    writeCharges(Writer, Group.Known.Charges);
  }
}

auto write(writer &Writer, const quota_report &Report) -> void {
  writeQuotaReport(Writer, Report);
}

auto readAge(reader &Reader) -> std::int64_t {
  constexpr std::int64_t MaxAgeMs = std::int64_t{7} * 24 * 3600 * 1000;
  return std::clamp(Reader.readInteger(), std::int64_t{-1}, MaxAgeMs);
}

auto readCharge(reader &Reader) -> suspect_report::charge {
  suspect_report::charge Charge;
  Reader.readTuple(4, [&] {
    Charge.Run.Target = readName<target_name>(Reader);
    Charge.Run.Incarnation = Reader.readUnsigned();
    Charge.AgeMs = std::max(std::int64_t{0}, readAge(Reader));
    Charge.AnswerBegun = Reader.readBool();
  });
  return Charge;
}

auto readGroup(reader &Reader, std::vector<suspect_report> &Suspects) -> void {
  Reader.readTuple(5, [&] {
    const auto Kind = Reader.readUnsigned();
    suspect_report Known;
    Known.ServedAgeMs = readAge(Reader);
    Known.RefusedAgeMs = readAge(Reader);
    Reader.readItems([&] { Known.Charges.push_back(readCharge(Reader)); });
    Reader.readItems([&] {
      Known.Suspect.Id = Reader.readUnsigned();
      if (Kind > static_cast<std::uint64_t>(suspect_kind::Load) ||
          Suspects.size() >= crash_ledger::MaxSuspects)
        return; // Of a newer version, or more than can be kept.
      Known.Suspect.Kind = static_cast<suspect_kind>(Kind);
      Suspects.push_back(Known);
    });
  });
}

auto readCrashes(const fields &Fields) -> crash_report {
  crash_report Report;
  Report.From = readName<instance_name>(Fields, "f");
  auto Reader = Fields.at("s");
  Reader.readItems([&] {
    auto Item = Reader;
    Reader.skip();
    std::optional<suspect> Suspect;
    auto Head = Item;
    Head.readTuple(1, [&] { Suspect = parseSuspect(Head.readText()); });
    if (!Suspect) // Of a newer version.
      return;
    suspect_report Known;
    Known.Suspect = *Suspect;
    Item.readTuple(4, [&] {
      Item.skip();
      Known.ServedAgeMs = readAge(Item);
      Known.RefusedAgeMs = readAge(Item);
      Item.readItems([&] { Known.Charges.push_back(readCharge(Item)); });
    });
    Report.Suspects.push_back(std::move(Known));
  });
  if (!Fields.contains("g"))
    return Report;
  auto Groups = Fields.at("g");
  Groups.readItems([&] { readGroup(Groups, Report.Suspects); });
  return Report;
}

/// Calls \p ReadValues for each tuple of a list of \p Fields.
template <typename read_values>
auto readTuples(const fields &Fields, const char *Key, std::size_t Count,
                const read_values &ReadValues) -> void {
  auto Reader = Fields.at(Key);
  Reader.readItems(
      [&] { Reader.readTuple(Count, [&] { ReadValues(Reader); }); });
}

auto readLoad(reader &Reader) -> target_load {
  target_load Load;
  Reader.readTuple(RankCount, [&] {
    for (auto &PendingMs : Load.PendingMs)
      PendingMs = Reader.readNumber();
  });
  Reader.readTuple(RankCount, [&] {
    for (auto &Active : Load.Active)
      Active = readCount32(Reader);
  });
  return Load;
}

auto readLists(const fields &Fields, gateway_digest &Digest) -> void {
  // The senders' maps have the same order, so each entry belongs at the end.
  readTuples(Fields, "l", 3, [&](reader &Reader) {
    auto Target = readName<target_name>(Reader);
    Digest.Loads.insert_or_assign(Digest.Loads.end(), std::move(Target),
                                  readLoad(Reader));
  });
  readTuples(Fields, "d", 3, [&](reader &Reader) {
    auto Model = readName<model_name>(Reader);
    model_rate Rate;
    Rate.PerSecond = Reader.readNumber();
    Rate.WorkMsPerSecond = Reader.readNumber();
    Digest.Demand.insert_or_assign(Digest.Demand.end(), std::move(Model), Rate);
  });
  readTuples(Fields, "p", 3, [&](reader &Reader) {
    auto Target = readName<target_name>(Reader);
    const auto Key = Reader.readUnsigned();
    Digest.Prefixes.emplace_back(std::move(Target), Key, readCount32(Reader));
  });
  readTuples(Fields, "m", 3, [&](reader &Reader) {
    auto &Change = Digest.Loading[readName<target_name>(Reader)];
    Change.Model = readName<model_name>(Reader);
    Reader.readItems(
        [&] { Change.Victims.push_back(readName<model_name>(Reader)); });
  });
  readTuples(Fields, "u", 3, [&](reader &Reader) {
    auto Target = readName<target_name>(Reader);
    auto Model = readName<model_name>(Reader);
    Digest.AdapterUse.emplace(
        std::move(Target),
        adapter_key(std::move(Model), std::string(Reader.readText())));
  });
  // Gateways of an older version do not send it.
  if (Fields.contains("lv"))
    readTuples(Fields, "lv", 2, [&](reader &Reader) {
      auto Target = readName<target_name>(Reader);
      Digest.Leaving[std::move(Target)] = Reader.readUnsigned();
    });
}

auto readDigest(const fields &Fields) -> gateway_digest {
  gateway_digest Digest;
  Digest.From = readName<instance_name>(Fields, "f");
  Digest.Address = Fields.text("a");
  Digest.Sequence = readOrZero(Fields, "n");
  readLists(Fields, Digest);
  Digest.StoreEra = readOrZero(Fields, "e");
  Digest.Configuration = Fields.at("c").readUnsigned();
  Digest.ConfigurationGeneration = readOrZero(Fields, "g");
  Digest.StoreReachable = Fields.at("s").readBool();
  Digest.Overloaded = Fields.contains("ov") && Fields.at("ov").readBool();
  Digest.DataCentre = readName<data_centre_name>(Fields, "z");
  Digest.TargetsReadAgeMs = readOr(Fields, "tr", -1);
  Digest.TargetsVersion = Fields.at("tv").readUnsigned();
  // Gateways of an older version do not send these.
  Digest.ConfigurationKnownAgeMs = readOr(Fields, "ck", -1);
  Digest.TargetsKnownAgeMs = readOr(Fields, "tk", -1);
  Digest.ReadyInMs = readOr(Fields, "r", 0);
  return Digest;
}

auto readNames(const fields &Fields, const char *Key) -> std::set<model_name> {
  std::set<model_name> Names;
  auto Reader = Fields.at(Key);
  Reader.readItems([&] { Names.insert(readName<model_name>(Reader)); });
  return Names;
}

auto readHoldings(const fields &Fields) -> holdings_report {
  holdings_report Event;
  Event.Address = Fields.text("a");
  Event.Incarnation = Fields.at("b").readUnsigned();
  Event.Sequence = Fields.at("q").readUnsigned();
  readTuples(Fields, "m", 3, [&](reader &Reader) {
    auto &Held = Event.Holdings.Models[readName<model_name>(Reader)];
    Held.Version = Reader.readUnsigned();
    Reader.readItems([&] { Held.Adapters.emplace(Reader.readText()); });
  });
  Event.Holdings.InMemory = readNames(Fields, "r");
  Event.Holdings.OnDisk = readNames(Fields, "o");
  // Controllers of an older version do not send it.
  Event.Leaves = Fields.contains("lv") && Fields.at("lv").readBool();
  return Event;
}

} // namespace

auto encodeLink(const link_message &Message) -> std::string {
  writer Writer;
  std::visit([&](const auto &Item) { write(Writer, Item); }, Message);
  return Writer.take();
}

auto isDigest(std::string_view Bytes) -> bool {
  // The kind's key and value as MessagePack writes short texts.
  constexpr std::string_view Kind = "\xa1k\xa6"
                                    "digest";
  return Bytes.find(Kind) != std::string_view::npos;
}

auto decodeLink(std::string_view Bytes) -> result<link_message> {
  try {
    const fields Fields(Bytes);
    const auto Kind = Fields.text(KindKey);
    if (Kind == "digest")
      return link_message(readDigest(Fields));
    if (Kind == "greeting")
      return link_message(greeting{readName<instance_name>(Fields, "f"),
                                   Fields.text("a"), readOrZero(Fields, "e")});
    if (Kind == "holds")
      return link_message(readHoldings(Fields));
    if (Kind == "prefill")
      return link_message(prefill_notice{readName<instance_name>(Fields, "f"),
                                         readName<target_name>(Fields, "t"),
                                         Fields.at("r").readUnsigned(),
                                         Fields.at("p").readNumber()});
    if (Kind == "crashes")
      return link_message(readCrashes(Fields));
    if (Kind == "quota")
      return link_message(readQuotaReport(Fields));
    return failure(result_code::MalformedRequest, "message kind " + Kind);
  } catch (const std::exception &Error) {
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
  return toJsonText(json{{"target", Request.Target.Text},
                         {"model", Request.Model.Text},
                         {"adapter", Request.Adapter},
                         {"victims", Victims},
                         {"adapter_ages_ms", Ages}});
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
