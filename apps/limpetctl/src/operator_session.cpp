#include "operator_session.h"

#include "base/settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <sstream>

namespace limpetbridge {

namespace {

constexpr int ChangeTries = 5;

auto newChangeId() -> std::string {
  std::random_device Device;
  std::ostringstream Text;
  Text << "c-" << std::hex << Device() << Device();
  return Text.str();
}

auto describeAnswer(const answer_command &Answer, const std::string &Id,
                    bool Json) -> std::string {
  if (Json) {
    const nlohmann::ordered_json Body = {
        {"accepted", Answer.Code == result_code::Ok},
        {"change", Id},
        {"code", static_cast<unsigned>(Answer.Code)},
        {"detail", Answer.Detail},
        {"revision", Answer.Revision.Value},
        {"data_centres_in_force", Answer.DataCentresInForce},
        {"data_centres", Answer.DataCentres}};
    return Body.dump() + "\n";
  }
  return "accepted, revision " + std::to_string(Answer.Revision.Value) +
         ", in force in " + std::to_string(Answer.DataCentresInForce) + " of " +
         std::to_string(Answer.DataCentres) + " data centres (change " + Id +
         ")\n";
}

auto describeNote(const stamped_note &Each) -> std::string {
  constexpr unsigned CounterBits = 16;
  constexpr std::uint64_t CounterMask = 0xFFFF;
  const auto &Note = Each.Note;
  std::string Line = std::to_string(Each.Stamp.Value >> CounterBits) + "." +
                     std::to_string(Each.Stamp.Value & CounterMask) + " " +
                     Each.Instance.Text + " " + std::string(nameOf(Note.Kind));
  if (!Note.Request.empty())
    Line += " request=" + Note.Request;
  if (!Note.Target.empty())
    Line += " target=" + Note.Target.Text;
  if (!Note.Change.empty())
    Line += " change=" + Note.Change;
  if (!Note.Detail.empty())
    Line += " " + Note.Detail;
  return Line + "\n";
}

} // namespace

operator_session::operator_session(session_options Options)
    : Options(std::move(Options)),
      Entry(this->Options.Entry, this->Options.Token) {}

auto operator_session::run(const std::string &Statement)
    -> result<std::string> {
  auto Parsed = parseStatement(Statement);
  if (!Parsed)
    return Parsed.error();
  if (const auto *Query = std::get_if<show_query>(&Parsed.value()))
    return show(*Query);
  return change(std::get<change_command>(Parsed.value()).Operations);
}

auto operator_session::change(const std::vector<operation> &Operations)
    -> result<std::string> {
  const auto Id = Options.ChangeId.empty() ? newChangeId() : Options.ChangeId;
  error Last;
  for (int Try = 0; Try < ChangeTries; ++Try) {
    command_arrived Command;
    Command.Id = change_id(Id);
    Command.Operations = Operations;
    Command.IfRevision = Options.IfRevision;
    Command.Deadline = process_clock::now() + Options.Timeout;
    auto Answer = Entry.change(Command, Options.Timeout + seconds(5));
    if (Answer && Answer.value().Code == result_code::Ok)
      return describeAnswer(Answer.value(), Id, Options.Json);
    Last = Answer ? failure(Answer.value().Code, Answer.value().Detail)
                  : Answer.error();
    const bool MayRepeat = Last.Code == result_code::TargetUnreachable ||
                           Last.Code == result_code::ChangeOutcomeUnknown;
    if (!MayRepeat)
      return failure(Last.Code, "refused: " + Last.Detail);
  }
  return failure(result_code::ChangeOutcomeUnknown,
                 Last.Detail + "; repeat with --change-id " + Id);
}

auto operator_session::show(const show_query &Query) -> result<std::string> {
  auto Report = gather(Query);
  if (!Report)
    return Report.error();
  auto Refined = applyQueryClauses(std::move(Report.value()), Query);
  if (!Refined)
    return Refined.error();
  return Options.Json ? printJson(Refined.value())
                      : printTable(Refined.value());
}

auto operator_session::gather(const show_query &Query) -> result<report> {
  const auto Subjects = subjectTable();
  const bool FromAgents = std::any_of(
      Subjects.begin(), Subjects.end(), [&](const subject_row &Row) {
        return Row.Name == Query.Subject && Row.FromAgents;
      });
  const report_request Request{Query.Subject, Query.Argument};
  if (!FromAgents)
    return Entry.inspect(Request, Options.Timeout);
  auto Agents = addresses(true);
  if (!Agents)
    return Agents.error();
  report Whole;
  for (const auto &Address : Agents.value()) {
    operator_client Agent(Address, Options.PeerToken);
    auto Part = Agent.inspect(Request, Options.Timeout);
    if (!Part)
      continue; // An agent that is down shows nothing; `show targets` tells.
    Whole.Columns = Part.value().Columns;
    for (auto &Row : Part.value().Rows)
      Whole.Rows.push_back(std::move(Row));
  }
  return Whole;
}

auto operator_session::addresses(bool AgentsOnly)
    -> result<std::vector<std::string>> {
  auto Report = Entry.inspect({"instances", ""}, Options.Timeout);
  if (!Report)
    return Report.error();
  constexpr std::size_t RoleColumn = 1;
  constexpr std::size_t AddressColumn = 3;
  std::vector<std::string> Addresses;
  for (const auto &Row : Report.value().Rows)
    if (!AgentsOnly || Row[RoleColumn] == "agent")
      Addresses.push_back(Row[AddressColumn]);
  return Addresses;
}

auto operator_session::declared() -> result<catalogue> {
  auto Report = Entry.inspect({"snapshot", ""}, Options.Timeout);
  if (!Report)
    return Report.error();
  auto Snapshot = decodeChange(Report.value().Rows.at(0).at(0));
  if (!Snapshot)
    return Snapshot.error();
  return catalogue().apply(Snapshot.value());
}

auto operator_session::plan(const std::string &File, bool Prune)
    -> result<std::vector<operation>> {
  auto Text = readFile(File);
  if (!Text)
    return Text.error();
  auto Wanted = parseDeclarations(Text.value(), File);
  if (!Wanted)
    return Wanted.error();
  auto Current = declared();
  if (!Current)
    return Current.error();
  return planChange(Current.value(), Wanted.value(), Prune);
}

auto operator_session::notes(const note_filter &Filter) -> result<std::string> {
  auto Addresses = addresses(false);
  if (!Addresses)
    return Addresses.error();
  std::vector<stamped_note> All;
  for (const auto &Address : Addresses.value()) {
    operator_client Instance(Address, Options.PeerToken);
    auto Notes = Instance.notes(Filter, Options.Timeout);
    if (!Notes)
      continue; // An instance that is down has no time line to show.
    for (auto &Each : Notes.value())
      All.push_back(std::move(Each));
  }
  std::string Text;
  for (const auto &Each : merge(std::move(All)))
    Text += describeNote(Each);
  return Text;
}

} // namespace limpetbridge
