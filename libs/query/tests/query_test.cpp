/// \file
/// Tests of the operators' language and of reports.

#include "query/inspect.h"
#include "query/language.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace limpetbridge;

class language_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(language_test);
  CPPUNIT_TEST(parse_showWithAllClauses_keepsEveryClause);
  CPPUNIT_TEST(parse_severalCommands_formOneChange);
  CPPUNIT_TEST(parse_drainTarget_declaresItDrained);
  CPPUNIT_TEST(parse_unexpectedToken_errorNamesColumnAndExpectation);
  CPPUNIT_TEST(parse_unclosedQuote_errorNamesColumn);
  CPPUNIT_TEST(parse_anyBytes_returnsStatementOrSyntaxError);
  CPPUNIT_TEST(toString_parsedAgain_givesEqualStatement);
  CPPUNIT_TEST(applyQueryClauses_whereByLimit_selectsRow);
  CPPUNIT_TEST(applyQueryClauses_unknownColumn_errorListsColumns);
  CPPUNIT_TEST(inspect_everySubject_returnsReport);
  CPPUNIT_TEST_SUITE_END();

public:
  auto parse_showWithAllClauses_keepsEveryClause() -> void {
    const auto Parsed = parseStatement(
        "show resident where model = notes and mb > 10 by mb limit 3");
    const auto &Query = std::get<show_query>(Parsed.value());
    CPPUNIT_ASSERT_EQUAL(std::string("resident"), Query.Subject);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Query.Where.size());
    CPPUNIT_ASSERT(Query.Where[1].Comparison == comparison::Greater);
    CPPUNIT_ASSERT_EQUAL(std::string("mb"), Query.By);
    CPPUNIT_ASSERT(Query.Limit == 3U);
  }

  auto parse_severalCommands_formOneChange() -> void {
    const auto Parsed = parseStatement(
        "declare model notes memory_mb=10; set caller desk models=notes,plan");
    const auto &Change = std::get<change_command>(Parsed.value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Change.Operations.size());
    CPPUNIT_ASSERT(Change.Operations[1].Verb == operation_verb::Set);
    CPPUNIT_ASSERT_EQUAL(std::string("notes,plan"),
                         Change.Operations[1].Fields[0].Value);
  }

  auto parse_drainTarget_declaresItDrained() -> void {
    const auto Parsed = parseStatement("drain target gpu-1");
    const auto &Change = std::get<change_command>(Parsed.value());
    CPPUNIT_ASSERT(Change.Operations[0].Kind == declaration_kind::Target);
    CPPUNIT_ASSERT_EQUAL(std::string("true"),
                         Change.Operations[0].Fields[0].Value);
  }

  auto parse_unexpectedToken_errorNamesColumnAndExpectation() -> void {
    expectError("show residents", "column 6: found 'residents', expected "
                                  "resident, waiting");
    expectError("declare modle x", "column 9: found 'modle', expected "
                                   "importance, model");
    expectError("show models limit x", "column 19: found 'x', expected a "
                                       "whole number");
    expectError("", "column 1: found the end, expected show");
    expectError("set model x memory_mb 3", "expected = after the field");
  }

  auto parse_unclosedQuote_errorNamesColumn() -> void {
    expectError("set model x serve=\"a", "column 19: the quote is not closed");
  }

  auto parse_anyBytes_returnsStatementOrSyntaxError() -> void {
    const bool Passed = rc::check([](const std::string &Text) {
      const auto Parsed = parseStatement(Text);
      RC_ASSERT(Parsed.has_value() ||
                Parsed.error().Code == result_code::SyntaxError);
    });
    CPPUNIT_ASSERT(Passed);
  }

  auto toString_parsedAgain_givesEqualStatement() -> void {
    for (const char *Text :
         {"show models where name ~ no by memory_mb limit 2", "show change c-1",
          "withdraw adapter a",
          "declare caller c token=\"a b\" models=*; drain target t"}) {
      const auto Statement = parseStatement(Text).value();
      CPPUNIT_ASSERT(parseStatement(toString(Statement)).value() == Statement);
    }
  }

  auto applyQueryClauses_whereByLimit_selectsRow() -> void {
    const report Report{{"name", "mb"},
                        {{"a", "100"}, {"b", "20"}, {"c", "3"}}};
    const auto Query = std::get<show_query>(
        parseStatement("show models where mb < 100 by mb limit 1").value());
    const auto Result = applyQueryClauses(Report, Query).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Result.Rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Result.Rows[0][0]);
  }

  auto applyQueryClauses_unknownColumn_errorListsColumns() -> void {
    const auto Query =
        std::get<show_query>(parseStatement("show models by colour").value());
    const auto Result = applyQueryClauses({{"name"}, {}}, Query);
    CPPUNIT_ASSERT(!Result.has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string("unknown column colour; known columns: name"),
        Result.error().Detail);
  }

  auto inspect_everySubject_returnsReport() -> void {
    const auto State = makeNode({}, 1);
    for (const auto &Row : subjectTable())
      CPPUNIT_ASSERT(inspect(State, {std::string(Row.Name), ""}, time_point())
                         .has_value());
  }

private:
  static void expectError(const char *Text, const std::string &ExpectedText) {
    const auto Parsed = parseStatement(Text);
    CPPUNIT_ASSERT(!Parsed.has_value());
    CPPUNIT_ASSERT_MESSAGE(Parsed.error().Detail,
                           Parsed.error().Detail.find(ExpectedText) !=
                               std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(language_test);
