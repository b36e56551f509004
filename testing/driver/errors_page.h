/// \file
/// The page of result codes, written from the table.
#ifndef LIMPETBRIDGE_TESTING_ERRORS_PAGE_H
#define LIMPETBRIDGE_TESTING_ERRORS_PAGE_H

#include "base/result_code.h"

#include <sstream>
#include <string>

namespace limpetbridge {

/// docs/errors.md as it must be.
[[nodiscard]] inline auto errorsPage() -> std::string {
  std::ostringstream Out;
  Out << "# Result codes\n\n"
         "Written by `scripts/print-errors` from the table in "
         "`libs/base/src/result_code.cpp`;\na test compares the two. Processes "
         "end with the thousands of a code as status.\n\n"
         "| number | name | did the work run | HTTP | meaning | what to do |\n"
         "|---|---|---|---|---|---|\n";
  for (const auto &Row : resultCodeTable())
    Out << "| " << static_cast<unsigned>(Row.Code) << " | " << Row.Name << " | "
        << nameOf(Row.Outcome) << " | " << Row.HttpStatus << " | "
        << Row.Meaning << " | " << Row.Remedy << " |\n";
  return Out.str();
}

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_ERRORS_PAGE_H
