#include "caller_intake.h"

#include "base/log.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace limpetbridge {

namespace {

using namespace serving;

/// Interval at which those that wait for room are looked at.
constexpr duration WaitInterval = milliseconds(20);
constexpr duration LogInterval = seconds(1);
/// Retry-After of a request for which there is no room, ms: the time in which
/// bodies that do not get on are ended.
constexpr std::int64_t RetryAfterMs = 1000;
constexpr std::size_t BytesPerMb = std::size_t{1} << 20U;

// Parts of the process's memory, as eighths: another quarter holds answers
// (body_budget), the rest is left to the process itself. Controllers have only
// small calls.
constexpr std::size_t MemoryParts = 8;
constexpr std::size_t GatewayMemoryParts = 3;
constexpr std::size_t ControllerMemoryParts = 1;
/// Part of the limit that large bodies leave to small requests.
constexpr std::size_t ReserveDivisor = 4;
/// Memory of a request besides its body, at most: the largest head, its fields
/// in three copies and the bytes that are not parsed.
constexpr std::size_t RequestOverheadBytes = std::size_t{1} << 20U;

// Parts of the process's descriptors, as thirty-seconds. Seven of them are left
// to targets, the store, other processes and the process itself.
constexpr std::size_t DescriptorParts = 32;
constexpr std::size_t CallerParts = 20;
constexpr std::size_t GatewayLinkParts = 2;
constexpr std::size_t SmallListenerParts = 1;
constexpr std::size_t MinConnections = 4;
/// More descriptors are not counted on.
constexpr std::size_t MaxDescriptors = 1'000'000;

auto descriptorLimit() -> std::size_t {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return MaxDescriptors;
  return static_cast<std::size_t>(
      std::min<rlim_t>(Limit.rlim_cur, MaxDescriptors));
}

auto toBudget(net::connection_phase Phase) -> intake_phase {
  switch (Phase) {
  case net::connection_phase::New:
    return intake_phase::New;
  case net::connection_phase::Idle:
    return intake_phase::Idle;
  case net::connection_phase::Head:
    return intake_phase::Head;
  case net::connection_phase::Body:
    return intake_phase::Body;
  case net::connection_phase::Serving:
    return intake_phase::Serving;
  case net::connection_phase::Writing:
    return intake_phase::Writing;
  }
  return intake_phase::Serving;
}

auto endConnection(net::caller_connection &Connection, intake_end End) -> void {
  constexpr std::uint16_t TooSlow = 408;
  constexpr std::uint16_t Unavailable = 503;
  switch (End) {
  case intake_end::Idle:
    Connection.closeIfIdle();
    break;
  case intake_end::TooSlow:
    Connection.rejectPartialRequest(
        {TooSlow, "came too slowly while others waited", 0, true});
    break;
  case intake_end::Overloaded:
    Connection.rejectPartialRequest(
        {Unavailable, "no room for the request", RetryAfterMs, true});
    break;
  case intake_end::Unread:
    Connection.abort();
    break;
  }
}

} // namespace

auto makeIntakeOptions(const node_settings &Settings) -> intake_options {
  const bool IsGateway = Settings.Role == "gateway";
  const auto MemoryBytes =
      static_cast<std::size_t>(Settings.MemoryMb) * BytesPerMb;
  intake_options Options;
  Options.LimitBytes =
      Settings.IntakeMemoryMb > 0
          ? static_cast<std::size_t>(Settings.IntakeMemoryMb) * BytesPerMb
          : MemoryBytes / MemoryParts *
                (IsGateway ? GatewayMemoryParts : ControllerMemoryParts);
  Options.StallTime = milliseconds(Settings.IntakeStallMs);
  Options.MaxWait = milliseconds(Settings.IntakeWaitMs);
  const auto Descriptors = descriptorLimit();
  const auto Part = [&](std::size_t Parts) {
    return std::max(MinConnections, Descriptors * Parts / DescriptorParts);
  };
  const auto Set = [&](intake_group Group, std::size_t Count) {
    Options.MaxConnections[static_cast<std::size_t>(Group)] = Count;
  };
  auto Callers = Part(CallerParts);
  if (Settings.IntakeConnections > 0)
    Callers =
        std::min(Callers, static_cast<std::size_t>(Settings.IntakeConnections));
  Options.MaxConnections.fill(Part(SmallListenerParts));
  Set(intake_group::Callers, Callers);
  Set(intake_group::Link, IsGateway ? Part(GatewayLinkParts) : Callers);
  return Options;
}

/// Reports of one connection.
class caller_intake::account : public net::connection_account {
public:
  account(std::weak_ptr<caller_intake> SharedIntake, intake_id ConnectionId)
      : Intake(std::move(SharedIntake)), Id(ConnectionId) {}
  ~account() override {
    if (const auto Shared = Intake.lock())
      Shared->detach(Id);
  }
  account(const account &) = delete;
  auto operator=(const account &) -> account & = delete;

  auto update(const net::connection_holding &Holding) -> void override {
    const auto Shared = Intake.lock();
    if (!Shared)
      return;
    Shared->Budget.update(Id,
                          {toBudget(Holding.Phase), Holding.Bytes,
                           Holding.LargestBytes, Holding.MovedBytes},
                          process_clock::now());
  }

  auto requestRoom(std::size_t Bytes) -> bool override {
    const auto Shared = Intake.lock();
    if (!Shared || Shared->Budget.requestRoom(Id, Bytes, process_clock::now()))
      return true;
    if (!std::exchange(Shared->Serving, true))
      Shared->serveWaiting();
    return false;
  }

private:
  std::weak_ptr<caller_intake> Intake;
  intake_id Id;
};

