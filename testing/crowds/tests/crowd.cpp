#include "crowd.h"

#include "base/time.h"
#include "net/asio.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <system_error>

namespace limpetbridge::crowds {

namespace {

/// Time without any progress after which nothing more is expected to be sent.
constexpr duration StallTime = seconds(2);
/// Bytes that a caller sends before it is the next one's turn.
constexpr std::size_t TurnBytes = std::size_t{64} * 1024;
/// Receive buffer of callers, who do not read.
constexpr int ReceiveBytes = 4096;

} // namespace

crowd::~crowd() {
  for (const auto &Caller : Callers)
    close(Caller.Socket);
}

auto crowd::add(const std::string &Address, std::size_t Count,
                const script &Script) -> void {
  const auto Endpoint = *net::parseEndpoint<net::tcp>(Address);
  const auto Shared = std::make_shared<const script>(Script);
  for (std::size_t I = 0; I < Count; ++I) {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    if (Socket < 0)
      throw std::system_error(errno, std::generic_category(), "socket");
    auto &Caller = Callers.emplace_back();
    Caller.Socket = Socket;
    Caller.Script = Shared;
    Caller.Blocks = Script.Blocks;
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
    Caller.Closed = connect(Socket, Endpoint.data(),
                            static_cast<socklen_t>(Endpoint.size())) != 0;
  }
}

auto crowd::addBlocks(std::size_t Blocks) -> void {
  for (auto &Caller : Callers)
    Caller.Blocks += Blocks;
}

auto crowd::caller::total() const -> std::size_t {
  return Script->Head.size() + Blocks * Script->Block.size();
}

auto crowd::caller::sendSome() -> std::size_t {
  std::size_t Count = 0;
  while (!Closed && Sent < total() && Count < TurnBytes) {
    const bool InHead = Sent < Script->Head.size();
    const auto &Text = InHead ? Script->Head : Script->Block;
    const auto Offset =
        InHead ? Sent : (Sent - Script->Head.size()) % Text.size();
    const auto Written =
        ::send(Socket, Text.data() + Offset, Text.size() - Offset,
               MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Written < 0) {
      Closed = errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
      break;
    }
    Sent += static_cast<std::size_t>(Written);
    Count += static_cast<std::size_t>(Written);
  }
  return Count;
}

auto crowd::send(const std::function<std::size_t()> &Watch) -> void {
  constexpr int PollMs = 50;
  auto ProgressAt = process_clock::now();
  std::size_t Watched = 0;
  while (process_clock::now() - ProgressAt < StallTime) {
    std::vector<pollfd> Writable;
    for (const auto &Caller : Callers)
      if (!Caller.Closed && Caller.Sent < Caller.total())
        Writable.push_back({Caller.Socket, POLLOUT, 0});
    poll(Writable.data(), Writable.size(), PollMs);
    bool Progress = std::exchange(Watched, Watch()) != Watched;
    for (auto &Caller : Callers)
      Progress |= Caller.sendSome() > 0;
    if (Progress)
      ProgressAt = process_clock::now();
  }
}

auto crowd::doneCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Callers.begin(), Callers.end(), [](const auto &Caller) {
        return Caller.Sent == Caller.total();
      }));
}

auto crowd::closedCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Callers.begin(), Callers.end(),
                    [](const auto &Caller) { return Caller.Closed; }));
}

} // namespace limpetbridge::crowds
