/// \file
/// HTTP client for the platform: table, object store and list of instances.
/// docs/protocols.md describes the HTTP interface.
#ifndef LIMPETBRIDGE_PLATFORM_PLATFORM_CLIENT_H
#define LIMPETBRIDGE_PLATFORM_PLATFORM_CLIENT_H

#include "base/result.h"
#include "core/effects.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace limpetbridge {

/// Address and limits of a platform_client.
struct platform_options {
  std::string Host;
  std::uint16_t Port = 0;
  duration Timeout = seconds(1); ///< Of connecting, each read and each write.
  std::size_t Threads = 2;       ///< Concurrent requests, one connection each.
  std::size_t QueueLimit = 4096; ///< Requests that may wait for a thread.
};

/// Receives the platform's replies as events; called from any thread.
using platform_sink = std::function<void(event)>;

/// Executes the effects that go to the platform. Each effect gets exactly one
/// reply event with its ticket, also when the request fails: table_replied or
/// object_replied.
class platform_client {
public:
  platform_client(platform_options Options, platform_sink Sink);
  /// Waits for all queued and active requests.
  ~platform_client();
  platform_client(const platform_client &) = delete;
  auto operator=(const platform_client &) -> platform_client & = delete;

  auto execute(const table_transact &Effect) -> void;
  auto execute(const table_read &Effect) -> void;
  auto execute(const table_range &Effect) -> void;
  auto execute(const object_get &Effect) -> void;
  auto execute(const object_put &Effect) -> void;

  /// Reads the changes of the list of instances; instances_listed with the
  /// whole list follows if it changed. Ignored while a read is in progress.
  auto readInstances() -> void;

  /// Writes this instance to the list of instances; blocks until the platform
  /// replies or the request fails. An error is result_code::StoreUnavailable.
  [[nodiscard]] auto registerInstance(const instance_record &Self)
      -> result<void>;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_PLATFORM_PLATFORM_CLIENT_H
