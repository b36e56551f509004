/// \file
/// What may have caused crashes of targets, and whether requests that have it
/// may be sent.
///
/// A crash is charged to all suspects of the requests that the target was about
/// to answer or had just begun to answer. What was answered since is not the
/// cause. A suspect that is left after several crashes is quarantined.
#ifndef LIMPETBRIDGE_SERVING_CRASH_LEDGER_H
#define LIMPETBRIDGE_SERVING_CRASH_LEDGER_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge::serving {

/// What a suspect is.
enum class suspect_kind : std::uint8_t {
  Part,   ///< A part of prompts, whatever else they have.
  Prompt, ///< All parts of a prompt together: a request that comes again.
  Load    ///< Loading a model or an adapter.
};

/// Something in requests that may crash targets.
struct suspect {
  suspect_kind Kind = suspect_kind::Part;
  std::uint64_t Id = 0; ///< Of the part, or a hash of the whole thing.
  auto operator<=>(const suspect &) const = default;
};

/// Formats as kind and id, such as `part:5c1e07a2`; the id is hexadecimal.
[[nodiscard]] auto toString(const suspect &Suspect) -> std::string;
/// Parses what toString formats; none if \p Text is something else.
[[nodiscard]] auto parseSuspect(std::string_view Text)
    -> std::optional<suspect>;

/// One run of a target.
struct target_run {
  target_name Target;
  std::uint64_t Incarnation = 0; ///< Start of the run, Unix ms.
  auto operator<=>(const target_run &) const = default;
};

/// The load of \p Model or, if not empty, of \p Adapter of it.
[[nodiscard]] auto loadSuspect(const model_name &Model,
                               const std::string &Adapter) -> suspect;

/// A crash as it is charged to a suspect.
struct crash_charge {
  time_point At;
  /// The answer to a request with the suspect had begun. Otherwise the request
  /// may have been waiting, which is weaker evidence.
  bool AnswerBegun = false;
};

/// What one gateway knows of one suspect, for others. Ages, because clocks of
/// two machines are not comparable.
struct suspect_report {
  struct charge {
    target_run Run;
    std::int64_t AgeMs = 0;
    bool AnswerBegun = false;
  };
  suspect Suspect;
  std::int64_t ServedAgeMs = -1; ///< Below 0: not served since the first crash.
  std::int64_t RefusedAgeMs = -1; ///< Below 0: no request was refused for it.
  std::vector<charge> Charges;
};

/// When suspects are quarantined, and for how long.
struct quarantine_policy {
  /// Crashes under an answer that had begun, from which on a suspect is
  /// quarantined; 0: never. Two more if no answer had begun.
  std::uint32_t Crashes = 3;
  /// Time from the last crash until one request with the suspect is tried. It
  /// doubles with each further crash; from the second further one on, only an
  /// operator or time lifts the quarantine.
  duration Hold = seconds(120);
};

/// Whether a request may be sent, as far as its suspects decide it.
enum class admission : std::uint8_t {
  Allowed,
  /// One or two other suspects explain the crashes as well, and this request
  /// does not have them: sent if no such request is in progress.
  OneAtATime,
  Trial,  ///< The hold is over: one gateway may send one request.
  Refused ///< It has a quarantined suspect.
};

/// Name of the admission on pages and in logs.
[[nodiscard]] auto nameOf(admission Admission) -> std::string_view;

/// An admission and the suspect that decided it.
struct suspect_verdict {
  admission Admission = admission::Allowed;
  suspect Suspect;
  time_point HoldUntil; ///< Until when the suspect is held at least.
};

/// The crashes that are charged to suspects. What is known merges in any order:
/// charges are a set, and the latest answer wins.
class crash_ledger {
public:
  /// Suspects that are kept: all parts that a head of 64 KB, the longest that a
  /// gateway reads, can name, or those of four prompts with heads of 16 KB. So
  /// the parts of one prompt never displace each other.
  static constexpr std::size_t MaxSuspects = std::size_t{16} * 1024;

  /// Charges the crash of \p Run to \p Suspect. \returns true if it was not
  /// known.
  auto charge(const suspect &Suspect, const target_run &Run,
              const crash_charge &Charge) -> bool;
  /// Charges all of \p Suspects. Those that are known come first, so that the
  /// others do not displace them.
  auto chargeAll(const std::vector<suspect> &Suspects, const target_run &Run,
                 const crash_charge &Charge) -> void;
  /// Records that a request with \p Suspect was answered beyond its begin.
  /// \returns true if crashes were charged to it until then.
  auto markServed(const suspect &Suspect, time_point At) -> bool;
  /// Merges the report of another gateway. \returns true if it changed what is
  /// known.
  auto merge(const suspect_report &Report, time_point Now) -> bool;
  /// What is known of \p Suspect, for other gateways.
  [[nodiscard]] auto report(const suspect &Suspect, time_point Now) const
      -> suspect_report;

