/// \file
/// `limpetctl`: the command-line tool for operators.

#include "base/log_query.h"
#include "base/settings.h"
#include "core/transcript.h"
#include "operator_session.h"

#include <getopt.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <vector>

namespace {

using namespace limpetbridge;

constexpr int UsageStatus = 2;

/// The command line, parsed.
struct arguments {
  session_options Session;
  note_filter TimelineFilter;
  log_filter LogFilter;
  bool Prune = false;
  bool Help = false;
  bool UsageError = false;
  std::vector<std::string> Operands; ///< Of the command, without options.
};

/// One command of the tool.
struct tool_command {
  const char *Name;
  const char *Usage;
  const char *Help;
  std::function<int(const arguments &)> Run;
};

auto exitStatus(result_code Code) -> int {
  constexpr int CodesPerCategory = 1000;
  return static_cast<int>(Code) / CodesPerCategory;
}

auto printResult(const result<std::string> &Result) -> int {
  if (Result) {
    std::cout << Result.value();
    return 0;
  }
  std::cerr << "limpetctl: " << toString(Result.error()) << '\n';
  return exitStatus(Result.error().Code);
}

auto joinOperands(const std::vector<std::string> &Operands) -> std::string {
  std::string Text;
  for (const auto &Operand : Operands)
    Text += (Text.empty() ? "" : " ") + Operand;
  return Text;
}

auto runQuery(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  return printResult(Session.runStatement(joinOperands(Arguments.Operands)));
}

auto runPrompt(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  const bool Interactive = isatty(STDIN_FILENO) != 0;
  std::string Line;
  int Status = 0;
  for (;;) {
    if (Interactive)
      std::cout << "limpet> " << std::flush;
    if (!std::getline(std::cin, Line) || Line == "quit")
      return Status;
    if (!Line.empty())
      Status = printResult(Session.runStatement(Line));
  }
}

auto planFromArguments(const arguments &Arguments, operator_session &Session)
    -> result<std::vector<operation>> {
  if (Arguments.Operands.size() != 1)
    return failure(result_code::SyntaxError,
                   "plan and apply expect exactly one file");
  return Session.planFile(Arguments.Operands.front(), Arguments.Prune);
}

auto runPlan(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  auto Operations = planFromArguments(Arguments, Session);
  if (!Operations)
    return printResult(Operations.error());
  for (const auto &Operation : Operations.value())
    std::cout << toString(Operation) << '\n';
  if (Operations.value().empty())
    std::cout << "nothing to change\n";
  return 0;
}

auto runApply(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  auto Operations = planFromArguments(Arguments, Session);
  if (!Operations)
    return printResult(Operations.error());
  if (Operations.value().empty()) {
    std::cout << "nothing to change\n";
    return 0;
  }
  return printResult(Session.submitChange(Operations.value()));
}

auto runTimeline(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  return printResult(Session.fetchTimeline(Arguments.TimelineFilter));
}

auto runCheck(const arguments &Arguments) -> int {
  for (const auto &File : Arguments.Operands) {
    auto Settings = loadSettings(File);
    if (!Settings)
      return printResult(Settings.error());
    std::cout << File << ": ok\n";
  }
  return Arguments.Operands.empty() ? UsageStatus : 0;
}

auto runReplay(const arguments &Arguments) -> int {
  for (const auto &File : Arguments.Operands) {
    auto Text = readFile(File);
    if (!Text)
      return printResult(Text.error());
    auto Result = replaySession(Text.value());
    if (!Result)
      return printResult(
          failure(Result.error().Code, File + ": " + Result.error().Detail));
    std::cout << File << ": " << Result.value().Events << " events, "
              << Result.value().Effects << " effects, no difference\n";
  }
  return Arguments.Operands.empty() ? UsageStatus : 0;
}

/// Reads the log files that are named, or standard input if none is.
auto runLog(const arguments &Arguments) -> int {
  log_query_result LogAnswer;
  for (const auto &File : Arguments.Operands) {
    std::ifstream Stream(File);
    if (!Stream)
      return printResult(
          failure(result_code::FileUnreadable, File + " cannot be opened"));
    readLog(Stream, Arguments.LogFilter, LogAnswer);
  }
  if (Arguments.Operands.empty())
    readLog(std::cin, Arguments.LogFilter, LogAnswer);
  mergeLogs(LogAnswer);
  for (const auto &Record : LogAnswer.Records)
    std::cout << (Arguments.Session.Json ? Record.Text : printRecord(Record))
              << '\n';
  if (LogAnswer.Unreadable > 0)
    std::cerr << "limpetctl: " << LogAnswer.Unreadable
              << " log lines could not be parsed and were skipped\n";
  return 0;
}

auto toolCommands() -> const std::vector<tool_command> & {
  static const std::vector<tool_command> Commands = {
      {"query", "query 'STATEMENT'",
       "run one statement of the query and command language", runQuery},
      {"prompt", "prompt", "read statements from standard input, one per line",
       runPrompt},
      {"plan", "plan FILE [--prune]",
       "show what apply would change, and change nothing", runPlan},
      {"apply", "apply FILE [--prune]",
       "declare what FILE says, in one atomic change", runApply},
      {"timeline", "timeline [--request ID] [--target NAME] [--change ID]",
       "show the time line of all instances in causal order", runTimeline},
      {"log",
       "log [--request ID] [--target NAME] [--event WORD] [--failures] "
       "[--json] [FILE…]",
       "show the log lines of many processes, filtered and merged by time",
       runLog},
      {"replay", "replay FILE…",
       "replay recorded sessions and report the first difference", runReplay},
      {"check", "check FILE…", "check settings files of nodes", runCheck},
  };
  return Commands;
}

auto printHelp(std::ostream &Stream) -> void {
  Stream << "usage: limpetctl COMMAND [OPTIONS]\n\n";
  for (const auto &Command : toolCommands())
    Stream << "  " << Command.Usage << "\n      " << Command.Help << '\n';
  Stream << "\noptions:\n"
            "  --entry IP:PORT       operator listener of an entry "
            "(LIMPETCTL_ENTRY)\n"
            "  --token TOKEN         operator token (LIMPETCTL_TOKEN)\n"
            "  --peer-token TOKEN    token of the peer listeners "
            "(LIMPETCTL_PEER_TOKEN)\n"
            "  --json                print JSON lines\n"
            "  --if-revision N       refuse the change unless N is the current "
            "revision\n"
            "  --change-id ID        id of the change; a retry with the same "
            "id is safe\n"
            "  --timeout-ms N        timeout of each request, milliseconds\n"
            "  --prune               withdraw declarations that FILE does not "
            "contain,\n"
            "                        except targets\n";
}

auto readEnvironment(const char *Name, std::string &Value) -> void {
  if (const char *Text = std::getenv(Name)) // NOLINT: before any thread
    Value = Text;
}

/// Values for options without a short form; they are larger than any character.
enum long_option : int {
  Entry = 1000,
  Token,
  PeerToken,
  Json,
  IfRevision,
  ChangeId,
  TimeoutMs,
  Prune,
  Request,
  Target,
  Change,
  Event,
  Failures
};

auto applyOption(int Option, arguments &Arguments) -> void {
  auto &Session = Arguments.Session;
  switch (Option) {
  case Entry:
    Session.Entry = optarg;
    return;
  case Token:
    Session.Token = optarg;
    return;
  case PeerToken:
    Session.PeerToken = optarg;
    return;
  case Json:
    Session.Json = true;
    return;
  case IfRevision:
    Session.IfRevision = revision{std::strtoull(optarg, nullptr, 10)};
    return;
  case ChangeId:
    Session.ChangeId = optarg;
    return;
  case TimeoutMs:
    Session.Timeout = milliseconds(std::strtoll(optarg, nullptr, 10));
    return;
  case Prune:
    Arguments.Prune = true;
    return;
  case Request:
    Arguments.TimelineFilter.Request = optarg;
    Arguments.LogFilter.Request = optarg;
    return;
  case Target:
    Arguments.TimelineFilter.Target = target_name(optarg);
    Arguments.LogFilter.Target = optarg;
    return;
  case Change:
    Arguments.TimelineFilter.Change = optarg;
    return;
  case Event:
    Arguments.LogFilter.Event = optarg;
    return;
  case Failures:
    Arguments.LogFilter.FailuresOnly = true;
    return;
  case 'h':
    Arguments.Help = true;
    return;
  default:
    Arguments.UsageError = true;
  }
}

auto parseArguments(int ArgumentCount, char **ArgumentValues) -> arguments {
  static const option Options[] = {
      {"entry", required_argument, nullptr, Entry},
      {"token", required_argument, nullptr, Token},
      {"peer-token", required_argument, nullptr, PeerToken},
      {"json", no_argument, nullptr, Json},
      {"if-revision", required_argument, nullptr, IfRevision},
      {"change-id", required_argument, nullptr, ChangeId},
      {"timeout-ms", required_argument, nullptr, TimeoutMs},
      {"prune", no_argument, nullptr, Prune},
      {"request", required_argument, nullptr, Request},
      {"target", required_argument, nullptr, Target},
      {"change", required_argument, nullptr, Change},
      {"event", required_argument, nullptr, Event},
      {"failures", no_argument, nullptr, Failures},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  arguments Arguments;
  readEnvironment("LIMPETCTL_ENTRY", Arguments.Session.Entry);
  readEnvironment("LIMPETCTL_TOKEN", Arguments.Session.Token);
  readEnvironment("LIMPETCTL_PEER_TOKEN", Arguments.Session.PeerToken);
  int Option = 0;
  while ((Option = getopt_long(ArgumentCount, ArgumentValues, "h", Options,
                               nullptr)) != -1)
    applyOption(Option, Arguments);
  for (int Index = optind; Index < ArgumentCount; ++Index)
    Arguments.Operands.emplace_back(ArgumentValues[Index]);
  return Arguments;
}

} // namespace

auto main(int ArgumentCount, char **ArgumentValues) -> int {
  auto Arguments = parseArguments(ArgumentCount, ArgumentValues);
  if (Arguments.Operands.empty()) {
    printHelp(Arguments.Help ? std::cout : std::cerr);
    return Arguments.Help ? 0 : UsageStatus;
  }
  const auto Name = Arguments.Operands.front();
  Arguments.Operands.erase(Arguments.Operands.begin());
  for (const auto &Command : toolCommands()) {
    if (Name != Command.Name)
      continue;
    if (!Arguments.Help && !Arguments.UsageError)
      return Command.Run(Arguments);
    std::cout << "usage: limpetctl " << Command.Usage << "\n  " << Command.Help
              << '\n';
    return Arguments.Help ? 0 : UsageStatus;
  }
  std::cerr << "limpetctl: unknown command " << Name << "\n\n";
  printHelp(std::cerr);
  return UsageStatus;
}
