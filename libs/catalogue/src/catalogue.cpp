#include "catalogue/catalogue.h"

#include <algorithm>

namespace limpetbridge {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::int64_t BytesPerMb = 1'000'000;

constexpr std::array<std::string_view, 3> VerbNames = {"declare", "set",
                                                       "withdraw"};

auto isNameCharacter(char Character) -> bool {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.' || Character == ':';
}

auto isValidName(const std::string &Name) -> bool {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

auto describeDeclaration(const operation &Operation) -> std::string {
  return std::string(nameOf(Operation.Kind)) + " " + Operation.Name;
}

/// True if \p Names has \p Name or the wildcard `*`.
auto listsName(const name_list &Names, const std::string &Name) -> bool {
  return std::any_of(Names.begin(), Names.end(), [&](const auto &Listed) {
    return Listed == "*" || Listed == Name;
  });
}

auto toBytes(std::int64_t Mb) -> byte_count {
  return {static_cast<std::uint64_t>(Mb * BytesPerMb)};
}

/// Value of the field \p Name, or an empty text.
auto fieldValue(const std::vector<field_text> &Fields, std::string_view Name)
    -> std::string {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(),
                   [&](const field_text &Field) { return Field.Name == Name; });
  return Found == Fields.end() ? "" : Found->Value;
}

auto setFields(declaration_body &Body, const operation &Operation)
    -> result<void> {
  for (const auto &Field : Operation.Fields) {
    auto Stored = setField(Body, Field);
    if (!Stored)
      return failure(Stored.error().Code, describeDeclaration(Operation) +
                                              ": " + Stored.error().Detail);
  }
  return boost::outcome_v2::success();
}

auto checkRequiredFields(const operation &Operation) -> result<void> {
  for (const auto &Field : fieldsOf(Operation.Kind))
    if (Field.Required && fieldValue(Operation.Fields, Field.Name).empty())
      return failure(result_code::InvalidDeclaration,
                     describeDeclaration(Operation) + ": field " +
                         std::string(Field.Name) + " is required");
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
  catalogue Updated = *this;
  for (const auto &Operation : Change.Operations) {
    auto Applied = Updated.applyOperation(Operation);
    if (!Applied)
      return Applied.error();
  }
  auto Checked = Updated.checkReferences();
  if (!Checked)
    return Checked.error();
  Updated.Revision = Change.Revision;
  Updated.rebuildIndex();
  return Updated;
}

auto catalogue::applyOperation(const operation &Operation) -> result<void> {
  if (!isValidName(Operation.Name))
    return failure(result_code::InvalidDeclaration,
                   "'" + Operation.Name +
                       "' is not a valid name; expected 1 to 64 characters "
                       "of a-z A-Z 0-9 - _ . :");
  auto &OfKind = BodiesByKind[static_cast<std::size_t>(Operation.Kind)];
  const auto Found = OfKind.find(Operation.Name);
  if (Operation.Verb == operation_verb::Declare) {
    auto HasRequired = checkRequiredFields(Operation);
    if (!HasRequired)
      return HasRequired.error();
    auto Body = defaultBody(Operation.Kind);
    auto Stored = setFields(Body, Operation);
    if (!Stored)
      return Stored.error();
    OfKind[Operation.Name] = std::move(Body);
    return boost::outcome_v2::success();
  }
  if (Found == OfKind.end())
    return failure(result_code::UnknownName,
                   describeDeclaration(Operation) + " is not declared");
  if (Operation.Verb == operation_verb::Set)
    return setFields(Found->second, Operation);
  OfKind.erase(Found);
  return boost::outcome_v2::success();
}

auto catalogue::checkReferences() const -> result<void> {
  for (std::size_t Index = 0; Index < DeclarationKindCount; ++Index) {
    const auto Kind = static_cast<declaration_kind>(Index);
    const auto FieldDescriptions = fieldsOf(Kind);
    for (const auto &[Name, Body] : BodiesByKind[Index]) {
      const auto Fields = printFields(Body);
      for (const auto &Field : FieldDescriptions) {
        const auto ReferencedKind = parseDeclarationKind(Field.ReferencedKind);
        const auto Value = fieldValue(Fields, Field.Name);
        // The importance class `standard` exists without a declaration.
        const bool IsBuiltin = Value.empty() || Value == "standard";
        if (!ReferencedKind || IsBuiltin ||
            all(*ReferencedKind).contains(Value))
          continue;
        std::string Detail(nameOf(Kind));
        Detail += " " + Name + ": ";
        Detail += Field.Name;
        Detail += " names ";
        Detail += Field.ReferencedKind;
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
    auto Resolved = resolve(Adapter->Model);
    if (!Resolved)
      return std::nullopt;
    Resolved->Adapter = adapter_name(Name);
    Resolved->AdapterMemory = toBytes(Adapter->MemoryMb);
    return Resolved;
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
  return Body != nullptr && listsName(Body->Models, Name);
}

auto catalogue::mayUseService(const caller_name &Caller,
                              const service_name &Service) const -> bool {
  const auto *Body = find<caller_declaration>(Caller.Text);
  return Body != nullptr && listsName(Body->Services, Service.Text);
}

auto catalogue::snapshot() const -> change {
  change Snapshot{change_id("snapshot"), Revision, {}};
  for (std::size_t Index = 0; Index < DeclarationKindCount; ++Index)
    for (const auto &[Name, Body] : BodiesByKind[Index])
      Snapshot.Operations.push_back({operation_verb::Declare,
                                     static_cast<declaration_kind>(Index), Name,
                                     printFields(Body)});
  return Snapshot;
}

} // namespace limpetbridge
