/// \file
/// Sliding-window limit on loads from the weight store, over all controllers;
/// its state is one text that the store keeps.
#ifndef LIMPETBRIDGE_SERVING_LOAD_WINDOW_H
#define LIMPETBRIDGE_SERVING_LOAD_WINDOW_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge::serving {

/// Starts of recent loads, ms of the store's clock.
class load_window {
public:
  /// \param Text what print wrote; anything else counts as an empty window.
  explicit load_window(std::string_view Text);

  /// Adds a start at \p NowMs if fewer than \p Limit lie in the last
  /// \p WindowMs.
  [[nodiscard]] auto take(std::int64_t NowMs, std::int64_t WindowMs,
                          std::size_t Limit) -> bool;
  [[nodiscard]] auto print() const -> std::string;

private:
  std::vector<std::int64_t> Starts;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_LOAD_WINDOW_H
