/// \file
/// Choice of a target for one request: the one with the earliest expected
/// first output among those that can serve it.
#ifndef LIMPETBRIDGE_SERVING_PICKER_H
#define LIMPETBRIDGE_SERVING_PICKER_H

#include "serving/call.h"
#include "serving/target_book.h"

#include <optional>
#include <set>

namespace limpetbridge::serving {

/// What a choice depends on besides the book.
struct pick_request {
  service_name Service;
  data_centre_name DataCentre;    ///< Of the gateway.
  const prompt *Prompt = nullptr; ///< Null for a plain request.
  double MsPerToken = 0;          ///< Reading time of the prompt's model.
  std::size_t Rank = 0;
  const std::vector<prefix_key> *Keys = nullptr;
  const std::set<target_name> *Tried = nullptr;
  time_point Now;
};

/// A chosen target.
struct pick {
  target_name Target;
  bool NeedsAdapter = false; ///< The adapter must be loaded first.
  double ReadMs = 0;         ///< Reading what is not in its cache.
  double ExpectedMs = 0;     ///< Until the first output.
  double CostMs = 0;         ///< With what the choice costs others.
};

/// Expected time to the first output at \p Entry, ms.
[[nodiscard]] auto expectedMs(const target_entry &Entry,
                              const pick_request &Request, double ReadMs)
    -> double;

/// What the request costs streams that are under way at \p Entry, and what
/// less urgent prompts there will cost its own stream, ms. A long prompt is
/// read between the tokens of the streams and stretches their pauses.
[[nodiscard]] auto interferenceMs(const target_entry &Entry,
                                  const pick_request &Request, double ReadMs)
    -> double;

/// Picks among the targets that take work and, for a prompt, hold the model.
/// \returns none when no target qualifies.
[[nodiscard]] auto pickTarget(const target_book &Book,
                              const pick_request &Request)
    -> std::optional<pick>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_PICKER_H
