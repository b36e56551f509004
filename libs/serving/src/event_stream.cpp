#include "serving/event_stream.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace limpetbridge::serving {

namespace {

/// Length of the first event in \p Text with its empty line; 0 if incomplete.
/// \param Start the empty line does not begin before it.
auto eventLength(std::string_view Text, std::size_t Start) -> std::size_t {
  const auto Lf = Text.find("\n\n", Start);
  const auto Crlf = Text.find("\r\n\r\n", Start);
  if (Lf == std::string_view::npos && Crlf == std::string_view::npos)
    return 0;
  constexpr std::size_t LfEnd = 2;
  constexpr std::size_t CrlfEnd = 4;
  return Lf < Crlf ? Lf + LfEnd : Crlf + CrlfEnd;
}

auto idOf(std::string_view Event) -> std::string_view {
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    auto Line = Event.substr(0, End);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.starts_with("id:")) {
      Line.remove_prefix(3);
      return Line.starts_with(' ') ? Line.substr(1) : Line;
    }
    if (End == std::string_view::npos)
      break;
    Event.remove_prefix(End + 1);
  }
  return {};
}

auto toNumber(std::string_view Text) -> std::optional<std::uint64_t> {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

auto event_stream::feed(std::string_view Bytes) -> std::string {
  // The part before was searched already; an empty line may span the two.
  constexpr std::size_t LongestOverlap = 3;
  auto SearchFrom = Pending.size() - std::min(Pending.size(), LongestOverlap);
  Pending += Bytes;
  std::string Complete;
  std::size_t Start = 0;
  for (;;) {
    const auto Unread = std::string_view(Pending).substr(Start);
    const auto Length = eventLength(Unread, std::exchange(SearchFrom, 0));
    if (Length == 0)
      break;
    const auto Event = Unread.substr(0, Length);
    const auto Id = idOf(Event);
    const auto Number = toNumber(Id);
    const auto Last = toNumber(LastId);
    const bool Repeated = Number && Last && *Number <= *Last;
    if (!Repeated) {
      Complete += Event;
      if (!Id.empty())
        LastId = std::string(Id);
    }
    Start += Length;
  }
  Pending.erase(0, Start);
  return Complete;
}

} // namespace limpetbridge::serving
