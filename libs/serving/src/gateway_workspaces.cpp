/// Which workspace a request belongs to, by its key. The key is checked when
/// the request arrives and before each attempt.
#include "details/gateway_parts.h"

#include <vector>

namespace limpetbridge::serving {

namespace {

/// Retry-after of a request whose key a newer configuration may have: that is
/// known after about one query to another gateway, ms.
constexpr std::int64_t UndecidedRetryAfterMs = 500;
/// Retry-after of a request whose key no gateway knows to be valid still, as
/// far as is known, ms.
constexpr std::int64_t DoubtfulRetryAfterMs = 1000;

auto needsKey(const gateway_state &State, const request_state &Request)
    -> bool {
  return !State.Configuration.Workspaces.empty() && !Request.Route.Public;
}

/// Finds the workspace of the request, and sets it.
auto checkKey(const gateway_step &Step, request_state &Request) -> key_verdict {
  const auto &State = Step.State;
  if (Request.Call.Key.empty())
    return key_verdict::Missing;
  if (const auto *Name = State.Keys.find(Request.Call.Key, Request.KeyDigest)) {
    Request.Workspace = *Name;
    return key_verdict::Accepted;
  }
  if (Request.Workspace)
    return key_verdict::Removed;
  // A 4xx tells the caller not to repeat the request, so it takes a
  // configuration that is known to be recent.
  return isConfigurationCurrent(State, Step.Now) ? key_verdict::Unknown
                                                 : key_verdict::Undecided;
}

auto reasonOf(key_verdict Verdict) -> std::string {
  switch (Verdict) {
  case key_verdict::Accepted:
    break;
  case key_verdict::Missing:
    return "the request has no key, or more than one";
  case key_verdict::Unknown:
    return "no workspace has the key";
  case key_verdict::Removed:
    return "the key was removed meanwhile";
  case key_verdict::Undecided:
    return "a newer configuration may have the key";
  }
  return "";
}

auto applyPriority(const gateway_step &Step, request_state &Request,
                   std::uint32_t RoutePriority) -> void {
  std::optional<std::uint32_t> Priority;
  const auto &Workspaces = Step.State.Configuration.Workspaces;
  if (Request.Workspace)
    if (const auto Spec = Workspaces.find(*Request.Workspace);
        Spec != Workspaces.end())
      Priority = Spec->second.Priority;
  Request.TargetPriority =
      Step.State.Priorities.targetPriority(Priority, RoutePriority);
}

} // namespace

auto setFirstPriority(const gateway_step &Step, request_state &Request)
    -> void {
  // Its prefill is booked at targets under the same rank.
  Request.Route.Priority = 0;
  applyPriority(Step, Request, 0);
}

auto takeKeysInForce(const gateway_step &Step) -> void {
  auto &State = Step.State;
  // The index alone holds them from now on.
  State.Keys = key_index(std::exchange(State.Configuration.Keys, {}),
                         State.Options.KeySecret);
  if (const auto &Unusable = State.Keys.firstUnusable())
    addLogEntry(
        Step, log_level::Warning, "keys_unusable",
        {{"count", std::to_string(State.Keys.unusableCount())},
         {"workspace", Unusable->Workspace.Text},
         {"reason", Unusable->Holder ? "workspace " + Unusable->Holder->Text +
                                           " has the key as well"
                                     : "no header field can hold the key"}});
  std::vector<request_number> Waiting;
  for (const auto &[Number, Request] : State.Requests)
    if (Request.IsRouted && Request.CurrentTarget.empty())
      Waiting.push_back(Number);
  for (const auto Number : Waiting)
    static_cast<void>(refuseWithoutKey(Step, Number));
}

auto areKeysCurrent(const gateway_state &State, time_point Now) -> bool {
  if (!State.Options.RevocationIsStrict ||
      State.Configuration.Workspaces.empty())
    return true;
  const auto KnownAt = State.ConfigurationAge.KnownAt;
  return KnownAt != time_point() &&
         Now - KnownAt <= maxViewAge(State.Options.RevocationBound);
}

auto refuseWithoutKey(const gateway_step &Step, request_number Number) -> bool {
  auto &Request = Step.State.Requests.at(Number);
  if (!needsKey(Step.State, Request)) {
    Request.Workspace.reset();
    applyPriority(Step, Request, Request.Route.Priority);
    return false;
  }
  const bool IsFirstCheck = !Request.Workspace;
  const auto Verdict = checkKey(Step, Request);
  if (Verdict == key_verdict::Accepted) {
    applyPriority(Step, Request, Request.Route.Priority);
    if (IsFirstCheck)
      Step.Effects.push_back(record_key_check{Verdict, *Request.Workspace});
    return false;
  }
  Step.Effects.push_back(record_key_check{Verdict, {}});
  const bool Undecided = Verdict == key_verdict::Undecided;
  refuseRequest(Step, Number,
                Undecided ? result_code::NotReady : result_code::UnknownKey,
                Undecided ? UndecidedRetryAfterMs : 0, reasonOf(Verdict));
  return true;
}

auto refuseWithDoubtfulKey(const gateway_step &Step, request_number Number)
    -> bool {
  if (!Step.State.Requests.at(Number).Workspace ||
      areKeysCurrent(Step.State, Step.Now))
    return false;
  Step.Effects.push_back(record_key_check{key_verdict::Undecided, {}});
  refuseRequest(Step, Number, result_code::NotReady, DoubtfulRetryAfterMs,
                "the key may have been removed since the last configuration");
  return true;
}

auto hasValidKey(const gateway_state &State, request_number Number) -> bool {
  const auto Found = State.Requests.find(Number);
  if (Found == State.Requests.end())
    return true;
  const auto &Request = Found->second;
  return !needsKey(State, Request) ||
         State.Keys.find(Request.Call.Key, Request.KeyDigest) != nullptr;
}

auto addWorkspace(log_fields &Fields, const request_state &Request) -> void {
  if (Request.Workspace)
    Fields.emplace_back("workspace", Request.Workspace->Text);
}

} // namespace limpetbridge::serving
