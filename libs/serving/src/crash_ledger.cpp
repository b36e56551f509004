#include "serving/crash_ledger.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <tuple>

namespace limpetbridge::serving {

namespace {

/// By the values of suspect_kind.
constexpr std::array<std::string_view, 3> KindNames = {"part", "prompt",
                                                       "load"};
/// Crashes within this time count as one: they may have one cause that is not
/// in the prompts, such as the loss of several machines.
constexpr duration SameCrashSpan = milliseconds(100);
/// Crashes beyond the policy's that are needed without any answer that had
/// begun.
constexpr std::uint32_t MoreWithoutAnswer = 2;
/// Crashes beyond the policy's from which on no request is tried.
constexpr std::uint32_t MaxExcessCrashes = 2;
/// Crashes on a load from which on it is held back: targets also crash for
/// other reasons, and a load takes seconds. The hold grows by a factor up to a
/// limit.
constexpr std::size_t LoadCrashes = 3;
constexpr duration LoadHold = seconds(10);
constexpr int LoadHoldGrowth = 4;
constexpr duration MaxLoadHold = seconds(120);
/// The latest crashes of one suspect that are kept.
constexpr std::size_t MaxCharges = 8;
/// Time after which a suspect is forgotten that was served, that has too few
/// crashes, or that is quarantined and does not come any more.
constexpr duration ServedMemory = seconds(60);
constexpr duration SuspicionMemory = seconds(600);
constexpr duration QuarantineMemory = seconds(3600);

auto holdOf(const quarantine_policy &Policy, std::uint32_t ExcessCrashes)
    -> duration {
  return Policy.Hold * (1U << std::min(ExcessCrashes, MaxExcessCrashes));
}

} // namespace

auto crash_ledger::record::isCharged() const -> bool {
  return std::any_of(Charges.begin(), Charges.end(), [&](const auto &Charge) {
    return Charge.second.At > ServedAt;
  });
}

auto crash_ledger::record::lastCrashAt() const -> time_point {
  auto Last = time_point::min();
  for (const auto &[Run, Charge] : Charges)
    Last = std::max(Last, Charge.At);
  return Last;
}

auto nameOf(admission Admission) -> std::string_view {
  switch (Admission) {
  case admission::Allowed:
    return "allowed";
  case admission::OneAtATime:
    return "one_at_a_time";
  case admission::Trial:
    return "trial";
  case admission::Refused:
    return "refused";
  }
  return "allowed";
}

auto toString(const suspect &Suspect) -> std::string {
  std::ostringstream Text;
  Text << KindNames[static_cast<std::size_t>(Suspect.Kind)] << ":" << std::hex
       << Suspect.Id;
  return Text.str();
}

auto parseSuspect(std::string_view Text) -> std::optional<suspect> {
  constexpr int HexadecimalBase = 16;
  const auto Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const auto *Name =
      std::find(KindNames.begin(), KindNames.end(), Text.substr(0, Colon));
  if (Name == KindNames.end())
    return std::nullopt;
  suspect Suspect{static_cast<suspect_kind>(Name - KindNames.begin())};
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Suspect.Id,
                                      HexadecimalBase);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Suspect;
}

auto loadSuspect(const model_name &Model, const std::string &Adapter)
    -> suspect {
  return {suspect_kind::Load, stableHash(Model.Text + "/" + Adapter)};
}

auto crash_ledger::charge(const suspect &Suspect, const target_run &Run,
                          const crash_charge &Charge) -> bool {
  auto &Record = Records[Suspect];
  const auto [Known, New] = Record.Charges.emplace(Run, Charge);
  bool Changed = New;
  if (Charge.AnswerBegun && (New || !Known->second.AnswerBegun))
    ++BegunCharges[Run];
  if (!New) {
    // Of two times the earlier one had the shorter way.
    Known->second.At = std::min(Known->second.At, Charge.At);
    Changed |= Charge.AnswerBegun && !Known->second.AnswerBegun;
    Known->second.AnswerBegun |= Charge.AnswerBegun;
  }
  if (Record.Charges.size() > MaxCharges) {
    const auto Oldest =
        std::min_element(Record.Charges.begin(), Record.Charges.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.At < Right.second.At;
                         });
    forgetCharge(Oldest->first, Oldest->second);
    Record.Charges.erase(Oldest);
  }
  limitSize();
  return Changed;
}

