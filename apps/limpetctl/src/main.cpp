/// \file
/// `limpetctl`: the operator's tool.

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
  note_filter Filter;
  log_filter LogFilter;
  bool Prune = false;
  bool Help = false;
  bool Wrong = false;
  std::vector<std::string> Words; ///< After the command.
};

/// One command of the tool.
struct tool_command {
  const char *Name;
  const char *Usage;
  const char *Help;
  std::function<int(const arguments &)> Run;
};

auto exitStatus(result_code Code) -> int {
  constexpr int Thousand = 1000;
  return static_cast<int>(Code) / Thousand;
}

auto report(const result<std::string> &Result) -> int {
  if (Result) {
    std::cout << Result.value();
    return 0;
  }
  std::cerr << "limpetctl: " << toString(Result.error()) << '\n';
  return exitStatus(Result.error().Code);
}

auto joinWords(const std::vector<std::string> &Words) -> std::string {
  std::string Text;
  for (const auto &Word : Words)
    Text += (Text.empty() ? "" : " ") + Word;
  return Text;
}

auto runQuery(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  return report(Session.run(joinWords(Arguments.Words)));
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
      Status = report(Session.run(Line));
  }
}

auto planFile(const arguments &Arguments, operator_session &Session)
    -> result<std::vector<operation>> {
  if (Arguments.Words.size() != 1)
    return failure(result_code::SyntaxError, "expected one file");
  return Session.plan(Arguments.Words.front(), Arguments.Prune);
}

auto runPlan(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  auto Steps = planFile(Arguments, Session);
  if (!Steps)
    return report(Steps.error());
  for (const auto &Step : Steps.value())
    std::cout << toString(Step) << '\n';
  if (Steps.value().empty())
    std::cout << "nothing to change\n";
  return 0;
}

auto runApply(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  auto Steps = planFile(Arguments, Session);
  if (!Steps)
    return report(Steps.error());
  if (Steps.value().empty()) {
    std::cout << "nothing to change\n";
    return 0;
  }
  return report(Session.change(Steps.value()));
}

auto runTimeline(const arguments &Arguments) -> int {
  operator_session Session(Arguments.Session);
  return report(Session.notes(Arguments.Filter));
}

auto runCheck(const arguments &Arguments) -> int {
  for (const auto &File : Arguments.Words) {
    auto Settings = loadSettings(File);
    if (!Settings)
      return report(Settings.error());
    std::cout << File << ": ok\n";
  }
  return Arguments.Words.empty() ? UsageStatus : 0;
}

auto runReplay(const arguments &Arguments) -> int {
  for (const auto &File : Arguments.Words) {
    auto Text = readFile(File);
    if (!Text)
      return report(Text.error());
    auto Result = replaySession(Text.value());
    if (!Result)
      return report(
          failure(Result.error().Code, File + ": " + Result.error().Detail));
    std::cout << File << ": " << Result.value().Events << " events, "
              << Result.value().Effects << " effects, no difference\n";
  }
  return Arguments.Words.empty() ? UsageStatus : 0;
}

/// Reads log files, or standard input without any.
auto runLog(const arguments &Arguments) -> int {
  log_query_result Answer;
  for (const auto &File : Arguments.Words) {
    std::ifstream Stream(File);
    if (!Stream)
      return report(
          failure(result_code::FileUnreadable, File + " cannot be opened"));
    readLog(Stream, Arguments.LogFilter, Answer);
  }
  if (Arguments.Words.empty())
    readLog(std::cin, Arguments.LogFilter, Answer);
  mergeLogs(Answer);
  for (const auto &Record : Answer.Records)
    std::cout << (Arguments.Session.Json ? Record.Text : printRecord(Record))
              << '\n';
  if (Answer.Unreadable > 0)
    std::cerr << "limpetctl: " << Answer.Unreadable
              << " lines could not be read\n";
  return 0;
}

