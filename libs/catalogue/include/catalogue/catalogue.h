/// \file
/// The catalogue: everything that is declared at one revision, and the changes
/// that lead from one revision to the next.
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
  Declare, ///< Creates it or replaces it whole.
  Set,     ///< Changes the named fields of an existing one.
  Withdraw ///< Removes it.
};

/// Stable name of \p Verb, as in the operator language.
[[nodiscard]] auto nameOf(operation_verb Verb) -> std::string_view;
/// Verb of that name, if there is one.
[[nodiscard]] auto parseOperationVerb(std::string_view Name)
    -> std::optional<operation_verb>;

/// One step of a change.
struct operation {
  operation_verb Verb = operation_verb::Declare;
  declaration_kind Kind = declaration_kind::Model;
  std::string Name;
  std::vector<field_text> Fields;
  auto operator==(const operation &) const -> bool = default;
};

/// An atomic change of configuration: all of its operations or none.
struct change {
  change_id Id;
  limpetbridge::revision Revision; ///< Revision that it makes; 0 if proposed.
  std::vector<operation> Operations;
  auto operator==(const change &) const -> bool = default;
};

/// What a caller's model name stands for.
struct resolved_model {
  model_name Unit; ///< The model or version that an engine loads.
  adapter_name Adapter;
  byte_count Memory;
  byte_count AdapterMemory;
  std::int64_t LoadMs = 0;
  std::string Importance;
};

/// Everything declared at one revision. Copyable; changed only by apply.
class catalogue {
public:
  /// Revision of the last applied change; 0 when empty.
  [[nodiscard]] auto currentRevision() const -> revision { return Revision; }

  /// The catalogue after \p Change, or why it is refused
  /// (InvalidDeclaration, UnknownName). The revision is taken from Change.
  [[nodiscard]] auto apply(const change &Change) const -> result<catalogue>;

  /// Body of a declaration, or null.
  template <typename body>
  [[nodiscard]] auto find(const std::string &Name) const -> const body * {
    const auto &Of = Bodies[indexOf<body>()];
    const auto Found = Of.find(Name);
    return Found == Of.end() ? nullptr : std::get_if<body>(&Found->second);
  }

  /// All declarations of \p Kind by name.
  [[nodiscard]] auto all(declaration_kind Kind) const
      -> const std::map<std::string, declaration_body> & {
    return Bodies[static_cast<std::size_t>(Kind)];
  }

  /// What \p Name (model, version or adapter) stands for.
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

  /// The whole catalogue as one change that rebuilds it from nothing.
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
      Bodies;
  std::unordered_map<std::string, std::string> CallerByToken;
};

/// Operations that lead from \p From to the declarations in \p Wanted.
/// \param Prune withdraw what Wanted does not name, targets excepted.
[[nodiscard]] auto planChange(const catalogue &From,
                              const std::vector<operation> &Wanted, bool Prune)
    -> std::vector<operation>;

/// Reads declarations from an INI text: `[model notes]` and fields below.
[[nodiscard]] auto parseDeclarations(std::string_view Text,
                                     const std::string &File)
    -> result<std::vector<operation>>;

/// One operation in the operator language.
[[nodiscard]] auto toString(const operation &Operation) -> std::string;

/// A change as JSON text, as it stands in the table and on the wire.
[[nodiscard]] auto encodeChange(const change &Change) -> std::string;
/// Reads encodeChange back. \returns MalformedRequest when it cannot be read.
[[nodiscard]] auto decodeChange(std::string_view Text) -> result<change>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CATALOGUE_CATALOGUE_H
