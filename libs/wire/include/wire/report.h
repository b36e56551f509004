/// \file
/// Rows that a node shows of itself.
#ifndef LIMPETBRIDGE_WIRE_REPORT_H
#define LIMPETBRIDGE_WIRE_REPORT_H

#include <string>
#include <vector>

namespace limpetbridge {

/// What is asked: a subject, and an argument for subjects that take one.
struct report_request {
  std::string Subject;
  std::string Argument;
};

/// A table of text.
struct report {
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows; ///< As many cells as columns.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_REPORT_H
