/// \file
/// Stand-ins of the platform: its store, the starts and ends of processes, and
/// the record of what was seen.
#ifndef LIMPETBRIDGE_REVIEW_PLATFORM_H
#define LIMPETBRIDGE_REVIEW_PLATFORM_H

#include "http.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace review {

using json = nlohmann::json;

/// Milliseconds since the script began.
inline auto elapsedMs() -> std::int64_t {
  static const auto Start = steady::now();
  return std::chrono::duration_cast<milliseconds>(steady::now() - Start)
      .count();
}

/// The file record.txt of the case.
class record_file {
public:
  explicit record_file(const std::string &Path) : File(Path) { elapsedMs(); }
  auto write(const std::string &Line) -> void {
    const std::lock_guard Lock(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%9.3f  ",
                  static_cast<double>(elapsedMs()) / 1000);
    File << Time << Line << '\n' << std::flush;
  }
  /// Writes the line to standard output as well.
  auto say(const std::string &Line) -> void {
    write(Line);
    std::cout << Line << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

inline auto encodeBase64(const std::string &Bytes) -> std::string {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8U |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text += I + J > Bytes.size() ? '=' : Digits[Group >> (6 * (3 - J)) & 63U];
  }
  return Text;
}

/// The platform's store, as far as the processes use it.
class store {
public:
  store()
      : Server([this](channel &Channel, http_message &Request) {
          return answer(Channel, Request);
        }) {}
  ~store() {
    {
      const std::lock_guard Lock(Mutex);
      Ending = true;
    }
    Changed.notify_all();
    Server.stop();
  }

  [[nodiscard]] auto address() const -> std::string { return Server.address(); }
  auto put(const std::string &Table, const std::string &Key,
           const std::string &Value) -> void {
    const std::lock_guard Lock(Mutex);
    Rows[{Table, Key}] = {encodeBase64(Value), ++Version, false};
    Changed.notify_all();
  }
  auto drop(const std::string &Table, const std::string &Key) -> void {
    const std::lock_guard Lock(Mutex);
    Rows[{Table, Key}] = {"", ++Version, true};
    Changed.notify_all();
  }

private:
  struct row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  using row_name = std::pair<std::string, std::string>;

  static auto unescape(const std::string &Text) -> std::string {
    std::string Plain;
    for (std::size_t I = 0; I < Text.size(); ++I)
      if (Text[I] == '%' && I + 2 < Text.size()) {
        Plain +=
            static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
        I += 2;
      } else {
        Plain += Text[I];
      }
    return Plain;
  }
  static auto query(const std::string &Target)
      -> std::map<std::string, std::string> {
    std::map<std::string, std::string> Query;
    std::istringstream Pairs(
        Target.substr(std::min(Target.size(), Target.find('?') + 1)));
    for (std::string Pair; std::getline(Pairs, Pair, '&');)
      Query[Pair.substr(0, Pair.find('='))] =
          unescape(Pair.substr(std::min(Pair.size(), Pair.find('=') + 1)));
    return Query;
  }
  static auto rowJson(const row_name &Name, const row &Row) -> json {
    json Json = {{"table", Name.first},
                 {"part", ""},
                 {"key", Name.second},
                 {"row_version", Row.Version}};
    if (Row.Deleted)
      Json["deleted"] = true;
    else
      Json["value"] = Row.Value;
    return Json;
  }
  auto body(json Rows) const -> json {
    return {{"rows", std::move(Rows)},
            {"has_more", false},
            {"row_version", Version},
            {"current_time_ms", elapsedMs() + 1'000'000}};
  }

