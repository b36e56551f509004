// The end of a run: everything heals, and what must hold then is checked.
#include "core/store_keys.h"
#include "world.h"

namespace limpetbridge {

auto world::settleRound() -> void {
  constexpr auto Step = milliseconds(50);
  deliverAll();
  advance(Step);
}

auto world::checkReachable() -> void {
  std::vector<request_id> Last;
  for (std::size_t Entry = 0; Entry < 2; ++Entry) {
    for (std::size_t Model = 0; Model < WorldModels; ++Model) {
      const auto Id = requestModel(Entry, Model);
      for (int Round = 0; Round < 200; ++Round) {
        if (Round % 20 == 0)
          refreshList();
        settleRound();
        const auto *Request = Oracle.find(Id);
        if (Request != nullptr && Request->Ended)
          break;
      }
      Oracle.mustBeDone(Id);
    }
    const auto Booking = requestBooking(Entry, 4 * (1000 + LastCounter));
    for (int Round = 0; Round < 200; ++Round)
      settleRound();
    Oracle.mustBeDone(Booking);
  }
}

auto world::checkStored() -> void {
  std::set<change_id> Stored;
  constexpr std::uint32_t All = 100'000;
  for (const auto &Row :
       Table.range(std::string(store_keys::ChangePrefix), "", All))
    Stored.insert(decodeChange(Row.Value).value().Id);
  for (const char *Entry : {"e0", "e1"})
    Oracle.settled(
        *Nodes[Current.at(instance_name(Entry))].State.Configuration.Current,
        Stored);
}

auto world::settle() -> void {
  constexpr int Rounds = 1000;
  setStoreDown(false);
  while (!PausedAgents.empty())
    resumePaused();
  // Declared drains are lifted, so that everything is reachable again.
  for (int Round = 0; Round < Rounds; ++Round) {
    if (Round % 40 == 0)
      refreshList();
    settleRound();
  }
  for (const char *Target : {"g0", "s0"}) {
    command_arrived Event;
    Event.Command = ++LastCommand;
    Event.Id = change_id("restore-" + std::to_string(++LastChange));
    Event.Deadline = Now + CommandTime;
    Event.Operations = {{operation_verb::Declare,
                         declaration_kind::Target,
                         Target,
                         {{"drained", "false"}}}};
    Commands[Event.Command] = Event.Id;
    feed(Current.at(instance_name("e0")), Event);
    for (int Round = 0; Round < 100; ++Round)
      settleRound();
  }
  checkReachable();
  checkStored();
}

} // namespace limpetbridge
