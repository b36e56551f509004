/// What a gateway reads of the platform's store, and what it tells controllers
/// of it.
#include "gateway_node.h"

#include "base/log.h"
#include "link_codec.h"

namespace limpetbridge {

using namespace serving;

auto gateway_node::run() -> void {
  log(log_level::Info, "started",
      {{"role", Settings.Role}, {"callers", Settings.GatewayCallers}});
  instance_record Self;
  Self.Name = instance_name(Settings.Name);
  Self.Address = Settings.LinkAddress;
  KnowledgeSync = Hooks.Watch(
      Context, Self, Environment.Dispatch,
      [this] { return State.ReadsTargets; },
      [this] { return &State.ConfigurationHistory; });
  net::spawn(Context.get_executor(), runTicks());
  Context.run();
  log(log_level::Info, "stopped", {});
}

auto gateway_node::execute(const read_configuration & /*Effect*/) -> void {
  KnowledgeSync.ReadConfiguration();
}

auto gateway_node::execute(const subscribe_to_controllers &Effect) -> void {
  const auto Bytes = encodeLink(greeting{instance_name(Settings.Name),
                                         Settings.LinkAddress, State.StoreEra});
  for (const auto &Address : Effect.Addresses)
    LinkSocket->send(Address, Bytes);
}

} // namespace limpetbridge
