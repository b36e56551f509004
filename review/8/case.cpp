/// The store comes back from an older copy while a controller is restarted. No
/// order may bear a lower generation number than an earlier one.
#include "../stand_ins_2/engine.h"

#include <random>

using namespace stand_ins;

namespace {

/// Workers, each with a controller; with the gateways ten machines of the
/// system, of which one at a time is killed.
constexpr int Workers = 8;
constexpr int GatewayCount = 2;
/// Age of the copy; "some seconds".
constexpr int CopyAgeMs = 6000;
/// When the controller starts again after its first end.
constexpr int FirstStartMs = 4000;
constexpr int AwayMs = 500;
constexpr int RestartDelayMs = 500;
/// Of the site: prompts a second, of which these name an adapter.
constexpr int PerSecond = 20;
constexpr int Callers = 40;
constexpr int Adapters = 31;

auto play(const std::string &CaseFolder) -> int {
  record_file Record(CaseFolder + "/record.txt");
  temporary_folder Folder;
  auto &Store = *new store;
  Store.put("op", "config", engineConfiguration(3));
  std::vector<engine *> Engines;
  for (int I = 1; I <= Workers; ++I) {
    Engines.push_back(new engine(Store, Record, "i-" + std::to_string(7000 + I),
                                 "wheelwise", 220000, 70000));
    Engines.back()->hold({"ma", "mb", "mc"});
    Engines.back()->Events = 20;
    Engines.back()->EventGapMs = 60;
    Engines.back()->beat();
  }
  gateway_place Places[GatewayCount];
  std::vector<std::unique_ptr<process>> Gateways;
  for (int I = 0; I < GatewayCount; ++I)
    Places[I].Name = "frontend-nashua-" + std::to_string(I + 1);
  for (int I = 0; I < GatewayCount; ++I)
    Gateways.push_back(std::make_unique<process>(
        "gateway-" + std::to_string(I + 1), Folder.Path,
        Places[I].settings(Store.address(), addressOf(Places[0].Peers) + "," +
                                                addressOf(Places[1].Peers))));
  std::vector<std::unique_ptr<process>> Controllers;
  for (int I = 0; I < Workers; ++I) {
    const auto Name = "side-nashua-" + std::to_string(I + 1);
    Controllers.push_back(std::make_unique<process>(
        Name, Folder.Path,
        controllerSettings(Name, Engines[I]->address(), "wheelwise",
                           Store.address())));
  }
  for (auto &Gateway : Gateways)
    Gateway->start();
  for (auto &Controller : Controllers)
    Controller->start();
  for (const auto &Place : Places)
    if (!Place.awaitReady())
      return NotRun;
  std::atomic<bool> Ends = false;
  std::atomic<int> Served = 0;
  std::vector<std::thread> Threads;
  for (int Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back([&, Caller] {
      std::mt19937 Random(static_cast<unsigned>(100 + Caller));
      const char *Models[] = {"ma", "mb", "mc"};
      sleepMs(Caller * 1000 / PerSecond);
      while (!Ends) {
        const auto Began = nowMs();
        const auto Name = std::string(Models[Random() % 3]) + "/a" +
                          std::to_string(1 + Random() % Adapters);
        if (ask(Record, Places[Caller % GatewayCount].Callers, Name, 1) == 200)
          ++Served;
        sleepMs(std::max<std::int64_t>(0, Began + 1000 * Callers / PerSecond -
                                              nowMs()));
      }
    });
  sleepMs(3000);
  auto &Killed = *Controllers.front();
  auto &Worker = *Engines.front();
  const auto Kill = [&](const char *Why) {
    Killed.kill(SIGKILL);
    Record.note(std::string("killed   the controller of i-7001, ") + Why);
  };

  Store.takeCopy();
  const auto CopiedAt = nowMs();
  const auto WaitUntil = [&](std::int64_t At) {
    sleepMs(std::max<std::int64_t>(0, CopiedAt + At - nowMs()));
  };
  Record.note("store    version " + std::to_string(Store.version()) +
              " is in the copy");
  WaitUntil(FirstStartMs - RestartDelayMs);
  Kill("for the first time");
  WaitUntil(FirstStartMs);
  Killed.start();
  Record.note("store    version " + std::to_string(Store.version()) +
              "; the controller starts again");
  // It starts again while the store is away, or would be.
  WaitUntil(CopyAgeMs - AwayMs / 2);
  Kill("for the second time");
  WaitUntil(CopyAgeMs);
  Record.note("store    version " + std::to_string(Store.version()));
  if (hasTrouble()) {
    Store.setAway(true);
    Record.note("trouble  the store is away");
  }
  WaitUntil(CopyAgeMs + RestartDelayMs - AwayMs / 2);
  Killed.start();
  Record.note("start    of the controller");
  WaitUntil(CopyAgeMs + AwayMs);
  if (hasTrouble()) {
    Store.restore();
    Record.note("trouble  the store is back from the copy, version " +
                std::to_string(Store.version()) + ", era 2");
    for (auto *Engine : Engines)
      Engine->writeAgain();
    sleepMs(500);
    Store.put("op", "config", engineConfiguration(3));
  }
  Record.note("store    version " + std::to_string(Store.version()));
  sleepMs(10'000);
  Ends = true;
  for (auto &Thread : Threads)
    Thread.join();

  std::uint64_t Highest = 0;
  std::uint64_t Last = 0;
  int Lower = 0;
  for (const auto &Order : Worker.orders()) {
    Lower += Order.FencingToken < Highest ? 1 : 0;
    Highest = std::max(Highest, Order.FencingToken);
    Last = Order.FencingToken;
  }
  Record.note("served " + std::to_string(Served) +
              "; orders to i-7001 with a lower generation number after a "
              "higher one: " +
              std::to_string(Lower) + " of " +
              std::to_string(Worker.orders().size()) + "; highest " +
              std::to_string(Highest) + ", last " + std::to_string(Last));
  if (Served == 0 || Worker.orders().empty())
    return NotRun;
  return Lower > 0 ? Broken : Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  if (Count < 2)
    return NotRun;
  finish(play(Arguments[1]));
}
