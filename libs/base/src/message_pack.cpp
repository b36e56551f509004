#include "base/message_pack.h"

#include <nlohmann/json.hpp>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

/// Nesting of arrays and maps; the messages of this project use six levels.
constexpr std::size_t MaxDepth = 16;

/// Accepts every value and stops the parser at the limit of the nesting.
class depth_check : public nlohmann::json_sax<json> {
public:
  auto null() -> bool override { return true; }
  auto boolean(bool /*Value*/) -> bool override { return true; }
  auto number_integer(number_integer_t /*Value*/) -> bool override {
    return true;
  }
  auto number_unsigned(number_unsigned_t /*Value*/) -> bool override {
    return true;
  }
  auto number_float(number_float_t /*Value*/, const string_t & /*Text*/)
      -> bool override {
    return true;
  }
  auto string(string_t & /*Value*/) -> bool override { return true; }
  auto binary(binary_t & /*Value*/) -> bool override { return true; }
  auto key(string_t & /*Value*/) -> bool override { return true; }
  auto start_object(std::size_t /*Count*/) -> bool override { return enter(); }
  auto start_array(std::size_t /*Count*/) -> bool override { return enter(); }
  auto end_object() -> bool override { return leave(); }
  auto end_array() -> bool override { return leave(); }
  auto parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const nlohmann::detail::exception & /*Error*/)
      -> bool override {
    return false;
  }

private:
  auto enter() -> bool { return ++Depth <= MaxDepth; }
  auto leave() -> bool {
    --Depth;
    return true;
  }

  std::size_t Depth = 0;
};

} // namespace

auto parseMessagePack(std::string_view Bytes) -> result<json> {
  depth_check Check;
  if (!json::sax_parse(Bytes.begin(), Bytes.end(), &Check,
                       json::input_format_t::msgpack))
    return failure(result_code::MalformedRequest,
                   "not MessagePack, or nested too deeply");
  try {
    return json::from_msgpack(Bytes.begin(), Bytes.end());
  } catch (const json::exception &Error) {
    return failure(result_code::MalformedRequest, Error.what());
  }
}

auto toMessagePack(const json &Value) -> std::string {
  std::string Bytes;
  json::to_msgpack(Value, Bytes);
  return Bytes;
}

} // namespace limpetbridge
