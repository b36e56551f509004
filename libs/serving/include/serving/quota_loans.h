/// \file
/// Loans of one workspace's quota between this gateway and one other, as each
/// side has to count them so that no share is in use twice.
#ifndef LIMPETBRIDGE_SERVING_QUOTA_LOANS_H
#define LIMPETBRIDGE_SERVING_QUOTA_LOANS_H

#include "base/time.h"

#include <cstdint>
#include <deque>

namespace limpetbridge::serving {

/// What this gateway lends. The receiver acts on the newest message that it has
/// got, which the sender does not know, so the largest share among those in
/// question counts.
class quota_lent {
public:
  /// The share that the receiver may be using.
  [[nodiscard]] auto share(time_point Now) const -> double;
  /// When share() falls next by itself; NoDeadline if it does not.
  [[nodiscard]] auto expiry() const -> time_point;
  /// All tokens that were moved to the receiver's process.
  [[nodiscard]] auto tokens() const -> double { return Tokens; }
  /// Tokens that the receiver has not confirmed and may still accept.
  [[nodiscard]] auto inFlight() const -> double { return Tokens - Closed; }
  [[nodiscard]] auto isInFlight() const -> bool { return Tokens > Closed; }
  /// Nothing of it needs to be told to the receiver.
  [[nodiscard]] auto isIdle() const -> bool {
    return Sent.empty() && !isInFlight();
  }

  auto move(double MovedTokens) -> void { Tokens += MovedTokens; }
  /// Message \p Number with \p Share leaves.
  auto send(std::uint64_t Number, double Share, time_point Until) -> void;
  /// The receiver has processed message \p Number.
  auto confirm(std::uint64_t Number) -> void;
  /// Ends what is over at \p Now. Messages with tokens that are too old to be
  /// accepted are lost, and so are the tokens.
  auto expire(time_point Now) -> void;
  /// The receiver's process started again. The share stays lent to the former
  /// one for its term.
  auto restart() -> void;

private:
  struct message {
    std::uint64_t Number = 0; ///< The first of those that say the same.
    double Share = 0;
    double Tokens = 0;
    time_point Until; ///< No receiver acts on it from then on.
  };
  std::deque<message> Sent;
  double Tokens = 0;
  double Closed = 0; ///< Of Tokens: confirmed, or lost.
};

/// What the other gateway lends to this one.
class quota_borrowed {
public:
  [[nodiscard]] auto share(time_point Now) const -> double {
    return Now < Until ? Share : 0;
  }
  [[nodiscard]] auto expiry() const -> time_point {
    return Share > 0 ? Until : NoDeadline; // Also if it has passed.
  }

  /// All tokens that were received from the lender's process.
  [[nodiscard]] auto tokens() const -> double { return Tokens; }

  /// A message says so; \p UsableUntil has passed if the loan is not in force.
  /// \returns the tokens that it moves.
  auto receive(double NewShare, double TotalTokens, double Receivable,
               time_point UsableUntil, time_point Now) -> double;
  /// No message of the lender has said anything yet.
  [[nodiscard]] auto isUnknown() const -> bool { return Unknown; }
  /// What the lender moved before is not known, and not received again.
  auto setBaseline(double TotalTokens) -> void { Tokens = TotalTokens; }
  /// The lender's process started again.
  auto restart() -> void { Tokens = 0; }

private:
  bool Unknown = true;
  double Share = 0;
  double Tokens = 0; ///< Received so far.
  time_point Until;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_QUOTA_LOANS_H