auto commands() -> const std::vector<tool_command> & {
  static const std::vector<tool_command> All = {
      {"query", "query 'STATEMENT'",
       "run one statement of the query and command language", runQuery},
      {"prompt", "prompt", "read statements, one a line", runPrompt},
      {"plan", "plan FILE [--prune]",
       "show what apply would change, and change nothing", runPlan},
      {"apply", "apply FILE [--prune]",
       "declare what FILE says, in one atomic change", runApply},
      {"timeline", "timeline [--request ID] [--target NAME] [--change ID]",
       "the events of all processes in causal order", runTimeline},
      {"log",
       "log [--request ID] [--target NAME] [--event WORD] [--failures] "
       "[--json] [FILE…]",
       "the log lines of many processes, filtered and merged by time", runLog},
      {"replay", "replay FILE…",
       "replay recorded sessions and report the first difference", runReplay},
      {"check", "check FILE…", "check settings files of nodes", runCheck},
  };
  return All;
}

auto printHelp(std::ostream &Out) -> void {
  Out << "usage: limpetctl COMMAND [OPTIONS]\n\n";
  for (const auto &Command : commands())
    Out << "  " << Command.Usage << "\n      " << Command.Help << '\n';
  Out << "\noptions:\n"
         "  --entry IP:PORT       operator listener of an entry "
         "(LIMPETCTL_ENTRY)\n"
         "  --token TOKEN         operator token (LIMPETCTL_TOKEN)\n"
         "  --peer-token TOKEN    token of the instances "
         "(LIMPETCTL_PEER_TOKEN)\n"
         "  --json                print JSON lines\n"
         "  --if-revision N       refuse the change at any other revision\n"
         "  --change-id ID        id of the change; repeating it is safe\n"
         "  --timeout-ms N        longest wait\n"
         "  --prune               withdraw what the file does not name\n";
}

auto fromEnvironment(const char *Name, std::string &Value) -> void {
  if (const char *Text = std::getenv(Name)) // NOLINT: before any thread
    Value = Text;
}

/// Options without a short form, numbered beyond any character.
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

auto takeOption(int Option, arguments &Arguments) -> void {
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
    Arguments.Filter.Request = optarg;
    Arguments.LogFilter.Request = optarg;
    return;
  case Target:
    Arguments.Filter.Target = target_name(optarg);
    Arguments.LogFilter.Target = optarg;
    return;
  case Change:
    Arguments.Filter.Change = optarg;
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
    Arguments.Wrong = true;
  }
}

auto parseArguments(int Count, char **Words) -> arguments {
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
  fromEnvironment("LIMPETCTL_ENTRY", Arguments.Session.Entry);
  fromEnvironment("LIMPETCTL_TOKEN", Arguments.Session.Token);
  fromEnvironment("LIMPETCTL_PEER_TOKEN", Arguments.Session.PeerToken);
  int Option = 0;
  while ((Option = getopt_long(Count, Words, "h", Options, nullptr)) != -1)
    takeOption(Option, Arguments);
  for (int Index = optind; Index < Count; ++Index)
    Arguments.Words.emplace_back(Words[Index]);
  return Arguments;
}

} // namespace

auto main(int Count, char **Words) -> int {
  auto Arguments = parseArguments(Count, Words);
  if (Arguments.Words.empty()) {
    printHelp(Arguments.Help ? std::cout : std::cerr);
    return Arguments.Help ? 0 : UsageStatus;
  }
  const auto Name = Arguments.Words.front();
  Arguments.Words.erase(Arguments.Words.begin());
  for (const auto &Command : commands()) {
    if (Name != Command.Name)
      continue;
    if (!Arguments.Help && !Arguments.Wrong)
      return Command.Run(Arguments);
    std::cout << "usage: limpetctl " << Command.Usage << "\n  " << Command.Help
              << '\n';
    return Arguments.Help ? 0 : UsageStatus;
  }
  std::cerr << "limpetctl: no command " << Name << "\n\n";
  printHelp(std::cerr);
  return UsageStatus;
}
