#include "stop_judge.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace limpetbridge::soak {

namespace {

constexpr std::array KindNames = {"idempotent", "non_idempotent", "stream"};
/// Statuses that promise that a request has not run and will not.
constexpr std::array Refusals = {408, 421, 429, 503};

/// Milliseconds from the start of the soak.
auto print(const soak_record &Record, optional_time Time) -> std::string {
  return Time ? std::to_string(toMilliseconds(*Time - Record.Began)) : "none";
}

auto print(const soak_record &Record, const sent_request &Request,
           const std::vector<worker_copy> &Copies) -> std::string {
  const auto &Life = Record.Processes.at(Request.Process);
  std::ostringstream Text;
  Text << ": request " << Request.Id << ' '
       << KindNames.at(static_cast<std::size_t>(Request.Kind)) << " connection "
       << Request.Connection << " of " << Life.Name << " written "
       << print(Record, Request.WrittenAt) << " ended "
       << print(Record, Request.EndedAt) << " deadline "
       << print(Record, Request.Deadline) << " status " << Request.Status
       << " (" << Request.Outcome << ") seen read " << Request.Read;
  for (const auto &Copy : Copies)
    Text << ", at " << Copy.Worker << ' ' << print(Record, Copy.ArrivedAt)
         << " to " << print(Record, Copy.EndedAt);
  Text << "; SIGTERM " << print(Record, Life.StopAt) << " process ended "
       << print(Record, Life.EndedAt);
  return Text.str();
}

/// Whether \p Request may end without a complete answer: its time was up, a
/// worker broke it off, or it is a stream, sent in the first 3/8 of the grace
/// period at the latest, that a worker was still at work on in the last sixth.
auto mayBeCut(const soak_record &Record, const sent_request &Request,
              const std::vector<worker_copy> &Copies) -> bool {
  if (Request.EndedAt && *Request.EndedAt >= Request.Deadline)
    return true;
  if (std::any_of(Copies.begin(), Copies.end(),
                  [](const auto &Copy) { return Copy.BrokenOff; }))
    return true;
  const auto Stop = Record.Processes.at(Request.Process).StopAt;
  if (Request.Kind != request_kind::Stream || !Stop ||
      *Request.WrittenAt > *Stop + Record.Grace * 3 / 8)
    return false;
  const auto LastSixth = *Stop + Record.Grace * 5 / 6;
  return std::any_of(Copies.begin(), Copies.end(), [&](const auto &Copy) {
    return Copy.Ran && Copy.EndedAt.value_or(NoDeadline) >= LastSixth;
  });
}

auto judgeRequest(const soak_record &Record, const sent_request &Request,
                  verdict &Verdict) -> void {
  const auto Found = Record.Copies.find(Request.Id);
  const auto Copies =
      Found == Record.Copies.end() ? std::vector<worker_copy>() : Found->second;
  const auto Report = [&](const std::string &What) {
    Verdict.Broken.push_back(What + print(Record, Request, Copies));
  };
  const auto Runs =
      std::count_if(Copies.begin(), Copies.end(),
                    [](const worker_copy &Copy) { return Copy.Ran; });
  Verdict.Read += Request.Read ? 1 : 0;
  if (Request.Kind == request_kind::NonIdempotent && Runs > 1)
    Report("ran twice");
  if (!Request.Fault.empty())
    Report(Request.Fault);
  if (Request.Complete && std::find(Refusals.begin(), Refusals.end(),
                                    Request.Status) != Refusals.end()) {
    ++Verdict.Refused;
    if (Runs > 0)
      Report("refused and ran");
  } else if (Request.Complete) {
    ++Verdict.Answered;
  } else if (!Request.WrittenAt || (Copies.empty() && !Request.Read)) {
    ++Verdict.Unread;
  } else {
    ++Verdict.Cut;
    if (!mayBeCut(Record, Request, Copies))
      Report("no complete answer");
  }
}

auto judgeProcess(const soak_record &Record, const process_life &Life,
                  verdict &Verdict) -> void {
  std::string What;
  if (!Life.StopAt || !Life.EndedAt)
    What = Life.EndedAt ? "process ended by itself" : "process did not end";
  else if (Life.Status != 0)
    What = "exit status " + std::to_string(Life.Status);
  else if (*Life.EndedAt > *Life.StopAt + Record.Grace)
    What = "process ended late";
  if (!What.empty())
    Verdict.Broken.push_back(What + ": " + Life.Name + " SIGTERM " +
                             print(Record, Life.StopAt) + " ended " +
                             print(Record, Life.EndedAt));
}

} // namespace

auto judge(const soak_record &Record) -> verdict {
  verdict Verdict;
  for (const auto &Request : Record.Requests)
    judgeRequest(Record, Request, Verdict);
  for (const auto &Life : Record.Processes)
    judgeProcess(Record, Life, Verdict);
  return Verdict;
}

} // namespace limpetbridge::soak
