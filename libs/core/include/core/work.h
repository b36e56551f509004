/// \file
/// Work that is sent to targets, load hints, and records of instances.
#ifndef LIMPETBRIDGE_CORE_WORK_H
#define LIMPETBRIDGE_CORE_WORK_H

#include "base/ids.h"
#include "base/result_code.h"
#include "base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// Kind of work.
enum class work_kind : std::uint8_t {
  Generate, ///< Streamed generation by a model; idempotent.
  Call      ///< One call of a service.
};

/// Immutable text that is shared between owners instead of copied.
using shared_text = std::shared_ptr<const std::string>;

/// Makes a shared text.
[[nodiscard]] inline auto shareText(std::string Text) -> shared_text {
  return std::make_shared<const std::string>(std::move(Text));
}

/// A set of weights that an engine loads: a model or version (the unit), or an
/// adapter that needs its unit in memory as well.
struct loadable {
  model_name Unit;
  adapter_name Adapter; ///< Empty for the model itself.

  auto operator<=>(const loadable &) const = default;
};

/// `unit` or `unit+adapter`.
[[nodiscard]] auto toString(const loadable &Loadable) -> std::string;

/// A request's work, with its names resolved against the catalogue.
struct work {
  work_kind Kind = work_kind::Generate;
  caller_name Caller;
  std::uint8_t Rank = 5; ///< Of its importance class; 0 first, 9 last.
  bool Short = true;     ///< Counts as short in its importance class.
  time_point Deadline = NoDeadline;
  time_point FirstTokenBy = NoDeadline; ///< Objective, not a limit.
  shared_text Body;

  model_name Unit;
  adapter_name Adapter;
  byte_count Memory;        ///< Size of the unit.
  byte_count AdapterMemory; ///< Size of the adapter.
  std::int64_t LoadMs = 0;  ///< Declared load time of the unit, ms.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::uint64_t PrefixHash = 0; ///< Equal for prompts that share a prefix.

  service_name Service;
  std::string Operation;
  bool Idempotent = true;
  idempotency_key Key;

  /// True if the work must not run twice.
  [[nodiscard]] auto runsAtMostOnce() const -> bool {
    return Kind == work_kind::Call && !Idempotent;
  }
  /// True if a durable claim must be written before the work runs.
  [[nodiscard]] auto isClaimed() const -> bool {
    return runsAtMostOnce() && !Key.empty();
  }
};

/// Consecutive tokens of an answer; without pieces, a heartbeat.
struct frame {
  std::uint32_t Offset = 0;        ///< Index of the first piece.
  std::vector<std::string> Pieces; ///< Text of one token each.
};

/// Load of a target, sent by its agent with every reply; 16 bytes on the wire.
struct load_hint {
  duration QueueDelay{};       ///< Expected queueing time of new work.
  std::uint32_t FreeSlots = 0; ///< Unoccupied slots.
  incarnation Agent;           ///< Incarnation of the sending agent.
  revision Revision;           ///< Newest revision that it knows of.
};

/// Role of an instance: an entry takes callers' requests and routes them, an
/// agent runs work on the one target beside it.
enum class instance_role : std::uint8_t { Entry, Agent };
/// Kind of target: an inference engine or a service.
enum class target_kind : std::uint8_t { Engine, Service };

/// One row of the platform's list of instances.
struct instance_record {
  instance_name Name; ///< For an agent, also the name of its target.
  instance_role Role = instance_role::Entry;
  data_centre_name DataCentre;
  std::string Address; ///< `ip:port` of the peer listener.
  incarnation Incarnation;
  bool Leaving = false;
  target_kind Kind = target_kind::Engine;
  service_name Service; ///< For a service target.
  byte_count Memory;    ///< Capacity of an engine's accelerator.

  auto operator==(const instance_record &) const -> bool = default;
};

/// Stable names for logs and the wire.
[[nodiscard]] auto nameOf(work_kind Kind) -> std::string_view;
[[nodiscard]] auto nameOf(instance_role Role) -> std::string_view;
[[nodiscard]] auto nameOf(target_kind Kind) -> std::string_view;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_WORK_H
