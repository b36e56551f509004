/// \file
/// `limpetbridge`: runs one process in the role that its settings name: entry,
/// agent, gateway or controller.

#include "adapter/hooks.h"
#include "base/log.h"
#include "controller_node.h"
#include "explain_client.h"
#include "gateway_node.h"
#include "large_blocks.h"
#include "node.h"
#include "node_setup.h"
#include "stop_signal.h"

#include <getopt.h>
#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace limpetbridge;

constexpr const char *Help =
    "usage: limpetbridge --settings FILE\n"
    "       limpetbridge --check FILE\n"
    "       limpetbridge --print-settings [FILE]\n"
    "       limpetbridge --explain REQUEST --gateway ADDRESS [--json]\n"
    "\n"
    "  -s, --settings FILE       run a node with these settings\n"
    "  -c, --check FILE          check the settings and exit\n"
    "  -p, --print-settings      print all settings, the defaults or those of "
    "FILE,\n"
    "                            with their descriptions\n"
    "  -e, --explain REQUEST     print where a gateway would send a request "
    "now, and\n"
    "                            why, without sending it; REQUEST is a file "
    "with the\n"
    "                            request line and header fields, - for "
    "standard input\n"
    "  -g, --gateway ADDRESS     metrics address of the gateway that is asked\n"
    "  -j, --json                print the explanation as JSON\n"
    "  -V, --version             print the version\n"
    "  -h, --help                print this text\n"
    "\n"
    "Without options, a node is run with the settings file that\n"
    "LIMPETBRIDGE_SETTINGS names.\n"
    "\n"
    "SIGTERM drains: readyz fails, new work is refused as not run, running\n"
    "work finishes, exit status 0. A repeated SIGTERM changes nothing, a\n"
    "repeated SIGINT ends the process at once.\n";

/// Action that the command line requests.
enum class command : unsigned char {
  RunNode,
  Check,
  PrintSettings,
  Explain,
  Version,
  Help,
  UsageError
};

struct command_line {
  command Command = command::UsageError;
  std::string File;
  std::string Gateway; ///< For Explain.
  bool AsJson = false; ///< For Explain.
};

