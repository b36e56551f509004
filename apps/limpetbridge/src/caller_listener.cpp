#include "caller_listener.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>

namespace limpetbridge {

namespace {

constexpr int Backlog = 1024;
constexpr std::size_t RequestsPerConnection = 5;
constexpr auto KeepAliveTimeout = seconds(5);
/// How long a stopping listener waits for the next request on a connection
/// that was promised to stay open.
constexpr auto LastRequestWait = milliseconds(500);
constexpr unsigned RetryWaitUs = 1000;

/// Whether the calling thread's last answer announced that its
/// connection closes.
thread_local bool LastAnswerCloses = false;

/// Waits until one of \p Events occurs. \returns false at \p Deadline.
auto awaitEvents(pollfd *Events, nfds_t Count, time_point Deadline) -> bool {
  for (;;) {
    const auto Wait = toMilliseconds(remaining(Deadline, process_clock::now()));
    const int Ready = ::poll(Events, Count, static_cast<int>(Wait));
    if (Ready >= 0 || errno != EINTR)
      return Ready > 0;
  }
}

auto awaitSocket(socket_t Socket, short Event, time_point Deadline) -> bool {
  pollfd Wait{Socket, Event, 0};
  return awaitEvents(&Wait, 1, Deadline);
}

} // namespace

/// A connection as the HTTP library reads and writes it.
class socket_stream : public httplib::Stream {
public:
  socket_stream(socket_t Socket, duration Timeout)
      : Socket(Socket), Timeout(Timeout) {}

  [[nodiscard]] auto hasBuffered() const -> bool { return Begin != End; }

  // Names given by the HTTP library.
  bool is_readable() const override { // NOLINT
    return hasBuffered() || await(POLLIN);
  }
  bool is_writable() const override { return await(POLLOUT); } // NOLINT
  socket_t socket() const override { return Socket; }          // NOLINT
  // No handler reads addresses.
  void get_remote_ip_and_port(std::string &, int &) const override {} // NOLINT
  void get_local_ip_and_port(std::string &, int &) const override {}  // NOLINT

  ssize_t read(char *To, std::size_t Size) override { // NOLINT
    if (!hasBuffered()) {
      if (!await(POLLIN))
        return -1;
      const auto Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0)
        return Count;
      Begin = 0;
      End = static_cast<std::size_t>(Count);
    }
    const auto Count = std::min(Size, End - Begin);
    std::memcpy(To, Buffer.data() + Begin, Count);
    Begin += Count;
    return static_cast<ssize_t>(Count);
  }

  /// Writes all of \p Size bytes, or fails.
  ssize_t write(const char *From, std::size_t Size) override { // NOLINT
    std::size_t Written = 0;
    while (Written < Size) {
      if (!await(POLLOUT))
        return -1;
      const auto Count = ::send(Socket, From + Written, Size - Written,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Count < 0 && errno != EAGAIN)
        return -1;
      Written += static_cast<std::size_t>(std::max<ssize_t>(Count, 0));
    }
    return static_cast<ssize_t>(Size);
  }

private:
  [[nodiscard]] auto await(short Event) const -> bool {
    return awaitSocket(Socket, Event, process_clock::now() + Timeout);
  }

  socket_t Socket;
  duration Timeout;
  std::array<char, 4096> Buffer{};
  std::size_t Begin = 0; ///< Of the bytes in the buffer that were not read.
  std::size_t End = 0;
};

caller_listener::caller_listener(std::size_t Threads, std::size_t QueueLimit,
                                 duration IoTimeout)
    : IoTimeout(IoTimeout), StopEvent(::eventfd(0, EFD_CLOEXEC)),
      Pool("caller", Threads, ConnectionStackBytes, QueueLimit) {
  set_keep_alive_max_count(RequestsPerConnection);
  set_keep_alive_timeout(seconds(KeepAliveTimeout).count());
  set_tcp_nodelay(true);
  set_socket_options([](socket_t Socket) {
    constexpr int Enabled = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  });
  set_post_routing_handler(
      [this](const auto &, auto &Response) { announceClose(Response); });
}

caller_listener::~caller_listener() {
  stopBy(process_clock::now());
  ::close(StopEvent);
}

