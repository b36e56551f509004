/// Crashes of targets that requests cause: how they are noticed, pooled
/// with the other gateways, and kept from the remaining targets.
#include "details/gateway_parts.h"
#include "serving/crash_messages.h"

#include <algorithm>
#include <set>

namespace limpetbridge::serving {

namespace {

/// Attempts of which at most so many events arrived may have ended their
/// target; the answers to others had begun without harm.
constexpr std::uint64_t MaxEventsBeforeCrash = 1;
/// Attempts that end within this time may have ended with their target.
constexpr duration CommonEndSpan = milliseconds(500);
/// Time for a check whether a target still accepts connections.
constexpr duration CheckTime = milliseconds(300);
/// Time within which the row of a crashed target goes; attempts that ended
/// earlier did not end with it.
constexpr duration RowExpiryTime = seconds(10);
/// Suspects in one line of the log, and lines about the suspects of one event.
constexpr std::size_t MaxLoggedSuspects = 16;
/// Suspects that a periodic report has at most.
constexpr std::size_t MaxReportedSuspects = 100;
/// Gateways that a periodic report is sent to.
constexpr std::size_t ReportedGateways = 3;
/// Retry-after of a request that waits for the outcome of another one with the
/// same suspect, ms.
constexpr std::int64_t TriedRetryAfterMs = 1000;
/// Least retry-after of a request with a quarantined suspect, ms.
constexpr std::int64_t MinHeldRetryAfterMs = 10'000;

/// What may crash a target in \p Call: its parts, and all of them together. The
/// last part belongs to the request or its session.
auto suspectsOf(const call &Call) -> std::vector<suspect> {
  std::vector<suspect> Suspects;
  suspect Whole{suspect_kind::Prompt};
  for (const auto &Part : Call.Prompt.Parts) {
    Whole.Id = stableHash(std::to_string(Part.Id), Whole.Id);
    Suspects.push_back({suspect_kind::Part, Part.Id});
  }
  if (!Suspects.empty())
    Suspects.push_back(Whole);
  return Suspects;
}

auto decide(const gateway_step &Step, const call &Call) -> suspect_verdict {
  const auto &State = Step.State;
  if (State.Crashes.empty())
    return {};
  return State.Crashes.decide(suspectsOf(Call), State.Options.Quarantine,
                              Step.Now);
}

/// True if this gateway is the one that tries a request with \p Suspect: of
/// those that are heard, the one with the highest hash.
auto triesRequests(const gateway_step &Step, const suspect &Suspect) -> bool {
  const auto &State = Step.State;
  const auto HashOf = [&](const instance_name &Name) {
    return stableHash(Name.Text, Suspect.Id);
  };
  const auto Own = HashOf(State.Options.Self);
  return std::none_of(State.PeerStatuses.begin(), State.PeerStatuses.end(),
                      [&](const auto &Peer) {
                        return Peer.second.ReadyAt <= Step.Now &&
                               HashOf(Peer.first) > Own;
                      });
}

/// True if another request with \p Suspect is tried here and its outcome is
/// open.
auto isTried(const gateway_state &State, const suspect &Suspect,
             request_number But) -> bool {
  return std::any_of(
      State.Requests.begin(), State.Requests.end(), [&](const auto &Known) {
        const auto &Request = Known.second;
        return Known.first != But && Request.TriedSuspect == Suspect &&
               !Request.OutputContinued;
      });
}

auto suspectsText(const std::vector<suspect> &Suspects) -> std::string {
  std::string Text;
  const auto Count = std::min(Suspects.size(), MaxLoggedSuspects);
  for (std::size_t I = 0; I < Count; ++I)
    Text += (Text.empty() ? "" : ",") + toString(Suspects[I]);
  if (Count < Suspects.size())
    Text += " and " + std::to_string(Suspects.size() - Count) + " more";
  return Text;
}

/// Refuses a request with a quarantined suspect.
auto refuseForSuspect(const gateway_step &Step, request_number Number,
                      const suspect_verdict &Verdict) -> void {
  auto &Request = Step.State.Requests.at(Number);
  // An attempt in progress may be running.
  Request.MayHaveRun |= !Request.CurrentTarget.empty();
  releaseTarget(Step, Request, false);
  Step.State.Crashes.markRefused(Verdict.Suspect, Step.Now);
  auto RetryAfterMs = TriedRetryAfterMs;
  if (Verdict.Admission != admission::OneAtATime)
    RetryAfterMs = std::max(MinHeldRetryAfterMs,
                            toMilliseconds(Verdict.HoldUntil - Step.Now));
  refuseRequest(Step, Number, result_code::PromptQuarantined, RetryAfterMs,
                toString(Verdict.Suspect) + " is quarantined");
}

/// Ends the open requests with a quarantined suspect: those that wait, and
/// those whose target may be about to begin its answer.
auto refuseOpenRequests(const gateway_step &Step) -> void {
  std::vector<std::pair<request_number, suspect_verdict>> Refused;
  for (const auto &[Number, Request] : Step.State.Requests) {
    if (!Request.Call.HasPrompt || Request.OutputContinued)
      continue;
    const auto Verdict = decide(Step, Request.Call);
    if (Verdict.Admission == admission::Refused)
      Refused.emplace_back(Number, Verdict);
  }
  for (const auto &[Number, Verdict] : Refused)
    refuseForSuspect(Step, Number, Verdict);
}

auto logSuspect(const gateway_step &Step, log_level Level, std::string Event,
                const suspect &Suspect, std::string Source) -> void {
  std::string Targets;
  for (const auto &Run : Step.State.Crashes.crashesOf(Suspect))
    Targets += (Targets.empty() ? "" : ",") + Run.Target.Text;
  const auto Verdict = Step.State.Crashes.decide(
      {Suspect}, Step.State.Options.Quarantine, Step.Now);
  addLogEntry(
      Step, Level, std::move(Event),
      {{"suspect", toString(Suspect)},
       {"crashed", std::move(Targets)},
       {"admission", std::string(nameOf(Verdict.Admission))},
       {"hold_ms",
        std::to_string(Verdict.Admission == admission::Allowed
                           ? 0
                           : toMilliseconds(Verdict.HoldUntil - Step.Now))},
       {"source", std::move(Source)}});
}

auto sendReports(const gateway_step &Step, std::vector<suspect_report> Reports,
                 std::vector<std::string> Addresses) -> void {
  send_crash_report Effect;
  Effect.Addresses = std::move(Addresses);
  Effect.Report.From = Step.State.Options.Self;
  Effect.Report.Suspects = std::move(Reports);
  if (!Effect.Addresses.empty() && !Effect.Report.Suspects.empty())
    Step.Effects.push_back(std::move(Effect));
}

/// Sends \p Suspects to all gateways, in as many messages as they need.
auto sendAtOnce(const gateway_step &Step, const std::vector<suspect> &Suspects)
    -> void {
  std::vector<suspect_report> Reports;
  Reports.reserve(Suspects.size());
  for (const auto &Suspect : Suspects)
    Reports.push_back(Step.State.Crashes.report(Suspect, Step.Now));
  for (auto &Message : splitReports(Reports))
    sendReports(Step, std::move(Message), gatewayAddresses(Step.State));
}

/// Those of \p Suspects that are quarantined.
auto quarantinedAmong(const gateway_state &State,
                      const std::vector<suspect> &Suspects)
    -> std::set<suspect> {
  std::set<suspect> Quarantined;
  for (const auto &Suspect : Suspects)
    if (State.Crashes.isQuarantined(Suspect, State.Options.Quarantine))
      Quarantined.insert(Suspect);
  return Quarantined;
}

/// Logs which of \p Suspects were quarantined or released by a change, and ends
/// the requests that may not be sent any more.
auto applyChange(const gateway_step &Step, const std::vector<suspect> &Suspects,
                 const std::set<suspect> &Before, const std::string &Source)
    -> void {
  const auto After = quarantinedAmong(Step.State, Suspects);
  std::size_t Added = 0;
  std::size_t Released = 0;
  for (const auto &Suspect : After)
    if (!Before.contains(Suspect) && ++Added <= MaxLoggedSuspects)
      logSuspect(Step, log_level::Warning, "suspect_quarantined", Suspect,
                 Source);
  for (const auto &Suspect : Before)
    if (!After.contains(Suspect) && ++Released <= MaxLoggedSuspects)
      logSuspect(Step, log_level::Info, "suspect_released", Suspect, Source);
  if (Added + Released > MaxLoggedSuspects)
    addLogEntry(Step, log_level::Info, "suspects_changed",
                {{"quarantined", std::to_string(Added)},
                 {"released", std::to_string(Released)},
                 {"source", Source}});
  if (Added > 0)
    refuseOpenRequests(Step);
}

/// Records that \p Suspects were served, and tells the other gateways of those
/// that were charged with crashes.
auto markServed(const gateway_step &Step, const std::vector<suspect> &Suspects,
                const std::string &Source) -> void {
  auto &State = Step.State;
  const auto Before = quarantinedAmong(State, Suspects);
  std::vector<suspect> Cleared;
  for (const auto &Suspect : Suspects)
    if (State.Crashes.markServed(Suspect, Step.Now))
      Cleared.push_back(Suspect);
  if (Cleared.empty())
    return;
  addLogEntry(Step, log_level::Info, "suspects_cleared",
              {{"suspects", suspectsText(Cleared)}, {"source", Source}});
  sendAtOnce(Step, Cleared);
  storeCrashes(Step);
  applyChange(Step, Cleared, Before, Source);
}

/// Notes what was in progress at \p Entry and ended, and checks whether the
/// target has crashed.
auto noteSuspects(const gateway_step &Step, const target_entry &Entry,
                  const std::vector<suspect> &Suspects, bool AnswerBegun)
    -> void {
  if (Entry.Target.Draining || Suspects.empty())
    return;
  const auto &Target = Entry.Target;
  auto &Possible = Step.State.PossibleCrashes[Target.Name];
  if (Possible.Incarnation != Target.Incarnation ||
      Step.Now - Possible.LastEndAt > CommonEndSpan) {
    Possible.Begun.clear();
    Possible.Waiting.clear();
    Possible.Attempts = 0;
  }
  Possible.Incarnation = Target.Incarnation;
  Possible.LastEndAt = Step.Now;
  ++Possible.Attempts;
  // What the ledger cannot hold need not be noted.
  auto &Noted = AnswerBegun ? Possible.Begun : Possible.Waiting;
  if (Noted.size() < crash_ledger::MaxSuspects)
    Noted.insert(Suspects.begin(), Suspects.end());
  if (!std::exchange(Possible.IsChecked, true))
    Step.Effects.push_back(check_target{Target.Name, Target.Incarnation,
                                        Target.Address, Step.Now + CheckTime});
}

} // namespace

auto refuseIfQuarantined(const gateway_step &Step, request_number Number)
    -> bool {
  auto &Request = Step.State.Requests.at(Number);
  if (!Request.Call.HasPrompt)
    return false;
  const auto Verdict = decide(Step, Request.Call);
  Request.TriedSuspect.reset();
  if (Verdict.Admission == admission::Allowed)
    return false;
  const bool Refused = Verdict.Admission == admission::Refused ||
                       (Verdict.Admission == admission::Trial &&
                        !triesRequests(Step, Verdict.Suspect)) ||
                       isTried(Step.State, Verdict.Suspect, Number);
  if (Refused) {
    refuseForSuspect(Step, Number, Verdict);
    return true;
  }
  Request.TriedSuspect = Verdict.Suspect;
  logSuspect(Step, log_level::Info, "suspect_tried", Verdict.Suspect,
             Request.Call.Id);
  return false;
}

auto hasSuspect(const gateway_step &Step, const request_state &Request)
    -> bool {
  const auto &Crashes = Step.State.Crashes;
  if (Crashes.empty() || !Request.Call.HasPrompt)
    return false;
  const auto Suspects = suspectsOf(Request.Call);
  return std::any_of(Suspects.begin(), Suspects.end(),
                     [&](const suspect &Suspect) {
                       return !Crashes.crashesOf(Suspect).empty();
                     });
}

auto notePossibleCrash(const gateway_step &Step, const request_state &Request,
                       const attempt_ended &Event) -> void {
  const auto *Entry = Step.State.Book.find(Request.CurrentTarget);
  const bool BrokeOff =
      Event.End == attempt_end::Unknown || Event.End == attempt_end::CutShort;
  if (BrokeOff && Request.Call.HasPrompt && Entry != nullptr &&
      Entry->Target.Incarnation == Request.SentIncarnation &&
      Event.Body.Events <= MaxEventsBeforeCrash)
    noteSuspects(Step, *Entry, suspectsOf(Request.Call), Event.Status != 0);
}

auto noteFailedLoad(const gateway_step &Step, const target_entry &Entry,
                    const model_name &Model, const std::string &Adapter)
    -> void {
  noteSuspects(Step, Entry, {loadSuspect(Model, Adapter)}, false);
}

auto recordLoaded(const gateway_step &Step, const model_name &Model,
                  const std::string &Adapter) -> void {
  markServed(Step, {loadSuspect(Model, Adapter)}, "load");
}

auto loadHeldUntil(const gateway_step &Step, const model_name &Model,
                   const std::string &Adapter) -> time_point {
  return Step.State.Crashes.loadHeldUntil(loadSuspect(Model, Adapter));
}

auto handle(const gateway_step &Step, const target_checked &Event) -> void {
  const auto Found = Step.State.PossibleCrashes.find(Event.Target);
  if (Found == Step.State.PossibleCrashes.end())
    return;
  Found->second.IsChecked = false;
  // Without a clear answer the target's row tells later.
  const auto *Entry = Step.State.Book.find(Event.Target);
  if (Event.State == port_state::Closed && Entry != nullptr &&
      Entry->Target.Incarnation == Event.Incarnation)
    confirmCrash(Step, *Entry);
}

auto confirmCrash(const gateway_step &Step, const target_entry &Entry) -> void {
  auto &State = Step.State;
  const auto Node = State.PossibleCrashes.extract(Entry.Target.Name);
  if (Node.empty())
    return;
  const auto &Possible = Node.mapped();
  if (Possible.Incarnation != Entry.Target.Incarnation ||
      Possible.Attempts == 0 || Step.Now - Possible.LastEndAt > RowExpiryTime)
    return;
  const target_run Run{Entry.Target.Name, Entry.Target.Incarnation};
  // Next to an answer that had begun, requests without one were waiting.
  const bool AnswerBegun = !Possible.Begun.empty();
  const auto &Charged = AnswerBegun ? Possible.Begun : Possible.Waiting;
  const std::vector<suspect> Suspects(Charged.begin(), Charged.end());
  const auto Before = quarantinedAmong(State, Suspects);
  State.Crashes.chargeAll(Suspects, Run, {Possible.LastEndAt, AnswerBegun});
  addLogEntry(Step, log_level::Warning, "target_crashed",
              {{"target", Run.Target.Text},
               {"born", std::to_string(Run.Incarnation)},
               {"answer_begun", AnswerBegun ? "true" : "false"},
               {"attempts", std::to_string(Possible.Attempts)},
               {"suspects", suspectsText(Suspects)}});
  sendAtOnce(Step, Suspects);
  storeCrashes(Step);
  applyChange(Step, Suspects, Before, State.Options.Self.Text);
}

auto recordServed(const gateway_step &Step, const request_state &Request)
    -> void {
  if (Request.Call.HasPrompt && !Step.State.Crashes.empty())
    markServed(Step, suspectsOf(Request.Call), Request.Call.Id);
}

auto handle(const gateway_step &Step, const output_continued &Event) -> void {
  const auto Found = Step.State.Requests.find(Event.Number);
  if (Found == Step.State.Requests.end() ||
      !selectAttempt(Found->second, Event.Attempt))
    return;
  Found->second.OutputContinued = true;
  recordServed(Step, Found->second);
}

auto mergeCrashes(const gateway_step &Step,
                  const std::vector<suspect_report> &Reports,
                  const std::string &Source) -> void {
  auto &State = Step.State;
  std::vector<suspect> Suspects;
  Suspects.reserve(Reports.size());
  for (const auto &Report : Reports)
    Suspects.push_back(Report.Suspect);
  const auto Before = quarantinedAmong(State, Suspects);
  bool Changed = false;
  bool Cleared = false;
  for (const auto &Report : Reports) {
    const bool WasCharged = !State.Crashes.crashesOf(Report.Suspect).empty();
    Changed |= State.Crashes.merge(Report, Step.Now);
    Cleared |= WasCharged && State.Crashes.crashesOf(Report.Suspect).empty();
  }
  // The own row may still name what was cleared.
  if (Cleared && State.CrashesStoredAt != time_point())
    refreshCrashRow(Step);
  if (Changed)
    applyChange(Step, Suspects, Before, Source);
}

auto handle(const gateway_step &Step, const crash_report &Event) -> void {
  if (Event.From != Step.State.Options.Self)
    mergeCrashes(Step, Event.Suspects, Event.From.Text);
}

auto handle(const gateway_step &Step, const quarantine_lifted &Event) -> void {
  markServed(Step, {Event.Suspect}, "operator");
}

auto expireCrashes(const gateway_step &Step) -> void {
  auto &State = Step.State;
  State.Crashes.expire(State.Options.Quarantine, Step.Now);
  std::erase_if(State.PossibleCrashes, [&](const auto &Possible) {
    return Step.Now - Possible.second.LastEndAt > RowExpiryTime;
  });
}

auto sendCrashReport(const gateway_step &Step) -> void {
  auto &State = Step.State;
  if (State.Crashes.empty())
    return;
  // From where the last report ended, all of them in turn.
  std::vector<suspect_report> Reports;
  crash_message_size Size;
  for (const auto &Suspect : State.Crashes.suspectsAfter(
           State.LastReportedSuspect, MaxReportedSuspects)) {
    auto Report = State.Crashes.report(Suspect, Step.Now);
    if (!Size.add(Report))
      break;
    Reports.push_back(std::move(Report));
    State.LastReportedSuspect = Suspect;
  }
  // A few gateways at a time: what is new was sent to all of them at once.
  auto Addresses = gatewayAddresses(State);
  std::shuffle(Addresses.begin(), Addresses.end(), State.Random);
  Addresses.resize(std::min(Addresses.size(), ReportedGateways));
  sendReports(Step, std::move(Reports), std::move(Addresses));
}

} // namespace limpetbridge::serving
