#include "query/inspect.h"

#include <algorithm>
#include <array>
#include <functional>

namespace limpetbridge {

namespace {

constexpr double SlowFrom = 2.0;
constexpr std::uint64_t BytesPerMb = 1'000'000;

using rows_function = std::function<result<report>(
    const node_state &, const report_request &, time_point)>;

/// A subject and the function that lists it.
struct lister {
  std::string_view Subject;
  rows_function Rows;
};

auto text(std::uint64_t Number) -> std::string {
  return std::to_string(Number);
}

auto text(std::string_view Word) -> std::string { return std::string(Word); }

auto megabytes(std::uint64_t Bytes) -> std::string {
  return std::to_string(Bytes / BytesPerMb);
}

auto yesNo(bool Value) -> std::string { return Value ? "yes" : "no"; }

auto twoDigits(double Value) -> std::string {
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%.2f", Value);
  return Buffer;
}

auto since(time_point Then, time_point Now) -> std::string {
  return std::to_string(toMilliseconds(Now - Then));
}

auto listResident(const node_state &State, const report_request & /*Request*/,
                  time_point Now) -> result<report> {
  report Report{{"target", "model", "adapter", "state", "mb", "running",
                 "late_orders", "home_rank", "idle_ms"},
                {}};
  for (const auto &[What, Entry] : State.Ledger.Entries) {
    if (Entry.reservedBytes() == 0)
      continue;
    Report.Rows.push_back({State.Options.Self.Name.Text, What.Unit.Text,
                           What.Adapter.Text, text(nameOf(Entry.State)),
                           megabytes(Entry.Bytes.Value), text(Entry.Running),
                           text(Entry.UnresolvedLoads.size()),
                           text(Entry.HomeRank), since(Entry.LastUsed, Now)});
  }
  return Report;
}

auto listWaiting(const node_state &State, const report_request & /*Request*/,
                 time_point Now) -> result<report> {
  report Report{{"target", "request", "phase", "work", "caller", "rank",
                 "waited_ms", "left_ms"},
                {}};
  for (const auto &[Id, Work] : State.Admission.WorkItems) {
    const auto &Of = Work.Offer.Work;
    const auto Name = Of.Kind == work_kind::Generate
                          ? Of.Unit.Text
                          : Of.Service.Text + "/" + Of.Operation;
    Report.Rows.push_back(
        {State.Options.Self.Name.Text, toString(Id), text(nameOf(Work.Phase)),
         Name, Of.Caller.Text, text(Of.Rank), since(Work.QueuedAt, Now),
         std::to_string(toMilliseconds(remaining(Of.Deadline, Now)))});
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
  return {
      Record.Name.Text,         text(nameOf(Record.Kind)),
      Record.DataCentre.Text,   Record.Address,
      yesNo(Leaving),           yesNo(Declared != nullptr && Declared->Drained),
      text(View.Outstanding),   std::to_string(toMilliseconds(View.QueueDelay)),
      twoDigits(View.Slowness), text(View.Failures)};
}

auto listTargets(const node_state &State, double AtLeastSlow) -> report {
  report Report{{"target", "kind", "data_centre", "address", "leaving",
                 "drained", "outstanding", "queue_ms", "slowness", "failures"},
                {}};
  for (const auto &[Name, View] : State.Routing.Targets)
    if (View.Slowness >= AtLeastSlow)
      Report.Rows.push_back(targetRow(State, View));
  return Report;
}

auto listSlowed(const node_state &State, const report_request & /*Request*/,
                time_point /*Now*/) -> result<report> {
  return listTargets(State, SlowFrom);
}

auto listAllTargets(const node_state &State, const report_request & /*Request*/,
                    time_point /*Now*/) -> result<report> {
  return listTargets(State, 0);
}

/// Declarations of one kind, without the fields that are secret.
auto listDeclared(const node_state &State, declaration_kind Kind) -> report {
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

auto declaredLister(declaration_kind Kind) -> rows_function {
  return [Kind](const node_state &State, const report_request &,
                time_point) -> result<report> {
    return listDeclared(State, Kind);
  };
}

auto describeOperations(const change &Change) -> std::string {
  std::string Text;
  for (const auto &Operation : Change.Operations)
    Text += (Text.empty() ? "" : "; ") + text(nameOf(Operation.Verb)) + " " +
            text(nameOf(Operation.Kind)) + " " + Operation.Name;
  return Text;
}

auto listChanges(const node_state &State, const report_request & /*Request*/,
                 time_point /*Now*/) -> result<report> {
  report Report{{"revision", "id", "operations"}, {}};
  for (const auto &Change : State.Configuration.RecentChanges)
    Report.Rows.push_back({text(Change.Revision.Value), Change.Id.Text,
                           describeOperations(Change)});
  return Report;
}

auto listChange(const node_state &State, const report_request &Request,
                time_point /*Now*/) -> result<report> {
  report Report{{"revision", "operation"}, {}};
  for (const auto &Change : State.Configuration.RecentChanges)
    if (Change.Id.Text == Request.Argument)
      for (const auto &Operation : Change.Operations)
        Report.Rows.push_back(
            {text(Change.Revision.Value), toString(Operation)});
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
    Report.Rows.push_back({Name.Text, text(nameOf(Record.Role)),
                           Record.DataCentre.Text, Record.Address,
                           text(Record.Incarnation.Value),
                           yesNo(Record.Leaving || Member.ReportedDraining)});
  }
  return Report;
}

auto listRequests(const node_state &State, const report_request & /*Request*/,
                  time_point Now) -> result<report> {
  report Report{
      {"request", "caller", "work", "attempts", "delivered", "age_ms"}, {}};
  for (const auto &[Id, Request] : State.Requests.Open) {
    const auto &Work = Request.Work;
    Report.Rows.push_back({toString(Id), Work.Caller.Text,
                           Work.Unit.Text + Work.Service.Text,
                           text(Request.LastAttempt), text(Request.Delivered),
                           since(Request.ArrivedAt, Now)});
  }
  return Report;
}

/// All declarations with their secrets, for `plan` and `apply`.
auto listSnapshot(const node_state &State, const report_request & /*Request*/,
                  time_point /*Now*/) -> result<report> {
  return report{{"change"},
                {{encodeChange(State.Configuration.Current->snapshot())}}};
}

auto listers() -> const std::vector<lister> & {
  static const std::vector<lister> All = {
      {"resident", listResident},
      {"waiting", listWaiting},
      {"slowed", listSlowed},
      {"targets", listAllTargets},
      {"models", declaredLister(declaration_kind::Model)},
      {"versions", declaredLister(declaration_kind::Version)},
      {"adapters", declaredLister(declaration_kind::Adapter)},
      {"callers", declaredLister(declaration_kind::Caller)},
      {"services", declaredLister(declaration_kind::Service)},
      {"importance", declaredLister(declaration_kind::Importance)},
      {"drained", declaredLister(declaration_kind::Target)},
      {"snapshot", listSnapshot},
      {"changes", listChanges},
      {"change", listChange},
      {"instances", listInstances},
      {"requests", listRequests},
  };
  return All;
}

} // namespace

auto inspect(const node_state &State, const report_request &Request,
             time_point Now) -> result<report> {
  const auto &All = listers();
  const auto Found =
      std::find_if(All.begin(), All.end(), [&](const lister &Each) {
        return Each.Subject == Request.Subject;
      });
  if (Found == All.end())
    return failure(result_code::UnknownName, "no subject " + Request.Subject);
  return Found->Rows(State, Request, Now);
}

} // namespace limpetbridge
