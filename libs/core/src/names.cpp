#include "core/effects.h"
#include "core/state.h"

#include <array>

namespace limpetbridge {

namespace {

template <typename kind, std::size_t count>
auto lookUp(const std::array<std::string_view, count> &Names, kind Kind)
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
constexpr std::array<std::string_view, 6> Phases = {
    "reading_fence", "writing_fence", "reading_intents",
    "probing",       "held",          "superseded"};
constexpr std::array<std::string_view, 4> WorkPhases = {"queued", "claiming",
                                                        "running", "settling"};

} // namespace

auto nameOf(work_kind Kind) -> std::string_view {
  return lookUp(WorkKinds, Kind);
}
auto nameOf(instance_role Role) -> std::string_view {
  return lookUp(Roles, Role);
}
auto nameOf(target_kind Kind) -> std::string_view {
  return lookUp(TargetKinds, Kind);
}
auto nameOf(store_status Status) -> std::string_view {
  return lookUp(StoreStatuses, Status);
}
auto nameOf(target_end End) -> std::string_view {
  return lookUp(TargetEnds, End);
}
auto nameOf(order_status Status) -> std::string_view {
  return lookUp(OrderStatuses, Status);
}
auto nameOf(order_kind Kind) -> std::string_view {
  return lookUp(OrderKinds, Kind);
}
auto nameOf(unit_state State) -> std::string_view {
  return lookUp(UnitStates, State);
}
auto nameOf(authority_phase Phase) -> std::string_view {
  return lookUp(Phases, Phase);
}
auto nameOf(work_phase Phase) -> std::string_view {
  return lookUp(WorkPhases, Phase);
}

auto toString(const loadable &Loadable) -> std::string {
  if (Loadable.Adapter.empty())
    return Loadable.Unit.Text;
  return Loadable.Unit.Text + "+" + Loadable.Adapter.Text;
}

} // namespace limpetbridge
