#include "serving/load_window.h"

#include <charconv>

namespace limpetbridge::serving {

load_window::load_window(std::string_view Text) {
  while (!Text.empty()) {
    const auto Comma = Text.find(',');
    const auto Part = Text.substr(0, Comma);
    std::int64_t Start = 0;
    const auto Parsed =
        std::from_chars(Part.data(), Part.data() + Part.size(), Start);
    if (Parsed.ec == std::errc())
      Starts.push_back(Start);
    if (Comma == std::string_view::npos)
      break;
    Text.remove_prefix(Comma + 1);
  }
}

auto load_window::acquire(std::int64_t NowMs, std::int64_t WindowMs,
                          std::size_t Limit) -> bool {
  std::erase_if(Starts,
                [&](std::int64_t Start) { return Start <= NowMs - WindowMs; });
  if (Starts.size() >= Limit)
    return false;
  Starts.push_back(NowMs);
  return true;
}

auto load_window::serialize() const -> std::string {
  std::string Text;
  for (const auto Start : Starts)
    Text += (Text.empty() ? "" : ",") + std::to_string(Start);
  return Text;
}

} // namespace limpetbridge::serving
