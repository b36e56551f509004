#include "base/log_query.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace {

using namespace limpetbridge;

constexpr const char *GatewayLog =
    R"(collector: {"time_ms":1000,"level":"info","instance":"g1","event":"attempt_sent","request":"r1","target":"t1"}
{"time_ms":1005,"level":"info","instance":"g1","event":"attempt_sent","request":"r2","target":"t2"}
a line of something else
{"time_ms":1300,"level":"warning","instance":"g1","event":"attempt_ended","request":"r1","target":"t1","end":"unknown","took_ms":300}
{"time_ms":900,"level":"warning","instance":"g1","event":"request_refused","request":"r1","code":"outcome_unknown","reason":"the target broke off"}
{"time_ms":1400,"level":"wa
)";
constexpr const char *ControllerLog =
    R"({"time_ms":1200,"level":"info","instance":"c1","event":"order_ended","target":"t1","order":"unload"}
)";

/// Queries the logs of a controller and of a gateway whose clock steps back.
class log_query_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_query_test);
  CPPUNIT_TEST(readLog_oneRequest_endsWithRefusalAndReason);
  CPPUNIT_TEST(readLog_oneTarget_mergesProcessesByTime);
  CPPUNIT_TEST(readLog_failuresOnly_omitsInfoLines);
  CPPUNIT_TEST(readLog_truncatedLine_countedAsUnreadable);
  CPPUNIT_TEST(printRecord_oneRecord_showsTimeInstanceEventAndFields);
  CPPUNIT_TEST_SUITE_END();

public:
  auto readLog_oneRequest_endsWithRefusalAndReason() -> void {
    log_filter Filter;
    Filter.Request = "r1";
    const auto Result = readAndMerge(Filter);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Result.Records.size());
    const auto &Last = Result.Records.back();
    CPPUNIT_ASSERT_EQUAL(std::string("request_refused"), Last.Event);
    CPPUNIT_ASSERT(printRecord(Last).find("reason=the target broke off") !=
                   std::string::npos);
  }

  auto readLog_oneTarget_mergesProcessesByTime() -> void {
    log_filter Filter;
    Filter.Target = "t1";
    const auto Result = readAndMerge(Filter);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Result.Records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c1"), Result.Records[1].Instance);
  }

  auto readLog_failuresOnly_omitsInfoLines() -> void {
    log_filter Filter;
    Filter.FailuresOnly = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readAndMerge(Filter).Records.size());
    Filter.Event = "attempt_ended";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readAndMerge(Filter).Records.size());
  }

  auto readLog_truncatedLine_countedAsUnreadable() -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readAndMerge({}).Unreadable);
  }

  auto printRecord_oneRecord_showsTimeInstanceEventAndFields() -> void {
    log_filter Filter;
    Filter.Event = "order_ended";
    CPPUNIT_ASSERT_EQUAL(
        std::string("1200 c1 order_ended target=t1 order=unload"),
        printRecord(readAndMerge(Filter).Records.at(0)));
  }

private:
  static auto readAndMerge(const log_filter &Filter) -> log_query_result {
    log_query_result Result;
    for (const auto *Text : {GatewayLog, ControllerLog}) {
      std::istringstream Log(Text);
      readLog(Log, Filter, Result);
    }
    mergeLogs(Result);
    return Result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_query_test);

} // namespace
