/// \file
/// Passes one answer from the reducer's thread to the thread of its connection.
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

/// The pieces of one answer and its end, in a queue between two threads.
class answer_queue {
public:
  /// Part of the answer that has not been written to the caller yet.
  struct part {
    std::string Text;
    std::uint32_t Pieces = 0;
    std::optional<answer_end> End;
  };

  auto push(const answer_frame &Frame) -> void {
    const std::lock_guard Lock(Mutex);
    for (const auto &Piece : Frame.Frame.Pieces)
      Pending.Text += Piece;
    Pending.Pieces += static_cast<std::uint32_t>(Frame.Frame.Pieces.size());
    PendingChanged.notify_one();
  }

  auto push(answer_end End) -> void {
    const std::lock_guard Lock(Mutex);
    Pending.End = std::move(End);
    PendingChanged.notify_one();
  }

  /// Waits for and removes all that is pending; an empty part when nothing
  /// arrived by \p Deadline.
  auto waitForPart(time_point Deadline) -> part {
    std::unique_lock Lock(Mutex);
    PendingChanged.wait_for(
        Lock, remaining(Deadline, process_clock::now()),
        [this] { return Pending.Pieces > 0 || Pending.End.has_value(); });
    return std::exchange(Pending, {});
  }

private:
  std::mutex Mutex;
  std::condition_variable PendingChanged;
  part Pending;
};

using answer_handle = std::shared_ptr<answer_queue>;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_ANSWER_QUEUE_H
