/// \file
/// Digests of other gateways that have been received and not been read.
#ifndef LIMPETBRIDGE_NODE_SERVING_DIGEST_INBOX_H
#define LIMPETBRIDGE_NODE_SERVING_DIGEST_INBOX_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetbridge {

/// Keeps the latest digest of each sender. A gateway that reads them more
/// slowly than they arrive so reads fewer, and none that is old.
class digest_inbox {
public:
  /// Replaces the digest of \p Sender that has not been read yet.
  auto put(const std::string &Sender, std::string_view Bytes) -> void;
  /// Takes the digest of the sender that has waited longest.
  auto take() -> std::optional<std::string>;
  /// Digests that a later one has replaced.
  [[nodiscard]] auto replacedCount() const -> std::uint64_t {
    return ReplacedCount;
  }
  [[nodiscard]] auto empty() const -> bool { return Order.empty(); }

private:
  std::map<std::string, std::string> Latest; ///< By sender.
  std::deque<std::string> Order;             ///< Their senders.
  std::uint64_t ReplacedCount = 0;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_DIGEST_INBOX_H
