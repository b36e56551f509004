/// \file
/// The memory ledger of an agent: the accelerator memory that is or may be in
/// use, and the orders that change it.
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
  Absent,    ///< Not loaded, and no order in flight.
  Intending, ///< The intent row is being written; no order sent yet.
  Loading,   ///< A load order is in flight.
  Resident,  ///< The engine confirmed that it is loaded.
  Unloading, ///< An unload order is in flight.
  Uncertain  ///< May be loaded; a later snapshot decides.
};

/// Stable name of \p State.
[[nodiscard]] auto nameOf(unit_state State) -> std::string_view;

/// One loadable in the ledger.
struct ledger_entry {
  unit_state State = unit_state::Absent;
  byte_count Bytes;          ///< Reserved while loaded or possibly loaded.
  std::uint32_t Running = 0; ///< Work items that run on it.
  time_point LastUsed;
  time_point ResidentSince;
  std::uint8_t HomeRank = 255; ///< Position of this target in the homes.
  std::set<fencing_token> UnresolvedLoads; ///< Timed out; may yet execute.
  fencing_token Order;                     ///< Token of the order in flight.
  time_point RetryAt;                      ///< Earliest time of a new order.
  time_point NextCheckAt; ///< Earliest next check of unanswered orders.
  std::uint64_t IntentVersion = 0; ///< Version of the intent row; 0: none.
  bool IntentStale = false;        ///< The row may be removed.
  bool MayBeResident = false; ///< Seen loaded while an order was in flight.
  bool Evicting = false;      ///< Takes no new work; unloaded once idle.

  /// Bytes that count against the accelerator's capacity.
  [[nodiscard]] auto reservedBytes() const -> std::uint64_t;
};

/// Progress of an agent in acquiring exclusive authority over its engine.
enum class authority_phase : std::uint8_t {
  ReadingFence,   ///< Reads the fence row.
  WritingFence,   ///< Writes the fence row with a new epoch.
  ReadingIntents, ///< Reads the predecessors' loads that may still execute.
  Probing,        ///< Raises the engine's token and reads its state.
  Held,           ///< May send orders.
  Superseded      ///< Another agent has taken over.
};

/// Stable name of \p Phase.
[[nodiscard]] auto nameOf(authority_phase Phase) -> std::string_view;

/// An order without a final answer.
struct pending_order {
  order_kind Kind = order_kind::Fence;
  loadable Loadable;
  time_point Deadline; ///< Counts as unanswered from this time.
};

/// Purpose of a table request for the ledger.
enum class ledger_request : std::uint8_t {
  ReadFence,
  WriteFence,
  ReadIntents,
  WriteIntent,
  RemoveIntent
};

/// A table request in flight.
struct pending_ledger_request {
  ledger_request Kind = ledger_request::ReadFence;
  loadable Loadable;
};

/// Ledger of one accelerator.
struct ledger_state {
  byte_count Capacity;
  bool ChecksFence = false; ///< The engine refuses outdated tokens.
  authority_phase Phase = authority_phase::ReadingFence;
  std::uint64_t Epoch = 0;         ///< Epoch held; upper 32 bits of the tokens.
  std::uint64_t ProposedEpoch = 0; ///< Epoch being written.
  std::uint64_t FenceVersion = 0;  ///< Version of the fence row.
  std::uint64_t NextSequence = 1;  ///< Lower 32 bits of the next token.
  time_point RetryAt;
  std::map<loadable, ledger_entry> Entries;
  std::map<fencing_token, pending_order> Orders;
  std::map<ticket, pending_ledger_request> Requests;
  /// Position of the last applied snapshot.
  incarnation EngineIncarnation;
  std::uint64_t EngineSequence = 0;
  bool HasSnapshot = false; ///< Some snapshot was applied.
  time_point NextReadAt;    ///< When the engine's state is read next.

  /// Bytes of all loadables that are or may be loaded.
  [[nodiscard]] auto reservedBytes() const -> std::uint64_t;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_LEDGER_H
