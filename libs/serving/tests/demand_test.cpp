#include "serving/placement.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// The demand that gateways report to each other.
class demand_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(demand_test);
  CPPUNIT_TEST(rate_anyReportsOfPeers_isTheirSum);
  CPPUNIT_TEST_SUITE_END();

public:
  auto rate_anyReportsOfPeers_isTheirSum() -> void {
    const bool Passed = rc::check("the rate is the sum over the peers", [] {
      demand Demand;
      std::map<std::string, model_rates> Reports;
      for (int I = 0; I < 40; ++I) {
        const auto Peer = std::string(1, *rc::gen::inRange('p', 's'));
        model_rates Rates;
        for (const auto *Model : {"a", "b", "c"})
          if (*rc::gen::arbitrary<bool>())
            Rates[model_name(Model)] = {*rc::gen::inRange(0, 100) / 7.0,
                                        *rc::gen::inRange(0, 1000) / 3.0};
        if (*rc::gen::inRange(0, 6) == 0) {
          Reports.erase(Peer);
          Demand.removePeer(instance_name(Peer));
        } else {
          Reports[Peer] = Rates;
          Demand.setPeerRates(instance_name(Peer), Rates);
        }
        std::map<model_name, model_rate> Sums;
        for (const auto &[Name, Report] : Reports)
          for (const auto &[Model, Rate] : Report) {
            Sums[Model].PerSecond += Rate.PerSecond;
            Sums[Model].WorkMsPerSecond += Rate.WorkMsPerSecond;
          }
        RC_ASSERT(Demand.models().size() == Sums.size());
        for (const auto &[Model, Sum] : Sums) {
          const auto Rate = Demand.rate(Model, {});
          RC_ASSERT(std::abs(Rate.PerSecond - Sum.PerSecond) < 1e-6);
          RC_ASSERT(std::abs(Rate.WorkMsPerSecond - Sum.WorkMsPerSecond) <
                    1e-6);
        }
      }
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(demand_test);

} // namespace
