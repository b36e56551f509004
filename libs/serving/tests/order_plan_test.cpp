#include "serving/order_plan.h"

#include "engine_model.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

class order_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(order_plan_test);
  CPPUNIT_TEST(nextStep_freeMemory_loadsModel);
  CPPUNIT_TEST(nextStep_fullMemory_unloadsVictim);
  CPPUNIT_TEST(nextStep_noVictim_isImpossible);
  CPPUNIT_TEST(nextStep_busyEngine_waits);
  CPPUNIT_TEST(nextStep_fullAdapterSlots_unloadsLeastRecentlyUsed);
  CPPUNIT_TEST(nextStep_adapterUnloading_waitsForItsSlot);
  CPPUNIT_TEST(nextStep_lateAndLostOrders_neverOvercommit);
  CPPUNIT_TEST(nextStep_lateOrderOfAnEarlierLifetime_fitsWhenItArrives);
  CPPUNIT_TEST(nextStep_lateOrdersAndRestarts_neverOvercommit);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Engine = makeEngine();
    Report = {};
  }

  auto nextStep_freeMemory_loadsModel() -> void {
    Report.Holdings.OnDisk.insert(model_name("a"));
    const auto FromDisk = planStep({model_name("a"), "", {}});
    CPPUNIT_ASSERT(FromDisk.Kind == step_kind::Load && !FromDisk.FromStore);
    CPPUNIT_ASSERT(planStep({model_name("b"), "", {}}).FromStore);
  }

  auto nextStep_fullMemory_unloadsVictim() -> void {
    loadModels({"a", "b", "c"});
    const auto Step =
        planStep({model_name("d"), "", {model_name("e"), model_name("b")}});
    CPPUNIT_ASSERT(Step.Kind == step_kind::Unload);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Step.Model.Text);
  }

  auto nextStep_noVictim_isImpossible() -> void {
    loadModels({"a", "b", "c"});
    CPPUNIT_ASSERT(planStep({model_name("d"), "", {}}).Kind ==
                   step_kind::Impossible);
    CPPUNIT_ASSERT(planStep({model_name("d"), "x", {}}).Kind ==
                   step_kind::Impossible);
  }

  auto nextStep_busyEngine_waits() -> void {
    loadModels({"a"});
    Report.Busy = true;
    CPPUNIT_ASSERT(planStep({model_name("b"), "", {}}).Kind == step_kind::Wait);
    CPPUNIT_ASSERT(planStep({model_name("a"), "x", {}}).Kind ==
                   step_kind::Wait);
  }

  auto nextStep_fullAdapterSlots_unloadsLeastRecentlyUsed() -> void {
    loadModels({"a"});
    Report.Holdings.Models[model_name("a")].Adapters = {"x", "y", "z"};
    std::map<adapter_key, time_point> LastUsed;
    LastUsed[{model_name("a"), "x"}] = time_point(seconds(3));
    LastUsed[{model_name("a"), "y"}] = time_point(seconds(1));
    LastUsed[{model_name("a"), "z"}] = time_point(seconds(2));
    const auto Step =
        nextStep(Engine, Report, {model_name("a"), "w", {}}, LastUsed);
    CPPUNIT_ASSERT(Step.Kind == step_kind::UnloadAdapter);
    CPPUNIT_ASSERT_EQUAL(std::string("y"), Step.Adapter);
  }

  auto nextStep_adapterUnloading_waitsForItsSlot() -> void {
    loadModels({"a"});
    Report.Holdings.Models[model_name("a")].Adapters = {"x", "y", "z"};
    Report.UnloadingAdapters.insert({model_name("a"), "x"});
    // No second unload is ordered, and x no longer counts as loaded.
    CPPUNIT_ASSERT(planStep({model_name("a"), "w", {}}).Kind ==
                   step_kind::Wait);
    CPPUNIT_ASSERT(planStep({model_name("a"), "x", {}}).Kind ==
                   step_kind::Wait);
    CPPUNIT_ASSERT(planStep({model_name("a"), "y", {}}).Kind ==
                   step_kind::Held);
  }

  auto nextStep_lateAndLostOrders_neverOvercommit() -> void {
    const auto &Spec = Engine;
    const bool Passed =
        rc::check("memory and adapter slots are not exceeded", [&Spec] {
          engine_model Target;
          std::vector<std::pair<order_step, std::uint64_t>> Late;
          for (int I = 0; I < 60; ++I) {
            load_job Job;
            Job.Model = model_name(std::string(1, *rc::gen::inRange('a', 'f')));
            if (*rc::gen::inRange(0, 2) == 0)
              Job.Adapter = std::string(1, *rc::gen::inRange('u', 'z'));
            for (const auto &[Model, Loaded] : Target.Report.Holdings.Models)
              if (Model != Job.Model)
                Job.Victims.push_back(Model);
            const auto Step = nextStep(Spec, Target.Report, Job, {});
            const bool IsOrder = Step.Kind == step_kind::Load ||
                                 Step.Kind == step_kind::Unload ||
                                 Step.Kind == step_kind::LoadAdapter ||
                                 Step.Kind == step_kind::UnloadAdapter;
            const auto Sequence = Target.Report.Sequence;
            const int Delivery = *rc::gen::inRange(0, 3);
            if (IsOrder && Delivery == 0)
              Late.emplace_back(Step, Sequence); // Delivered later or never.
            else if (IsOrder)
              (void)Target.accept(Step, Sequence);
            if (!Late.empty() && *rc::gen::inRange(0, 3) == 0) {
              (void)Target.accept(Late.front().first, Late.front().second);
              Late.erase(Late.begin());
            }
            if (*rc::gen::inRange(0, 2) == 0)
              Target.finish();
            RC_ASSERT(Target.usedMb(Spec) <= MemoryMb);
            RC_ASSERT(Target.adapters() <= AdapterSlots);
          }
        });
    CPPUNIT_ASSERT(Passed);
  }

  /// Guards against filling the memory up to the sequence number at which an
  /// order that an earlier lifetime of the target left unanswered is accepted.
  auto nextStep_lateOrderOfAnEarlierLifetime_fitsWhenItArrives() -> void {
    engine_model Target;
    const order_step Late{step_kind::Load, model_name("d"), {}};
    Target.expect(Late, 3);
    for (const auto *Name : {"a", "b", "c"})
      Target.carryOut(
          nextStep(Engine, Target.Report, {model_name(Name), "", {}}, {}));
    (void)Target.accept(Late, 3);
    CPPUNIT_ASSERT(Target.usedMb(Engine) <= MemoryMb);
    // The model itself may be loaded: the late order changes nothing then.
    Target.Report.Holdings.Models.erase(model_name("d"));
    CPPUNIT_ASSERT(
        nextStep(Engine, Target.Report, {model_name("d"), "", {}}, {}).Kind ==
        step_kind::Load);
  }

  /// The same for any orders. The target starts again now and then, empty and
  /// with the sequence number 0; what it has left unanswered stays on its way.
  auto nextStep_lateOrdersAndRestarts_neverOvercommit() -> void {
    const auto &Spec = Engine;
    const bool Passed = rc::check("also after restarts", [&Spec] {
      engine_model Target;
      std::vector<std::pair<order_step, std::uint64_t>> Late;
      for (int I = 0; I < 150; ++I) {
        load_job Job;
        Job.Model = model_name(std::string(1, *rc::gen::inRange('a', 'f')));
        if (*rc::gen::inRange(0, 4) == 0)
          Job.Adapter = std::string(1, *rc::gen::inRange('u', 'z'));
        for (const auto &[Model, Loaded] : Target.Report.Holdings.Models)
          if (Model != Job.Model && *rc::gen::inRange(0, 2) == 0)
            Job.Victims.push_back(Model);
        const auto Step = nextStep(Spec, Target.Report, Job, {});
        const auto Sequence = Target.Report.Sequence;
        if (*rc::gen::inRange(0, 3) > 0) {
          Target.carryOut(Step);
        } else if (Step.Kind >= step_kind::Load) {
          Late.emplace_back(Step, Sequence);
          Target.expect(Step, Sequence);
        }
        for (const auto &[Order, At] : Late)
          if (*rc::gen::inRange(0, 3) == 0 && Target.accept(Order, At))
            Target.finish();
        if (*rc::gen::inRange(0, 12) == 0)
          Target.restart();
        RC_ASSERT(Target.usedMb(Spec) <= MemoryMb);
        RC_ASSERT(Target.adapters() <= AdapterSlots);
      }
    });
    CPPUNIT_ASSERT(Passed);
  }

private:
  auto loadModels(std::initializer_list<const char *> Models) -> void {
    for (const auto *Model : Models)
      Report.Holdings.Models[model_name(Model)];
  }

  auto planStep(const load_job &Job) -> order_step {
    return nextStep(Engine, Report, Job, {});
  }

  engine_spec Engine;
  engine_report Report;
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_plan_test);

} // namespace
