#include "base/log.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <chrono>

INITIALIZE_EASYLOGGINGPP

namespace limpetbridge {

namespace {

std::string InstanceName; // NOLINT: set once by startLog

auto nameOf(log_level Level) -> const char * {
  switch (Level) {
  case log_level::Debug:
    return "debug";
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  case log_level::Error:
    return "error";
  }
  return "error";
}

auto wallMilliseconds() -> std::int64_t {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

} // namespace

auto startLog(const std::string &Instance, const std::string &File) -> void {
  InstanceName = Instance;
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::Format, "%msg");
  const bool ToOutput = File == "-";
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput,
                       ToOutput ? "true" : "false");
  Settings.setGlobally(el::ConfigurationType::ToFile,
                       ToOutput ? "false" : "true");
  if (!ToOutput)
    Settings.setGlobally(el::ConfigurationType::Filename,
                         File.empty() ? "/dev/stderr" : File);
  el::Loggers::reconfigureLogger("default", Settings);
}

namespace {

auto beginLine(log_level Level, std::string_view Event)
    -> nlohmann::ordered_json {
  nlohmann::ordered_json Line;
  Line["time_ms"] = wallMilliseconds();
  Line["level"] = nameOf(Level);
  Line["instance"] = InstanceName;
  Line["event"] = Event;
  return Line;
}

auto writeLine(const nlohmann::ordered_json &Line) -> void {
  const auto Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  LOG(INFO) << Text;
}

} // namespace

auto log(log_level Level, std::string_view Event,
         std::initializer_list<log_field> Fields) -> void {
  auto Line = beginLine(Level, Event);
  for (const auto &Field : Fields)
    Line[std::string(Field.Name)] = Field.Value;
  writeLine(Line);
}

auto log(log_level Level, std::string_view Event,
         const std::vector<std::pair<std::string, std::string>> &Fields)
    -> void {
  auto Line = beginLine(Level, Event);
  for (const auto &[Name, Value] : Fields)
    Line[Name] = Value;
  writeLine(Line);
}

} // namespace limpetbridge
