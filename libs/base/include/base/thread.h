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

/// Stack size of a thread that handles one connection, bytes.
inline constexpr std::size_t ConnectionStackBytes = std::size_t{256} * 1024;
/// Stack size of a thread that runs the reducer or a library's callbacks,
/// bytes.
inline constexpr std::size_t LoopStackBytes = std::size_t{1024} * 1024;

/// A joinable thread. The destructor waits for the thread to end.
/// \code
///   thread Loop("reducer", LoopStackBytes, [] { run(); });
/// \endcode
class thread {
public:
  /// Starts a thread that runs \p Body. Throws std::system_error if the thread
  /// cannot be created. \pre Name has at most 15 characters.
  thread(const std::string &Name, std::size_t StackBytes,
         std::function<void()> Body);
  ~thread();
  thread(const thread &) = delete;
  auto operator=(const thread &) -> thread & = delete;
  thread(thread &&Other) noexcept;
  auto operator=(thread &&) -> thread & = delete;

  /// Waits for the thread to end; further calls return at once.
  auto join() -> void;

private:
  pthread_t Handle{};
  bool Joinable = false;
};

/// A fixed number of worker threads that share one bounded queue of jobs.
class thread_pool {
public:
  /// \param Name name of every worker, at most 15 characters.
  /// \param Count number of workers, at least 1.
  /// \param StackBytes stack size of each worker, bytes.
  /// \param QueueLimit maximum number of queued jobs.
  thread_pool(const std::string &Name, std::size_t Count,
              std::size_t StackBytes, std::size_t QueueLimit);
  ~thread_pool();
  thread_pool(const thread_pool &) = delete;
  auto operator=(const thread_pool &) -> thread_pool & = delete;

  /// Queues \p Job. Returns false if the queue is full or the pool is stopping.
  [[nodiscard]] auto submit(std::function<void()> Job) -> bool;

  /// Stops accepting jobs, runs those already queued and joins all workers.
  auto stop() -> void;

private:
  auto runWorker() -> void;

  std::mutex Mutex;
  std::condition_variable JobQueuedOrStopping;
  std::deque<std::function<void()>> Jobs;
  std::size_t QueueLimit;
  bool Stopping = false;
  std::vector<std::unique_ptr<thread>> Workers;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_THREAD_H
