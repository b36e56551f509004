#include "query/language.h"

#include "scanner.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace limpetbridge {

namespace {

constexpr std::array Subjects = {
    subject_row{"resident", true, "what is held in memory, by target"},
    subject_row{"waiting", true, "work that waits at targets"},
    subject_row{"slowed", false, "targets slower than expected"},
    subject_row{"targets", false, "targets as the entry sees them"},
    subject_row{"models", false, "declared models"},
    subject_row{"versions", false, "declared versions"},
    subject_row{"adapters", false, "declared adapters"},
    subject_row{"callers", false, "declared callers, without tokens"},
    subject_row{"services", false, "declared services"},
    subject_row{"importance", false, "declared importance classes"},
    subject_row{"changes", false, "latest changes"},
    subject_row{"instances", false, "instances on the platform's list"},
    subject_row{"requests", false, "open requests of the entry"},
};

struct comparison_row {
  std::string_view Symbol;
  comparison Comparison;
};

constexpr std::array Comparisons = {comparison_row{"=", comparison::Equal},
                                    comparison_row{"!=", comparison::NotEqual},
                                    comparison_row{"<", comparison::Less},
                                    comparison_row{">", comparison::Greater},
                                    comparison_row{"~", comparison::Contains}};

auto subjectNames() -> std::string {
  std::string Names;
  for (const auto &Row : Subjects)
    Names += std::string(Row.Name) + ", ";
  return Names + "or change ID";
}

auto kindNames() -> std::string {
  std::string Names;
  for (std::size_t Index = 0; Index < DeclarationKindCount; ++Index)
    Names += (Index == 0 ? "" : ", ") +
             std::string(nameOf(static_cast<declaration_kind>(Index)));
  return Names;
}

class parser {
public:
  explicit parser(std::vector<token> Tokens) : Tokens(std::move(Tokens)) {}

  auto parse() -> result<statement> {
    if (isWord("show")) {
      next();
      return parseShow();
    }
    return parseCommands();
  }

private:
  [[nodiscard]] auto peek() const -> const token & { return Tokens[Position]; }
  auto next() -> const token & {
    const auto &Token = Tokens[Position];
    if (Token.Kind != token_kind::End)
      ++Position;
    return Token;
  }
  [[nodiscard]] auto isWord(std::string_view Text) const -> bool {
    return peek().Kind == token_kind::Word && peek().Text == Text;
  }
  [[nodiscard]] auto isSymbol(std::string_view Text) const -> bool {
    return peek().Kind == token_kind::Symbol && peek().Text == Text;
  }
  [[nodiscard]] auto expected(const std::string &What) const -> error {
    const auto &Token = peek();
    const auto Found =
        Token.Kind == token_kind::End ? "the end" : "'" + Token.Text + "'";
    return failure(result_code::SyntaxError,
                   "column " + std::to_string(Token.Column) + ": found " +
                       Found + ", expected " + What);
  }
  auto takeWord(const std::string &What) -> result<std::string> {
    if (peek().Kind != token_kind::Word)
      return expected(What);
    return next().Text;
  }

  auto parseShow() -> result<statement> {
    show_query Query;
    if (isWord("change")) {
      next();
      auto Id = takeWord("a change id");
      if (!Id)
        return Id.error();
      Query.Subject = "change";
      Query.Argument = Id.value();
    } else {
      const bool Known =
          std::any_of(Subjects.begin(), Subjects.end(),
                      [&](const subject_row &Row) { return isWord(Row.Name); });
      if (!Known)
        return expected(subjectNames());
      Query.Subject = next().Text;
    }
    auto Clauses = parseClauses(Query);
    if (!Clauses)
      return Clauses.error();
    return statement(std::move(Query));
  }

  auto parseClauses(show_query &Query) -> result<void> {
    if (isWord("where")) {
      auto Where = parseWhere(Query);
      if (!Where)
        return Where.error();
    }
    if (isWord("by")) {
      next();
      auto Column = takeWord("a column");
      if (!Column)
        return Column.error();
      Query.By = Column.value();
    }
    if (isWord("limit")) {
      auto Limit = parseLimit(Query);
      if (!Limit)
        return Limit.error();
    }
    if (peek().Kind != token_kind::End)
      return expected("where, by, limit or the end");
    return boost::outcome_v2::success();
  }

  auto parseWhere(show_query &Query) -> result<void> {
    do {
      next();
      auto Condition = parseCondition();
      if (!Condition)
        return Condition.error();
      Query.Where.push_back(Condition.value());
    } while (isWord("and"));
    return boost::outcome_v2::success();
  }

