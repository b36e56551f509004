#include "base/message_pack_stream.h"

#include <bit>
#include <limits>
#include <stdexcept>

namespace limpetbridge {

namespace {

// Markers as in the specification of MessagePack.
constexpr unsigned FixMap = 0x80;
constexpr unsigned FixArray = 0x90;
constexpr unsigned FixText = 0xa0;
constexpr unsigned FixEnd = 0xc0;
constexpr unsigned Nil = 0xc0;
constexpr unsigned False = 0xc2;
constexpr unsigned True = 0xc3;
constexpr unsigned Bin8 = 0xc4;
constexpr unsigned Ext8 = 0xc7;
constexpr unsigned Float32 = 0xca;
constexpr unsigned Float64 = 0xcb;
constexpr unsigned Unsigned8 = 0xcc;
constexpr unsigned Signed8 = 0xd0;
constexpr unsigned FixExt1 = 0xd4;
constexpr unsigned Text8 = 0xd9;
constexpr unsigned Array16 = 0xdc;
constexpr unsigned Map16 = 0xde;
constexpr unsigned NegativeFix = 0xe0;

/// Number of size classes of a type, for 1, 2, 4 and 8 bytes.
constexpr unsigned IntegerSizes = 4;
constexpr std::size_t BitsPerByte = 8;

[[noreturn]] auto fail(const char *Message) -> void {
  throw std::invalid_argument(Message);
}

/// \p Bits, whose lowest \p Size bytes are a number in two's complement.
auto extendSign(std::uint64_t Bits, std::size_t Size) -> std::int64_t {
  const auto Unused = BitsPerByte * (sizeof(Bits) - Size);
  return static_cast<std::int64_t>(Bits << Unused) >>
         static_cast<std::int64_t>(Unused);
}

/// \p Index of the size classes as bytes.
auto sizeOfClass(unsigned Index) -> std::size_t {
  return std::size_t{1} << Index;
}

} // namespace

auto message_pack_writer::put(unsigned Marker, std::uint64_t Value,
                              std::size_t Size) -> void {
  Bytes.push_back(static_cast<char>(Marker));
  while (Size > 0)
    Bytes.push_back(static_cast<char>(Value >> (BitsPerByte * --Size)));
}

auto message_pack_writer::beginArray(std::size_t Count) -> void {
  if (Count < 16)
    return put(FixArray + static_cast<unsigned>(Count), 0, 0);
  Count <= UINT16_MAX ? put(Array16, Count, 2) : put(Array16 + 1, Count, 4);
}

auto message_pack_writer::beginMap(std::size_t Count) -> void {
  if (Count < 16)
    return put(FixMap + static_cast<unsigned>(Count), 0, 0);
  Count <= UINT16_MAX ? put(Map16, Count, 2) : put(Map16 + 1, Count, 4);
}

auto message_pack_writer::write(std::string_view Text) -> void {
  const auto Size = Text.size();
  if (Size < 32)
    put(FixText + static_cast<unsigned>(Size), 0, 0);
  else if (Size <= UINT8_MAX)
    put(Text8, Size, 1);
  else if (Size <= UINT16_MAX)
    put(Text8 + 1, Size, 2);
  else
    put(Text8 + 2, Size, 4);
  Bytes.append(Text);
}

auto message_pack_writer::write(bool Value) -> void {
  put(Value ? True : False, 0, 0);
}

auto message_pack_writer::write(double Value) -> void {
  constexpr double Max = std::numeric_limits<float>::max();
  if (Value >= -Max && Value <= Max &&
      static_cast<double>(static_cast<float>(Value)) == Value)
    put(Float32, std::bit_cast<std::uint32_t>(static_cast<float>(Value)), 4);
  else
    put(Float64, std::bit_cast<std::uint64_t>(Value), 8);
}

auto message_pack_writer::write(std::uint64_t Value) -> void {
  if (Value < FixMap)
    put(static_cast<unsigned>(Value), 0, 0);
  else if (Value <= UINT8_MAX)
    put(Unsigned8, Value, 1);
  else if (Value <= UINT16_MAX)
    put(Unsigned8 + 1, Value, 2);
  else if (Value <= UINT32_MAX)
    put(Unsigned8 + 2, Value, 4);
  else
    put(Unsigned8 + 3, Value, 8);
}

auto message_pack_writer::write(std::int64_t Value) -> void {
  const auto Bits = static_cast<std::uint64_t>(Value);
  if (Value >= 0)
    write(Bits);
  else if (Value >= -32)
    put(static_cast<unsigned>(Bits & UINT8_MAX), 0, 0);
  else if (Value >= INT8_MIN)
    put(Signed8, Bits, 1);
  else if (Value >= INT16_MIN)
    put(Signed8 + 1, Bits, 2);
  else if (Value >= INT32_MIN)
    put(Signed8 + 2, Bits, 4);
  else
    put(Signed8 + 3, Bits, 8);
}

auto message_pack_reader::requireCount(bool Enough) -> void {
  if (!Enough)
    fail("too few values");
}

auto message_pack_reader::takeBytes(std::size_t Count) -> std::string_view {
  if (Rest.size() < Count)
    fail("the message is cut off");
  const auto Taken = Rest.substr(0, Count);
  Rest.remove_prefix(Count);
  return Taken;
}

auto message_pack_reader::takeMarker() -> unsigned {
  return static_cast<unsigned char>(takeBytes(1).front());
}

auto message_pack_reader::takeBits(std::size_t Size) -> std::uint64_t {
  std::uint64_t Bits = 0;
  for (const auto Byte : takeBytes(Size))
    Bits = Bits << BitsPerByte | static_cast<unsigned char>(Byte);
  return Bits;
}

auto message_pack_reader::readSize(unsigned Marker, unsigned Fixed,
                                   unsigned FixedEnd, unsigned First,
                                   std::size_t FirstSize) -> std::size_t {
  if (Marker >= Fixed && Marker < FixedEnd)
    return Marker - Fixed;
  constexpr std::size_t LargestSize = 4;
  for (auto Size = FirstSize; Size <= LargestSize; Size *= 2, ++First)
    if (Marker == First)
      return takeBits(Size);
  fail("a value of another type was expected");
}

auto message_pack_reader::readArray() -> std::size_t {
  return readSize(takeMarker(), FixArray, FixText, Array16, 2);
}

auto message_pack_reader::readMap() -> std::size_t {
  return readSize(takeMarker(), FixMap, FixArray, Map16, 2);
}

auto message_pack_reader::readText() -> std::string_view {
  return takeBytes(readSize(takeMarker(), FixText, FixEnd, Text8, 1));
}

auto message_pack_reader::readBool() -> bool {
  const auto Marker = takeMarker();
  if (Marker != True && Marker != False)
    fail("a truth value was expected");
  return Marker == True;
}

auto message_pack_reader::readNumber() -> double {
  const auto Marker =
      Rest.empty() ? 0U : static_cast<unsigned char>(Rest.front());
  if (Marker == Float32 || Marker == Float64)
    takeMarker();
  if (Marker == Float32)
    return std::bit_cast<float>(static_cast<std::uint32_t>(takeBits(4)));
  if (Marker == Float64)
    return std::bit_cast<double>(takeBits(8));
  if (Marker >= NegativeFix || (Marker >= Signed8 && Marker < FixExt1))
    return static_cast<double>(readInteger());
  return static_cast<double>(readUnsigned());
}

auto message_pack_reader::readUnsigned() -> std::uint64_t {
  const auto Marker = takeMarker();
  if (Marker < FixMap)
    return Marker;
  if (Marker >= Unsigned8 && Marker < Unsigned8 + IntegerSizes)
    return takeBits(sizeOfClass(Marker - Unsigned8));
  // Some writers have a signed type for any number.
  if (Marker >= Signed8 && Marker < Signed8 + IntegerSizes) {
    const auto Size = sizeOfClass(Marker - Signed8);
    if (const auto Value = extendSign(takeBits(Size), Size); Value >= 0)
      return static_cast<std::uint64_t>(Value);
  }
  fail("a whole number of 0 or more was expected");
}

auto message_pack_reader::readInteger() -> std::int64_t {
  const auto Marker =
      Rest.empty() ? 0U : static_cast<unsigned char>(Rest.front());
  if (Marker >= NegativeFix)
    return extendSign(takeMarker(), 1);
  if (Marker >= Signed8 && Marker < Signed8 + IntegerSizes) {
    takeMarker();
    const auto Size = sizeOfClass(Marker - Signed8);
    return extendSign(takeBits(Size), Size);
  }
  const auto Value = readUnsigned();
  if (Value > INT64_MAX)
    fail("a whole number is too large");
  return static_cast<std::int64_t>(Value);
}

auto message_pack_reader::skip(std::size_t Depth) -> void {
  const auto Marker = takeMarker();
  if (Marker < FixMap || Marker >= NegativeFix || Marker == Nil ||
      Marker == True || Marker == False)
    return;
  std::size_t Values = 0;
  if (Marker < FixArray || (Marker >= Map16 && Marker < NegativeFix))
    Values = 2 * readSize(Marker, FixMap, FixArray, Map16, 2);
  else if (Marker < FixText || (Marker >= Array16 && Marker < Map16))
    Values = readSize(Marker, FixArray, FixText, Array16, 2);
  else if (Marker < FixEnd || (Marker >= Text8 && Marker < Array16))
    takeBytes(readSize(Marker, FixText, FixEnd, Text8, 1));
  else if (Marker >= Bin8 && Marker < Ext8)
    takeBytes(readSize(Marker, 0, 0, Bin8, 1));
  else if (Marker >= Ext8 && Marker < Float32)
    takeBytes(readSize(Marker, 0, 0, Ext8, 1) + 1);
  else if (Marker == Float32 || Marker == Float64)
    takeBytes(Marker == Float32 ? 4 : 8);
  else if (Marker >= Unsigned8 && Marker < FixExt1)
    takeBytes(sizeOfClass((Marker - Unsigned8) % IntegerSizes));
  else if (Marker >= FixExt1 && Marker < Text8)
    takeBytes(sizeOfClass(Marker - FixExt1) + 1);
  else
    fail("an unknown type");
  if (Depth == 0 && Values > 0)
    fail("nested too deeply");
  for (; Values > 0; --Values)
    skip(Depth - 1);
}

message_pack_fields::message_pack_fields(std::string_view Message) {
  message_pack_reader Reader(Message);
  constexpr std::size_t UsualCount = 24;
  /// Each look-up goes over all fields.
  constexpr std::size_t MaxCount = 256;
  Fields.reserve(UsualCount);
  for (auto Count = Reader.readMap(); Count > 0; --Count) {
    if (Fields.size() >= MaxCount)
      fail("too many fields");
    const auto Key = Reader.readText();
    Fields.emplace_back(Key, Reader);
    Reader.skip();
  }
  if (!Reader.atEnd())
    fail("more than one value");
}

auto message_pack_fields::find(std::string_view Key) const
    -> const message_pack_reader * {
  for (const auto &Field : Fields)
    if (Field.first == Key)
      return &Field.second;
  return nullptr;
}

auto message_pack_fields::at(std::string_view Key) const
    -> message_pack_reader {
  const auto *Found = find(Key);
  if (Found == nullptr)
    throw std::invalid_argument("field " + std::string(Key) + " is missing");
  return *Found;
}

auto message_pack_fields::contains(std::string_view Key) const -> bool {
  return find(Key) != nullptr;
}

} // namespace limpetbridge