auto parseCommandLine(int ArgumentCount, char **ArgumentValues)
    -> command_line {
  static const option Options[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", required_argument, nullptr, 'c'},
      {"print-settings", no_argument, nullptr, 'p'},
      {"explain", required_argument, nullptr, 'e'},
      {"gateway", required_argument, nullptr, 'g'},
      {"json", no_argument, nullptr, 'j'},
      {"version", no_argument, nullptr, 'V'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  command_line CommandLine;
  int Option = 0;
  while ((Option = getopt_long(ArgumentCount, ArgumentValues, "s:c:pe:g:jVh",
                               Options, nullptr)) != -1) {
    if (Option == 's')
      CommandLine = {command::RunNode, optarg, {}};
    else if (Option == 'c')
      CommandLine = {command::Check, optarg, {}};
    else if (Option == 'p')
      CommandLine.Command = command::PrintSettings;
    else if (Option == 'e') {
      CommandLine.Command = command::Explain;
      CommandLine.File = optarg;
    } else if (Option == 'g')
      CommandLine.Gateway = optarg;
    else if (Option == 'j')
      CommandLine.AsJson = true;
    else if (Option == 'V')
      CommandLine.Command = command::Version;
    else if (Option == 'h')
      CommandLine.Command = command::Help;
    else
      return {};
  }
  const char *DefaultFile = std::getenv("LIMPETBRIDGE_SETTINGS"); // NOLINT
  if (ArgumentCount == 1 && DefaultFile != nullptr)
    CommandLine = {command::RunNode, DefaultFile, {}};
  if (CommandLine.Command == command::PrintSettings && optind < ArgumentCount)
    CommandLine.File = ArgumentValues[optind];
  if (CommandLine.Gateway.empty() == (CommandLine.Command == command::Explain))
    return {};
  return CommandLine;
}

/// Exit status of a result code: its thousands, which tell scripts the category
/// of the error.
auto exitStatus(result_code Code) -> int {
  constexpr int CodesPerCategory = 1000;
  return static_cast<int>(Code) / CodesPerCategory;
}

auto reportError(const error &Error) -> int {
  std::cerr << "limpetbridge: " << toString(Error) << '\n';
  return exitStatus(Error.Code);
}

auto loadValidSettings(const std::string &File) -> result<node_settings> {
  auto Settings = loadSettings(File);
  if (!Settings)
    return Settings;
  auto Valid = checkSettings(Settings.value());
  if (!Valid)
    return failure(Valid.error().Code, File + ": " + Valid.error().Detail);
  return Settings;
}

auto checkSettingsFile(const std::string &File) -> int {
  auto Settings = loadValidSettings(File);
  if (!Settings)
    return reportError(Settings.error());
  std::cout << File << ": ok\n";
  return 0;
}

auto printSettingsFile(const std::string &File) -> int {
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

auto explainRequest(const command_line &CommandLine) -> int {
  std::ifstream File;
  if (CommandLine.File != "-")
    File.open(CommandLine.File);
  std::istream &Input = CommandLine.File == "-" ? std::cin : File;
  if (!Input)
    return reportError(failure(result_code::FileUnreadable, CommandLine.File));
  const std::string Text(std::istreambuf_iterator<char>(Input), {});
  auto Request = parseRequestText(Text);
  if (!Request)
    return reportError(Request.error());
  auto Explanation = fetchExplanation(CommandLine.Gateway, Request.value(),
                                      CommandLine.AsJson);
  if (!Explanation)
    return reportError(Explanation.error());
  std::cout << Explanation.value();
  return 0;
}

/// Blocks the signals that the process handles in every thread, so that they
/// wait until they can be handled. \returns these signals.
auto blockSignals() -> sigset_t {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (const int Signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
    sigaddset(&Signals, Signal);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN); // NOLINT: before any thread starts
  return Signals;
}

/// Waits for the end of the node and returns the exit status. SIGUSR1 reports
/// that the node has drained.
auto waitForShutdown(const sigset_t &Signals, node &Node,
                     const std::atomic<int> &ExitStatus) -> int {
  stop_policy Policy;
  for (;;) {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    if (Signal == SIGUSR1)
      return ExitStatus.load();
    if (Signal == SIGHUP) {
      // Entries and agents read their settings only at the start.
      log(log_level::Info, "signal_ignored", {{"signal", "SIGHUP"}});
      continue;
    }
    const auto Action = Policy.receive(Signal);
    if (Action == stop_action::EndNow) {
      log(log_level::Error, "interrupted",
          {{"code",
            std::to_string(static_cast<int>(result_code::Interrupted))}});
      _exit(exitStatus(result_code::Interrupted));
    }
    if (Action == stop_action::Begin)
      Node.drain();
  }
}

/// Runs \p Node, which handles \p Signals, until it has shut down.
template <typename serving_node>
auto runServingNode(serving_node &&Node, const sigset_t &Signals) -> int {
  pthread_sigmask(SIG_UNBLOCK, &Signals, nullptr);
  Node.run();
  // The handlers go with the node; the default action would replace the exit
  // status.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return 0;
}

/// Runs a gateway or a controller until it has shut down.
auto runGatewayOrController(const node_settings &Settings,
                            const sigset_t &Signals) -> int {
  returnLargeBlocks();
  try {
    if (Settings.Role == "gateway")
      return runServingNode(
          gateway_node(Settings, adapter::makeGatewayHooks(Settings)), Signals);
    return runServingNode(
        controller_node(Settings, adapter::makeControllerHooks(Settings)),
        Signals);
  } catch (const std::exception &Error) {
    log(log_level::Error, "failed", {{"error", Error.what()}});
    return reportError(failure(result_code::StartupFailed, Error.what()));
  }
}

auto runNode(const std::string &File) -> int {
  const auto Signals = blockSignals();
  auto Settings = loadValidSettings(File);
  if (!Settings)
    return reportError(Settings.error());
  startLog(Settings.value().Name, Settings.value().LogFile);
  if (Settings.value().Role == "gateway" ||
      Settings.value().Role == "controller")
    return runGatewayOrController(Settings.value(), Signals);
  std::atomic<int> ExitStatus{0};
  try {
    node Node(Settings.value(), [&ExitStatus](result_code Code) {
      ExitStatus = exitStatus(Code);
      kill(getpid(), SIGUSR1);
    });
    return waitForShutdown(Signals, Node, ExitStatus);
  } catch (const std::exception &Error) {
    return reportError(failure(result_code::StartupFailed, Error.what()));
  }
}

} // namespace

auto main(int ArgumentCount, char **ArgumentValues) -> int {
  const auto CommandLine = parseCommandLine(ArgumentCount, ArgumentValues);
  switch (CommandLine.Command) {
  case command::RunNode:
    return runNode(CommandLine.File);
  case command::Check:
    return checkSettingsFile(CommandLine.File);
  case command::PrintSettings:
    return printSettingsFile(CommandLine.File);
  case command::Explain:
    return explainRequest(CommandLine);
  case command::Version:
    std::cout << "limpetbridge 0.1.0\n";
    return 0;
  case command::Help:
    std::cout << Help;
    return 0;
  case command::UsageError:
    std::cerr << Help;
    return 2;
  }
  return 2;
}
