#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Which connections to targets are kept, and which requests use them.
class kept_connections_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(kept_connections_test);
  CPPUNIT_TEST(usableUntil_anyStatedTime_endsBeforeTheTarget);
  CPPUNIT_TEST(connectionShare_anyLimit_isAtLeastOne);
  CPPUNIT_TEST(trust_losses_halveTheRestWhichRecoversSlowly);
  CPPUNIT_TEST(trust_strayBytesOrUnnamedAnswers_forbidSingleUse);
  CPPUNIT_TEST(switchedOff_nothingIsKept);
  CPPUNIT_TEST(rested_nextRequest_usesIt);
  CPPUNIT_TEST(rested_longerThanTheBound_onlyRepeatableRequestsUseIt);
  CPPUNIT_TEST(rested_callOfTheSameId_usesANewOne);
  CPPUNIT_TEST(lost_repeatable_isSentOnceMoreOnANewConnection);
  CPPUNIT_TEST(lost_lastAttempt_countsAsSingleUse);
  CPPUNIT_TEST(lost_singleUse_isOfUnknownOutcome);
  CPPUNIT_TEST(lost_nothingSent_isSentAgainWhateverItsKind);
  CPPUNIT_TEST(lost_targetDoesNotServeIt_goesToAnotherOne);
  CPPUNIT_TEST(limit_ofTheTarget_isSharedByTheGateways);
  CPPUNIT_TEST(limit_ofTheProcess_longestRestedIsClosed);
  CPPUNIT_TEST(target_startsAgainOrLeaves_connectionsAreClosed);
  CPPUNIT_TEST(stop_allAreClosed);
  CPPUNIT_TEST(picker_equalCost_prefersAKeptConnection);
  CPPUNIT_TEST(anyOrderOfEvents_rulesHold);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Gateway = gateway_harness();
    Gateway.State.Options.Connections.Enabled = true;
    Gateway.State.Options.Connections.SingleUseIdle = milliseconds(2000);
    LastNumber = 0;
    LastConnection = 0;
  }

  auto usableUntil_anyStatedTime_endsBeforeTheTarget() -> void {
    const keep_policy Policy;
    const auto Rest = [&](std::optional<std::int64_t> StatedMs) {
      return toMilliseconds(usableUntil(Policy, StatedMs, Gateway.Now) -
                            Gateway.Now);
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, Rest(std::nullopt));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4500}, Rest(5000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Rest(500));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Rest(-5));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{59'500}, Rest(INT64_MAX));
    const auto SingleUse = [&](std::optional<std::int64_t> StatedMs) {
      return toMilliseconds(singleUseUntil(Policy, StatedMs, Gateway.Now) -
                            Gateway.Now);
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, SingleUse(std::nullopt));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2500}, SingleUse(5000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{59'500}, SingleUse(INT64_MAX));
    Gateway.addTarget("t", "ledger", {});
    keep("/read/", 3000);
    Gateway.Now += milliseconds(1500);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/pay/").Connection);
    CPPUNIT_ASSERT(receive("/read/").Connection != 0);
  }

  auto connectionShare_anyLimit_isAtLeastOne() -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, connectionShare(490, 29));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, connectionShare(230, 340));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, connectionShare(1, 0));
    CPPUNIT_ASSERT_EQUAL(SIZE_MAX, connectionShare(0, 29));
  }

  auto trust_losses_halveTheRestWhichRecoversSlowly() -> void {
    const auto Policy = Gateway.State.Options.Connections;
    connection_trust Trust;
    auto Now = Gateway.Now;
    kept_connection Connection;
    Connection.Target = target_name("t");
    Connection.Service = service_name("s");
    const auto Rest = [&] {
      return toMilliseconds(Trust.singleUseRest(Policy, Connection.Service,
                                                Connection.Target, Now));
    };
    CPPUNIT_ASSERT(Trust.recordLoss(Policy, Connection, Now));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, Rest());
    // A target that crashes ends all of its connections.
    Now += milliseconds(900);
    CPPUNIT_ASSERT(!Trust.recordLoss(Policy, Connection, Now));
    // One that goes on dropping connections counts again.
    Now += milliseconds(200);
    CPPUNIT_ASSERT(Trust.recordLoss(Policy, Connection, Now));
    CPPUNIT_ASSERT(Rest() >= 500 && Rest() < 520);
    Now += seconds(60);
    CPPUNIT_ASSERT(Rest() >= 1000 && Rest() < 1040);
    Now += seconds(600);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, Rest());
    // Half of the rest that was too long, but not less than half of the time.
    Connection.RestingSince = Now - milliseconds(3000);
    CPPUNIT_ASSERT(Trust.recordEarlyClose(Policy, Connection, Now));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, Rest());
    Now += seconds(2);
    Connection.RestingSince = Now - milliseconds(10);
    CPPUNIT_ASSERT(Trust.recordEarlyClose(Policy, Connection, Now));
    CPPUNIT_ASSERT(Rest() >= 750 && Rest() < 800);
    for (int Count = 0; Count < 100; ++Count, Now += seconds(1))
      Trust.recordLoss(Policy, Connection, Now);
    CPPUNIT_ASSERT(Rest() >= 2000 / 64);
  }

  auto trust_strayBytesOrUnnamedAnswers_forbidSingleUse() -> void {
    Gateway.addTarget("t", "ledger", {});
    for (const bool Unnamed : {false, true}) {
      keep("/pay/");
      receive("/pay/");
      attempt_ended Event = ended(attempt_end::Answered);
      Event.Connection.StrayBytes = !Unnamed;
      Event.Connection.UnnamedAnswer = Unnamed;
      Gateway.dispatch(Event);
      keep("/read/");
      CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/pay/").Connection);
      Gateway.dispatch(ended(attempt_end::Answered));
      CPPUNIT_ASSERT(receive("/read/").Connection != 0);
      Gateway.dispatch(ended(attempt_end::Answered));
      Gateway.Now += Unnamed ? seconds(61) : seconds(11);
    }
    keep("/pay/");
    CPPUNIT_ASSERT(receive("/pay/").Connection != 0);
  }

  auto switchedOff_nothingIsKept() -> void {
    Gateway.State.Options.Connections.Enabled = false;
    Gateway.addTarget("t", "ledger", {});
    keep("/read/");
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/read/").Connection);
  }

  auto rested_nextRequest_usesIt() -> void {
    Gateway.addTarget("t", "ledger", {});
    const auto Kept = keep("/pay/");
    CPPUNIT_ASSERT_EQUAL(Kept, receive("/pay/").Connection);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/pay/").Connection);
  }

  auto rested_longerThanTheBound_onlyRepeatableRequestsUseIt() -> void {
    Gateway.addTarget("t", "ledger", {});
    receive("/read/");
    const auto Second = keep("/read/", 9000);
    Gateway.Now += milliseconds(1500);
    LastNumber = 1;
    rest(++LastConnection, 9000);
    Gateway.dispatch(ended(attempt_end::Answered));
    LastNumber = 2;
    Gateway.Now += milliseconds(1000);
    CPPUNIT_ASSERT_EQUAL(LastConnection, receive("/pay/").Connection);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/pay/").Connection);
    CPPUNIT_ASSERT_EQUAL(Second, receive("/read/").Connection);
    keep("/read/", 9000);
    Gateway.Now += milliseconds(8500);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/read/").Connection);
  }

  auto rested_callOfTheSameId_usesANewOne() -> void {
    // A late second answer to the first call would be taken for the second's.
    Gateway.addTarget("t", "ledger", {});
    keep("/read/");
    const auto Id = std::to_string(LastNumber);
    request_arrived Again;
    Again.Number = ++LastNumber;
    Again.Call.Id = Id;
    Again.Call.Host = "h";
    Again.Call.Path = "/read/";
    Again.Call.Arrived = Gateway.Now;
    Again.Call.CallerDeadline = NoDeadline;
    Gateway.dispatch(Again);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, sent().Connection);
  }

  auto lost_repeatable_isSentOnceMoreOnANewConnection() -> void {
    Gateway.addTarget("t", "ledger", {});
    Gateway.addTarget("u", "ledger", {});
    keep("/read/");
    const auto First = receive("/read/");
    CPPUNIT_ASSERT(First.Connection != 0);
    Gateway.dispatch(lost(attempt_end::Unknown));
    CPPUNIT_ASSERT(sent().Target == First.Target);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, sent().Connection);
    CPPUNIT_ASSERT_EQUAL(2U, sent().Attempt);
    Gateway.dispatch(ended(attempt_end::Unknown));
    CPPUNIT_ASSERT(Gateway.onlyEffect<refuse_request>().Code ==
                   result_code::OutcomeUnknown);
    // The repeat needs the retry budget.
    Gateway.State.Options.Retries = {0, 0, seconds(10)};
    keep("/read/");
    CPPUNIT_ASSERT(receive("/read/").Connection != 0);
    Gateway.dispatch(lost(attempt_end::Unknown));
    CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
  }

  auto lost_lastAttempt_countsAsSingleUse() -> void {
    // No attempt would be left for the repeat.
    Gateway.addTarget("t", "ledger", {});
    Gateway.addTarget("u", "ledger", {});
    for (const auto *Target : {"t", "u"}) {
      keep("/read/", 9000);
      Gateway.State.Book.find(target_name(Target))->RefusesUntil =
          Gateway.Now + milliseconds(2100);
    }
    Gateway.Now += milliseconds(2100);
    receive("/read/");
    Gateway.dispatch(ended(attempt_end::NotRun));
    CPPUNIT_ASSERT_EQUAL(2U, sent().Attempt);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, sent().Connection);
  }

  auto lost_singleUse_isOfUnknownOutcome() -> void {
    Gateway.addTarget("t", "ledger", {});
    Gateway.addTarget("e", "models", {"a"});
    for (const bool Stream : {false, true}) {
      const auto *Path = Stream ? "/chat/" : "/pay/";
      keep(Path);
      CPPUNIT_ASSERT(receive(Path).Connection != 0);
      Gateway.dispatch(lost(attempt_end::Unknown));
      CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
      CPPUNIT_ASSERT(Gateway.onlyEffect<refuse_request>().Code ==
                     result_code::OutcomeUnknown);
      keep(Path);
      Gateway.Now += milliseconds(1100); // More than half of the bound.
      CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive(Path).Connection);
    }
  }

  auto lost_nothingSent_isSentAgainWhateverItsKind() -> void {
    Gateway.addTarget("t", "ledger", {});
    Gateway.State.Options.Retries = {0, 0, seconds(10)};
    for (const auto *Path : {"/pay/", "/read/"}) {
      keep(Path);
      CPPUNIT_ASSERT(receive(Path).Connection != 0);
      Gateway.dispatch(lost(attempt_end::NotSent));
      CPPUNIT_ASSERT_EQUAL(connection_number{0}, sent().Connection);
      CPPUNIT_ASSERT_EQUAL(1U, sent().Attempt);
      Gateway.dispatch(ended(attempt_end::Answered));
      Gateway.Now += seconds(300);
    }
  }

  auto lost_targetDoesNotServeIt_goesToAnotherOne() -> void {
    Gateway.addTarget("t", "ledger", {});
    keep("/read/");
    receive("/read/");
    Gateway.dispatch(target_notice{target_name("t"), 1, true, {}});
    Gateway.addTarget("u", "ledger", {});
    Gateway.dispatch(lost(attempt_end::Unknown));
    CPPUNIT_ASSERT(sent().Target == target_name("u"));
  }

  auto limit_ofTheTarget_isSharedByTheGateways() -> void {
    Gateway.addTarget("t", "ledger", {});
    auto Configuration = makeConfiguration(2);
    Configuration.Services[service_name("ledger")].ConnectionLimit = 7;
    Gateway.dispatch(configuration_read{Configuration});
    instance_record Other;
    Other.Name = instance_name("g2");
    Gateway.dispatch(instances_listed{{Other}}); // Three for each.
    std::vector<request_number> Numbers;
    for (int Count = 0; Count < 4; ++Count) {
      receive("/pay/");
      Numbers.push_back(LastNumber);
    }
    // The fourth one is served, and its connection is not kept.
    for (const auto Number : Numbers) {
      LastNumber = Number;
      rest(++LastConnection);
      CPPUNIT_ASSERT_EQUAL(Number == Numbers.front(),
                           closed(close_reason::TargetLimit) > 0);
      Gateway.dispatch(ended(attempt_end::Answered));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kept());
    // A new connection needs room as well.
    Gateway.State.ConnectionTrust.recordStrayBytes(target_name("t"),
                                                   Gateway.Now);
    CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/pay/").Connection);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(close_reason::TargetLimit));
  }

  auto limit_ofTheProcess_longestRestedIsClosed() -> void {
    Gateway.State.Options.Connections.MaxIdle = 1;
    Gateway.addTarget("t", "ledger", {});
    Gateway.addTarget("e", "models", {"a"});
    const auto First = keep("/pay/");
    receive("/chat/");
    rest(++LastConnection);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(close_reason::ProcessLimit));
    CPPUNIT_ASSERT(Gateway.onlyEffect<close_connections>().Numbers.front() ==
                   First);
  }

  auto target_startsAgainOrLeaves_connectionsAreClosed() -> void {
    for (const bool Leaves : {false, true}) {
      setUp();
      Gateway.addTarget("t", "ledger", {});
      keep("/pay/");
      receive("/pay/");
      keep("/pay/");
      auto Changed = Gateway.State.Book.find(target_name("t"))->Target;
      Changed.Incarnation += Leaves ? 0 : 1;
      Changed.Draining = Leaves;
      Gateway.dispatch(target_updated{Changed});
      // One whose request ends now is not kept either.
      LastNumber = 2;
      rest(++LastConnection);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(close_reason::TargetChanged));
      if (!Leaves)
        CPPUNIT_ASSERT_EQUAL(connection_number{0}, receive("/pay/").Connection);
      Gateway.dispatch(tick{});
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(close_reason::TargetChanged));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept());
    }
  }

  auto stop_allAreClosed() -> void {
    Gateway.addTarget("t", "ledger", {});
    keep("/pay/");
    receive("/pay/");
    keep("/pay/");
    Gateway.dispatch(
        stop_began{Gateway.Now + seconds(7), Gateway.Now + seconds(2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(close_reason::Stopped));
    LastNumber = 2;
    rest(++LastConnection);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(close_reason::Stopped));
  }

  auto picker_equalCost_prefersAKeptConnection() -> void {
    Gateway.addTarget("u", "ledger", {});
    keep("/pay/");
    Gateway.addTarget("t", "ledger", {}); // First by name.
    CPPUNIT_ASSERT(receive("/pay/").Target == target_name("u"));
    keep("/pay/");
    Gateway.Now += milliseconds(2001); // The request may not use it any more.
    CPPUNIT_ASSERT(receive("/pay/").Target == target_name("t"));
    // One more request at the target costs 12 ms.
    setUp();
    Gateway.addTarget("u", "ledger", {});
    receive("/pay/");
    keep("/pay/");
    Gateway.addTarget("t", "ledger", {});
    for (const double CostMs : {0.0, 20.0}) {
      Gateway.State.Options.Connections.ConnectionCostMs = CostMs;
      CPPUNIT_ASSERT(receive("/pay/").Target ==
                     target_name(CostMs > 0 ? "u" : "t"));
      Gateway.dispatch(ended(attempt_end::Answered));
    }
  }

  auto anyOrderOfEvents_rulesHold() -> void {
    const bool Passed = rc::check("kept connections", [this] {
      setUp();
      auto &Policy = Gateway.State.Options.Connections;
      Policy.MaxIdle = 3;
      for (const auto *Name : {"t", "u"})
        Gateway.addTarget(Name, "ledger", {});
      std::map<connection_number, time_point> Open; // Resting, since when.
      std::vector<request_number> Running;
      const auto Check = [&] {
        for (const auto &Effect : Gateway.effectsOf<close_connections>())
          for (const auto Number : Effect.Numbers)
            RC_ASSERT(Open.erase(Number) == 1U);
        for (const auto &Send : Gateway.effectsOf<send_attempt>()) {
          Running.push_back(Send.Number);
          if (Send.Connection == 0)
            continue;
          const auto Rested = Gateway.Now - Open.at(Send.Connection);
          Open.erase(Send.Connection);
          RC_ASSERT(Rested < milliseconds(4500));
          RC_ASSERT(Send.Kind == request_kind::Idempotent ||
                    Rested < Policy.SingleUseIdle);
        }
        RC_ASSERT(Open.size() == kept());
        RC_ASSERT(Open.size() <= Policy.MaxIdle);
        // Not every step has an event.
        Gateway.Effects.clear();
      };
      for (int Step = 0; Step < 60; ++Step) {
        Gateway.Now += milliseconds(*rc::gen::inRange(0, 900));
        const auto Choice = *rc::gen::inRange(0, 6);
        if (Choice <= 1) {
          Gateway.receiveRequest(++LastNumber,
                                 Choice == 0 ? "/pay/" : "/read/");
        } else if (Choice == 2) {
          Gateway.dispatch(tick{});
        } else if (Choice == 3 && !Open.empty()) {
          const auto Lost = Open.begin()->first;
          Open.erase(Lost);
          Gateway.dispatch(connection_lost{Lost, close_reason::PeerClosed});
        } else if (!Running.empty()) {
          LastNumber = std::max(LastNumber, Running.front());
          attempt_ended Event;
          Event.Number = Running.front();
          Running.erase(Running.begin());
          Event.End = attempt_end::Answered;
          if (Choice == 4) {
            Open[++LastConnection] = Gateway.Now;
            Gateway.dispatch(
                connection_rested{Event.Number, LastConnection, 5000});
            Check();
          }
          Gateway.dispatch(Event);
        }
        Check();
      }
    });
    CPPUNIT_ASSERT(Passed);
  }

private:
  /// Receives a request. \returns its attempt.
  auto receive(const char *Path) -> send_attempt {
    const bool Stream = std::string_view(Path) == "/chat/";
    Gateway.receiveRequest(++LastNumber, Path, Stream ? "a" : nullptr);
    return sent();
  }
  auto sent() -> send_attempt { return Gateway.onlyEffect<send_attempt>(); }

  /// The connection of the last request rests.
  auto rest(connection_number Connection,
            std::optional<std::int64_t> StatedMs = std::nullopt) -> void {
    LastConnection = std::max(LastConnection, Connection);
    Gateway.dispatch(connection_rested{LastNumber, Connection, StatedMs});
  }

  /// Answers a request on a new connection, which is kept.
  auto keep(const char *Path,
            std::optional<std::int64_t> StatedMs = std::nullopt)
      -> connection_number {
    receive(Path);
    rest(++LastConnection, StatedMs);
    const auto Connection = LastConnection;
    Gateway.dispatch(ended(attempt_end::Answered));
    return Connection;
  }

  auto ended(attempt_end End) const -> attempt_ended {
    attempt_ended Event;
    Event.Number = LastNumber;
    Event.End = End;
    Event.Status = 200;
    return Event;
  }

  /// The end of an attempt whose kept connection was lost.
  auto lost(attempt_end End) const -> attempt_ended {
    auto Event = ended(End);
    Event.Status = 0;
    Event.Connection.Kept = true;
    Event.Connection.Lost = true;
    return Event;
  }

  /// Connections that the last event closed for \p Reason.
  auto closed(close_reason Reason) const -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Effect : Gateway.effectsOf<close_connections>())
      if (Effect.Reason == Reason)
        Count += Effect.Numbers.size();
    return Count;
  }
  auto kept() const -> std::size_t {
    return Gateway.State.KeptConnections.all().size();
  }

  gateway_harness Gateway;
  request_number LastNumber = 0;
  connection_number LastConnection = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(kept_connections_test);

} // namespace
