#include "engine/snapshot_codec.h"

#include <nlohmann/json.hpp>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

auto encodeHoldings(const std::vector<engine_holding> &Holdings) -> json {
  json Rows = json::array();
  for (const auto &Holding : Holdings)
    Rows.push_back({{"model", Holding.What.Unit.Text},
                    {"adapter", Holding.What.Adapter.Text},
                    {"bytes", Holding.Bytes.Value}});
  return Rows;
}

auto decodeHoldings(const json &Rows) -> std::vector<engine_holding> {
  std::vector<engine_holding> Holdings;
  for (const auto &Row : Rows)
    Holdings.push_back({{model_name(Row.at("model").get<std::string>()),
                         adapter_name(Row.at("adapter").get<std::string>())},
                        {Row.at("bytes").get<std::uint64_t>()}});
  return Holdings;
}

auto decodeKind(const std::string &Name) -> order_kind {
  for (const auto Kind : {order_kind::Load, order_kind::Unload})
    if (nameOf(Kind) == Name)
      return Kind;
  return order_kind::Fence;
}

} // namespace

auto encodeSnapshot(const engine_snapshot &Snapshot) -> json {
  json Executed = json::array();
  for (const auto &Token : Snapshot.Executed)
    Executed.push_back(Token.Value);
  return {{"engine", Snapshot.Engine.Value},
          {"sequence", Snapshot.Sequence},
          {"resident", encodeHoldings(Snapshot.Resident)},
          {"loading", encodeHoldings(Snapshot.Loading)},
          {"executed", std::move(Executed)},
          {"running", Snapshot.Running},
          {"waiting", Snapshot.Waiting}};
}

auto decodeSnapshot(const json &Body) -> engine_snapshot {
  engine_snapshot Snapshot;
  Snapshot.Engine = {Body.at("engine").get<std::uint64_t>()};
  Snapshot.Sequence = Body.at("sequence").get<std::uint64_t>();
  Snapshot.Resident = decodeHoldings(Body.at("resident"));
  Snapshot.Loading = decodeHoldings(Body.at("loading"));
  for (const auto &Token : Body.at("executed"))
    Snapshot.Executed.push_back({Token.get<std::uint64_t>()});
  Snapshot.Running = Body.at("running").get<std::uint32_t>();
  Snapshot.Waiting = Body.at("waiting").get<std::uint32_t>();
  return Snapshot;
}

auto encodeOrder(const send_order &Order) -> json {
  return {{"token", Order.Token.Value},
          {"order", nameOf(Order.Kind)},
          {"model", Order.What.Unit.Text},
          {"adapter", Order.What.Adapter.Text},
          {"bytes", Order.Bytes.Value}};
}

auto decodeOrder(const json &Body) -> send_order {
  return {{Body.at("token").get<std::uint64_t>()},
          decodeKind(Body.at("order").get<std::string>()),
          {model_name(Body.at("model").get<std::string>()),
           adapter_name(Body.at("adapter").get<std::string>())},
          {Body.at("bytes").get<std::uint64_t>()}};
}

} // namespace limpetbridge
