/// \file
/// Many callers that send and do not read.
#ifndef LIMPETBRIDGE_CROWDS_TESTS_CROWD_H
#define LIMPETBRIDGE_CROWDS_TESTS_CROWD_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetbridge::crowds {

/// What each caller of a crowd sends: a head, a block many times, and a tail.
struct script {
  std::string Head;
  std::string Block;
  std::size_t Blocks = 0;
};

/// Callers whose connections stay open until they are destroyed.
class crowd {
public:
  crowd() = default;
  ~crowd();
  crowd(const crowd &) = delete;
  auto operator=(const crowd &) -> crowd & = delete;

  /// Connects \p Count more callers to \p Address, `ip:port`, who will send
  /// \p Script.
  auto add(const std::string &Address, std::size_t Count, const script &Script)
      -> void;
  /// Lets each caller send \p Blocks more blocks than its script has.
  auto addBlocks(std::size_t Blocks) -> void;
  /// Sends until nothing goes on for a while: all is sent, connections were
  /// closed, or the peer reads no more.
  /// \param Watch called now and then; a change of its result is progress too.
  auto send(const std::function<std::size_t()> &Watch) -> void;

  /// Callers that have sent everything.
  [[nodiscard]] auto doneCount() const -> std::size_t;
  /// Callers whose connection was closed or refused.
  [[nodiscard]] auto closedCount() const -> std::size_t;

private:
  struct caller {
    int Socket = -1;
    std::shared_ptr<const script> Script;
    std::size_t Blocks = 0; ///< To send, with those that were added.
    std::size_t Sent = 0;   ///< Bytes.
    bool Closed = false;

    [[nodiscard]] auto total() const -> std::size_t;
    /// Sends what the connection takes. \returns the number of bytes.
    auto sendSome() -> std::size_t;
  };

  std::vector<caller> Callers;
};

} // namespace limpetbridge::crowds

#endif // LIMPETBRIDGE_CROWDS_TESTS_CROWD_H
