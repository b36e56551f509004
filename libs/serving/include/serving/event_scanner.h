/// \file
/// Finds the ends of events in a server-sent event stream. Lines end with CR,
/// LF or CRLF; an empty line ends an event.
#ifndef LIMPETBRIDGE_SERVING_EVENT_SCANNER_H
#define LIMPETBRIDGE_SERVING_EVENT_SCANNER_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace limpetbridge::serving {

/// Follows the body of one answer without storing it.
class event_scanner {
public:
  /// Reads \p Bytes up to the next position between two events.
  /// \returns the number of bytes read; all of them if there is no such
  /// position. It may be 0 if the last byte of the call before turns out to
  /// have ended an event.
  auto scan(std::string_view Bytes) -> std::size_t;

  /// Reads all of \p Bytes.
  auto scanAll(std::string_view Bytes) -> void;

  /// True unless an event or a comment is incomplete. After a CR that may be
  /// the first half of a CRLF as in the line before, the event is incomplete.
  [[nodiscard]] auto isBetweenEvents() const -> bool {
    return LineEmpty && !HasFields;
  }

  /// Complete events so far; comments are none.
  [[nodiscard]] auto eventCount() const -> std::uint64_t { return Events; }

private:
  /// How a line ended.
  enum class line_end : std::uint8_t { Lf, Cr, CrLf };

  auto endLine(char Byte) -> void;
  auto endEvent() -> void;
  /// Takes the LF of a CRLF. \returns false if \p Byte is none.
  auto completeCrLf(char Byte) -> bool;

  std::uint64_t Events = 0;
  std::size_t ByteOrderMark = 0; ///< Bytes of it that were read.
  line_end PreviousEnd = line_end::Lf;
  bool AtStart = true;   ///< Only the byte order mark was read.
  bool LineEmpty = true; ///< The current line has no byte yet.
  bool LineIsComment = false;
  bool HasFields = false;   ///< The current event has a line.
  bool AfterCr = false;     ///< The last byte was a CR.
  bool EndsAfterCr = false; ///< The event ends with that CR, or an LF after it.
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_EVENT_SCANNER_H
