#include "query/language.h"

#include "scanner.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace limpetbridge {

namespace {

constexpr std::array Subjects = {
    subject_row{"resident", true,
                "models and adapters that hold memory, by target"},
    subject_row{"waiting", true, "work at targets, with its phase"},
    subject_row{"slowed", false, "targets slower than expected"},
    subject_row{"targets", false, "targets as seen by the entry"},
    subject_row{"models", false, "declared models"},
    subject_row{"versions", false, "declared versions"},
    subject_row{"adapters", false, "declared adapters"},
    subject_row{"callers", false, "declared callers, without tokens"},
    subject_row{"services", false, "declared services"},
    subject_row{"importance", false, "declared importance classes"},
    subject_row{"changes", false, "latest changes"},
    subject_row{"instances", false, "instances in the platform's list"},
    subject_row{"requests", false, "open requests of the entry"},
};

/// Symbol of a comparison operator.
struct comparison_row {
  std::string_view Symbol;
  comparison Comparison;
};

/// In the order of the enumerators of comparison.
constexpr std::array Comparisons = {comparison_row{"=", comparison::Equal},
                                    comparison_row{"!=", comparison::NotEqual},
                                    comparison_row{"<", comparison::Less},
                                    comparison_row{">", comparison::Greater},
                                    comparison_row{"~", comparison::Contains}};

auto subjectList() -> std::string {
  std::string Names;
  for (const auto &Row : Subjects)
    Names += std::string(Row.Name) + ", ";
  return Names + "or change ID";
}

auto kindList() -> std::string {
  std::string Names;
  for (std::size_t Index = 0; Index < DeclarationKindCount; ++Index)
    Names += (Index == 0 ? "" : ", ") +
             std::string(nameOf(static_cast<declaration_kind>(Index)));
  return Names;
}

/// Recursive-descent parser of one statement.
class parser {
public:
  explicit parser(std::vector<token> Tokens) : Tokens(std::move(Tokens)) {}

  auto parse() -> result<statement> {
    if (nextIsWord("show")) {
      takeToken();
      return parseShow();
    }
    return parseChange();
  }

private:
  [[nodiscard]] auto peek() const -> const token & { return Tokens[Position]; }
  /// Consumes the next token; the last one stays.
  auto takeToken() -> const token & {
    const auto &Token = Tokens[Position];
    if (Token.Kind != token_kind::End)
      ++Position;
    return Token;
  }
  [[nodiscard]] auto nextIsWord(std::string_view Text) const -> bool {
    return peek().Kind == token_kind::Word && peek().Text == Text;
  }
  [[nodiscard]] auto nextIsSymbol(std::string_view Text) const -> bool {
    return peek().Kind == token_kind::Symbol && peek().Text == Text;
  }
  /// SyntaxError at the next token.
  [[nodiscard]] auto expectedError(const std::string &Expected) const -> error {
    const auto &Token = peek();
    const auto Found =
        Token.Kind == token_kind::End ? "the end" : "'" + Token.Text + "'";
    return failure(result_code::SyntaxError,
                   "column " + std::to_string(Token.Column) + ": found " +
                       Found + ", expected " + Expected);
  }
  /// Consumes a word. \returns SyntaxError with \p Expected for another token.
  auto expectWord(const std::string &Expected) -> result<std::string> {
    if (peek().Kind != token_kind::Word)
      return expectedError(Expected);
    return takeToken().Text;
  }

  auto parseShow() -> result<statement> {
    show_query Query;
    if (nextIsWord("change")) {
      takeToken();
      auto Id = expectWord("a change id");
      if (!Id)
        return Id.error();
      Query.Subject = "change";
      Query.Argument = Id.value();
    } else {
      const bool IsKnown = std::any_of(
          Subjects.begin(), Subjects.end(),
          [&](const subject_row &Row) { return nextIsWord(Row.Name); });
      if (!IsKnown)
        return expectedError(subjectList());
      Query.Subject = takeToken().Text;
    }
    auto ParsedClauses = parseClauses(Query);
    if (!ParsedClauses)
      return ParsedClauses.error();
    return statement(std::move(Query));
  }

  auto parseClauses(show_query &Query) -> result<void> {
    if (nextIsWord("where")) {
      auto Where = parseWhere(Query);
      if (!Where)
        return Where.error();
    }
    if (nextIsWord("by")) {
      takeToken();
      auto Column = expectWord("a column");
      if (!Column)
        return Column.error();
      Query.By = Column.value();
    }
    if (nextIsWord("limit")) {
      auto Limit = parseLimit(Query);
      if (!Limit)
        return Limit.error();
    }
    if (peek().Kind != token_kind::End)
      return expectedError("where, by, limit or the end");
    return boost::outcome_v2::success();
  }

  auto parseWhere(show_query &Query) -> result<void> {
    do {
      takeToken();
      auto Condition = parseCondition();
      if (!Condition)
        return Condition.error();
      Query.Where.push_back(Condition.value());
    } while (nextIsWord("and"));
    return boost::outcome_v2::success();
  }

  auto parseCondition() -> result<condition> {
    auto Column = expectWord("a column");
    if (!Column)
      return Column.error();
    const auto *Row = std::find_if(Comparisons.begin(), Comparisons.end(),
                                   [&](const comparison_row &Candidate) {
                                     return nextIsSymbol(Candidate.Symbol);
                                   });
    if (Row == Comparisons.end())
      return expectedError("one of = != < > ~");
    takeToken();
    auto Value = expectWord("a value");
    if (!Value)
      return Value.error();
    return condition{Column.value(), Row->Comparison, Value.value()};
  }

