/// \file
/// Structured logs with one JSON object per line, written by easylogging++.
#ifndef LIMPETBRIDGE_BASE_LOG_H
#define LIMPETBRIDGE_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetbridge {

/// Severity of a log line.
enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

/// One named field of a log line.
struct log_field {
  std::string_view Name;
  std::string Value;
};

/// Configures the log, once per process.
/// \param Instance name written in every line.
/// \param File path; empty for standard error, `-` for standard output.
auto startLog(const std::string &Instance, const std::string &File) -> void;

/// Rate limits of the log on standard output, which never blocks.
struct log_limits {
  double LinesPerSecond = 400;    ///< Average for Debug and Info.
  double FailuresPerSecond = 400; ///< Average for Warning and Error.
};
auto setLogLimits(const log_limits &Limits) -> void;

/// Writes one line. \p Event is a stable snake-case name. On standard output,
/// lines over the rate limits and lines that would block are dropped and
/// counted; the next line that is written has their number in its field
/// `left_out`.
auto log(log_level Level, std::string_view Event,
         std::initializer_list<log_field> Fields) -> void;

/// Overload for fields that are assembled at run time.
auto log(log_level Level, std::string_view Event,
         const std::vector<std::pair<std::string, std::string>> &Fields)
    -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_LOG_H
