/// \file
/// HTTP towards the platform: table, object store, list of instances.
/// docs/protocols.md describes the pages.
#ifndef LIMPETBRIDGE_PLATFORM_PLATFORM_CLIENT_H
#define LIMPETBRIDGE_PLATFORM_PLATFORM_CLIENT_H

#include "base/result.h"
#include "core/effects.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace limpetbridge {

/// Where the platform is, and how long to wait for it.
struct platform_options {
  std::string Host;
  std::uint16_t Port = 0;
  duration Timeout = seconds(1);
  std::size_t Threads =
      2; ///< Requests at once, each on a connection of its own.
  std::size_t QueueLimit = 4096; ///< Requests that may wait.
};

/// Takes the platform's replies as events; called from any thread.
using platform_sink = std::function<void(event)>;

/// Executes the effects that go to the platform. Each gets exactly one reply
/// event with its ticket, whatever happens.
class platform_client {
public:
  platform_client(platform_options Options, platform_sink Sink);
  /// Waits for the requests under way.
  ~platform_client();
  platform_client(const platform_client &) = delete;
  auto operator=(const platform_client &) -> platform_client & = delete;

  auto execute(const table_transact &Effect) -> void;
  auto execute(const table_read &Effect) -> void;
  auto execute(const table_range &Effect) -> void;
  auto execute(const object_get &Effect) -> void;
  auto execute(const object_put &Effect) -> void;

  /// Reads what changed in the list of instances; instances_listed follows
  /// when anything did.
  auto readInstances() -> void;

  /// Tells the platform of this instance; blocks until it answered.
  [[nodiscard]] auto announce(const instance_record &Self) -> result<void>;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_PLATFORM_PLATFORM_CLIENT_H
