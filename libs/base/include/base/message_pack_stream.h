/// \file
/// Writes and reads MessagePack without a tree of values in between, for
/// messages that are exchanged often. What is written has the bytes that
/// toMessagePack gives to the same values, if keys are written in their order.
#ifndef LIMPETBRIDGE_BASE_MESSAGE_PACK_STREAM_H
#define LIMPETBRIDGE_BASE_MESSAGE_PACK_STREAM_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetbridge {

/// Appends values; the caller writes as many as it announced.
class message_pack_writer {
public:
  /// \p Count values follow.
  auto beginArray(std::size_t Count) -> void;
  /// \p Count pairs of a key and a value follow.
  auto beginMap(std::size_t Count) -> void;
  auto write(std::string_view Text) -> void;
  auto write(const char *Text) -> void { write(std::string_view(Text)); }
  auto write(bool Value) -> void;
  /// In four bytes if that loses nothing.
  auto write(double Value) -> void;
  auto write(std::uint64_t Value) -> void;
  auto write(std::uint32_t Value) -> void { write(std::uint64_t{Value}); }
  auto write(std::int64_t Value) -> void;

  /// Writes a key and its value.
  template <typename value>
  auto writeField(std::string_view Key, const value &Value) -> void {
    write(Key);
    write(Value);
  }

  [[nodiscard]] auto take() -> std::string { return std::move(Bytes); }

private:
  /// Writes \p Marker and the last \p Size bytes of \p Value.
  auto put(unsigned Marker, std::uint64_t Value, std::size_t Size) -> void;

  std::string Bytes;
};

/// Reads values one after the other. All functions throw std::invalid_argument
/// if the next value is missing, cut off or of another type.
class message_pack_reader {
public:
  /// \p Message must outlive the reader and the texts that it returns.
  explicit message_pack_reader(std::string_view Message) : Rest(Message) {}

  [[nodiscard]] auto atEnd() const -> bool { return Rest.empty(); }
  /// Reads the number of values that follow.
  auto readArray() -> std::size_t;
  /// Reads the number of pairs that follow.
  auto readMap() -> std::size_t;
  auto readText() -> std::string_view;
  auto readBool() -> bool;
  /// Reads a number of any type.
  auto readNumber() -> double;
  /// Reads a whole number of 0 or more.
  auto readUnsigned() -> std::uint64_t;
  auto readInteger() -> std::int64_t;
  /// Skips one value of any type that is nested in at most \p Depth others.
  auto skip(std::size_t Depth = MaxDepth) -> void;

  /// Calls \p ReadItem for each value of an array.
  template <typename read_item>
  auto readItems(const read_item &ReadItem) -> void {
    for (auto Count = readArray(); Count > 0; --Count)
      ReadItem();
  }

  /// Reads an array of at least \p Count values: \p ReadValues reads the first
  /// ones, and later versions may add others.
  template <typename read_values>
  auto readTuple(std::size_t Count, const read_values &ReadValues) -> void {
    const auto Size = readArray();
    requireCount(Size >= Count);
    ReadValues();
    for (auto Extra = Size - Count; Extra > 0; --Extra)
      skip();
  }

private:
  /// Nesting; the messages of this project use six levels.
  static constexpr std::size_t MaxDepth = 16;

  static auto requireCount(bool Enough) -> void;
  auto takeBytes(std::size_t Count) -> std::string_view;
  auto takeMarker() -> unsigned;
  /// Takes a number of \p Size bytes, the highest one first.
  auto takeBits(std::size_t Size) -> std::uint64_t;
  /// The number of values after the marker of a container, or of the bytes
  /// after that of a text.
  auto readSize(unsigned Marker, unsigned Fixed, unsigned FixedEnd,
                unsigned First, std::size_t FirstSize) -> std::size_t;

  std::string_view Rest;
};

/// The fields of a message that is one map, in any order.
class message_pack_fields {
public:
  /// \throws std::invalid_argument if \p Message is not exactly one map.
  explicit message_pack_fields(std::string_view Message);

  /// A reader at the value of \p Key.
  /// \throws std::invalid_argument if there is none.
  [[nodiscard]] auto at(std::string_view Key) const -> message_pack_reader;
  [[nodiscard]] auto contains(std::string_view Key) const -> bool;
  [[nodiscard]] auto text(std::string_view Key) const -> std::string {
    return std::string(at(Key).readText());
  }

private:
  [[nodiscard]] auto find(std::string_view Key) const
      -> const message_pack_reader *;

  std::vector<std::pair<std::string_view, message_pack_reader>> Fields;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_MESSAGE_PACK_STREAM_H
