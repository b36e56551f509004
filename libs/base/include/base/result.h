/// \file
/// Error type and the result template built on Boost.Outcome.
#ifndef LIMPETBRIDGE_BASE_RESULT_H
#define LIMPETBRIDGE_BASE_RESULT_H

#include "base/result_code.h"

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace limpetbridge {

/// A numbered error with a detail for the reader.
struct error {
  result_code Code = result_code::Ok;
  std::string Detail; ///< What exactly went wrong, one line.
};

/// Either a value or an error.
/// \code
///   auto Port = parsePort(Text);
///   if (!Port)
///     return Port.error();
/// \endcode
template <typename value>
using result = boost::outcome_v2::unchecked<value, error>;

/// Builds an error. Usage: `return failure(result_code::NotFound, "model x");`
[[nodiscard]] inline auto failure(result_code Code, std::string Detail)
    -> error {
  return {Code, std::move(Detail)};
}

/// `number name: detail`, as shown to users.
[[nodiscard]] auto toString(const error &Error) -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_RESULT_H
