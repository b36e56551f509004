/// \file
/// Chooses the target of a request: the one with the lowest cost, in expected
/// time to the first output and delay of others, among those that can serve it.
#ifndef LIMPETBRIDGE_SERVING_PICKER_H
#define LIMPETBRIDGE_SERVING_PICKER_H

#include "serving/call.h"
#include "serving/stream_protection.h"
#include "serving/target_book.h"

#include <functional>
#include <optional>
#include <set>
#include <string_view>

namespace limpetbridge::serving {

/// Inputs of a choice besides the table of targets.
struct pick_request {
  service_name Service;
  data_centre_name DataCentre;    ///< Of the gateway.
  const prompt *Prompt = nullptr; ///< Null for a request without a prompt.
  double PrefillMsPerToken = 0;   ///< Of the prompt's model.
  std::size_t Rank = 0;
  const std::vector<prefix_key> *Keys = nullptr; ///< Of the prompt.
  const std::set<target_name> *Tried = nullptr;  ///< Not picked again.
  bool MayLoadAdapter = true; ///< Else the adapter has to be there.
  time_point Now;
  /// True if the request may use a kept connection to the target; none: no
  /// target's connections are kept.
  std::function<bool(const target_entry &)> HasConnection;
  double ConnectionCostMs = 0; ///< Of a new connection.
  /// Set if the streams of the service are protected.
  std::optional<prompt_beside_streams> Streams;
  /// Only targets that have no prefill due and no backoff, if streams are
  /// protected.
  bool OnlyWithoutPrefill = false;
};

/// A chosen target.
struct pick {
  target_name Target;
  bool NeedsAdapter = false; ///< The adapter must be loaded first.
  double PrefillMs = 0;      ///< Prefill of what is not in its cache.
  double ExpectedMs = 0;     ///< Time to the first output.
  /// ExpectedMs plus the wait for a slot, delays of others, and penalties.
  double CostMs = 0;
  stream_effect Streams = {}; ///< If they are protected.
};

/// Why a target is not chosen, whatever it would cost.
enum class exclusion : std::uint8_t {
  None,
  OtherService,
  Leaving, ///< It drains, or a newer incarnation has its address.
  Tried,   ///< By an earlier attempt at the request.
  NoModel,
  NoAdapter, ///< The adapter is not loaded, and cannot be now.
  Refusing,  ///< The target said that it takes no requests for a while.
  Prefill    ///< It has prefill due, and the request waits for one without.
};
[[nodiscard]] auto nameOf(exclusion Exclusion) -> std::string_view;

/// Parts of ExpectedMs of a pick at one target, ms.
struct expected_parts {
  double FailuresMs = 0; ///< Its recent failures.
  double Slowness = 1;   ///< Of the target; stretches all prefill.
  double QueuedMs = 0;   ///< Prefill before the request's own, unstretched.
  double PrefillMs = 0;  ///< Its own, unstretched.
  double ActiveMs = 0;   ///< Other requests in progress.
  double DistanceMs = 0; ///< Another data centre.

  [[nodiscard]] auto sumMs() const -> double {
    return FailuresMs + (Slowness * (QueuedMs + PrefillMs) + ActiveMs) +
           DistanceMs;
  }
};

/// A target as it was considered for a request. The costs are set only if it is
/// not excluded. Pick.CostMs is their sum and Pick.ExpectedMs that of Expected
/// and AdapterMs.
struct candidate {
  exclusion Exclusion = exclusion::None;
  pick Pick;
  expected_parts Expected;
  double AdapterMs = 0; ///< Load of the adapter.
  double SlotWaitMs = 0;
  double InterferenceMs = 0;
  double BackoffMs = 0;
  double ConnectionMs = 0; ///< A new connection.
  double PreferenceMs = 0; ///< Spreads the gateways over equal targets.
};

/// Considers the target \p Entry for \p Request. pickTarget chooses the one of
/// the lowest cost among those that are not excluded.
[[nodiscard]] auto assessTarget(const target_entry &Entry,
                                const pick_request &Request) -> candidate;

/// Wait for a slot at \p Entry, ms, while requests of the same rank and of more
/// urgent ones hold all of them: for bursts and shifted demand on engines whose
/// slots fill before their prefill time does. It decides between targets and
/// does not count as expected time: an urgent request may take the slot of
/// another one, and a late answer is better than a refusal.
[[nodiscard]] auto slotWaitMs(const target_entry &Entry,
                              const pick_request &Request) -> double;

/// Expected time to the first output at \p Entry, ms.
[[nodiscard]] auto expectedMs(const target_entry &Entry,
                              const pick_request &Request, double PrefillMs)
    -> double;

/// Delay that the request causes to the streams in progress at \p Entry, plus
/// the delay that less urgent prompts there cause to its own stream, ms. A long
/// prefill runs between the tokens of the streams and lengthens their gaps. Of
/// protected streams it is mainly what those that become late lose: one late
/// answer counts as a wait of the prompt by its whole objective, which makes
/// the prompt itself late.
[[nodiscard]] auto interferenceMs(const target_entry &Entry,
                                  const pick_request &Request, double PrefillMs)
    -> double;

/// Picks among the targets that accept requests and, for a prompt, serve the
/// model. \returns none if no target qualifies.
[[nodiscard]] auto pickTarget(const target_book &Book,
                              const pick_request &Request)
    -> std::optional<pick>;

/// When the first target accepts requests that qualifies but for the time for
/// which it refuses them; NoDeadline if there is none.
[[nodiscard]] auto earliestAcceptance(const target_book &Book,
                                      const pick_request &Request)
    -> time_point;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PICKER_H
