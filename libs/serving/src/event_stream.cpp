#include "serving/event_stream.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace limpetbridge::serving {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

/// Id of \p Event, the last one if there are several; empty if there is none.
auto idOf(std::string_view Event) -> std::string_view {
  std::string_view Id;
  while (!Event.empty()) {
    const auto End = Event.find_first_of("\r\n");
    auto Line = Event.substr(0, End);
    if (Line.starts_with("id:")) {
      Line.remove_prefix(3);
      Id = Line.starts_with(' ') ? Line.substr(1) : Line;
    }
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
  }
  return Id;
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

auto event_stream::beginAttempt() -> void {
  Scanner = {};
  Pending.clear();
}

auto event_stream::feed(std::string_view Bytes) -> std::string {
  std::string Complete;
  while (!Bytes.empty()) {
    const auto Length = Scanner.scan(Bytes);
    Pending += Bytes.substr(0, Length);
    Bytes.remove_prefix(Length);
    if (Scanner.isBetweenEvents())
      takeEvent(Complete);
  }
  return Complete;
}

auto event_stream::takeEvent(std::string &Complete) -> void {
  std::string_view Event = Pending;
  std::string_view Mark;
  if (Scanner.eventCount() <= 1 && Event.starts_with(ByteOrderMark)) {
    Mark = Event.substr(0, ByteOrderMark.size());
    Event.remove_prefix(Mark.size());
  }
  const auto Id = idOf(Event);
  const auto Number = toNumber(Id);
  const auto Last = toNumber(LastId);
  const bool Repeated = Number && Last && *Number <= *Last;
  if (!Repeated) {
    // The mark may only stand at the start of the whole stream.
    if (LastId.empty())
      Complete += Mark;
    Complete += Event;
    if (!Id.empty())
      LastId = std::string(Id);
  }
  Pending.clear();
}

auto event_stream::mayEnd(bool EndsWithConnection) const -> bool {
  return Scanner.isBetweenEvents() &&
         (!EndsWithConnection || Scanner.eventCount() > 0);
}

} // namespace limpetbridge::serving
