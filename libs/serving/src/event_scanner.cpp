#include "serving/event_scanner.h"

#include <utility>

namespace limpetbridge::serving {

namespace {

constexpr std::string_view ByteOrderMarkBytes = "\xEF\xBB\xBF";

} // namespace

auto event_scanner::endEvent() -> void {
  if (std::exchange(HasFields, false))
    ++Events;
  EndsAfterCr = false;
}

auto event_scanner::completeCrLf(char Byte) -> bool {
  if (!std::exchange(AfterCr, false) || Byte != '\n')
    return false;
  PreviousEnd = line_end::CrLf;
  if (EndsAfterCr)
    endEvent();
  return true;
}

auto event_scanner::endLine(char Byte) -> void {
  const bool EndsEvent = std::exchange(LineEmpty, true);
  LineIsComment = false;
  const auto LineBefore = PreviousEnd;
  AfterCr = Byte == '\r';
  PreviousEnd = AfterCr ? line_end::Cr : line_end::Lf;
  if (!EndsEvent)
    return;
  EndsAfterCr = AfterCr && HasFields && LineBefore == line_end::CrLf;
  if (!EndsAfterCr)
    endEvent();
}

auto event_scanner::scan(std::string_view Bytes) -> std::size_t {
  for (std::size_t Read = 0; Read < Bytes.size(); ++Read) {
    const char Byte = Bytes[Read];
    if (completeCrLf(Byte)) {
      if (isBetweenEvents())
        return Read + 1;
      continue;
    }
    if (EndsAfterCr) {
      endEvent();
      return Read;
    }
    if (AtStart && ByteOrderMark < ByteOrderMarkBytes.size() &&
        Byte == ByteOrderMarkBytes[ByteOrderMark]) {
      ++ByteOrderMark;
      continue;
    }
    AtStart = false;
    if (Byte == '\r' || Byte == '\n') {
      endLine(Byte);
      if (isBetweenEvents())
        return Read + 1;
      continue;
    }
    if (std::exchange(LineEmpty, false))
      LineIsComment = Byte == ':';
    HasFields |= !LineIsComment;
  }
  return Bytes.size();
}

auto event_scanner::scanAll(std::string_view Bytes) -> void {
  while (!Bytes.empty())
    Bytes.remove_prefix(scan(Bytes));
}

} // namespace limpetbridge::serving
