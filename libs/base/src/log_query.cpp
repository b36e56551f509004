#include "base/log_query.h"

#include "base/json_text.h"

#include <algorithm>
#include <map>

namespace limpetbridge {

namespace {

// The ordered variant keeps the fields in the order in which they were written.
using json = nlohmann::ordered_json;

/// Value of the field \p Name, or empty if the record has none.
auto findField(const log_record &Record, const std::string &Name)
    -> std::string {
  for (const auto &[Key, Value] : Record.Fields)
    if (Key == Name)
      return Value;
  return "";
}

auto matches(const log_record &Record, const log_filter &Filter) -> bool {
  return (Filter.Request.empty() ||
          findField(Record, "request") == Filter.Request) &&
         (Filter.Target.empty() ||
          findField(Record, "target") == Filter.Target) &&
         (Filter.Event.empty() || Record.Event == Filter.Event) &&
         (!Filter.FailuresOnly || Record.Level == "warning" ||
          Record.Level == "error");
}

/// Parses the JSON object of one log line.
/// \throws json::exception if \p Text is not a valid record.
auto parseRecord(std::string Text) -> log_record {
  const auto Object = json::parse(Text);
  log_record Record;
  Record.TimeMs = Object.at("time_ms").get<std::int64_t>();
  Record.Level = Object.at("level").get<std::string>();
  Record.Instance = Object.at("instance").get<std::string>();
  Record.Event = Object.at("event").get<std::string>();
  for (const auto &[Key, Value] : Object.items())
    if (Key != "time_ms" && Key != "level" && Key != "instance" &&
        Key != "event")
      Record.Fields.emplace_back(Key, Value.is_string()
                                          ? Value.get<std::string>()
                                          : toJsonText(Value));
  Record.Text = std::move(Text);
  return Record;
}

} // namespace

auto readLog(std::istream &Log, const log_filter &Filter,
             log_query_result &Result) -> void {
  for (std::string Line; std::getline(Log, Line);) {
    const auto Begin = Line.find('{');
    if (Begin == std::string::npos)
      continue;
    try {
      auto Record = parseRecord(Line.substr(Begin));
      if (matches(Record, Filter))
        Result.Records.push_back(std::move(Record));
    } catch (const json::exception &) {
      ++Result.Unreadable; // Counted so that tools can report it.
    }
  }
}

auto mergeLogs(log_query_result &Result) -> void {
  // Sorts by the highest time seen so far from each instance, so that a clock
  // that steps back does not put an effect before its cause.
  std::map<std::string, std::int64_t> LatestByInstance;
  std::vector<std::pair<std::int64_t, log_record>> Ordered;
  for (auto &Record : Result.Records) {
    auto &LatestMs = LatestByInstance[Record.Instance];
    LatestMs = std::max(LatestMs, Record.TimeMs);
    Ordered.emplace_back(LatestMs, std::move(Record));
  }
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  Result.Records.clear();
  for (auto &[Time, Record] : Ordered)
    Result.Records.push_back(std::move(Record));
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
