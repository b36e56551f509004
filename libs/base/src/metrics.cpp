#include "base/metrics.h"

#include <sstream> // Used but not included by extended_p_square_quantile.hpp.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace limpetbridge {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> Quantiles = {0.5, 0.95, 0.99, 0.999};

using quantile_set =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::max,
                                    acc::tag::extended_p_square_quantile>>;

/// Identifies one time series by its name and label.
struct series_key {
  std::string Name;
  std::string Label;
  auto operator<=>(const series_key &) const = default;
};

auto makeKey(std::string_view Name, std::string_view Label) -> series_key {
  return {std::string(Name), std::string(Label)};
}

auto formatLabel(const std::string &Label) -> std::string {
  return Label.empty() ? "" : "{kind=\"" + Label + "\"}";
}

} // namespace

struct metrics::details {
  mutable std::mutex Mutex;
  std::map<series_key, std::uint64_t> Counters;
  std::map<std::string, std::int64_t> Gauges;
  std::map<series_key, quantile_set> Observations;
};

metrics::metrics() : Details(std::make_unique<details>()) {}
metrics::~metrics() = default;

auto metrics::count(std::string_view Name, std::string_view Label,
                    std::uint64_t Amount) -> void {
  const std::lock_guard Lock(Details->Mutex);
  Details->Counters[makeKey(Name, Label)] += Amount;
}

auto metrics::set(std::string_view Name, std::int64_t Value) -> void {
  const std::lock_guard Lock(Details->Mutex);
  Details->Gauges[std::string(Name)] = Value;
}

auto metrics::observe(std::string_view Name, std::string_view Label,
                      double Milliseconds) -> void {
  const std::lock_guard Lock(Details->Mutex);
  const auto Key = makeKey(Name, Label);
  auto Series = Details->Observations.find(Key);
  if (Series == Details->Observations.end())
    Series =
        Details->Observations
            .emplace(Key, quantile_set(acc::extended_p_square_probabilities =
                                           Quantiles))
            .first;
  Series->second(Milliseconds);
}

auto metrics::print() const -> std::string {
  const std::lock_guard Lock(Details->Mutex);
  std::ostringstream Out;
  for (const auto &[Key, Value] : Details->Counters)
    Out << Key.Name << formatLabel(Key.Label) << ' ' << Value << '\n';
  for (const auto &[Name, Value] : Details->Gauges)
    Out << Name << ' ' << Value << '\n';
  for (const auto &[Key, Observed] : Details->Observations) {
    Out << Key.Name << "_count" << formatLabel(Key.Label) << ' '
        << acc::count(Observed) << '\n';
    for (const double Probability : Quantiles)
      Out << Key.Name << "_ms{kind=\"" << Key.Label << "\",quantile=\""
          << Probability << "\"} "
          << acc::quantile(Observed, acc::quantile_probability = Probability)
          << '\n';
    Out << Key.Name << "_max_ms" << formatLabel(Key.Label) << ' '
        << acc::max(Observed) << '\n';
  }
  return Out.str();
}

} // namespace limpetbridge
