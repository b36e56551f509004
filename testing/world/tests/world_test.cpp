/// \file
/// Stateful fuzzing of the reducers against the oracle, and the proof that the
/// oracle can fail.

#include "script.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>

using namespace limpetbridge;

namespace {

constexpr std::size_t StepsARun = 150;

auto anyScript() -> rc::Gen<std::vector<step>> {
  // Mixed, since small numbers would only ever name the first kind of step.
  const auto Step =
      rc::gen::map(rc::gen::arbitrary<std::uint32_t>(), [](std::uint32_t Seed) {
        return makeStep(random_state{Seed}.next());
      });
  return rc::gen::container<std::vector<step>>(StepsARun, Step);
}

auto scriptOf(std::uint64_t Seed) -> std::vector<step> {
  random_state Random{Seed};
  std::vector<step> Steps;
  for (std::size_t Index = 0; Index < StepsARun; ++Index)
    Steps.push_back(makeStep(Random.next()));
  return Steps;
}

} // namespace

class fuzz_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fuzz_test);
  CPPUNIT_TEST(reducers_underAnyFaults_keepEveryPromise);
  CPPUNIT_TEST_SUITE_END();

public:
  auto reducers_underAnyFaults_keepEveryPromise() -> void {
    const bool Held = rc::check([] {
      const auto Steps = *anyScript();
      const auto Broken = runScript(Steps, mutation::None);
      for (const auto &Each : Broken)
        RC_LOG() << Each << '\n';
      RC_ASSERT(Broken.empty());
    });
    CPPUNIT_ASSERT(Held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(fuzz_test);

class mutation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(mutation_test);
  CPPUNIT_TEST(releaseOnTimeout_isCaughtAsMemory);
  CPPUNIT_TEST(skipLoadOnDemand_isCaughtAsReachable);
  CPPUNIT_TEST(acceptAnyFrame_isCaughtAsWholeAnswer);
  CPPUNIT_TEST(notRunAfterDispatch_isCaughtAsNotRun);
  CPPUNIT_TEST(resendCalls_isCaughtAsAtMostOnce);
  CPPUNIT_TEST(ignoreLeaving_isCaughtAsLeaving);
  CPPUNIT_TEST(cutAtDrain_isCaughtAsShutdown);
  CPPUNIT_TEST(revertRevision_isCaughtAsConfiguration);
  CPPUNIT_TEST_SUITE_END();

public:
  auto releaseOnTimeout_isCaughtAsMemory() -> void {
    expectCaught(mutation::ReleaseOnTimeout, "memory:");
  }
  auto skipLoadOnDemand_isCaughtAsReachable() -> void {
    expectCaught(mutation::SkipLoadOnDemand, "reachable:");
  }
  auto acceptAnyFrame_isCaughtAsWholeAnswer() -> void {
    expectCaught(mutation::AcceptAnyFrame, "whole answer:");
  }
  auto notRunAfterDispatch_isCaughtAsNotRun() -> void {
    expectCaught(mutation::NotRunAfterDispatch, "not run:");
  }
  auto resendCalls_isCaughtAsAtMostOnce() -> void {
    expectCaught(mutation::ResendCalls, "at most once:");
  }
  auto ignoreLeaving_isCaughtAsLeaving() -> void {
    expectCaught(mutation::IgnoreLeaving, "leaving:");
  }
  auto cutAtDrain_isCaughtAsShutdown() -> void {
    expectCaught(mutation::CutAtDrain, "shutdown:");
  }
  auto revertRevision_isCaughtAsConfiguration() -> void {
    expectCaught(mutation::RevertRevision, "configuration:");
  }

private:
  static void expectCaught(mutation Mutation, const std::string &Promise) {
    constexpr std::uint64_t MostRuns = 300;
    for (std::uint64_t Seed = 1; Seed <= MostRuns; ++Seed)
      for (const auto &Each : runScript(scriptOf(Seed), Mutation))
        if (Each.starts_with(Promise))
          return;
    CPPUNIT_FAIL("no run broke " + Promise);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(mutation_test);
