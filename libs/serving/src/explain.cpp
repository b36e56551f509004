#include "serving/explain.h"

#include "details/gateway_parts.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace limpetbridge::serving {

namespace {

/// Numbers of requests are counted from 1, so none has this one.
constexpr auto ExplainedNumber = std::numeric_limits<request_number>::max();

auto explainTargets(const target_book &Book, const pick_request &Request)
    -> std::vector<explained_target> {
  std::vector<explained_target> Targets;
  for (const auto &[Name, Entry] : Book.all()) {
    auto Candidate = assessTarget(Entry, Request);
    if (Candidate.Exclusion == exclusion::OtherService)
      continue;
    Targets.push_back(
        {Name, std::move(Candidate), Entry.load().activeCount(),
         Entry.Target.Slots, Entry.Slowness, Entry.FailureShare,
         toMilliseconds(remaining(Entry.AvoidUntil, Request.Now)),
         toMilliseconds(remaining(Entry.RefusesUntil, Request.Now)),
         Entry.ReportedAt == time_point()
             ? -1
             : toMilliseconds(Request.Now - Entry.ReportedAt)});
  }
  std::stable_sort(
      Targets.begin(), Targets.end(),
      [](const explained_target &Left, const explained_target &Right) {
        const auto Key = [](const candidate &Candidate) {
          return std::tuple(Candidate.Exclusion != exclusion::None,
                            Candidate.Pick.CostMs);
        };
        return Key(Left.Candidate) < Key(Right.Candidate);
      });
  return Targets;
}

auto describeWait(const gateway_state &State, const request_state &Request)
    -> std::string {
  if (Request.Awaited == knowledge_kind::Configuration)
    return "a recent configuration";
  if (Request.AwaitsCrashRows)
    return "what the store has of crashes";
  if (Request.Awaited == knowledge_kind::Targets)
    return "a current view of the targets";
  if (State.QuotaWaits.contains(ExplainedNumber))
    return "tokens that other gateways may lend";
  if (Request.AwaitedLoad)
    return Request.AwaitedLoad->second.empty() ? "the load of the model"
                                               : "the load of the adapter";
  if (Request.PacedSince != time_point())
    return "a target without prefill";
  return "capacity";
}

/// Reads the reason and what else is known of a request that was refused from
/// its log entry; the request itself is gone.
auto readRefusal(const write_note &Note, explanation &Explanation) -> void {
  for (const auto &[Name, Value] : Note.Fields) {
    if (Name == "reason")
      Explanation.Reason = Value;
    else if (Name == "workspace")
      Explanation.Workspace = workspace_name(Value);
  }
}

auto explainQuota(const gateway_state &State, const workspace_name &Workspace,
                  time_point Now) -> std::optional<explained_quota> {
  const auto Spec = State.Configuration.Workspaces.find(Workspace);
  if (!State.Quotas || Spec == State.Configuration.Workspaces.end() ||
      (Spec->second.RatePerSecond <= 0 && Spec->second.Burst <= 0))
    return std::nullopt;
  // A workspace without requests so far has no status.
  return explained_quota{{Spec->second.RatePerSecond, Spec->second.Burst},
                         State.Quotas->status(Now)[Workspace]};
}

auto readOutcome(const gateway_effects &Effects, explanation &Explanation)
    -> void {
  for (const auto &Effect : Effects) {
    if (const auto *Sent = std::get_if<send_attempt>(&Effect)) {
      Explanation.Outcome = explained_outcome::Sent;
      Explanation.Target = Sent->Target;
    } else if (const auto *Refused = std::get_if<refuse_request>(&Effect)) {
      Explanation.Outcome = explained_outcome::Refused;
      Explanation.Code = Refused->Code;
      Explanation.RetryAfterMs = Refused->RetryAfterMs;
    } else if (const auto *Note = std::get_if<write_note>(&Effect);
               Note != nullptr && Note->Event == "request_refused") {
      readRefusal(*Note, Explanation);
    }
  }
}

} // namespace

auto nameOf(explained_outcome Outcome) -> std::string_view {
  switch (Outcome) {
  case explained_outcome::Sent:
    return "sent";
  case explained_outcome::Waits:
    return "waits";
  case explained_outcome::Refused:
    return "refused";
  }
  return "";
}

auto explain(const gateway_state &State, const call &Call, time_point Now)
    -> explanation {
  explanation Explanation;
  Explanation.Model = Call.Prompt.Model;
  Explanation.Adapter = Call.Prompt.Adapter;
  Explanation.ConfigurationVersion = State.Configuration.Version;
  Explanation.TargetsAgeMs = toMilliseconds(Now - State.Targets.KnownAt);
  if (const auto *Route = State.Routes.find(Call.Host, Call.Path))
    Explanation.Route = Route->Name;
  auto Copy = State;
  gateway_effects Effects;
  const std::function<void(const pick_request &)> Observe =
      [&](const pick_request &Request) {
        Explanation.Service = Request.Service;
        Explanation.Targets = explainTargets(State.Book, Request);
      };
  const gateway_step Step{Copy, Now, Effects, &Observe};
  handle(Step, request_arrived{ExplainedNumber, Call});
  readOutcome(Effects, Explanation);
  if (const auto Found = Copy.Requests.find(ExplainedNumber);
      Found != Copy.Requests.end()) {
    const auto &Request = Found->second;
    Explanation.Service = Request.Service;
    Explanation.Workspace = Request.Workspace;
    Explanation.TargetPriority = Request.TargetPriority;
    if (Explanation.Outcome == explained_outcome::Waits)
      Explanation.Reason = describeWait(Copy, Request);
    if (Request.AwaitedLoad)
      Explanation.Target = Request.AwaitedLoad->first;
  }
  if (Explanation.Workspace)
    Explanation.Quota = explainQuota(State, *Explanation.Workspace, Now);
  return Explanation;
}

} // namespace limpetbridge::serving
