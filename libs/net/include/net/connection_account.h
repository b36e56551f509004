/// \file
/// What a connection of a caller holds, as it reports it to whoever bounds the
/// sum over all connections of the process. This library decides nothing.
#ifndef LIMPETBRIDGE_NET_CONNECTION_ACCOUNT_H
#define LIMPETBRIDGE_NET_CONNECTION_ACCOUNT_H

#include <cstddef>
#include <cstdint>

namespace limpetbridge::net {

/// What a connection does.
enum class connection_phase : std::uint8_t {
  New,     ///< Waits for its first request.
  Idle,    ///< Waits for another request.
  Head,    ///< The head of a request arrives.
  Body,    ///< Its body arrives.
  Serving, ///< The request has arrived, and is not answered.
  Writing  ///< The peer takes its answer more slowly than it comes.
};

/// What a connection holds.
struct connection_holding {
  connection_phase Phase = connection_phase::New;
  std::size_t Bytes = 0; ///< In memory, by capacity.
  /// The same when the request that is being read is complete, at most.
  std::size_t LargestBytes = 0;
  std::uint64_t MovedBytes = 0; ///< Received and sent since it was opened.
};

/// Receives the reports of one connection; destroyed with it.
class connection_account {
public:
  connection_account() = default;
  virtual ~connection_account() = default;
  connection_account(const connection_account &) = delete;
  auto operator=(const connection_account &) -> connection_account & = delete;

  virtual auto update(const connection_holding &Holding) -> void = 0;
  /// Asks whether the connection may hold \p Bytes in all.
  /// \returns false if it has to wait for caller_connection::grantRoom.
  virtual auto requestRoom(std::size_t Bytes) -> bool = 0;
};

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_CONNECTION_ACCOUNT_H
