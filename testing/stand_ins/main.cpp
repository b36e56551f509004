/// \file
/// Runs one stand-in: `limpet_stand_in platform|engine|service PORT [OPTIONS]`.

#include "engine_stand_in.h"
#include "platform_stand_in.h"
#include "service_stand_in.h"

#include <getopt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace limpetbridge;

constexpr std::uint64_t BytesPerMb = 1'000'000;

auto waitForSignal(const sigset_t &Signals) -> void {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

auto usage() -> int {
  std::cerr << "usage: limpet_stand_in platform|engine|service --port N\n"
               "  [--memory-mb N] [--checks-fence] [--load-ms N]\n"
               "  [--token-us N] [--pieces N] [--reads N] [--writes N]\n";
  return 2;
}

/// The command line, parsed.
struct options {
  engine_stand_in_options Engine;
  platform_limits Limits;
  std::string Kind;
};

auto parse(int Count, char **Words, options &Options) -> bool {
  enum : int { Port = 1000, Memory, Fence, Load, Token, Pieces, Reads, Writes };
  static const option Table[] = {
      {"port", required_argument, nullptr, Port},
      {"memory-mb", required_argument, nullptr, Memory},
      {"checks-fence", no_argument, nullptr, Fence},
      {"load-ms", required_argument, nullptr, Load},
      {"token-us", required_argument, nullptr, Token},
      {"pieces", required_argument, nullptr, Pieces},
      {"reads", required_argument, nullptr, Reads},
      {"writes", required_argument, nullptr, Writes},
      {nullptr, 0, nullptr, 0}};
  int Option = 0;
  while ((Option = getopt_long(Count, Words, "", Table, nullptr)) != -1) {
    const auto Number =
        optarg == nullptr ? 0 : std::strtoull(optarg, nullptr, 10);
    if (Option == Port)
      Options.Engine.Port = static_cast<std::uint16_t>(Number);
    else if (Option == Memory)
      Options.Engine.MemoryBytes = Number * BytesPerMb;
    else if (Option == Fence)
      Options.Engine.ChecksFence = true;
    else if (Option == Load)
      Options.Engine.LoadMs = static_cast<std::int64_t>(Number);
    else if (Option == Token)
      Options.Engine.TokenUs = static_cast<std::int64_t>(Number);
    else if (Option == Pieces)
      Options.Engine.PiecesALine = static_cast<std::uint32_t>(Number);
    else if (Option == Reads)
      Options.Limits.Reads = static_cast<std::int64_t>(Number);
    else if (Option == Writes)
      Options.Limits.Writes = static_cast<std::int64_t>(Number);
    else
      return false;
  }
  if (optind + 1 != Count)
    return false;
  Options.Kind = Words[optind];
  return true;
}

} // namespace

auto main(int Count, char **Words) -> int {
  options Options;
  if (!parse(Count, Words, Options))
    return usage();
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  if (Options.Kind == "platform") {
    const platform_stand_in Platform(Options.Engine.Port, Options.Limits);
    waitForSignal(Signals);
  } else if (Options.Kind == "engine") {
    const engine_stand_in Engine(Options.Engine);
    waitForSignal(Signals);
  } else if (Options.Kind == "service") {
    const service_stand_in Service(Options.Engine.Port);
    waitForSignal(Signals);
  } else {
    return usage();
  }
  return 0;
}
