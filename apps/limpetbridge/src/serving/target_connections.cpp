#include "target_connections.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace limpetbridge {

namespace {

using namespace serving;

auto toReason(net::idle_end End) -> close_reason {
  return End == net::idle_end::StrayBytes ? close_reason::StrayBytes
                                          : close_reason::PeerClosed;
}

/// The setting, but at most a quarter of the descriptors of the process.
auto maxIdleConnections(const node_settings &Settings) -> std::size_t {
  constexpr rlim_t DescriptorDivisor = 4;
  rlimit Limit{};
  auto Count = static_cast<rlim_t>(Settings.MaxIdleConnections);
  if (getrlimit(RLIMIT_NOFILE, &Limit) == 0)
    Count = std::min(Count, Limit.rlim_cur / DescriptorDivisor);
  return static_cast<std::size_t>(Count);
}

} // namespace

auto makeKeepPolicy(const node_settings &Settings, bool TargetsKeep)
    -> keep_policy {
  keep_policy Policy;
  Policy.Enabled = Settings.KeepConnections || TargetsKeep;
  Policy.DefaultIdle = milliseconds(Settings.ConnectionIdleMs);
  Policy.Margin = milliseconds(Settings.KeepAliveMarginMs);
  Policy.SingleUseIdle = milliseconds(Settings.SingleUseIdleMs);
  Policy.MaxIdle = maxIdleConnections(Settings);
  Policy.ConnectionCostMs = Settings.ConnectionCostMs;
  return Policy;
}

target_connections::target_connections(
    net::asio::any_io_executor ConnectionExecutor, metrics &NodeMetrics,
    std::function<void(gateway_event)> Dispatch)
    : Executor(std::move(ConnectionExecutor)), Metrics(NodeMetrics),
      Report(std::move(Dispatch)),
      Pool([this](connection_number Number, net::idle_end End) {
        const auto Reason = toReason(End);
        Metrics.count("target_connections_closed", nameOf(Reason));
        Report(connection_lost{Number, Reason});
      }) {}

auto target_connections::create() -> std::shared_ptr<net::target_connection> {
  return std::make_shared<net::target_connection>(Executor);
}

auto target_connections::countOpened() -> void {
  Metrics.count("target_connections", "opened");
}

auto target_connections::take(connection_number Number)
    -> std::shared_ptr<net::target_connection> {
  auto Connection = Pool.take(Number);
  if (Connection)
    Metrics.count("target_connections", "reused");
  return Connection;
}

auto target_connections::keep(
    std::shared_ptr<net::target_connection> Connection, request_number Number,
    attempt_number Attempt, std::optional<std::int64_t> StatedMs) -> void {
  if (!Connection->isReusable()) {
    Metrics.count("target_connections_closed", "not_reusable");
    return Connection->close();
  }
  const auto Kept = Pool.put(std::move(Connection));
  Report(connection_rested{Number, Kept, StatedMs, Attempt});
}

auto target_connections::execute(const close_connections &Effect) -> void {
  for (const auto Number : Effect.Numbers)
    if (Pool.close(Number))
      Metrics.count("target_connections_closed", nameOf(Effect.Reason));
}

} // namespace limpetbridge
