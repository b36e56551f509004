/// \file
/// An address whose backlog is full: the opening packet of the next connection
/// is lost, and sent again after a second.
#ifndef LIMPETBRIDGE_EMULATOR_TESTS_FULL_BACKLOG_H
#define LIMPETBRIDGE_EMULATOR_TESTS_FULL_BACKLOG_H

#include "net/asio.h"

#include <unistd.h>

#include <string>
#include <vector>

namespace limpetbridge::emulator {

class full_backlog {
public:
  full_backlog() : Acceptor(Context, net::tcp::endpoint(net::tcp::v4(), 0)) {
    Acceptor.listen(0);
    const net::tcp::endpoint Endpoint(net::asio::ip::address_v4::loopback(),
                                      Acceptor.local_endpoint().port());
    for (int I = 0; I < 4; ++I) {
      Fillers.emplace_back(Context);
      Fillers.back().async_connect(Endpoint, [](net::error_code) {});
    }
    Context.run_for(milliseconds(50));
  }

  [[nodiscard]] auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// Accepts connections for \p Span; those that were tried before are
  /// established at their next try.
  auto accept(duration Span) -> std::vector<net::tcp::socket> {
    std::vector<net::tcp::socket> Accepted;
    Acceptor.non_blocking(true);
    const auto Deadline = process_clock::now() + Span;
    while (process_clock::now() < Deadline) {
      net::error_code Error;
      net::tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (!Error)
        Accepted.push_back(std::move(Socket));
      usleep(5000);
    }
    return Accepted;
  }

private:
  net::asio::io_context Context;
  net::tcp::acceptor Acceptor;
  std::vector<net::tcp::socket> Fillers;
};

} // namespace limpetbridge::emulator

#endif // LIMPETBRIDGE_EMULATOR_TESTS_FULL_BACKLOG_H
