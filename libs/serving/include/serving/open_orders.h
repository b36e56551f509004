/// \file
/// Orders to the target of a controller that may still be carried out: its own,
/// and those of the processes that were this controller before.
///
/// A target carries out a late order when its sequence is that of the order,
/// also in another incarnation, whose sequence begins anew with nothing loaded.
/// The orders of this process are known; `order_plan` avoids states in which
/// they do harm. Those of a predecessor are not known. They do no harm in the
/// incarnation for which they were given, whose sequence has passed them, so if
/// there are any, no order is given in another one until they have expired.
#ifndef LIMPETBRIDGE_SERVING_OPEN_ORDERS_H
#define LIMPETBRIDGE_SERVING_OPEN_ORDERS_H

#include "base/ids.h"
#include "base/time.h"
#include "serving/order_plan.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace limpetbridge::serving {

/// Time after which an order is not carried out any more: 12 s, the longest
/// delay of late orders, from the end of its call, which takes 1 s at most, and
/// 1 s more as the target has another clock.
inline constexpr duration OpenOrderTime = seconds(14);

/// Time after which an order without an answer counts as one that stays open. A
/// target on the same machine answers within some milliseconds.
inline constexpr duration AnswerTime = milliseconds(100);

/// What a controller leaves to its successor, in the store. It is written only
/// when it changes, so not at all while orders are answered.
struct order_handover {
  /// Orders without an answer may be carried out yet.
  bool HasOpenOrders = true;
  /// All of them were given in this incarnation of the target; 0 if that is not
  /// known of any. It stays true while the target is in that incarnation.
  std::uint64_t Incarnation = 0;
  /// At some sequence that this incarnation has passed no order is open. After
  /// a restart late orders alone do not lead beyond it.
  bool HasGap = false;
  auto operator==(const order_handover &) const -> bool = default;
};

/// The orders that may be open. No order is to be given before the handover.
class open_orders {
public:
  /// \param Predecessor what the process before has left; none if there was no
  /// such process.
  /// \param StartedAt start of this process: all orders of its predecessors
  /// were sent before.
  auto takeOver(const std::optional<order_handover> &Predecessor,
                time_point StartedAt) -> void;

  /// Records an order that is about to be sent to \p Target in its
  /// \p Incarnation. \returns a number for \c settle.
  auto add(const target_name &Target, std::uint64_t Incarnation,
           open_order Order, time_point SentAt) -> std::uint64_t;
  /// The call of order \p Number has ended. It stays open without an answer.
  auto settle(std::uint64_t Number, bool IsAnswered) -> void;

  /// False once the order was answered or has expired.
  [[nodiscard]] auto isOpen(std::uint64_t Number) const -> bool;
  /// Own orders to \p Target that may still be carried out.
  [[nodiscard]] auto list(const target_name &Target, time_point Now) const
      -> std::vector<open_order>;
  /// Takes note of a report of the target.
  auto observe(const engine_report &Report) -> void;
  /// False if an order to the target in the state of \p Report may lead to an
  /// overload together with orders of a predecessor.
  [[nodiscard]] auto mayOrder(const engine_spec &Engine,
                              const engine_report &Report, time_point Now) const
      -> bool;
  /// What to leave to a successor, as of the last report.
  [[nodiscard]] auto handover(time_point Now) const -> order_handover;
  /// Orders of predecessors are not carried out from then on.
  [[nodiscard]] auto predecessorsExpireAt() const -> time_point {
    return PredecessorsExpireAt;
  }

private:
  struct entry {
    std::uint64_t Number = 0;
    target_name Target;
    std::uint64_t Incarnation = 0;
    open_order Order;
    time_point ExpiresAt;
    /// From then on it stays open; the epoch if its call has ended.
    time_point DueAt;
  };

  /// True if all orders that may be open were given in \p Incarnation.
  [[nodiscard]] auto isSettled(std::uint64_t Incarnation, time_point Now) const
      -> bool;
  /// True if no order is open at some sequence that the target has passed.
  [[nodiscard]] auto hasGap(std::uint64_t Incarnation, std::uint64_t Sequence,
                            time_point Now) const -> bool;

  std::vector<entry> Entries;
  std::uint64_t LastNumber = 0;
  order_handover Inherited;
  std::uint64_t LastIncarnation = 0; ///< Of the last report.
  std::uint64_t LastSequence = 0;
  /// Of the first report in the inherited incarnation: predecessors have given
  /// no order for a later one.
  std::optional<std::uint64_t> InheritedSequence;
  /// Orders of predecessors are not carried out from then on.
  time_point PredecessorsExpireAt = NoDeadline;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_OPEN_ORDERS_H