  auto parseCondition() -> result<condition> {
    auto Column = takeWord("a column");
    if (!Column)
      return Column.error();
    const auto *Row =
        std::find_if(Comparisons.begin(), Comparisons.end(),
                     [&](const auto &Each) { return isSymbol(Each.Symbol); });
    if (Row == Comparisons.end())
      return expected("one of = != < > ~");
    next();
    auto Value = takeWord("a value");
    if (!Value)
      return Value.error();
    return condition{Column.value(), Row->Comparison, Value.value()};
  }

  auto parseLimit(show_query &Query) -> result<void> {
    next();
    std::uint64_t Limit = 0;
    const auto &Text = peek().Text;
    const auto *End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data(), End, Limit);
    if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
      return expected("a whole number");
    next();
    Query.Limit = Limit;
    return boost::outcome_v2::success();
  }

  auto parseCommands() -> result<statement> {
    change_command Change;
    for (;;) {
      auto Operation = parseCommand();
      if (!Operation)
        return Operation.error();
      Change.Operations.push_back(std::move(Operation.value()));
      if (!isSymbol(";"))
        break;
      next();
      if (peek().Kind == token_kind::End)
        break;
    }
    if (peek().Kind != token_kind::End)
      return expected("field=value, ; or the end");
    return statement(std::move(Change));
  }

  auto parseCommand() -> result<operation> {
    if (isWord("drain") || isWord("restore"))
      return parseDrain();
    const auto Verb = peek().Kind == token_kind::Word
                          ? parseOperationVerb(peek().Text)
                          : std::nullopt;
    if (!Verb)
      return expected("show, declare, set, withdraw, drain or restore");
    next();
    const auto Kind = peek().Kind == token_kind::Word
                          ? parseDeclarationKind(peek().Text)
                          : std::nullopt;
    if (!Kind)
      return expected(kindNames());
    next();
    auto Name = takeWord("a name");
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
      const auto Name = next().Text;
      if (!isSymbol("="))
        return expected("= after the field " + Name);
      next();
      auto Value = takeWord("a value for " + Name);
      if (!Value)
        return Value.error();
      Operation.Fields.push_back({Name, Value.value()});
    }
    return boost::outcome_v2::success();
  }

  auto parseDrain() -> result<operation> {
    const bool Drained = next().Text == "drain";
    if (!isWord("target"))
      return expected("target");
    next();
    auto Name = takeWord("the name of a target");
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

auto quote(const std::string &Word) -> std::string {
  const bool Plain =
      !Word.empty() && std::all_of(Word.begin(), Word.end(), [](char Each) {
        return std::isalnum(static_cast<unsigned char>(Each)) != 0 ||
               std::string_view("-_.:,*/@+").find(Each) !=
                   std::string_view::npos;
      });
  return Plain ? Word : "\"" + Word + "\"";
}

auto print(const show_query &Query) -> std::string {
  std::string Text = "show " + Query.Subject;
  if (!Query.Argument.empty())
    Text += " " + quote(Query.Argument);
  std::string_view Before = " where ";
  for (const auto &Each : Query.Where) {
    const auto &Row = Comparisons.at(static_cast<std::size_t>(Each.Comparison));
    Text += std::string(Before) + quote(Each.Column) + " " +
            std::string(Row.Symbol) + " " + quote(Each.Value);
    Before = " and ";
  }
  if (!Query.By.empty())
    Text += " by " + quote(Query.By);
  if (Query.Limit)
    Text += " limit " + std::to_string(*Query.Limit);
  return Text;
}

auto print(const change_command &Change) -> std::string {
  std::string Text;
  for (const auto &Operation : Change.Operations) {
    Text += Text.empty() ? "" : "; ";
    Text += std::string(nameOf(Operation.Verb)) + " " +
            std::string(nameOf(Operation.Kind)) + " " + quote(Operation.Name);
    for (const auto &Field : Operation.Fields)
      Text += " " + Field.Name + "=" + quote(Field.Value);
  }
  return Text;
}

} // namespace

auto subjectTable() -> std::vector<subject_row> {
  return {Subjects.begin(), Subjects.end()};
}

auto parseStatement(std::string_view Text) -> result<statement> {
  auto Tokens = scan(Text);
  if (!Tokens)
    return Tokens.error();
  return parser(std::move(Tokens.value())).parse();
}

auto toString(const statement &Statement) -> std::string {
  return std::visit([](const auto &Each) { return print(Each); }, Statement);
}

} // namespace limpetbridge
