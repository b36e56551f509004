#include "platform/instance_codec.h"

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <stdexcept>
#include <string>

namespace limpetbridge {

namespace {

/// \throws std::invalid_argument if the field is not a whole number of 0 or
/// more.
auto readUnsigned(const nlohmann::json &Body, const char *Key)
    -> std::uint64_t {
  const auto &Value = Body.at(Key);
  if (!Value.is_number_unsigned())
    throw std::invalid_argument(std::string("field ") + Key +
                                " is not a whole number of 0 or more");
  return Value.get<std::uint64_t>();
}

/// The one of \p Values whose name is the field \p Key.
/// \throws std::invalid_argument if it is the name of neither.
template <typename value>
auto readName(const nlohmann::json &Body, const char *Key,
              std::initializer_list<value> Values) -> value {
  for (const auto Value : Values)
    if (Body.at(Key) == nameOf(Value))
      return Value;
  throw std::invalid_argument(std::string("field ") + Key +
                              " has an unknown value");
}

} // namespace

auto encodeInstance(const instance_record &Record) -> nlohmann::json {
  return {{"name", Record.Name.Text},
          {"role", nameOf(Record.Role)},
          {"data_centre", Record.DataCentre.Text},
          {"address", Record.Address},
          {"incarnation", Record.Incarnation.Value},
          {"leaving", Record.Leaving},
          {"kind", nameOf(Record.Kind)},
          {"service", Record.Service.Text},
          {"memory", Record.Memory.Value}};
}

auto decodeInstance(const nlohmann::json &Body) -> instance_record {
  instance_record Record;
  Record.Name = instance_name(Body.at("name").get<std::string>());
  Record.Role =
      readName(Body, "role", {instance_role::Entry, instance_role::Agent});
  Record.DataCentre =
      data_centre_name(Body.at("data_centre").get<std::string>());
  Record.Address = Body.at("address").get<std::string>();
  Record.Incarnation = {readUnsigned(Body, "incarnation")};
  Record.Leaving = Body.at("leaving").get<bool>();
  Record.Kind =
      readName(Body, "kind", {target_kind::Engine, target_kind::Service});
  Record.Service = service_name(Body.at("service").get<std::string>());
  Record.Memory = {readUnsigned(Body, "memory")};
  return Record;
}

} // namespace limpetbridge
