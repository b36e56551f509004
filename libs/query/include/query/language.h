/// \file
/// The operators' query and command language. docs/operators/language.md has
/// its grammar.
#ifndef LIMPETBRIDGE_QUERY_LANGUAGE_H
#define LIMPETBRIDGE_QUERY_LANGUAGE_H

#include "base/result.h"
#include "catalogue/catalogue.h"
#include "wire/report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpetbridge {

/// How a condition compares.
enum class comparison : std::uint8_t {
  Equal,
  NotEqual,
  Less,
  Greater,
  Contains
};

/// `column op value`.
struct condition {
  std::string Column;
  comparison Comparison = comparison::Equal;
  std::string Value;
  auto operator==(const condition &) const -> bool = default;
};

/// `show subject [argument] [where …] [by column] [limit n]`.
struct show_query {
  std::string Subject;
  std::string Argument; ///< The id in `show change ID`.
  std::vector<condition> Where;
  std::string By; ///< Column to sort by; empty keeps the order.
  std::optional<std::uint64_t> Limit;
  auto operator==(const show_query &) const -> bool = default;
};

/// Commands that form one atomic change.
struct change_command {
  std::vector<operation> Operations;
  auto operator==(const change_command &) const -> bool = default;
};

/// A statement of the language.
using statement = std::variant<show_query, change_command>;

/// Subjects of `show`, and whether entries or agents are asked.
struct subject_row {
  std::string_view Name;
  bool AskAgents = false; ///< Agents hold the truth; else one entry does.
  std::string_view Help;
};

/// All subjects.
[[nodiscard]] auto subjectTable() -> std::vector<subject_row>;

/// Parses one statement. \returns SyntaxError with the column (from 1) and
/// what was expected there.
[[nodiscard]] auto parseStatement(std::string_view Text) -> result<statement>;

/// A statement in its canonical text form.
[[nodiscard]] auto toString(const statement &Statement) -> std::string;

/// Applies where, by and limit. \returns UnknownName for a column that the
/// report does not have.
[[nodiscard]] auto refine(report Report, const show_query &Query)
    -> result<report>;

/// An aligned table for people.
[[nodiscard]] auto printTable(const report &Report) -> std::string;
/// One JSON object a row.
[[nodiscard]] auto printJson(const report &Report) -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_QUERY_LANGUAGE_H
