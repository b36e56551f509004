/// Quotas of workspaces: requests are charged when they arrive, and gateways
/// tell each other what they lend and need.
#include "details/gateway_parts.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// A request may wait this part of its objective for tokens of other gateways.
constexpr int ObjectiveParts = 8;
/// But at least for a question and its answer: two transits between data
/// centres and a turn of both processes.
constexpr duration MinQuotaWait = milliseconds(20);
/// While requests wait, other gateways are asked again after this time.
constexpr duration AskInterval = milliseconds(50);
/// Least interval of the reports: a quarter of the shortest term of a loan, so
/// that loans last although some reports are lost.
constexpr duration MinReportInterval = milliseconds(500);
/// A gateway that sends no digests counts for so long after it was listed.
/// Records of gateways that were replaced stay in the store.
constexpr duration ListingTime = seconds(30);

auto isLimited(const workspace_spec &Spec) -> bool {
  return Spec.RatePerSecond > 0 || Spec.Burst > 0;
}

/// What \p Call counts as in the quota of its workspace.
auto tokensOf(const call &Call, const workspace_spec &Spec) -> double {
  if (Spec.Unit != quota_unit::Tokens)
    return 1;
  return Call.StatedTokens ? static_cast<double>(*Call.StatedTokens)
                           : Spec.UncountedTokens;
}

/// The limited workspace of \p Request; null if there is none.
auto findLimit(const gateway_state &State, const request_state &Request)
    -> const workspace_spec * {
  if (!State.Quotas || !Request.Workspace)
    return nullptr;
  const auto &Workspaces = State.Configuration.Workspaces;
  const auto Found = Workspaces.find(*Request.Workspace);
  return Found == Workspaces.end() || !isLimited(Found->second)
             ? nullptr
             : &Found->second;
}

/// Until when \p Request may wait for tokens.
auto quotaWaitEnd(const request_state &Request, time_point Now) -> time_point {
  if (Request.QuotaWaitEnd)
    return *Request.QuotaWaitEnd;
  const auto Objective = milliseconds(Request.Route.TargetLatencyMs);
  return std::min(std::max(Request.Call.Arrived + Objective / ObjectiveParts,
                           Now + MinQuotaWait),
                  Request.FirstOutputDeadline - MinAttemptTime);
}

auto beginQuotaWait(const gateway_step &Step, request_number Number,
                    time_point End) -> void {
  Step.State.Requests.at(Number).QuotaWaitEnd = End;
  Step.State.QuotaWaits.insert(Number);
  Step.Effects.push_back(
      set_deadline{Number, std::min(End, Step.Now + AskInterval)});
}

/// The request does not wait any more; its charge is decided anew.
auto leaveQuotaWait(const gateway_step &Step, request_number Number) -> void {
  auto &State = Step.State;
  if (State.QuotaWaits.erase(Number) == 0)
    return;
  auto &Charge = State.Requests.at(Number).Charge;
  if (Charge && State.Quotas) {
    State.Quotas->cancelWait(Charge->Workspace, Charge->Tokens);
    State.QuotasChanged = true;
  }
  Charge.reset();
}

/// Takes the tokens of the request.
/// \returns false if it waits or was refused.
auto chargeRequest(const gateway_step &Step, request_number Number) -> bool {
  auto &State = Step.State;
  auto &Request = State.Requests.at(Number);
  leaveQuotaWait(Step, Number);
  const auto *Limit = findLimit(State, Request);
  if (Limit == nullptr)
    return true;
  const auto WaitEnd = quotaWaitEnd(Request, Step.Now);
  const bool MayWait = Step.Now < WaitEnd;
  const auto Tokens = tokensOf(Request.Call, *Limit);
  const auto Decision =
      State.Quotas->admit(Limit->Name, Tokens, MayWait, Step.Now);
  State.QuotasChanged = true;
  switch (Decision.Verdict) {
  case quota_decision::verdict::Admitted:
    Request.Charge = {Limit->Name, Tokens};
    return true;
  case quota_decision::verdict::Wait:
    Request.Charge = {Limit->Name, Tokens};
    beginQuotaWait(Step, Number, WaitEnd);
    return false;
  case quota_decision::verdict::Refused:
    refuseRequest(Step, Number, result_code::QuotaExceeded,
                  toMilliseconds(Decision.RetryAfter) + 1,
                  "the workspace has used up its quota");
    return false;
  }
  return false;
}

