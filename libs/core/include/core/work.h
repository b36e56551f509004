/// \file
/// What is asked of targets, and what is known of the instances beside them.
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
  Generate, ///< A streamed answer of a model; idempotent.
  Call      ///< One call of a plain service.
};

/// Text that is shared, never copied, on its way through a process.
using shared_text = std::shared_ptr<const std::string>;

/// Makes a shared text.
[[nodiscard]] inline auto shareText(std::string Text) -> shared_text {
  return std::make_shared<const std::string>(std::move(Text));
}

/// A set of weights that an engine loads: a model or version, or an adapter
/// that rides on it.
struct loadable {
  model_name Unit;
  adapter_name Adapter; ///< Empty for the model itself.

  auto operator<=>(const loadable &) const = default;
};

/// `unit` or `unit+adapter`.
[[nodiscard]] auto toString(const loadable &Loadable) -> std::string;

/// One piece of work, resolved against the catalogue.
struct work {
  work_kind Kind = work_kind::Generate;
  caller_name Caller;
  std::uint8_t Rank = 5; ///< Importance; 0 first, 9 last.
  bool Short = true;     ///< Counts as short in its importance class.
  time_point Deadline = NoDeadline;
  time_point FirstTokenBy = NoDeadline; ///< Aim, not a limit.
  shared_text Body;

  model_name Unit;
  adapter_name Adapter;
  byte_count Memory;        ///< Of the unit.
  byte_count AdapterMemory; ///< Of the adapter.
  std::int64_t LoadMs = 0;  ///< Usual time of a load of the unit.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::uint64_t PrefixHash = 0; ///< Same for prompts that share their start.

  service_name Service;
  std::string Operation;
  bool Idempotent = true;
  idempotency_key Key;

  /// True when the work must not run twice.
  [[nodiscard]] auto runsAtMostOnce() const -> bool {
    return Kind == work_kind::Call && !Idempotent;
  }
  /// True when a durable claim guards the work.
  [[nodiscard]] auto isClaimed() const -> bool {
    return runsAtMostOnce() && !Key.empty();
  }
};

/// A run of tokens of an answer.
struct frame {
  std::uint32_t Offset = 0;        ///< Index of the first piece.
  std::vector<std::string> Pieces; ///< Text of one token each.
};

/// What an agent tells about its target on every reply; 16 bytes on the wire.
struct load_hint {
  duration QueueDelay{};       ///< Expected wait of new work.
  std::uint32_t FreeSlots = 0; ///< Slots open now.
  incarnation Agent;           ///< Life of the agent that speaks.
  revision Revision;           ///< Newest revision that it heard of.
};

/// Role of an instance.
enum class instance_role : std::uint8_t { Entry, Agent };
/// Kind of target beside an agent.
enum class target_kind : std::uint8_t { Engine, Service };

/// One row of the platform's list of instances.
struct instance_record {
  instance_name Name; ///< An agent's name is also its target's.
  instance_role Role = instance_role::Entry;
  data_centre_name DataCentre;
  std::string Address; ///< `ip:port` of the peer listener.
  incarnation Incarnation;
  bool Leaving = false;
  target_kind Kind = target_kind::Engine;
  service_name Service; ///< Of a service target.
  byte_count Memory;    ///< Of an engine's accelerator.

  auto operator==(const instance_record &) const -> bool = default;
};

/// Stable names, as in logs and on the wire.
[[nodiscard]] auto nameOf(work_kind Kind) -> std::string_view;
[[nodiscard]] auto nameOf(instance_role Role) -> std::string_view;
[[nodiscard]] auto nameOf(target_kind Kind) -> std::string_view;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_WORK_H
