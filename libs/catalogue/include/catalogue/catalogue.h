/// \file
/// The catalogue: all declarations at one revision of the configuration, and
/// the changes that produce the next revision.
#ifndef LIMPETBRIDGE_CATALOGUE_CATALOGUE_H
#define LIMPETBRIDGE_CATALOGUE_CATALOGUE_H

#include "catalogue/declaration.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetbridge {

/// What a change does to one declaration.
enum class operation_verb : std::uint8_t {
  Declare, ///< Creates it, or replaces all its fields.
  Set,     ///< Changes the given fields of an existing one.
  Withdraw ///< Removes it.
};

/// Stable name of \p Verb, as in the operator language.
[[nodiscard]] auto nameOf(operation_verb Verb) -> std::string_view;
/// Parses a stable name; empty if no verb has it.
[[nodiscard]] auto parseOperationVerb(std::string_view Name)
    -> std::optional<operation_verb>;

/// One operation of a change, on one declaration.
struct operation {
  operation_verb Verb = operation_verb::Declare;
  declaration_kind Kind = declaration_kind::Model;
  std::string Name;
  std::vector<field_text> Fields;
  auto operator==(const operation &) const -> bool = default;
};

/// An atomic change of configuration: all of its operations apply, or none.
struct change {
  change_id Id;
  limpetbridge::revision Revision; ///< Resulting revision; 0 while proposed.
  std::vector<operation> Operations;
  auto operator==(const change &) const -> bool = default;
};

/// Result of resolving the model name in a caller's request.
struct resolved_model {
  model_name Unit;      ///< The model or version that an engine loads.
  adapter_name Adapter; ///< Adapter to apply to it, or empty.
  byte_count Memory;    ///< Memory of a loaded copy of Unit.
  byte_count AdapterMemory;
  std::int64_t LoadMs = 0; ///< Typical load time of Unit, ms.
  std::string Importance;
};

/// All declarations at one revision. apply returns a changed copy.
class catalogue {
public:
  /// Revision of the last applied change; 0 if none was applied.
  [[nodiscard]] auto currentRevision() const -> revision { return Revision; }

  /// Returns a copy with \p Change applied, at the revision of Change.
  /// \returns InvalidDeclaration or UnknownName if Change is refused.
  [[nodiscard]] auto apply(const change &Change) const -> result<catalogue>;

  /// Body of the declaration \p Name, or null if it is not declared.
  template <typename body>
  [[nodiscard]] auto find(const std::string &Name) const -> const body * {
    const auto &OfKind = BodiesByKind[indexOf<body>()];
    const auto Found = OfKind.find(Name);
    return Found == OfKind.end() ? nullptr : std::get_if<body>(&Found->second);
  }

  /// All declarations of \p Kind, by name.
  [[nodiscard]] auto all(declaration_kind Kind) const
      -> const std::map<std::string, declaration_body> & {
    return BodiesByKind[static_cast<std::size_t>(Kind)];
  }

  /// Resolves the name of a model, version or adapter. A model with a `serve`
  /// field resolves to that version. Empty if \p Name is not declared.
  [[nodiscard]] auto resolve(const std::string &Name) const
      -> std::optional<resolved_model>;

  /// The caller with this bearer token, or an empty name.
  [[nodiscard]] auto callerOf(const std::string &Token) const -> caller_name;

  /// True when \p Caller may use the model, version or adapter \p Name.
  [[nodiscard]] auto mayUseModel(const caller_name &Caller,
                                 const std::string &Name) const -> bool;
  /// True when \p Caller may use \p Service.
  [[nodiscard]] auto mayUseService(const caller_name &Caller,
                                   const service_name &Service) const -> bool;

  /// The whole catalogue as one change that recreates it from an empty one.
  [[nodiscard]] auto snapshot() const -> change;

private:
  template <typename body> static constexpr auto indexOf() -> std::size_t {
    return declaration_body(body{}).index();
  }
  auto applyOperation(const operation &Operation) -> result<void>;
  auto checkReferences() const -> result<void>;
  auto rebuildIndex() -> void;

  limpetbridge::revision Revision;
  std::array<std::map<std::string, declaration_body>, DeclarationKindCount>
      BodiesByKind;
  std::unordered_map<std::string, std::string> CallerByToken;
};

/// Operations that bring \p Current to the declarations in \p Desired.
/// \param Prune withdraw declarations that Desired lacks, except targets.
[[nodiscard]] auto planChange(const catalogue &Current,
                              const std::vector<operation> &Desired, bool Prune)
    -> std::vector<operation>;

/// Parses declarations from INI text, with sections such as `[model notes]`.
/// \param File name that error messages show.
/// \returns FileUnreadable or InvalidDeclaration if Text is malformed.
[[nodiscard]] auto parseDeclarations(std::string_view Text,
                                     const std::string &File)
    -> result<std::vector<operation>>;

/// One operation in the operator language.
[[nodiscard]] auto toString(const operation &Operation) -> std::string;

/// Encodes a change as the JSON text of the table and of the wire.
[[nodiscard]] auto encodeChange(const change &Change) -> std::string;
/// Decodes the text of encodeChange. \returns MalformedRequest if it is
/// invalid.
[[nodiscard]] auto decodeChange(std::string_view Text) -> result<change>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CATALOGUE_CATALOGUE_H
