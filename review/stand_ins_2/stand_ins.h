/// \file
/// Stand-ins of the platform that the cases from 6 on share: its store, a small
/// HTTP server for workers, a client, and the processes of the system. Blocking
/// sockets on loopback addresses, one thread a connection.
#ifndef LIMPETBRIDGE_REVIEW_STAND_INS_H
#define LIMPETBRIDGE_REVIEW_STAND_INS_H

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand_ins {

using json = nlohmann::json;

inline auto nowMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline auto sleepMs(std::int64_t Milliseconds) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

/// True unless TROUBLE=0 asks for the run without the disruption.
inline auto hasTrouble() -> bool {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string(Text) != "0";
}

/// record.txt: what was sent, answered and run.
class record_file {
public:
  explicit record_file(const std::string &Path) : Out(Path), Start(nowMs()) {}
  auto note(const std::string &Text) -> void {
    const std::lock_guard Lock(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f  ",
                  static_cast<double>(nowMs() - Start) / 1000);
    Out << Time << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
  std::int64_t Start;
};

inline auto equalsIgnoreCase(const std::string &A, const std::string &B)
    -> bool {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

struct message {
  std::string First; ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  [[nodiscard]] auto field(const std::string &Name) const -> std::string {
    for (const auto &[Key, Value] : Fields)
      if (equalsIgnoreCase(Key, Name))
        return Value;
    return "";
  }
  [[nodiscard]] auto word(int Index) const -> std::string {
    std::size_t From = 0;
    for (; Index > 0; --Index)
      From = std::min(First.size(), First.find(' ', From)) + 1;
    return From >= First.size()
               ? ""
               : First.substr(From, First.find(' ', From) - From);
  }
  [[nodiscard]] auto method() const -> std::string { return word(0); }
  [[nodiscard]] auto target() const -> std::string { return word(1); }
  [[nodiscard]] auto status() const -> int {
    return std::atoi(word(1).c_str());
  }
};

/// One connection of either side. Not shared between threads.
class connection {
public:
  explicit connection(int Descriptor = -1) : Fd(Descriptor) {}
  ~connection() { close(); }
  connection(const connection &) = delete;
  auto operator=(const connection &) -> connection & = delete;

  auto connect(std::uint16_t Port) -> bool {
    close();
    Buffer.clear();
    Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) == 0)
      return true;
    close();
    return false;
  }
  auto write(const std::string &Bytes) -> bool {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const auto Count =
          ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }
  /// Reads what there is into Buffer. \returns false at the end.
  auto fill(int TimeoutMs = 20'000) -> bool {
    pollfd Poll{Fd, POLLIN, 0};
    TimedOut = false;
    if (Fd < 0 || poll(&Poll, 1, TimeoutMs) <= 0) {
      TimedOut = Fd >= 0;
      return false;
    }
    char Bytes[65536];
    const auto Count = ::recv(Fd, Bytes, sizeof(Bytes), 0);
    WasReset = Count < 0;
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }
  auto readHead(int TimeoutMs = 20'000) -> std::optional<message> {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(TimeoutMs))
        return std::nullopt;
    message Message;
    std::size_t From = 0;
    for (bool IsFirst = true; From < End; IsFirst = false) {
      const auto LineEnd = std::min(End, Buffer.find("\r\n", From));
      const auto Line = Buffer.substr(From, LineEnd - From);
      From = LineEnd + 2;
      if (IsFirst) {
        Message.First = Line;
        continue;
      }
      const auto Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      auto Value = Line.substr(Colon + 1);
      Value.erase(0, std::min(Value.size(), Value.find_first_not_of(" \t")));
      Message.Fields.emplace_back(Line.substr(0, Colon), Value);
    }
    Buffer.erase(0, End + 4);
    return Message;
  }
  /// Reads \p Size bytes. \returns false if the connection ends before.
  auto readBytes(std::size_t Size, std::string &Bytes, int TimeoutMs = 20'000)
      -> bool {
    while (Buffer.size() < Size)
      if (!fill(TimeoutMs))
        return false;
    Bytes += Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return true;
  }
  auto readLine(std::string &Line, int TimeoutMs = 20'000) -> bool {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n")) == std::string::npos)
      if (!fill(TimeoutMs))
        return false;
    Line = Buffer.substr(0, End);
    Buffer.erase(0, End + 2);
    return true;
  }
  /// Reads a body with a length or chunks. \returns false if it is not whole.
  auto readBody(message &Message, int TimeoutMs = 20'000) -> bool {
    if (equalsIgnoreCase(Message.field("Transfer-Encoding"), "chunked")) {
      for (;;) {
        std::string Line;
        if (!readLine(Line, TimeoutMs))
          return false;
        const auto Size = std::strtoul(Line.c_str(), nullptr, 16);
        if (!readBytes(Size, Message.Body, TimeoutMs) ||
            !readLine(Line, TimeoutMs))
          return false;
        if (Size == 0)
          return true;
      }
    }
    const auto Length = Message.field("Content-Length");
    return readBytes(std::strtoul(Length.c_str(), nullptr, 10), Message.Body,
                     TimeoutMs);
  }
  auto readMessage(int TimeoutMs = 20'000) -> std::optional<message> {
    auto Message = readHead(TimeoutMs);
    if (Message && readBody(*Message, TimeoutMs))
      return Message;
    return std::nullopt;
  }
  auto close() -> void {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  [[nodiscard]] auto descriptor() const -> int { return Fd; }

  std::string Buffer;
  bool TimedOut = false; ///< Of the last read.
  bool WasReset = false;

private:
  int Fd;
};

inline auto portOf(int Fd) -> std::uint16_t {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// \param Port 0 for any that is free.
inline auto openListener(std::uint16_t Port = 0) -> int {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0 &&
      listen(Fd, 512) == 0)
    return Fd;
  ::close(Fd);
  return -1;
}

/// A port that nobody uses, for a process that is started with it. It is below
/// the range from which the system takes ports, so that nobody gets it before.
inline auto freePort() -> std::uint16_t {
  constexpr std::uint32_t FirstPort = 15'000;
  constexpr std::uint32_t PortCount = 16'000;
  static std::atomic<std::uint32_t> Next =
      static_cast<std::uint32_t>(getpid()) * 127U;
  for (;;) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort + ++Next % PortCount);
    const int Fd = openListener(Port);
    if (Fd < 0)
      continue;
    ::close(Fd);
    return Port;
  }
}

inline auto addressOf(std::uint16_t Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Calls a handler on a thread of its own for each connection, as long as the
/// process lives.
class server {
public:
  using handler = std::function<void(connection &)>;
  explicit server(handler Handler, std::uint16_t AtPort = 0)
      : Fd(openListener(AtPort)), Port(portOf(Fd)), Handle(std::move(Handler)) {
    std::thread([this] {
      for (;;) {
        const int Accepted = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted < 0)
          return;
        const int One = 1;
        setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
        std::thread([this, Accepted] {
          connection Connection(Accepted);
          Handle(Connection);
        }).detach();
      }
    }).detach();
  }
  [[nodiscard]] auto port() const -> std::uint16_t { return Port; }
  [[nodiscard]] auto address() const -> std::string { return addressOf(Port); }

private:
  int Fd;
  std::uint16_t Port;
  handler Handle;
};

inline auto answerText(int Status, const std::string &Body,
                       const std::string &MoreFields = "") -> std::string {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + MoreFields + "\r\n" + Body;
}

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
      Text += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63U];
  }
  return Text;
}

