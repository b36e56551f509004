/// \file
/// Named POSIX threads with a bounded stack.
#ifndef LIMPETBRIDGE_BASE_THREAD_H
#define LIMPETBRIDGE_BASE_THREAD_H

#include <pthread.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace limpetbridge {

/// Stack of a thread that handles one connection, bytes.
inline constexpr std::size_t ConnectionStackBytes = std::size_t{256} * 1024;
/// Stack of a thread that runs the reducer or a library's callbacks, bytes.
inline constexpr std::size_t LoopStackBytes = std::size_t{1024} * 1024;

/// A joinable thread. The destructor joins.
/// \code
///   thread Loop("reducer", LoopStackBytes, [] { run(); });
/// \endcode
class thread {
public:
  /// Starts the thread. \pre Name has at most 15 characters.
  thread(const std::string &Name, std::size_t StackBytes,
         std::function<void()> Body);
  ~thread();
  thread(const thread &) = delete;
  auto operator=(const thread &) -> thread & = delete;
  thread(thread &&Other) noexcept;
  auto operator=(thread &&) -> thread & = delete;

  /// Waits for the end of the thread; a second call returns at once.
  auto join() -> void;

private:
  pthread_t Handle{};
  bool Joinable = false;
};

/// A fixed number of named threads that take jobs from one bounded queue.
class thread_pool {
public:
  /// \param Count threads, at least 1. \param QueueLimit jobs that may wait.
  thread_pool(const std::string &Name, std::size_t Count,
              std::size_t StackBytes, std::size_t QueueLimit);
  ~thread_pool();
  thread_pool(const thread_pool &) = delete;
  auto operator=(const thread_pool &) -> thread_pool & = delete;

  /// Queues \p Job; false when the queue is full or the pool is stopping.
  [[nodiscard]] auto submit(std::function<void()> Job) -> bool;

  /// Finishes queued jobs and joins every thread.
  auto stop() -> void;

private:
  auto run() -> void;

  std::mutex Mutex;
  std::condition_variable Ready;
  std::deque<std::function<void()>> Jobs;
  std::size_t QueueLimit;
  bool Stopping = false;
  std::vector<std::unique_ptr<thread>> Threads;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_THREAD_H
