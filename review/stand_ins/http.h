/// \file
/// Blocking HTTP/1.1 over loopback for stand-ins: one thread a channel.
#ifndef LIMPETBRIDGE_REVIEW_HTTP_H
#define LIMPETBRIDGE_REVIEW_HTTP_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline auto sleepMs(std::int64_t Count) -> void {
  std::this_thread::sleep_for(milliseconds(Count));
}

using field_list = std::vector<std::pair<std::string, std::string>>;

struct http_message {
  std::string Start; ///< Request line or status line.
  field_list Fields;
  std::string Body;

  [[nodiscard]] auto field(std::string_view Name) const -> std::string {
    for (const auto &[Key, Value] : Fields)
      if (Key.size() == Name.size() &&
          strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
        return Value;
    return "";
  }
  [[nodiscard]] auto method() const -> std::string {
    return Start.substr(0, Start.find(' '));
  }
  [[nodiscard]] auto target() const -> std::string {
    const auto First = Start.find(' ') + 1;
    return Start.substr(First, Start.find(' ', First) - First);
  }
  [[nodiscard]] auto status() const -> int {
    return Start.size() < 12 ? 0 : std::atoi(Start.c_str() + 9);
  }
};

/// One TCP channel with what was read of it and not yet used.
class channel {
public:
  explicit channel(int OpenSocket) : Socket(OpenSocket) {
    const int One = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  }
  channel(const channel &) = delete;
  auto operator=(const channel &) -> channel & = delete;
  ~channel() {
    if (Socket >= 0)
      ::close(Socket);
  }

  /// \returns null if nobody accepts in time.
  static auto open(std::uint16_t Port, std::int64_t TimeoutMs = 1000)
      -> std::unique_ptr<channel> {
    const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto Channel = std::make_unique<channel>(Fd);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
    setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
        0)
      return nullptr;
    Limit = {20, 0};
    setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    return Channel;
  }

  auto send(std::string_view Bytes) -> bool {
    while (!Bytes.empty()) {
      const auto Count =
          ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Count));
    }
    return true;
  }

  /// \returns none if the channel ends, or nothing comes by \p Deadline.
  auto readHead(steady::time_point Deadline) -> std::optional<http_message> {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Deadline))
        return std::nullopt;
    http_message Message;
    std::size_t Line = 0;
    bool First = true;
    while (Line < End) {
      const auto LineEnd = std::min(End, Buffer.find("\r\n", Line));
      const auto Text = Buffer.substr(Line, LineEnd - Line);
      Line = LineEnd + 2;
      if (std::exchange(First, false)) {
        Message.Start = Text;
        continue;
      }
      const auto Colon = Text.find(':');
      auto Value = Text.substr(std::min(Text.size(), Colon + 1));
      Value.erase(0, Value.find_first_not_of(" \t"));
      Message.Fields.emplace_back(Text.substr(0, Colon), Value);
    }
    Buffer.erase(0, End + 4);
    return Message;
  }

  /// Reads the body that the head announces.
  /// \returns false if it broke off or did not end by \p Deadline.
  auto readBody(http_message &Message, bool IsAnswer,
                steady::time_point Deadline) -> bool {
    if (!Message.field("Transfer-Encoding").empty())
      return readChunks(Message.Body, Deadline);
    const auto Length = Message.field("Content-Length");
    if (!Length.empty())
      return readCount(Message.Body, std::stoull(Length), Deadline);
    if (!IsAnswer || Message.status() == 204 || Message.status() == 304)
      return true;
    while (fill(Deadline)) {
    }
    Message.Body = std::exchange(Buffer, {});
    return SawEnd;
  }

  /// Bytes that came and belong to no message so far.
  [[nodiscard]] auto rest() const -> const std::string & { return Buffer; }
  /// Reads on for a while. \returns false if the channel has ended.
  auto fill(steady::time_point Deadline) -> bool {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Deadline - steady::now())
            .count();
    pollfd Wait{Socket, POLLIN, 0};
    if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Part[65536];
    const auto Count = ::recv(Socket, Part, sizeof Part, 0);
    if (Count <= 0) {
      SawEnd = Count == 0;
      Ended = true;
      return false;
    }
    Buffer.append(Part, static_cast<std::size_t>(Count));
    return true;
  }
  /// True if the peer has ended or reset the channel.
  [[nodiscard]] auto hasEnded() const -> bool { return Ended; }

  /// Ends the channel for the thread that reads it, as the end of the process
  /// would.
  auto cut() -> void { ::shutdown(Socket, SHUT_RDWR); }

