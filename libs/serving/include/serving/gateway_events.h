/// \file
/// Events of a gateway: everything that its decisions are told.
#ifndef LIMPETBRIDGE_SERVING_GATEWAY_EVENTS_H
#define LIMPETBRIDGE_SERVING_GATEWAY_EVENTS_H

#include "serving/call.h"
#include "serving/configuration.h"
#include "serving/target.h"
#include "serving/target_book.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace limpetbridge::serving {

/// Number of a request at one gateway.
using request_number = std::uint64_t;

/// A caller's request was read whole.
struct request_arrived {
  request_number Number = 0;
  call Call;
};

/// How an attempt ended. The only place that says what may be repeated.
enum class attempt_end : std::uint8_t {
  NotSent,  ///< Not a byte of the request left this process.
  NotRun,   ///< The target says that it did not run the request.
  Answered, ///< The answer was relayed whole.
  Failed,   ///< The target answered with a failure of its own; not relayed.
  Unknown,  ///< Anything else: it may have run.
  CutShort, ///< Broke off after a part of the answer was relayed.
};

/// Name of an attempt's end in logs and metrics.
[[nodiscard]] auto nameOf(attempt_end End) -> std::string_view;

/// The first byte of output came from the target.
struct first_output {
  request_number Number = 0;
};

/// An attempt ended.
struct attempt_ended {
  request_number Number = 0;
  attempt_end End = attempt_end::Unknown;
  std::uint16_t Status = 0;      ///< Of the target's answer; 0 without one.
  bool WrongTarget = false;      ///< Another target has the address, or the
                                 ///< model is not there.
  std::int64_t LongestGapMs = 0; ///< Between two parts of the answer.
};

/// The caller closed its connection before its answer was complete.
struct caller_left {
  request_number Number = 0;
};

/// The deadline of a request passed.
struct deadline_passed {
  request_number Number = 0;
};

/// A newer configuration is known.
struct configuration_read {
  configuration Configuration;
};

/// A target was described by the store or by its controller.
struct target_updated {
  target Target;
};

/// The store stopped to answer, or answers again.
struct store_reachability_changed {
  bool Reachable = true;
};

/// The store has no row of this target any more.
struct target_lost {
  target_name Name;
};

/// The whole list was read again; targets that are not in it are lost.
struct targets_listed {
  std::vector<target> Targets;
};

/// What kind of process another instance is.
enum class instance_role : std::uint8_t { Gateway, Controller };

/// Another process of the system.
struct instance_record {
  instance_name Name;
  instance_role Role = instance_role::Gateway;
  std::string Address;       ///< ip:port for messages between instances.
  std::string TargetAddress; ///< Of a controller's target, ip:port.
};

/// The list of instances was read or changed.
struct instances_listed {
  std::vector<instance_record> Instances;
};

/// A controller answered a load request.
struct load_answered {
  target_name Target;
  model_name Model;
  std::string Adapter;
  bool Loaded = false; ///< True when the target holds it now.
};

/// Demand for one model.
struct model_rate {
  double PerSecond = 0;       ///< Requests a second.
  double WorkMsPerSecond = 0; ///< Time that reading their prompts takes.
};
using model_rates = std::map<model_name, model_rate>;

/// A controller told what its target holds.
struct holdings_report {
  std::string Address; ///< Of the target, ip:port.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  holdings Holds;
};

/// A gateway's view of its own load, told to the others.
struct gateway_digest {
  instance_name From;
  std::string Address; ///< Of the sender, ip:port.
  std::map<target_name, target_load> Loads;
  model_rates Demand;
  /// Prompt parts sent to targets since the last digest.
  std::vector<std::tuple<target_name, prefix_key, std::uint32_t>> Prefixes;
  /// Adapters used since the last digest.
  std::set<std::pair<target_name, adapter_key>> AdapterUse;
  /// Loads that this gateway has asked for.
  std::map<target_name, model_change> Loading;
  std::uint64_t Configuration = 0; ///< Version in force there.
  bool StoreReachable = true;      ///< It reads the store.
};

/// Time passed.
struct tick {};

using gateway_event =
    std::variant<request_arrived, first_output, attempt_ended, caller_left,
                 deadline_passed, configuration_read, target_updated,
                 target_lost, store_reachability_changed, targets_listed,
                 instances_listed, load_answered, holdings_report,
                 gateway_digest, tick>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_GATEWAY_EVENTS_H
