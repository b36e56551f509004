#include "serving/load_window.h"

#include <algorithm>
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
  // A start in the future is of another clock, that of the store before it was
  // restored. Whoever recorded it restores it.
  std::erase_if(Starts, [&](std::int64_t Start) {
    return Start <= NowMs - WindowMs || Start > NowMs;
  });
  if (Starts.size() >= Limit)
    return false;
  Starts.push_back(NowMs);
  return true;
}

auto load_window::restore(std::int64_t StartMs) -> bool {
  if (std::find(Starts.begin(), Starts.end(), StartMs) != Starts.end())
    return false;
  Starts.push_back(StartMs);
  return true;
}

auto load_window::serialize() const -> std::string {
  std::string Text;
  for (const auto Start : Starts)
    Text += (Text.empty() ? "" : ",") + std::to_string(Start);
  return Text;
}

} // namespace limpetbridge::serving
