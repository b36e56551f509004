/// \file
/// The way of one answer from the reducer's thread to its connection's.
#ifndef LIMPETBRIDGE_NODE_ANSWER_QUEUE_H
#define LIMPETBRIDGE_NODE_ANSWER_QUEUE_H

#include "base/time.h"
#include "core/effects.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace limpetbridge {

/// Pieces of one answer, and its end.
class answer_queue {
public:
  /// What is there to be written.
  struct portion {
    std::string Text;
    std::uint32_t Pieces = 0;
    std::optional<answer_end> End;
  };

  auto push(const answer_frame &Frame) -> void {
    const std::lock_guard Lock(Mutex);
    for (const auto &Piece : Frame.Frame.Pieces)
      Waiting.Text += Piece;
    Waiting.Pieces += static_cast<std::uint32_t>(Frame.Frame.Pieces.size());
    Changed.notify_one();
  }

  auto push(answer_end End) -> void {
    const std::lock_guard Lock(Mutex);
    Waiting.End = std::move(End);
    Changed.notify_one();
  }

  /// Takes all that waits; empty when nothing came before \p Until.
  auto take(time_point Until) -> portion {
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, remaining(Until, process_clock::now()), [this] {
      return Waiting.Pieces > 0 || Waiting.End.has_value();
    });
    return std::exchange(Waiting, {});
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  portion Waiting;
};

using answer_handle = std::shared_ptr<answer_queue>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_ANSWER_QUEUE_H
