/// \file
/// Holds pages and samples against the code.

#include "base/settings.h"
#include "catalogue/catalogue.h"
#include "errors_page.h"
#include "query/language.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <sstream>

using namespace limpetbridge;

class pages_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pages_test);
  CPPUNIT_TEST(errorsPage_comparedWithTable_isTheSame);
  CPPUNIT_TEST(languagePage_everyExample_parses);
  CPPUNIT_TEST(samples_everyFile_loads);
  CPPUNIT_TEST_SUITE_END();

public:
  void errorsPage_comparedWithTable_isTheSame() {
    CPPUNIT_ASSERT_EQUAL(errorsPage(), pageText("docs/errors.md"));
  }

  /// Every line of an indented block is a statement; `!` marks a wrong one.
  void languagePage_everyExample_parses() {
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

  void samples_everyFile_loads() {
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

private:
  static auto pageText(const std::string &Page) -> std::string {
    return readFile(std::string(SOURCE_FOLDER) + "/" + Page).value();
  }

  static void checkDeclarations(const std::string &Text,
                                const std::string &File) {
    auto Operations = parseDeclarations(Text, File);
    CPPUNIT_ASSERT_MESSAGE(File, Operations.has_value());
    const auto Applied =
        catalogue().apply({change_id("c"), {1}, Operations.value()});
    CPPUNIT_ASSERT_MESSAGE(File +
                               (Applied ? "" : ": " + Applied.error().Detail),
                           Applied.has_value());
  }

  static void checkSettingsFile(const std::string &Text,
                                const std::string &File) {
    const auto Settings = parseSettings(Text, File);
    CPPUNIT_ASSERT_MESSAGE(File +
                               (Settings ? "" : ": " + Settings.error().Detail),
                           Settings.has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(pages_test);
