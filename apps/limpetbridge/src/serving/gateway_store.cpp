/// What a gateway reads of the platform's store, and what it tells controllers
/// of it.
#include "gateway_node.h"

#include "base/log.h"
#include "link_codec.h"

namespace limpetbridge {

using namespace serving;
using net::awaitable;

namespace {

/// Time from the start for which prompts wait for the store to tell of crashes.
/// Without it nothing is known of them unless other gateways tell, and callers
/// are served all the same.
constexpr duration CrashRowsPatience = milliseconds(1500);
/// Delay between attempts to read or write them.
constexpr duration CrashRowRetryDelay = milliseconds(300);
/// Least interval of writes.
constexpr duration CrashRowInterval = milliseconds(500);
/// Largest row, and the charges that a row has at most.
constexpr std::size_t MaxRowBytes = 60'000;
constexpr std::size_t MaxRowCharges = 6000;

} // namespace

auto gateway_node::run() -> void {
  log(log_level::Info, "started",
      {{"role", Settings.Role}, {"callers", Settings.GatewayCallers}});
  instance_record Self;
  Self.Name = instance_name(Settings.Name);
  Self.Address = Settings.LinkAddress;
  KnowledgeSync = Hooks.Watch(
      Context, Self, Environment.Dispatch,
      [this] { return State.ReadsTargets; },
      [this] { return &State.ConfigurationHistory; });
  if (Hooks.ReadCrashes) {
    State.CrashRowsAwaitedUntil = process_clock::now() + CrashRowsPatience;
    net::spawn(Context.get_executor(), readCrashRows());
  }
  net::spawn(Context.get_executor(), runTicks());
  Context.run();
  log(log_level::Info, "stopped", {});
}

auto gateway_node::execute(const read_configuration & /*Effect*/) -> void {
  KnowledgeSync.ReadConfiguration();
}

auto gateway_node::readCrashRows() -> awaitable<void> {
  for (;;) {
    const auto Stored = co_await Hooks.ReadCrashes();
    if (!Stored) {
      co_await net::sleepFor(CrashRowRetryDelay);
      continue;
    }
    crash_rows_read Event;
    for (const auto &Row : *Stored) {
      auto Message = decodeLink(Row.Bytes);
      auto *Report =
          Message ? std::get_if<crash_report>(&Message.value()) : nullptr;
      if (Report == nullptr) {
        log(log_level::Warning, "crash_row_unreadable", {});
        continue;
      }
      addAge(*Report, Row.AgeMs);
      Event.Rows.push_back(std::move(*Report));
    }
    dispatch(std::move(Event));
    co_return;
  }
}

auto gateway_node::execute(const store_crashes & /*Effect*/) -> void {
  CrashesChanged = true;
  if (Hooks.WriteCrashes && !std::exchange(WritingCrashes, true))
    net::spawn(Context.get_executor(), writeCrashRow());
}

auto gateway_node::writeCrashRow() -> awaitable<void> {
  while (std::exchange(CrashesChanged, false)) {
    crash_report Report;
    Report.From = instance_name(Settings.Name);
    std::string Bytes;
    for (auto Charges = MaxRowCharges;; Charges /= 2) {
      Report.Suspects = State.Crashes.snapshot(Charges, process_clock::now());
      Bytes = encodeLink(Report);
      if (Bytes.size() <= MaxRowBytes)
        break;
    }
    const bool Written = co_await Hooks.WriteCrashes(std::move(Bytes));
    CrashesChanged |= !Written;
    Metrics.count("crash_rows", Written ? "written" : "write_failed");
    co_await net::sleepFor(Written ? CrashRowInterval : CrashRowRetryDelay);
  }
  WritingCrashes = false;
}

auto gateway_node::execute(const subscribe_to_controllers &Effect) -> void {
  const auto Bytes = encodeLink(greeting{instance_name(Settings.Name),
                                         Settings.LinkAddress, State.StoreEra});
  for (const auto &Address : Effect.Addresses)
    LinkSocket->send(Address, Bytes);
}

} // namespace limpetbridge