  /// What is known of all suspects, at most \p MaxCharges charges: of those
  /// with the most crashes first, then the latest.
  [[nodiscard]] auto snapshot(std::size_t MaxCharges, time_point Now) const
      -> std::vector<suspect_report>;

  /// Decides on a request with \p Suspects.
  [[nodiscard]] auto decide(const std::vector<suspect> &Suspects,
                            const quarantine_policy &Policy,
                            time_point Now) const -> suspect_verdict;

  /// Until when a load is held back that targets crashed on since it last
  /// succeeded: longer with each crash. The past if it is not.
  [[nodiscard]] auto loadHeldUntil(const suspect &Load) const -> time_point;

  /// Records that a request was refused for \p Suspect: it is not forgotten
  /// while such requests come.
  auto markRefused(const suspect &Suspect, time_point At) -> void;

  /// Forgets suspects that were served, and those without a crash or a refused
  /// request for long.
  auto expire(const quarantine_policy &Policy, time_point Now) -> void;

  [[nodiscard]] auto empty() const -> bool { return Records.empty(); }
  /// Up to \p Count suspects in order, from the one after \p Last on; the first
  /// ones follow the last one.
  [[nodiscard]] auto suspectsAfter(const suspect &Last, std::size_t Count) const
      -> std::vector<suspect>;
  /// All known suspects, in order.
  [[nodiscard]] auto suspects() const -> std::vector<suspect>;
  /// True if \p Suspect is quarantined or on trial.
  [[nodiscard]] auto isQuarantined(const suspect &Suspect,
                                   const quarantine_policy &Policy) const
      -> bool;
  /// All of them.
  [[nodiscard]] auto quarantined(const quarantine_policy &Policy) const
      -> std::vector<suspect>;
  /// Crashes that are charged to \p Suspect since it was last served.
  [[nodiscard]] auto crashesOf(const suspect &Suspect) const
      -> std::set<target_run>;

private:
  struct record {
    std::map<target_run, crash_charge> Charges;
    /// When it was last served and last refused; the minimum if it was not.
    time_point ServedAt = time_point::min();
    time_point RefusedAt = time_point::min();

    /// True if a crash is charged since the suspect was last served.
    [[nodiscard]] auto isCharged() const -> bool;
    [[nodiscard]] auto lastCrashAt() const -> time_point;
  };

  /// True if the crash of \p Run counts against the suspect of \p Record: it
  /// was not served since, and did not just wait beside an answer that had
  /// begun.
  [[nodiscard]] auto isCounted(const record &Record,
                               const target_run &Run) const -> bool;
  /// Crashes at different times that are charged since the suspect was last
  /// served; with \p BegunOnly those under an answer that had begun.
  [[nodiscard]] auto countCrashes(const record &Record, bool BegunOnly) const
      -> std::uint32_t;
  /// Crashes beyond those that quarantine a suspect; none if it is not.
  [[nodiscard]] auto excessCrashes(const record &Record,
                                   const quarantine_policy &Policy) const
      -> std::optional<std::uint32_t>;
  /// Crashes that count against the suspect of \p Record, in order.
  [[nodiscard]] auto countedRuns(const record &Record) const
      -> std::vector<target_run>;
  /// True if one or two suspects that are not among \p Suspects have all of
  /// \p Runs, of which there is one at least.
  [[nodiscard]] auto isExplained(const std::vector<target_run> &Runs,
                                 const std::set<suspect> &Suspects) const
      -> bool;
  /// True if an answer had begun under some suspect when \p Run crashed.
  [[nodiscard]] auto hasBegunAnswer(const target_run &Run) const -> bool;
  /// Takes note that a charge is removed.
  auto forgetCharge(const target_run &Run, const crash_charge &Charge) -> void;
  /// Removes suspects with the fewest crashes, if there are too many.
  auto limitSize() -> void;

  std::map<suspect, record> Records;
  /// Charges under an answer that had begun, by the run that crashed.
  std::map<target_run, std::size_t> BegunCharges;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_CRASH_LEDGER_H
