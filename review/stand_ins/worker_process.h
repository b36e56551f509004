/// \file
/// Starts, kills and restarts a worker that is a process of its own, and writes
/// its row to the store as the worker would.
#ifndef LIMPETBRIDGE_REVIEW_WORKER_PROCESS_H
#define LIMPETBRIDGE_REVIEW_WORKER_PROCESS_H

#include "platform.h"

namespace review {

class worker_process {
public:
  worker_process(store &PlatformStore, std::string WorkerId,
                 const std::string &Model, const temporary_folder &Folder,
                 values MoreOptions)
      : Id(std::move(WorkerId)), Log(Folder.Path + "/" + Id + ".log"),
        Store(PlatformStore), HeldModel(Model),
        Options(std::move(MoreOptions)) {
    Options["id"] = Id;
    Options["log"] = Log;
    Options["port"] = std::to_string(Port);
    start();
  }
  ~worker_process() { kill(); }

  /// Starts a new lifetime; its row is written once it accepts channels.
  auto start() -> void {
    std::vector<std::string> Words = {"target/review/worker"};
    for (const auto &[Key, Value] : Options)
      Words.push_back(Key + "=" + Value);
    std::vector<char *> Arguments;
    for (auto &Word : Words)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::execv(Arguments[0], Arguments.data());
      ::_exit(127);
    }
    for (int Tries = 0; Tries < 100 && !channel::open(Port); ++Tries)
      sleepMs(10);
    Born += 1000;
    json Row = {{"service", "models"},
                {"address", "127.0.0.1:" + std::to_string(Port)},
                {"zone", "north"},
                {"version", "v1"},
                {"slots", 64},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"stage", "colocated"},
                {"sequence", 0},
                {"busy", false},
                {"born", Born},
                {"models", json::array({{{"name", HeldModel},
                                         {"version", 1},
                                         {"adapters", json::array()}}})}};
    Store.put("servers", Id, Row.dump());
  }
  auto kill() -> void {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  /// True if the process has ended.
  auto hasEnded() -> bool {
    if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
      Pid = -1;
    return Pid <= 0;
  }
  /// What the worker has noted.
  [[nodiscard]] auto lines() const -> std::vector<std::string> {
    std::vector<std::string> Lines;
    std::ifstream Stream(Log);
    for (std::string Line; std::getline(Stream, Line);)
      Lines.push_back(Line);
    return Lines;
  }

  const std::string Id;
  const std::string Log;

private:
  store &Store;
  std::string HeldModel;
  values Options;
  std::uint16_t Port = freePort();
  std::int64_t Born = 1'700'000'000'000;
  pid_t Pid = -1;
};

} // namespace review

#endif // LIMPETBRIDGE_REVIEW_WORKER_PROCESS_H
