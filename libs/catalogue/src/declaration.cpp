#include "catalogue/declaration.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace limpetbridge {

namespace {

constexpr std::array<std::string_view, DeclarationKindCount> KindNames = {
    "importance", "model", "version", "adapter", "service", "caller", "target"};

constexpr std::int64_t MaxMemoryMb = 100'000'000;
constexpr std::int64_t MaxTimeMs = 3'600'000; // 1 hour.

/// Pointer to the member that stores a field.
template <typename body>
using field_pointer = std::variant<std::string body::*, std::int64_t body::*,
                                   bool body::*, name_list body::*>;

/// Row of a kind's field table. Min and Max bound a number's value, a text's
/// length in characters or a list's number of names.
template <typename body> struct field_row {
  std::string_view Name;
  field_pointer<body> Pointer;
  std::int64_t Min;
  std::int64_t Max;
  bool Required;
  std::string_view ReferencedKind;
  std::string_view Help;
};

template <typename body> struct field_table;

template <> struct field_table<importance_declaration> {
  using b = importance_declaration;
  static constexpr std::array Rows = {
      field_row<b>{"rank", &b::Rank, 0, 9, false, "",
                   "priority, 0 (highest) to 9"},
      field_row<b>{"first_token_ms", &b::FirstTokenMs, 1, MaxTimeMs, false, "",
                   "target time to first token, ms"},
      field_row<b>{"long_first_token_ms", &b::LongFirstTokenMs, 1, MaxTimeMs,
                   false, "", "the same for long work, ms"},
      field_row<b>{"short_tokens", &b::ShortTokens, 0, 10'000'000, false, "",
                   "largest number of tokens of short work"}};
};

template <> struct field_table<model_declaration> {
  using b = model_declaration;
  static constexpr std::array Rows = {
      field_row<b>{"memory_mb", &b::MemoryMb, 1, MaxMemoryMb, true, "",
                   "memory of a loaded copy, MB"},
      field_row<b>{"load_ms", &b::LoadMs, 1, MaxTimeMs, false, "",
                   "typical load time, ms"},
      field_row<b>{"importance", &b::Importance, 0, 64, false, "importance",
                   "importance of its work"},
      field_row<b>{"serve", &b::Serve, 0, 64, false, "version",
                   "version that is served"}};
};

template <> struct field_table<version_declaration> {
  using b = version_declaration;
  static constexpr std::array Rows = {
      field_row<b>{"model", &b::Model, 1, 64, true, "model",
                   "model that this is a version of"},
      field_row<b>{"memory_mb", &b::MemoryMb, 1, MaxMemoryMb, true, "",
                   "memory of a loaded copy, MB"},
      field_row<b>{"load_ms", &b::LoadMs, 1, MaxTimeMs, false, "",
                   "typical load time, ms"}};
};

template <> struct field_table<adapter_declaration> {
  using b = adapter_declaration;
  static constexpr std::array Rows = {
      field_row<b>{"model", &b::Model, 1, 64, true, "model",
                   "model that it is applied to"},
      field_row<b>{"memory_mb", &b::MemoryMb, 1, MaxMemoryMb, true, "",
                   "memory of a loaded copy, MB"}};
};

template <> struct field_table<service_declaration> {
  using b = service_declaration;
  static constexpr std::array Rows = {
      field_row<b>{"operations", &b::Operations, 1, 64, true, "",
                   "operations that callers may call"},
      field_row<b>{"non_idempotent", &b::NonIdempotent, 0, 64, false, "",
                   "operations that must not be retried"},
      field_row<b>{"importance", &b::Importance, 0, 64, false, "importance",
                   "importance of its work"}};
};

template <> struct field_table<caller_declaration> {
  using b = caller_declaration;
  static constexpr std::array Rows = {
      field_row<b>{"token", &b::Token, 8, 256, true, "", "bearer token"},
      field_row<b>{"models", &b::Models, 0, 4096, false, "",
                   "models, versions and adapters; *: all"},
      field_row<b>{"services", &b::Services, 0, 4096, false, "",
                   "services; *: all"},
      field_row<b>{"importance", &b::Importance, 0, 64, false, "importance",
                   "overrides the importance of the work"}};
};

template <> struct field_table<target_declaration> {
  using b = target_declaration;
  static constexpr std::array Rows = {field_row<b>{
      "drained", &b::Drained, 0, 1, false, "", "true: receives no new work"}};
};

auto splitList(std::string_view Text) -> name_list {
  name_list Names;
  std::istringstream Parts{std::string(Text)};
  std::string Part;
  while (std::getline(Parts, Part, ',')) {
    std::erase(Part, ' ');
    if (!Part.empty())
      Names.push_back(Part);
  }
  return Names;
}

auto joinList(const name_list &Names) -> std::string {
  std::string Text;
  for (const auto &Name : Names)
    Text += (Text.empty() ? "" : ",") + Name;
  return Text;
}

/// Parses a field's text and stores the value. \returns an empty string, or a
/// description of the expected value if the text is invalid.
template <typename body> struct field_writer {
  body &Body;
  const field_row<body> &Row;
  std::string_view Text;

  auto inRange(std::int64_t Value) const -> bool {
    return Value >= Row.Min && Value <= Row.Max;
  }
  auto rangeText() const -> std::string {
    return std::to_string(Row.Min) + " to " + std::to_string(Row.Max);
  }

  auto operator()(std::string body::*Pointer) const -> std::string {
    if (!inRange(static_cast<std::int64_t>(Text.size())))
      return "a text of " + rangeText() + " characters";
    Body.*Pointer = std::string(Text);
    return {};
  }
  auto operator()(std::int64_t body::*Pointer) const -> std::string {
    std::int64_t Value = 0;
    const auto *End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data(), End, Value);
    if (Parsed.ec != std::errc() || Parsed.ptr != End || !inRange(Value))
      return "a whole number from " + rangeText();
    Body.*Pointer = Value;
    return {};
  }
  auto operator()(bool body::*Pointer) const -> std::string {
    if (Text != "true" && Text != "false")
      return "true or false";
    Body.*Pointer = Text == "true";
    return {};
  }
  auto operator()(name_list body::*Pointer) const -> std::string {
    auto Names = splitList(Text);
    if (!inRange(static_cast<std::int64_t>(Names.size())))
      return "a list of " + rangeText() + " names";
    Body.*Pointer = std::move(Names);
    return {};
  }
};

