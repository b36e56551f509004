#include "serving/fleet_account.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

class fleet_account_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_account_test);
  CPPUNIT_TEST(workspaceRate_useAtManyGateways_isTheSum);
  CPPUNIT_TEST(workspaceRate_lateOrSilentSender_isNotCountedTwiceOrForEver);
  CPPUNIT_TEST(receive_malformedRates_areIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Steady demands leave out what a single request adds, so their sum over
  /// many gateways is too small.
  auto workspaceRate_useAtManyGateways_isTheSum() -> void {
    fleet_account Account;
    for (std::uint64_t I = 1; I <= 100; ++I)
      Account.receive(sender(I), message(1, {{A, 0, 0, 5}}), Now);
    for (int I = 0; I < 100; ++I) {
      Now += milliseconds(100);
      Account.record(A, 100, Now);
    }
    quota_message Own = message(1, {{A, 7, 0}});
    Account.addTo(Own, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Own.Demands.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, Own.Demands[0].Rate, 50);
    CPPUNIT_ASSERT_EQUAL(7.0, Own.Demands[0].PerSecond);
    for (std::uint64_t I = 1; I <= 100; ++I)
      Account.receive(sender(I), message(2, {{A, 0, 0, 5}, {B, 0, 0, 1}}), Now);
    Now += milliseconds(300);
    const auto Rate = Account.workspaceRate(A, Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1400, Rate.PerSecond, 200);
    CPPUNIT_ASSERT(Rate.Age == milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Account.workspaceCount(Now));
  }

  auto workspaceRate_lateOrSilentSender_isNotCountedTwiceOrForEver() -> void {
    fleet_account Account;
    Account.receive(sender(1), message(2, {{A, 0, 0, 10}}), Now);
    Account.receive(sender(1), message(1, {{A, 0, 0, 99}}), Now);
    CPPUNIT_ASSERT_EQUAL(10.0, Account.workspaceRate(A, Now).PerSecond);
    Account.receive(sender(1), message(3, {{B, 0, 0, 1}}), Now);
    CPPUNIT_ASSERT_EQUAL(0.0, Account.workspaceRate(A, Now).PerSecond);
    Now += seconds(2);
    CPPUNIT_ASSERT_EQUAL(0.0, Account.workspaceRate(B, Now).PerSecond);
    Account.update(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Account.workspaceCount(Now));
  }

  auto receive_malformedRates_areIgnored() -> void {
    fleet_account Account;
    constexpr auto Infinite = std::numeric_limits<double>::infinity();
    Account.receive(
        sender(1),
        message(1, {{A, 0, 0, -1}, {A, 0, 0, Infinite}, {A, 0, 0, 3}}), Now);
    CPPUNIT_ASSERT_EQUAL(3.0, Account.workspaceRate(A, Now).PerSecond);
    Account.record(B, -Infinite, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Account.workspaceCount(Now));
  }

private:
  static auto sender(std::uint64_t Number) -> instance_name {
    return instance_name("g" + std::to_string(Number));
  }
  static auto message(std::uint64_t Number,
                      std::vector<quota_message::demand> Demands)
      -> quota_message {
    quota_message Message;
    Message.Incarnation = 1;
    Message.Number = Number;
    Message.Demands = std::move(Demands);
    return Message;
  }

  const workspace_name A{"a"};
  const workspace_name B{"b"};
  time_point Now{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_account_test);

} // namespace
