/// \file
/// Time to send and to receive one datagram of each kind that gateways exchange
/// under load, by step: socket, encoding, decoding and reducer. The deployment
/// has 29 gateways, 52 engines, 16 workspaces, and prompts that wait.

#include "gateway_fixture.h"
#include "link_codec.h"
#include "net/server.h"

#include <benchmark/benchmark.h>

#include <memory>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

constexpr int GatewayCount = 29;
constexpr int TargetCount = 52;
constexpr int WorkspaceCount = 16;
constexpr int PacedCount = 12;
constexpr std::uint64_t Incarnation = 1771104970931;

auto gatewayName(int Number) -> instance_name {
  return instance_name("gateway-surat-b-" + std::to_string(Number));
}

auto targetName(int Number) -> target_name {
  return target_name("i-0123456789-" + std::to_string(Number % TargetCount));
}

auto modelName(int Number) -> model_name {
  return model_name("model-70b-" + std::to_string(Number));
}

auto workspaceName(int Number) -> workspace_name {
  return workspace_name("workspace-" + std::to_string(Number));
}

/// A digest of a busy gateway.
auto makeDigest(int From, std::uint64_t Sequence) -> gateway_digest {
  gateway_digest Digest;
  Digest.From = gatewayName(From);
  Digest.Address = "127.0.0.1:" + std::to_string(20'000 + From);
  Digest.Sequence = Sequence;
  Digest.Configuration = 2;
  Digest.DataCentre = data_centre_name("surat-b");
  Digest.TargetsVersion = 123'456;
  const auto Offset = From + static_cast<int>(Sequence % TargetCount);
  for (int I = 0; I < 20; ++I)
    Digest.Loads[targetName(Offset + I)] = {{0, 87.4 + I, 31.25}, {1, 2, 1}};
  for (int I = 0; I < 15; ++I)
    Digest.Demand[modelName(I)] = {0.31 + I, 61.7};
  for (int I = 0; I < 6; ++I)
    Digest.Prefixes.emplace_back(targetName(Offset + I),
                                 0x9e3779b97f4a7c15U * (I + 1), 6300);
  for (int I = 0; I < 3; ++I)
    Digest.AdapterUse.emplace(targetName(Offset + I),
                              adapter_key(modelName(I), "adapter-17"));
  return Digest;
}

auto makeReport(int From, std::uint64_t Number) -> quota_report {
  quota_report Report{gatewayName(From), gatewayName(0), {}};
  Report.Message.Incarnation = Incarnation;
  Report.Message.Number = Number;
  Report.Message.HeardIncarnation = Incarnation;
  Report.Message.HeardNumber = 1;
  Report.Message.Members = GatewayCount;
  for (int I = 0; I < 6; ++I)
    Report.Message.Demands.push_back({workspaceName(From + I), 1234.5, 0});
  for (int I = 0; I < 3; ++I) {
    auto &Loan = Report.Message.Loans.emplace_back();
    Loan.Workspace = workspaceName(From + I);
    Loan.Share = 0.0123;
    Loan.Tokens = 123'456.7;
  }
  return Report;
}

auto makeNotice(int From) -> prefill_notice {
  return {gatewayName(From), targetName(From), 2, 237.5};
}

auto makeMessage(int Kind, int From, std::uint64_t Number) -> link_message {
  if (Kind == 0)
    return makeDigest(From, Number);
  if (Kind == 1)
    return makeReport(From, Number);
  return makeNotice(From);
}

auto nameOfKind(int Kind) -> const char * {
  return Kind == 0 ? "digest" : Kind == 1 ? "quota report" : "prefill notice";
}

/// A gateway that has heard of all others, with prompts that wait.
class busy_gateway : public gateway_harness {
public:
  busy_gateway() {
    gateway_options Options;
    Options.Self = gatewayName(0);
    Options.DataCentre = data_centre_name("surat-b");
    Options.Quota = {seconds(8), 0.1, 110'000};
    Options.Incarnation = Incarnation;
    State = makeGatewayState(Options);
    auto Configuration = protectedConfiguration();
    auto &Engine = Configuration.Services[service_name("models")].Engine;
    for (int I = 0; I < 61; ++I) {
      auto Model = Engine.Models.begin()->second;
      Model.Name = modelName(I);
      Engine.Models[Model.Name] = Model;
    }
    for (int I = 0; I < WorkspaceCount; ++I) {
      workspace_spec Spec;
      Spec.Name = workspaceName(I);
      Spec.Unit = quota_unit::Tokens;
      Spec.RatePerSecond = 29'000;
      Spec.Burst = 57'000;
      Configuration.Workspaces[Spec.Name] = Spec;
    }
    Configuration.Keys.push_back({workspace_key("key"), workspaceName(0)});
    Key = "key";
    dispatch(configuration_read{Configuration});
    for (int I = 0; I < TargetCount; ++I)
      addTarget(targetName(I).Text.c_str(), "models",
                {modelName(I).Text, modelName(I + 1).Text,
                 modelName(I + 2).Text, modelName(I + 3).Text});
    instances_listed Listed;
    for (int I = 0; I < GatewayCount; ++I) {
      instance_record Gateway;
      Gateway.Name = gatewayName(I);
      Gateway.Address = "127.0.0.1:" + std::to_string(20'000 + I);
      Gateway.Role = instance_role::Gateway;
      Listed.Instances.push_back(Gateway);
    }
    dispatch(Listed);
    for (int Round = 1; Round < 10; ++Round)
      for (int I = 1; I < GatewayCount; ++I)
        dispatch(makeDigest(I, Round));
    // All targets have prefill due, so prompts with time wait.
    for (int I = 1; I < GatewayCount; ++I) {
      gateway_digest Digest = makeDigest(I, 10);
      for (int Target = 0; Target < TargetCount; ++Target)
        Digest.Loads[targetName(Target)] = {{0, 15, 5}, {0, 2, 1}};
      dispatch(Digest);
    }
    Now += milliseconds(1);
    State.Configuration.Workspaces.clear(); // The prompts are not charged.
    addPaced();
  }

  /// Replaces the prompts that were sent since.
  auto addPaced() -> void {
    for (int I = 0; I < PacedCount && State.Paced.size() < PacedCount; ++I) {
      ++LastRequest;
      // Models that four targets hold.
      const auto Model = modelName(3 + static_cast<int>(LastRequest % 40));
      receiveRequest(LastRequest, "/plan/x", Model.Text.c_str(), 9190);
    }
  }

private:
  request_number LastRequest = 0;
};

auto decode(benchmark::State &Run) -> void {
  const auto Kind = static_cast<int>(Run.range(0));
  const auto Bytes = encodeLink(makeMessage(Kind, 1, 1));
  for (auto Step : Run)
    benchmark::DoNotOptimize(decodeLink(Bytes));
  Run.counters["bytes"] = static_cast<double>(Bytes.size());
  Run.SetLabel(nameOfKind(Kind));
}

auto encode(benchmark::State &Run) -> void {
  const auto Kind = static_cast<int>(Run.range(0));
  const auto Message = makeMessage(Kind, 1, 1);
  for (auto Step : Run)
    benchmark::DoNotOptimize(encodeLink(Message));
  Run.SetLabel(nameOfKind(Kind));
}

/// Whatever runs for one message that was decoded; 2 ms between messages.
auto reduceMessage(benchmark::State &Run) -> void {
  const auto Kind = static_cast<int>(Run.range(0));
  busy_gateway Gateway;
  std::uint64_t Number = 100;
  for (auto Step : Run) {
    Run.PauseTiming();
    if (++Number % 1000 == 0) // The time begins again.
      Gateway.State.PacedExaminedAt = {};
    const int From = 1 + static_cast<int>(Number % (GatewayCount - 1));
    Gateway.addPaced();
    // The time stays below the prompts' deadlines.
    Gateway.Now = time_point(seconds(1000)) +
                  milliseconds(2 * static_cast<int>(Number % 1000));
    gateway_event Event = tick{};
    std::visit(
        [&](auto &&Message) {
          if constexpr (std::is_constructible_v<gateway_event,
                                                decltype(Message)>)
            Event = Message;
        },
        makeMessage(Kind, From, Number));
    Run.ResumeTiming();
    Gateway.dispatch(Event);
  }
  Run.counters["paced"] = static_cast<double>(Gateway.State.Paced.size());
  Run.SetLabel(nameOfKind(Kind));
}

/// A tick, of which every third one sends a digest and every fifth one reports
/// to 28 gateways; the effects are not executed.
auto reduceTick(benchmark::State &Run) -> void {
  busy_gateway Gateway;
  std::uint64_t Number = 0;
  const auto Start = Gateway.Now;
  for (auto Step : Run) {
    Run.PauseTiming();
    Gateway.Now += milliseconds(100);
    if (++Number % 20 == 0) { // The time begins again.
      Gateway.Now = Start;
      Gateway.State.NextDigest = Gateway.State.NextQuotaReport = Start;
    }
    Gateway.addPaced();
    Run.ResumeTiming();
    Gateway.dispatch(tick{});
  }
  Run.counters["paced"] = static_cast<double>(Gateway.State.Paced.size());
}

/// Sends datagrams of 300 bytes to 28 gateways; the time is that of all.
auto sendToAll(benchmark::State &Run) -> void {
  net::asio::io_context Context;
  const auto Ignore = [](const std::string &, std::string_view) {};
  net::datagram_socket Sender(Context, "127.0.0.1:0", Ignore);
  std::vector<std::unique_ptr<net::datagram_socket>> Receivers;
  std::vector<std::string> Addresses;
  for (int I = 1; I < GatewayCount; ++I) {
    Receivers.push_back(
        std::make_unique<net::datagram_socket>(Context, "127.0.0.1:0", Ignore));
    Addresses.push_back(Receivers.back()->address());
  }
  const std::string Bytes(300, 'x');
  for (auto Step : Run) {
    for (const auto &Address : Addresses)
      Sender.send(Address, Bytes);
    Run.PauseTiming();
    Context.poll();
    Run.ResumeTiming();
  }
}

/// Receives datagrams of 300 bytes, of which \c range(0) have arrived.
auto receiveAll(benchmark::State &Run) -> void {
  net::asio::io_context Context;
  std::size_t Received = 0;
  net::datagram_socket Receiver(
      Context, "127.0.0.1:0",
      [&](const std::string &, std::string_view) { ++Received; });
  net::datagram_socket Sender(Context, "127.0.0.1:0",
                              [](const std::string &, std::string_view) {});
  const std::string Bytes(300, 'x');
  for (auto Step : Run) {
    Run.PauseTiming();
    for (int I = 0; I < Run.range(0); ++I)
      Sender.send(Receiver.address(), Bytes);
    Run.ResumeTiming();
    Context.poll();
  }
  Run.counters["each"] = benchmark::Counter(static_cast<double>(Received),
                                            benchmark::Counter::kIsRate |
                                                benchmark::Counter::kInvert);
}

BENCHMARK(decode)->DenseRange(0, 2);
BENCHMARK(encode)->DenseRange(0, 2);
BENCHMARK(reduceMessage)->DenseRange(0, 2);
BENCHMARK(reduceTick);
BENCHMARK(sendToAll);
BENCHMARK(receiveAll)->Arg(1)->Arg(8);

} // namespace

BENCHMARK_MAIN();