auto crash_ledger::chargeAll(const std::vector<suspect> &Suspects,
                             const target_run &Run, const crash_charge &Charge)
    -> void {
  std::vector<suspect> Unknown;
  for (const auto &Suspect : Suspects)
    if (Records.contains(Suspect))
      charge(Suspect, Run, Charge);
    else
      Unknown.push_back(Suspect);
  for (const auto &Suspect : Unknown)
    charge(Suspect, Run, Charge);
}

auto crash_ledger::markServed(const suspect &Suspect, time_point At) -> bool {
  const auto Found = Records.find(Suspect);
  if (Found == Records.end())
    return false;
  const bool WasCharged = Found->second.isCharged();
  Found->second.ServedAt = std::max(Found->second.ServedAt, At);
  return WasCharged && !Found->second.isCharged();
}

auto crash_ledger::merge(const suspect_report &Report, time_point Now) -> bool {
  bool Changed = false;
  for (const auto &Charge : Report.Charges)
    Changed |= charge(Report.Suspect, Charge.Run,
                      {Now - milliseconds(Charge.AgeMs), Charge.AnswerBegun});
  if (Report.ServedAgeMs >= 0)
    Changed |=
        markServed(Report.Suspect, Now - milliseconds(Report.ServedAgeMs));
  if (Report.RefusedAgeMs >= 0)
    markRefused(Report.Suspect, Now - milliseconds(Report.RefusedAgeMs));
  return Changed;
}

auto crash_ledger::report(const suspect &Suspect, time_point Now) const
    -> suspect_report {
  suspect_report Report;
  Report.Suspect = Suspect;
  const auto Found = Records.find(Suspect);
  if (Found == Records.end())
    return Report;
  const auto &Record = Found->second;
  if (Record.ServedAt != time_point::min())
    Report.ServedAgeMs = toMilliseconds(Now - Record.ServedAt);
  if (Record.RefusedAt != time_point::min())
    Report.RefusedAgeMs = toMilliseconds(Now - Record.RefusedAt);
  for (const auto &[Run, Charge] : Record.Charges)
    Report.Charges.push_back(
        {Run, toMilliseconds(Now - Charge.At), Charge.AnswerBegun});
  return Report;
}

auto crash_ledger::snapshot(std::size_t MaxCharges, time_point Now) const
    -> std::vector<suspect_report> {
  std::vector<std::pair<suspect, const record *>> Ranked;
  for (const auto &[Suspect, Record] : Records)
    Ranked.emplace_back(Suspect, &Record);
  const auto RankOf = [](const record &Record) {
    return std::pair(Record.Charges.size(), Record.lastCrashAt());
  };
  std::sort(Ranked.begin(), Ranked.end(),
            [&](const auto &Left, const auto &Right) {
              return RankOf(*Left.second) > RankOf(*Right.second);
            });
  std::vector<suspect_report> Reports;
  std::size_t Charges = 0;
  for (const auto &[Suspect, Record] : Ranked) {
    Charges += Record->Charges.size();
    if (Charges > MaxCharges)
      break;
    Reports.push_back(report(Suspect, Now));
  }
  return Reports;
}

auto crash_ledger::hasBegunAnswer(const target_run &Run) const -> bool {
  return BegunCharges.contains(Run);
}

auto crash_ledger::forgetCharge(const target_run &Run,
                                const crash_charge &Charge) -> void {
  const auto Found = BegunCharges.find(Run);
  if (Charge.AnswerBegun && Found != BegunCharges.end() && --Found->second == 0)
    BegunCharges.erase(Found);
}

auto crash_ledger::isCounted(const record &Record, const target_run &Run) const
    -> bool {
  const auto Found = Record.Charges.find(Run);
  return Found != Record.Charges.end() && Found->second.At > Record.ServedAt &&
         (Found->second.AnswerBegun || !hasBegunAnswer(Run));
}

