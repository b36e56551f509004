#include "base/thread.h"

#include <cassert>
#include <system_error>
#include <utility>

namespace limpetbridge {

namespace {

/// Longest thread name that Linux accepts, without the terminating null.
constexpr std::size_t MaxNameLength = 15;

auto threadEntryPoint(void *Argument) -> void * {
  const std::unique_ptr<std::function<void()>> Body(
      static_cast<std::function<void()> *>(Argument));
  (*Body)();
  return nullptr;
}

} // namespace

thread::thread(const std::string &Name, std::size_t StackBytes,
               std::function<void()> Body) {
  assert(Name.size() <= MaxNameLength);
  pthread_attr_t Attributes;
  pthread_attr_init(&Attributes);
  pthread_attr_setstacksize(&Attributes, StackBytes);
  auto Argument = std::make_unique<std::function<void()>>(std::move(Body));
  const int Status =
      pthread_create(&Handle, &Attributes, threadEntryPoint, Argument.get());
  pthread_attr_destroy(&Attributes);
  if (Status != 0)
    throw std::system_error(Status, std::generic_category(), "pthread_create");
  Argument.release(); // NOLINT: the new thread owns it from here on.
  pthread_setname_np(Handle, Name.c_str());
  Joinable = true;
}

thread::~thread() { join(); }

thread::thread(thread &&Other) noexcept
    : Handle(Other.Handle), Joinable(std::exchange(Other.Joinable, false)) {}

auto thread::join() -> void {
  if (!std::exchange(Joinable, false))
    return;
  pthread_join(Handle, nullptr);
}

thread_pool::thread_pool(const std::string &Name, std::size_t Count,
                         std::size_t StackBytes, std::size_t QueueLimit)
    : QueueLimit(QueueLimit) {
  assert(Count > 0);
  Workers.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Workers.push_back(
        std::make_unique<thread>(Name, StackBytes, [this] { runWorker(); }));
}

thread_pool::~thread_pool() { stop(); }

auto thread_pool::submit(std::function<void()> Job) -> bool {
  {
    const std::lock_guard Lock(Mutex);
    if (Stopping || Jobs.size() >= QueueLimit)
      return false;
    Jobs.push_back(std::move(Job));
  }
  JobQueuedOrStopping.notify_one();
  return true;
}

auto thread_pool::stop() -> void {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  JobQueuedOrStopping.notify_all();
  for (auto &Worker : Workers)
    Worker->join();
}

auto thread_pool::runWorker() -> void {
  for (;;) {
    std::unique_lock Lock(Mutex);
    JobQueuedOrStopping.wait(Lock,
                             [this] { return Stopping || !Jobs.empty(); });
    if (Jobs.empty())
      return;
    auto Job = std::move(Jobs.front());
    Jobs.pop_front();
    Lock.unlock();
    Job();
  }
}

} // namespace limpetbridge
