#include "core/effects.h"
#include "core/state.h"

#include <array>

namespace limpetbridge {

namespace {

/// Name of an enumerator; the tables below are in the order of the enumerators.
template <typename kind, std::size_t count>
auto nameAt(const std::array<std::string_view, count> &Names, kind Kind)
    -> std::string_view {
  return Names.at(static_cast<std::size_t>(Kind));
}

constexpr std::array<std::string_view, 2> WorkKinds = {"generate", "call"};
constexpr std::array<std::string_view, 2> Roles = {"entry", "agent"};
constexpr std::array<std::string_view, 2> TargetKinds = {"engine", "service"};
constexpr std::array<std::string_view, 4> StoreStatuses = {
    "applied", "conflict", "refused", "no_answer"};
constexpr std::array<std::string_view, 4> TargetEnds = {"whole", "refused",
                                                        "unsent", "broken"};
constexpr std::array<std::string_view, 4> OrderStatuses = {
    "done", "stale", "refused", "no_answer"};
constexpr std::array<std::string_view, 3> OrderKinds = {"load", "unload",
                                                        "fence"};
constexpr std::array<std::string_view, 6> UnitStates = {
    "absent", "intending", "loading", "resident", "unloading", "uncertain"};
constexpr std::array<std::string_view, 6> AuthorityPhases = {
    "reading_fence", "writing_fence", "reading_intents",
    "probing",       "held",          "superseded"};
constexpr std::array<std::string_view, 4> WorkPhases = {"queued", "claiming",
                                                        "running", "settling"};

} // namespace

auto nameOf(work_kind Kind) -> std::string_view {
  return nameAt(WorkKinds, Kind);
}
auto nameOf(instance_role Role) -> std::string_view {
  return nameAt(Roles, Role);
}
auto nameOf(target_kind Kind) -> std::string_view {
  return nameAt(TargetKinds, Kind);
}
auto nameOf(store_status Status) -> std::string_view {
  return nameAt(StoreStatuses, Status);
}
auto nameOf(target_end End) -> std::string_view {
  return nameAt(TargetEnds, End);
}
auto nameOf(order_status Status) -> std::string_view {
  return nameAt(OrderStatuses, Status);
}
auto nameOf(order_kind Kind) -> std::string_view {
  return nameAt(OrderKinds, Kind);
}
auto nameOf(unit_state State) -> std::string_view {
  return nameAt(UnitStates, State);
}
auto nameOf(authority_phase Phase) -> std::string_view {
  return nameAt(AuthorityPhases, Phase);
}
auto nameOf(work_phase Phase) -> std::string_view {
  return nameAt(WorkPhases, Phase);
}

auto toString(const loadable &Loadable) -> std::string {
  if (Loadable.Adapter.empty())
    return Loadable.Unit.Text;
  return Loadable.Unit.Text + "+" + Loadable.Adapter.Text;
}

} // namespace limpetbridge
