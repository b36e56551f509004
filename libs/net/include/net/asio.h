/// \file
/// The parts of Asio that this library uses, and helpers for coroutines.
#ifndef LIMPETBRIDGE_NET_ASIO_H
#define LIMPETBRIDGE_NET_ASIO_H

#include <utility> // Asio's awaitable header needs std::exchange.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/time.h"

#include <charconv>
#include <cstdint>
#include <exception>
#include <functional>
#include <optional>
#include <string>

namespace limpetbridge::net {

namespace asio = boost::asio;
using asio::awaitable;
using error_code = boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

/// Completion token that stores the error instead of throwing it.
inline auto storeError(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

/// Starts \p Task, which the process needs, detached. An exception that leaves
/// it terminates the process, so that it is started again.
template <typename executor>
auto spawn(const executor &Executor, awaitable<void> Task) -> void {
  asio::co_spawn(Executor, std::move(Task),
                 [](const std::exception_ptr &Exception) {
                   if (Exception)
                     std::rethrow_exception(Exception);
                 });
}

/// Starts \p Task, which serves one peer, detached. An exception that leaves it
/// ends only this task and is reported to \p OnError.
template <typename executor>
auto spawnContained(const executor &Executor, awaitable<void> Task,
                    std::function<void(const std::string &)> OnError) -> void {
  asio::co_spawn(
      Executor, std::move(Task),
      [OnError = std::move(OnError)](const std::exception_ptr &Exception) {
        if (!Exception)
          return;
        try {
          std::rethrow_exception(Exception);
        } catch (const std::exception &Error) {
          OnError(Error.what());
        }
      });
}

/// Suspends the calling task.
inline auto sleepFor(duration Delay) -> awaitable<void> {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Delay);
  co_await Timer.async_wait(asio::use_awaitable);
}

/// Parses `ip:port`. \returns none if it is not an IP address and a port.
template <typename protocol>
[[nodiscard]] auto parseEndpoint(const std::string &Address)
    -> std::optional<typename protocol::endpoint> {
  const auto ColonPosition = Address.rfind(':');
  if (ColonPosition == std::string::npos)
    return std::nullopt;
  error_code Error;
  const auto IpAddress =
      asio::ip::make_address(Address.substr(0, ColonPosition), Error);
  if (Error)
    return std::nullopt;
  std::uint16_t Port = 0;
  const auto *PortEnd = Address.data() + Address.size();
  const auto Parsed =
      std::from_chars(Address.data() + ColonPosition + 1, PortEnd, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != PortEnd)
    return std::nullopt;
  return typename protocol::endpoint(IpAddress, Port);
}

/// Converts a time of the process clock for Asio's timers.
[[nodiscard]] inline auto toSteadyTime(time_point Time)
    -> std::chrono::steady_clock::time_point {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          Time.time_since_epoch()));
}

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_ASIO_H
