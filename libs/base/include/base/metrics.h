/// \file
/// Counters, gauges and quantiles of one process, printed in the text format
/// that metric scrapers read.
#ifndef LIMPETBRIDGE_BASE_METRICS_H
#define LIMPETBRIDGE_BASE_METRICS_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace limpetbridge {

/// Thread-safe registry of counters, gauges and quantiles.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  auto operator=(const metrics &) -> metrics & = delete;

  /// Adds \p Amount to the counter \p Name with label \p Label.
  auto count(std::string_view Name, std::string_view Label,
             std::uint64_t Amount = 1) -> void;

  /// Sets the gauge \p Name to \p Value.
  auto set(std::string_view Name, std::int64_t Value) -> void;

  /// Adds one observation, in milliseconds, to the quantiles of \p Name.
  auto observe(std::string_view Name, std::string_view Label,
               double Milliseconds) -> void;

  /// Formats all series as text, one `name{kind="label"} value` per line.
  [[nodiscard]] auto print() const -> std::string;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_METRICS_H
