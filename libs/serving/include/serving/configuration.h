/// \file
/// Configuration of a deployment, as declared by its operators: routes,
/// services, workspaces and limits.
#ifndef LIMPETBRIDGE_SERVING_CONFIGURATION_H
#define LIMPETBRIDGE_SERVING_CONFIGURATION_H

#include "base/ids.h"
#include "serving/workspace_key.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge::serving {

/// Whether a request may run more than once, and how its answer is delivered.
enum class request_kind : std::uint8_t { Idempotent, NonIdempotent, Stream };

/// A service of a route, with its share of the route's requests.
struct service_share {
  service_name Service;
  std::uint32_t Weight = 0; ///< Relative to the other shares of the route.
};

/// How requests of one host and path prefix are served.
struct route {
  std::string Name;
  std::string Host;   ///< Lower case, without a port.
  std::string Prefix; ///< Begins and ends with a slash.
  request_kind Kind = request_kind::NonIdempotent;
  bool Resumable = false;        ///< A stream may resume at another target.
  bool HasPrompt = false;        ///< Requests carry a model and a prompt.
  std::uint32_t MaxAttempts = 1; ///< Targets that may see one request.
  std::uint32_t Priority = 0;    ///< 0 is the most urgent.
  /// Requests need no key, even if the configuration has workspaces.
  bool Public = false;
  std::int64_t TimeoutMs = 0;       ///< Limit of the time to the last byte.
  std::int64_t TargetLatencyMs = 0; ///< Objective for the first byte.
  /// Time after which callers disconnect if no byte has arrived; 0: the
  /// request's deadline applies.
  std::int64_t FirstOutputTimeoutMs = 0;
  /// Longest pause allowed between two events of a stream; 0: no bound, the
  /// streams are not protected.
  std::int64_t GapBoundMs = 0;
  std::vector<service_share> Shares;
};

/// Sizes and load times of a model.
struct model_spec {
  model_name Name;
  double WeightsMb = 0;
  double LoadMs = 0;       ///< From the weight store.
  double DiskLoadMs = 0;   ///< From the target's own disk.
  double MemoryLoadMs = 0; ///< From the target's host memory.
  std::uint32_t Adapters = 0;
  double AdapterMb = 0; ///< Accelerator memory of one adapter.
};

/// Capacity of the engines of a service; all zero for a service without them.
struct engine_spec {
  std::uint32_t Slots = 0;
  std::uint64_t CacheTokens = 0;
  double WeightsMb = 0; ///< Accelerator memory for weights and adapters.
  std::uint32_t AdapterSlots = 0;
  double LoadsPerSecond = 0; ///< Limit of the weight store, over all targets.
  /// Output tokens of one stream event; 0 if unknown: pauses are not predicted.
  std::uint32_t TokensPerEvent = 0;
  std::map<model_name, model_spec> Models;
};

/// A service and the capacity of its targets.
struct service_spec {
  service_name Name;
  std::string HealthPath;
  std::uint32_t ConnectionLimit = 0;
  bool HasEngine = false;
  engine_spec Engine;
};

/// What a request counts as in the quota of its workspace.
enum class quota_unit : std::uint8_t {
  Requests, ///< 1.
  Tokens    ///< The tokens that it states.
};

/// A workspace: callers with common keys, priority and quota. The quota holds
/// for all gateways together.
struct workspace_spec {
  workspace_name Name;
  /// Replaces the priority of the route; not set: the route's applies.
  std::optional<std::uint32_t> Priority;
  quota_unit Unit = quota_unit::Requests;
  /// Tokens that a request without a token count counts as.
  double UncountedTokens = 0;
  double RatePerSecond = 0; ///< Of the unit; 0 with Burst 0: no limit.
  double Burst = 0;         ///< Of the unit, beyond the rate.
};

/// A key and the workspace whose requests carry it.
struct declared_key {
  workspace_key Key;
  workspace_name Workspace;
};

/// Limits on callers' connections and requests.
struct caller_limits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 4U << 20U;
  std::int64_t HeaderTimeoutMs = 3000;
  std::int64_t IdleTimeoutMs = 15000;
};

/// One version of the complete configuration.
struct configuration {
  std::uint64_t Version = 0; ///< 0: no configuration is known yet.
  std::vector<route> Routes;
  std::map<service_name, service_spec> Services;
  /// Empty: no request needs a key.
  std::map<workspace_name, workspace_spec> Workspaces;
  /// In the order of the declaration; see key_index, which decides what a key
  /// that is declared twice belongs to.
  std::vector<declared_key> Keys;
  caller_limits Limits;
};

/// Finds routes by host and longest matching path prefix.
class route_table {
public:
  route_table() = default;
  explicit route_table(const configuration &Configuration);

  /// \param Host lower case, without a port. \param Path with its query.
  /// \returns null when no route matches.
  [[nodiscard]] auto find(std::string_view Host, std::string_view Path) const
      -> const route *;

private:
  std::map<std::string, std::vector<route>, std::less<>> ByHost;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_CONFIGURATION_H
