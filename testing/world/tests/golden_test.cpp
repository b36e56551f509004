/// \file
/// Golden sessions: each replays without a difference, and is what its
/// scripted failure still records.

#include "base/settings.h"
#include "core/transcript.h"
#include "scenarios.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace limpetbridge;

class golden_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(golden_test);
  CPPUNIT_TEST(sessions_replayed_showNoDifference);
  CPPUNIT_TEST(sessions_recordedAgain_areTheSame);
  CPPUNIT_TEST(replay_changedEffect_namesItsLine);
  CPPUNIT_TEST_SUITE_END();

public:
  auto sessions_replayed_showNoDifference() -> void {
    for (const auto &Scenario : allScenarios()) {
      const auto Result = replaySession(goldenText(Scenario));
      CPPUNIT_ASSERT_MESSAGE(
          Scenario.Name + ": " +
              (Result ? std::string() : Result.error().Detail),
          Result.has_value() && Result.value().Events > 0);
    }
  }

  auto sessions_recordedAgain_areTheSame() -> void {
    for (const auto &Scenario : allScenarios()) {
      std::vector<std::string> Broken;
      const auto Text = recordScenario(Scenario, Broken);
      CPPUNIT_ASSERT_MESSAGE(Scenario.Name, Broken.empty());
      CPPUNIT_ASSERT_MESSAGE(Scenario.Name, Text == goldenText(Scenario));
    }
  }

  auto replay_changedEffect_namesItsLine() -> void {
    auto Text = goldenText(allScenarios().front());
    const auto At = Text.find("attempt_started");
    CPPUNIT_ASSERT(At != std::string::npos);
    Text.replace(At, 7, "ATTEMPT");
    const auto Result = replaySession(Text);
    CPPUNIT_ASSERT(!Result.has_value());
    CPPUNIT_ASSERT(Result.error().Detail.starts_with("line "));
  }

private:
  static auto goldenText(const scenario &Scenario) -> std::string {
    return readFile(std::string(GOLDEN_FOLDER) + "/" + Scenario.Name + ".jsonl")
        .value();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(golden_test);
