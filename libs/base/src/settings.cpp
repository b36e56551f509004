#include "base/settings.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <numeric>
#include <optional>
#include <sstream>
#include <vector>

namespace limpetbridge {

namespace {

namespace pt = boost::property_tree;

/// Location of a key in a settings file, for error messages.
struct key_location {
  const std::string &File;
  std::string_view Text;
  std::string_view Section;
  std::string_view Key;
};

auto trim(std::string_view Text) -> std::string_view {
  const auto First = Text.find_first_not_of(" \t\r");
  if (First == std::string_view::npos)
    return {};
  const auto Last = Text.find_last_not_of(" \t\r");
  return Text.substr(First, Last - First + 1);
}

/// Line number of the key, from 1; 0 if the text does not contain it.
auto findLine(const key_location &Location) -> std::size_t {
  std::istringstream Lines{std::string(Location.Text)};
  std::string Line;
  std::string Section;
  for (std::size_t Number = 1; std::getline(Lines, Line); ++Number) {
    const auto Content = trim(Line);
    if (Content.starts_with('[') && Content.ends_with(']'))
      Section = Content.substr(1, Content.size() - 2);
    const auto Key = trim(Content.substr(0, Content.find('=')));
    if (Section == Location.Section && Key == Location.Key)
      return Number;
  }
  return 0;
}

auto describeLocation(const key_location &Location) -> std::string {
  return Location.File + ":" + std::to_string(findLine(Location)) + ": [" +
         std::string(Location.Section) + "] " + std::string(Location.Key);
}

auto fullName(const setting_row &Row) -> std::string {
  return std::string(Row.Section) + "." + std::string(Row.Key);
}

auto nearestKey(const std::string &Name) -> std::string {
  const auto Table = settingsTable();
  const auto Nearest =
      std::min_element(Table.begin(), Table.end(),
                       [&](const setting_row &Left, const setting_row &Right) {
                         return editDistance(fullName(Left), Name) <
                                editDistance(fullName(Right), Name);
                       });
  return fullName(*Nearest);
}

auto findRow(std::string_view Section, std::string_view Key)
    -> const setting_row * {
  const auto Table = settingsTable();
  const auto Found =
      std::find_if(Table.begin(), Table.end(), [&](const setting_row &Row) {
        return Row.Section == Section && Row.Key == Key;
      });
  return Found == Table.end() ? nullptr : &*Found;
}

auto isChoice(std::string_view Choices, std::string_view Word) -> bool {
  std::istringstream Remaining{std::string(Choices)};
  std::string Choice;
  while (std::getline(Remaining, Choice, '|'))
    if (Choice == Word)
      return true;
  return false;
}

auto inRange(const setting_row &Row, std::int64_t Value) -> bool {
  return Value >= Row.Min && Value <= Row.Max;
}

auto rangeText(const setting_row &Row) -> std::string {
  return std::to_string(Row.Min) + " to " + std::to_string(Row.Max) +
         (Row.Unit.empty() ? "" : " " + std::string(Row.Unit));
}

/// Parses a number that is the whole of \p Text.
template <typename number>
auto parseWhole(std::string_view Text, number &Value) -> bool {
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  return Parsed.ec == std::errc() && Parsed.ptr == End;
}

/// Visitor of setting_slot that parses Text and stores it in Settings. It
/// returns a description of the expected value if Text is invalid, else none.
struct slot_writer {
  node_settings &Settings;
  const setting_row &Row;
  std::string_view Text;

  auto operator()(std::string node_settings::*Slot) const
      -> std::optional<std::string> {
    if (!Row.Choices.empty() && !isChoice(Row.Choices, Text))
      return "one of " + std::string(Row.Choices);
    if (!inRange(Row, static_cast<std::int64_t>(Text.size())))
      return "a text of " + rangeText(Row) + " characters";
    Settings.*Slot = std::string(Text);
    return std::nullopt;
  }

  auto operator()(std::int64_t node_settings::*Slot) const
      -> std::optional<std::string> {
    if (Row.Unit == "ms" && Text.ends_with('s'))
      return storeSeconds(Slot);
    std::int64_t Value = 0;
    if (!parseWhole(Text, Value) || !inRange(Row, Value))
      return "a whole number from " + rangeText(Row);
    Settings.*Slot = Value;
    return std::nullopt;
  }

  auto storeSeconds(std::int64_t node_settings::*Slot) const
      -> std::optional<std::string> {
    constexpr double MsPerSecond = 1000;
    double Value = 0;
    const bool IsNumber = parseWhole(Text.substr(0, Text.size() - 1), Value);
    const double Ms = std::round(Value * MsPerSecond);
    if (!IsNumber || !(Ms >= static_cast<double>(Row.Min) &&
                       Ms <= static_cast<double>(Row.Max)))
      return "seconds within " + rangeText(Row);
    Settings.*Slot = static_cast<std::int64_t>(Ms);
    return std::nullopt;
  }

  auto operator()(double node_settings::*Slot) const
      -> std::optional<std::string> {
    double Value = 0;
    if (!parseWhole(Text, Value) || !(Value >= static_cast<double>(Row.Min) &&
                                      Value <= static_cast<double>(Row.Max)))
      return "a number from " + rangeText(Row);
    Settings.*Slot = Value;
    return std::nullopt;
  }

  auto operator()(bool node_settings::*Slot) const
      -> std::optional<std::string> {
    // Templates may be filled by a program that writes True and False.
    const bool IsTrue = Text == "true" || Text == "True";
    if (!IsTrue && Text != "false" && Text != "False")
      return "true or false";
    Settings.*Slot = IsTrue;
    return std::nullopt;
  }
};

/// Visitor of setting_slot that formats the value in Settings as text.
struct slot_reader {
  const node_settings &Settings;