auto crash_ledger::countCrashes(const record &Record, bool BegunOnly) const
    -> std::uint32_t {
  std::vector<time_point> Times;
  for (const auto &[Run, Charge] : Record.Charges)
    if (BegunOnly ? Charge.AnswerBegun && Charge.At > Record.ServedAt
                  : isCounted(Record, Run))
      Times.push_back(Charge.At);
  std::sort(Times.begin(), Times.end());
  std::uint32_t Count = 0;
  time_point Counted;
  for (const auto At : Times)
    if (Count == 0 || At - Counted >= SameCrashSpan) {
      ++Count;
      Counted = At;
    }
  return Count;
}

auto crash_ledger::excessCrashes(const record &Record,
                                 const quarantine_policy &Policy) const
    -> std::optional<std::uint32_t> {
  if (Policy.Crashes == 0 || Record.Charges.size() < Policy.Crashes)
    return std::nullopt;
  if (const auto Begun = countCrashes(Record, true); Begun >= Policy.Crashes)
    return Begun - Policy.Crashes;
  const auto Needed = Policy.Crashes + MoreWithoutAnswer;
  if (Record.Charges.size() < Needed)
    return std::nullopt;
  if (const auto All = countCrashes(Record, false); All >= Needed)
    return All - Needed;
  return std::nullopt;
}

auto crash_ledger::crashesOf(const suspect &Suspect) const
    -> std::set<target_run> {
  std::set<target_run> Runs;
  if (const auto Found = Records.find(Suspect); Found != Records.end())
    for (const auto &[Run, Charge] : Found->second.Charges)
      if (Charge.At > Found->second.ServedAt)
        Runs.insert(Run);
  return Runs;
}

auto crash_ledger::countedRuns(const record &Record) const
    -> std::vector<target_run> {
  std::vector<target_run> Runs;
  for (const auto &[Run, Charge] : Record.Charges)
    if (isCounted(Record, Run))
      Runs.push_back(Run);
  return Runs;
}

auto crash_ledger::isExplained(const std::vector<target_run> &Runs,
                               const std::set<suspect> &Suspects) const
    -> bool {
  if (Runs.empty())
    return false;
  // Which of the runs each other suspect has, one bit a run. Most of them are
  // alike.
  std::set<std::uint32_t> Others;
  for (const auto &[Other, Record] : Records) {
    if (Suspects.contains(Other))
      continue;
    std::uint32_t Mask = 0;
    for (std::size_t I = 0; I < Runs.size(); ++I)
      Mask |= isCounted(Record, Runs[I]) ? 1U << I : 0U;
    Others.insert(Mask);
  }
  const std::uint32_t All = (1U << Runs.size()) - 1;
  return std::any_of(Others.begin(), Others.end(), [&](std::uint32_t First) {
    return std::any_of(Others.begin(), Others.end(), [&](std::uint32_t Second) {
      return (First | Second) == All;
    });
  });
}

auto crash_ledger::decide(const std::vector<suspect> &Suspects,
                          const quarantine_policy &Policy, time_point Now) const
    -> suspect_verdict {
  suspect_verdict Verdict;
  std::set<suspect> Known;
  for (const auto &Suspect : Suspects)
    if (Records.contains(Suspect))
      Known.insert(Suspect);
  // Suspects of one prompt mostly have the same crashes.
  std::map<std::vector<target_run>, bool> Explained;
  for (const auto &Suspect : Known) {
    const auto &Record = Records.at(Suspect);
    const auto Excess = excessCrashes(Record, Policy);
    if (!Excess)
      continue;
    auto HoldUntil = Record.lastCrashAt() + holdOf(Policy, *Excess);
    auto Admission = admission::Refused;
    if (*Excess >= MaxExcessCrashes)
      HoldUntil = std::max(HoldUntil, Now + Policy.Hold);
    if (Now >= HoldUntil)
      Admission = admission::Trial;
    else {
      const auto [Found, IsNew] = Explained.emplace(countedRuns(Record), false);
      if (IsNew)
        Found->second = isExplained(Found->first, Known);
      if (Found->second)
        Admission = admission::OneAtATime;
    }
    if (Admission > Verdict.Admission)
      Verdict = {Admission, Suspect, HoldUntil};
    if (Verdict.Admission == admission::Refused)
      break;
  }
  return Verdict;
}

