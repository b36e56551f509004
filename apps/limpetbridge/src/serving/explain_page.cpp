#include "explain_page.h"

#include "base/json_text.h"

#include <cmath>

namespace limpetbridge {

namespace {

using namespace serving;
/// Keeps the order of the fields, in which they are printed as text.
using json = nlohmann::ordered_json;

auto toTenths(double Value) -> double {
  constexpr double Tenths = 10;
  return std::round(Value * Tenths) / Tenths;
}

auto costsOf(const candidate &Candidate) -> json {
  const auto &Expected = Candidate.Expected;
  json Costs;
  for (const auto &[Name, Value] :
       {std::pair{"failures", Expected.FailuresMs},
        {"queued", Expected.Slowness * Expected.QueuedMs},
        {"prefill", Expected.Slowness * Expected.PrefillMs},
        {"active", Expected.ActiveMs},
        {"distance", Expected.DistanceMs},
        {"adapter", Candidate.AdapterMs},
        {"slot_wait", Candidate.SlotWaitMs},
        {"interference", Candidate.InterferenceMs},
        {"backoff", Candidate.BackoffMs},
        {"connection", Candidate.ConnectionMs},
        {"preference", Candidate.PreferenceMs}})
    Costs[Name] = toTenths(Value);
  return Costs;
}

auto describeTarget(const explained_target &Target) -> json {
  constexpr double Percent = 100;
  const auto &Candidate = Target.Candidate;
  json Json = {{"target", Target.Name.Text}};
  if (Candidate.Exclusion != exclusion::None) {
    Json["excluded"] = nameOf(Candidate.Exclusion);
  } else {
    Json["cost_ms"] = toTenths(Candidate.Pick.CostMs);
    Json["expected_ms"] = toTenths(Candidate.Pick.ExpectedMs);
    Json["costs"] = costsOf(Candidate);
  }
  Json["active"] = Target.Active;
  Json["slots"] = Target.Slots;
  Json["slowness"] = toTenths(Target.Slowness);
  Json["failure_percent"] = toTenths(Percent * Target.FailureShare);
  Json["avoided_ms"] = Target.AvoidedMs;
  Json["refusing_ms"] = Target.RefusingMs;
  Json["report_age_ms"] = Target.ReportAgeMs;
  return Json;
}

auto describeQuota(const explained_quota &Quota) -> json {
  constexpr double Percent = 100;
  return {{"rate_per_s", Quota.Limit.PerSecond},
          {"burst", Quota.Limit.Burst},
          {"share_percent", toTenths(Percent * Quota.Status.Share)},
          {"tokens", toTenths(Quota.Status.Tokens)},
          {"demand_per_s", toTenths(Quota.Status.Demand)}};
}

/// Without the targets.
auto describeDecision(const explanation &Explanation) -> json {
  json Json = {{"outcome", nameOf(Explanation.Outcome)}};
  if (!Explanation.Target.empty())
    Json["target"] = Explanation.Target.Text;
  if (Explanation.Outcome == explained_outcome::Refused) {
    const auto &Row = describe(Explanation.Code);
    Json["code"] = Row.Name;
    Json["status"] = Row.HttpStatus;
    Json["retry_after_ms"] = Explanation.RetryAfterMs;
  }
  if (!Explanation.Reason.empty())
    Json[Explanation.Outcome == explained_outcome::Waits ? "waits_for"
                                                         : "reason"] =
        Explanation.Reason;
  Json["route"] = Explanation.Route;
  Json["service"] = Explanation.Service.Text;
  if (Explanation.Workspace)
    Json["workspace"] = Explanation.Workspace->Text;
  if (Explanation.TargetPriority)
    Json["target_priority"] = *Explanation.TargetPriority;
  if (Explanation.Quota)
    Json["quota"] = describeQuota(*Explanation.Quota);
  if (!Explanation.Model.empty()) {
    Json["model"] = Explanation.Model.Text;
    Json["adapter"] = Explanation.Adapter;
  }
  Json["configuration"] = Explanation.ConfigurationVersion;
  Json["targets_age_ms"] = Explanation.TargetsAgeMs;
  return Json;
}

/// A value without quotes; an object as names and values, without the zeros.
auto printValue(const json &Value) -> std::string {
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_object())
    return toJsonText(Value);
  std::string Text;
  for (const auto &[Name, Part] : Value.items())
    if (!Part.is_number() || Part != 0)
      Text += (Text.empty() ? "" : ", ") + Name + " " + printValue(Part);
  return "(" + Text + ")";
}

} // namespace

auto explanationJson(const explanation &Explanation) -> std::string {
  auto Json = describeDecision(Explanation);
  Json["targets"] = json::array();
  for (const auto &Target : Explanation.Targets)
    Json["targets"].push_back(describeTarget(Target));
  return toJsonText(Json) + "\n";
}

auto explanationText(const explanation &Explanation) -> std::string {
  std::string Text;
  const auto Decision = describeDecision(Explanation);
  for (const auto &[Name, Value] : Decision.items())
    Text += Name + ": " + printValue(Value) + "\n";
  for (const auto &Target : Explanation.Targets) {
    const auto Json = describeTarget(Target);
    std::string Line;
    for (const auto &[Name, Value] : Json.items())
      Line += (Line.empty() ? "- " : "  ") + Name + " " + printValue(Value);
    Text += Line + "\n";
  }
  return Text;
}

} // namespace limpetbridge
