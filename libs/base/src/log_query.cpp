#include "base/log_query.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace limpetbridge {

namespace {

// Ordered: fields come in the order in which they were written.
using json = nlohmann::ordered_json;

auto fieldOf(const log_record &Record, const std::string &Name) -> std::string {
  for (const auto &[Key, Value] : Record.Fields)
    if (Key == Name)
      return Value;
  return "";
}

auto matches(const log_record &Record, const log_filter &Filter) -> bool {
  return (Filter.Request.empty() ||
          fieldOf(Record, "request") == Filter.Request) &&
         (Filter.Target.empty() ||
          fieldOf(Record, "target") == Filter.Target) &&
         (Filter.Event.empty() || Record.Event == Filter.Event) &&
         (!Filter.FailuresOnly || Record.Level == "warning" ||
          Record.Level == "error");
}

/// \throws json::exception if \p Text is no line of a log.
auto parseRecord(std::string Text) -> log_record {
  const auto From = json::parse(Text);
  log_record Record;
  Record.TimeMs = From.at("time_ms").get<std::int64_t>();
  Record.Level = From.at("level").get<std::string>();
  Record.Instance = From.at("instance").get<std::string>();
  Record.Event = From.at("event").get<std::string>();
  for (const auto &[Key, Value] : From.items())
    if (Key != "time_ms" && Key != "level" && Key != "instance" &&
        Key != "event")
      Record.Fields.emplace_back(
          Key, Value.is_string() ? Value.get<std::string>() : Value.dump());
  Record.Text = std::move(Text);
  return Record;
}

} // namespace

auto readLog(std::istream &Log, const log_filter &Filter, log_answer &Answer)
    -> void {
  for (std::string Line; std::getline(Log, Line);) {
    const auto Begin = Line.find('{');
    if (Begin == std::string::npos)
      continue;
    try {
      auto Record = parseRecord(Line.substr(Begin));
      if (matches(Record, Filter))
        Answer.Records.push_back(std::move(Record));
    } catch (const json::exception &) {
      ++Answer.Unreadable; // Told to whoever asked.
    }
  }
}

auto mergeLogs(log_answer &Answer) -> void {
  // A clock that steps back must not turn cause and effect around.
  std::map<std::string, std::int64_t> Latest;
  std::vector<std::pair<std::int64_t, log_record>> Timed;
  for (auto &Record : Answer.Records) {
    auto &Last = Latest[Record.Instance];
    Last = std::max(Last, Record.TimeMs);
    Timed.emplace_back(Last, std::move(Record));
  }
  std::stable_sort(Timed.begin(), Timed.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  Answer.Records.clear();
  for (auto &[Time, Record] : Timed)
    Answer.Records.push_back(std::move(Record));
}

auto printRecord(const log_record &Record) -> std::string {
  std::string Text = std::to_string(Record.TimeMs) + " " + Record.Instance +
                     " " + Record.Event;
  for (const auto &[Key, Value] : Record.Fields)
    if (!Value.empty())
      Text.append(" ").append(Key).append("=").append(Value);
  return Text;
}

} // namespace limpetbridge
