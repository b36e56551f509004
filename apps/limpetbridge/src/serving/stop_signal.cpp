#include "stop_signal.h"

#include "base/log.h"
#include "base/result_code.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <memory>

namespace limpetbridge {

namespace {

/// Waits for signals until the io_context stops.
struct signal_watch : std::enable_shared_from_this<signal_watch> {
  signal_watch(net::asio::io_context &Context, std::function<void()> OnStop)
      : Signals(Context, SIGTERM, SIGINT), Stop(std::move(OnStop)) {}

  auto awaitSignal() -> void {
    Signals.async_wait(
        [Self = shared_from_this()](net::error_code Error, int Signal) {
          if (Error)
            return;
          const auto Action = Self->Policy.receive(Signal);
          if (Action == stop_action::EndNow)
            std::_Exit(1);
          if (Action == stop_action::Begin)
            Self->Stop();
          Self->awaitSignal();
        });
  }

  net::asio::signal_set Signals;
  std::function<void()> Stop;
  stop_policy Policy;
};

} // namespace

auto stop_policy::receive(int Signal) -> stop_action {
  const bool Repeated = std::exchange(Stopping, true);
  log(log_level::Info, "signal_received",
      {{"signal", std::string("SIG") + sigabbrev_np(Signal)},
       {"repeated", Repeated ? "true" : "false"}});
  if (Signal == SIGINT && std::exchange(Interrupted, true))
    return stop_action::EndNow;
  return Repeated ? stop_action::None : stop_action::Begin;
}

auto onStopSignal(net::asio::io_context &Context, std::function<void()> Stop)
    -> void {
  std::make_shared<signal_watch>(Context, std::move(Stop))->awaitSignal();
}

} // namespace limpetbridge
