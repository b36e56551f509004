#include "catalogue/catalogue.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace limpetbridge {

namespace {

namespace pt = boost::property_tree;

/// Kind and name of a declaration.
struct declaration_key {
  declaration_kind Kind;
  std::string Name;
  auto operator<=>(const declaration_key &) const = default;
};

auto parseSection(const std::string &Section, const std::string &File)
    -> result<operation> {
  std::istringstream Words(Section);
  std::string Kind;
  operation Operation;
  Words >> Kind >> Operation.Name;
  const auto Parsed = parseDeclarationKind(Kind);
  std::string Rest;
  if (!Parsed || Operation.Name.empty() || (Words >> Rest))
    return failure(result_code::InvalidDeclaration,
                   File + ": section [" + Section +
                       "]: expected a kind and a name, such as [model notes]");
  Operation.Kind = *Parsed;
  return Operation;
}

auto needsChange(const catalogue &From, const operation &Wanted) -> bool {
  const auto &Of = From.all(Wanted.Kind);
  const auto Found = Of.find(Wanted.Name);
  if (Found == Of.end())
    return true;
  auto Body = emptyBody(Wanted.Kind);
  for (const auto &Field : Wanted.Fields)
    if (!setField(Body, Field))
      return true;
  return Body != Found->second;
}

auto withdrawals(const catalogue &From, const std::set<declaration_key> &Kept)
    -> std::vector<operation> {
  std::vector<operation> Steps;
  for (std::size_t Index = DeclarationKindCount; Index-- > 0;) {
    const auto Kind = static_cast<declaration_kind>(Index);
    if (Kind == declaration_kind::Target)
      continue;
    for (const auto &[Name, Body] : From.all(Kind))
      if (!Kept.contains({Kind, Name}))
        Steps.push_back({operation_verb::Withdraw, Kind, Name, {}});
  }
  return Steps;
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
    auto Operation = parseSection(Section, File);
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

auto planChange(const catalogue &From, const std::vector<operation> &Wanted,
                bool Prune) -> std::vector<operation> {
  std::vector<operation> Steps;
  std::set<declaration_key> Named;
  for (const auto &Each : Wanted) {
    Named.insert({Each.Kind, Each.Name});
    if (needsChange(From, Each))
      Steps.push_back(Each);
  }
  if (!Prune)
    return Steps;
  for (auto &Each : withdrawals(From, Named))
    Steps.push_back(std::move(Each));
  return Steps;
}

auto toString(const operation &Operation) -> std::string {
  std::string Text(nameOf(Operation.Verb));
  Text += " " + std::string(nameOf(Operation.Kind)) + " " + Operation.Name;
  for (const auto &Field : Operation.Fields)
    Text += " " + Field.Name + "=" + Field.Value;
  return Text;
}

} // namespace limpetbridge
