#include "settings_watch.h"

#include "base/log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <memory>
#include <utility>

namespace limpetbridge {

namespace {

/// Time between two looks at a file that may change without a signal.
constexpr duration LookInterval = seconds(2);

struct settings_watch : std::enable_shared_from_this<settings_watch> {
  settings_watch(net::asio::io_context &Context, node_settings First,
                 std::function<void(const node_settings &)> OnChange)
      : Hangup(Context, SIGHUP), Current(std::move(First)),
        Apply(std::move(OnChange)) {}

  auto awaitSignal() -> void {
    Hangup.async_wait(
        [Self = shared_from_this()](net::error_code Error, int /*Signal*/) {
          if (Error)
            return;
          Self->look("signal");
          Self->awaitSignal();
        });
  }

  auto look(const char *Why) -> void {
    const auto Text = readFile(Current.File);
    // The same bytes say the same, right or wrong.
    if (Text && Text.value() == std::exchange(Seen, Text.value()))
      return;
    const auto Read = Text ? parseSettings(Text.value(), Current.File)
                           : result<node_settings>(Text.error());
    if (!Read)
      return log(log_level::Error, "settings_unreadable",
                 {{"error", toString(Read.error())}});
    const auto Changed = changedKeys(Current, Read.value());
    if (Changed.empty())
      return;
    std::string Names;
    for (const auto &Key : Changed)
      Names += (Names.empty() ? "" : ",") + Key;
    log(log_level::Info, "settings_reloaded", {{"by", Why}, {"keys", Names}});
    Current = Read.value();
    Apply(Current);
  }

  net::asio::signal_set Hangup;
  node_settings Current;
  std::string Seen; ///< What the file held at the last look.
  std::function<void(const node_settings &)> Apply;
};

auto keepLooking(std::shared_ptr<settings_watch> Watch)
    -> net::awaitable<void> {
  for (;;) {
    co_await net::sleepFor(LookInterval);
    Watch->look("file");
  }
}

} // namespace

auto watchSettings(net::asio::io_context &Context, node_settings Current,
                   std::function<void(const node_settings &)> Apply) -> void {
  if (Current.File.empty())
    return;
  const auto Watch = std::make_shared<settings_watch>(
      Context, std::move(Current), std::move(Apply));
  Watch->awaitSignal();
  net::spawn(Context.get_executor(), keepLooking(Watch));
}

} // namespace limpetbridge
