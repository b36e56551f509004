#include "catalogue/catalogue.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace limpetbridge {

namespace {

namespace pt = boost::property_tree;

/// Key of a declaration in a catalogue.
struct declaration_key {
  declaration_kind Kind;
  std::string Name;
  auto operator<=>(const declaration_key &) const = default;
};

/// Parses a section title such as `model notes` into an operation without
/// fields. \returns InvalidDeclaration for any other title.
auto parseSectionTitle(const std::string &Section, const std::string &File)
    -> result<operation> {
  std::istringstream Words(Section);
  std::string Kind;
  operation Operation;
  Words >> Kind >> Operation.Name;
  const auto ParsedKind = parseDeclarationKind(Kind);
  std::string Surplus;
  if (!ParsedKind || Operation.Name.empty() || (Words >> Surplus))
    return failure(result_code::InvalidDeclaration,
                   File + ": section [" + Section +
                       "]: expected a kind and a name, such as [model notes]");
  Operation.Kind = *ParsedKind;
  return Operation;
}

/// True if \p Current lacks the declaration or has other field values. An
/// invalid field counts as a difference; apply refuses it.
auto needsDeclare(const catalogue &Current, const operation &Desired) -> bool {
  const auto &OfKind = Current.all(Desired.Kind);
  const auto Found = OfKind.find(Desired.Name);
  if (Found == OfKind.end())
    return true;
  auto Body = defaultBody(Desired.Kind);
  for (const auto &Field : Desired.Fields)
    if (!setField(Body, Field))
      return true;
  return Body != Found->second;
}

/// Withdraws all declarations but those in \p Retained and targets, in reverse
/// order of kinds.
auto planWithdrawals(const catalogue &Current,
                     const std::set<declaration_key> &Retained)
    -> std::vector<operation> {
  std::vector<operation> Operations;
  for (std::size_t Index = DeclarationKindCount; Index-- > 0;) {
    const auto Kind = static_cast<declaration_kind>(Index);
    if (Kind == declaration_kind::Target)
      continue;
    for (const auto &[Name, Body] : Current.all(Kind))
      if (!Retained.contains({Kind, Name}))
        Operations.push_back({operation_verb::Withdraw, Kind, Name, {}});
  }
  return Operations;
}

} // namespace

auto parseDeclarations(std::string_view Text, const std::string &File)
    -> result<std::vector<operation>> {
  std::istringstream Stream{std::string(Text)};
  pt::ptree Tree;
  try {
    pt::read_ini(Stream, Tree);
  } catch (const pt::ini_parser_error &Error) {
    return failure(result_code::FileUnreadable,
                   File + ":" + std::to_string(Error.line()) + ": " +
                       Error.message());
  }
  std::vector<operation> Operations;
  for (const auto &[Section, Keys] : Tree) {
    auto Operation = parseSectionTitle(Section, File);
    if (!Operation)
      return Operation.error();
    for (const auto &[Key, Value] : Keys)
      Operation.value().Fields.push_back({Key, Value.get_value<std::string>()});
    Operations.push_back(std::move(Operation.value()));
  }
  std::stable_sort(Operations.begin(), Operations.end(),
                   [](const operation &Left, const operation &Right) {
                     return Left.Kind < Right.Kind;
                   });
  return Operations;
}

auto planChange(const catalogue &Current, const std::vector<operation> &Desired,
                bool Prune) -> std::vector<operation> {
  std::vector<operation> Operations;
  std::set<declaration_key> DesiredKeys;
  for (const auto &Declaration : Desired) {
    DesiredKeys.insert({Declaration.Kind, Declaration.Name});
    if (needsDeclare(Current, Declaration))
      Operations.push_back(Declaration);
  }
  if (!Prune)
    return Operations;
  for (auto &Withdrawal : planWithdrawals(Current, DesiredKeys))
    Operations.push_back(std::move(Withdrawal));
  return Operations;
}

auto toString(const operation &Operation) -> std::string {
  std::string Text(nameOf(Operation.Verb));
  Text += " " + std::string(nameOf(Operation.Kind)) + " " + Operation.Name;
  for (const auto &Field : Operation.Fields)
    Text += " " + Field.Name + "=" + Field.Value;
  return Text;
}

} // namespace limpetbridge
