#include "serving/event_scanner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace {

using namespace limpetbridge::serving;

const std::string ByteOrderMark = "\xEF\xBB\xBF";

class event_scanner_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_scanner_test);
  CPPUNIT_TEST(scan_everyLineEnd_endsLinesAndEvents);
  CPPUNIT_TEST(scan_bytesOfAnIncompleteEvent_isInsideEvent);
  CPPUNIT_TEST(scan_commentsAndEmptyLines_areBetweenEvents);
  CPPUNIT_TEST(scan_anyChunkSizes_findsTheSamePositions);
  CPPUNIT_TEST_SUITE_END();

public:
  auto scan_everyLineEnd_endsLinesAndEvents() -> void {
    for (const auto &Input : std::vector<std::string>{
             "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: a\r\r",
             "data: a\n\r", "data: a\r\n\n", "data: a\n\r\n", "data: a\r\r\n",
             ByteOrderMark + "data: a\n\n", ": c\ndata: a\n: c\n\n",
             "data\n\n"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Input, std::uint64_t{1},
                                   scanned(Input).eventCount());
      CPPUNIT_ASSERT_MESSAGE(Input, scanned(Input).isBetweenEvents());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Input, std::uint64_t{2},
                                   scanned(Input + Input).eventCount());
    }
  }

  auto scan_bytesOfAnIncompleteEvent_isInsideEvent() -> void {
    const std::string Event = "data: a\n\n";
    for (const std::string Rest :
         {"d", "data: b", "data: b\n", "data: b\r", "data: b\r\n",
          "data: b\r\n\r", "id: 2\ndata: b\n", "data: b\n: c\n", ":", ": c"}) {
      CPPUNIT_ASSERT_MESSAGE(Rest, !scanned(Rest).isBetweenEvents());
      CPPUNIT_ASSERT_MESSAGE(Rest, !scanned(Event + Rest).isBetweenEvents());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Rest, std::uint64_t{1},
                                   scanned(Event + Rest).eventCount());
    }
  }

  auto scan_commentsAndEmptyLines_areBetweenEvents() -> void {
    for (const std::string Input : {"", "\n", "\r\n", "\r", "\n\n\r\n", ":\n",
                                    ": c\r\n", ": c\r", ": c\n\n: d\n"}) {
      CPPUNIT_ASSERT_MESSAGE(Input, scanned(Input).isBetweenEvents());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scanned(Input).eventCount());
    }
  }

  auto scan_anyChunkSizes_findsTheSamePositions() -> void {
    const bool Passed = rc::check("chunk sizes do not change positions", [] {
      const auto Input = *rc::gen::container<std::string>(
          rc::gen::element('a', ':', '\r', '\n'));
      event_scanner Scanner;
      std::size_t Offset = 0;
      while (Offset < Input.size()) {
        const auto Size = *rc::gen::inRange<std::size_t>(1, 5);
        Scanner.scanAll(std::string_view(Input).substr(Offset, Size));
        Offset += Size;
      }
      const auto Whole = scanned(Input);
      RC_ASSERT(Scanner.eventCount() == Whole.eventCount());
      RC_ASSERT(Scanner.isBetweenEvents() == Whole.isBetweenEvents());
    });
    CPPUNIT_ASSERT(Passed);
  }

private:
  static auto scanned(const std::string &Bytes) -> event_scanner {
    event_scanner Scanner;
    Scanner.scanAll(Bytes);
    return Scanner;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_scanner_test);

} // namespace
