/// \file
/// Holds pages and samples against the code.

#include "base/settings.h"
#include "catalogue/catalogue.h"
#include "errors_page.h"
#include "query/language.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <set>
#include <sstream>

using namespace limpetbridge;

class pages_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pages_test);
  CPPUNIT_TEST(errorsPage_comparedWithTable_isTheSame);
  CPPUNIT_TEST(languagePage_everyExample_parses);
  CPPUNIT_TEST(samples_everyFile_loads);
  CPPUNIT_TEST(operationsPage_everySetting_isListed);
  CPPUNIT_TEST(sources_everyJsonText_takesBytesThatAreNotUtf8);
  CPPUNIT_TEST_SUITE_END();

public:
  auto errorsPage_comparedWithTable_isTheSame() -> void {
    CPPUNIT_ASSERT_EQUAL(errorsPage(), pageText("docs/errors.md"));
  }

  /// Every line of an indented block is a statement; `!` marks a wrong one.
  auto languagePage_everyExample_parses() -> void {
    std::istringstream Lines(pageText("docs/operators/language.md"));
    std::string Line;
    int Examples = 0;
    while (std::getline(Lines, Line)) {
      if (!Line.starts_with("    "))
        continue;
      const auto Text = Line.substr(4);
      if (Text.find(":=") != std::string::npos || Text.starts_with("|"))
        continue;
      ++Examples;
      const bool Wrong = Text.starts_with("! ");
      const auto Parsed = parseStatement(Wrong ? Text.substr(2) : Text);
      CPPUNIT_ASSERT_MESSAGE(Text, Parsed.has_value() != Wrong);
    }
    CPPUNIT_ASSERT(Examples >= 10);
  }

  auto samples_everyFile_loads() -> void {
    int Files = 0;
    for (const auto &Each : std::filesystem::recursive_directory_iterator(
             std::string(SOURCE_FOLDER) + "/samples")) {
      if (Each.path().extension() != ".ini")
        continue;
      ++Files;
      const auto Text = readFile(Each.path().string()).value();
      if (Each.path().filename() == "declarations.ini")
        checkDeclarations(Text, Each.path().string());
      else
        checkSettingsFile(Text, Each.path().string());
    }
    CPPUNIT_ASSERT(Files >= 3);
  }

  auto operationsPage_everySetting_isListed() -> void {
    const auto Page = pageText("docs/OPERATIONS.md");
    for (const auto &Row : settingsTable()) {
      static const std::set<std::string_view> Sections = {
          "instance", "gateway",    "link",       "metrics", "store",
          "retry",    "loads",      "drain",      "log",     "controller",
          "targets",  "quarantine", "workspaces", "quota"};
      if (!Sections.contains(Row.Section))
        continue;
      const auto Cell =
          "| `" + std::string(Row.Section) + "." + std::string(Row.Key) +
          "` | " +
          (Row.Default.empty() ? std::string()
                               : "`" + std::string(Row.Default) + "`");
      CPPUNIT_ASSERT_MESSAGE(Cell, Page.find(Cell) != std::string::npos);
    }
  }

  /// The JSON library's dump() throws on such bytes, and an exception that
  /// leaves a task ends the process.
  auto sources_everyJsonText_takesBytesThatAreNotUtf8() -> void {
    int Files = 0;
    for (const auto *Folder : {"libs", "apps", "platform"})
      for (const auto &Each : std::filesystem::recursive_directory_iterator(
               std::string(SOURCE_FOLDER) + "/" + Folder)) {
        const auto &Path = Each.path();
        if (Path.extension() != ".cpp" && Path.extension() != ".h")
          continue;
        if (Path.filename() == "json_text.cpp" ||
            Path.string().find("/tests/") != std::string::npos)
          continue;
        ++Files;
        const auto Text = readFile(Path.string()).value();
        CPPUNIT_ASSERT_MESSAGE(Path.string(),
                               Text.find(".dump()") == std::string::npos);
      }
    CPPUNIT_ASSERT(Files >= 100);
  }

private:
  static auto pageText(const std::string &Page) -> std::string {
    return readFile(std::string(SOURCE_FOLDER) + "/" + Page).value();
  }

  static auto checkDeclarations(const std::string &Text,
                                const std::string &File) -> void {
    auto Operations = parseDeclarations(Text, File);
    CPPUNIT_ASSERT_MESSAGE(File, Operations.has_value());
    const auto Applied =
        catalogue().apply({change_id("c"), {1}, Operations.value()});
    CPPUNIT_ASSERT_MESSAGE(File +
                               (Applied ? "" : ": " + Applied.error().Detail),
                           Applied.has_value());
  }

  static auto checkSettingsFile(const std::string &Text,
                                const std::string &File) -> void {
    const auto Settings = parseSettings(Text, File);
    CPPUNIT_ASSERT_MESSAGE(File +
                               (Settings ? "" : ": " + Settings.error().Detail),
                           Settings.has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(pages_test);
