#include "body_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace {

using namespace limpetbridge;

constexpr std::size_t Limit = 1000;

/// Shares of one budget; each remembers whether it was cancelled.
class body_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(body_budget_test);
  CPPUNIT_TEST(resize_withinTheLimit_nothingIsCancelled);
  CPPUNIT_TEST(resize_beyondTheLimit_largestIsCancelled);
  CPPUNIT_TEST(resize_beyondTheLimit_answersOfKnownLengthAreKept);
  CPPUNIT_TEST(resize_largestGrows_isCancelledItself);
  CPPUNIT_TEST(resize_manyEndlessAnswers_sumIsBounded);
  CPPUNIT_TEST(reset_cancelledShare_holdsAgain);
  CPPUNIT_TEST(destroy_share_returnsItsBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Shares.clear();
    Budget = std::make_unique<body_budget>(Limit);
    Cancelled.assign(40, false);
    for (std::size_t I = 0; I < Cancelled.size(); ++I)
      Shares.push_back(std::make_unique<body_budget::share>(
          *Budget, [this, I] { Cancelled[I] = true; }));
  }

  auto resize_withinTheLimit_nothingIsCancelled() -> void {
    CPPUNIT_ASSERT(Shares[0]->resize(600));
    CPPUNIT_ASSERT(Shares[1]->resize(400));
    CPPUNIT_ASSERT_EQUAL(Limit, Budget->heldBytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Budget->cancelCount());
  }

  auto resize_beyondTheLimit_largestIsCancelled() -> void {
    CPPUNIT_ASSERT(Shares[0]->resize(700));
    CPPUNIT_ASSERT(Shares[1]->resize(200));
    CPPUNIT_ASSERT(Shares[2]->resize(150));
    CPPUNIT_ASSERT(Cancelled[0] && !Cancelled[1] && !Cancelled[2]);
    CPPUNIT_ASSERT(!Shares[0]->resize(710));
    CPPUNIT_ASSERT_EQUAL(std::size_t{350}, Budget->heldBytes());
  }

  auto resize_beyondTheLimit_answersOfKnownLengthAreKept() -> void {
    CPPUNIT_ASSERT(Shares[0]->resize(700, true));
    CPPUNIT_ASSERT(Shares[1]->resize(200));
    CPPUNIT_ASSERT(!Shares[2]->resize(201));
    CPPUNIT_ASSERT(!Cancelled[0] && !Cancelled[1]);
  }

  auto resize_largestGrows_isCancelledItself() -> void {
    CPPUNIT_ASSERT(Shares[0]->resize(400));
    CPPUNIT_ASSERT(!Shares[1]->resize(900));
    CPPUNIT_ASSERT(!Cancelled[0]);
  }

  auto resize_manyEndlessAnswers_sumIsBounded() -> void {
    CPPUNIT_ASSERT(Shares[0]->resize(10));
    for (std::size_t Bytes = 1; Bytes <= 200; ++Bytes)
      for (std::size_t I = 1; I < Shares.size(); ++I) {
        static_cast<void>(Shares[I]->resize(Bytes));
        CPPUNIT_ASSERT(Budget->heldBytes() <= Limit);
      }
    CPPUNIT_ASSERT(!Cancelled[0]);
  }

  auto reset_cancelledShare_holdsAgain() -> void {
    CPPUNIT_ASSERT(!Shares[0]->resize(Limit + 1));
    Shares[0]->reset();
    CPPUNIT_ASSERT(Shares[0]->resize(Limit));
  }

  auto destroy_share_returnsItsBytes() -> void {
    CPPUNIT_ASSERT(Shares[0]->resize(Limit));
    Shares[0].reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Budget->heldBytes());
    CPPUNIT_ASSERT(Shares[1]->resize(Limit));
  }

private:
  std::unique_ptr<body_budget> Budget;
  std::vector<std::unique_ptr<body_budget::share>> Shares;
  std::vector<bool> Cancelled;
};

CPPUNIT_TEST_SUITE_REGISTRATION(body_budget_test);

} // namespace
