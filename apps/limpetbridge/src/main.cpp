/// \file
/// `limpetbridge`: one node, entry or agent, as its settings say.

#include "adapter/hooks.h"
#include "base/log.h"
#include "controller_node.h"
#include "gateway_node.h"
#include "node.h"
#include "node_setup.h"

#include <getopt.h>
#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <iostream>

namespace {

using namespace limpetbridge;

constexpr const char *Help =
    "usage: limpetbridge --settings FILE\n"
    "       limpetbridge --check FILE\n"
    "       limpetbridge --print-settings [FILE]\n"
    "\n"
    "  -s, --settings FILE       run a node with these settings\n"
    "  -c, --check FILE          check the settings and exit\n"
    "  -p, --print-settings      print all settings with their help\n"
    "  -V, --version             print the version\n"
    "  -h, --help                print this text\n"
    "\n"
    "Without options, the settings file that LIMPETBRIDGE_SETTINGS names is "
    "run.\n"
    "\n"
    "SIGTERM drains: readyz fails, new work is refused as not run, running\n"
    "work finishes, exit status 0. A second signal ends the process at once.\n";

/// What the command line asks for.
enum class command : unsigned char { Run, Check, Print, Version, Help, Wrong };

struct command_line {
  command Command = command::Wrong;
  std::string File;
};

auto parseCommandLine(int Count, char **Words) -> command_line {
  static const option Options[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", required_argument, nullptr, 'c'},
      {"print-settings", no_argument, nullptr, 'p'},
      {"version", no_argument, nullptr, 'V'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  command_line Line;
  int Option = 0;
  while ((Option = getopt_long(Count, Words, "s:c:pVh", Options, nullptr)) !=
         -1) {
    if (Option == 's')
      Line = {command::Run, optarg};
    else if (Option == 'c')
      Line = {command::Check, optarg};
    else if (Option == 'p')
      Line.Command = command::Print;
    else if (Option == 'V')
      Line.Command = command::Version;
    else if (Option == 'h')
      Line.Command = command::Help;
    else
      return {};
  }
  const char *Default = std::getenv("LIMPETBRIDGE_SETTINGS"); // NOLINT
  if (Count == 1 && Default != nullptr)
    Line = {command::Run, Default};
  if (Line.Command == command::Print && optind < Count)
    Line.File = Words[optind];
  return Line;
}

/// Exit status of a result code: its thousands, so that scripts see its kind.
auto exitStatus(result_code Code) -> int {
  constexpr int Thousand = 1000;
  return static_cast<int>(Code) / Thousand;
}

auto reportError(const error &Error) -> int {
  std::cerr << "limpetbridge: " << toString(Error) << '\n';
  return exitStatus(Error.Code);
}

auto loadChecked(const std::string &File) -> result<node_settings> {
  auto Settings = loadSettings(File);
  if (!Settings)
    return Settings;
  auto Checked = checkSettings(Settings.value());
  if (!Checked)
    return failure(Checked.error().Code, File + ": " + Checked.error().Detail);
  return Settings;
}

auto checkFile(const std::string &File) -> int {
  auto Settings = loadChecked(File);
  if (!Settings)
    return reportError(Settings.error());
  std::cout << File << ": ok\n";
  return 0;
}

auto printFile(const std::string &File) -> int {
  if (File.empty()) {
    std::cout << printSettings(defaultSettings());
    return 0;
  }
  auto Settings = loadSettings(File);
  if (!Settings)
    return reportError(Settings.error());
  std::cout << printSettings(Settings.value());
  return 0;
}

/// Signals that end the process; blocked in every thread, taken by one.
auto blockSignals() -> sigset_t {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (const int Signal : {SIGTERM, SIGINT, SIGUSR1})
    sigaddset(&Signals, Signal);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN); // NOLINT: before any thread starts
  return Signals;
}

/// Waits for signals; SIGUSR1 means that the node has drained.
auto waitForEnd(const sigset_t &Signals, node &Node,
                const std::atomic<int> &Status) -> int {
  bool Draining = false;
  for (;;) {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    if (Signal == SIGUSR1)
      return Status.load();
    if (Draining) {
      log(log_level::Error, "interrupted",
          {{"code",
            std::to_string(static_cast<int>(result_code::Interrupted))}});
      _exit(exitStatus(result_code::Interrupted));
    }
    Draining = true;
    Node.drain();
  }
}

/// Runs a gateway or a controller until it is told to stop.
auto runServing(const node_settings &Settings) -> int {
  signal(SIGPIPE, SIG_IGN); // NOLINT: before any thread starts
  try {
    if (Settings.Role == "gateway")
      gateway_node(Settings, adapter::makeGatewayHooks(Settings)).run();
    else
      controller_node(Settings, adapter::makeControllerHooks(Settings)).run();
    return 0;
  } catch (const std::exception &Error) {
    log(log_level::Error, "failed", {{"error", Error.what()}});
    return reportError(failure(result_code::StartupFailed, Error.what()));
  }
}

auto runNode(const std::string &File) -> int {
  auto Settings = loadChecked(File);
  if (!Settings)
    return reportError(Settings.error());
  startLog(Settings.value().Name, Settings.value().LogFile);
  if (Settings.value().Role == "gateway" ||
      Settings.value().Role == "controller")
    return runServing(Settings.value());
  const auto Signals = blockSignals();
  std::atomic<int> Status{0};
  try {
    node Node(Settings.value(), [&Status](result_code Code) {
      Status = exitStatus(Code);
      kill(getpid(), SIGUSR1);
    });
    return waitForEnd(Signals, Node, Status);
  } catch (const std::exception &Error) {
    return reportError(failure(result_code::StartupFailed, Error.what()));
  }
}

} // namespace

auto main(int Count, char **Words) -> int {
  const auto Line = parseCommandLine(Count, Words);
  switch (Line.Command) {
  case command::Run:
    return runNode(Line.File);
  case command::Check:
    return checkFile(Line.File);
  case command::Print:
    return printFile(Line.File);
  case command::Version:
    std::cout << "limpetbridge 0.1.0\n";
    return 0;
  case command::Help:
    std::cout << Help;
    return 0;
  case command::Wrong:
    std::cerr << Help;
    return 2;
  }
  return 2;
}
