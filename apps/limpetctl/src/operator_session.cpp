#include "operator_session.h"

#include "base/json_text.h"
#include "base/settings.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace limpetbridge {

namespace {

constexpr int MaxChangeAttempts = 5;

auto newChangeId() -> std::string {
  std::random_device RandomDevice;
  std::ostringstream Text;
  Text << "c-" << std::hex << RandomDevice() << RandomDevice();
  return Text.str();
}

auto formatChangeResult(const answer_command &Answer, const std::string &Id,
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
    return toJsonText(Body) + "\n";
  }
  return "accepted, revision " + std::to_string(Answer.Revision.Value) +
         ", in force in " + std::to_string(Answer.DataCentresInForce) + " of " +
         std::to_string(Answer.DataCentres) + " data centres (change " + Id +
         ")\n";
}

auto formatNote(const stamped_note &StampedNote) -> std::string {
  constexpr unsigned CounterBits = 16;
  constexpr std::uint64_t CounterMask = 0xFFFF;
  const auto &Note = StampedNote.Note;
  std::string Line =
      std::to_string(StampedNote.Stamp.Value >> CounterBits) + "." +
      std::to_string(StampedNote.Stamp.Value & CounterMask) + " " +
      StampedNote.Instance.Text + " " + std::string(nameOf(Note.Kind));
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
      EntryClient(this->Options.Entry, this->Options.Token) {}

auto operator_session::runStatement(const std::string &Statement)
    -> result<std::string> {
  auto Parsed = parseStatement(Statement);
  if (!Parsed)
    return Parsed.error();
  if (const auto *Query = std::get_if<show_query>(&Parsed.value()))
    return runShowQuery(*Query);
  return submitChange(std::get<change_command>(Parsed.value()).Operations);
}

auto operator_session::submitChange(const std::vector<operation> &Operations)
    -> result<std::string> {
  const auto Id = Options.ChangeId.empty() ? newChangeId() : Options.ChangeId;
  error LastError;
  for (int Attempt = 0; Attempt < MaxChangeAttempts; ++Attempt) {
    command_arrived Command;
    Command.Id = change_id(Id);
    Command.Operations = Operations;
    Command.IfRevision = Options.IfRevision;
    Command.Deadline = process_clock::now() + Options.Timeout;
    auto Answer = EntryClient.change(Command, Options.Timeout + seconds(5));
    if (Answer && Answer.value().Code == result_code::Ok)
      return formatChangeResult(Answer.value(), Id, Options.Json);
    LastError = Answer ? failure(Answer.value().Code, Answer.value().Detail)
                       : Answer.error();
    const bool IsRetryable =
        LastError.Code == result_code::TargetUnreachable ||
        LastError.Code == result_code::ChangeOutcomeUnknown;
    if (!IsRetryable)
      return failure(LastError.Code, "change refused: " + LastError.Detail);
  }
  return failure(result_code::ChangeOutcomeUnknown,
                 LastError.Detail +
                     "; the change may have been applied, so retry "
                     "with --change-id " +
                     Id);
}

auto operator_session::runShowQuery(const show_query &Query)
    -> result<std::string> {
  auto Report = collectReport(Query);
  if (!Report)
    return Report.error();
  auto Refined = applyQueryClauses(std::move(Report.value()), Query);
  if (!Refined)
    return Refined.error();
  return Options.Json ? printJson(Refined.value())
                      : printTable(Refined.value());
}

auto operator_session::collectReport(const show_query &Query)
    -> result<report> {
  const auto Subjects = subjectTable();
  const bool ReadsFromAgents = std::any_of(
      Subjects.begin(), Subjects.end(), [&](const subject_row &Row) {
        return Row.Name == Query.Subject && Row.FromAgents;
      });
  const report_request Request{Query.Subject, Query.Argument};
  if (!ReadsFromAgents)
    return EntryClient.inspect(Request, Options.Timeout);
  auto Agents = fetchAddresses(true);
  if (!Agents)
    return Agents.error();
  report Merged;
  for (const auto &Address : Agents.value()) {
    operator_client AgentClient(Address, Options.PeerToken);
    auto AgentReport = AgentClient.inspect(Request, Options.Timeout);
    if (!AgentReport)
      continue; // This agent does not answer; see `show targets`.
    Merged.Columns = AgentReport.value().Columns;
    for (auto &Row : AgentReport.value().Rows)
      Merged.Rows.push_back(std::move(Row));
  }
  return Merged;
}

auto operator_session::fetchAddresses(bool AgentsOnly)
    -> result<std::vector<std::string>> {
  auto Report = EntryClient.inspect({"instances", ""}, Options.Timeout);
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

auto operator_session::fetchCatalogue() -> result<catalogue> {
  auto Report = EntryClient.inspect({"snapshot", ""}, Options.Timeout);
  if (!Report)
    return Report.error();
  auto Snapshot = decodeChange(Report.value().Rows.at(0).at(0));
  if (!Snapshot)
    return Snapshot.error();
  return catalogue().apply(Snapshot.value());
}

auto operator_session::planFile(const std::string &File, bool Prune)
    -> result<std::vector<operation>> {
  auto Text = readFile(File);
  if (!Text)
    return Text.error();
  auto Declarations = parseDeclarations(Text.value(), File);
  if (!Declarations)
    return Declarations.error();
  auto Current = fetchCatalogue();
  if (!Current)
    return Current.error();
  return planChange(Current.value(), Declarations.value(), Prune);
}

auto operator_session::fetchTimeline(const note_filter &Filter)
    -> result<std::string> {
  auto Addresses = fetchAddresses(false);
  if (!Addresses)
    return Addresses.error();
  std::vector<stamped_note> AllNotes;
  for (const auto &Address : Addresses.value()) {
    operator_client InstanceClient(Address, Options.PeerToken);
    auto Notes = InstanceClient.notes(Filter, Options.Timeout);
    if (!Notes)
      continue; // This instance does not answer.
    for (auto &StampedNote : Notes.value())
      AllNotes.push_back(std::move(StampedNote));
  }
  std::string Text;
  for (const auto &StampedNote : merge(std::move(AllNotes)))
    Text += formatNote(StampedNote);
  return Text;
}

} // namespace limpetbridge
