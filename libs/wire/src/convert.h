/// \file
/// Conversion between the types of the core and the protobuf messages.
#ifndef LIMPETBRIDGE_WIRE_CONVERT_H
#define LIMPETBRIDGE_WIRE_CONVERT_H

#include "base/timeline.h"
#include "core/effects.h"
#include "limpetbridge.pb.h"
#include "wire/report.h"

namespace limpetbridge {

auto toWire(const attempt_id &From, wire::AttemptId &To) -> void;
[[nodiscard]] auto fromWire(const wire::AttemptId &From) -> attempt_id;

/// Deadlines are sent as the time that remains at \p Now, because the clocks
/// of two processes differ.
auto toWire(const work_offered &From, time_point Now, wire::WorkOffer &To)
    -> void;
[[nodiscard]] auto fromWire(const wire::WorkOffer &From, time_point Now)
    -> work_offered;

auto toWire(const frame &From, wire::Frame &To) -> void;
[[nodiscard]] auto fromWire(const wire::Frame &From) -> frame;

auto toWire(const attempt_ended &From, wire::End &To) -> void;
[[nodiscard]] auto fromWire(const wire::End &From, const attempt_id &Attempt)
    -> attempt_ended;

auto toWire(const std::vector<change> &From, wire::Changes &To) -> void;
[[nodiscard]] auto fromWire(const wire::Changes &From) -> std::vector<change>;

auto toWire(const command_arrived &From, time_point Now,
            wire::ChangeRequest &To) -> void;
[[nodiscard]] auto fromWire(const wire::ChangeRequest &From, time_point Now)
    -> command_arrived;

auto toWire(const answer_command &From, wire::ChangeReply &To) -> void;
[[nodiscard]] auto fromWire(const wire::ChangeReply &From) -> answer_command;

auto toWire(const report &From, wire::InspectReply &To) -> void;
[[nodiscard]] auto fromWire(const wire::InspectReply &From) -> report;

auto toWire(const stamped_note &From, wire::Note &To) -> void;
[[nodiscard]] auto fromWire(const wire::Note &From) -> stamped_note;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_CONVERT_H
