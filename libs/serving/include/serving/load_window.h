/// \file
/// Sliding-window rate limit on loads from the weight store, shared by all
/// controllers; its state is kept as one text in the platform's store.
#ifndef LIMPETBRIDGE_SERVING_LOAD_WINDOW_H
#define LIMPETBRIDGE_SERVING_LOAD_WINDOW_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge::serving {

/// Start times of recent loads, ms of the store's clock.
class load_window {
public:
  /// \param Text as written by serialize; parts that do not begin with a number
  /// are ignored.
  explicit load_window(std::string_view Text);

  /// Records the start of a load at \p NowMs if fewer than \p Limit loads
  /// started in the last \p WindowMs.
  /// \returns false if the limit is reached.
  [[nodiscard]] auto acquire(std::int64_t NowMs, std::int64_t WindowMs,
                             std::size_t Limit) -> bool;
  /// Adds a start that was recorded before, unless it is there: the store may
  /// have been restored from a copy without it. \returns true if it was
  /// missing.
  auto restore(std::int64_t StartMs) -> bool;
  [[nodiscard]] auto serialize() const -> std::string;

private:
  std::vector<std::int64_t> Starts;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_LOAD_WINDOW_H
