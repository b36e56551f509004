#include "node_loop.h"

#include <utility>

namespace limpetbridge {

node_loop::node_loop(node_state State, effect_hook Execute,
                     state_visit AfterBatch)
    : State(std::move(State)), Execute(std::move(Execute)),
      AfterBatch(std::move(AfterBatch)) {}

node_loop::~node_loop() { stop(); }

auto node_loop::start() -> void {
  Thread =
      std::make_unique<thread>("reducer", LoopStackBytes, [this] { run(); });
}

auto node_loop::post(event Event) -> void { push(std::move(Event)); }

auto node_loop::visit(state_visit Visit) -> void { push(std::move(Visit)); }

auto node_loop::push(item Item) -> void {
  bool WasEmpty = false;
  {
    const std::lock_guard Lock(Mutex);
    WasEmpty = Queue.empty();
    Queue.push_back(std::move(Item));
  }
  if (WasEmpty)
    Ready.notify_one();
}

auto node_loop::stop() -> void {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Ready.notify_all();
  Thread.reset();
}

auto node_loop::takeBatch() -> std::vector<item> {
  std::unique_lock Lock(Mutex);
  const auto Wait = remaining(TickAt, process_clock::now());
  Ready.wait_for(Lock, Wait, [this] { return Stopping || !Queue.empty(); });
  return std::exchange(Queue, {});
}

auto node_loop::run() -> void {
  for (;;) {
    auto Batch = takeBatch();
    {
      const std::lock_guard Lock(Mutex);
      if (Stopping)
        return;
    }
    for (auto &Item : Batch)
      handle(Item);
    const auto Now = process_clock::now();
    if (Now >= TickAt) {
      apply(tick{});
      TickAt = nextTick(State, Now);
    }
    AfterBatch(State, Now);
  }
}

auto node_loop::handle(item &Item) -> void {
  if (const auto *Visit = std::get_if<state_visit>(&Item))
    (*Visit)(State, process_clock::now());
  else
    apply(std::get<event>(Item));
}

auto node_loop::apply(const event &Event) -> void {
  for (auto &Effect : reduce(State, Event, process_clock::now()))
    Execute(Effect);
}

} // namespace limpetbridge
