/// \file
/// A simple oracle of what must always hold. It sees only what callers,
/// operators and targets see, never the state of a reducer.
#ifndef LIMPETBRIDGE_TESTING_ORACLE_H
#define LIMPETBRIDGE_TESTING_ORACLE_H

#include "core/effects.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge {

/// What was asked, and what came of it.
struct asked_request {
  request_arrived Event;
  std::uint32_t Delivered = 0;
  bool Intact = true; ///< All pieces were its own, in order.
  bool Ended = false;
  answer_end End;
  int Runs = 0; ///< Times that a target began to run it.
};

/// Collects observations and names what they break.
class oracle {
public:
  // What callers see.
  auto asked(const request_arrived &Event) -> void;
  auto delivered(const answer_frame &Frame) -> void;
  auto ended(const answer_end &End) -> void;
  /// The entry died: its callers saw their connections break.
  auto entryDied(incarnation Entry) -> void;

  // What targets see.
  auto ran(const attempt_id &Attempt, const work &Work) -> void;
  auto overcommitted(const target_name &Target) -> void;
  /// An agent that had begun to drain sent newly offered work to its target.
  auto ranAfterLeaving(const target_name &Target) -> void;
  /// An entry offered work to a target that it knew to be leaving.
  auto offeredToLeaving(const target_name &Target) -> void;

  // What operators see.
  auto accepted(const change_id &Id, revision Revision) -> void;
  auto refused(const change_id &Id) -> void;
  /// A node has this catalogue in force.
  auto inForce(const instance_name &Node, incarnation Life,
               const catalogue &Catalogue) -> void;
  /// A node ended gracefully with so many requests still open.
  auto stopped(const instance_name &Node, std::size_t OpenRequests) -> void;

  /// At the end, when everything healed: every node has this catalogue, and
  /// the table has these changes.
  auto settled(const catalogue &Catalogue, const std::set<change_id> &Stored)
      -> void;
  /// A request at the end, when everything healed, that must have been done.
  auto mustBeDone(const request_id &Id) -> void;

  /// What was broken, in the order found; empty if all held.
  [[nodiscard]] auto violations() const -> const std::vector<std::string> & {
    return Violations;
  }
  [[nodiscard]] auto find(const request_id &Id) const -> const asked_request *;
  [[nodiscard]] auto requests() const
      -> const std::map<request_id, asked_request> & {
    return Requests;
  }

private:
  auto broken(std::string What) -> void;

  std::map<request_id, asked_request> Requests;
  std::map<std::string, int> RunsByKey;
  std::map<change_id, revision> Accepted;
  std::set<change_id> Refused;
  std::map<revision, std::string> Content;
  std::map<incarnation, revision> LastInForce;
  std::vector<std::string> Violations;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_ORACLE_H
