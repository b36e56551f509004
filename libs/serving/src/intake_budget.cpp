#include "serving/intake_budget.h"

namespace limpetbridge::serving {

namespace {

// Ranks of the queue for room.
constexpr int SmallRank = 0;
constexpr int AdmittedRank = 1;
constexpr int LargeRank = 2;
/// Connections that are ended at a time so that others can be opened: one in
/// so many.
constexpr std::size_t EndingShare = 16;

auto arrives(intake_phase Phase) -> bool {
  return Phase == intake_phase::Head || Phase == intake_phase::Body;
}

} // namespace

auto nameOf(intake_group Group) -> std::string_view {
  switch (Group) {
  case intake_group::Callers:
    return "callers";
  case intake_group::Readiness:
    return "readiness";
  case intake_group::Metrics:
    return "metrics";
  case intake_group::Peers:
    return "peers";
  case intake_group::Link:
    return "link";
  }
  return "callers";
}

auto nameOf(intake_end End) -> std::string_view {
  switch (End) {
  case intake_end::Idle:
    return "idle";
  case intake_end::TooSlow:
    return "too_slow";
  case intake_end::Overloaded:
    return "overloaded";
  case intake_end::Unread:
    return "unread";
  }
  return "idle";
}

intake_budget::intake_budget(const intake_options &BudgetOptions)
    : Options(BudgetOptions) {}

auto intake_budget::mayOpen(intake_group Group) const -> bool {
  return connectionCount(Group) <
         Options.MaxConnections[static_cast<std::size_t>(Group)];
}

auto intake_budget::open(intake_group Group, time_point Now) -> intake_id {
  auto &Connection = Connections[++LastId];
  Connection.Group = Group;
  Connection.ProgressAt = Now;
  ++Counts[static_cast<std::size_t>(Group)];
  return LastId;
}

auto intake_budget::close(intake_id Id) -> void {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  auto &Connection = Found->second;
  stopWaiting(Connection);
  leaveLarge(Connection);
  count(Connection, {}, 0);
  --Counts[static_cast<std::size_t>(Connection.Group)];
  Connections.erase(Found);
}

auto intake_budget::count(connection &Connection, const intake_holding &Holding,
                          std::size_t Granted) -> void {
  Held -= Connection.counted();
  Connection.Holding = Holding;
  Connection.Granted = Granted;
  Held += Connection.counted();
}

auto intake_budget::update(intake_id Id, const intake_holding &Holding,
                           time_point Now) -> void {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  auto &Connection = Found->second;
  const bool NewPhase = Holding.Phase != Connection.Holding.Phase;
  if (NewPhase ||
      Holding.MovedBytes - Connection.MovedMark >= Options.ProgressBytes) {
    Connection.ProgressAt = Now;
    Connection.MovedMark = Holding.MovedBytes;
  }
  // It goes on: the request arrived before the connection was ended.
  if (NewPhase && (Holding.Phase == intake_phase::Head ||
                   Holding.Phase == intake_phase::Serving ||
                   Holding.Phase == intake_phase::Idle))
    Connection.Ending = false;
  if (!arrives(Holding.Phase))
    stopWaiting(Connection);
  if (Holding.Phase != intake_phase::Body)
    leaveLarge(Connection);
  count(Connection, Holding, 0);
}

auto intake_budget::fits(const connection &Connection, std::size_t Bytes) const
    -> bool {
  const auto Others = Held - Connection.counted();
  if (!isLarge(Bytes))
    return Others + Bytes <= Options.LimitBytes;
  std::size_t OldestNeeds = 0;
  if (!LargeBodies.empty()) {
    const auto &Oldest = Connections.at(LargeBodies.begin()->second);
    if (&Oldest != &Connection &&
        Oldest.Holding.LargestBytes > Oldest.counted())
      OldestNeeds = Oldest.Holding.LargestBytes - Oldest.counted();
  }
  return Others + Bytes + OldestNeeds + Options.ReserveBytes <=
         Options.LimitBytes;
}

auto intake_budget::grant(intake_id Id, connection &Connection,
                          std::size_t Bytes) -> void {
  if (isLarge(Bytes) && Connection.Holding.Phase == intake_phase::Body &&
      Connection.Admission == 0) {
    Connection.Admission = ++LastPlace;
    LargeBodies[Connection.Admission] = Id;
  }
  count(Connection, Connection.Holding, Bytes);
}

auto intake_budget::requestRoom(intake_id Id, std::size_t Bytes, time_point Now)
    -> bool {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return true;
  auto &Connection = Found->second;
  if (Bytes <= Connection.counted())
    return true;
  if (Connection.Wanted > 0)
    return false;
  const auto Rank = !isLarge(Bytes)             ? SmallRank
                    : Connection.Admission != 0 ? AdmittedRank
                                                : LargeRank;
  const bool OthersComeFirst =
      Rank == LargeRank &&
      Waiting.lower_bound(place(AdmittedRank, 0)) != Waiting.end();
  if (!OthersComeFirst && fits(Connection, Bytes)) {
    grant(Id, Connection, Bytes);
    return true;
  }
  Connection.Wanted = Bytes;
  Connection.WaitsSince = Now;
  Connection.Place = {Rank, Rank == AdmittedRank ? Connection.Admission
                                                 : ++LastPlace};
  Waiting[Connection.Place] = Id;
  return false;
}

auto intake_budget::stopWaiting(connection &Connection) -> void {
  if (Connection.Wanted > 0)
    Waiting.erase(Connection.Place);
  Connection.Wanted = 0;
}

auto intake_budget::leaveLarge(connection &Connection) -> void {
  LargeBodies.erase(Connection.Admission);
  Connection.Admission = 0;
}

auto intake_budget::admitWaiting(time_point Now) -> std::vector<intake_id> {
  std::vector<intake_id> Admitted;
  while (!Waiting.empty()) {
    const auto Id = Waiting.begin()->second;
    auto &Connection = Connections.at(Id);
    // Those behind it are not smaller, or have to let it pass.
    if (!fits(Connection, Connection.Wanted))
      break;
    const auto Bytes = Connection.Wanted;
    stopWaiting(Connection);
    grant(Id, Connection, Bytes);
    Connection.ProgressAt = Now;
    Admitted.push_back(Id);
  }
  return Admitted;
}

auto intake_budget::endOfStalled(const connection &Connection,
                                 time_point Now) const
    -> std::optional<intake_end> {
  if (Connection.Ending || Connection.Wanted > 0 ||
      Now - Connection.ProgressAt < Options.StallTime)
    return std::nullopt;
  switch (Connection.Holding.Phase) {
  case intake_phase::New:
    return intake_end::Idle;
  case intake_phase::Head:
  case intake_phase::Body:
    return intake_end::TooSlow;
  case intake_phase::Writing:
    return intake_end::Unread;
  case intake_phase::Idle:
  case intake_phase::Serving:
    break;
  }
  return std::nullopt;
}

auto intake_budget::findStalled(std::optional<intake_group> Group,
                                time_point Now) const
    -> std::vector<intake_ending> {
  std::vector<std::pair<time_point, intake_ending>> Found;
  for (const auto &[Id, Connection] : Connections)
    if (!Group || Connection.Group == *Group)
      if (const auto End = endOfStalled(Connection, Now))
        Found.push_back({Connection.ProgressAt, {Id, *End}});
  std::stable_sort(Found.begin(), Found.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  std::vector<intake_ending> Endings;
  Endings.reserve(Found.size());
  for (const auto &[ProgressAt, Ending] : Found)
    Endings.push_back(Ending);
  return Endings;
}

auto intake_budget::findIdle(std::optional<intake_group> Group) const
    -> std::vector<intake_ending> {
  std::vector<std::pair<time_point, intake_id>> Found;
  for (const auto &[Id, Connection] : Connections)
    if ((!Group || Connection.Group == *Group) && !Connection.Ending &&
        Connection.Holding.Phase == intake_phase::Idle)
      Found.emplace_back(Connection.ProgressAt, Id);
  std::sort(Found.begin(), Found.end());
  std::vector<intake_ending> Endings;
  Endings.reserve(Found.size());
  for (const auto &[ProgressAt, Id] : Found)
    Endings.push_back({Id, intake_end::Idle});
  return Endings;
}

auto intake_budget::findLargest() const -> std::vector<intake_ending> {
  std::vector<std::pair<std::size_t, intake_id>> Found;
  for (const auto &[Id, Connection] : Connections)
    if (!Connection.Ending && Connection.Holding.Phase == intake_phase::Body &&
        isLarge(Connection.counted()))
      Found.emplace_back(Connection.counted(), Id);
  std::sort(Found.rbegin(), Found.rend());
  std::vector<intake_ending> Endings;
  Endings.reserve(Found.size());
  for (const auto &[Bytes, Id] : Found)
    Endings.push_back({Id, intake_end::Overloaded});
  return Endings;
}

auto intake_budget::endingBytes() const -> std::size_t {
  std::size_t Sum = 0;
  for (const auto &[Id, Connection] : Connections)
    Sum += Connection.Ending ? Connection.counted() : 0;
  return Sum;
}

auto intake_budget::endSome(const std::vector<intake_ending> &Candidates,
                            std::size_t Needed,
                            std::vector<intake_ending> &Endings) -> void {
  auto Freed = endingBytes();
  for (const auto &Candidate : Candidates) {
    if (Freed >= Needed)
      return;
    auto &Connection = Connections.at(Candidate.Id);
    Connection.Ending = true;
    Freed += Connection.counted();
    Endings.push_back(Candidate);
  }
}

auto intake_budget::endForRoom(time_point Now) -> std::vector<intake_ending> {
  std::vector<intake_ending> Endings;
  std::size_t Needed = 0;
  std::size_t SmallNeeded = 0;
  for (auto Next = Waiting.begin(); Next != Waiting.end();) {
    const auto [Place, Id] = *Next++;
    auto &Connection = Connections.at(Id);
    if (Now - Connection.WaitsSince >= Options.MaxWait) {
      stopWaiting(Connection);
      Connection.Ending = true;
      Endings.push_back({Id, intake_end::Overloaded});
      continue;
    }
    Needed += Connection.missing();
    SmallNeeded += Place.first == SmallRank ? Connection.missing() : 0;
  }
  if (Needed > 0)
    endSome(findStalled(std::nullopt, Now), Needed, Endings);
  if (SmallNeeded > 0) {
    endSome(findIdle(std::nullopt), SmallNeeded, Endings);
    endSome(findLargest(), SmallNeeded, Endings);
  }
  return Endings;
}

auto intake_budget::endForConnection(intake_group Group, time_point Now)
    -> std::vector<intake_ending> {
  // Those that were named before have to be closed first.
  for (const auto &[Id, Connection] : Connections)
    if (Connection.Ending && Connection.Group == Group)
      return {};
  auto Endings = findIdle(Group);
  if (Endings.empty())
    Endings = findStalled(Group, Now);
  const auto Limit = Options.MaxConnections[static_cast<std::size_t>(Group)];
  Endings.resize(
      std::min(Endings.size(), std::max<std::size_t>(1, Limit / EndingShare)));
  for (const auto &Ending : Endings)
    Connections.at(Ending.Id).Ending = true;
  return Endings;
}

} // namespace limpetbridge::serving
