/// \file
/// The memory ledger of an agent: every byte of the accelerator that is held
/// or may come to be held, and the orders that change it.
#ifndef LIMPETBRIDGE_CORE_LEDGER_H
#define LIMPETBRIDGE_CORE_LEDGER_H

#include "core/effects.h"
#include "core/events.h"

#include <cstdint>
#include <map>
#include <set>

namespace limpetbridge {

/// State of one loadable at this target.
enum class unit_state : std::uint8_t {
  Absent,    ///< Not held, and no order under way.
  Intending, ///< The intent is being written; no order sent yet.
  Loading,   ///< A load order is out.
  Resident,  ///< Held, confirmed.
  Unloading, ///< An unload order is out.
  Uncertain  ///< An order went unanswered.
};

/// Stable name of \p State.
[[nodiscard]] auto nameOf(unit_state State) -> std::string_view;

/// One loadable in the ledger.
struct ledger_entry {
  unit_state State = unit_state::Absent;
  byte_count Bytes;          ///< Reserved while held or possibly held.
  std::uint32_t Running = 0; ///< Work that runs on it.
  time_point LastUsed;
  time_point ResidentSince;
  std::uint8_t HomeRank = 255; ///< Place of this target in its home set.
  std::set<fencing_token> UnresolvedLoads; ///< Load orders that may still act.
  fencing_token Order;                     ///< The order under way.
  time_point RetryAt;                      ///< No new order before.
  time_point NextCheckAt;          ///< No new look at unanswered orders before.
  std::uint64_t IntentVersion = 0; ///< Version of the intent row; 0: none.
  bool IntentStale = false;        ///< The row may be removed.
  bool MayBeResident = false; ///< A late load acted while an order was out.
  bool Evicting = false;      ///< Takes no new work; to be unloaded.

  /// Bytes that count against the accelerator.
  [[nodiscard]] auto reservedBytes() const -> std::uint64_t;
};

/// Progress of an agent towards sole authority over its engine.
enum class authority_phase : std::uint8_t {
  ReadingFence,   ///< Reads the fence row.
  WritingFence,   ///< Writes its own epoch.
  ReadingIntents, ///< Reads what a predecessor may have under way.
  Probing,        ///< Raises the engine's token or reads its state.
  Held,           ///< May give orders.
  Superseded      ///< Another agent has taken over.
};

/// Stable name of \p Phase.
[[nodiscard]] auto nameOf(authority_phase Phase) -> std::string_view;

/// An order without a final answer.
struct pending_order {
  order_kind Kind = order_kind::Fence;
  loadable Loadable;
  time_point Deadline; ///< Counted as unanswered from here on.
};

/// What a table request on behalf of the ledger is for.
enum class ledger_request : std::uint8_t {
  ReadFence,
  WriteFence,
  ReadIntents,
  WriteIntent,
  RemoveIntent
};

/// A table request under way.
struct pending_ledger_request {
  ledger_request Kind = ledger_request::ReadFence;
  loadable Loadable;
};

/// Ledger of one accelerator.
struct ledger_state {
  byte_count Capacity;
  bool ChecksFence = false; ///< The engine refuses old tokens.
  authority_phase Phase = authority_phase::ReadingFence;
  std::uint64_t Epoch = 0;         ///< Epoch held; upper half of the tokens.
  std::uint64_t ProposedEpoch = 0; ///< Epoch being written.
  std::uint64_t FenceVersion = 0;  ///< Version of the fence row.
  std::uint64_t NextSequence = 1;  ///< Lower half of the next token.
  time_point RetryAt;
  std::map<loadable, ledger_entry> Entries;
  std::map<fencing_token, pending_order> Orders;
  std::map<ticket, pending_ledger_request> Requests;
  incarnation EngineIncarnation; ///< Life of the engine last reported.
  std::uint64_t EngineSequence = 0;
  bool HasSnapshot = false;
  time_point NextReadAt; ///< When the engine is to be read next.

  /// Bytes held or possibly held.
  [[nodiscard]] auto reservedBytes() const -> std::uint64_t;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_LEDGER_H
