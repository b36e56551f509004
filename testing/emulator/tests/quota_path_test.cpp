#include "fleet_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::emulator;

/// A quota over three gateways that run and talk to each other.
class quota_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(quota_path_test);
  CPPUNIT_TEST(requests_atOneThenAllGateways_getTheQuotaAndNoMore);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Fleet = std::make_unique<fleet>();
    Fleet->ChangeSettings = [](node_settings &Settings) {
      Settings.QuotaWindowMs = WindowMs;
      Settings.QuotaOverrun = Overrun;
      Settings.QuotaSlack = Slack;
    };
    Fleet->ChangeConfiguration = [](nlohmann::json &Json) {
      Json["tenants"] = {{{"name", "big corp"},
                          {"keys", {"secret"}},
                          {"rate_per_s", Rate},
                          {"burst", Burst}}};
    };
    Fleet->publishConfiguration();
    Worker = &Fleet->addWorker("w1", "ledger");
    Fleet->startGateway();
    Fleet->addGateway();
    Fleet->addGateway();
    CPPUNIT_ASSERT(
        eventually([&] { return Fleet->metric("gateways_heard") == 2; }));
  }

  auto tearDown() -> void override { Fleet.reset(); }

  /// Its own share alone would give the callers of one gateway a third of the
  /// rate, and gateways that do not share would give those of all three three
  /// times the rate.
  auto requests_atOneThenAllGateways_getTheQuotaAndNoMore() -> void {
    const std::vector<gateway_node *> Gateways = {Fleet->Gateway.get(),
                                                  Fleet->MoreGateways[0].get(),
                                                  Fleet->MoreGateways[1].get()};
    const auto Start = process_clock::now();
    std::map<std::uint16_t, int> Counts;
    for (std::size_t I = 0; process_clock::now() < Start + seconds(9); ++I) {
      const bool AtOne = process_clock::now() < Start + seconds(6);
      const auto Answer = Fleet->sendTo(*Gateways[AtOne ? 0 : I % 3], "/read/x",
                                        {{"X-Api-Key", "secret"}});
      ++Counts[Answer.Head.Status];
      CPPUNIT_ASSERT_EQUAL(Answer.Head.Status == 429,
                           net::hasField(Answer.Head.Fields, "Retry-After"));
      usleep(5000);
    }
    CPPUNIT_ASSERT(Counts.size() == 2 && Counts[200] > 0 && Counts[429] > 0);
    const auto Times = arrivals();
    constexpr double Bound =
        (Rate * WindowMs / 1000.0 + Burst) * (1 + Overrun) + Slack;
    for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
      while (Times[Last] - Times[First] >= milliseconds(WindowMs))
        ++First;
      CPPUNIT_ASSERT(static_cast<double>(Last - First + 1) <= Bound);
    }
    const auto Late = std::count_if(Times.begin(), Times.end(), [&](auto Time) {
      return Time >= Start + seconds(3) && Time < Start + seconds(6);
    });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Late), Late >= 0.75 * Rate * 3);
    CPPUNIT_ASSERT(Fleet->metric("quota_refused{workspace=\"big corp\"}") > 0);
  }

private:
  /// When requests reached the target, in order.
  auto arrivals() -> std::vector<time_point> {
    auto Times = Fleet->Outside.call([&] {
      std::vector<time_point> Found;
      for (const auto &Each : Worker->Requests)
        Found.push_back(Each->ArrivedAt);
      return Found;
    });
    std::sort(Times.begin(), Times.end());
    return Times;
  }

  static constexpr int Rate = 15;
  static constexpr int Burst = 6;
  static constexpr std::int64_t WindowMs = 2000;
  static constexpr double Overrun = 0.1;
  static constexpr double Slack = 4;

  std::unique_ptr<fleet> Fleet;
  worker_emulator *Worker = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_path_test);

} // namespace
