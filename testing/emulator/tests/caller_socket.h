/// \file
/// A caller's connection that tests drive byte by byte.
#ifndef LIMPETBRIDGE_EMULATOR_TESTS_CALLER_SOCKET_H
#define LIMPETBRIDGE_EMULATOR_TESTS_CALLER_SOCKET_H

#include "fleet_fixture.h"

#include <array>
#include <string>

namespace limpetbridge::emulator {

/// A caller's connection with blocking reads and writes.
class caller_socket {
public:
  explicit caller_socket(const std::string &Address) : Socket(Context) {
    Socket.connect(*net::parseEndpoint<net::tcp>(Address), Error);
    const timeval Limit{toMilliseconds(Patience) / 1000, 0};
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof(Limit));
  }

  [[nodiscard]] auto isConnected() const -> bool { return !Error; }

  auto write(const std::string &Bytes) -> void {
    net::error_code Ignored; // The answer shows whether it arrived.
    net::asio::write(Socket, net::asio::buffer(Bytes), Ignored);
  }

  /// Reads until \p End was received or the connection closes.
  auto readUntil(const std::string &End) -> std::string {
    std::string Text;
    std::array<char, 4096> Part{};
    while (Text.find(End) == std::string::npos) {
      const auto Count =
          recv(Socket.native_handle(), Part.data(), Part.size(), 0);
      if (Count <= 0)
        break;
      Text.append(Part.data(), static_cast<std::size_t>(Count));
    }
    return Text;
  }

private:
  net::asio::io_context Context;
  net::tcp::socket Socket;
  net::error_code Error;
};

} // namespace limpetbridge::emulator

#endif // LIMPETBRIDGE_EMULATOR_TESTS_CALLER_SOCKET_H
