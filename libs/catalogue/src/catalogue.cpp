#include "catalogue/catalogue.h"

#include <algorithm>

namespace limpetbridge {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::int64_t BytesPerMb = 1'000'000;

constexpr std::array<std::string_view, 3> VerbNames = {"declare", "set",
                                                       "withdraw"};

auto isNameCharacter(char Each) -> bool {
  return (Each >= 'a' && Each <= 'z') || (Each >= 'A' && Each <= 'Z') ||
         (Each >= '0' && Each <= '9') || Each == '-' || Each == '_' ||
         Each == '.' || Each == ':';
}

auto isName(const std::string &Name) -> bool {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

auto title(const operation &Operation) -> std::string {
  return std::string(nameOf(Operation.Kind)) + " " + Operation.Name;
}

auto contains(const name_list &Names, const std::string &Name) -> bool {
  return std::any_of(Names.begin(), Names.end(), [&](const auto &Each) {
    return Each == "*" || Each == Name;
  });
}

auto toBytes(std::int64_t Mb) -> byte_count {
  return {static_cast<std::uint64_t>(Mb * BytesPerMb)};
}

auto valueOf(const std::vector<field_text> &Fields, std::string_view Name)
    -> std::string {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(),
                   [&](const field_text &Each) { return Each.Name == Name; });
  return Found == Fields.end() ? "" : Found->Value;
}

auto setFields(declaration_body &Body, const operation &Operation)
    -> result<void> {
  for (const auto &Field : Operation.Fields) {
    auto Stored = setField(Body, Field);
    if (!Stored)
      return failure(Stored.error().Code,
                     title(Operation) + ": " + Stored.error().Detail);
  }
  return boost::outcome_v2::success();
}

auto checkRequired(const operation &Operation) -> result<void> {
  for (const auto &Field : fieldsOf(Operation.Kind))
    if (Field.Required && valueOf(Operation.Fields, Field.Name).empty())
      return failure(result_code::InvalidDeclaration,
                     title(Operation) + ": field " + std::string(Field.Name) +
                         " is required");
  return boost::outcome_v2::success();
}

} // namespace

auto nameOf(operation_verb Verb) -> std::string_view {
  return VerbNames.at(static_cast<std::size_t>(Verb));
}

auto parseOperationVerb(std::string_view Name)
    -> std::optional<operation_verb> {
  const auto *Found = std::find(VerbNames.begin(), VerbNames.end(), Name);
  if (Found == VerbNames.end())
    return std::nullopt;
  return static_cast<operation_verb>(Found - VerbNames.begin());
}

auto catalogue::apply(const change &Change) const -> result<catalogue> {
  catalogue Next = *this;
  for (const auto &Operation : Change.Operations) {
    auto Applied = Next.applyOperation(Operation);
    if (!Applied)
      return Applied.error();
  }
  auto Checked = Next.checkReferences();
  if (!Checked)
    return Checked.error();
  Next.Revision = Change.Revision;
  Next.rebuildIndex();
  return Next;
}

auto catalogue::applyOperation(const operation &Operation) -> result<void> {
  if (!isName(Operation.Name))
    return failure(result_code::InvalidDeclaration,
                   "'" + Operation.Name +
                       "' is not a name: 1 to 64 of a-z A-Z 0-9 - _ . :");
  auto &Of = Bodies[static_cast<std::size_t>(Operation.Kind)];
  const auto Found = Of.find(Operation.Name);
  if (Operation.Verb == operation_verb::Declare) {
    auto Complete = checkRequired(Operation);
    if (!Complete)
      return Complete.error();
    auto Body = emptyBody(Operation.Kind);
    auto Stored = setFields(Body, Operation);
    if (!Stored)
      return Stored.error();
    Of[Operation.Name] = std::move(Body);
    return boost::outcome_v2::success();
  }
  if (Found == Of.end())
    return failure(result_code::UnknownName,
                   title(Operation) + " is not declared");
  if (Operation.Verb == operation_verb::Set)
    return setFields(Found->second, Operation);
  Of.erase(Found);
  return boost::outcome_v2::success();
}

auto catalogue::checkReferences() const -> result<void> {
  for (std::size_t Index = 0; Index < DeclarationKindCount; ++Index) {
    const auto Kind = static_cast<declaration_kind>(Index);
    const auto Descriptions = fieldsOf(Kind);
    for (const auto &[Name, Body] : Bodies[Index]) {
      const auto Fields = printFields(Body);
      for (const auto &Field : Descriptions) {
        const auto Refers = parseDeclarationKind(Field.Refers);
        const auto Value = valueOf(Fields, Field.Name);
        const bool Builtin = Value.empty() || Value == "standard";
        if (!Refers || Builtin || all(*Refers).contains(Value))
          continue;
        std::string Detail(nameOf(Kind));
        Detail += " " + Name + ": ";
        Detail += Field.Name;
        Detail += " names ";
        Detail += Field.Refers;
        Detail += " " + Value + ", which is not declared";
        return failure(result_code::InvalidDeclaration, std::move(Detail));
      }
    }
  }
  return boost::outcome_v2::success();
}

auto catalogue::rebuildIndex() -> void {
  CallerByToken.clear();
  for (const auto &[Name, Body] : all(declaration_kind::Caller))
    CallerByToken[std::get<caller_declaration>(Body).Token] = Name;
}

auto catalogue::resolve(const std::string &Name) const
    -> std::optional<resolved_model> {
  if (const auto *Adapter = find<adapter_declaration>(Name)) {
    auto Base = resolve(Adapter->Model);
    if (!Base)
      return std::nullopt;
    Base->Adapter = adapter_name(Name);
    Base->AdapterMemory = toBytes(Adapter->MemoryMb);
    return Base;
  }
  if (const auto *Version = find<version_declaration>(Name)) {
    const auto *Model = find<model_declaration>(Version->Model);
    return resolved_model{model_name(Name),
                          {},
                          toBytes(Version->MemoryMb),
                          {},
                          Version->LoadMs,
                          Model == nullptr ? "standard" : Model->Importance};
  }
  const auto *Model = find<model_declaration>(Name);
  if (Model == nullptr)
    return std::nullopt;
  if (!Model->Serve.empty() && Model->Serve != Name)
    return resolve(Model->Serve);
  return resolved_model{
      model_name(Name), {}, toBytes(Model->MemoryMb), {}, Model->LoadMs,
      Model->Importance};
}

auto catalogue::callerOf(const std::string &Token) const -> caller_name {
  const auto Found = CallerByToken.find(Token);
  return Found == CallerByToken.end() ? caller_name()
                                      : caller_name(Found->second);
}

auto catalogue::mayUseModel(const caller_name &Caller,
                            const std::string &Name) const -> bool {
  const auto *Body = find<caller_declaration>(Caller.Text);
  return Body != nullptr && contains(Body->Models, Name);
}

auto catalogue::mayUseService(const caller_name &Caller,
                              const service_name &Service) const -> bool {
  const auto *Body = find<caller_declaration>(Caller.Text);
  return Body != nullptr && contains(Body->Services, Service.Text);
}

auto catalogue::snapshot() const -> change {
  change Whole{change_id("snapshot"), Revision, {}};
  for (std::size_t Index = 0; Index < DeclarationKindCount; ++Index)
    for (const auto &[Name, Body] : Bodies[Index])
      Whole.Operations.push_back({operation_verb::Declare,
                                  static_cast<declaration_kind>(Index), Name,
                                  printFields(Body)});
  return Whole;
}

} // namespace limpetbridge