  auto answer(channel &Channel, http_message &Request) -> bool {
    const auto Deadline = steady::now() + std::chrono::seconds(5);
    if (!Channel.readBody(Request, false, Deadline))
      return false;
    int Status = 200;
    json Body;
    std::unique_lock Lock(Mutex);
    const auto Target = Request.target();
    if (Target == "/rows-tx") {
      Status = transact(Request.Body, Body);
    } else if (Target.starts_with("/rows-get")) {
      const auto Query = query(Target);
      auto List = json::array();
      for (const auto &[Name, Row] : Rows)
        if (Name.first == Query.at("table") && !Row.Deleted &&
            (!Query.contains("from") || Name.second >= Query.at("from")))
          List.push_back(rowJson(Name, Row));
      Body = body(List);
    } else if (Target.starts_with("/rows-feed")) {
      const auto Query = query(Target);
      const auto After = std::stoull(Query.at("after"));
      const auto Until =
          steady::now() + milliseconds(std::stoll(Query.at("wait_time_ms")));
      auto List = json::array();
      for (;;) {
        std::map<std::uint64_t, json> Newer;
        for (const auto &[Name, Row] : Rows)
          if (Name.first == Query.at("table") && Row.Version > After)
            Newer[Row.Version] = rowJson(Name, Row);
        for (const auto &[RowVersion, Row] : Newer)
          List.push_back(Row);
        if (!List.empty() || Ending ||
            Changed.wait_until(Lock, Until) == std::cv_status::timeout)
          break;
      }
      Body = body(List);
    } else {
      Status = 404;
      Body = json::object();
    }
    Lock.unlock();
    return Channel.send(answerText(
        Status, {{"Content-Type", "application/json"}}, Body.dump()));
  }
  auto transact(const std::string &Text, json &Body) -> int {
    const auto Call = json::parse(Text);
    bool Holds = true;
    auto Current = json::array();
    for (const auto &Each : Call.at("precondition")) {
      const row_name Name{Each.at("table"), Each.at("key")};
      const auto Found = Rows.find(Name);
      const bool Exists = Found != Rows.end() && !Found->second.Deleted;
      Holds &= (Exists ? Found->second.Version : 0) ==
               Each.at("row_version").get<std::uint64_t>();
      if (Exists)
        Current.push_back(rowJson(Name, Found->second));
    }
    if (Holds) {
      ++Version;
      for (const auto &Each : Call.at("write"))
        Rows[{Each.at("table"), Each.at("key")}] = {Each.at("value"), Version,
                                                    false};
      for (const auto &Each : Call.at("delete"))
        Rows[{Each.at("table"), Each.at("key")}] = {"", Version, true};
      Changed.notify_all();
    }
    Body = body(Current);
    return Holds ? 200 : 412;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Ending = false;
  std::map<row_name, row> Rows;
  std::uint64_t Version = 100;
  http_server Server;
};

/// A port of 127.0.0.1 that is free now, for TCP and UDP.
inline auto freePort() -> std::uint16_t {
  for (;;) {
    const int Tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof Address;
    bool Free = ::bind(Tcp, Generic, Size) == 0 &&
                ::getsockname(Tcp, Generic, &Size) == 0;
    Free = Free && ::bind(Udp, Generic, Size) == 0;
    ::close(Tcp);
    ::close(Udp);
    static std::set<std::uint16_t> Given;
    const auto Port = ntohs(Address.sin_port);
    if (Free && Given.insert(Port).second)
      return Port;
  }
}

/// The folder of the run; goes at the end.
class temporary_folder {
public:
  temporary_folder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
    Path = Name;
  }
  ~temporary_folder() {
    std::error_code Ignored;
    std::filesystem::remove_all(Path, Ignored);
  }
  std::string Path;
};

using values = std::map<std::string, std::string>;

/// Fills in a template of the deploy file, as the platform does.
inline auto fillTemplate(const std::string &File, const values &Values)
    -> std::string {
  std::ifstream Stream(File);
  std::stringstream Content;
  Content << Stream.rdbuf();
  auto Text = Content.str();
  if (Text.empty())
    throw std::runtime_error("no template " + File);
  // Sections stay if the platform states their value.
  for (std::size_t Begin = 0;
       (Begin = Text.find("{{#")) != std::string::npos;) {
    const auto Name =
        Text.substr(Begin + 3, Text.find("}}", Begin) - Begin - 3);
    const auto Open = "{{#" + Name + "}}\n";
    const auto Close = "{{/" + Name + "}}\n";
    const auto End = Text.find(Close, Begin);
    if (End == std::string::npos)
      throw std::runtime_error("no end of section " + Name);
    const auto Inner = Text.substr(Begin + Open.size(),
                                   End - Begin - Open.size());
    Text.replace(Begin, End + Close.size() - Begin,
                 Values.contains(Name) ? Inner : "");
  }
  for (std::size_t Begin = 0;
       (Begin = Text.find("{{", Begin)) != std::string::npos;) {
    const auto End = Text.find("}}", Begin);
    const auto Name = Text.substr(Begin + 2, End - Begin - 2);
    const auto Found = Values.find(Name);
    if (Found == Values.end())
      throw std::runtime_error("no value for " + Name);
    Text.replace(Begin, End + 2 - Begin, Found->second);
    Begin += Found->second.size();
  }
  return Text;
}

/// The fields of the platform's settings that are the same for all processes.
inline auto commonValues(const store &Store) -> values {
  return {{"zone", "north"},
          {"ip_address", "127.0.0.1"},
          {"limits.memory_mb", "260"},
          {"contracts", ""},
          {"platform.address", Store.address()},
          {"bounds.drain_timeout_ms", "2000"},
          {"bounds.grace_period_s", "8"},
          {"bounds.retry_budget_ratio", "0.2"},
          {"bounds.retry_budget_extra", "54"},
          {"bounds.retry_window_s", "10"},
          {"bounds.origin_window_s", "5"},
          {"bounds.origin_rate_overrun", "1.1"}};
}

/// One process of the system, started with the command of the deploy file.
class process {
public:
  process(std::string ProcessName, const std::string &Settings,
          const temporary_folder &Folder)
      : Name(std::move(ProcessName)), File(Folder.Path + "/" + Name + ".ini"),
        Log(Folder.Path + "/" + Name + ".log") {
    std::ofstream(File) << Settings;
    start();
  }
  ~process() { end(); }

