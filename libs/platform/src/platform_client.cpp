#include "platform/platform_client.h"

#include "base/json_text.h"
#include "base/log.h"
#include "base/thread.h"
#include "platform/instance_codec.h"

#include <httplib.h>

#include <charconv>
#include <map>
#include <mutex>
#include <optional>

namespace limpetbridge {

namespace {

using json = nlohmann::json;

constexpr const char *JsonType = "application/json";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

/// Result of one HTTP request.
struct http_result {
  store_status Status = store_status::NoAnswer;
  int HttpStatus = 0;
  std::string Body;
};

auto toStoreStatus(int HttpStatus) -> store_status {
  switch (HttpStatus) {
  case StatusOk:
  case StatusNotFound:
    return store_status::Applied;
  case StatusConflict:
    return store_status::Conflict;
  case StatusTooMany:
  case StatusUnavailable:
    return store_status::Refused;
  default:
    return store_status::NoAnswer;
  }
}

auto toHttpResult(const httplib::Result &Result) -> http_result {
  if (Result)
    return {toStoreStatus(Result->status), Result->status, Result->body};
  // If connecting failed, nothing was sent, so the request was not executed.
  const bool Unsent = Result.error() == httplib::Error::Connection;
  return {Unsent ? store_status::Refused : store_status::NoAnswer, 0, {}};
}

auto decodeRows(const std::string &Text) -> std::vector<table_row> {
  std::vector<table_row> Rows;
  const auto Body = json::parse(Text, nullptr, false);
  if (!Body.is_object() || !Body.contains("rows"))
    return Rows;
  for (const auto &Row : Body["rows"])
    Rows.push_back({Row.value("key", ""), Row.value("value", ""),
                    Row.value("version", std::uint64_t{0})});
  return Rows;
}

auto encodeTransaction(const table_transact &Effect) -> std::string {
  json Conditions = json::array();
  for (const auto &Condition : Effect.Conditions)
    Conditions.push_back(
        {{"key", Condition.Key}, {"version", Condition.Version}});
  json Writes = json::array();
  for (const auto &Write : Effect.Writes) {
    json Row = {{"key", Write.Key}};
    if (Write.Value)
      Row["value"] = *Write.Value;
    Writes.push_back(std::move(Row));
  }
  const json Body = {{"conditions", std::move(Conditions)},
                     {"writes", std::move(Writes)}};
  return toJsonText(Body);
}

/// The era that an answer names; none if it has none that can be read.
auto readEra(const httplib::Response &Answer) -> std::optional<std::uint64_t> {
  const auto Text = Answer.get_header_value("Store-Era");
  std::uint64_t Named = 0;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Named);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Named;
}

} // namespace

struct platform_client::details {
  details(platform_options Options, platform_sink Sink)
      : Options(std::move(Options)), Sink(std::move(Sink)),
        Pool("platform", this->Options.Threads, ConnectionStackBytes,
             this->Options.QueueLimit) {}

  platform_options Options;
  platform_sink Sink;
  std::mutex ListMutex;
  std::uint64_t ListVersion = 0;
  /// Era of the platform: it has returned from an older copy when it rises.
  std::optional<std::uint64_t> Era;
  std::optional<instance_record> Announced; ///< Own record, once confirmed.
  bool ListReadInProgress = false;
  std::map<std::string, instance_record> Instances;
  thread_pool Pool;

  /// Returns the keep-alive client of the calling thread.
  auto client() const -> httplib::Client & {
    thread_local std::map<const details *, std::unique_ptr<httplib::Client>>
        Clients;
    auto &Client = Clients[this];
    if (!Client) {
      Client = std::make_unique<httplib::Client>(Options.Host, Options.Port);
      Client->set_keep_alive(true);
      Client->set_tcp_nodelay(true);
      Client->set_connection_timeout(Options.Timeout);
      Client->set_read_timeout(Options.Timeout);
      Client->set_write_timeout(Options.Timeout);
    }
    return *Client;
  }

  auto post(const char *Path, const std::string &Body) -> http_result {
    return record(client().Post(Path, Body, JsonType));
  }

  /// Records the era that an answer names. An answer of an earlier era has no
  /// result.
  auto record(const httplib::Result &Answer) -> http_result {
    const auto Named = Answer ? readEra(*Answer) : std::nullopt;
    if (!Named)
      return toHttpResult(Answer);
    std::optional<instance_record> Missing;
    {
      const std::lock_guard Lock(ListMutex);
      if (Era && *Named < *Era)
        return {};
      if (Era && *Named > *Era) {
        log(log_level::Warning, "store_era_rose",
            {{"era", std::to_string(*Named)}});
        ListVersion = 0;
        Missing = Announced;
      }
      Era = *Named;
    }
    if (Missing)
      announceAgain(*Missing);
    return toHttpResult(Answer);
  }

  /// The copy may be older than this instance.
  auto announceAgain(const instance_record &Record) -> void {
    (void)Pool.submit([this, Record] {
      const auto Path = "/instances/" + Record.Name.Text;
      const auto Result = record(client().Put(
          Path.c_str(), toJsonText(encodeInstance(Record)), JsonType));
      if (Result.HttpStatus != StatusOk)
        log(log_level::Warning, "registration_failed",
            {{"status", std::to_string(Result.HttpStatus)}});
    });
  }

  /// Runs \p Request on the pool and reports its result as table_replied. A
  /// full queue counts as refused.
  auto submitTableRequest(ticket Ticket,
                          const std::function<http_result()> &Request) -> void {
    const bool Queued = Pool.submit([this, Ticket, Request] {
      const auto Result = Request();
      Sink(table_replied{Ticket, Result.Status, decodeRows(Result.Body)});
    });
    if (!Queued)
      Sink(table_replied{Ticket, store_status::Refused, {}});
  }

