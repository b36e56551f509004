#include "emulator/raw_target.h"

#include <boost/asio/read_until.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetbridge::emulator {

using net::awaitable;

raw_connection::raw_connection(net::tcp::socket Accepted,
                               std::vector<std::string> &SeenHeads)
    : Socket(std::move(Accepted)), Heads(SeenHeads) {}

auto raw_connection::field(std::string_view Name) const -> std::string {
  const auto Line = "\r\n" + std::string(Name) + ": ";
  const auto Start = Head.find(Line);
  if (Start == std::string::npos)
    return {};
  const auto ValueStart = Start + Line.size();
  return Head.substr(ValueStart, Head.find("\r\n", ValueStart) - ValueStart);
}

auto raw_connection::callId() const -> std::string {
  return field("X-Limpetbridge-Attempt-Id");
}

auto raw_connection::readHead() -> awaitable<bool> {
  net::error_code Error;
  const auto Length = co_await net::asio::async_read_until(
      Socket, net::asio::dynamic_buffer(Unread), "\r\n\r\n",
      net::storeError(Error));
  if (Error)
    co_return false;
  Head = Unread.substr(0, Length);
  Heads.push_back(Head);
  Unread.erase(0, Length);
  co_return true;
}

auto raw_connection::readBody() -> awaitable<bool> {
  const auto Text = field("Content-Length");
  std::size_t Remaining = Text.empty() ? 0 : std::stoul(Text);
  std::string Part(std::size_t{64} * 1024, '\0');
  for (;;) {
    const auto Count = std::min(Remaining, Unread.size());
    Unread.erase(0, Count);
    Remaining -= Count;
    if (Remaining == 0)
      co_return true;
    net::error_code Error;
    const auto Read = co_await Socket.async_read_some(net::asio::buffer(Part),
                                                      net::storeError(Error));
    if (Error)
      co_return false;
    Unread.append(Part, 0, Read);
  }
}

auto raw_connection::write(std::string Bytes) -> awaitable<bool> {
  constexpr std::string_view Placeholder = "$ID";
  for (;;) {
    const auto Start = Bytes.find(Placeholder);
    if (Start == std::string::npos)
      break;
    Bytes.replace(Start, Placeholder.size(), callId());
  }
  net::error_code Error;
  co_await net::asio::async_write(Socket, net::asio::buffer(Bytes),
                                  net::storeError(Error));
  co_return !Error;
}

auto raw_connection::reset() -> void {
  net::error_code Ignored; // The connection ends either way.
  Socket.set_option(net::asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

auto raw_connection::close() -> void {
  net::error_code Ignored; // The connection ends either way.
  Socket.close(Ignored);
}

raw_target::raw_target(net::asio::io_context &TargetContext)
    : Context(TargetContext),
      Acceptor(TargetContext,
               net::tcp::endpoint(net::asio::ip::address_v4::loopback(), 0)) {
  net::spawn(Context.get_executor(), acceptAll());
}

auto raw_target::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

auto raw_target::row(const std::string &Service) const -> std::string {
  const nlohmann::json Model = {
      {"name", "a"}, {"version", 1}, {"adapters", nlohmann::json::array()}};
  const nlohmann::json Row = {{"service", Service},
                              {"address", address()},
                              {"zone", "north"},
                              {"version", "v1"},
                              {"slots", 8},
                              {"state", "ready"},
                              {"stage", "colocated"},
                              {"born", 1000},
                              {"models", nlohmann::json::array({Model})}};
  return Row.dump();
}

auto raw_target::acceptAll() -> awaitable<void> {
  for (;;) {
    net::error_code Error;
    auto Accepted = co_await Acceptor.async_accept(net::storeError(Error));
    if (Error)
      co_return;
    net::spawn(Context.get_executor(), serveOne(std::move(Accepted)));
  }
}

auto raw_target::serveOne(net::tcp::socket Accepted) -> awaitable<void> {
  raw_connection Connection(std::move(Accepted), Heads);
  const int Number = ++ConnectionCount;
  co_await Serve(Connection, Number);
  Connection.close();
}

} // namespace limpetbridge::emulator