/// Asks again for the tokens of the requests that wait, in the order of their
/// arrival; of all workspaces if \p Workspaces is null.
auto retryQuotaWaits(const gateway_step &Step,
                     const std::vector<workspace_name> *Workspaces) -> void {
  const auto Waits = Step.State.QuotaWaits;
  for (const auto Number : Waits) {
    if (!Step.State.QuotaWaits.contains(Number))
      continue;
    const auto &Charge = Step.State.Requests.at(Number).Charge;
    if (Workspaces == nullptr ||
        (Charge && std::find(Workspaces->begin(), Workspaces->end(),
                             Charge->Workspace) != Workspaces->end()))
      admitRequest(Step, Number);
  }
}

auto isOtherGateway(const gateway_state &State, const instance_record &Instance)
    -> bool {
  return Instance.Role == instance_role::Gateway &&
         Instance.Name != State.Options.Self;
}

auto sharesQuotas(const gateway_state &State) -> bool {
  return State.Quotas && State.HasQuotaLimits;
}

/// The next report to \p Name. Without quotas it holds rates only.
auto nextMessage(const gateway_step &Step, const instance_name &Name)
    -> quota_message {
  auto &State = Step.State;
  quota_message Message;
  if (State.Quotas) {
    Message = State.Quotas->messageFor(Name, Step.Now);
  } else {
    Message.Incarnation = State.Options.Incarnation;
    Message.Number = ++State.RateReports;
  }
  if (State.Options.HasFairShares)
    State.Account.addTo(Message, Step.Now);
  return Message;
}

/// The other gateways that may be admitting requests.
auto findMembers(const gateway_step &Step) -> std::set<instance_name> {
  const auto &State = Step.State;
  std::set<instance_name> Members;
  for (const auto &[Name, ListedAt] : State.GatewaysListedAt)
    if (Step.Now - ListedAt < ListingTime)
      Members.insert(Name);
  for (const auto &[Name, HeardAt] : State.PeerDigestTimes)
    Members.insert(Name);
  Members.erase(State.Options.Self);
  return Members;
}

/// \param ListsSelf the list of gateways has been read, with this one in it.
auto setMembers(const gateway_step &Step, bool ListsSelf) -> void {
  auto &State = Step.State;
  auto Members = findMembers(Step);
  if (ListsSelf)
    Members.insert(State.Options.Self);
  State.Quotas->setMembers(Members, Step.Now);
  State.QuotasChanged = true;
}

auto sendReports(const gateway_step &Step,
                 const std::set<instance_name> &Receivers) -> void {
  auto &State = Step.State;
  send_quota_reports Effect;
  for (const auto &Name : Receivers) {
    const auto Found = State.Instances.find(Name);
    if (Found != State.Instances.end() && isOtherGateway(State, Found->second))
      Effect.Reports.emplace_back(
          Found->second.Address,
          quota_report{State.Options.Self, Name, nextMessage(Step, Name)});
  }
  if (!Effect.Reports.empty())
    Step.Effects.push_back(std::move(Effect));
}

} // namespace

auto admitRequest(const gateway_step &Step, request_number Number) -> void {
  if (!chargeRequest(Step, Number))
    return;
  auto &State = Step.State;
  auto &Request = State.Requests.at(Number);
  if (Request.Call.HasPrompt) {
    const auto &Prompt = Request.Call.Prompt;
    Request.PrefixKeys = prefixKeys(Prompt);
    State.Demand.recordRequest(
        Prompt.Model, expectedWorkMs(State, Request.Service, Prompt), Step.Now);
  }
  State.RetryBudgets[Request.Service].recordRequest(Step.Now);
  noteHedgedRequest(Step);
  Step.Effects.push_back(set_deadline{Number, Request.Deadline});
  dispatchRequest(Step, Number);
}

auto endQuotaWait(const gateway_step &Step, request_number Number) -> bool {
  const auto &Request = Step.State.Requests.at(Number);
  if (!Request.QuotaWaitEnd || Step.Now >= Request.Deadline)
    return false;
  // The timer may have run out just as the wait ended.
  if (Step.State.QuotaWaits.contains(Number))
    admitRequest(Step, Number);
  return true;
}

