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

auto unixTimeMs() -> std::int64_t {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

/// Token bucket that limits the rate of one kind of log line.
struct line_rate_limiter {
  double Tokens = 0;
  time_point LastRefill;

  /// Takes one token, if there is one.
  /// \param PerSecond refill rate in lines per second; a burst may be twice
  /// that.
  auto tryAcquire(double PerSecond, time_point Now) -> bool {
    constexpr double BurstSeconds = 2;
    const double ElapsedSeconds =
        std::chrono::duration<double>(Now - LastRefill).count();
    Tokens =
        std::min(Tokens + ElapsedSeconds * PerSecond, BurstSeconds * PerSecond);
    LastRefill = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }
};

/// State of the log when it goes to standard output.
struct output_log {
  std::mutex Mutex;
  bool Enabled = false;
  log_limits Limits;
  line_rate_limiter InfoLimiter;
  line_rate_limiter FailureLimiter;
  std::uint64_t DroppedLines = 0;
};

auto outputLog() -> output_log & {
  static output_log Output;
  return Output;
}

/// True if standard output can be written to without blocking.
auto outputIsWritable() -> bool {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

/// True if \p Line may be written now; otherwise counts it as dropped. Adds the
/// number of lines dropped before it to a line that may be written.
auto admitLine(log_level Level, nlohmann::ordered_json &Line) -> bool {
  auto &Output = outputLog();
  const std::lock_guard Lock(Output.Mutex);
  if (!Output.Enabled)
    return true;
  const auto Now = process_clock::now();
  const bool Failure = Level == log_level::Warning || Level == log_level::Error;
  const bool Allowed =
      Failure
          ? Output.FailureLimiter.tryAcquire(Output.Limits.FailuresPerSecond,
                                             Now)
          : Output.InfoLimiter.tryAcquire(Output.Limits.LinesPerSecond, Now);
  if (!Allowed || !outputIsWritable()) {
    ++Output.DroppedLines;
    return false;
  }
  if (Output.DroppedLines > 0)
    Line["left_out"] = std::exchange(Output.DroppedLines, 0);
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
  const bool ToStdout = File == "-";
  outputLog().Enabled = ToStdout;
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput,
                       ToStdout ? "true" : "false");
  Settings.setGlobally(el::ConfigurationType::ToFile,
                       ToStdout ? "false" : "true");
  if (!ToStdout)
    Settings.setGlobally(el::ConfigurationType::Filename,
                         File.empty() ? "/dev/stderr" : File);
  el::Loggers::reconfigureLogger("default", Settings);
}

namespace {

auto beginLine(log_level Level, std::string_view Event)
    -> nlohmann::ordered_json {
  nlohmann::ordered_json Line;
  Line["time_ms"] = unixTimeMs();
  Line["level"] = nameOf(Level);
  Line["instance"] = InstanceName;
  Line["event"] = Event;
  return Line;
}

auto writeLine(log_level Level, nlohmann::ordered_json Line) -> void {
  if (!admitLine(Level, Line))
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