auto crash_ledger::loadHeldUntil(const suspect &Load) const -> time_point {
  const auto Crashes = crashesOf(Load).size();
  if (Crashes < LoadCrashes)
    return {};
  auto Hold = LoadHold;
  for (auto I = LoadCrashes; I < Crashes; ++I)
    Hold = std::min(Hold * LoadHoldGrowth, MaxLoadHold);
  return Records.at(Load).lastCrashAt() + Hold;
}

auto crash_ledger::markRefused(const suspect &Suspect, time_point At) -> void {
  if (const auto Found = Records.find(Suspect); Found != Records.end())
    Found->second.RefusedAt = std::max(Found->second.RefusedAt, At);
}

auto crash_ledger::expire(const quarantine_policy &Policy, time_point Now)
    -> void {
  std::erase_if(Records, [&](const auto &Known) {
    const auto &Record = Known.second;
    const auto LastAt = std::max(Record.lastCrashAt(), Record.RefusedAt);
    const auto UsedAt =
        Record.isCharged() ? LastAt : std::max(LastAt, Record.ServedAt);
    const auto Memory = !Record.isCharged()             ? ServedMemory
                        : excessCrashes(Record, Policy) ? QuarantineMemory
                                                        : SuspicionMemory;
    if (Now - UsedAt < Memory)
      return false;
    for (const auto &[Run, Charge] : Record.Charges)
      forgetCharge(Run, Charge);
    return true;
  });
}

auto crash_ledger::limitSize() -> void {
  if (Records.size() <= MaxSuspects)
    return;
  // Many at a time, as ranking them takes longer than a charge.
  constexpr std::size_t RemovedAtATime = MaxSuspects / 8;
  using rank = std::tuple<std::uint32_t, time_point, suspect>;
  std::vector<rank> Ranks;
  Ranks.reserve(Records.size());
  for (const auto &[Suspect, Record] : Records)
    Ranks.emplace_back(countCrashes(Record, true), Record.lastCrashAt(),
                       Suspect);
  std::nth_element(Ranks.begin(), Ranks.begin() + RemovedAtATime, Ranks.end());
  for (std::size_t I = 0; I < RemovedAtATime; ++I) {
    const auto Removed = Records.find(std::get<suspect>(Ranks[I]));
    for (const auto &[Run, Charge] : Removed->second.Charges)
      forgetCharge(Run, Charge);
    Records.erase(Removed);
  }
}

auto crash_ledger::suspectsAfter(const suspect &Last, std::size_t Count) const
    -> std::vector<suspect> {
  std::vector<suspect> Suspects;
  auto Next = Records.upper_bound(Last);
  for (std::size_t I = 0; I < std::min(Count, Records.size()); ++I, ++Next) {
    if (Next == Records.end())
      Next = Records.begin();
    Suspects.push_back(Next->first);
  }
  return Suspects;
}

auto crash_ledger::suspects() const -> std::vector<suspect> {
  std::vector<suspect> Suspects;
  Suspects.reserve(Records.size());
  for (const auto &[Suspect, Record] : Records)
    Suspects.push_back(Suspect);
  return Suspects;
}

auto crash_ledger::isQuarantined(const suspect &Suspect,
                                 const quarantine_policy &Policy) const
    -> bool {
  const auto Found = Records.find(Suspect);
  return Found != Records.end() && excessCrashes(Found->second, Policy);
}

auto crash_ledger::quarantined(const quarantine_policy &Policy) const
    -> std::vector<suspect> {
  std::vector<suspect> Suspects;
  for (const auto &[Suspect, Record] : Records)
    if (excessCrashes(Record, Policy))
      Suspects.push_back(Suspect);
  return Suspects;
}

} // namespace limpetbridge::serving
