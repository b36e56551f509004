#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

class call_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(call_test);
  CPPUNIT_TEST(describeParts_few_namesAllInHexadecimal);
  CPPUNIT_TEST(describeParts_many_countsTheRest);
  CPPUNIT_TEST(attemptEnded_failed_logNamesWhatWasAskedFor);
  CPPUNIT_TEST(attemptEnded_answered_logDoesNotNameIt);
  CPPUNIT_TEST_SUITE_END();

public:
  auto describeParts_few_namesAllInHexadecimal() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string(), describeParts({}));
    CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2,ff"),
                         describeParts({{0x5c1e07a2, 800}, {255, 1}}));
  }

  auto describeParts_many_countsTheRest() -> void {
    const std::vector<prompt_part> Parts(20, prompt_part{10, 1});
    CPPUNIT_ASSERT_EQUAL(std::string("a,a,a,a,a,a,a,a+12"),
                         describeParts(Parts));
  }

  auto attemptEnded_failed_logNamesWhatWasAskedFor() -> void {
    const auto Fields = logOfAttempt(attempt_end::Unknown);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), valueOf(Fields, "model"));
    CPPUNIT_ASSERT_EQUAL(std::string("1f"), valueOf(Fields, "parts"));
  }

  auto attemptEnded_answered_logDoesNotNameIt() -> void {
    const auto Fields = logOfAttempt(attempt_end::Answered);
    CPPUNIT_ASSERT_EQUAL(std::string("none"), valueOf(Fields, "parts"));
  }

private:
  using log_fields = std::vector<std::pair<std::string, std::string>>;

  static auto logOfAttempt(attempt_end End) -> log_fields {
    gateway_harness Harness;
    Harness.addTarget("e1", "models", {"a"});
    Harness.receiveRequest(31, "/chat/", "a");
    Harness.endAttempt(31, End);
    for (const auto &Note : Harness.effectsOf<write_note>())
      if (Note.Event == "attempt_ended")
        return Note.Fields;
    return {};
  }

  static auto valueOf(const log_fields &Fields, const std::string &Name)
      -> std::string {
    const auto Found =
        std::find_if(Fields.begin(), Fields.end(),
                     [&](const auto &Field) { return Field.first == Name; });
    return Found == Fields.end() ? "none" : Found->second;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_test);

} // namespace
