#include "stop_signal.h"

#include "base/log.h"
#include "base/result_code.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <memory>

namespace limpetbridge {

namespace {

/// Waits for signals until the io_context stops.
struct signal_watch : std::enable_shared_from_this<signal_watch> {
  signal_watch(net::asio::io_context &Context, std::function<void()> OnStop)
      : Signals(Context, SIGTERM, SIGINT), Stop(std::move(OnStop)) {}

  auto awaitSignal() -> void {
    Signals.async_wait(
        [Self = shared_from_this()](net::error_code Error, int /*Signal*/) {
          if (Error)
            return;
          if (std::exchange(Self->Stopping, true))
            std::_Exit(1);
          else
            Self->Stop();
          Self->awaitSignal();
        });
  }

  net::asio::signal_set Signals;
  std::function<void()> Stop;
  bool Stopping = false;
};

} // namespace

auto onStopSignal(net::asio::io_context &Context, std::function<void()> Stop)
    -> void {
  std::make_shared<signal_watch>(Context, std::move(Stop))->awaitSignal();
}

} // namespace limpetbridge
