#include "net/caller_connection.h"

#include <algorithm>

#include <array>

namespace limpetbridge::net {

namespace {

/// Bytes from which on nothing more is read ahead while a request is in
/// progress: one longest head, or some ordinary requests.
constexpr std::size_t MaxReadAhead = std::size_t{16} * 1024;
/// Largest single read of bytes ahead, bytes.
constexpr std::size_t ReadBytes = std::size_t{8} * 1024;
/// Bytes that are read and discarded before the connection closes. A peer that
/// goes on sending, for example a body over the limit, is not read further.
constexpr std::size_t MaxDiscardedBytes = std::size_t{64} * 1024;
/// Time without progress after which a peer that does not read is given up.
constexpr duration WriteStallTimeout = seconds(5);
/// Time in which a new connection is expected to carry its first request.
constexpr duration FirstRequestTime = seconds(1);
/// Longest wait for the peer to close after sending was shut down.
constexpr duration LingerTimeout = milliseconds(500);
/// Memory of a connection besides its buffers: the object, its timers and the
/// frames of its tasks, rounded up.
constexpr std::size_t ConnectionBytes = std::size_t{4} * 1024;

} // namespace

caller_connection::caller_connection(tcp::socket Accepted)
    : Socket(std::move(Accepted)), Timer(Socket.get_executor()),
      WriteTimer(Socket.get_executor()), RoomTimer(Socket.get_executor()),
      FirstRequestDeadline(process_clock::now() + FirstRequestTime) {
  error_code Ignored; // Only tuning; a broken socket fails at a read.
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
}

auto caller_connection::startTimer(duration Timeout) -> void {
  TimedOut = false;
  const auto Generation = ++TimerGeneration;
  Timer.expires_after(Timeout);
  Timer.async_wait([Self = weak_from_this(), Generation](error_code Error) {
    const auto This = Self.lock();
    if (Error || !This || This->TimerGeneration != Generation)
      return;
    This->TimedOut = true;
    This->cancelRead();
  });
}

auto caller_connection::setAccount(
    std::unique_ptr<connection_account> ConnectionAccount) -> void {
  Account = std::move(ConnectionAccount);
}

auto caller_connection::heldBytes() const -> std::size_t {
  return ConnectionBytes + Buffer.capacity() + RequestBytes + WritingBytes;
}

auto caller_connection::report(connection_phase NewPhase) -> void {
  Reported = NewPhase;
  if (!Account)
    return;
  const auto Bytes = heldBytes();
  auto Largest = Bytes;
  if (NewPhase == connection_phase::Body)
    Largest += std::max(LargestRequest, RequestBytes) - RequestBytes;
  Account->update({NewPhase, Bytes, Largest, MovedBytes});
}

auto caller_connection::releaseBuffer() -> void {
  if (Buffer.size() > 0 || Buffer.capacity() == 0)
    return;
  Buffer.clear();
  Buffer.shrink_to_fit();
}

auto caller_connection::startDisconnectWatch(std::function<void()> Callback)
    -> void {
  OnDisconnect = std::move(Callback);
  watchNextRead(++WatchGeneration);
}

auto caller_connection::stopDisconnectWatch() -> void {
  ++WatchGeneration;
  OnDisconnect = nullptr;
}

auto caller_connection::checkDisconnect() -> void {
  if (!OnDisconnect)
    return;
  std::array<char, 1> Byte{};
  error_code Error;
  Socket.receive(asio::buffer(Byte), tcp::socket::message_peek, Error);
  if (!Error || Error == asio::error::would_block ||
      Error == asio::error::try_again)
    return;
  ++WatchGeneration;
  std::exchange(OnDisconnect, nullptr)();
}

auto caller_connection::watchNextRead(std::uint64_t Generation) -> void {
  // A peer that does not read its answer is not read from either.
  WatchPaused = Blocked;
  if (Blocked || Buffer.size() >= MaxReadAhead)
    return;
  Socket.async_wait(tcp::socket::wait_read, [Self = shared_from_this(),
                                             Generation](error_code Error) {
    if (Self->WatchGeneration != Generation)
      return;
    if (Self->Blocked && !Error) {
      Self->WatchPaused = true;
      return;
    }
    std::size_t Count = 0;
    if (!Error)
      Count = Self->Socket.read_some(Self->Buffer.prepare(ReadBytes), Error);
    Self->Buffer.commit(Count);
    Self->MovedBytes += Count;
    Self->report(Self->Reported);
    const bool KeepWatching = !Error || Error == asio::error::would_block ||
                              Error == asio::error::try_again;
    if (!KeepWatching) {
      ++Self->WatchGeneration;
      if (auto Callback = std::exchange(Self->OnDisconnect, nullptr))
        Callback();
    } else {
      Self->watchNextRead(Generation);
    }
  });
}

auto caller_connection::write(std::string Bytes) -> awaitable<bool> {
  const auto Self = shared_from_this();
  std::size_t Sent = 0;
  bool Writable = true;
  while (Writable && Sent < Bytes.size()) {
    error_code Error;
    const auto Count = Socket.write_some(asio::buffer(Bytes) + Sent, Error);
    Sent += Count;
    MovedBytes += Count;
    Writable = !Error;
    if (Error == asio::error::would_block || Error == asio::error::try_again) {
      Blocked = true;
      WritingBytes = Bytes.capacity();
      report(connection_phase::Writing);
      Writable = co_await waitForWritable();
    }
  }
  if (std::exchange(Blocked, false)) {
    WritingBytes = 0;
    report(connection_phase::Serving);
    if (WatchPaused && OnDisconnect)
      watchNextRead(WatchGeneration);
  }
  co_return Writable;
}

auto caller_connection::waitForWritable() -> awaitable<bool> {
  WriteTimer.expires_after(WriteStallTimeout);
  WriteTimer.async_wait([Weak = weak_from_this()](error_code Error) {
    if (const auto This = Weak.lock(); This && !Error)
      This->abort();
  });
  error_code Error;
  co_await Socket.async_wait(tcp::socket::wait_write, storeError(Error));
  WriteTimer.cancel();
  co_return !Error && Socket.is_open();
}

auto caller_connection::abort() -> void {
  stopDisconnectWatch();
  error_code Ignored; // The connection ends either way.
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

auto caller_connection::closeGracefully() -> awaitable<void> {
  const auto Self = shared_from_this();
  error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  if (PartialRejection && PartialRejection->ClosesAtOnce &&
      Socket.available(Error) == 0)
    Socket.close(Error);
  startTimer(LingerTimeout);
  while (!Error && !TimedOut && Socket.is_open() &&
         DiscardedBytes < MaxDiscardedBytes) {
    DiscardedBytes += Buffer.size();
    Buffer.consume(Buffer.size());
    const auto Count = co_await Socket.async_read_some(
        Buffer.prepare(ReadBytes), storeError(Error));
    Buffer.commit(Count);
  }
  DiscardedBytes += Buffer.size();
  Buffer.consume(Buffer.size());
  releaseBuffer();
  report(Reported);
  // Unread bytes would reset the connection before the peer has the answer.
  RoomTimer.expires_at(std::chrono::steady_clock::time_point::max());
  if (!Error && !TimedOut && Socket.is_open())
    co_await RoomTimer.async_wait(storeError(Error));
  ++TimerGeneration;
  Timer.cancel();
  Socket.close(Error);
}

auto caller_connection::closeIfIdle() -> void {
  if (Phase != read_phase::FirstByte)
    return;
  // Unread bytes belong to a request that has to be served.
  error_code Error;
  if (Socket.available(Error) > 0)
    return;
  Socket.cancel(Error); // waitForFirstByte closes the connection.
}

auto caller_connection::awaitRoom(std::size_t Bytes) -> awaitable<bool> {
  if (!Account || Account->requestRoom(Bytes))
    co_return true;
  HasRoom = false;
  while (!HasRoom && !TimedOut && !PartialRejection && Socket.is_open()) {
    RoomTimer.expires_at(std::chrono::steady_clock::time_point::max());
    error_code Cancelled; // By grantRoom or cancelRead.
    co_await RoomTimer.async_wait(storeError(Cancelled));
  }
  co_return HasRoom;
}

auto caller_connection::grantRoom() -> void {
  HasRoom = true;
  RoomTimer.cancel();
}

auto caller_connection::cancelRead() -> void {
  error_code Ignored; // A broken socket fails at its read.
  Socket.cancel(Ignored);
  RoomTimer.cancel();
}

auto caller_connection::rejectPartialRequest(const rejection &Rejection)
    -> void {
  if (Phase != read_phase::Rest || PartialRejection)
    return;
  PartialRejection = Rejection;
  cancelRead();
}

} // namespace limpetbridge::net
