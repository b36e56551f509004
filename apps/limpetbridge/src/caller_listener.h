/// \file
/// Accepts the connections of callers and serves their requests.
#ifndef LIMPETBRIDGE_CALLER_LISTENER_H
#define LIMPETBRIDGE_CALLER_LISTENER_H

#include "base/thread.h"
#include "base/time.h"

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace limpetbridge {

class socket_stream;

/// The HTTP library's server with connection handling of its own, because the
/// library's stop() drops connections that wait for a thread, cuts streamed
/// answers and closes connections that it promised to keep. Here, every
/// accepted connection is served.
class caller_listener : public httplib::Server {
public:
  /// \param Threads connections served concurrently.
  /// \param QueueLimit accepted connections that may wait for a thread; further
  /// ones wait in the kernel.
  /// \param IoTimeout longest wait for the caller within a request or answer.
  caller_listener(std::size_t Threads, std::size_t QueueLimit,
                  duration IoTimeout);
  ~caller_listener() override;
  caller_listener(const caller_listener &) = delete;
  auto operator=(const caller_listener &) -> caller_listener & = delete;

  /// Starts to listen; port 0 picks a free one. \returns the port.
  /// \throws std::runtime_error when the port is taken.
  auto start(const std::string &Address, std::uint16_t Port) -> std::uint16_t;

  /// Has every answer from now on tell the caller that the connection closes,
  /// so that callers move to other entries before this one stops.
  auto beginDrain() -> void { Closing = true; }

  /// Stops listening, serves what has been accepted, and closes connections as
  /// they become idle. Those that are open at \p Deadline are cut.
  auto stopBy(time_point Deadline) -> void;

private:
  auto runAcceptor() -> void;
  auto acceptOne() -> void;
  auto announceClose(httplib::Response &Response) const -> void;
  auto serve(socket_t Socket) -> void;
  auto awaitRequest(const socket_stream &Stream) const -> bool;
  auto closeConnection(socket_t Socket) -> void;

  duration IoTimeout;
  int StopEvent; ///< An eventfd that is readable once the listener stops.
  std::atomic<bool> Closing{false}; ///< Answers end their connection.
  std::mutex Mutex;
  std::condition_variable ConnectionClosed;
  std::set<socket_t> Open; ///< Accepted connections.
  bool Accepting = false;
  std::atomic<bool> Cut{false}; ///< The deadline of the stop has passed.
  thread_pool Pool;
  std::unique_ptr<thread> Acceptor;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CALLER_LISTENER_H
