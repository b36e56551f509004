#include "script.h"

#include <array>
#include <ostream>

namespace limpetbridge {

namespace {

/// A kind of step, its name and how often it is taken.
struct step_row {
  step_kind Kind;
  const char *Name;
  std::uint32_t Weight;
};

constexpr std::array Rows = {step_row{step_kind::Deliver, "deliver", 600},
                             step_row{step_kind::Lose, "lose", 25},
                             step_row{step_kind::TimeOut, "time_out", 25},
                             step_row{step_kind::Repeat, "repeat", 20},
                             step_row{step_kind::Advance, "advance", 90},
                             step_row{step_kind::RequestModel, "model", 90},
                             step_row{step_kind::RequestBooking, "booking", 60},
                             step_row{step_kind::Command, "command", 25},
                             step_row{step_kind::Crash, "crash", 8},
                             step_row{step_kind::ReplacePaused, "replace", 6},
                             step_row{step_kind::ResumePaused, "resume", 6},
                             step_row{step_kind::Drain, "drain", 5},
                             step_row{step_kind::StoreDown, "store_down", 5},
                             step_row{step_kind::StoreUp, "store_up", 15},
                             step_row{step_kind::List, "list", 20}};

constexpr auto totalWeight() -> std::uint32_t {
  std::uint32_t Sum = 0;
  for (const auto &Row : Rows)
    Sum += Row.Weight;
  return Sum;
}

constexpr std::array Spans = {milliseconds(1),    milliseconds(10),
                              milliseconds(60),   milliseconds(300),
                              milliseconds(1100), milliseconds(6000)};

} // namespace

auto makeStep(std::uint64_t Random) -> step {
  auto Left = static_cast<std::uint32_t>(Random % totalWeight());
  for (const auto &Row : Rows) {
    if (Left < Row.Weight)
      return {Row.Kind, static_cast<std::uint32_t>((Random >> 16) & 0xFFFF),
              static_cast<std::uint32_t>((Random >> 32) & 0xFFFF)};
    Left -= Row.Weight;
  }
  return {};
}

auto apply(world &World, const step &Step) -> void {
  switch (Step.Kind) {
  case step_kind::Deliver:
    // Mostly in order, sometimes not.
    World.deliver(Step.Second % 3 == 0 ? Step.First : 0);
    return;
  case step_kind::Lose:
    World.lose(Step.First);
    return;
  case step_kind::TimeOut:
    World.timeOut(Step.First);
    return;
  case step_kind::Repeat:
    World.repeat(Step.First);
    return;
  case step_kind::Advance:
    World.advance(Spans[Step.First % Spans.size()]);
    return;
  case step_kind::RequestModel:
    World.requestModel(Step.First, Step.Second);
    return;
  case step_kind::RequestBooking:
    World.requestBooking(Step.First, Step.Second % 24);
    return;
  case step_kind::Command:
    World.command(Step.First, Step.Second);
    return;
  case step_kind::Crash:
    World.crash(Step.First);
    return;
  case step_kind::ReplacePaused:
    World.replacePaused(Step.First);
    return;
  case step_kind::ResumePaused:
    World.resumePaused();
    return;
  case step_kind::Drain:
    World.drain(Step.First);
    return;
  case step_kind::StoreDown:
    World.setStoreDown(true);
    return;
  case step_kind::StoreUp:
    World.setStoreDown(false);
    return;
  case step_kind::List:
    World.refreshList();
    return;
  }
}

auto runScript(const std::vector<step> &Steps, mutation Mutation)
    -> std::vector<std::string> {
  world World(1, Mutation);
  World.setDrainTimeout(seconds(5));
  for (const auto &Step : Steps)
    apply(World, Step);
  World.settle();
  return World.oracleOf().violations();
}

auto operator<<(std::ostream &Out, const step &Step) -> std::ostream & {
  return Out << Rows.at(static_cast<std::size_t>(Step.Kind)).Name << ' '
             << Step.First << ' ' << Step.Second;
}

} // namespace limpetbridge
