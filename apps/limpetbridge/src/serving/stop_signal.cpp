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
          const bool Repeated = std::exchange(Self->Stopping, true);
          logSignal(Signal, Repeated);
          if (Repeated)
            std::_Exit(1);
          Self->Stop();
          Self->awaitSignal();
        });
  }

  net::asio::signal_set Signals;
  std::function<void()> Stop;
  bool Stopping = false;
};

} // namespace

auto logSignal(int Signal, bool Repeated) -> void {
  log(log_level::Info, "signal_received",
      {{"signal", std::string("SIG") + sigabbrev_np(Signal)},
       {"repeated", Repeated ? "true" : "false"}});
}

auto onStopSignal(net::asio::io_context &Context, std::function<void()> Stop)
    -> void {
  std::make_shared<signal_watch>(Context, std::move(Stop))->awaitSignal();
}

} // namespace limpetbridge