auto settleCharge(const gateway_step &Step, request_number Number,
                  bool MayHaveRun) -> void {
  auto &State = Step.State;
  leaveQuotaWait(Step, Number);
  auto &Charge = State.Requests.at(Number).Charge;
  if (Charge && State.Quotas && !MayHaveRun) {
    State.Quotas->giveBack(Charge->Workspace, Charge->Tokens, Step.Now);
    State.QuotasChanged = true;
  }
  Charge.reset();
}

auto takeQuotaLimits(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (!State.Quotas)
    return;
  std::map<workspace_name, quota_limit> Limits;
  for (const auto &[Name, Spec] : State.Configuration.Workspaces)
    if (isLimited(Spec))
      Limits[Name] = {Spec.RatePerSecond, Spec.Burst};
  State.HasQuotaLimits = !Limits.empty();
  State.Quotas->setLimits(Limits, Step.Now);
  State.QuotasChanged = true;
  // Their limits or workspaces may have changed.
  retryQuotaWaits(Step, nullptr);
}

auto takeQuotaMembers(const gateway_step &Step, const instances_listed &Event)
    -> void {
  auto &State = Step.State;
  const bool WasListed = State.GatewaysListedAt.contains(State.Options.Self);
  for (const auto &Instance : Event.Instances)
    if (Instance.Role == instance_role::Gateway)
      State.GatewaysListedAt[Instance.Name] = Step.Now;
  // Its share begins when all others have confirmed it.
  if (!WasListed)
    State.NextQuotaReport = Step.Now;
  // The others do not count a gateway for ever that is listed and silent. So it
  // relies on the list once only, and on hearing from them later.
  if (State.Quotas)
    setMembers(Step, !WasListed &&
                         State.GatewaysListedAt.contains(State.Options.Self));
}

auto handle(const gateway_step &Step, const quota_report &Event) -> void {
  auto &State = Step.State;
  const auto Sender = State.Instances.find(Event.From);
  if (Event.To != State.Options.Self || Sender == State.Instances.end() ||
      !isOtherGateway(State, Sender->second))
    return;
  if (State.Options.HasFairShares)
    State.Account.receive(Event.From, Event.Message, Step.Now);
  if (!State.Quotas)
    return;
  const auto Gained =
      State.Quotas->receive(Event.From, Event.Message, Step.Now);
  State.QuotasChanged = true;
  if (!Gained.empty())
    retryQuotaWaits(Step, &Gained);
}

auto restartQuotas(const gateway_step &Step, std::uint64_t Incarnation)
    -> void {
  auto &State = Step.State;
  if (!State.Quotas)
    return;
  // What it holds and has lent may have lapsed, so it begins with nothing, as a
  // process that starts. Tokens of requests under way are not returned to it.
  State.Options.Incarnation = Incarnation;
  State.Quotas.emplace(State.Options.Quota, State.Options.Self, Incarnation,
                       State.Options.Seed);
  for (auto &[Number, Request] : State.Requests)
    Request.Charge.reset();
  addLogEntry(Step, log_level::Warning, "quotas_restarted",
              {{"cause", "the machine was suspended"},
               {"requests", std::to_string(State.Requests.size())}});
  setMembers(Step, State.GatewaysListedAt.contains(State.Options.Self));
  takeQuotaLimits(Step);
}

auto sendQuotaReports(const gateway_step &Step) -> void {
  auto &State = Step.State;
  const bool TellsRates =
      State.Options.HasFairShares && !State.Configuration.Workspaces.empty();
  if (!(TellsRates || sharesQuotas(State)) || Step.Now < State.NextQuotaReport)
    return;
  State.NextQuotaReport =
      Step.Now + std::max(MinReportInterval, digestInterval(State));
  if (TellsRates)
    State.Account.update(Step.Now);
  if (sharesQuotas(State))
    setMembers(Step, false);
  sendReports(Step, findMembers(Step));
}

auto sendUrgentQuotaReports(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (std::exchange(State.QuotasChanged, false) && sharesQuotas(State))
    sendReports(Step, State.Quotas->takeUrgentReceivers(Step.Now));
}

} // namespace limpetbridge::serving
