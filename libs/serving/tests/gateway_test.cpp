#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

class gateway_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_test);
  CPPUNIT_TEST(arrive_noConfiguration_isNotReady);
  CPPUNIT_TEST(arrive_noRoute_isNotFound);
  CPPUNIT_TEST(arrive_refusedAtOnce_isLoggedWithItsId);
  CPPUNIT_TEST(arrive_noTarget_isRefusedAtOnce);
  CPPUNIT_TEST(arrive_leavingTarget_getsNothing);
  CPPUNIT_TEST(end_nonIdempotentUnknown_isNeverRepeated);
  CPPUNIT_TEST(end_nonIdempotentNotRun_isRepeatedElsewhere);
  CPPUNIT_TEST(end_idempotentFailed_isRepeatedThenRelayed);
  CPPUNIT_TEST(end_repeatAfterUnknown_isNeverCalledNotRun);
  CPPUNIT_TEST(end_cutResumableStream_goesOnElsewhere);
  CPPUNIT_TEST(end_budgetSpent_isNotRepeated);
  CPPUNIT_TEST(deadline_running_isUnknown);
  CPPUNIT_TEST(configuration_olderVersion_isIgnored);
  CPPUNIT_TEST(target_olderLife_isIgnored);
  CPPUNIT_TEST(target_laterLifeAtItsAddress_takesItsPlace);
  CPPUNIT_TEST(target_strayRowAtItsAddress_hidesNobody);
  CPPUNIT_TEST(told_laterLife_endsTheOneBefore);
  CPPUNIT_TEST(target_leavingTwice_staysLeaving);
  CPPUNIT_TEST(list_withoutTarget_losesItAfterTheGrace);
  CPPUNIT_TEST(lost_justAfterTheStoreIsBack_isKeptForTheGrace);
  CPPUNIT_TEST(anyEnds_anyOrder_keepThePromises);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { World = gateway_world(); }

  auto arrive_noConfiguration_isNotReady() -> void {
    World.State = makeGatewayState({});
    World.arrive(1, "/read/x");
    CPPUNIT_ASSERT(refusal().Code == result_code::NotReady);
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto arrive_noRoute_isNotFound() -> void {
    World.arrive(1, "/other/");
    CPPUNIT_ASSERT(refusal().Code == result_code::NotFound);
  }

  auto arrive_refusedAtOnce_isLoggedWithItsId() -> void {
    World.arrive(7, "/other/");
    expectNoteOf("7");
    CPPUNIT_ASSERT(World.State.Requests.empty());
    World.State = makeGatewayState({});
    World.arrive(8, "/read/x");
    expectNoteOf("8");
    CPPUNIT_ASSERT(World.State.Requests.empty());
  }

  auto arrive_noTarget_isRefusedAtOnce() -> void {
    World.arrive(1, "/read/x");
    CPPUNIT_ASSERT(refusal().Code == result_code::NoTarget);
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto arrive_leavingTarget_getsNothing() -> void {
    addLedgers();
    leave("l1");
    for (request_number Number = 1; Number <= 5; ++Number) {
      World.arrive(Number, "/read/x");
      CPPUNIT_ASSERT_EQUAL(std::string("l2"), sent().Target.Text);
    }
  }

  auto end_nonIdempotentUnknown_isNeverRepeated() -> void {
    addLedgers();
    World.arrive(1, "/pay/x");
    World.end(1, attempt_end::Unknown);
    CPPUNIT_ASSERT(World.all<send_attempt>().empty());
    CPPUNIT_ASSERT(refusal().Code == result_code::OutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, refusal().RetryAfterMs);
  }

  auto end_nonIdempotentNotRun_isRepeatedElsewhere() -> void {
    addLedgers();
    World.arrive(1, "/pay/x");
    const auto First = sent().Target;
    World.end(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(!sent().Target.empty());
    CPPUNIT_ASSERT(sent().Target != First);
    World.end(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(refusal().Code == result_code::TargetRefused);
  }

  auto end_idempotentFailed_isRepeatedThenRelayed() -> void {
    addLedgers();
    World.arrive(1, "/read/x");
    World.end(1, attempt_end::Failed);
    CPPUNIT_ASSERT(!sent().Target.empty());
    World.end(1, attempt_end::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.all<relay_failure>().size());
  }

  auto end_repeatAfterUnknown_isNeverCalledNotRun() -> void {
    addLedgers();
    World.arrive(1, "/read/x");
    World.end(1, attempt_end::Unknown);
    CPPUNIT_ASSERT(!sent().Target.empty());
    World.end(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(describe(refusal().Code).Outcome == run_outcome::Unknown);
  }

  auto end_cutResumableStream_goesOnElsewhere() -> void {
    World.addTarget("e1", "models", {"a"});
    World.addTarget("e2", "models", {"a"});
    World.arrive(1, "/plan/x", "a");
    const auto First = sent().Target;
    World.end(1, attempt_end::CutShort);
    CPPUNIT_ASSERT(!sent().Target.empty() && sent().Target != First);
    World.arrive(2, "/chat/x", "a");
    World.end(2, attempt_end::CutShort);
    CPPUNIT_ASSERT(World.all<send_attempt>().empty());
  }

  auto end_budgetSpent_isNotRepeated() -> void {
    World.State.Options.Retries = {0, 0, seconds(10)};
    addLedgers();
    World.arrive(1, "/read/x");
    World.end(1, attempt_end::NotRun);
    CPPUNIT_ASSERT(World.all<send_attempt>().empty());
    CPPUNIT_ASSERT(refusal().RetryAfterMs > 0);
  }

  auto deadline_running_isUnknown() -> void {
    addLedgers();
    World.arrive(1, "/pay/x");
    CPPUNIT_ASSERT(World.one<set_deadline>().Deadline ==
                   World.Now + milliseconds(4000));
    World.tell(deadline_passed{1});
    CPPUNIT_ASSERT(refusal().Code == result_code::DeadlineExceeded);
  }

  auto configuration_olderVersion_isIgnored() -> void {
    auto Older = makeConfiguration(1);
    World.tell(configuration_read{makeConfiguration(3)});
    Older.Version = 2;
    Older.Routes.clear();
    World.tell(configuration_read{Older});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, World.State.Configuration.Version);
    addLedgers();
    World.arrive(1, "/read/x");
    CPPUNIT_ASSERT(!sent().Target.empty());
  }

  auto target_olderLife_isIgnored() -> void {
    World.addTarget("e1", "models", {"a"});
    auto Target = World.State.Book.find(target_name("e1"))->Target;
    Target.Incarnation = 9;
    Target.Holds = {};
    World.tell(target_updated{Target});
    Target.Incarnation = 1;
    Target.Holds.Models[model_name("a")];
    World.tell(target_updated{Target});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         World.State.Book.holders(model_name("a")));
  }

  auto target_laterLifeAtItsAddress_takesItsPlace() -> void {
    // In both orders: a list tells them by name, not by age.
    for (const bool OldFirst : {true, false}) {
      World = gateway_world();
      World.addTarget("l2", "ledger", {});
      target Late = World.State.Book.find(target_name("l2"))->Target;
      Late.Name = target_name("later");
      Late.Incarnation = 2;
      if (!OldFirst)
        World = gateway_world();
      World.tell(target_updated{Late});
      if (!OldFirst)
        World.addTarget("l2", "ledger", {});
      for (request_number Number = 1; Number <= 4; ++Number) {
        World.arrive(Number, "/read/x");
        CPPUNIT_ASSERT_EQUAL(std::string("later"), sent().Target.Text);
      }
      World.tell(target_lost{target_name("later")});
      World.arrive(9, "/read/x");
      CPPUNIT_ASSERT_EQUAL(std::string("l2"), sent().Target.Text);
    }
  }

  auto target_strayRowAtItsAddress_hidesNobody() -> void {
    World.addTarget("l1", "ledger", {});
    target Stray = World.State.Book.find(target_name("l1"))->Target;
    Stray.Name = target_name("stray");
    Stray.Incarnation = 9;
    Stray.Service = service_name("unknown");
    World.tell(target_updated{Stray});
    World.arrive(1, "/read/x");
    CPPUNIT_ASSERT_EQUAL(std::string("l1"), sent().Target.Text);
  }

  auto told_laterLife_endsTheOneBefore() -> void {
    World.addTarget("e1", "models", {"a"});
    World.addTarget("e2", "models", {"a"});
    holdings_report Told;
    Told.Address = "e1:1";
    Told.Incarnation = 2;
    World.tell(Told);
    for (request_number Number = 1; Number <= 4; ++Number) {
      World.arrive(Number, "/chat/x", "a");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"), sent().Target.Text);
    }
  }

  auto target_leavingTwice_staysLeaving() -> void {
    addLedgers();
    leave("l1");
    auto Target = World.State.Book.find(target_name("l1"))->Target;
    Target.Draining = false;
    World.tell(target_updated{Target});
    CPPUNIT_ASSERT(!World.State.Book.find(target_name("l1"))->takesWork());
  }

  auto list_withoutTarget_losesItAfterTheGrace() -> void {
    World.State.Options.LostGrace = seconds(2);
    addLedgers();
    World.tell(
        targets_listed{{World.State.Book.find(target_name("l2"))->Target}});
    World.Now += milliseconds(1900);
    World.tell(tick{});
    CPPUNIT_ASSERT(World.State.Book.find(target_name("l1")) != nullptr);
    World.Now += milliseconds(200);
    World.tell(tick{});
    CPPUNIT_ASSERT(World.State.Book.find(target_name("l1")) == nullptr);
  }

  auto lost_justAfterTheStoreIsBack_isKeptForTheGrace() -> void {
    World.State.Options.LostGrace = seconds(2);
    addLedgers();
    World.tell(target_lost{target_name("l2")});
    CPPUNIT_ASSERT(World.State.Book.find(target_name("l2")) == nullptr);
    World.tell(store_reachability_changed{false});
    World.tell(store_reachability_changed{true});
    World.tell(target_lost{target_name("l1")});
    CPPUNIT_ASSERT(World.State.Book.find(target_name("l1")) != nullptr);
    World.Now += milliseconds(2100);
    World.tell(tick{});
    CPPUNIT_ASSERT(World.State.Book.find(target_name("l1")) == nullptr);
  }

  /// Whatever becomes of the attempts: work that may not repeat is sent again
  /// only when the one before did not run, no refusal after an attempt of
  /// unknown end says "not run", and no more targets see a request than the
  /// route allows.
  auto anyEnds_anyOrder_keepThePromises() -> void {
    const bool Held = rc::check("promises hold", [] {
      gateway_world Each;
      for (const auto *Name : {"l1", "l2", "l3"})
        Each.addTarget(Name, "ledger", {});
      const bool Idempotent = *rc::gen::inRange(0, 2) == 0;
      Each.arrive(1, Idempotent ? "/read/x" : "/pay/x");
      bool MayHaveRun = false;
      std::size_t Seen = 0;
      for (int Step = 0; Step < 8; ++Step) {
        for (const auto &Refusal : Each.all<refuse_request>())
          RC_ASSERT(!MayHaveRun ||
                    describe(Refusal.Code).Outcome != run_outcome::NotRun);
        if (Each.all<send_attempt>().empty())
          break;
        RC_ASSERT(!MayHaveRun || Idempotent);
        const auto End = static_cast<attempt_end>(*rc::gen::inRange(0, 6));
        Seen += End == attempt_end::NotSent ? 0 : 1;
        RC_ASSERT(Seen <= 2);
        MayHaveRun |= End != attempt_end::NotSent && End != attempt_end::NotRun;
        Each.Now += milliseconds(*rc::gen::inRange(0, 900));
        Each.end(1, End);
      }
    });
    CPPUNIT_ASSERT(Held);
  }

private:
  auto expectNoteOf(const std::string &Id) -> void {
    const auto Note = World.one<write_note>();
    CPPUNIT_ASSERT_EQUAL(std::string("request_refused"), Note.Event);
    CPPUNIT_ASSERT(Note.Fields.front() ==
                   std::make_pair(std::string("request"), Id));
  }

  auto addLedgers() -> void {
    World.addTarget("l1", "ledger", {});
    World.addTarget("l2", "ledger", {});
  }

  auto leave(const char *Name) -> void {
    auto Target = World.State.Book.find(target_name(Name))->Target;
    Target.Draining = true;
    World.tell(target_updated{Target});
  }

  auto refusal() -> refuse_request { return World.one<refuse_request>(); }
  auto sent() -> send_attempt { return World.one<send_attempt>(); }

  gateway_world World;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

} // namespace