  auto operator()(std::string node_settings::*Slot) const -> std::string {
    return Settings.*Slot;
  }
  auto operator()(std::int64_t node_settings::*Slot) const -> std::string {
    return std::to_string(Settings.*Slot);
  }
  auto operator()(double node_settings::*Slot) const -> std::string {
    std::ostringstream Out;
    Out << Settings.*Slot;
    return Out.str();
  }
  auto operator()(bool node_settings::*Slot) const -> std::string {
    return Settings.*Slot ? "true" : "false";
  }
};

auto storeValue(node_settings &Settings, const key_location &Location,
                std::string_view Value) -> result<void> {
  const auto *Row = findRow(Location.Section, Location.Key);
  if (Row == nullptr) {
    const auto Name =
        std::string(Location.Section) + "." + std::string(Location.Key);
    return failure(result_code::UnknownSetting,
                   describeLocation(Location) +
                       " is not a setting; nearest is " + nearestKey(Name));
  }
  const auto Expected =
      std::visit(slot_writer{Settings, *Row, trim(Value)}, Row->Slot);
  if (Expected)
    return failure(result_code::InvalidSetting, describeLocation(Location) +
                                                    " = " + std::string(Value) +
                                                    "; expected " + *Expected);
  return boost::outcome_v2::success();
}

/// A file that is being written, or was cut off, must not replace settings by
/// their defaults.
auto checkComplete(std::string_view Text, const std::string &File)
    -> result<void> {
  if (Text.find('[') == std::string_view::npos)
    return failure(result_code::FileUnreadable,
                   File + " has no section; it is empty or was cut off");
  if (Text.back() != '\n')
    return failure(result_code::FileUnreadable,
                   File + " ends within a line; it was cut off");
  return boost::outcome_v2::success();
}

auto parseTree(std::string_view Text, const std::string &File)
    -> result<pt::ptree> {
  std::istringstream Stream{std::string(Text)};
  pt::ptree Tree;
  try {
    pt::read_ini(Stream, Tree);
  } catch (const pt::ini_parser_error &Error) {
    return failure(result_code::FileUnreadable,
                   File + ":" + std::to_string(Error.line()) + ": " +
                       Error.message());
  }
  return Tree;
}

} // namespace

auto editDistance(std::string_view Left, std::string_view Right)
    -> std::size_t {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = std::exchange(Row[0], I);
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Replace = Diagonal + (Left[I - 1] != Right[J - 1]);
      Diagonal = Row[J];
      Row[J] = std::min({Replace, Row[J] + 1, Row[J - 1] + 1});
    }
  }
  return Row.back();
}

auto defaultSettings() -> node_settings {
  node_settings Settings;
  for (const auto &Row : settingsTable())
    std::visit(slot_writer{Settings, Row, Row.Default}, Row.Slot);
  return Settings;
}

auto parseSettings(std::string_view Text, const std::string &File)
    -> result<node_settings> {
  if (const auto Complete = checkComplete(Text, File); !Complete)
    return Complete.error();
  auto Tree = parseTree(Text, File);
  if (!Tree)
    return Tree.error();
  auto Settings = defaultSettings();
  Settings.File = File;
  for (const auto &[Section, Keys] : Tree.value()) {
    if (Keys.empty())
      return failure(result_code::UnknownSetting,
                     describeLocation({File, Text, "", Section}) +
                         " stands outside a section");
    for (const auto &[Key, Value] : Keys) {
      auto Stored = storeValue(Settings, {File, Text, Section, Key},
                               Value.get_value<std::string>());
      if (!Stored)
        return Stored.error();
    }
  }
  return Settings;
}

auto readFile(const std::string &File) -> result<std::string> {
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    return failure(result_code::FileUnreadable, File + " cannot be opened");
  std::ostringstream Content;
  Content << Stream.rdbuf();
  return Content.str();
}

auto loadSettings(const std::string &File) -> result<node_settings> {
  auto Text = readFile(File);
  if (!Text)
    return Text.error();
  return parseSettings(Text.value(), File);
}

auto changedKeys(const node_settings &Before, const node_settings &After)
    -> std::vector<std::string> {
  std::vector<std::string> Names;
  for (const auto &Row : settingsTable()) {
    std::ostringstream Old;
    std::ostringstream New;
    Old << std::visit(slot_reader{Before}, Row.Slot);
    New << std::visit(slot_reader{After}, Row.Slot);
    if (Old.str() != New.str())
      Names.push_back(fullName(Row));
  }
  return Names;
}

auto printSettings(const node_settings &Settings) -> std::string {
  std::ostringstream Out;
  std::string_view Section;
  for (const auto &Row : settingsTable()) {
    if (Row.Section != Section)
      Out << (Section.empty() ? "" : "\n") << '[' << Row.Section << "]\n";
    Section = Row.Section;
    Out << "; " << Row.Help;
    if (std::holds_alternative<std::int64_t node_settings::*>(Row.Slot) ||
        std::holds_alternative<double node_settings::*>(Row.Slot))
      Out << " (" << rangeText(Row) << ')';
    if (!Row.Choices.empty())
      Out << " (" << Row.Choices << ')';
    Out << '\n'
        << Row.Key << " = " << std::visit(slot_reader{Settings}, Row.Slot)
        << '\n';
  }
  return Out.str();
}

} // namespace limpetbridge
