/// \file
/// Queries over the logs of several processes, by request, target or event,
/// with the results merged in time order.
#ifndef LIMPETBRIDGE_BASE_LOG_QUERY_H
#define LIMPETBRIDGE_BASE_LOG_QUERY_H

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace limpetbridge {

/// One line of a log.
struct log_record {
  std::int64_t TimeMs = 0; ///< Unix time by the clock of the writing process.
  std::string Level;
  std::string Instance;
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields; ///< All others.
  std::string Text; ///< The JSON object as it was written.
};

/// Selects records; an empty field matches every record.
struct log_filter {
  std::string Request; ///< Value of the field `request`.
  std::string Target;  ///< Value of the field `target`.
  std::string Event;
  bool FailuresOnly = false; ///< Only warnings and errors.
};

/// Records that match a filter, and the number of lines with an object that
/// could not be parsed.
struct log_query_result {
  std::vector<log_record> Records;
  std::size_t Unreadable = 0;
};

/// Reads \p Log and appends the records that match \p Filter to \p Result.
/// Skips any prefix before the JSON object of a line, as log collectors add
/// one, and ignores lines without an object.
auto readLog(std::istream &Log, const log_filter &Filter,
             log_query_result &Result) -> void;

/// Sorts the records by time. Records of one instance keep their order even if
/// its clock stepped back.
auto mergeLogs(log_query_result &Result) -> void;

/// Formats a record as one readable line: time, instance, event and fields.
[[nodiscard]] auto printRecord(const log_record &Record) -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_LOG_QUERY_H
