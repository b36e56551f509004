/// \file
/// A server that writes given bytes as its answers, whole or not.
#ifndef LIMPETBRIDGE_ENGINE_TESTS_SCRIPTED_SERVER_H
#define LIMPETBRIDGE_ENGINE_TESTS_SCRIPTED_SERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>
#include <thread>

namespace limpetbridge {

/// Answers each request with the next bytes of the script. One connection at a
/// time.
class scripted_server {
public:
  struct answer {
    std::string Bytes;
    bool Close = true; ///< Otherwise the connection serves another request.
    bool Reset = false;
    std::string LateBytes; ///< Sent 50 ms after the others.
    std::string EndlessBytes =
        {};             ///< Sent again and again until the client closes.
    bool Early = false; ///< Sent when the head of the request was read.
  };

  explicit scripted_server(std::deque<answer> Script)
      : Answers(std::move(Script)), Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), Length) != 0 ||
        listen(Listener, 8) != 0)
      throw std::runtime_error("no port for a scripted server");
    getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
    Port = ntohs(Address.sin_port);
    Thread = std::thread([this] { run(); });
  }

  ~scripted_server() {
    Stopped = true;
    shutdown(Listener, SHUT_RDWR);
    if (Open >= 0)
      shutdown(Open, SHUT_RDWR);
    Thread.join();
    close(Listener);
  }

  /// Bytes of endless answers that were sent.
  [[nodiscard]] auto endlessCount() const -> std::size_t {
    return EndlessCount;
  }
  [[nodiscard]] auto port() const -> std::uint16_t { return Port; }

private:
  auto run() -> void {
    while (!Stopped && !Answers.empty()) {
      const int Socket = accept(Listener, nullptr, nullptr);
      if (Socket < 0)
        return;
      Open = Socket;
      bool KeepOpen = true;
      while (KeepOpen && !Answers.empty() &&
             readRequest(Socket, Answers.front().Early))
        KeepOpen = writeAnswer(Socket);
      Open = -1;
      close(Socket);
    }
  }

  auto writeAnswer(int Socket) -> bool {
    const auto Answer = Answers.front();
    Answers.pop_front();
    send(Socket, Answer.Bytes.data(), Answer.Bytes.size(), MSG_NOSIGNAL);
    if (!Answer.LateBytes.empty()) {
      usleep(50'000);
      send(Socket, Answer.LateBytes.data(), Answer.LateBytes.size(),
           MSG_NOSIGNAL);
    }
    while (!Answer.EndlessBytes.empty() && !Stopped &&
           EndlessCount < MaxEndlessCount) {
      const auto Count = send(Socket, Answer.EndlessBytes.data(),
                              Answer.EndlessBytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        break;
      EndlessCount += static_cast<std::size_t>(Count);
    }
    if (Answer.Reset) {
      const linger Discard{1, 0};
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Discard, sizeof(Discard));
    }
    return !Answer.Close;
  }

  /// Reads a request with a Content-Length, or only its head.
  static auto readRequest(int Socket, bool HeadOnly) -> bool {
    const std::string LengthField = "Content-Length: ";
    std::string Text;
    for (;;) {
      const auto End = Text.find("\r\n\r\n");
      if (End != std::string::npos && HeadOnly) {
        // The write of the request has filled the buffers of the connection.
        usleep(50'000);
        return true;
      }
      if (End != std::string::npos) {
        const auto Length = Text.find(LengthField);
        const auto Body =
            Length == std::string::npos
                ? std::size_t{0}
                : std::stoul(Text.substr(Length + LengthField.size()));
        if (Text.size() >= End + 4 + Body)
          return true;
      }
      char Part[4096];
      const auto Count = recv(Socket, Part, sizeof(Part), 0);
      if (Count <= 0)
        return false;
      Text.append(Part, static_cast<std::size_t>(Count));
    }
  }

  static constexpr std::size_t MaxEndlessCount = std::size_t{64} << 20U;

  std::deque<answer> Answers;
  int Listener;
  std::uint16_t Port = 0;
  std::atomic<std::size_t> EndlessCount{0};
  std::atomic<bool> Stopped{false};
  std::atomic<int> Open{-1};
  std::thread Thread;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_ENGINE_TESTS_SCRIPTED_SERVER_H
