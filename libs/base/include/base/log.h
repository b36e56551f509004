/// \file
/// Structured logs: one JSON object a line, through easylogging++.
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

/// Sets up logging once per process.
/// \param Instance shown on each line. \param File empty for standard error,
/// `-` for standard output.
auto startLog(const std::string &Instance, const std::string &File) -> void;

/// Limits of the log on standard output, which is bounded and never blocks.
struct log_limits {
  double LinesPerSecond = 400;    ///< Of information, on the average.
  double FailuresPerSecond = 400; ///< Of warnings and errors, besides.
};
auto setLogLimits(const log_limits &Limits) -> void;

/// Writes one line. \p Event is a stable snake-case word. Lines beyond the
/// limits, and those that standard output does not take at once, are left out
/// and counted; the next line that is written tells how many.
auto log(log_level Level, std::string_view Event,
         std::initializer_list<log_field> Fields) -> void;

/// The same, with fields that were made elsewhere.
auto log(log_level Level, std::string_view Event,
         const std::vector<std::pair<std::string, std::string>> &Fields)
    -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_LOG_H
