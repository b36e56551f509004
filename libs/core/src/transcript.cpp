#include "core/transcript.h"

#include "transcript_json.h"

#include <array>
#include <sstream>

namespace limpetbridge {

namespace {

using nlohmann::json;

/// Names of events, in the order of the variant.
constexpr std::array EventNames = {"tick",
                                   "drain_requested",
                                   "instances_listed",
                                   "table_replied",
                                   "object_replied",
                                   "changes_received",
                                   "revision_seen",
                                   "changes_acknowledged",
                                   "command_arrived",
                                   "request_arrived",
                                   "caller_left",
                                   "attempt_progressed",
                                   "attempt_ended",
                                   "work_offered",
                                   "work_cancelled",
                                   "target_state_received",
                                   "target_progressed",
                                   "target_ended",
                                   "order_replied",
                                   "engine_reported"};
static_assert(EventNames.size() == std::variant_size_v<event>);

/// Names of effects, in the order of the variant.
constexpr std::array EffectNames = {
    "answer_frame",   "answer_end",   "start_attempt", "cancel_attempt",
    "table_transact", "table_read",   "table_range",   "object_get",
    "object_put",     "send_changes", "fetch_changes", "send_target_state",
    "answer_command", "send_frame",   "send_end",      "run_work",
    "stop_work",      "send_order",   "read_engine",   "write_note",
    "observe_metric", "count_metric", "stop_process"};
static_assert(EffectNames.size() == std::variant_size_v<effect>);

auto dump(const json &Body) -> std::string {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Decodes the event of that name. \throws std::exception if there is no such
/// event, or a field is missing or has the wrong type.
template <std::size_t index = 0>
auto decodeEvent(const std::string &Name, const json &Fields) -> event {
  if constexpr (index == std::variant_size_v<event>) {
    throw std::invalid_argument("unknown event " + Name);
  } else {
    if (Name == EventNames[index])
      return Fields.get<std::variant_alternative_t<index, event>>();
    return decodeEvent<index + 1>(Name, Fields);
  }
}

auto mismatch(std::size_t Line, const std::string &Expected,
              const std::string &Actual) -> error {
  return failure(result_code::MalformedRequest, "line " + std::to_string(Line) +
                                                    ": expected " + Expected +
                                                    ", found " + Actual);
}

/// Replays one session, line by line.
class replayer {
public:
  /// Replays the next line.
  auto replayLine(const std::string &Line) -> result<void> {
    ++LineNumber;
    const auto Body = json::parse(Line);
    if (Body.contains("start"))
      start(Body);
    else if (Body.contains("event"))
      return replayEvent(Body);
    else
      return compareEffect(Line);
    return boost::outcome_v2::success();
  }

  /// Ends the session; an error if the reducer had further effects.
  auto finish() -> result<replay_result> {
    if (!Pending.empty())
      return mismatch(LineNumber + 1, "the end of the session",
                      Pending.front());
    return Result;
  }

private:
  auto start(const json &Body) -> void {
    State = makeNode(Body["start"].get<node_options>(),
                     Body["seed"].get<std::uint64_t>());
  }

  auto replayEvent(const json &Body) -> result<void> {
    if (!Pending.empty())
      return mismatch(LineNumber, "an event", Pending.front());
    const auto Event =
        decodeEvent(Body["event"].get<std::string>(), Body["fields"]);
    for (const auto &Effect :
         reduce(State, Event, Body["at"].get<time_point>()))
      Pending.push_back(encodeEffect(Effect));
    ++Result.Events;
    return boost::outcome_v2::success();
  }

  auto compareEffect(const std::string &Line) -> result<void> {
    const auto Actual = Pending.empty() ? "no effect" : Pending.front();
    if (Actual != Line)
      return mismatch(LineNumber, Line, Actual);
    Pending.pop_front();
    ++Result.Effects;
    return boost::outcome_v2::success();
  }

  node_state State;
  std::deque<std::string> Pending; ///< Effects that the session must list next.
  std::size_t LineNumber = 0;      ///< Of the current line, from 1.
  replay_result Result;
};

} // namespace

auto encodeStart(const node_options &Options, std::uint64_t Seed)
    -> std::string {
  return dump({{"start", Options}, {"seed", Seed}});
}

auto encodeEvent(const event &Event, time_point Now) -> std::string {
  json Fields;
  std::visit([&Fields](const auto &Value) { Fields = Value; }, Event);
  return dump({{"at", Now},
               {"event", EventNames.at(Event.index())},
               {"fields", std::move(Fields)}});
}

auto encodeEffect(const effect &Effect) -> std::string {
  json Fields;
  std::visit([&Fields](const auto &Value) { Fields = Value; }, Effect);
  return dump({{"effect", EffectNames.at(Effect.index())},
               {"fields", std::move(Fields)}});
}

auto replaySession(std::string_view Text) -> result<replay_result> {
  replayer Replayer;
  std::istringstream Lines{std::string(Text)};
  std::string Line;
  try {
    while (std::getline(Lines, Line)) {
      if (Line.empty() || Line.starts_with('#'))
        continue;
      auto Replayed = Replayer.replayLine(Line);
      if (!Replayed)
        return Replayed.error();
    }
  } catch (const std::exception &Error) {
    return failure(result_code::MalformedRequest,
                   std::string("the session cannot be read: ") + Error.what());
  }
  return Replayer.finish();
}

} // namespace limpetbridge
