/// \file
/// Error type, and a value-or-error type built on Boost.Outcome.
#ifndef LIMPETBRIDGE_BASE_RESULT_H
#define LIMPETBRIDGE_BASE_RESULT_H

#include "base/result_code.h"

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace limpetbridge {

/// An error: its result code and an explanation for the user.
struct error {
  result_code Code = result_code::Ok;
  std::string Detail; ///< What went wrong and with what, one line.
};

/// Either a value or an error.
/// \code
///   auto Port = parsePort(Text);
///   if (!Port)
///     return Port.error();
/// \endcode
template <typename value>
using result = boost::outcome_v2::unchecked<value, error>;

/// Creates an error. Usage: `return failure(result_code::NotFound, "model x");`
[[nodiscard]] inline auto failure(result_code Code, std::string Detail)
    -> error {
  return {Code, std::move(Detail)};
}

/// Formats as `number name: detail`, as shown to users.
[[nodiscard]] auto toString(const error &Error) -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_RESULT_H