auto caller_listener::start(const std::string &Address, std::uint16_t Port)
    -> std::uint16_t {
  int Bound = Port;
  if (Port == 0)
    Bound = bind_to_any_port(Address);
  else if (!bind_to_port(Address, Port))
    Bound = -1;
  if (Bound <= 0)
    throw std::runtime_error("cannot listen on " + Address + ":" +
                             std::to_string(Port));
  // The library's backlog of 5 breaks connections in a burst.
  ::listen(svr_sock_, Backlog);
  ::fcntl(svr_sock_, F_SETFL, O_NONBLOCK);
  Accepting = true;
  Acceptor = std::make_unique<thread>("caller-accept", LoopStackBytes,
                                      [this] { runAcceptor(); });
  return static_cast<std::uint16_t>(Bound);
}

auto caller_listener::runAcceptor() -> void {
  for (;;) {
    std::array<pollfd, 2> Waits{
        {{svr_sock_, POLLIN, 0}, {StopEvent, POLLIN, 0}}};
    (void)awaitEvents(Waits.data(), Waits.size(),
                      process_clock::now() + KeepAliveTimeout);
    // The backlog is accepted before the listener stops.
    if (Waits[0].revents != 0 && !Cut)
      acceptOne();
    else if (Waits[1].revents != 0)
      break;
  }
  // svr_sock_ keeps its value: the library cuts streams once it is invalid.
  ::close(svr_sock_);
  const std::lock_guard Lock(Mutex);
  Accepting = false;
  ConnectionClosed.notify_all();
}

auto caller_listener::acceptOne() -> void {
  const auto Socket = ::accept(svr_sock_, nullptr, nullptr);
  if (Socket == INVALID_SOCKET) {
    if (errno == EMFILE || errno == ENFILE)
      ::usleep(RetryWaitUs);
    return;
  }
  {
    const std::lock_guard Lock(Mutex);
    Open.insert(Socket);
    if (Cut)
      ::shutdown(Socket, SHUT_RDWR);
  }
  while (!Pool.submit([this, Socket] { serve(Socket); }))
    ::usleep(RetryWaitUs);
}

/// Decided as the head of an answer is written, because a request may arrive
/// long before.
auto caller_listener::announceClose(httplib::Response &Response) const -> void {
  LastAnswerCloses = Closing;
  if (!LastAnswerCloses)
    return;
  Response.headers.erase("Keep-Alive");
  Response.headers.erase("Connection");
  Response.set_header("Connection", "close");
}

auto caller_listener::serve(socket_t Socket) -> void {
  socket_stream Stream(Socket, IoTimeout);
  for (auto Left = RequestsPerConnection; Left > 0; --Left) {
    bool Closed = false;
    if (!awaitRequest(Stream) ||
        !process_request(Stream, Left == 1, Closed, nullptr) || Closed ||
        LastAnswerCloses)
      break;
  }
  closeConnection(Socket);
}

/// Waits for the first byte of a request.
auto caller_listener::awaitRequest(const socket_stream &Stream) const -> bool {
  if (Stream.hasBuffered())
    return true;
  std::array<pollfd, 2> Waits{
      {{Stream.socket(), POLLIN, 0}, {StopEvent, POLLIN, 0}}};
  if (!awaitEvents(Waits.data(), Waits.size(),
                   process_clock::now() + KeepAliveTimeout))
    return false;
  return Waits[0].revents != 0 ||
         awaitSocket(Stream.socket(), POLLIN,
                     process_clock::now() + LastRequestWait);
}

auto caller_listener::closeConnection(socket_t Socket) -> void {
  const std::lock_guard Lock(Mutex);
  Open.erase(Socket);
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
  ConnectionClosed.notify_all();
}

auto caller_listener::stopBy(time_point Deadline) -> void {
  if (!Acceptor)
    return;
  beginDrain();
  ::eventfd_write(StopEvent, 1);
  {
    std::unique_lock Lock(Mutex);
    ConnectionClosed.wait_for(Lock, remaining(Deadline, process_clock::now()),
                              [this] { return !Accepting && Open.empty(); });
    Cut = true;
    for (const auto Socket : Open)
      ::shutdown(Socket, SHUT_RDWR);
  }
  Acceptor.reset();
  Pool.stop();
  svr_sock_ = INVALID_SOCKET;
}

} // namespace limpetbridge
