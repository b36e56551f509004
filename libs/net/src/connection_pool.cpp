#include "net/connection_pool.h"

#include <utility>

namespace limpetbridge::net {

auto connection_pool::put(std::shared_ptr<target_connection> Connection)
    -> std::uint64_t {
  const auto Number = ++LastNumber;
  // The pool closes each connection, and so ends the watch, before it goes.
  Connection->startIdle([this, Number](idle_end End) {
    if (close(Number))
      OnLost(Number, End);
  });
  Idle.emplace(Number, std::move(Connection));
  return Number;
}

auto connection_pool::take(std::uint64_t Number)
    -> std::shared_ptr<target_connection> {
  const auto Found = Idle.find(Number);
  if (Found == Idle.end())
    return nullptr;
  auto Connection = std::move(Found->second);
  Idle.erase(Found);
  const auto End = Connection->stopIdle();
  if (!End)
    return Connection;
  Connection->close();
  OnLost(Number, *End);
  return nullptr;
}

auto connection_pool::close(std::uint64_t Number) -> bool {
  const auto Found = Idle.find(Number);
  if (Found == Idle.end())
    return false;
  const auto Connection = std::move(Found->second);
  Idle.erase(Found);
  (void)Connection->stopIdle();
  Connection->close();
  return true;
}

auto connection_pool::closeAll() -> void {
  while (!Idle.empty())
    close(Idle.begin()->first);
}

} // namespace limpetbridge::net
