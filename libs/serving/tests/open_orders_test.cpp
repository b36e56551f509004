#include "serving/open_orders.h"

#include "engine_model.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Longest delay of an order: 12 s from the end of its call of 1 s.
constexpr duration LongestDelay = seconds(13);
const target_name Target("t");

/// A target, its controller, which ends now and then, and the row that
/// controllers leave in the store.
struct world {
  struct late_order {
    order_step Step;
    std::uint64_t Sequence = 0;
    time_point ExpiresAt;
  };

  engine_spec Engine = makeEngine();
  engine_model Model;
  open_orders Orders;
  time_point Now = time_point(seconds(100));
  std::vector<late_order> Late;
  std::optional<order_handover> Row;
  std::vector<std::optional<order_handover>> Copies;

  world() { Model.Report.Incarnation = 1; }

  auto startController() -> void {
    Orders = {};
    Orders.takeOver(Row, Now);
    Orders.observe(Model.Report);
    Row = Orders.handover(Now);
  }

  /// The store returns from \p Copy. A controller reads a row of an earlier era
  /// as one that may lack open orders.
  auto restore(const std::optional<order_handover> &Copy) -> void {
    Row = Copy;
    if (Row)
      Row->HasOpenOrders = true;
  }

  auto restartTarget() -> void {
    const auto Incarnation = Model.Report.Incarnation;
    Model.restart();
    Model.Report.Incarnation = Incarnation + 1;
  }

  /// Plans an order to load \p Name; none if there is none to give.
  auto plan(const std::string &Name, const std::string &Adapter,
            std::vector<model_name> Victims) -> std::optional<order_step> {
    auto Report = Model.Report;
    Orders.observe(Report);
    Report.OpenOrders = Orders.list(Target, Now);
    if (!Orders.mayOrder(Engine, Report, Now))
      return std::nullopt;
    const auto Step = nextStep(
        Engine, Report, {model_name(Name), Adapter, std::move(Victims)}, {});
    if (Step.Kind < step_kind::Load)
      return std::nullopt;
    return Step;
  }

  /// Gives the order; it arrives later or never, and gets no answer.
  auto giveLate(const order_step &Step) -> std::uint64_t {
    const auto Sequence = Model.Report.Sequence;
    Late.push_back({Step, Sequence, Now + LongestDelay});
    return Orders.add(Target, Model.Report.Incarnation, {Step, Sequence}, Now);
  }

  auto give(const order_step &Step, bool IsAnswered) -> void {
    const auto Number = Orders.add(Target, Model.Report.Incarnation,
                                   {Step, Model.Report.Sequence}, Now);
    Model.carryOut(Step);
    Orders.settle(Number, IsAnswered);
  }

  auto deliver(const late_order &Order) -> void {
    if (Order.ExpiresAt > Now && Model.accept(Order.Step, Order.Sequence))
      Model.finish();
  }

  auto load(const std::string &Name) -> bool {
    const auto Step = plan(Name, "", {});
    if (Step)
      give(*Step, true);
    return Step.has_value();
  }
};

