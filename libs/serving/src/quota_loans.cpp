#include "serving/quota_loans.h"

#include <algorithm>

namespace limpetbridge::serving {

auto quota_lent::share(time_point Now) const -> double {
  double Largest = 0;
  for (const auto &Message : Sent)
    if (Now < Message.Until)
      Largest = std::max(Largest, Message.Share);
  return Largest;
}

auto quota_lent::expiry() const -> time_point {
  return Sent.empty() ? NoDeadline : Sent.front().Until;
}

auto quota_lent::send(std::uint64_t Number, double Share, time_point Until)
    -> void {
  if (!Sent.empty()) {
    auto &Last = Sent.back();
    Until = std::max(Until, Last.Until);
    if (Last.Share == Share && Last.Tokens == Tokens) {
      Last.Until = Until;
      return;
    }
  } else if (Share <= 0 && !isInFlight()) {
    return;
  }
  Sent.push_back({Number, Share, Tokens, Until});
}

auto quota_lent::confirm(std::uint64_t Number) -> void {
  while (Sent.size() > 1 && Sent[1].Number <= Number)
    Sent.pop_front();
  if (Sent.empty() || Sent.front().Number > Number)
    return;
  Closed = std::max(Closed, Sent.front().Tokens);
  if (Sent.size() == 1 && Sent.front().Share <= 0)
    Sent.clear();
}

auto quota_lent::expire(time_point Now) -> void {
  while (!Sent.empty() && Sent.front().Until <= Now) {
    // Later messages hold the same tokens.
    if (Sent.size() == 1)
      Closed = std::max(Closed, Sent.front().Tokens);
    Sent.pop_front();
  }
}

auto quota_lent::restart() -> void {
  Tokens = 0;
  Closed = 0;
  for (auto &Message : Sent)
    Message.Tokens = 0;
}

auto quota_borrowed::receive(double NewShare, double TotalTokens,
                             double Receivable, time_point UsableUntil,
                             time_point Now) -> double {
  const auto Moved = std::clamp(TotalTokens - Tokens, 0.0, Receivable);
  Tokens = std::max(Tokens, TotalTokens);
  Unknown = false;
  if (UsableUntil <= Now) {
    // The sender takes the message for processed, and may rely on a smaller
    // share in it.
    Share = std::min(share(Now), NewShare);
    return 0;
  }
  Share = NewShare;
  Until = UsableUntil;
  return Moved;
}

} // namespace limpetbridge::serving