  /// As submitTableRequest(), but reports the result as object_replied.
  auto submitObjectRequest(ticket Ticket,
                           const std::function<http_result()> &Request)
      -> void {
    const bool Queued = Pool.submit([this, Ticket, Request] {
      auto Result = Request();
      Sink(object_replied{Ticket, Result.Status, Result.HttpStatus == StatusOk,
                          std::move(Result.Body)});
    });
    if (!Queued)
      Sink(object_replied{Ticket, store_status::Refused, false, {}});
  }

  /// Adds an instance to the local list. A row that cannot be decoded leaves
  /// the other rows of the reply in force.
  auto addInstance(const json &Row) -> void {
    try {
      auto Record = decodeInstance(Row);
      Instances[Record.Name.Text] = std::move(Record);
    } catch (const std::exception &Error) {
      log(log_level::Warning, "instance_unreadable", {{"error", Error.what()}});
    }
  }

  /// Applies the platform's reply to the local list. Returns the whole list if
  /// its version changed or the reply holds all rows.
  auto applyListReply(const std::string &Text, std::uint64_t Since)
      -> std::optional<instances_listed> {
    const auto Body = json::parse(Text, nullptr, false);
    if (!Body.is_object())
      return std::nullopt;
    const std::lock_guard Lock(ListMutex);
    if (Since != ListVersion) // The era has risen since: it is read again.
      return std::nullopt;
    const auto Version = Body.value("version", std::uint64_t{0});
    if (Body.value("full", false))
      Instances.clear();
    else if (Version == ListVersion)
      return std::nullopt;
    ListVersion = Version;
    for (const auto &Row : Body["rows"])
      addInstance(Row);
    for (const auto &Name : Body["removed"])
      Instances.erase(Name.get<std::string>());
    instances_listed Event;
    for (const auto &[Name, Record] : Instances)
      Event.Instances.push_back(Record);
    return Event;
  }

  auto readList() -> void {
    std::uint64_t Since = 0;
    {
      const std::lock_guard Lock(ListMutex);
      Since = ListVersion;
    }
    const auto Path = "/instances?since=" + std::to_string(Since);
    const auto Result = record(client().Get(Path.c_str()));
    if (Result.HttpStatus != StatusOk)
      return;
    try {
      if (auto Event = applyListReply(Result.Body, Since))
        Sink(std::move(*Event));
    } catch (const json::exception &) {
      // Ignores a reply that cannot be decoded; the list is polled again.
      return;
    }
  }
};

platform_client::platform_client(platform_options Options, platform_sink Sink)
    : Details(std::make_unique<details>(std::move(Options), std::move(Sink))) {}

platform_client::~platform_client() { Details->Pool.stop(); }

auto platform_client::execute(const table_transact &Effect) -> void {
  Details->submitTableRequest(Effect.Ticket,
                              [this, Body = encodeTransaction(Effect)] {
                                return Details->post("/table/transact", Body);
                              });
}

auto platform_client::execute(const table_read &Effect) -> void {
  const json Body = {{"keys", Effect.Keys}};
  Details->submitTableRequest(Effect.Ticket, [this, Text = toJsonText(Body)] {
    return Details->post("/table/read", Text);
  });
}

auto platform_client::execute(const table_range &Effect) -> void {
  const json Body = {{"prefix", Effect.Prefix},
                     {"from", Effect.From},
                     {"limit", Effect.Limit}};
  Details->submitTableRequest(Effect.Ticket, [this, Text = toJsonText(Body)] {
    return Details->post("/table/range", Text);
  });
}

auto platform_client::execute(const object_get &Effect) -> void {
  Details->submitObjectRequest(Effect.Ticket, [this, Key = Effect.Key] {
    return Details->record(Details->client().Get(("/objects/" + Key).c_str()));
  });
}

auto platform_client::execute(const object_put &Effect) -> void {
  Details->submitObjectRequest(Effect.Ticket, [this, Key = Effect.Key,
                                               Value = Effect.Value] {
    return Details->record(
        Details->client().Put(("/objects/" + Key).c_str(), Value, JsonType));
  });
}

auto platform_client::readInstances() -> void {
  {
    const std::lock_guard Lock(Details->ListMutex);
    if (Details->ListReadInProgress)
      return;
    Details->ListReadInProgress = true;
  }
  const auto EndRead = [this] {
    const std::lock_guard Lock(Details->ListMutex);
    Details->ListReadInProgress = false;
  };
  const bool Queued = Details->Pool.submit([this, EndRead] {
    Details->readList();
    EndRead();
  });
  if (!Queued)
    EndRead();
}

auto platform_client::registerInstance(const instance_record &Self)
    -> result<void> {
  httplib::Client Client(Details->Options.Host, Details->Options.Port);
  Client.set_connection_timeout(Details->Options.Timeout);
  Client.set_read_timeout(Details->Options.Timeout);
  const auto Path = "/instances/" + Self.Name.Text;
  const auto Result = Details->record(
      Client.Put(Path.c_str(), toJsonText(encodeInstance(Self)), JsonType));
  if (Result.HttpStatus != StatusOk)
    return failure(
        result_code::StoreUnavailable,
        "the platform did not confirm the registration of this instance");
  const std::lock_guard Lock(Details->ListMutex);
  Details->Announced = Self;
  return boost::outcome_v2::success();
}

} // namespace limpetbridge
