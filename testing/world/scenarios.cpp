#include "scenarios.h"

namespace limpetbridge {

namespace {

/// Time in steps, with everything delivered after each.
auto pass(world &World, int Steps, duration Step) -> void {
  for (int Index = 0; Index < Steps; ++Index) {
    World.advance(Step);
    World.deliverAll();
  }
}

/// Requests for every model, so that both engines load, up to the moment when
/// the orders are under way.
auto loadsUnderWay(world &World) -> void {
  constexpr std::size_t Models = 4;
  for (std::size_t Model = 0; Model < Models; ++Model)
    World.requestModel(0, Model);
  for (std::size_t Count = 0; Count < 3 * Models; ++Count)
    World.deliver(0);
}

auto wholeAnswer(world &World) -> void {
  World.requestModel(0, 0);
  World.deliverAll();
  World.requestModel(0, 0);
  World.deliverAll();
}

auto lostOrder(world &World) -> void {
  loadsUnderWay(World);
  while (World.loseFirst("order"))
    ;
  pass(World, 6, milliseconds(600));
}

auto lateOrder(world &World) -> void {
  loadsUnderWay(World);
  while (World.timeOutFirst("order"))
    ;
  pass(World, 6, milliseconds(600));
}

auto deathDuringLoad(world &World) -> void {
  constexpr std::size_t Engine = 3; // g1, which ignores tokens.
  loadsUnderWay(World);
  World.crash(Engine);
  pass(World, 10, milliseconds(500));
}

auto booking(world &World) -> void {
  World.requestBooking(0, 1);
  World.deliverAll();
  World.requestBooking(1, 1);
  World.deliverAll();
}

auto claimAnswerLost(world &World) -> void {
  World.requestBooking(0, 1);
  World.deliver(0);
  World.deliver(0);
  World.loseFirst("store reply");
  pass(World, 4, milliseconds(300));
}

auto claimStoreDown(world &World) -> void {
  World.setStoreDown(true);
  World.requestBooking(0, 1);
  pass(World, 45, seconds(1));
  World.setStoreDown(false);
  pass(World, 3, seconds(1));
}

auto serviceReplyLost(world &World) -> void {
  World.requestBooking(0, 4);
  World.deliver(0);
  World.deliver(0);
  World.loseFirst("service reply");
  pass(World, 3, milliseconds(100));
}

auto pausedHolder(world &World) -> void {
  World.requestModel(0, 0);
  World.deliverAll();
  World.replacePaused(0);
  pass(World, 6, milliseconds(300));
  World.resumePaused();
  pass(World, 8, milliseconds(500));
}

auto racingOperators(world &World) -> void {
  World.command(0, 8);
  World.command(1, 8);
  World.deliverAll();
  pass(World, 6, milliseconds(300));
}

auto changeAnswerLost(world &World) -> void {
  World.command(0, 8);
  World.deliver(0);
  World.deliver(0);
  World.deliver(0);
  World.loseFirst("store reply");
  pass(World, 6, milliseconds(300));
}

auto silentConnection(world &World) -> void {
  World.requestModel(0, 0);
  for (int Tries = 0; Tries < 40 && !World.loseFirst("frame"); ++Tries)
    World.deliver(0);
  while (World.loseFirst("frame") || World.loseFirst("engine frame"))
    ;
  pass(World, 9, milliseconds(800));
}

auto drainedAgent(world &World) -> void {
  World.requestModel(0, 0);
  World.deliver(0);
  World.drain(1);
  pass(World, 6, milliseconds(300));
}

auto drainedEntry(world &World) -> void {
  World.requestModel(0, 0);
  World.drain(0);
  pass(World, 4, milliseconds(100));
}

auto storeDownAndDeath(world &World) -> void {
  World.requestModel(0, 0);
  World.setStoreDown(true);
  pass(World, 2, milliseconds(300));
  World.crash(2);
  pass(World, 6, milliseconds(500));
  World.setStoreDown(false);
  pass(World, 8, milliseconds(500));
}

} // namespace

auto allScenarios() -> std::vector<scenario> {
  return {{"whole_answer", "e0", 0, wholeAnswer},
          {"lost_order", "g1", 0, lostOrder},
          {"lost_order_checked", "g0", 0, lostOrder},
          {"late_order", "g1", 0, lateOrder},
          {"death_during_load", "g1", 1, deathDuringLoad},
          {"booking_repeated", "s0", 0, booking},
          {"claim_answer_lost", "s0", 0, claimAnswerLost},
          {"claim_store_down", "e0", 0, claimStoreDown},
          {"service_reply_lost", "e0", 0, serviceReplyLost},
          {"paused_holder", "g0", 0, pausedHolder},
          {"paused_holder_successor", "g0", 1, pausedHolder},
          {"racing_operators", "e1", 0, racingOperators},
          {"change_answer_lost", "e0", 0, changeAnswerLost},
          {"silent_connection", "e0", 0, silentConnection},
          {"drained_agent", "g0", 0, drainedAgent},
          {"drained_entry", "e0", 0, drainedEntry},
          {"store_down_and_death", "g0", 1, storeDownAndDeath}};
}

auto recordScenario(const scenario &Scenario, std::vector<std::string> &Broken)
    -> std::string {
  world World(1, mutation::None, true);
  Scenario.Run(World);
  Broken = World.oracleOf().violations();
  return World.sessionsOf(Scenario.Node).at(Scenario.Life);
}

} // namespace limpetbridge
