/// The store comes back from an older copy, then the process of a controller is
/// restarted. No order may bear a lower generation number than an earlier one.
#include "../stand_ins_2/engine.h"

using namespace stand_ins;

namespace {

/// Age of the copy; "some seconds".
constexpr int CopyAgeMs = 6000;
constexpr int AwayMs = 500;
constexpr int RestartDelayMs = 500;

auto play(const std::string &CaseFolder) -> int {
  record_file Record(CaseFolder + "/record.txt");
  temporary_folder Folder;
  auto &Store = *new store;
  Store.put("op", "config", engineConfiguration(3));
  // Four workers, of which the first one has a controller here.
  std::vector<engine *> Engines;
  for (int I = 1; I <= 4; ++I) {
    Engines.push_back(new engine(Store, Record, "i-" + std::to_string(7000 + I),
                                 "wheelwise", 220000, 70000));
    Engines.back()->beat();
  }
  auto &Worker = *Engines.front();
  gateway_place Place;
  Place.Name = "frontend-nashua-1";
  process Gateway("gateway", Folder.Path,
                  Place.settings(Store.address(), addressOf(Place.Peers)));
  process Controller("controller", Folder.Path,
                     controllerSettings("side-nashua-1", Worker.address(),
                                        "wheelwise", Store.address()));
  Gateway.start();
  Controller.start();
  if (!Place.awaitReady())
    return NotRun;
  sleepMs(3000);
  const auto Restart = [&](const char *Why) {
    Controller.kill(SIGKILL);
    sleepMs(RestartDelayMs);
    Controller.start();
    Record.note(std::string("restart  the controller's process, ") + Why);
    sleepMs(1000);
  };

  Store.takeCopy();
  Record.note("store    version " + std::to_string(Store.version()) +
              " is in the copy");
  const auto CopiedAt = nowMs();
  sleepMs(3500);
  Restart("for the first time");
  // Four models, of which three fit: each of these makes another one yield.
  if (ask(Record, Place.Callers, "md") != 200)
    return NotRun;
  sleepMs(std::max<std::int64_t>(0, CopiedAt + CopyAgeMs - nowMs()));
  Record.note("store    version " + std::to_string(Store.version()));
  if (hasTrouble()) {
    Store.setAway(true);
    sleepMs(AwayMs);
    Store.restore();
    Record.note("trouble  the store is back from the copy, version " +
                std::to_string(Store.version()) + ", era 2");
    // What the operator and the workers wrote is written again.
    Store.put("op", "config", engineConfiguration(3));
    for (auto *Engine : Engines)
      Engine->beat();
  }
  Restart("for the second time");
  Record.note("store    version " + std::to_string(Store.version()));
  sleepMs(1500); // A model that was just loaded does not yield.
  for (const char *Model : {"ma", "mb", "mc", "md"})
    if (ask(Record, Place.Callers, Model) != 200)
      return NotRun;

  std::uint64_t Highest = 0;
  int Lower = 0;
  for (const auto &Order : Worker.orders()) {
    if (Order.FencingToken < Highest)
      ++Lower;
    Highest = std::max(Highest, Order.FencingToken);
  }
  Record.note("orders with a lower generation number after a higher one: " +
              std::to_string(Lower) + " of " +
              std::to_string(Worker.orders().size()));
  return Lower > 0 ? Broken : Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  if (Count < 2)
    return NotRun;
  finish(play(Arguments[1]));
}
