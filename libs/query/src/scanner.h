/// \file
/// Splits a statement into words, with the column of each.
#ifndef LIMPETBRIDGE_QUERY_SCANNER_H
#define LIMPETBRIDGE_QUERY_SCANNER_H

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// Kind of a token.
enum class token_kind : unsigned char { Word, Symbol, End };

/// One token of a statement.
struct token {
  token_kind Kind = token_kind::End;
  std::string Text;
  std::size_t Column = 1; ///< From 1.
};

/// Tokens of \p Text, ended by one of kind End. Words may be quoted with `"`.
/// \returns SyntaxError for an open quote or a stray character.
[[nodiscard]] auto scan(std::string_view Text) -> result<std::vector<token>>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_QUERY_SCANNER_H