  auto start() -> void {
    const auto Variable = "LIMPETBRIDGE_SETTINGS=" + File;
    const char *Program = "target/apps/limpetbridge/limpetbridge";
    Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Output =
          ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Output, 1);
      ::dup2(Output, 2);
      char *Arguments[] = {const_cast<char *>(Program), nullptr};
      char *Environment[] = {const_cast<char *>(Variable.c_str()), nullptr};
      ::execve(Program, Arguments, Environment);
      ::_exit(127);
    }
    StartedAt = steady::now();
  }
  auto kill(int Signal) -> void {
    if (Pid > 0)
      ::kill(Pid, Signal);
  }
  /// True if the process has ended; it is gone then.
  auto hasEnded() -> bool {
    if (Pid > 0 && ::waitpid(Pid, &Status, WNOHANG) == Pid)
      Pid = -1;
    return Pid <= 0;
  }
  auto end() -> void {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, &Status, 0);
    Pid = -1;
  }
  /// Resident memory in MB.
  [[nodiscard]] auto memoryMb() const -> std::int64_t {
    std::ifstream Statistics("/proc/" + std::to_string(Pid) + "/statm");
    std::int64_t Size = 0;
    std::int64_t Resident = 0;
    Statistics >> Size >> Resident;
    return Resident * ::sysconf(_SC_PAGESIZE) / (1 << 20);
  }

  std::string Name;
  std::string File;
  std::string Log;
  steady::time_point StartedAt;
  int Status = 0;

private:
  pid_t Pid = -1;
};

/// Ports of a gateway and its settings.
struct gateway_ports {
  std::uint16_t Callers = freePort();
  std::uint16_t Ready = freePort();
  std::uint16_t Peers = freePort();
  std::uint16_t Link = freePort();
  std::uint16_t Metrics = freePort();
};

inline auto gatewaySettings(const store &Store, const std::string &Name,
                            const gateway_ports &Ports,
                            const std::string &Seeds) -> std::string {
  auto Values = commonValues(Store);
  const auto At = [](std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  };
  Values["node_name"] = Name;
  Values["listen_addresses.frontend"] = At(Ports.Callers);
  Values["listen_addresses.ready"] = At(Ports.Ready);
  Values["listen_addresses.control_plane"] = At(Ports.Peers);
  Values["seed_nodes"] = Seeds;
  Values["internal_port_range.0"] = std::to_string(Ports.Link);
  Values["internal_port_range.1"] = std::to_string(Ports.Metrics);
  return fillTemplate("platform/gateway.ini", Values);
}

inline auto controllerSettings(const store &Store, const std::string &Name,
                               const std::string &Target,
                               const std::string &Service) -> std::string {
  auto Values = commonValues(Store);
  Values["node_name"] = Name;
  Values["app"] = Target;
  Values["service"] = Service;
  Values["internal_port_range.0"] = std::to_string(freePort());
  Values["internal_port_range.1"] = std::to_string(freePort());
  return fillTemplate("platform/controller.ini", Values);
}

/// True if the gateway says that it is ready.
inline auto isReady(std::uint16_t Port) -> bool {
  const auto Channel = channel::open(Port, 200);
  return Channel &&
         exchangeOn(*Channel, "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n", "",
                    500)
                 .Status == 200;
}
inline auto awaitReady(std::uint16_t Port, std::int64_t LimitMs = 10'000)
    -> bool {
  for (const auto End = steady::now() + milliseconds(LimitMs);
       steady::now() < End; sleepMs(50))
    if (isReady(Port))
      return true;
  return false;
}

/// Head of a caller's request.
inline auto requestHead(const std::string &Method, const std::string &Path,
                        const std::string &Id, std::int64_t DeadlineMs,
                        std::size_t BodyBytes, const field_list &More = {})
    -> std::string {
  std::string Text =
      Method + " " + Path +
      " HTTP/1.1\r\nHost: shea.example\r\n"
      "X-Limpetbridge-Attempt-Id: " +
      Id + "\r\nX-Limpetbridge-Deadline-Ms: " + std::to_string(DeadlineMs) +
      "\r\n";
  for (const auto &[Name, Value] : More)
    Text += Name + ": " + Value + "\r\n";
  if (Method != "GET" && Method != "HEAD")
    Text += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  return Text + "\r\n";
}

/// True unless the environment has TROUBLE=0.
inline auto wantsTrouble() -> bool {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

} // namespace review

#endif // LIMPETBRIDGE_REVIEW_PLATFORM_H
