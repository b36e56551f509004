/// \file
/// The operators' query and command language; docs/operators/language.md has
/// the grammar.
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

/// Comparison operator of a condition.
enum class comparison : std::uint8_t {
  Equal,
  NotEqual,
  Less,
  Greater,
  Contains
};

/// A condition of a where clause: `column op value`.
struct condition {
  std::string Column;
  comparison Comparison = comparison::Equal;
  std::string Value;
  auto operator==(const condition &) const -> bool = default;
};

/// `show subject [argument] [where …] [by column] [limit n]`.
struct show_query {
  std::string Subject;
  std::string Argument; ///< Change id of `show change ID`; else empty.
  std::vector<condition> Where;
  std::string By;                     ///< Column to sort by; empty: not sorted.
  std::optional<std::uint64_t> Limit; ///< Maximum number of rows.
  auto operator==(const show_query &) const -> bool = default;
};

/// One or more commands, applied as one atomic change.
struct change_command {
  std::vector<operation> Operations;
  auto operator==(const change_command &) const -> bool = default;
};

/// A statement of the language.
using statement = std::variant<show_query, change_command>;

/// A subject of `show`, and the role of the instances that report it.
struct subject_row {
  std::string_view Name;
  bool FromAgents = false; ///< True: each agent; false: one entry.
  std::string_view Help;
};

/// All subjects of `show` except `change`, which takes an id.
[[nodiscard]] auto subjectTable() -> std::vector<subject_row>;

/// Parses one statement. \returns SyntaxError with the column (from 1) and
/// what was expected there.
[[nodiscard]] auto parseStatement(std::string_view Text) -> result<statement>;

/// Formats a statement as canonical text.
[[nodiscard]] auto toString(const statement &Statement) -> std::string;

/// Filters, sorts and limits the rows of a report as \p Query asks. \returns
/// UnknownName if the report lacks a column that the query names.
[[nodiscard]] auto applyQueryClauses(report Report, const show_query &Query)
    -> result<report>;

/// Formats a report as a table with aligned columns.
[[nodiscard]] auto printTable(const report &Report) -> std::string;
/// Formats a report as JSON lines, one object per row.
[[nodiscard]] auto printJson(const report &Report) -> std::string;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_QUERY_LANGUAGE_H
