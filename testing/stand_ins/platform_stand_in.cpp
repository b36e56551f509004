#include "platform_stand_in.h"

#include "platform/instance_codec.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooMany = 429;
constexpr std::size_t Threads = 2048;
constexpr int ProbesBeforeRemoval = 2;
constexpr auto ProbeInterval = std::chrono::milliseconds(1000);
constexpr auto ProbeStep = std::chrono::milliseconds(50);

auto encodeRows(const std::vector<table_row> &Rows) -> json {
  json Body = json::array();
  for (const auto &Row : Rows)
    Body.push_back(
        {{"key", Row.Key}, {"value", Row.Value}, {"version", Row.Version}});
  return {{"rows", std::move(Body)}};
}

auto decodeConditions(const json &Rows) -> std::vector<table_condition> {
  std::vector<table_condition> Conditions;
  for (const auto &Row : Rows)
    Conditions.push_back({Row.at("key").get<std::string>(),
                          Row.at("version").get<std::uint64_t>()});
  return Conditions;
}

auto decodeWrites(const json &Rows) -> std::vector<table_write> {
  std::vector<table_write> Writes;
  for (const auto &Row : Rows) {
    table_write Write{Row.at("key").get<std::string>(), std::nullopt};
    if (Row.contains("value"))
      Write.Value = Row["value"].get<std::string>();
    Writes.push_back(std::move(Write));
  }
  return Writes;
}

auto answers(const std::string &Address) -> bool {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  const auto Port = std::stoi(Address.substr(Colon + 1));
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Status =
      connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To));
  close(Socket);
  return Status == 0;
}

} // namespace

auto table_fake::transact(const std::vector<table_condition> &Conditions,
                          const std::vector<table_write> &Writes)
    -> table_replied {
  for (const auto &Condition : Conditions) {
    const auto Found = Rows.find(Condition.Key);
    const auto Version = Found == Rows.end() ? 0 : Found->second.Version;
    if (Version != Condition.Version)
      return {{}, store_status::Conflict, {}};
  }
  table_replied Reply;
  for (const auto &Write : Writes) {
    if (!Write.Value) {
      Rows.erase(Write.Key);
      continue;
    }
    const table_row Row{Write.Key, *Write.Value, ++LastVersions[Write.Key]};
    Rows[Write.Key] = Row;
    Reply.Rows.push_back(Row);
  }
  return Reply;
}

auto table_fake::read(const std::vector<std::string> &Keys) const
    -> std::vector<table_row> {
  std::vector<table_row> Found;
  for (const auto &Key : Keys) {
    const auto Row = Rows.find(Key);
    if (Row != Rows.end())
      Found.push_back(Row->second);
  }
  return Found;
}

auto table_fake::range(const std::string &Prefix, const std::string &From,
                       std::uint32_t Limit) const -> std::vector<table_row> {
  std::vector<table_row> Found;
  for (auto Row = Rows.lower_bound(std::max(Prefix, From));
       Row != Rows.end() && Row->first.starts_with(Prefix) &&
       Found.size() < Limit;
       ++Row)
    Found.push_back(Row->second);
  return Found;
}

platform_stand_in::platform_stand_in(std::uint16_t Port, platform_limits Limits)
    : Server(Port, Threads), Limits(Limits) {
  setRoutes();
  Server.start();
  Prober = std::make_unique<thread>("probe", ConnectionStackBytes,
                                    [this] { probeInstances(); });
}

platform_stand_in::~platform_stand_in() {
  Server.stop();
  Closing = true;
  Prober.reset();
}

auto platform_stand_in::allow(bool Write) -> bool {
  const auto Now = std::chrono::steady_clock::now();
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    WritesThisSecond = 0;
    ReadsThisSecond = 0;
  }
  return Write ? ++WritesThisSecond <= Limits.Writes
               : ++ReadsThisSecond <= Limits.Reads;
}

