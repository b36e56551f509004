#include "node_loop.h"

#include <utility>

namespace limpetbridge {

node_loop::node_loop(node_state State, effect_executor ExecuteEffect,
                     state_reader AfterBatch)
    : State(std::move(State)), ExecuteEffect(std::move(ExecuteEffect)),
      AfterBatch(std::move(AfterBatch)) {}

node_loop::~node_loop() { stop(); }

auto node_loop::start() -> void {
  Thread = std::make_unique<thread>("reducer", LoopStackBytes,
                                    [this] { runReducer(); });
}

auto node_loop::postEvent(event Event) -> void { enqueue(std::move(Event)); }

auto node_loop::readState(state_reader Reader) -> void {
  enqueue(std::move(Reader));
}

auto node_loop::enqueue(queue_item Item) -> void {
  bool WasEmpty = false;
  {
    const std::lock_guard Lock(Mutex);
    WasEmpty = Queue.empty();
    Queue.push_back(std::move(Item));
  }
  if (WasEmpty)
    QueueChanged.notify_one();
}

auto node_loop::stop() -> void {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  QueueChanged.notify_all();
  Thread.reset();
}

auto node_loop::waitForBatch() -> std::vector<queue_item> {
  std::unique_lock Lock(Mutex);
  const auto Wait = remaining(NextTickAt, process_clock::now());
  QueueChanged.wait_for(Lock, Wait,
                        [this] { return Stopping || !Queue.empty(); });
  return std::exchange(Queue, {});
}

auto node_loop::runReducer() -> void {
  for (;;) {
    auto Batch = waitForBatch();
    {
      const std::lock_guard Lock(Mutex);
      if (Stopping)
        return;
    }
    for (auto &Item : Batch)
      processItem(Item);
    const auto Now = process_clock::now();
    if (Now >= NextTickAt) {
      applyEvent(tick{});
      NextTickAt = nextTick(State, Now);
    }
    AfterBatch(State, Now);
  }
}

auto node_loop::processItem(queue_item &Item) -> void {
  if (const auto *Reader = std::get_if<state_reader>(&Item))
    (*Reader)(State, process_clock::now());
  else
    applyEvent(std::get<event>(Item));
}

auto node_loop::applyEvent(const event &Event) -> void {
  for (auto &Effect : reduce(State, Event, process_clock::now()))
    ExecuteEffect(Effect);
}

} // namespace limpetbridge