/// The platform's store: rows, one counter of versions, changes that wait. Its
/// threads serve until the process ends, so it is never deleted.
class store {
public:
  store() : Listener([this](connection &Connection) { serve(Connection); }) {}

  [[nodiscard]] auto address() const -> std::string {
    return Listener.address();
  }
  auto put(const std::string &Table, const std::string &Key,
           const std::string &Value) -> std::uint64_t {
    const std::lock_guard Lock(Mutex);
    Rows[{Table, Key}] = {encodeBase64(Value), ++Version, false};
    Changed.notify_all();
    return Version;
  }
  auto drop(const std::string &Table, const std::string &Key) -> void {
    const std::lock_guard Lock(Mutex);
    Rows[{Table, Key}] = {"", ++Version, true};
    Changed.notify_all();
  }
  [[nodiscard]] auto version() -> std::uint64_t {
    const std::lock_guard Lock(Mutex);
    return Version;
  }
  /// Version of a row; 0 if it is not there.
  [[nodiscard]] auto versionOf(const std::string &Table, const std::string &Key)
      -> std::uint64_t {
    const std::lock_guard Lock(Mutex);
    const auto Found = Rows.find({Table, Key});
    return Found == Rows.end() || Found->second.Deleted ? 0
                                                        : Found->second.Version;
  }
  /// Takes the copy from which the store comes back after a drill.
  auto takeCopy() -> void {
    const std::lock_guard Lock(Mutex);
    CopiedRows = Rows;
    CopiedVersion = Version;
  }
  auto setAway(bool IsAway) -> void {
    const std::lock_guard Lock(Mutex);
    Away = IsAway;
    Changed.notify_all();
  }
  /// Comes back from the copy; the era rises.
  auto restore() -> void {
    const std::lock_guard Lock(Mutex);
    Rows = CopiedRows;
    Version = CopiedVersion;
    ++Era;
    Away = false;
    Changed.notify_all();
  }

private:
  struct row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  using row_name = std::pair<std::string, std::string>;

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
  static auto parameter(const std::string &Target, const std::string &Name)
      -> std::string {
    const auto At = Target.find(Name + "=");
    if (At == std::string::npos)
      return "";
    const auto From = At + Name.size() + 1;
    return Target.substr(From, Target.find('&', From) - From);
  }
  auto serve(connection &Connection) -> void {
    while (const auto Request = Connection.readMessage(60'000)) {
      auto [Status, Body] = answer(*Request);
      std::string EraField;
      {
        const std::lock_guard Lock(Mutex);
        EraField = "Store-Era: " + std::to_string(Era) + "\r\n";
      }
      if (!Connection.write(answerText(Status, Body.dump(), EraField)))
        return;
    }
  }
  auto withVersion(json Body) const -> json {
    Body["row_version"] = Version;
    Body["current_time_ms"] = nowMs();
    return Body;
  }
  auto answer(const message &Request) -> std::pair<int, json> {
    std::unique_lock Lock(Mutex);
    if (Away)
      return {503, json::object()};
    const auto Target = Request.target();
    if (Target == "/rows-tx")
      return transact(Request.Body);
    if (Target.starts_with("/rows-get")) {
      json List = json::array();
      for (const auto &[Name, Row] : Rows)
        if (Name.first == parameter(Target, "table") && !Row.Deleted)
          List.push_back(rowJson(Name, Row));
      return {200, withVersion({{"rows", List}, {"has_more", false}})};
    }
    if (!Target.starts_with("/rows-feed"))
      return {404, json::object()};
    const auto After =
        std::strtoull(parameter(Target, "after").c_str(), nullptr, 10);
    const auto Until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(std::atoll(
                           parameter(Target, "wait_time_ms").c_str()));
    const auto EraBefore = Era;
    for (;;) {
      if (Away)
        return {503, json::object()};
      if (Era != EraBefore || After > Version)
        return {410, json::object()};
      json List = json::array();
      std::map<std::uint64_t, json> Ordered;
      for (const auto &[Name, Row] : Rows)
        if (Name.first == parameter(Target, "table") && Row.Version > After)
          Ordered[Row.Version] = rowJson(Name, Row);
      for (const auto &[RowVersion, Json] : Ordered)
        List.push_back(Json);
      if (!List.empty() || std::chrono::steady_clock::now() >= Until)
        return {200, withVersion({{"rows", List}})};
      Changed.wait_until(Lock, Until);
    }
  }
  auto transact(const std::string &Body) -> std::pair<int, json> {
    const auto Call = json::parse(Body);
    json Standing = json::array();
    bool Holds = true;
    for (const auto &Each : Call.at("precondition")) {
      const row_name Name = {Each.at("table"), Each.at("key")};
      const auto Found = Rows.find(Name);
      const bool Exists = Found != Rows.end() && !Found->second.Deleted;
      Holds &= (Exists ? Found->second.Version : 0) ==
               Each.at("row_version").get<std::uint64_t>();
      if (Exists)
        Standing.push_back(rowJson(Name, Found->second));
    }
    if (!Holds)
      return {412, withVersion({{"rows", Standing}})};
    ++Version;
    for (const auto &Each : Call.at("write"))
      Rows[{Each.at("table"), Each.at("key")}] = {
          Each.at("value").get<std::string>(), Version, false};
    for (const auto &Each : Call.at("delete"))
      Rows[{Each.at("table"), Each.at("key")}] = {"", Version, true};
    Changed.notify_all();
    return {200, withVersion(json::object())};
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<row_name, row> Rows;
  std::map<row_name, row> CopiedRows;
  std::uint64_t Version = 0;
  std::uint64_t CopiedVersion = 0;
  std::uint64_t Era = 1;
  bool Away = false;
  server Listener;
};

/// A process of the system, started with the command of the deploy file.
class process {
public:
  process(std::string ProcessName, std::string Folder, std::string SettingsText)
      : Name(std::move(ProcessName)),
        SettingsPath(Folder + "/" + Name + ".ini"),
        LogPath(Folder + "/" + Name + ".log") {
    std::ofstream(SettingsPath) << SettingsText;
  }
  ~process() { kill(SIGKILL); }
  process(const process &) = delete;
  auto operator=(const process &) -> process & = delete;

  auto start() -> void {
    const auto Variable = "LIMPETBRIDGE_SETTINGS=" + SettingsPath;
    const char *Path = std::getenv("PATH");
    const auto PathVariable =
        std::string("PATH=") + (Path == nullptr ? "/usr/bin:/bin" : Path);
    char *const Arguments[] = {const_cast<char *>(Command), nullptr};
    char *const Environment[] = {const_cast<char *>(Variable.c_str()),
                                 const_cast<char *>(PathVariable.c_str()),
                                 nullptr};
    const int Log =
        open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing outlives the case.
      dup2(Log, 1);
      dup2(Log, 2);
      execve(Command, Arguments, Environment);
      _exit(127);
    }
    ::close(Log);
  }
  /// Sends the signal, and waits for the end if it is SIGKILL.
  auto kill(int Signal) -> void {
    if (Pid <= 0)
      return;
    ::kill(Pid, Signal);
    if (Signal != SIGKILL)
      return;
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  [[nodiscard]] auto isRunning() -> bool {
    if (Pid <= 0)
      return false;
    if (waitpid(Pid, nullptr, WNOHANG) == 0)
      return true;
    Pid = -1;
    return false;
  }
  /// A figure of /proc/PID/status in kB; 0 if the process has ended.
  [[nodiscard]] auto memoryKb(const std::string &Field) const -> long {
    std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
    for (std::string Line; std::getline(In, Line);)
      if (Line.starts_with(Field + ":"))
        return std::atol(Line.c_str() + Field.size() + 1);
    return 0;
  }

  static constexpr const char *Command =
      "target/apps/limpetbridge/limpetbridge";

private:
  std::string Name;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Pid = -1;
};

/// Addresses and settings of one gateway, as platform/gateway.ini gives them.
struct gateway_place {
  std::string Name;
  std::uint16_t Callers = freePort();
  std::uint16_t Readiness = freePort();
  std::uint16_t Peers = freePort();
  std::uint16_t Link = freePort();
  std::uint16_t Metrics = freePort();
  int MemoryMb = 260;

  [[nodiscard]] auto settings(const std::string &Store,
                              const std::string &Seeds) const -> std::string {
    return "[instance]\nrole = gateway\nname = " + Name +
           "\ndata_centre = nashua\naddress = 127.0.0.1\n[gateway]\n"
           "callers = " +
           addressOf(Callers) + "\nreadiness = " + addressOf(Readiness) +
           "\npeers = " + addressOf(Peers) + "\nseeds = " + Seeds +
           "\nmemory_mb = " + std::to_string(MemoryMb) +
           "\n[link]\naddress = " + addressOf(Link) +
           "\n[metrics]\naddress = " + addressOf(Metrics) +
           "\n[store]\naddress = " + Store +
           "\nleaving_bound_ms = 2000\n[retry]\nratio = 0.2\nextra = 52\n"
           "window_ms = 10s\n[targets]\ncontracts = "
           "base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n"
           "[drain]\nbalancer_wait_ms = 2600\ngrace_ms = 8s\n[log]\nfile = -\n";
  }
  /// Waits until the gateway counts as ready.
  [[nodiscard]] auto awaitReady(int TimeoutMs = 15'000) const -> bool {
    const auto End = nowMs() + TimeoutMs;
    while (nowMs() < End) {
      connection Connection;
      if (Connection.connect(Readiness) &&
          Connection.write("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n"))
        if (const auto Answer = Connection.readMessage(1000);
            Answer && Answer->status() == 200)
          return true;
      sleepMs(100);
    }
    return false;
  }
};

/// Settings of a controller, as platform/controller.ini gives them.
inline auto controllerSettings(const std::string &Name,
                               const std::string &Target,
                               const std::string &Service,
                               const std::string &Store) -> std::string {
  return "[instance]\nrole = controller\nname = " + Name +
         "\ndata_centre = nashua\naddress = 127.0.0.1\n[controller]\ntarget "
         "= " +
         Target + "\n[target]\nservice = " + Service +
         "\n[link]\naddress = " + addressOf(freePort()) +
         "\n[metrics]\naddress = " + addressOf(freePort()) +
         "\n[store]\naddress = " + Store +
         "\n[loads]\nwindow_ms = 5s\noverrun = 1.1\n[drain]\ngrace_ms = 8s\n"
         "[log]\nfile = -\n";
}

/// A folder of its own for settings and logs, which is removed at the end.
class temporary_folder {
public:
  temporary_folder() {
    const char *Base = std::getenv("TMPDIR");
    std::string Pattern =
        std::string(Base == nullptr ? "/tmp" : Base) + "/review-XXXXXX";
    Path = mkdtemp(Pattern.data()) == nullptr ? "" : Pattern;
  }
  ~temporary_folder() {
    if (!Path.empty() && std::getenv("KEEP_LOGS") == nullptr)
      if (std::system(("rm -rf '" + Path + "'").c_str()) != 0)
        return;
  }
  temporary_folder(const temporary_folder &) = delete;
  auto operator=(const temporary_folder &) -> temporary_folder & = delete;
  std::string Path;
};

/// Ends the case at once: the threads of its stand-ins still serve.
[[noreturn]] inline auto finish(int Code) -> void { _exit(Code); }

/// Exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

} // namespace stand_ins

#endif // LIMPETBRIDGE_REVIEW_STAND_INS_H
