#include "query/inspect.h"

#include <algorithm>
#include <array>
#include <functional>

namespace limpetbridge {

namespace {

/// Observed time over expected time from which a target counts as slowed.
constexpr double SlowedThreshold = 2.0;
constexpr std::uint64_t BytesPerMb = 1'000'000;

/// Builds the report on a subject.
using list_function = std::function<result<report>(
    const node_state &, const report_request &, time_point)>;

/// A subject and the function that builds its report.
struct subject_lister {
  std::string_view Subject;
  list_function List;
};

auto toText(std::uint64_t Number) -> std::string {
  return std::to_string(Number);
}

auto toText(std::string_view Text) -> std::string { return std::string(Text); }

auto toMegabytes(std::uint64_t Bytes) -> std::string {
  return std::to_string(Bytes / BytesPerMb);
}

auto toYesNo(bool Value) -> std::string { return Value ? "yes" : "no"; }

auto toTwoDecimals(double Value) -> std::string {
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%.2f", Value);
  return Buffer;
}

/// Milliseconds from \p Start to \p Now.
auto elapsedMs(time_point Start, time_point Now) -> std::string {
  return std::to_string(toMilliseconds(Now - Start));
}

/// Models and adapters for which this target reserves memory.
auto listResident(const node_state &State, const report_request & /*Request*/,
                  time_point Now) -> result<report> {
  report Report{{"target", "model", "adapter", "state", "mb", "running",
                 "late_orders", "home_rank", "idle_ms"},
                {}};
  for (const auto &[Key, Entry] : State.Ledger.Entries) {
    if (Entry.reservedBytes() == 0)
      continue;
    Report.Rows.push_back(
        {State.Options.Self.Name.Text, Key.Unit.Text, Key.Adapter.Text,
         toText(nameOf(Entry.State)), toMegabytes(Entry.Bytes.Value),
         toText(Entry.Running), toText(Entry.UnresolvedLoads.size()),
         toText(Entry.HomeRank), elapsedMs(Entry.LastUsed, Now)});
  }
  return Report;
}

/// All work at this agent, in any phase.
auto listWaiting(const node_state &State, const report_request & /*Request*/,
                 time_point Now) -> result<report> {
  report Report{{"target", "request", "phase", "work", "caller", "rank",
                 "waited_ms", "left_ms"},
                {}};
  for (const auto &[Id, Work] : State.Admission.WorkItems) {
    const auto &Item = Work.Offer.Work;
    const auto Name = Item.Kind == work_kind::Generate
                          ? Item.Unit.Text
                          : Item.Service.Text + "/" + Item.Operation;
    Report.Rows.push_back(
        {State.Options.Self.Name.Text, toString(Id), toText(nameOf(Work.Phase)),
         Name, Item.Caller.Text, toText(Item.Rank),
         elapsedMs(Work.QueuedAt, Now),
         std::to_string(toMilliseconds(remaining(Item.Deadline, Now)))});
  }
  return Report;
}

auto targetRow(const node_state &State, const target_view &View)
    -> std::vector<std::string> {
  const auto &Record = View.Record;
  const auto Member = State.Membership.Members.find(Record.Name);
  const bool Leaving =
      Record.Leaving || (Member != State.Membership.Members.end() &&
                         Member->second.ReportedDraining);
  const auto *Declared =
      State.Configuration.Current->find<target_declaration>(Record.Name.Text);
  return {Record.Name.Text,
          toText(nameOf(Record.Kind)),
          Record.DataCentre.Text,
          Record.Address,
          toYesNo(Leaving),
          toYesNo(Declared != nullptr && Declared->Drained),
          toText(View.Outstanding),
          std::to_string(toMilliseconds(View.QueueDelay)),
          toTwoDecimals(View.Slowness),
          toText(View.Failures)};
}

/// Targets whose slowness is at least \p MinSlowness.
auto listTargets(const node_state &State, double MinSlowness) -> report {
  report Report{{"target", "kind", "data_centre", "address", "leaving",
                 "drained", "outstanding", "queue_ms", "slowness", "failures"},
                {}};
  for (const auto &[Name, View] : State.Routing.Targets)
    if (View.Slowness >= MinSlowness)
      Report.Rows.push_back(targetRow(State, View));
  return Report;
}

auto listSlowed(const node_state &State, const report_request & /*Request*/,
                time_point /*Now*/) -> result<report> {
  return listTargets(State, SlowedThreshold);
}

auto listAllTargets(const node_state &State, const report_request & /*Request*/,
                    time_point /*Now*/) -> result<report> {
  return listTargets(State, 0);
}

/// Declarations of one kind, without callers' tokens, which are secret.
auto listDeclarations(const node_state &State, declaration_kind Kind)
    -> report {
  report Report{{"name"}, {}};
  for (const auto &Field : fieldsOf(Kind))
    if (Field.Name != "token")
      Report.Columns.emplace_back(Field.Name);
  for (const auto &[Name, Body] : State.Configuration.Current->all(Kind)) {
    std::vector<std::string> Row{Name};
    for (auto &Field : printFields(Body))
      if (Field.Name != "token")
        Row.push_back(std::move(Field.Value));
    Report.Rows.push_back(std::move(Row));
  }
  return Report;
}

auto makeDeclarationLister(declaration_kind Kind) -> list_function {
  return [Kind](const node_state &State, const report_request &,
                time_point) -> result<report> {
    return listDeclarations(State, Kind);
  };
}

auto describeOperations(const change &Change) -> std::string {
  std::string Text;
  for (const auto &Operation : Change.Operations)
    Text += (Text.empty() ? "" : "; ") + toText(nameOf(Operation.Verb)) + " " +
            toText(nameOf(Operation.Kind)) + " " + Operation.Name;
  return Text;
}

auto listChanges(const node_state &State, const report_request & /*Request*/,
                 time_point /*Now*/) -> result<report> {
  report Report{{"revision", "id", "operations"}, {}};
  for (const auto &Change : State.Configuration.RecentChanges)
    Report.Rows.push_back({toText(Change.Revision.Value), Change.Id.Text,
                           describeOperations(Change)});
  return Report;
}

/// Operations of the change in the request's argument.
auto listChange(const node_state &State, const report_request &Request,
                time_point /*Now*/) -> result<report> {
  report Report{{"revision", "operation"}, {}};
  for (const auto &Change : State.Configuration.RecentChanges)
    if (Change.Id.Text == Request.Argument)
      for (const auto &Operation : Change.Operations)
        Report.Rows.push_back(
            {toText(Change.Revision.Value), toString(Operation)});
  if (Report.Rows.empty())
    return failure(result_code::UnknownName,
                   "change " + Request.Argument +
                       " is not among the latest changes");
  return Report;
}

auto listInstances(const node_state &State, const report_request & /*Request*/,
                   time_point /*Now*/) -> result<report> {
  report Report{
      {"name", "role", "data_centre", "address", "incarnation", "leaving"}, {}};
  for (const auto &[Name, Member] : State.Membership.Members) {
    const auto &Record = Member.Record;
    Report.Rows.push_back({Name.Text, toText(nameOf(Record.Role)),
                           Record.DataCentre.Text, Record.Address,
                           toText(Record.Incarnation.Value),
                           toYesNo(Record.Leaving || Member.ReportedDraining)});
  }
  return Report;
}

auto listRequests(const node_state &State, const report_request & /*Request*/,
                  time_point Now) -> result<report> {
  report Report{
      {"request", "caller", "work", "attempts", "delivered", "age_ms"}, {}};
  for (const auto &[Id, Request] : State.Requests.Open) {
    const auto &Work = Request.Work;
    Report.Rows.push_back(
        {toString(Id), Work.Caller.Text, Work.Unit.Text + Work.Service.Text,
         toText(Request.LastAttempt), toText(Request.Delivered),
         elapsedMs(Request.ArrivedAt, Now)});
  }
  return Report;
}

/// The whole catalogue, including callers' tokens, for `plan` and `apply`.
auto listSnapshot(const node_state &State, const report_request & /*Request*/,
                  time_point /*Now*/) -> result<report> {
  return report{{"change"},
                {{encodeChange(State.Configuration.Current->snapshot())}}};
}

auto subjectListers() -> const std::vector<subject_lister> & {
  static const std::vector<subject_lister> Listers = {
      {"resident", listResident},
      {"waiting", listWaiting},
      {"slowed", listSlowed},
      {"targets", listAllTargets},
      {"models", makeDeclarationLister(declaration_kind::Model)},
      {"versions", makeDeclarationLister(declaration_kind::Version)},
      {"adapters", makeDeclarationLister(declaration_kind::Adapter)},
      {"callers", makeDeclarationLister(declaration_kind::Caller)},
      {"services", makeDeclarationLister(declaration_kind::Service)},
      {"importance", makeDeclarationLister(declaration_kind::Importance)},
      {"drained", makeDeclarationLister(declaration_kind::Target)},
      {"snapshot", listSnapshot},
      {"changes", listChanges},
      {"change", listChange},
      {"instances", listInstances},
      {"requests", listRequests},
  };
  return Listers;
}

} // namespace

auto inspect(const node_state &State, const report_request &Request,
             time_point Now) -> result<report> {
  const auto &Listers = subjectListers();
  const auto Found = std::find_if(Listers.begin(), Listers.end(),
                                  [&](const subject_lister &Candidate) {
                                    return Candidate.Subject == Request.Subject;
                                  });
  if (Found == Listers.end())
    return failure(result_code::UnknownName,
                   "unknown subject " + Request.Subject);
  return Found->List(State, Request, Now);
}

} // namespace limpetbridge