class open_orders_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(open_orders_test);
  CPPUNIT_TEST(controllerKilled_targetRestarts_lateOrderFits);
  CPPUNIT_TEST(controllerKilled_targetRunsOn_ordersAtOnce);
  CPPUNIT_TEST(machineLosesPower_allOrdersAnswered_ordersAtOnce);
  CPPUNIT_TEST(controllerStarts_noPredecessor_ordersInAnyIncarnation);
  CPPUNIT_TEST(controllerKilled_noOrderAnswered_ordersWhatFitsInAnyCase);
  CPPUNIT_TEST(controllerKilled_lateOrderAtEverySequence_lastOneFits);
  CPPUNIT_TEST(order_callInProgress_isOpen);
  CPPUNIT_TEST(order_repeated_staysOpenAfterAnAnswer);
  CPPUNIT_TEST(anyKillsAndRestarts_lateOrders_neverOvercommit);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { World = world(); }

  /// Guards against filling the memory of a target up to the sequence at which
  /// an open order of a controller that was killed is accepted.
  auto controllerKilled_targetRestarts_lateOrderFits() -> void {
    for (const auto *Name : {"a", "b"})
      World.Model.Report.Holdings.Models[model_name(Name)];
    World.startController();
    CPPUNIT_ASSERT(World.load("c"));
    for (const auto *Name : {"a", "b"})
      World.give({step_kind::Unload, model_name(Name), {}}, true);
    (void)World.giveLate(*World.plan("d", "", {}));
    recordHandover();
    // The predecessor of this controller may be killed as well.
    for (int I = 0; I < 3; ++I) {
      World.Now += seconds(1);
      World.startController();
    }
    World.restartTarget();
    for (; World.Now < time_point(seconds(113)); World.Now += seconds(1))
      for (const auto *Name : {"a", "b", "c"})
        CPPUNIT_ASSERT(!World.load(Name));
    World.deliver(World.Late.front());
    World.Now += seconds(5);
    CPPUNIT_ASSERT(World.load("a"));
    checkLimits(World);
  }

  auto controllerKilled_targetRunsOn_ordersAtOnce() -> void {
    World.startController();
    CPPUNIT_ASSERT(World.load("a"));
    recordHandover();
    World.startController();
    CPPUNIT_ASSERT(World.load("b"));
    CPPUNIT_ASSERT(World.load("c"));
  }

  /// Guards against targets that load nothing for seconds after the machines of
  /// a whole site have lost power.
  auto machineLosesPower_allOrdersAnswered_ordersAtOnce() -> void {
    World.startController();
    CPPUNIT_ASSERT(World.load("a"));
    recordHandover();
    World.restartTarget();
    World.startController();
    CPPUNIT_ASSERT(World.load("a") && World.load("b"));
  }

  auto controllerStarts_noPredecessor_ordersInAnyIncarnation() -> void {
    World.startController();
    CPPUNIT_ASSERT(World.load("a"));
    World.restartTarget();
    CPPUNIT_ASSERT(World.load("b"));
  }

  /// Without a gap late orders may lead to any sequence after a restart; as
  /// many loads as the target holds in any case do no harm.
  auto controllerKilled_noOrderAnswered_ordersWhatFitsInAnyCase() -> void {
    World.startController();
    (void)World.giveLate(*World.plan("e", "", {}));
    recordHandover();
    World.startController();
    CPPUNIT_ASSERT(World.load("a") && World.load("b") && World.load("c"));
    World.restartTarget();
    CPPUNIT_ASSERT(!World.load("a"));
  }

  /// Guards against an order that is safe in the state for which it is given,
  /// and not in the one to which the predecessor's late orders lead after a
  /// restart, as there is one at every sequence before it.
  auto controllerKilled_lateOrderAtEverySequence_lastOneFits() -> void {
    World.startController();
    for (const auto &[Late, Answered] : {std::pair("a", "b"), {"c", "d"}}) {
      (void)World.giveLate(*World.plan(Late, "", {}));
      CPPUNIT_ASSERT(World.load(Answered));
    }
    (void)World.giveLate(*World.plan("e", "", {}));
    World.give({step_kind::Unload, model_name("b"), {}}, true);
    recordHandover();
    World.startController();
    if (const auto Step = World.plan("b", "", {}))
      (void)World.giveLate(*Step);
    World.restartTarget();
    for (const auto &Order : World.Late)
      World.deliver(Order);
    checkLimits(World);
  }

  /// Guards against an order of the other queue that is planned as if the call
  /// of the first one had ended.
  auto order_callInProgress_isOpen() -> void {
    World.startController();
    const auto Number = World.giveLate(*World.plan("a", "", {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         World.Orders.list(Target, World.Now).size());
    World.Orders.settle(Number, true);
    CPPUNIT_ASSERT(World.Orders.list(Target, World.Now).empty());
  }

  auto order_repeated_staysOpenAfterAnAnswer() -> void {
    World.startController();
    const auto Step = *World.plan("a", "", {});
    World.Orders.settle(World.giveLate(Step), false);
    World.give(Step, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         World.Orders.list(Target, World.Now).size());
    World.Now += OpenOrderTime;
    CPPUNIT_ASSERT(World.Orders.list(Target, World.Now).empty());
  }

  /// The same for any orders, with any number of ends of the controller and of
  /// the target, and a row that goes back to an older copy.
  auto anyKillsAndRestarts_lateOrders_neverOvercommit() -> void {
    CPPUNIT_ASSERT(rc::check("memory and slots are not exceeded", [] {
      world World;
      World.startController();
      for (int I = 0; I < 150; ++I) {
        World.Now += milliseconds(*rc::gen::inRange(1, 1500));
        std::vector<model_name> Victims;
        for (const auto &[Model, Loaded] : World.Model.Report.Holdings.Models)
          if (*rc::gen::inRange(0, 2) == 0)
            Victims.push_back(Model);
        const auto Name = std::string(1, *rc::gen::inRange('a', 'f'));
        std::erase(Victims, model_name(Name));
        const auto Adapter = *rc::gen::inRange(0, 4) == 0
                                 ? std::string(1, *rc::gen::inRange('u', 'z'))
                                 : "";
        if (const auto Step = World.plan(Name, Adapter, Victims)) {
          if (*rc::gen::inRange(0, 3) > 0)
            World.give(*Step, *rc::gen::inRange(0, 4) > 0);
          else
            World.Orders.settle(World.giveLate(*Step), false);
        }
        for (const auto &Order : World.Late)
          if (*rc::gen::inRange(0, 3) == 0)
            World.deliver(Order);
        World.Row = World.Orders.handover(World.Now + AnswerTime);
        World.Copies.push_back(World.Row);
        // A controller that runs writes its row again.
        if (*rc::gen::inRange(0, 20) == 0) {
          World.restore(World.Copies[*rc::gen::inRange<std::size_t>(
              0, World.Copies.size())]);
          World.startController();
        }
        if (*rc::gen::inRange(0, 8) == 0)
          World.startController();
        if (*rc::gen::inRange(0, 8) == 0)
          World.restartTarget();
        RC_ASSERT(World.Model.usedMb(World.Engine) <= MemoryMb);
        RC_ASSERT(World.Model.adapters() <= AdapterSlots);
      }
    }));
  }

private:
  static auto checkLimits(const world &World) -> void {
    CPPUNIT_ASSERT(World.Model.usedMb(World.Engine) <= MemoryMb);
  }

  auto recordHandover() -> void {
    World.Row = World.Orders.handover(World.Now + AnswerTime);
  }

  world World;
};

CPPUNIT_TEST_SUITE_REGISTRATION(open_orders_test);

} // namespace
