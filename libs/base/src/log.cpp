#include "base/log.h"

#include "base/time.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <mutex>

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

/// Tokens of one kind of line.
struct line_budget {
  double Tokens = 0;
  time_point Since;

  /// \param PerSecond lines a second; twice as many may come at once.
  auto take(double PerSecond, time_point Now) -> bool {
    constexpr double BurstSeconds = 2;
    const double Passed = std::chrono::duration<double>(Now - Since).count();
    Tokens = std::min(Tokens + Passed * PerSecond, BurstSeconds * PerSecond);
    Since = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }
};

/// State of the log on standard output.
struct output_log {
  std::mutex Mutex;
  bool Enabled = false;
  log_limits Limits;
  line_budget Information;
  line_budget Failures;
  std::uint64_t LeftOut = 0;
};

auto outputLog() -> output_log & {
  static output_log Output;
  return Output;
}

/// True if standard output takes a line now.
auto outputTakes() -> bool {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

/// True if a line may be written; counts it otherwise.
auto mayWrite(log_level Level, nlohmann::ordered_json &Line) -> bool {
  auto &Output = outputLog();
  const std::lock_guard Lock(Output.Mutex);
  if (!Output.Enabled)
    return true;
  const auto Now = process_clock::now();
  const bool Failure = Level == log_level::Warning || Level == log_level::Error;
  const bool Allowed =
      Failure ? Output.Failures.take(Output.Limits.FailuresPerSecond, Now)
              : Output.Information.take(Output.Limits.LinesPerSecond, Now);
  if (!Allowed || !outputTakes()) {
    ++Output.LeftOut;
    return false;
  }
  if (Output.LeftOut > 0)
    Line["left_out"] = std::exchange(Output.LeftOut, 0);
  return true;
}

} // namespace

auto setLogLimits(const log_limits &Limits) -> void {
  const std::lock_guard Lock(outputLog().Mutex);
  outputLog().Limits = Limits;
}

auto startLog(const std::string &Instance, const std::string &File) -> void {
  InstanceName = Instance;
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::Format, "%msg");
  const bool ToOutput = File == "-";
  outputLog().Enabled = ToOutput;
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

auto writeLine(log_level Level, nlohmann::ordered_json Line) -> void {
  if (!mayWrite(Level, Line))
    return;
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
  writeLine(Level, std::move(Line));
}

auto log(log_level Level, std::string_view Event,
         const std::vector<std::pair<std::string, std::string>> &Fields)
    -> void {
  auto Line = beginLine(Level, Event);
  for (const auto &[Name, Value] : Fields)
    Line[Name] = Value;
  writeLine(Level, std::move(Line));
}

} // namespace limpetbridge
