#include "settings_watch.h"

#include "base/log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <memory>
#include <utility>

namespace limpetbridge {

namespace {

/// Interval of checks for a change that no signal announced.
constexpr duration PollInterval = seconds(2);

struct settings_watch : std::enable_shared_from_this<settings_watch> {
  settings_watch(net::asio::io_context &Context, node_settings InitialSettings,
                 std::function<void(const node_settings &)> OnSettingsChange)
      : HangupSignal(Context, SIGHUP), Current(std::move(InitialSettings)),
        Apply(std::move(OnSettingsChange)) {}

  auto awaitSignal() -> void {
    HangupSignal.async_wait(
        [Self = shared_from_this()](net::error_code Error, int /*Signal*/) {
          if (Error)
            return;
          log(log_level::Info, "signal_received", {{"signal", "SIGHUP"}});
          Self->reloadIfChanged("signal");
          Self->awaitSignal();
        });
  }

  auto reloadIfChanged(const char *Trigger) -> void {
    const auto Text = readFile(Current.File);
    // Unchanged text was applied, or its error was logged, before.
    if (Text && Text.value() == std::exchange(LastText, Text.value()))
      return;
    const auto Parsed = Text ? parseSettings(Text.value(), Current.File)
                             : result<node_settings>(Text.error());
    if (!Parsed)
      return log(log_level::Error, "settings_unreadable",
                 {{"error", toString(Parsed.error())}});
    const auto ChangedKeys = changedKeys(Current, Parsed.value());
    if (ChangedKeys.empty())
      return;
    std::string KeyList;
    for (const auto &Key : ChangedKeys)
      KeyList += (KeyList.empty() ? "" : ",") + Key;
    log(log_level::Info, "settings_reloaded",
        {{"by", Trigger}, {"keys", KeyList}});
    Current = Parsed.value();
    Apply(Current);
  }

  net::asio::signal_set HangupSignal;
  node_settings Current;
  std::string LastText; ///< Content of the file at the last check.
  std::function<void(const node_settings &)> Apply;
};

auto pollFile(std::shared_ptr<settings_watch> Watch) -> net::awaitable<void> {
  for (;;) {
    co_await net::sleepFor(PollInterval);
    Watch->reloadIfChanged("file");
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
  net::spawn(Context.get_executor(), pollFile(Watch));
}

} // namespace limpetbridge