auto platform_stand_in::setRoutes() -> void {
  const auto Table = [this](const char *Path, bool Write, auto Serve) {
    Server.route("POST", Path,
                 [this, Write, Serve](const auto &Request, auto &Response) {
                   const auto Body = json::parse(Request.body);
                   const std::lock_guard Lock(Mutex);
                   if (allow(Write))
                     Serve(Body, Response);
                   else
                     answerJson(Response, StatusTooMany, {{"error", "rate"}});
                 });
  };
  Table("/table/transact", true, [this](const json &Body, auto &Response) {
    const auto Reply =
        this->Table.transact(decodeConditions(Body.at("conditions")),
                             decodeWrites(Body.at("writes")));
    const bool Applied = Reply.Status == store_status::Applied;
    answerJson(Response, Applied ? StatusOk : StatusConflict,
               encodeRows(Reply.Rows));
  });
  Table("/table/read", false, [this](const json &Body, auto &Response) {
    answerJson(Response, StatusOk,
               encodeRows(this->Table.read(
                   Body.at("keys").get<std::vector<std::string>>())));
  });
  Table("/table/range", false, [this](const json &Body, auto &Response) {
    answerJson(
        Response, StatusOk,
        encodeRows(this->Table.range(Body.at("prefix").get<std::string>(),
                                     Body.at("from").get<std::string>(),
                                     Body.at("limit").get<std::uint32_t>())));
  });
  Server.route(
      "GET", "/objects/(.+)", [this](const auto &Request, auto &Response) {
        const std::lock_guard Lock(Mutex);
        const auto Found = Objects.find(Request.matches[1].str());
        if (Found == Objects.end())
          answerJson(Response, StatusNotFound, {{"error", "no such object"}});
        else
          Response.set_content(Found->second, "application/json");
      });
  Server.route("PUT", "/objects/(.+)",
               [this](const auto &Request, auto &Response) {
                 const std::lock_guard Lock(Mutex);
                 Objects[Request.matches[1].str()] = Request.body;
                 answerJson(Response, StatusOk, json::object());
               });
  Server.route("PUT", "/instances/(.+)",
               [this](const auto &Request, auto &Response) {
                 const std::lock_guard Lock(Mutex);
                 auto Record = decodeInstance(json::parse(Request.body));
                 const auto Name = Record.Name.Text;
                 Removed.erase(Name);
                 Instances[Name] = {std::move(Record), ++ListVersion, 0};
                 answerJson(Response, StatusOk, json::object());
               });
  Server.route("GET", "/instances",
               [this](const auto &Request, auto &Response) {
                 listInstances(Request, Response);
               });
}

auto platform_stand_in::listInstances(const httplib::Request &Request,
                                      httplib::Response &Response) -> void {
  const auto Text = Request.get_param_value("since");
  const auto Since = std::strtoull(Text.c_str(), nullptr, 10);
  const std::lock_guard Lock(Mutex);
  json Rows = json::array();
  for (const auto &[Name, Each] : Instances)
    if (Each.ChangedAt > Since)
      Rows.push_back(encodeInstance(Each.Record));
  json Gone = json::array();
  for (const auto &[Name, Version] : Removed)
    if (Version > Since)
      Gone.push_back(Name);
  answerJson(Response, StatusOk,
             {{"version", ListVersion},
              {"full", Since == 0},
              {"rows", std::move(Rows)},
              {"removed", std::move(Gone)}});
}

auto platform_stand_in::probeInstances() -> void {
  auto Next = std::chrono::steady_clock::now() + ProbeInterval;
  while (!Closing.load()) {
    std::this_thread::sleep_for(ProbeStep);
    if (std::chrono::steady_clock::now() < Next)
      continue;
    Next = std::chrono::steady_clock::now() + ProbeInterval;
    std::map<std::string, std::string> Addresses;
    {
      const std::lock_guard Lock(Mutex);
      for (const auto &[Name, Each] : Instances)
        Addresses[Name] = Each.Record.Address;
    }
    for (const auto &[Name, Address] : Addresses) {
      const bool Alive = answers(Address);
      const std::lock_guard Lock(Mutex);
      const auto Found = Instances.find(Name);
      if (Found == Instances.end())
        continue;
      Found->second.MissedProbes = Alive ? 0 : Found->second.MissedProbes + 1;
      if (Found->second.MissedProbes < ProbesBeforeRemoval)
        continue;
      Instances.erase(Found);
      Removed[Name] = ++ListVersion;
    }
  }
}

} // namespace limpetbridge