private:
  auto readCount(std::string &Body, std::size_t Count,
                 steady::time_point Deadline) -> bool {
    while (Buffer.size() < Count)
      if (!fill(Deadline))
        return false;
    Body.append(Buffer, 0, Count);
    Buffer.erase(0, Count);
    return true;
  }
  auto readChunks(std::string &Body, steady::time_point Deadline) -> bool {
    for (;;) {
      std::size_t End = 0;
      while ((End = Buffer.find("\r\n")) == std::string::npos)
        if (!fill(Deadline))
          return false;
      const auto Count = std::stoull(Buffer.substr(0, End), nullptr, 16);
      Buffer.erase(0, End + 2);
      if (!readCount(Body, Count, Deadline))
        return false;
      std::string LineEnd;
      if (!readCount(LineEnd, 2, Deadline))
        return false;
      if (Count == 0)
        return true;
    }
  }

  int Socket;
  std::string Buffer;
  bool SawEnd = false;
  bool Ended = false;
};

inline auto answerText(int Status, const field_list &Fields,
                       const std::string &Body) -> std::string {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

inline auto chunkText(const std::string &Part) -> std::string {
  char Length[20];
  std::snprintf(Length, sizeof Length, "%zx", Part.size());
  return std::string(Length) + "\r\n" + Part + "\r\n";
}

/// Accepts channels on one port; a handler answers each request and returns
/// whether the channel stays open.
class http_server {
public:
  using handler = std::function<bool(channel &, http_message &)>;

  explicit http_server(handler RequestHandler, std::uint16_t FixedPort = 0)
      : Handler(std::move(RequestHandler)), Port(FixedPort) {
    start();
  }
  ~http_server() { stop(); }

  [[nodiscard]] auto port() const -> std::uint16_t { return Port; }
  [[nodiscard]] auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// Listens at the same port as before.
  auto start() -> void {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int One = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(Listener, 512) != 0)
      throw std::runtime_error("cannot listen");
    socklen_t Size = sizeof Address;
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    Stopping = false;
    Acceptor = std::thread([this] { acceptAll(); });
  }

  /// Ends the listener and all channels, as the end of the process would.
  auto stop() -> void {
    end();
    if (Acceptor.joinable())
      Acceptor.join();
    while (Open > 0)
      sleepMs(1);
  }
  /// The same, from a handler: does not wait for the handlers.
  auto end() -> void {
    const std::lock_guard Lock(Mutex);
    if (Stopping.exchange(true))
      return;
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
    for (auto *Channel : Channels)
      Channel->cut();
  }
  [[nodiscard]] auto isStopping() const -> bool { return Stopping; }

private:
  auto acceptAll() -> void {
    for (;;) {
      const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0) {
        if (Stopping || errno == EBADF || errno == EINVAL)
          return;
        sleepMs(5);
        continue;
      }
      ++Open;
      std::thread([this, Fd] {
        {
          channel Channel(Fd);
          serve(Channel);
        }
        --Open;
      }).detach();
    }
  }
  auto serve(channel &Channel) -> void {
    {
      const std::lock_guard Lock(Mutex);
      if (Stopping)
        return;
      Channels.insert(&Channel);
    }
    for (bool Keep = true; Keep && !Stopping;) {
      auto Request = Channel.readHead(steady::now() + std::chrono::seconds(60));
      Keep = Request && Handler(Channel, *Request);
    }
    const std::lock_guard Lock(Mutex);
    Channels.erase(&Channel);
  }

  handler Handler;
  int Listener = -1;
  std::uint16_t Port = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Open = 0;
  std::mutex Mutex;
  std::set<channel *> Channels;
  std::thread Acceptor;
};

/// What a caller saw of one request.
struct exchange {
  int Status = 0;     ///< 0: the channel ended, or nothing came in time.
  bool Whole = false; ///< The answer was complete.
  bool HasProof = false;
  http_message Answer;
};

/// Sends \p Request and reads its answer.
inline auto exchangeOn(channel &Channel, const std::string &Head,
                       std::string_view Body, std::int64_t TimeoutMs)
    -> exchange {
  exchange Result;
  const auto Deadline = steady::now() + milliseconds(TimeoutMs);
  if (!Channel.send(Head) || !Channel.send(Body)) {
    // The answer may have come before the whole body was read.
  }
  auto Answer = Channel.readHead(Deadline);
  if (!Answer)
    return Result;
  Result.Status = Answer->status();
  Result.HasProof = !Answer->field("X-Limpetbridge-Response-Signature").empty();
  Result.Whole = Channel.readBody(*Answer, true, Deadline);
  Result.Answer = std::move(*Answer);
  return Result;
}

} // namespace review

#endif // LIMPETBRIDGE_REVIEW_HTTP_H
