#include "base/timeline.h"

#include <algorithm>
#include <array>
#include <utility>

namespace limpetbridge {

namespace {

/// Names of note_kind, in the order of its enumerators.
constexpr std::array<std::string_view, 21> KindNames = {
    "request_arrived",  "attempt_started", "attempt_refused",   "attempt_ended",
    "request_ended",    "work_queued",     "work_dispatched",   "work_ended",
    "claim_written",    "order_sent",      "order_settled",     "model_evicted",
    "change_accepted",  "change_refused",  "revision_in_force", "target_slow",
    "target_recovered", "target_leaving",  "drain_started",     "fence_raised",
    "stream_abandoned"};

} // namespace

auto nameOf(note_kind Kind) -> std::string_view {
  return KindNames.at(static_cast<std::size_t>(Kind));
}

auto matches(const note_filter &Filter, const note &Note) -> bool {
  if (!Note.Request.starts_with(Filter.Request))
    return false;
  if (!Filter.Target.empty() && Note.Target != Filter.Target)
    return false;
  return Filter.Change.empty() || Note.Change == Filter.Change;
}

timeline::timeline(instance_name Instance, std::size_t Limit)
    : Instance(std::move(Instance)), Limit(Limit) {}

auto timeline::append(hybrid_stamp Stamp, note Note) -> void {
  const std::lock_guard Lock(Mutex);
  Notes.push_back({Stamp, Instance, std::move(Note)});
  if (Notes.size() > Limit)
    Notes.pop_front();
}

auto timeline::select(const note_filter &Filter) const
    -> std::vector<stamped_note> {
  const std::lock_guard Lock(Mutex);
  std::vector<stamped_note> Selected;
  std::copy_if(Notes.begin(), Notes.end(), std::back_inserter(Selected),
               [&](const stamped_note &Stamped) {
                 return matches(Filter, Stamped.Note);
               });
  return Selected;
}

auto merge(std::vector<stamped_note> Notes) -> std::vector<stamped_note> {
  std::stable_sort(Notes.begin(), Notes.end(),
                   [](const stamped_note &Left, const stamped_note &Right) {
                     return Left.Stamp < Right.Stamp;
                   });
  return Notes;
}

} // namespace limpetbridge
