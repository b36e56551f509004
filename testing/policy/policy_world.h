/// \file
/// Virtual time and fakes of engines, shared by the real reducers and by the
/// baselines that they are measured against.
#ifndef LIMPETBRIDGE_TESTING_POLICY_WORLD_H
#define LIMPETBRIDGE_TESTING_POLICY_WORLD_H

#include "trace.h"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <vector>

namespace limpetbridge {

/// Events in virtual time.
class schedule {
public:
  /// Runs \p Action after \p Span.
  auto after(duration Span, std::function<void()> Action) -> void;
  /// Runs until nothing is left or \p End is reached.
  auto run(time_point End) -> void;
  [[nodiscard]] auto now() const -> time_point { return Now; }

private:
  struct entry {
    time_point At;
    std::uint64_t Order;
    std::function<void()> Action;
  };
  struct later {
    auto operator()(const entry &Left, const entry &Right) const -> bool {
      return Left.At != Right.At ? Left.At > Right.At
                                 : Left.Order > Right.Order;
    }
  };
  time_point Now{};
  std::uint64_t LastOrder = 0;
  std::priority_queue<entry, std::vector<entry>, later> Queue;
};

/// The weight store: a rate, and a number of loads at full speed.
class weight_store {
public:
  weight_store(schedule &Schedule, const deployment &Deployment);
  /// Calls \p Done when a load that starts now would end.
  auto load(const std::function<void()> &Done) -> void;
  [[nodiscard]] auto loads() const -> std::uint64_t { return Loads; }

private:
  schedule &Schedule;
  const deployment &Deployment;
  time_point NextStart{};
  std::size_t UnderWay = 0;
  std::uint64_t Loads = 0;
};

/// An engine that shares itself among what runs: up to a number of requests
/// run at full speed, more slow each other down.
class engine_model {
public:
  engine_model(schedule &Schedule, double Slowness);

  /// What to call as a run proceeds.
  struct callbacks {
    std::function<void()> First;
    std::function<void()> Done;
  };
  auto start(const demand &Demand, callbacks Callbacks) -> void;
  [[nodiscard]] auto running() const -> std::size_t { return Runs.size(); }

private:
  struct run {
    double PrefillLeft;
    double DecodeLeft;
    callbacks Callbacks;
  };
  auto advance() -> void;
  auto plan() -> void;
  [[nodiscard]] auto speed() const -> double;

  schedule &Schedule;
  double Slowness;
  std::map<std::uint64_t, run> Runs;
  std::uint64_t LastRun = 0;
  std::uint64_t Plan = 0;
  time_point At{};
};

/// What came of one request.
struct fate {
  demand Demand;
  bool Done = false;
  double FirstMs = -1; ///< To the first token; -1: none.
  double TotalMs = -1;
};

/// What a policy did with a trace.
struct policy_result {
  std::vector<fate> Fates;
  std::uint64_t Loads = 0;
  std::uint64_t Refusals = 0;
  std::uint64_t Retries = 0;
};

/// Share of targets that an unseen neighbour slows, and by how much.
struct stragglers {
  double Share = 0;
  double Factor = 5;
};

/// Runs the real reducers.
[[nodiscard]] auto runReducers(const deployment &Deployment,
                               const std::vector<demand> &Trace,
                               const stragglers &Slow, std::uint64_t Seed)
    -> policy_result;

/// How a baseline picks among the holders of a model.
enum class baseline_kind : std::uint8_t { Random, LeastReported };

/// Runs a baseline: a holder at random or by reported load, FIFO, LRU.
[[nodiscard]] auto runBaseline(const deployment &Deployment,
                               const std::vector<demand> &Trace,
                               const stragglers &Slow, baseline_kind Kind,
                               std::uint64_t Seed) -> policy_result;

/// Slowness of target \p Index.
[[nodiscard]] auto slownessOf(const stragglers &Slow, std::size_t Index,
                              std::size_t Targets) -> double;

inline constexpr std::size_t FullSpeedRuns = 8; ///< Of one engine.
inline constexpr std::size_t EngineSlots = 16;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_POLICY_WORLD_H
