/// \file
/// State of a node, and its options, which are fixed at startup.
#ifndef LIMPETBRIDGE_CORE_STATE_H
#define LIMPETBRIDGE_CORE_STATE_H

#include "core/admission.h"
#include "core/configuration.h"
#include "core/ledger.h"
#include "core/membership.h"
#include "core/mutation.h"
#include "core/requests.h"
#include "core/routing.h"

#include <cstdint>
#include <functional>
#include <span>

namespace limpetbridge {

/// Chooses one of the candidates, which are sorted by expected completion, and
/// returns its index.
/// \param Random a new random number.
using picker_hook = std::function<std::size_t(
    std::span<const candidate> Candidates, std::uint64_t Random)>;

/// Round-trip time that the network between two data centres adds.
using distance_hook = std::function<duration(const data_centre_name &From,
                                             const data_centre_name &To)>;

/// Options of an entry.
struct entry_options {
  std::uint32_t MaxAttempts = 4;
  double RetryShare = 0.2;  ///< Retry budget earned per request.
  double HedgeShare = 0.05; ///< Hedge budget earned per request.
  duration ProgressTimeout = seconds(5);
  duration BalancerWait = seconds(2);
  std::vector<std::string> Seeds; ///< Peer addresses from the settings.
};

/// Options of an agent.
struct agent_options {
  target_kind Kind = target_kind::Engine;
  byte_count Memory;
  bool ChecksFence = false;
  std::uint32_t Slots = 16;
  std::uint32_t ShortSlots = 4;
  std::uint32_t QueueLimit = 64;
  duration ReportInterval = seconds(1);
  duration OrderTimeout = seconds(30);
  std::uint32_t MaxOrders = 4; ///< Maximum of concurrent orders.
};

/// Options of a node.
struct node_options {
  instance_record Self;
  entry_options Entry;
  agent_options Agent;
  duration PollInterval = seconds(1);
  duration StoreRetry = milliseconds(200);
  duration SpreadTimeout = seconds(4);
  duration DrainTimeout = seconds(60);
  picker_hook Picker;     ///< Null: the better of two random choices.
  distance_hook Distance; ///< Null: 0 ms within, 7 ms between centres.
#ifdef LIMPETBRIDGE_MUTATIONS
  mutation Mutation = mutation::None;
#endif
};

/// True if a test has injected \p Fault into this node. Always false in builds
/// without LIMPETBRIDGE_MUTATIONS.
[[nodiscard]] inline auto
isMutated([[maybe_unused]] const node_options &Options,
          [[maybe_unused]] mutation Fault) -> bool {
#ifdef LIMPETBRIDGE_MUTATIONS
  return Options.Mutation == Fault;
#else
  return false;
#endif
}

/// State of a graceful shutdown.
struct drain_state {
  bool Draining = false;
  time_point RefuseFrom = NoDeadline; ///< New work is refused from this time.
  time_point Deadline = NoDeadline;
  bool Stopped = false; ///< The stop effect was emitted.
};

/// A seeded random generator; part of the state, so that replays are exact.
struct random_state {
  std::uint64_t Value = 1;

  /// Returns the next number.
  auto next() -> std::uint64_t;
};

/// Complete state of a node.
struct node_state {
  node_options Options;
  random_state Random;
  std::uint64_t LastTicket = 0;
  configuration_state Configuration;
  membership_state Membership;
  routing_state Routing;
  requests_state Requests;
  ledger_state Ledger;
  admission_state Admission;
  drain_state Drain;

  /// Returns an unused ticket.
  auto nextTicket() -> ticket { return {++LastTicket}; }
  [[nodiscard]] auto isEntry() const -> bool {
    return Options.Self.Role == instance_role::Entry;
  }
};

/// Returns the initial state of a node.
/// \param Seed seed of its random generator.
[[nodiscard]] auto makeNode(node_options Options, std::uint64_t Seed)
    -> node_state;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_STATE_H
