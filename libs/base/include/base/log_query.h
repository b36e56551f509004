/// \file
/// Questions to the logs of many processes: one request, one target, one kind
/// of event, merged in the order of time.
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
  std::int64_t TimeMs = 0; ///< Unix time of the process that wrote it.
  std::string Level;
  std::string Instance;
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields; ///< The others.
  std::string Text; ///< The line's object as it was written.
};

/// What is asked for; empty fields ask for nothing.
struct log_filter {
  std::string Request; ///< Value of the field `request`.
  std::string Target;  ///< Value of the field `target`.
  std::string Event;
  bool FailuresOnly = false; ///< Warnings and errors.
};

/// Lines that were read, and how many could not be.
struct log_answer {
  std::vector<log_record> Records;
  std::size_t Unreadable = 0;
};

/// Reads the lines of \p Log that \p Filter asks for and appends them to
/// \p Answer. What stands before the object on a line is ignored, as written by
/// collectors of logs; lines without an object are none of the log's.
auto readLog(std::istream &Log, const log_filter &Filter, log_answer &Answer)
    -> void;

/// Sorts by time. Lines of one process keep their order, whatever its clock
/// did meanwhile.
auto mergeLogs(log_answer &Answer) -> void;

/// One line for people: time, instance, event and fields.
[[nodiscard]] auto printRecord(const log_record &Record) -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_LOG_QUERY_H
