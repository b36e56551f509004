/// \file
/// Tokenizer of the operators' language.
#ifndef LIMPETBRIDGE_QUERY_SCANNER_H
#define LIMPETBRIDGE_QUERY_SCANNER_H

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// Kind of a token; a quoted text is a Word.
enum class token_kind : unsigned char { Word, Symbol, End };

/// One token of a statement.
struct token {
  token_kind Kind = token_kind::End;
  std::string Text;       ///< Without the quotes.
  std::size_t Column = 1; ///< Column where it starts, from 1.
};

/// Splits \p Text into tokens; the last one is of kind End. A word may be
/// quoted with `"`. \returns SyntaxError for an unclosed quote or an unexpected
/// character.
[[nodiscard]] auto tokenize(std::string_view Text)
    -> result<std::vector<token>>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_QUERY_SCANNER_H
