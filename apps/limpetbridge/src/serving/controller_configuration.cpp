/// The configuration of a controller, and the era of the store that it is read
/// from.
#include "controller_node.h"

#include "base/log.h"

namespace limpetbridge {

using namespace serving;

auto controller_node::takeConfiguration(configuration NewConfiguration,
                                        const configuration_source &Source)
    -> void {
  if (Source.Era > StoreEra)
    History.startEra();
  StoreEra = std::max(StoreEra, Source.Era);
  if (!History.offer(NewConfiguration.Version, Source))
    return;
  Configuration = std::move(NewConfiguration);
  log(log_level::Info, "configuration_in_force",
      {{"version", std::to_string(Configuration.Version)},
       {"era", std::to_string(StoreEra)},
       {"generation", std::to_string(History.inForce().Generation)}});
}

auto controller_node::checkEra(std::uint64_t Named) -> void {
  /// Least interval of the calls to the store: every gateway greets.
  constexpr duration CheckInterval = milliseconds(500);
  const auto Now = process_clock::now();
  if (Now < NextEraCheck)
    return;
  NextEraCheck = Now + CheckInterval;
  Hooks.CheckEra(Named);
}

} // namespace limpetbridge
