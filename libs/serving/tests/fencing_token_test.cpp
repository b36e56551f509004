#include "serving/fencing_token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge::serving;

class fencing_token_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fencing_token_test);
  CPPUNIT_TEST(token_noEras_isTheVersion);
  CPPUNIT_TEST(token_restartsAndRestoresInAnyOrder_rises);
  CPPUNIT_TEST(token_outOfRange_isNone);
  CPPUNIT_TEST_SUITE_END();

public:
  auto token_noEras_isTheVersion() -> void {
    CPPUNIT_ASSERT(makeFencingToken({0, 41}) == 41U);
    CPPUNIT_ASSERT(makeFencingToken({0, 1ULL << 41U}) == 1ULL << 41U);
  }

  /// Guards against tokens that go back, or are given out twice, when the store
  /// returns from an older copy between two starts of a controller.
  auto token_restartsAndRestoresInAnyOrder_rises() -> void {
    CPPUNIT_ASSERT(rc::check([] {
      store_position Store{*rc::gen::inRange<std::uint64_t>(0, 9), 1};
      std::uint64_t Last = 0;
      const int Steps = *rc::gen::inRange(1, 60);
      for (int I = 0; I < Steps; ++I) {
        if (*rc::gen::inRange(0, 3) == 0 && Store.Era > 0) {
          ++Store.Era;
          Store.Version = *rc::gen::inRange<std::uint64_t>(0, Store.Version);
          continue;
        }
        Store.Version += *rc::gen::inRange(1, 1'000'000);
        const auto Token = makeFencingToken(Store);
        RC_ASSERT(Token.has_value());
        RC_ASSERT(*Token > Last);
        Last = *Token;
      }
    }));
  }

  auto token_outOfRange_isNone() -> void {
    CPPUNIT_ASSERT(makeFencingToken({8'388'607, (1ULL << 40U) - 1}));
    CPPUNIT_ASSERT(!makeFencingToken({8'388'608, 1}));
    CPPUNIT_ASSERT(!makeFencingToken({1, 1ULL << 40U}));
    CPPUNIT_ASSERT(!makeFencingToken({0, 1ULL << 63U}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fencing_token_test);

} // namespace
