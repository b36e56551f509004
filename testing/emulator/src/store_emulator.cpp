#include "emulator/store_emulator.h"

#include "adapter/base64.h"

namespace limpetbridge::emulator {

namespace {

using json = nlohmann::json;
using net::awaitable;

auto makeAnswer(std::uint16_t Status, const json &Body) -> net::http_response {
  net::http_response Answer;
  Answer.Head.Status = Status;
  Answer.Body = Body.dump();
  return Answer;
}

auto unescape(const std::string &Text) -> std::string {
  constexpr int Hexadecimal = 16;
  std::string Plain;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%' || I + 2 >= Text.size()) {
      Plain += Text[I];
      continue;
    }
    Plain += static_cast<char>(
        std::stoi(Text.substr(I + 1, 2), nullptr, Hexadecimal));
    I += 2;
  }
  return Plain;
}

auto parseQuery(const std::string &Target)
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> Query;
  auto Rest = Target.substr(std::min(Target.size(), Target.find('?')));
  while (Rest.size() > 1) {
    Rest.erase(0, 1);
    const auto Pair = Rest.substr(0, Rest.find('&'));
    const auto Equals = Pair.find('=');
    Query[Pair.substr(0, Equals)] =
        Equals == std::string::npos ? "" : unescape(Pair.substr(Equals + 1));
    Rest.erase(0, Pair.size());
  }
  return Query;
}

auto clockMs() -> std::int64_t {
  return process_clock::now().time_since_epoch() / milliseconds(1);
}

} // namespace

store_emulator::store_emulator(net::asio::io_context &EmulatorContext)
    : Context(EmulatorContext) {
  Listener = std::make_unique<net::listener>(
      Context, "127.0.0.1:0",
      [this](std::shared_ptr<net::caller_connection> Accepted) {
        net::spawn(Context.get_executor(),
                   net::serveCalls(std::move(Accepted),
                                   [this](net::http_request Request) {
                                     return answer(std::move(Request));
                                   }));
      });
}

auto store_emulator::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Listener->port());
}

auto store_emulator::put(const std::string &Table, const std::string &Key,
                         const std::string &Value) -> void {
  Rows[{Table, Key}] = {adapter::encodeBase64(Value), ++Version, false};
  wake();
}

auto store_emulator::drop(const std::string &Table, const std::string &Key)
    -> void {
  Rows[{Table, Key}] = {"", ++Version, true};
  wake();
}

auto store_emulator::version(const std::string &Table,
                             const std::string &Key) const -> std::uint64_t {
  const auto Found = Rows.find({Table, Key});
  return Found == Rows.end() || Found->second.Deleted ? 0
                                                      : Found->second.Version;
}

auto store_emulator::takeCopy() -> void {
  CopiedRows = Rows;
  CopiedVersion = Version;
}

auto store_emulator::restore(bool EndsWaits) -> void {
  Rows = CopiedRows;
  Version = CopiedVersion;
  Era = Era.value_or(0) + 1;
  if (EndsWaits)
    wake();
}

auto store_emulator::wake() -> void {
  for (const auto &Timer : std::exchange(Waiting, {}))
    Timer->cancel();
}

auto store_emulator::rowJson(const row_name &Name, const row &Row) const
    -> json {
  json To = {{"table", Name.first},
             {"part", ""},
             {"key", Name.second},
             {"row_version", Row.Version}};
  if (Row.Deleted)
    To["deleted"] = true;
  else
    To["value"] = Row.Value;
  return To;
}

auto store_emulator::get(const std::map<std::string, std::string> &Query)
    -> json {
  json List = json::array();
  const auto From = Query.contains("from") ? Query.at("from") : "";
  const auto To = Query.find("to");
  for (const auto &[Name, Row] : Rows)
    if (Name.first == Query.at("table") && Name.second >= From &&
        (To == Query.end() || Name.second < To->second) && !Row.Deleted)
      List.push_back(rowJson(Name, Row));
  return {{"rows", List},
          {"has_more", false},
          {"row_version", Version},
          {"current_time_ms", clockMs()}};
}

auto store_emulator::feed(std::map<std::string, std::string> Query)
    -> awaitable<net::http_response> {
  if (std::exchange(Faults.HistoryGone, false))
    co_return makeAnswer(410, json::object());
  const auto After = std::stoull(Query.at("after"));
  const auto Until =
      process_clock::now() + milliseconds(std::stoll(Query.at("wait_time_ms")));
  for (;;) {
    // A version that the store does not have.
    if (After > Version)
      co_return makeAnswer(410, json::object());
    json List = json::array();
    for (const auto &[Name, Row] : Rows)
      if (Name.first == Query.at("table") && Row.Version > After)
        List.push_back(rowJson(Name, Row));
    if (!List.empty() || process_clock::now() >= Until) {
      const json Body = {{"rows", List},
                         {"row_version", Version},
                         {"current_time_ms", clockMs()}};
      co_return makeAnswer(200, Body);
    }
    const auto Timer = std::make_shared<net::asio::steady_timer>(
        Context, net::toSteadyTime(Until));
    Waiting.push_back(Timer);
    net::error_code Cancelled; // How a change wakes this up.
    co_await Timer->async_wait(net::storeError(Cancelled));
  }
}

auto store_emulator::transact(const std::string &Body) -> net::http_response {
  const auto Call = json::parse(Body);
  json Standing = json::array();
  bool Holds = true;
  for (const auto &Each : Call.at("precondition")) {
    const row_name Name = {Each.at("table"), Each.at("key")};
    const auto Found = version(Name.first, Name.second);
    Holds &= Found == Each.at("row_version").get<std::uint64_t>();
    if (Found > 0)
      Standing.push_back(rowJson(Name, Rows.at(Name)));
  }
  if (!Holds)
    return makeAnswer(412, {{"rows", Standing},
                            {"row_version", Version},
                            {"current_time_ms", clockMs()}});
  ++Version;
  for (const auto &Each : Call.at("write"))
    Rows[{Each.at("table"), Each.at("key")}] = {Each.at("value"), Version,
                                                false};
  for (const auto &Each : Call.at("delete"))
    Rows[{Each.at("table"), Each.at("key")}] = {"", Version, true};
  wake();
  return makeAnswer(200,
                    {{"row_version", Version}, {"current_time_ms", clockMs()}});
}

auto store_emulator::answer(net::http_request Request)
    -> awaitable<net::http_response> {
  auto Answer = co_await execute(std::move(Request));
  if (Era)
    Answer.Head.Fields.push_back({"Store-Era", std::to_string(*Era)});
  co_return Answer;
}

auto store_emulator::execute(net::http_request Request)
    -> awaitable<net::http_response> {
  ++Calls;
  const bool Write = Request.Target == "/rows-tx";
  if (Faults.Down)
    co_return makeAnswer(503, json::object());
  net::http_response Answer;
  if (Write && !Faults.Silent)
    Answer = transact(Request.Body);
  if (Faults.Silent || (Write && Faults.LoseWriteAnswers)) {
    net::asio::steady_timer Never(Context,
                                  std::chrono::steady_clock::time_point::max());
    co_await Never.async_wait(net::asio::use_awaitable);
  }
  if (Write)
    co_return Answer;
  auto Query = parseQuery(Request.Target);
  if (Request.Target.starts_with("/rows-get"))
    co_return makeAnswer(200, get(Query));
  if (Request.Target.starts_with("/rows-feed"))
    co_return co_await feed(std::move(Query));
  co_return makeAnswer(404, json::object());
}

} // namespace limpetbridge::emulator
