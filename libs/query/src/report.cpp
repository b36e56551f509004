#include "query/language.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace limpetbridge {

namespace {

/// Index of a column. \returns UnknownName if the report lacks it.
auto columnIndex(const report &Report, const std::string &Column)
    -> result<std::size_t> {
  const auto Found =
      std::find(Report.Columns.begin(), Report.Columns.end(), Column);
  if (Found != Report.Columns.end())
    return static_cast<std::size_t>(Found - Report.Columns.begin());
  std::string KnownColumns;
  for (const auto &Known : Report.Columns)
    KnownColumns += " " + Known;
  return failure(result_code::UnknownName,
                 "unknown column " + Column +
                     "; known columns:" + KnownColumns);
}

/// Parses the whole text as a number; empty if it is not one.
auto toNumber(const std::string &Text) -> std::optional<double> {
  double Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

/// Compares two numbers by value, and any other cells as text.
auto isLessCell(const std::string &Left, const std::string &Right) -> bool {
  const auto LeftNumber = toNumber(Left);
  const auto RightNumber = toNumber(Right);
  if (LeftNumber && RightNumber)
    return *LeftNumber < *RightNumber;
  return Left < Right;
}

/// True if \p Cell satisfies \p Condition.
auto matchesCondition(const condition &Condition, const std::string &Cell)
    -> bool {
  switch (Condition.Comparison) {
  case comparison::Equal:
    return Cell == Condition.Value;
  case comparison::NotEqual:
    return Cell != Condition.Value;
  case comparison::Less:
    return isLessCell(Cell, Condition.Value);
  case comparison::Greater:
    return isLessCell(Condition.Value, Cell);
  case comparison::Contains:
    return Cell.find(Condition.Value) != std::string::npos;
  }
  return false;
}

/// Width of each column: its longest cell or title, in bytes.
auto columnWidths(const report &Report) -> std::vector<std::size_t> {
  std::vector<std::size_t> Widths;
  for (const auto &Column : Report.Columns)
    Widths.push_back(Column.size());
  for (const auto &Row : Report.Rows)
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
  return Widths;
}

auto printRow(std::ostream &Out, const std::vector<std::string> &Row,
              const std::vector<std::size_t> &Widths) -> void {
  for (std::size_t Index = 0; Index < Row.size(); ++Index) {
    Out << Row[Index];
    if (Index + 1 < Row.size())
      Out << std::string(Widths[Index] - Row[Index].size() + 2, ' ');
  }
  Out << '\n';
}

} // namespace

auto applyQueryClauses(report Report, const show_query &Query)
    -> result<report> {
  for (const auto &Condition : Query.Where) {
    auto Index = columnIndex(Report, Condition.Column);
    if (!Index)
      return Index.error();
    std::erase_if(Report.Rows, [&](const auto &Row) {
      return !matchesCondition(Condition, Row[Index.value()]);
    });
  }
  if (!Query.By.empty()) {
    auto Index = columnIndex(Report, Query.By);
    if (!Index)
      return Index.error();
    std::stable_sort(Report.Rows.begin(), Report.Rows.end(),
                     [&](const auto &Left, const auto &Right) {
                       return isLessCell(Left[Index.value()],
                                         Right[Index.value()]);
                     });
  }
  if (Query.Limit && Report.Rows.size() > *Query.Limit)
    Report.Rows.resize(*Query.Limit);
  return Report;
}

auto printTable(const report &Report) -> std::string {
  std::ostringstream Out;
  const auto Widths = columnWidths(Report);
  printRow(Out, Report.Columns, Widths);
  for (const auto &Row : Report.Rows)
    printRow(Out, Row, Widths);
  return Out.str();
}

auto printJson(const report &Report) -> std::string {
  std::string Text;
  for (const auto &Row : Report.Rows) {
    nlohmann::ordered_json Line;
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Line[Report.Columns[Index]] = Row[Index];
    Text += Line.dump(-1, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace) +
            "\n";
  }
  return Text;
}

} // namespace limpetbridge
