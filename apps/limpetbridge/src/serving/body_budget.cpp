#include "body_budget.h"

#include <algorithm>
#include <utility>

namespace limpetbridge {

body_budget::share::share(body_budget &SharedBudget,
                          std::function<void()> CancelAnswer)
    : Budget(SharedBudget), OnCancel(std::move(CancelAnswer)) {}

body_budget::share::~share() { reset(); }

auto body_budget::share::reset() -> void {
  if (Budget.Shares.erase(this) > 0)
    Budget.Held -= Bytes;
  Bytes = 0;
  HasLength = false;
  Cancelled = false;
}

auto body_budget::share::resize(std::size_t NewBytes, bool LengthIsKnown)
    -> bool {
  if (Cancelled)
    return false;
  Budget.Shares.insert(this);
  Budget.Held = Budget.Held - Bytes + NewBytes;
  Bytes = NewBytes;
  HasLength = LengthIsKnown;
  while (Budget.Held > Budget.Limit && !Budget.Shares.empty())
    Budget.cancelLargest();
  return !Cancelled;
}

auto body_budget::cancelLargest() -> void {
  const auto Largest = std::max_element(
      Shares.begin(), Shares.end(), [](const share *Left, const share *Right) {
        return std::pair(!Left->HasLength, Left->Bytes) <
               std::pair(!Right->HasLength, Right->Bytes);
      });
  share &Victim = **Largest;
  Shares.erase(Largest);
  Held -= Victim.Bytes;
  Victim.Cancelled = true;
  ++CancelCount;
  Victim.OnCancel();
}

} // namespace limpetbridge
