/// \file
/// Requests that are still open when the deadline of a drain passes.

#include "world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace limpetbridge;

class drain_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(drain_test);
  CPPUNIT_TEST(drainDeadline_dispatchedCall_isAnsweredAsUnknown);
  CPPUNIT_TEST(drainDeadline_refusedAttempt_isAnsweredAsNotRun);
  CPPUNIT_TEST(drainDeadline_openCommand_isAnswered);
  CPPUNIT_TEST_SUITE_END();

public:
  auto drainDeadline_dispatchedCall_isAnsweredAsUnknown() -> void {
    world World(1);
    World.setDrainTimeout(seconds(1));
    const auto Id = World.requestBooking(0, 0);
    World.deliver(0);
    World.drain(0);
    World.advance(milliseconds(999));
    CPPUNIT_ASSERT(!endOf(World, Id));
    World.advance(milliseconds(1));
    expectEnd(World, Id, run_outcome::Unknown, result_code::OutcomeUnknown);
  }

  auto drainDeadline_refusedAttempt_isAnsweredAsNotRun() -> void {
    world World(1);
    World.setDrainTimeout(duration::zero());
    const auto Id = World.requestModel(0, 0);
    CPPUNIT_ASSERT(World.loseFirst("offer"));
    World.advance(duration::zero()); // The first retry follows at once.
    CPPUNIT_ASSERT(World.loseFirst("offer"));
    World.drain(0);
    World.advance(milliseconds(1));
    expectEnd(World, Id, run_outcome::NotRun, result_code::Draining);
    CPPUNIT_ASSERT(endOf(World, Id)->RetryAt != NoDeadline);
  }

  auto drainDeadline_openCommand_isAnswered() -> void {
    world World(1);
    World.setDrainTimeout(duration::zero());
    World.command(0, 8); // Its read of the table is never answered.
    World.drain(0);
    World.advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         World.stateOf(0).Configuration.Commands.size());
  }

private:
  /// The end that the caller received; null if there is none.
  static auto endOf(const world &World, const request_id &Id)
      -> const answer_end * {
    const auto *Request = World.oracleOf().find(Id);
    const bool Told =
        Request != nullptr && Request->End.Code != result_code::Ok;
    return Told ? &Request->End : nullptr;
  }

  static auto expectEnd(const world &World, const request_id &Id,
                        run_outcome Outcome, result_code Code) -> void {
    const auto *End = endOf(World, Id);
    CPPUNIT_ASSERT_MESSAGE("the entry ended without an answer", End != nullptr);
    CPPUNIT_ASSERT(End->Outcome == Outcome);
    CPPUNIT_ASSERT(End->Code == Code);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);