/// Formats a field's value as text.
template <typename body> struct field_reader {
  const body &Body;

  auto operator()(std::string body::*Pointer) const -> std::string {
    return Body.*Pointer;
  }
  auto operator()(std::int64_t body::*Pointer) const -> std::string {
    return std::to_string(Body.*Pointer);
  }
  auto operator()(bool body::*Pointer) const -> std::string {
    return Body.*Pointer ? "true" : "false";
  }
  auto operator()(name_list body::*Pointer) const -> std::string {
    return joinList(Body.*Pointer);
  }
};

template <typename body>
auto setTypedField(body &Body, const field_text &Field) -> result<void> {
  for (const auto &Row : field_table<body>::Rows) {
    if (Row.Name != Field.Name)
      continue;
    const auto Expected =
        std::visit(field_writer<body>{Body, Row, Field.Value}, Row.Pointer);
    if (Expected.empty())
      return boost::outcome_v2::success();
    return failure(result_code::InvalidDeclaration,
                   Field.Name + "=" + Field.Value + ": expected " + Expected);
  }
  std::string KnownFields;
  for (const auto &Row : field_table<body>::Rows)
    KnownFields += " " + std::string(Row.Name);
  return failure(result_code::InvalidDeclaration,
                 "unknown field " + Field.Name +
                     "; known fields:" + KnownFields);
}

} // namespace

auto nameOf(declaration_kind Kind) -> std::string_view {
  return KindNames.at(static_cast<std::size_t>(Kind));
}

auto parseDeclarationKind(std::string_view Name)
    -> std::optional<declaration_kind> {
  const auto *Found = std::find(KindNames.begin(), KindNames.end(), Name);
  if (Found == KindNames.end())
    return std::nullopt;
  return static_cast<declaration_kind>(Found - KindNames.begin());
}

auto defaultBody(declaration_kind Kind) -> declaration_body {
  switch (Kind) {
  case declaration_kind::Importance:
    return importance_declaration{};
  case declaration_kind::Model:
    return model_declaration{};
  case declaration_kind::Version:
    return version_declaration{};
  case declaration_kind::Adapter:
    return adapter_declaration{};
  case declaration_kind::Service:
    return service_declaration{};
  case declaration_kind::Caller:
    return caller_declaration{};
  case declaration_kind::Target:
    return target_declaration{};
  }
  return target_declaration{};
}

auto fieldsOf(declaration_kind Kind) -> std::vector<field_description> {
  std::vector<field_description> Fields;
  const auto Body = defaultBody(Kind);
  std::visit(
      [&]<typename body>(const body &) {
        for (const auto &Row : field_table<body>::Rows)
          Fields.push_back(
              {Row.Name, Row.Required, Row.ReferencedKind, Row.Help});
      },
      Body);
  return Fields;
}

auto setField(declaration_body &Body, const field_text &Field) -> result<void> {
  return std::visit(
      [&](auto &TypedBody) -> result<void> {
        return setTypedField(TypedBody, Field);
      },
      Body);
}

auto printFields(const declaration_body &Body) -> std::vector<field_text> {
  std::vector<field_text> Fields;
  std::visit(
      [&]<typename body>(const body &TypedBody) {
        for (const auto &Row : field_table<body>::Rows)
          Fields.push_back(
              {std::string(Row.Name),
               std::visit(field_reader<body>{TypedBody}, Row.Pointer)});
      },
      Body);
  return Fields;
}

} // namespace limpetbridge
