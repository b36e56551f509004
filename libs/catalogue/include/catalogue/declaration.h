/// \file
/// What operators declare: models, adapters, versions, callers, services,
/// importance classes and the service state of targets.
#ifndef LIMPETBRIDGE_CATALOGUE_DECLARATION_H
#define LIMPETBRIDGE_CATALOGUE_DECLARATION_H

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpetbridge {

/// Kinds of declarations, in the order in which they may refer to each other.
enum class declaration_kind : std::uint8_t {
  Importance,
  Model,
  Version,
  Adapter,
  Service,
  Caller,
  Target
};

/// Number of enumerators of declaration_kind.
inline constexpr std::size_t DeclarationKindCount = 7;

/// Stable name of \p Kind, as in the operator language.
[[nodiscard]] auto nameOf(declaration_kind Kind) -> std::string_view;
/// Kind of that name, if there is one.
[[nodiscard]] auto parseDeclarationKind(std::string_view Name)
    -> std::optional<declaration_kind>;

/// A list of names as it stands in a declaration; `*` means all.
using name_list = std::vector<std::string>;

/// How important a kind of work is.
struct importance_declaration {
  std::int64_t Rank = 5;                ///< 0 is served first, 9 last.
  std::int64_t FirstTokenMs = 1300;     ///< Aim for the first token, ms.
  std::int64_t LongFirstTokenMs = 5000; ///< The same for long work, ms.
  std::int64_t ShortTokens = 2048; ///< Work of fewer tokens counts as short.
  auto operator==(const importance_declaration &) const -> bool = default;
};

/// A model that engines can load.
struct model_declaration {
  std::int64_t MemoryMb = 0;  ///< Memory that a loaded copy takes, MB.
  std::int64_t LoadMs = 2000; ///< Usual time of a load, ms.
  std::string Importance = "standard";
  std::string Serve; ///< Version answered with; empty is the model itself.
  auto operator==(const model_declaration &) const -> bool = default;
};

/// A version of a model: weights of its own under the model's name.
struct version_declaration {
  std::string Model;
  std::int64_t MemoryMb = 0;  ///< Memory that a loaded copy takes, MB.
  std::int64_t LoadMs = 2000; ///< Usual time of a load, ms.
  auto operator==(const version_declaration &) const -> bool = default;
};

/// A small set of weights that rides on a model.
struct adapter_declaration {
  std::string Model;
  std::int64_t MemoryMb = 0; ///< Memory that a loaded copy takes, MB.
  auto operator==(const adapter_declaration &) const -> bool = default;
};

/// A plain service beside the model engines.
struct service_declaration {
  name_list Operations;    ///< Operations that callers may ask for.
  name_list NonIdempotent; ///< Operations that must not be repeated.
  std::string Importance = "standard";
  auto operator==(const service_declaration &) const -> bool = default;
};

/// Who may call, and what.
struct caller_declaration {
  std::string Token;
  name_list Models;       ///< Models, versions and adapters; `*` is all.
  name_list Services;     ///< Services; `*` is all.
  std::string Importance; ///< Overrides the importance of the work if set.
  auto operator==(const caller_declaration &) const -> bool = default;
};

/// Service state of a target.
struct target_declaration {
  bool Drained = false; ///< True: no new work.
  auto operator==(const target_declaration &) const -> bool = default;
};

/// Body of a declaration of any kind, in the order of declaration_kind.
using declaration_body =
    std::variant<importance_declaration, model_declaration, version_declaration,
                 adapter_declaration, service_declaration, caller_declaration,
                 target_declaration>;

/// A field of a declaration as text.
struct field_text {
  std::string Name;
  std::string Value;
  auto operator==(const field_text &) const -> bool = default;
};

/// A field that a kind has.
struct field_description {
  std::string_view Name;
  bool Required = false;
  std::string_view Refers; ///< Kind of the name it holds, or empty.
  std::string_view Help;
};

/// The fields of \p Kind.
[[nodiscard]] auto fieldsOf(declaration_kind Kind)
    -> std::vector<field_description>;

/// An empty body of \p Kind with defaults.
[[nodiscard]] auto emptyBody(declaration_kind Kind) -> declaration_body;

/// Sets one field. \returns InvalidDeclaration with what was expected.
[[nodiscard]] auto setField(declaration_body &Body, const field_text &Field)
    -> result<void>;

/// Every field as text, in the order of fieldsOf.
[[nodiscard]] auto printFields(const declaration_body &Body)
    -> std::vector<field_text>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CATALOGUE_DECLARATION_H
