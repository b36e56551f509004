/// \file
/// Tables in which an instance reports its state to operators.
#ifndef LIMPETBRIDGE_WIRE_REPORT_H
#define LIMPETBRIDGE_WIRE_REPORT_H

#include <string>
#include <vector>

namespace limpetbridge {

/// Requests the report on a subject; some subjects take an argument.
struct report_request {
  std::string Subject;
  std::string Argument;
};

/// A table of text cells; each row has one cell per column.
struct report {
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_REPORT_H
