#include "platform/instance_codec.h"

#include <nlohmann/json.hpp>

namespace limpetbridge {

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
  Record.Role = Body.at("role") == nameOf(instance_role::Entry)
                    ? instance_role::Entry
                    : instance_role::Agent;
  Record.DataCentre =
      data_centre_name(Body.at("data_centre").get<std::string>());
  Record.Address = Body.at("address").get<std::string>();
  Record.Incarnation = {Body.at("incarnation").get<std::uint64_t>()};
  Record.Leaving = Body.at("leaving").get<bool>();
  Record.Kind = Body.at("kind") == nameOf(target_kind::Engine)
                    ? target_kind::Engine
                    : target_kind::Service;
  Record.Service = service_name(Body.at("service").get<std::string>());
  Record.Memory = {Body.at("memory").get<std::uint64_t>()};
  return Record;
}

} // namespace limpetbridge
