#include "base/log_query.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace {

using namespace limpetbridge;

constexpr const char *Gateway =
    R"(collector: {"time_ms":1000,"level":"info","instance":"g1","event":"attempt_sent","request":"r1","target":"t1"}
{"time_ms":1005,"level":"info","instance":"g1","event":"attempt_sent","request":"r2","target":"t2"}
a line of something else
{"time_ms":1300,"level":"warning","instance":"g1","event":"attempt_ended","request":"r1","target":"t1","end":"unknown","took_ms":300}
{"time_ms":900,"level":"warning","instance":"g1","event":"request_refused","request":"r1","code":"outcome_unknown","reason":"the target broke off"}
{"time_ms":1400,"level":"wa
)";
constexpr const char *Controller =
    R"({"time_ms":1200,"level":"info","instance":"c1","event":"order_ended","target":"t1","order":"unload"}
)";

/// Logs of a gateway, whose clock steps back, and of a controller.
class log_query_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_query_test);
  CPPUNIT_TEST(read_oneRequest_leadsToItsCause);
  CPPUNIT_TEST(read_oneTarget_mergesProcesses);
  CPPUNIT_TEST(read_failuresOnly_leavesOutTheRest);
  CPPUNIT_TEST(read_cutLine_isCounted);
  CPPUNIT_TEST(print_record_namesInstanceEventAndFields);
  CPPUNIT_TEST_SUITE_END();

public:
  auto read_oneRequest_leadsToItsCause() -> void {
    log_filter Filter;
    Filter.Request = "r1";
    const auto Answer = ask(Filter);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Answer.Records.size());
    const auto &Last = Answer.Records.back();
    CPPUNIT_ASSERT_EQUAL(std::string("request_refused"), Last.Event);
    CPPUNIT_ASSERT(printRecord(Last).find("reason=the target broke off") !=
                   std::string::npos);
  }

  auto read_oneTarget_mergesProcesses() -> void {
    log_filter Filter;
    Filter.Target = "t1";
    const auto Answer = ask(Filter);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Answer.Records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c1"), Answer.Records[1].Instance);
  }

  auto read_failuresOnly_leavesOutTheRest() -> void {
    log_filter Filter;
    Filter.FailuresOnly = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ask(Filter).Records.size());
    Filter.Event = "attempt_ended";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ask(Filter).Records.size());
  }

  auto read_cutLine_isCounted() -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ask({}).Unreadable);
  }

  auto print_record_namesInstanceEventAndFields() -> void {
    log_filter Filter;
    Filter.Event = "order_ended";
    CPPUNIT_ASSERT_EQUAL(
        std::string("1200 c1 order_ended target=t1 order=unload"),
        printRecord(ask(Filter).Records.at(0)));
  }

private:
  static auto ask(const log_filter &Filter) -> log_answer {
    log_answer Answer;
    for (const auto *Text : {Gateway, Controller}) {
      std::istringstream Log(Text);
      readLog(Log, Filter, Answer);
    }
    mergeLogs(Answer);
    return Answer;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_query_test);

} // namespace
