#include "serving/explain.h"

#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// The explanation of a request that is not sent: it has to be what the gateway
/// then does, and must leave no trace in the gateway's state.
class explain_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(explain_test);
  CPPUNIT_TEST(explain_severalTargets_isTheDecisionAndItsCosts);
  CPPUNIT_TEST(explain_noCopyOfTheModel_waitsForItsLoad);
  CPPUNIT_TEST(explain_keyOrQuotaMissing_isRefusedWithoutCharge);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Gateway = gateway_harness();
    for (const auto *Name : {"m1", "m2", "m3"})
      Gateway.addTarget(Name, "models", {"a"});
  }

  auto explain_severalTargets_isTheDecisionAndItsCosts() -> void {
    Gateway.addTarget("l1", "ledger", {});
    Gateway.addTarget("m4", "models", {"b"});
    Gateway.State.Book.find(target_name("m3"))->RefusesUntil =
        Gateway.Now + milliseconds(70);
    for (request_number Number = 1; Number < 9; ++Number) {
      const auto Explained = explainCall("/chat/x", "a");
      CPPUNIT_ASSERT(Explained.Outcome == explained_outcome::Sent);
      CPPUNIT_ASSERT_EQUAL(std::string("/chat/"), Explained.Route);
      const auto &Targets = Explained.Targets;
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Targets.size());
      CPPUNIT_ASSERT(Targets[0].Name == Explained.Target);
      CPPUNIT_ASSERT(Targets[0].Candidate.Pick.CostMs <=
                     Targets[1].Candidate.Pick.CostMs);
      CPPUNIT_ASSERT(Targets[2].Candidate.Exclusion == exclusion::Refusing);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{70}, Targets[2].RefusingMs);
      CPPUNIT_ASSERT(Targets[3].Candidate.Exclusion == exclusion::NoModel);
      Gateway.receiveRequest(Number, "/chat/x", "a");
      CPPUNIT_ASSERT_EQUAL(Gateway.onlyEffect<send_attempt>().Target.Text,
                           Explained.Target.Text);
    }
  }

  auto explain_noCopyOfTheModel_waitsForItsLoad() -> void {
    const auto Explained = explainCall("/chat/x", "b");
    CPPUNIT_ASSERT(Explained.Outcome == explained_outcome::Waits);
    CPPUNIT_ASSERT_EQUAL(std::string("the load of the model"),
                         Explained.Reason);
    CPPUNIT_ASSERT(Gateway.State.PendingLoads.empty());
    CPPUNIT_ASSERT(Gateway.State.Requests.empty());
    const auto Rate = Gateway.State.Demand.rate(model_name("b"), Gateway.Now);
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.WorkMsPerSecond);
    Gateway.receiveRequest(1, "/chat/x", "b");
    CPPUNIT_ASSERT_EQUAL(Gateway.onlyEffect<request_load>().Target.Text,
                         Explained.Target.Text);
  }

  auto explain_keyOrQuotaMissing_isRefusedWithoutCharge() -> void {
    gateway_options Options = Gateway.State.Options;
    Options.Quota.Window = seconds(10);
    Gateway.State = makeGatewayState(Options);
    auto Configuration = makeConfiguration(2, {{"w", {"secret"}}});
    auto &Spec = Configuration.Workspaces[workspace_name("w")];
    Spec.RatePerSecond = Spec.Burst = 5;
    Gateway.dispatch(configuration_read{Configuration});
    Gateway.addTarget("m1", "models", {"a"});
    const auto Unknown = explainCall("/chat/x", "a");
    CPPUNIT_ASSERT(Unknown.Code == result_code::UnknownKey);
    CPPUNIT_ASSERT(!Unknown.Workspace && Unknown.Targets.empty());
    Gateway.Key = "secret";
    const auto Before =
        Gateway.State.Quotas->status(Gateway.Now)[workspace_name("w")];
    const auto Limited = explainCall("/chat/x", "a");
    const auto After =
        Gateway.State.Quotas->status(Gateway.Now)[workspace_name("w")];
    CPPUNIT_ASSERT(Limited.Code == result_code::QuotaExceeded);
    CPPUNIT_ASSERT_EQUAL(std::string("w"), Limited.Workspace->Text);
    CPPUNIT_ASSERT(Limited.Quota && Limited.Quota->Limit.PerSecond == 5);
    CPPUNIT_ASSERT_EQUAL(Before.Refused, After.Refused);
    CPPUNIT_ASSERT_EQUAL(Before.Demand, After.Demand);
  }

private:
  [[nodiscard]] auto explainCall(const char *Path, const char *Model)
      -> explanation {
    call Call;
    Call.Host = "h";
    Call.Path = Path;
    Call.Arrived = Gateway.Now;
    Call.Key = workspace_key(Gateway.Key);
    Call.HasPrompt = true;
    Call.Prompt.Model = model_name(Model);
    Call.Prompt.InputTokens = 1000;
    Call.Prompt.Parts = {{77, 1000}};
    return explain(Gateway.State, Call, Gateway.Now);
  }

  gateway_harness Gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(explain_test);

} // namespace
