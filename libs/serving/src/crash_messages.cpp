#include "serving/crash_messages.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Limits of one message: a suspect of a group takes 9 bytes, a charge with the
/// name of its target some 60.
constexpr std::size_t MaxSuspects = 100;
constexpr std::size_t MaxCharges = 16;
/// Suspects of which the same is known are written one by one up to this
/// number, and as a group beyond.
constexpr std::size_t SmallGroup = 2;

/// Hash of the kind and of all that is known but the suspect's id.
auto hashOf(const suspect_report &Report) -> std::uint64_t {
  auto Hash = stableHash(std::to_string(Report.ServedAgeMs),
                         static_cast<std::uint64_t>(Report.Suspect.Kind));
  Hash = stableHash(std::to_string(Report.RefusedAgeMs), Hash);
  for (const auto &Charge : Report.Charges) {
    Hash = stableHash(Charge.Run.Target.Text, Hash);
    Hash = stableHash(std::to_string(Charge.Run.Incarnation), Hash);
    Hash = stableHash(std::to_string(Charge.AgeMs), Hash);
    Hash = stableHash(Charge.AnswerBegun ? "begun" : "waiting", Hash);
  }
  return Hash;
}

} // namespace

auto groupSuspects(const std::vector<suspect_report> &Reports)
    -> std::vector<suspect_group> {
  std::vector<suspect_group> Groups;
  std::map<std::uint64_t, std::size_t> Indices;
  for (const auto &Report : Reports) {
    const auto [Index, IsNew] = Indices.emplace(hashOf(Report), Groups.size());
    if (IsNew)
      Groups.push_back({Report, {}});
    Groups[Index->second].Ids.push_back(Report.Suspect.Id);
  }
  // Few alike are written one by one, which every version reads.
  std::vector<suspect_group> Written;
  for (auto &Group : Groups) {
    if (Group.Ids.size() > SmallGroup) {
      Written.push_back(std::move(Group));
      continue;
    }
    for (const auto Id : Group.Ids) {
      Written.push_back({Group.Known, {Id}});
      Written.back().Known.Suspect.Id = Id;
    }
  }
  return Written;
}

auto crash_message_size::add(const suspect_report &Report) -> bool {
  const auto Hash = hashOf(Report);
  const auto Found = MembersOf.find(Hash);
  const bool IsWritten = Found == MembersOf.end() || Found->second < SmallGroup;
  const auto More = IsWritten ? Report.Charges.size() : 0;
  if (Suspects > 0 && (Suspects >= MaxSuspects || Charges + More > MaxCharges))
    return false;
  ++MembersOf[Hash];
  ++Suspects;
  Charges += More;
  return true;
}

auto splitReports(const std::vector<suspect_report> &Reports)
    -> std::vector<std::vector<suspect_report>> {
  // Those with the most charges first: a ledger that is full drops others for
  // what comes later.
  using key = std::pair<std::size_t, std::uint64_t>;
  std::vector<std::pair<key, const suspect_report *>> Sorted;
  Sorted.reserve(Reports.size());
  for (const auto &Report : Reports)
    Sorted.emplace_back(key(Report.Charges.size(), hashOf(Report)), &Report);
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  std::vector<std::vector<suspect_report>> Messages;
  crash_message_size Size;
  for (const auto &[Key, Report] : Sorted) {
    const bool Fits = !Messages.empty() && Size.add(*Report);
    if (!Fits) {
      Messages.emplace_back();
      Size = {};
      (void)Size.add(*Report);
    }
    Messages.back().push_back(*Report);
  }
  return Messages;
}

} // namespace limpetbridge::serving
