/// \file
/// Memory for answers that are held until they are complete, shared by all
/// requests of a process.
#ifndef LIMPETBRIDGE_NODE_SERVING_BODY_BUDGET_H
#define LIMPETBRIDGE_NODE_SERVING_BODY_BUDGET_H

#include <cstddef>
#include <functional>
#include <set>

namespace limpetbridge {

/// Bounds the sum of what requests hold. If it is exceeded, the largest answer
/// of unknown length is cancelled, and the largest of known length only if
/// there is no other: an answer that does not end has no length. Not thread
/// safe.
class body_budget {
public:
  explicit body_budget(std::size_t LimitBytes) : Limit(LimitBytes) {}

  /// What one request holds; returned when it is destroyed.
  class share {
  public:
    /// \param OnCancel ends the answer that is being read. It must not change
    /// any share.
    share(body_budget &Budget, std::function<void()> OnCancel);
    ~share();
    share(const share &) = delete;
    auto operator=(const share &) -> share & = delete;

    /// Begins another answer; nothing is held yet.
    auto reset() -> void;
    /// Sets what is held.
    /// \param HasLength the answer's length was known from its head, and
    /// \p Bytes is all of it.
    /// \returns false if the share is cancelled; nothing more may be held.
    auto resize(std::size_t Bytes, bool HasLength = false) -> bool;

  private:
    friend class body_budget;
    body_budget &Budget;
    std::function<void()> OnCancel;
    std::size_t Bytes = 0;
    bool HasLength = false;
    bool Cancelled = false;
  };

  auto setLimit(std::size_t LimitBytes) -> void { Limit = LimitBytes; }
  /// Sum of what is held, without cancelled shares.
  [[nodiscard]] auto heldBytes() const -> std::size_t { return Held; }
  /// Number of shares that were cancelled.
  [[nodiscard]] auto cancelCount() const -> std::size_t { return CancelCount; }

private:
  auto cancelLargest() -> void;

  std::size_t Limit;
  std::size_t Held = 0;
  std::size_t CancelCount = 0;
  std::set<share *> Shares; ///< Those that hold something.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_BODY_BUDGET_H
