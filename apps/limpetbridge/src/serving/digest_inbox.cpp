#include "digest_inbox.h"

namespace limpetbridge {

auto digest_inbox::put(const std::string &Sender, std::string_view Bytes)
    -> void {
  /// Senders whose digests are kept. More than these are not gateways of one
  /// deployment.
  constexpr std::size_t MaxSenders = 1024;
  const auto Found = Latest.find(Sender);
  if (Found != Latest.end()) {
    Found->second.assign(Bytes);
    ++ReplacedCount;
    return;
  }
  if (Latest.size() >= MaxSenders)
    return;
  Latest.emplace(Sender, Bytes);
  Order.push_back(Sender);
}

auto digest_inbox::take() -> std::optional<std::string> {
  if (Order.empty())
    return std::nullopt;
  auto Oldest = Latest.extract(Order.front());
  Order.pop_front();
  return std::move(Oldest.mapped());
}

} // namespace limpetbridge
