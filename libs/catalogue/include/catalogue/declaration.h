/// \file
/// Declarations, the operators' configuration: importance classes, models,
/// versions, adapters, services, callers and the drain state of targets.
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

/// Kinds of declarations, ordered so that most kinds refer only to earlier
/// ones; a model's `serve` field refers to a version.
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
/// Parses a stable name; empty if no kind has it.
[[nodiscard]] auto parseDeclarationKind(std::string_view Name)
    -> std::optional<declaration_kind>;

/// List of names in a declaration. Where callers are granted access, `*`
/// matches every name.
using name_list = std::vector<std::string>;

/// Importance class: the priority and latency targets of work.
struct importance_declaration {
  std::int64_t Rank = 5;                ///< Priority, 0 (highest) to 9.
  std::int64_t FirstTokenMs = 1300;     ///< Target time to first token, ms.
  std::int64_t LongFirstTokenMs = 5000; ///< The same for long work, ms.
  /// Largest number of tokens, of prompt and output together, of short work.
  std::int64_t ShortTokens = 2048;
  auto operator==(const importance_declaration &) const -> bool = default;
};

/// A model that engines can load.
struct model_declaration {
  std::int64_t MemoryMb = 0;  ///< Memory of a loaded copy, MB.
  std::int64_t LoadMs = 2000; ///< Typical load time, ms.
  std::string Importance = "standard";
  std::string Serve; ///< Version that is served; empty: the model itself.
  auto operator==(const model_declaration &) const -> bool = default;
};

/// A version of a model, with weights of its own.
struct version_declaration {
  std::string Model;
  std::int64_t MemoryMb = 0;  ///< Memory of a loaded copy, MB.
  std::int64_t LoadMs = 2000; ///< Typical load time, ms.
  auto operator==(const version_declaration &) const -> bool = default;
};

/// An adapter: a small set of weights that is applied to a model.
struct adapter_declaration {
  std::string Model;
  std::int64_t MemoryMb = 0; ///< Memory of a loaded copy, MB.
  auto operator==(const adapter_declaration &) const -> bool = default;
};

/// A service that is not a model engine.
struct service_declaration {
  name_list Operations;    ///< Operations that callers may call.
  name_list NonIdempotent; ///< Operations that must not be retried.
  std::string Importance = "standard";
  auto operator==(const service_declaration &) const -> bool = default;
};

/// A caller, its credentials and its access rights.
struct caller_declaration {
  std::string Token;      ///< Bearer token.
  name_list Models;       ///< Models, versions and adapters; `*`: all.
  name_list Services;     ///< Services; `*`: all.
  std::string Importance; ///< Overrides the importance of the work if set.
  auto operator==(const caller_declaration &) const -> bool = default;
};

/// Drain state of a target.
struct target_declaration {
  bool Drained = false; ///< True: receives no new work.
  auto operator==(const target_declaration &) const -> bool = default;
};

/// Body of a declaration of any kind, in the order of declaration_kind.
using declaration_body =
    std::variant<importance_declaration, model_declaration, version_declaration,
                 adapter_declaration, service_declaration, caller_declaration,
                 target_declaration>;

/// Name and value of a declaration's field, both as text.
struct field_text {
  std::string Name;
  std::string Value;
  auto operator==(const field_text &) const -> bool = default;
};

/// Metadata of a field.
struct field_description {
  std::string_view Name;
  bool Required = false;
  std::string_view ReferencedKind; ///< Kind that its value names, or empty.
  std::string_view Help;
};

/// Fields of declarations of \p Kind, in the order in which they are printed.
[[nodiscard]] auto fieldsOf(declaration_kind Kind)
    -> std::vector<field_description>;

/// A body of \p Kind with the default values.
[[nodiscard]] auto defaultBody(declaration_kind Kind) -> declaration_body;

/// Sets one field from text. \returns InvalidDeclaration, with the known fields
/// or the expected value, if the field is unknown or its value is invalid.
[[nodiscard]] auto setField(declaration_body &Body, const field_text &Field)
    -> result<void>;

/// All fields as text, in the order of fieldsOf.
[[nodiscard]] auto printFields(const declaration_body &Body)
    -> std::vector<field_text>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CATALOGUE_DECLARATION_H