  auto parseLimit(show_query &Query) -> result<void> {
    takeToken();
    std::uint64_t Limit = 0;
    const auto &Text = peek().Text;
    const auto *End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data(), End, Limit);
    if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
      return expectedError("a whole number");
    takeToken();
    Query.Limit = Limit;
    return boost::outcome_v2::success();
  }

  auto parseChange() -> result<statement> {
    change_command Change;
    for (;;) {
      auto Operation = parseCommand();
      if (!Operation)
        return Operation.error();
      Change.Operations.push_back(std::move(Operation.value()));
      if (!nextIsSymbol(";"))
        break;
      takeToken();
      if (peek().Kind == token_kind::End)
        break;
    }
    if (peek().Kind != token_kind::End)
      return expectedError("field=value, ; or the end");
    return statement(std::move(Change));
  }

  auto parseCommand() -> result<operation> {
    if (nextIsWord("drain") || nextIsWord("restore"))
      return parseDrainOrRestore();
    const auto Verb = peek().Kind == token_kind::Word
                          ? parseOperationVerb(peek().Text)
                          : std::nullopt;
    if (!Verb)
      return expectedError("show, declare, set, withdraw, drain or restore");
    takeToken();
    const auto Kind = peek().Kind == token_kind::Word
                          ? parseDeclarationKind(peek().Text)
                          : std::nullopt;
    if (!Kind)
      return expectedError(kindList());
    takeToken();
    auto Name = expectWord("a name");
    if (!Name)
      return Name.error();
    operation Operation{*Verb, *Kind, Name.value(), {}};
    auto Fields = parseFields(Operation);
    if (!Fields)
      return Fields.error();
    return Operation;
  }

  auto parseFields(operation &Operation) -> result<void> {
    if (Operation.Verb == operation_verb::Withdraw)
      return boost::outcome_v2::success();
    while (peek().Kind == token_kind::Word) {
      const auto Name = takeToken().Text;
      if (!nextIsSymbol("="))
        return expectedError("= after the field " + Name);
      takeToken();
      auto Value = expectWord("a value for " + Name);
      if (!Value)
        return Value.error();
      Operation.Fields.push_back({Name, Value.value()});
    }
    return boost::outcome_v2::success();
  }

  /// `drain` and `restore` declare the drain state of a target.
  auto parseDrainOrRestore() -> result<operation> {
    const bool Drained = takeToken().Text == "drain";
    if (!nextIsWord("target"))
      return expectedError("target");
    takeToken();
    auto Name = expectWord("the name of a target");
    if (!Name)
      return Name.error();
    return operation{operation_verb::Declare,
                     declaration_kind::Target,
                     Name.value(),
                     {{"drained", Drained ? "true" : "false"}}};
  }

  std::vector<token> Tokens;
  std::size_t Position = 0;
};

/// Quotes text that does not parse as one unquoted word.
auto quoteIfNeeded(const std::string &Word) -> std::string {
  const bool IsPlainWord =
      !Word.empty() &&
      std::all_of(Word.begin(), Word.end(), [](char Character) {
        return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
               std::string_view("-_.:,*/@+").find(Character) !=
                   std::string_view::npos;
      });
  return IsPlainWord ? Word : "\"" + Word + "\"";
}

auto formatStatement(const show_query &Query) -> std::string {
  std::string Text = "show " + Query.Subject;
  if (!Query.Argument.empty())
    Text += " " + quoteIfNeeded(Query.Argument);
  std::string_view Separator = " where ";
  for (const auto &Condition : Query.Where) {
    const auto &Row =
        Comparisons.at(static_cast<std::size_t>(Condition.Comparison));
    Text += std::string(Separator) + quoteIfNeeded(Condition.Column) + " " +
            std::string(Row.Symbol) + " " + quoteIfNeeded(Condition.Value);
    Separator = " and ";
  }
  if (!Query.By.empty())
    Text += " by " + quoteIfNeeded(Query.By);
  if (Query.Limit)
    Text += " limit " + std::to_string(*Query.Limit);
  return Text;
}

auto formatStatement(const change_command &Change) -> std::string {
  std::string Text;
  for (const auto &Operation : Change.Operations) {
    Text += Text.empty() ? "" : "; ";
    Text += std::string(nameOf(Operation.Verb)) + " " +
            std::string(nameOf(Operation.Kind)) + " " +
            quoteIfNeeded(Operation.Name);
    for (const auto &Field : Operation.Fields)
      Text += " " + Field.Name + "=" + quoteIfNeeded(Field.Value);
  }
  return Text;
}

} // namespace

auto subjectTable() -> std::vector<subject_row> {
  return {Subjects.begin(), Subjects.end()};
}

auto parseStatement(std::string_view Text) -> result<statement> {
  auto Tokens = tokenize(Text);
  if (!Tokens)
    return Tokens.error();
  return parser(std::move(Tokens.value())).parse();
}

auto toString(const statement &Statement) -> std::string {
  return std::visit(
      [](const auto &Alternative) { return formatStatement(Alternative); },
      Statement);
}

} // namespace limpetbridge