caller_intake::caller_intake(net::asio::io_context &NodeContext,
                             metrics &NodeMetrics,
                             const intake_options &BudgetOptions)
    : WaitTimer(NodeContext), LogTimer(NodeContext), Metrics(NodeMetrics),
      Options(BudgetOptions), Budget(BudgetOptions) {
  setLargestBody(net::connection_limits().BodyBytes);
}

auto caller_intake::listen(const std::string &Address, intake_group Group,
                           net::listener::accept_handler OnAccepted)
    -> std::unique_ptr<net::listener> {
  return std::make_unique<net::listener>(
      static_cast<net::asio::io_context &>(WaitTimer.get_executor().context()),
      Address,
      [this, Group, OnAccepted = std::move(OnAccepted)](auto Accepted) {
        attach(Accepted, Group);
        OnAccepted(std::move(Accepted));
      },
      [this, Group] { return mayAccept(Group); });
}

auto caller_intake::listenForCalls(const std::string &Address,
                                   intake_group Group,
                                   const net::call_handler &Handler)
    -> std::unique_ptr<net::listener> {
  return listen(Address, Group, [this, Handler](auto Accepted) {
    net::spawnServeCalls(static_cast<net::asio::io_context &>(
                             WaitTimer.get_executor().context()),
                         std::move(Accepted), Handler);
  });
}

auto caller_intake::setOptions(const intake_options &Changed) -> void {
  Options = Changed;
  applyOptions();
}

auto caller_intake::setLargestBody(std::uint64_t Bytes) -> void {
  LargestBody = Bytes;
  applyOptions();
}

auto caller_intake::applyOptions() -> void {
  auto Applied = Options;
  const auto Largest =
      static_cast<std::size_t>(LargestBody) + RequestOverheadBytes;
  Applied.LimitBytes =
      std::max(Applied.LimitBytes, Largest + Largest / (ReserveDivisor - 1));
  Applied.ReserveBytes = Applied.LimitBytes / ReserveDivisor;
  Budget.setOptions(Applied);
}

auto caller_intake::attach(
    const std::shared_ptr<net::caller_connection> &Connection,
    intake_group Group) -> void {
  const auto Id = Budget.open(Group, process_clock::now());
  Connections[Id] = Connection;
  Connection->setAccount(std::make_unique<account>(weak_from_this(), Id));
}

auto caller_intake::detach(intake_id Id) -> void {
  Budget.close(Id);
  Connections.erase(Id);
}

auto caller_intake::mayAccept(intake_group Group) -> bool {
  if (Budget.mayOpen(Group))
    return true;
  end(Budget.endForConnection(Group, process_clock::now()));
  return false;
}

auto caller_intake::end(const std::vector<intake_ending> &Endings) -> void {
  for (const auto &Ending : Endings) {
    ++Ended[static_cast<std::size_t>(Ending.End)];
    Metrics.count("connections_ended", nameOf(Ending.End));
    const auto Found = Connections.find(Ending.Id);
    const auto Connection =
        Found == Connections.end() ? nullptr : Found->second.lock();
    if (Connection)
      endConnection(*Connection, Ending.End);
  }
  if (!Endings.empty() && !LogsLater)
    logEndings();
}

auto caller_intake::serveWaiting() -> void {
  WaitTimer.expires_after(WaitInterval);
  WaitTimer.async_wait([Weak = weak_from_this()](net::error_code Error) {
    const auto This = Weak.lock();
    if (Error || !This)
      return;
    const auto Now = process_clock::now();
    for (const auto Id : This->Budget.admitWaiting(Now))
      if (const auto Connection = This->Connections[Id].lock())
        Connection->grantRoom();
    This->end(This->Budget.endForRoom(Now));
    This->Serving = This->Budget.waitingCount() > 0;
    if (This->Serving)
      This->serveWaiting();
  });
}

auto caller_intake::logEndings() -> void {
  std::vector<std::pair<std::string, std::string>> Fields;
  for (std::size_t I = 0; I < Ended.size(); ++I)
    Fields.emplace_back(nameOf(static_cast<intake_end>(I)),
                        std::to_string(std::exchange(Ended[I], 0)));
  Fields.emplace_back("held_bytes", std::to_string(Budget.heldBytes()));
  Fields.emplace_back("waiting", std::to_string(Budget.waitingCount()));
  Fields.emplace_back("connections", std::to_string(Connections.size()));
  log(log_level::Warning, "connections_ended", Fields);
  LogsLater = true;
  LogTimer.expires_after(LogInterval);
  LogTimer.async_wait([Weak = weak_from_this()](net::error_code Error) {
    const auto This = Weak.lock();
    if (Error || !This)
      return;
    This->LogsLater = false;
    if (std::any_of(This->Ended.begin(), This->Ended.end(),
                    [](std::size_t Count) { return Count > 0; }))
      This->logEndings();
  });
}

auto caller_intake::updateMetrics() -> void {
  Metrics.set("intake_held_bytes",
              static_cast<std::int64_t>(Budget.heldBytes()));
  Metrics.set("intake_waiting",
              static_cast<std::int64_t>(Budget.waitingCount()));
  for (std::size_t I = 0; I < IntakeGroupCount; ++I) {
    const auto Group = static_cast<intake_group>(I);
    Metrics.set("connections_open{kind=\"" + std::string(nameOf(Group)) + "\"}",
                static_cast<std::int64_t>(Budget.connectionCount(Group)));
  }
}

} // namespace limpetbridge
